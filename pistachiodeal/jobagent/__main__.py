"""Runs an agent: ``python3 -m pistachiodeal.jobagent``."""

from pistachiodeal.jobagent.app import AgentApp
from pistachiodeal.process import run_process

if __name__ == "__main__":
    run_process("agent", AgentApp)
