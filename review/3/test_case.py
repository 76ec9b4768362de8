"""Plays case 3 of the review; it fails while the fault is there."""

import subprocess
from pathlib import Path

import pytest


@pytest.mark.timeout(180)
def test_case() -> None:
    """Guards against the fault that ``claim.txt`` describes."""
    script = Path(__file__).with_name("run.sh")
    assert subprocess.run([str(script)], check=False).returncode == 0
