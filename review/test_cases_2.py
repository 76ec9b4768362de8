"""The cases of the second review; run by hand, each takes about a minute."""

from __future__ import annotations

import subprocess
from pathlib import Path

FOLDER = Path(__file__).resolve().parent


def run(case: str) -> int:
    """Return the exit code of a case: 1 if the rule was broken, 0 if it held."""
    return subprocess.run([FOLDER / case / "run.sh"], check=False).returncode


def test_a_large_job_does_not_stop_the_leader() -> None:
    """A job whose progress needs more than a row still runs, and so do others."""
    assert run("4") == 0


def test_a_task_that_needs_nearly_a_whole_runner_starts() -> None:
    """A task that fits on an idle runner starts, also in a queue of low priority."""
    assert run("5") == 0


def test_pending_jobs_include_those_that_have_not_begun() -> None:
    """A job whose placement came to nothing still counts as pending."""
    assert run("6") == 0
