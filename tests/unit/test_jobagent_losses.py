"""Tests of what an agent reports about a worker that has ended."""

from __future__ import annotations

from dataclasses import replace

from pistachiodeal.jobagent import ledger as ledger_module
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.losses import MAX_LOSSES, RETENTION_S, UNSETTLED_S
from pistachiodeal.jobagent.orders import Order
from pistachiodeal.jobs.model import LossCause, OrderState
from pistachiodeal.jobs.runtime import CallResult, Listing
from pistachiodeal.wire.job_messages import TOKENS_GRANTED, RunningTask
from tests.unit.test_jobagent_ledger import (
    build_beat,
    build_directive,
    create_ledger,
)

TASK = "0123456789abcdef.0.0.0"
OTHER = "0123456789abcdef.0.0.1"


def set_clock(monkeypatch, seconds: float) -> None:
    monkeypatch.setattr(ledger_module, "read_boot_clock", lambda: seconds)


def begin(ledger: AgentLedger, task: str, at: float) -> None:
    """Record that the start of a task's first run was sent."""
    ledger.orders[task, 1] = Order(task, 1, sent=True)
    ledger.run_ages.record_start((task, 1), at)


def list_runs(ledger: AgentLedger, clock_ms: int, at: float, *tasks: str) -> None:
    """Apply a listing of running tasks."""
    running = tuple(RunningTask(task, 1, "", 1, 0) for task in tasks)
    ledger.apply_listing(Listing(CallResult.DONE, clock_ms, running), at, at)


def test_a_crash_is_reported_with_the_age_of_each_run(monkeypatch):
    """Guards against a crash that can't be attributed to a run.

    Without the ages, the leader doesn't know that one run was 8 ms old and the other
    5 s. The age counts until the first unanswered call, not until the agent gives the
    worker up.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    begin(ledger, OTHER, 5.0)
    list_runs(ledger, 100, 6.0, OTHER)
    begin(ledger, TASK, 10.0)
    ledger.run_ages.record_unanswered_call(10.008)
    ledger.run_ages.record_unanswered_call(10.3)
    set_clock(monkeypatch, 10.4)
    ledger.drop_worker("nothing listens at its address")
    (loss,) = ledger.build_report(1).losses
    assert (loss.worker, loss.cause) == ("w", "crashed")
    assert [(run.task, run.age_ms) for run in loss.runs] == [(TASK, 8), (OTHER, 5_008)]
    assert loss.ago_ms == 392


def test_a_run_that_an_earlier_agent_started_has_no_age(monkeypatch):
    """Guards against a long run that counts as new after an agent's restart."""
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    list_runs(ledger, 100, 6.0, TASK)
    set_clock(monkeypatch, 6.1)
    ledger.drop_worker("nothing listens at its address")
    assert [run.age_ms for run in ledger.build_report(1).losses[0].runs] == [-1]


def test_orders_that_were_refused_or_not_sent_are_not_lost_runs():
    """Guards against blaming runs that an ended runner had refused to start."""
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    ledger.orders[TASK, 1] = Order(TASK, 1, OrderState.REFUSED, "absent", sent=True)
    ledger.orders[OTHER, 1] = Order(OTHER, 1)
    ledger.drop_worker("nothing listens at its address")
    assert ledger.build_report(1).losses[0].runs == ()


def test_a_worker_that_had_announced_its_end_has_not_crashed():
    """Guards against blaming runs for a planned end without a goodbye message."""
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    ledger.update(build_beat("w", draining=True, sequence=2))
    ledger.drop_worker("nothing listens at its address")
    assert ledger.build_report(1).losses[0].cause == "left"


