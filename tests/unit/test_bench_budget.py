"""The budget of a simulated day: its losses, and the time parts of late jobs."""

from __future__ import annotations

import json

import pytest

from bench.budget import list_losses, print_budget, summarise_log

REPORT = {
    "G": 0.70,
    "parts": [["whole day", 0.75, 0.8], ["worst windows", 0.25, 0.6]],
    "prices": [["machine-seconds", 1373.1, 0.03], ["probes", 0.0, 0.0]],
}


def write_line(at: float, event: str, **fields) -> str:
    line = {"t": at, "p": "node-1", "event": event, **fields}
    return f"{at} node-1 " + json.dumps(line)


def test_the_losses_add_up_to_the_missing_score():
    losses = list_losses(REPORT)
    assert sum(loss.lost for loss in losses) == pytest.approx(0.30)
    assert [loss.name for loss in losses] == [
        "part: whole day",
        "part: worst windows",
        "price: machine-seconds",
        "rest",
    ]


def write_place(at: float, task: str, run: int, waited_ms: int) -> str:
    place = {"task": task, "run": run, "place": "n/w", "waited_ms": waited_ms}
    return write_line(at, "run.place", **place)


def test_a_late_job_is_explained_by_its_longest_task(capsys):
    lines = [
        "a line of another kind",
        write_line(1.0, "job.accepted", job="j", queue="q", steps=[(2, 1_000, "a")]),
        write_place(1.0, "j.0.0.0", 1, 0),
        write_place(1.0, "j.0.0.1", 1, 0),
        write_line(2.0, "run.end", task="j.0.0.0", run=1, how="done", why=""),
        write_line(3.0, "run.end", task="j.0.0.1", run=1, how="stopped", why="moved"),
        write_place(3.5, "j.0.0.1", 2, 500),
        write_line(4.5, "run.end", task="j.0.0.1", run=2, how="done", why=""),
        write_line(
            4.5,
            "job.shown",
            job="j",
            queue="q",
            state="completed",
            age_ms=3500,
            objective_ms=2000,
        ),
    ]
    (queue,) = summarise_log(lines)
    assert (queue.ended, queue.late) == (1, 1)
    spent_s = {part.part: part.median_ms / 1000 for part in queue.parts}
    assert spent_s["stopped: moved"] == 2.0
    assert spent_s["waits"] == 0.5
    assert spent_s["at work"] == 1.0
    assert sum(spent_s.values()) == 3.5
    print_budget(REPORT, [queue])
    assert "q: 1 ended, 1 late or failed" in capsys.readouterr().out
