"""The ``job`` commands, on rows in memory."""

from __future__ import annotations

import json

import orjson
import pytest

from pistachiodeal import exit_codes
from pistachiodeal.commands import job as command
from pistachiodeal.commands.cli import main
from pistachiodeal.jobs.progress import encode_progress
from pistachiodeal.jobs.record import build_record
from pistachiodeal.jobs.rows import CANCEL_VALUE, build_cancel_key, encode_job
from pistachiodeal.jobs.tombstones import TOMBSTONE_VALUE
from pistachiodeal.store.row_store import StoredRow
from tests.standins.job_cluster import build_job, close_data_centre
from tests.standins.rows import MemoryRows, RowsState

STORE = ["--store", "127.0.0.1:1"]
FIRST, SECOND = f"{1:016x}", f"{2:016x}"


@pytest.fixture
def state(monkeypatch):
    """Return rows with two jobs: the first is running, the second just accepted."""
    state = RowsState()
    monkeypatch.setattr(command, "create_rows", lambda *_: MemoryRows(state))
    for number in (1, 2):
        job = build_job(number, count=2, steps=2)
        put(state, "jobs", job.job_id, encode_job(job))
    record = build_record(build_job(1, count=2, steps=2))
    record.open_due(0.0)
    first, second = record.occurrences[0][0].tasks
    first.run, first.place, first.failures = 2, "node/w1", 1
    second.run = 1
    record.occurrences[0][0].mark_done(second)
    put(state, "progress", FIRST, encode_progress(record))
    put(state, "control", "leader", orjson.dumps({"node": "entry-1"}))
    return state


def put(state: RowsState, table: str, key: str, value: bytes) -> None:
    state.version += 1
    state.rows[table, key] = StoredRow(key, value, state.version)


def run_json(capsys, *arguments: str):
    assert main([*arguments, *STORE, "--json"]) == exit_codes.OK
    return json.loads(capsys.readouterr().out)


def test_a_job_is_shown_with_its_steps(state, capsys):
    shown = run_json(capsys, "job", "show", FIRST)
    assert shown["queue"] == "q"
    first, second = shown["steps"]
    assert (first["done"], first["placed"], first["failures"]) == (1, 1, 1)
    assert first["why"] == "at node/w1"
    assert second["why"] == "after step 0"


def test_what_a_job_waits_for_is_explained(state, capsys):
    assert "at work" in run_json(capsys, "job", "why", FIRST)["why"]
    assert "wait for a worker" in run_json(capsys, "job", "why", SECOND)["why"]
    put(state, "jobs", build_cancel_key(SECOND), CANCEL_VALUE)
    assert "cancellation" in run_json(capsys, "job", "why", SECOND)["why"]
    put(state, "control", "leader", orjson.dumps({"node": ""}))
    assert "nobody leads" in run_json(capsys, "job", "why", FIRST)["why"]


def test_jobs_are_listed_and_counted(state, capsys):
    put(state, "jobs", build_cancel_key(SECOND), CANCEL_VALUE)
    assert len(run_json(capsys, "job", "list")) == 2
    assert [row["job"] for row in run_json(capsys, "job", "list", "--open")] == [FIRST]
    assert run_json(capsys, "job", "list", "--queue", "other") == []
    assert run_json(capsys, "job", "queues") == {"q": {"queued": 1, "cancelled": 1}}
    assert main(["job", "queues", *STORE]) == exit_codes.OK
    assert "queue" in capsys.readouterr().out


def test_a_tombstone_is_no_job(state, capsys):
    """Guards against commands that fail at the id of a cancelled submission."""
    put(state, "jobs", f"{3:016x}", TOMBSTONE_VALUE)
    assert len(run_json(capsys, "job", "list")) == 2
    assert main(["job", "show", f"{3:016x}", *STORE]) == exit_codes.NOT_FOUND


@pytest.mark.parametrize("value", [b"\xff", b"[]", encode_job(build_job(4))])
def test_a_row_that_cannot_be_read_hides_no_job(state, capsys, value):
    """Guards against commands that show nothing since another writer left one row."""
    put(state, "jobs", f"{3:016x}", value)
    put(state, "progress", SECOND, b"[]")
    put(state, "control", "leader", b"[]")
    assert main(["job", "list", *STORE, "--json"]) == exit_codes.OK
    printed = capsys.readouterr()
    assert [row["job"] for row in json.loads(printed.out)] == [FIRST]
    assert f"left out {3:016x}" in printed.err and f"left out {SECOND}" in printed.err
    assert "nobody leads" in run_json(capsys, "job", "why", FIRST)["why"]


def test_closed_data_centres_are_listed(state, capsys):
    assert run_json(capsys, "job", "closed") == []
    close_data_centre(state, "b")
    close_data_centre(state, "a")
    assert run_json(capsys, "job", "closed") == ["a", "b"]
    assert main(["job", "closed", *STORE]) == exit_codes.OK
    assert "data_centre" in capsys.readouterr().out


def test_unknown_job_and_unavailable_store_have_their_exit_status(state, capsys):
    assert main(["job", "show", "f" * 16, *STORE]) == exit_codes.NOT_FOUND
    state.faults.down = True
    assert main(["job", "show", FIRST, *STORE]) == exit_codes.UNREACHABLE
    assert main(["job", "show", FIRST, "--store", ""]) == exit_codes.BAD_USAGE
