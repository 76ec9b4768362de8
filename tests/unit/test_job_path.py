"""Tests of the analysis of where jobs spent their time."""

from __future__ import annotations

import json

import pytest

from pistachiodeal import exit_codes
from pistachiodeal.commands.cli import main
from pistachiodeal.jobpath.lines import LineReader
from pistachiodeal.jobpath.parts import find_critical_path, measure_parts
from pistachiodeal.jobpath.traces import Tracer

JOB = "0000000000000001"
FIRST, OTHER, LAST = f"{JOB}.0.0.0", f"{JOB}.0.0.1", f"{JOB}.0.1.0"
NODE = "side-1"


def write_line(at: float, event: str, process: str = "entry-1", **fields) -> str:
    line = {"t": at, "p": process, "event": event, **fields}
    return f"   1.5 {process} " + json.dumps(line) + "\n"


def write_run(
    task: str, run: int, placed_at: float, ended_at: float, **fields
) -> list[str]:
    """Return the log lines of a run that waited for half a second."""
    named = {"task": task, "run": run, "place": f"{NODE}/w"}
    end = {"how": "done", "why": "", **fields}
    return [
        write_line(placed_at, "run.place", **named, waited_ms=500),
        write_line(placed_at + 0.25, "run.order", **named, waited_ms=250),
        write_line(placed_at + 0.5, "run.started", NODE, **named, result="done"),
        write_line(ended_at, "run.end", **named, **end),
    ]


def write_day(*, objective_ms: int = 5_000) -> list[str]:
    """Return the log of a job with two steps, the second one slowed by its pace."""
    steps = [(2, 1_000, "a"), (1, 1_000, "b")]
    return [
        "a line of another kind\n",
        write_line(100.0, "job.accepted", job=JOB, queue="q", steps=steps),
        write_line(100.5, "job.known", job=JOB, queue="q"),
        *write_run(FIRST, 1, 101.0, 103.0),
        *write_run(OTHER, 1, 101.0, 104.0),
        write_line(104.0, "step.waits", job=JOB, step="0.1", room=1, neighbours=5),
        *write_run(LAST, 1, 104.5, 106.0, how="stopped", why="it stands still"),
        write_line(106.0, "pace.changed", NODE, paces={"b": 50}),
        *write_run(LAST, 2, 106.5, 110.0),
        write_line(
            110.25,
            "job.shown",
            job=JOB,
            queue="q",
            state="completed",
            age_ms=10_250,
            objective_ms=objective_ms,
        ),
    ]


def trace(lines: list[str]) -> Tracer:
    tracer = Tracer()
    tracer.add_lines(LineReader().read(lines))
    return tracer


def test_the_critical_path_holds_the_tasks_that_determined_the_end():
    job = trace(write_day()).jobs[JOB]
    assert find_critical_path(job) == [job.tasks[OTHER], job.tasks[LAST]]


def test_the_parts_of_a_path_add_up_to_the_jobs_age():
    tracer = trace(write_day())
    job = tracer.jobs[JOB]
    parts = measure_parts(job, tracer.paces)
    assert sum(parts.values()) == pytest.approx(job.age_s)
    assert parts["heard by the leader"] == 0.5
    assert parts["waits: neighbours"] == 1.0
    assert parts["stopped: it stands still"] == 1.25
    assert parts["at work"] == pytest.approx(2.5 + 1.5)
    assert parts["held back by its pace"] == pytest.approx(1.5)
    assert parts["shown after its end"] == 0.25


def test_a_reason_that_names_a_task_counts_as_one_reason():
    """Guards against a table with one line for each task that made a run stop."""
    lines = [
        line.replace("it stands still", f"yields to {OTHER}") for line in write_day()
    ]
    tracer = trace(lines)
    parts = measure_parts(tracer.jobs[JOB], tracer.paces)
    assert parts["stopped: yields to a task"] == 1.25


def test_a_job_without_lines_of_agents_is_analysed():
    """Guards against an error when the log of an agent is missing."""
    tracer = trace([line for line in write_day() if NODE not in line.split()[1]])
    parts = measure_parts(tracer.jobs[JOB], tracer.paces)
    assert sum(parts.values()) == pytest.approx(10.25)
    assert "held back by its pace" not in parts


def test_foreign_lines_are_counted_and_ignored():
    """Guards against a command that fails on the log of another program."""
    reader, tracer = LineReader(), Tracer()
    lines = [
        "{no json\n",
        "[1, 2]\n",
        '{"t": "yesterday", "p": "x", "event": "run.end"}\n',
        write_line(1.0, "run.place", task="short", run=1, place="n/w", waited_ms=1),
        write_line(1.0, "job.shown", job=JOB, queue="q", state="completed"),
        write_line(1.0, "step.waits", job=JOB, step="0.0"),
    ]
    tracer.add_lines(reader.read(lines))
    assert reader.skipped == 3
    assert tracer.unreadable == 3


def test_the_command_prints_a_table_for_each_queue(tmp_path, capsys):
    log = tmp_path / "day.log"
    log.write_text("".join(write_day()))
    assert main(["job", "path", str(log)]) == exit_codes.OK
    printed = capsys.readouterr().out
    assert "q: 1 ended, 1 of them late or failed" in printed
    assert "waits: neighbours" in printed
    assert main(["job", "path", str(log), "--json"]) == exit_codes.OK
    (queue,) = json.loads(capsys.readouterr().out)
    assert (queue["queue"], queue["ended"], queue["late"]) == ("q", 1, 1)
    assert sum(part["late_share"] for part in queue["parts"]) == pytest.approx(1.0)
    assert queue["parts"][0]["part"] == "at work"


def test_a_job_in_time_takes_no_share_of_lateness(tmp_path, capsys):
    log = tmp_path / "day.log"
    log.write_text("".join(write_day(objective_ms=20_000)))
    assert main(["job", "path", str(log), "--json"]) == exit_codes.OK
    (queue,) = json.loads(capsys.readouterr().out)
    assert queue["late"] == 0
    assert {part["late_share"] for part in queue["parts"]} == {0.0}


def test_logs_without_a_job_and_missing_files_are_reported(tmp_path, capsys):
    log = tmp_path / "empty.log"
    log.write_text("nothing\n")
    assert main(["job", "path", str(log)]) == exit_codes.NOT_FOUND
    assert "1 lines hold no event" in capsys.readouterr().err
    assert main(["job", "path", str(tmp_path / "none")]) == exit_codes.FAILURE
    assert "cannot read" in capsys.readouterr().err
