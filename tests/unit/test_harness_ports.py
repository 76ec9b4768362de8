"""Ports of the tests' processes."""

from __future__ import annotations

import subprocess
import sys

# In a process of its own: the ports of this one are in use by other tests.
SCRIPT = """
from tests.harness import ports
for _ in range(4):
    taken = [ports.reserve_port() for _ in range(ports.PORTS_PER_WORKER // 3)]
    assert len(set(taken)) == len(taken)
    ports.release_ports()
"""


def test_plays_one_after_another_leave_ports_to_others():
    """Guards against many plays in one process that end with no free port."""
    subprocess.run([sys.executable, "-c", SCRIPT], check=True)
