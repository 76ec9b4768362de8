"""Runs an entry: ``python3 -m pistachiodeal.jobentry``."""

from pistachiodeal.jobentry.app import EntryApp
from pistachiodeal.process import run_process

if __name__ == "__main__":
    run_process("entry", EntryApp)
