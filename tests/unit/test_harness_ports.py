"""Ports that the harness reserves for processes."""

from __future__ import annotations

import subprocess
import sys

# Runs in a separate process, since other tests use the ports of this one.
SCRIPT = """
from tests.harness import ports
for _ in range(4):
    taken = [ports.reserve_port() for _ in range(ports.PORTS_PER_WORKER // 3)]
    assert len(set(taken)) == len(taken)
    ports.release_ports()
"""


def test_released_ports_can_be_reserved_again():
    """Guards against many soak runs in one process that exhaust the ports."""
    subprocess.run([sys.executable, "-c", SCRIPT], check=True)