def test_a_silent_worker_that_answers_again_is_not_reported_as_lost():
    """Guards against a worker that loses its new runs with each report.

    The worker was given up when its leases expired during a network partition, and
    answers again while its loss is still reported.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    ledger.drop_worker("it is silent", LossCause.SILENT)
    assert [loss.cause for loss in ledger.build_report(1).losses] == ["silent"]
    ledger.adopt(build_beat("w"))
    assert ledger.build_report(2).losses == ()


def test_a_loss_is_reported_to_each_leader_until_it_has_answered(monkeypatch):
    """Guards against a crash that is forgotten.

    A leader ends after it has received the report of a crash and before it has written
    it, and the crash is reported only once.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    set_clock(monkeypatch, 10.0)
    ledger.drop_worker("nothing listens at its address")
    ledger.adopt(build_beat("next"))
    for beat in (1, 2):
        assert [loss.worker for loss in ledger.build_report(beat).losses] == ["w"]
    ledger.apply_directive(replace(build_directive("next"), beat=1), 10.0)
    assert ledger.build_report(3).losses == ()
    ledger.reset_reports()
    set_clock(monkeypatch, 9.9 + RETENTION_S)
    assert [loss.worker for loss in ledger.build_report(1).losses] == ["w"]
    set_clock(monkeypatch, 10.1 + RETENTION_S)
    assert ledger.build_report(2).losses == ()


def test_the_losses_in_a_report_are_limited():
    ledger = create_ledger()
    for number in range(3 * MAX_LOSSES):
        ledger.adopt(build_beat(f"w{number}"))
        ledger.drop_worker("nothing listens at its address")
    assert len(ledger.build_report(1).losses) == MAX_LOSSES


def drop_unanswered(monkeypatch, worker: str) -> AgentLedger:
    """Return the ledger of an agent that lost a worker with an unanswered order."""
    ledger = create_ledger()
    ledger.adopt(build_beat(worker))
    begin(ledger, TASK, 1.0)
    set_clock(monkeypatch, 2.0)
    ledger.drop_worker("nothing listens at its address")
    return ledger


def list_outcomes(ledger: AgentLedger, beat: int) -> list[tuple[str, str]]:
    return [(one.task, one.outcome) for one in ledger.build_report(beat).outcomes]


def test_an_unanswered_order_is_kept_for_the_next_start(monkeypatch):
    """Guards against a run that the leader gives up and the next incarnation starts."""
    ledger = drop_unanswered(monkeypatch, "w@1")
    assert list_outcomes(ledger, 1) == [(TASK, "pending")]
    set_clock(monkeypatch, 3.0)
    ledger.adopt(build_beat("w@2"))
    assert list_outcomes(ledger, 2) == [(TASK, "pending")]
    ledger.apply_listing(Listing(CallResult.DONE, 100), 3.0, 3.1)
    assert list_outcomes(ledger, 3) == [(TASK, "pending")]
    ledger.apply_listing(Listing(CallResult.DONE, 200), 3.2, 3.3)
    assert list_outcomes(ledger, 4) == [(TASK, "void")]


def test_the_loss_of_a_worker_that_stays_away_is_reported_again(monkeypatch):
    """Guards against a task that waits for ever for a runner that never restarts."""
    ledger = drop_unanswered(monkeypatch, "w@1")
    ledger.build_report(1)
    ledger.apply_directive(build_directive("", epoch=1), None)
    assert ledger.build_report(2).losses == ()
    set_clock(monkeypatch, 2.0 + UNSETTLED_S)
    report = ledger.build_report(3)
    assert report.outcomes == ()
    assert [loss.worker for loss in report.losses] == ["w@1"]


def test_a_runner_with_an_id_for_each_start_settles_nothing(monkeypatch):
    """Its orders name the ended incarnation, so their tasks need not wait."""
    assert list_outcomes(drop_unanswered(monkeypatch, "w"), 1) == []


def test_each_start_is_called_under_a_higher_token():
    """Guards against an order for an earlier start that the new one carries out."""
    ledger = create_ledger()
    ledger.apply_directive(build_directive(""), None)
    ledger.adopt(build_beat("w@1"))
    first = ledger.authority.token
    ledger.drop_worker("it has left", LossCause.LEFT)
    ledger.adopt(build_beat("w@2"))
    second = ledger.authority.token
    assert second == first + 1
    ledger.apply_directive(replace(build_directive(""), token=7 + TOKENS_GRANTED), None)
    assert ledger.authority.token > second
    for _ in range(2 * TOKENS_GRANTED):
        ledger.adopt(build_beat("w@2"))
    assert ledger.authority.token < 7 + 2 * TOKENS_GRANTED
