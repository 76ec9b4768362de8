"""``pistachiodeal job queues ADDRESS...`` against scripted entries."""

from __future__ import annotations

import json
from dataclasses import asdict

import pytest

from pistachiodeal import exit_codes
from pistachiodeal.commands.cli import main
from pistachiodeal.jobs.queue_report import QueueReport, QueueRow, SlowWorker
from tests.unit.test_commands import LOST, FakeEntry, entries  # noqa: F401


@pytest.fixture
def fakes(entries: list[FakeEntry]) -> list[FakeEntry]:  # noqa: F811
    """Return a leader and a follower with an old summary."""
    row = QueueRow(queue="q", waiting_jobs=2, rejected={}, shares={"rest": 0.25})
    slow = [SlowWorker(place="n/w", speed=0.21)]
    shared = {"leader": "10.0.0.1:7000", "queues": [row], "epoch": 2}
    reports = [
        QueueReport(leads=True, age_s=None, slow_workers=slow, **shared),
        QueueReport(leads=False, age_s=40.0, **shared),
    ]
    for entry, report in zip(entries, reports, strict=True):
        entry.answers = [(200, {}, asdict(report))] * 2
    return entries


def test_reports_are_printed_with_their_age(fakes, capsys):
    """Guards against figures without their source, and a token sent in vain."""
    leader, follower = (one.address for one in fakes)
    assert main(["job", "queues", leader, follower]) == exit_codes.OK
    text = capsys.readouterr().out
    assert f"{leader}: leads, no summary" in text
    assert "rest 0.25" in text and "n/w          0.21" in text
    assert f"{follower}: follows 10.0.0.1:7000, summary of epoch 2 is 40.0" in text
    assert main(["job", "queues", leader, follower, "--json"]) == exit_codes.OK
    documents = json.loads(capsys.readouterr().out)
    assert [one["entry"] for one in documents] == [leader, follower]
    assert documents[0]["queues"][0]["waiting_jobs"] == 2
    method, path, headers, _ = fakes[0].requests[0]
    assert (method, path) == ("GET", "/queues")
    assert "authorization" not in headers


def test_an_entry_that_does_not_answer_is_named(fakes, capsys):
    """Guards against a silent entry that hides the answers of the others."""
    silent, other = (one.address for one in fakes)
    fakes[0].answers = [LOST]
    assert main(["job", "queues", silent, other]) == 69
    output = capsys.readouterr()
    assert silent in output.err and other not in output.err
    assert f"{other}: follows" in output.out
    assert main(["job", "queues", "nowhere"]) == exit_codes.BAD_USAGE


@pytest.mark.parametrize(
    ("fields", "fault"),
    [
        ({"leads": 1}, "leads"),
        ({"queues": None}, "queues"),
        ({"queues": [{"waiting_jobs": 1}]}, "queues.0.queue"),
        ({"queues": [{"queue": "q", "drain_rate": "1"}]}, "queues.0.drain_rate"),
        ({"slow_workers": [{"place": "n/w"}]}, "slow_workers.0.speed"),
    ],
)
def test_a_malformed_answer_is_an_error(fakes, capsys, fields, fault):
    """Guards against a traceback, or a partial answer that is shown as a whole one."""
    (status, headers, document), *_ = fakes[0].answers
    fakes[0].answers = [(status, headers, {**document, **fields})]
    assert main(["job", "queues", fakes[0].address]) == exit_codes.FAILURE
    error = capsys.readouterr().err
    assert "bad_answer" in error and f"({fault}: " in error
    assert fakes[0].address in error


def test_metrics_of_an_older_version_are_an_error(fakes, capsys, monkeypatch):
    """Guards against a misleading message: such an entry answers with its metrics."""
    monkeypatch.setattr(json, "dumps", lambda *_: "run_place 3\n")
    assert main(["job", "queues", fakes[0].address]) == exit_codes.FAILURE
    assert "newer entry" in capsys.readouterr().err
