"""The budget of a played day adds up."""

from __future__ import annotations

import json

import pytest

from bench.budget import list_losses, read_events, trace_jobs

REPORT = {
    "G": 0.70,
    "parts": [["whole day", 0.75, 0.8], ["worst windows", 0.25, 0.6]],
    "prices": [["machine-seconds", 1373.1, 0.03], ["probes", 0.0, 0.0]],
}


def write_line(at: float, event: str, **fields) -> str:
    return f"{at} node-1 " + json.dumps({"event": event, **fields})


def test_the_losses_add_up_to_what_the_day_lacks():
    losses = list_losses(REPORT)
    assert sum(one.lost for one in losses) == pytest.approx(0.30)
    assert [one.name for one in losses] == [
        "part: whole day",
        "part: worst windows",
        "price: machine-seconds",
        "rest",
    ]


def test_a_late_job_is_told_by_the_task_that_took_longest():
    lines = [
        "a line of another kind",
        write_line(1.0, "job.accepted", job="j", queue="q"),
        write_line(1.0, "run.place", task="j.0.0.0", run=1, waited_ms=0),
        write_line(1.0, "run.place", task="j.0.0.1", run=1, waited_ms=0),
        write_line(2.0, "run.end", task="j.0.0.0", run=1, how="done", why=""),
        write_line(3.0, "run.end", task="j.0.0.1", run=1, how="stopped", why="moved"),
        write_line(3.5, "run.place", task="j.0.0.1", run=2, waited_ms=500),
        write_line(4.5, "run.end", task="j.0.0.1", run=2, how="done", why=""),
        write_line(
            4.5,
            "job.shown",
            job="j",
            state="completed",
            age_ms=3500,
            objective_ms=2000,
        ),
    ]
    job = trace_jobs(read_events(lines))["j"]
    assert job.ratio == 1.75
    assert job.causes["stopped: moved"] == 2.0
    assert job.causes["waiting for a worker"] == 0.5
    assert job.causes["working"] == 1.0
