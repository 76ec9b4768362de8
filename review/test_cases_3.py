"""The third review's cases: each test runs one script and expects that the rule holds.

By hand, after the build of the deploy file and ``review/build-3.sh``:
``.venv/bin/python -m pytest review/test_cases_3.py``.
"""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

FOLDER = Path(__file__).resolve().parent
TIMEOUT_S = 130


def run_script(number: int) -> None:
    """Run a case; skip the test if the case couldn't run."""
    script = FOLDER / str(number) / "run.sh"
    result = subprocess.run(
        [str(script)], capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )
    if result.returncode == 2:
        pytest.skip(result.stdout)
    assert result.returncode == 0, result.stdout


def test_cancelled_tasks_end_when_their_agent_restarts() -> None:
    """A stop that is sent before the agent knows its runner must not be lost."""
    run_script(7)


def test_a_gang_with_advice_starts_again_after_a_crash() -> None:
    """A gang must get tickets for a new runner beside the approved ones."""
    run_script(8)


def test_a_poisoned_job_leaves_its_runner_to_more_than_one_task() -> None:
    """A suspect worker must not hold up jobs that no other worker may run."""
    run_script(9)


def test_tasks_that_last_are_back_soon_after_a_crash() -> None:
    """Tasks that had just begun must not wait for each other after a crash."""
    run_script(10)


def test_a_job_that_was_cancelled_before_it_was_written_never_starts() -> None:
    """A late write must not start a job whose cancelling was answered with 410."""
    run_script(11)
