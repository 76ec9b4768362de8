"""The agent's ledger: which worker it speaks of, and what it may acknowledge."""

from __future__ import annotations

import os
from dataclasses import replace

from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.authority import SLOWEST_CLOCK, Lease
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.orders import Order
from pistachiodeal.jobs.model import LossCause, OrderState
from pistachiodeal.jobs.runtime import CallResult, Listing, WorkerHeartbeat
from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.job_messages import Directive, EndedTask

ROOM = Resources(16_000, 64_000, 0)


def create_ledger() -> AgentLedger:
    return AgentLedger(EventLog(os.open(os.devnull, os.O_WRONLY), "test"))


def build_beat(
    worker: str, *, draining: bool = False, sequence: int = 1
) -> WorkerHeartbeat:
    return WorkerHeartbeat(
        worker, "service", "127.0.0.1:1", draining, 0, sequence, ROOM, ("a", "r1")
    )


def build_directive(worker: str, *, epoch: int = 1, noted: int = 0) -> Directive:
    return Directive(epoch, 1, 10_000, 7, worker, noted, (), (), (), ())


def test_an_end_is_not_acknowledged_by_the_number_of_an_earlier_incarnation():
    """A task that had ended as done was started again.

    Symptom: the first ends of a reborn worker never reached the leader; their tasks
    were taken for stalled and started elsewhere.
    Sequence: the worker is lost; a directive that was on its way names no worker and
    the ends noted of the old one; a new incarnation is adopted and its run ends.
    Cause: "no worker" was equal to "no worker", so the old number was taken over and
    acknowledged the new incarnation's ends unseen.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("old"))
    ledger.drop_worker("it left", LossCause.LEFT)
    ledger.apply_directive(build_directive("", noted=40), 0.0)
    ledger.adopt(build_beat("new"))
    end = EndedTask(1, "0123456789abcdef.0.0.0", 1, "done", "")
    ledger.apply_listing(Listing(CallResult.DONE, 100, (), (end,)), 1.0, 1.0)
    assert ledger.acked_end == 0
    assert ledger.build_report(1).ends == (end,)


def test_a_directive_of_a_replaced_leader_changes_nothing():
    """A replaced leader's orders were obeyed.

    Symptom: two leaders order one worker. Sequence: the agent follows epoch 2, then a
    directive of epoch 1 arrives late. Cause: the epoch was not compared.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    assert ledger.apply_directive(build_directive("w", epoch=2), 5.0)
    granted = ledger.authority.granted_until
    assert not ledger.apply_directive(build_directive("w", epoch=1, noted=9), 50.0)
    assert ledger.acked_end == 0
    assert ledger.authority.granted_until == granted


def test_a_heartbeat_that_was_overtaken_changes_nothing():
    """A draining worker was taken for one that stays.

    Symptom: tasks start on a worker that leaves. Sequence: the heartbeat that says
    draining overtakes an earlier one. Cause: the sequence was not compared.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w", sequence=1))
    assert ledger.update(build_beat("w", draining=True, sequence=3))
    assert not ledger.update(build_beat("w", sequence=2))
    assert ledger.draining


def test_an_older_listing_that_comes_late_is_left():
    """An end vanished from the reports until the next listing.

    Sequence: a long poll and a look are on two connections; the older answer comes
    last. Cause: listings were taken in the order of their arrival.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    end = EndedTask(1, "0123456789abcdef.0.0.0", 1, "done", "")
    ledger.apply_listing(Listing(CallResult.DONE, 200, (), (end,)), 1.0, 1.0)
    ledger.apply_listing(Listing(CallResult.DONE, 150, (), ()), 1.1, 1.2)
    assert ledger.build_report(1).ends == (end,)


def test_an_outcome_is_kept_until_a_report_with_a_listing_carries_it():
    """A task was never started again after its order had been refused.

    Symptom: a job stays active for ever; its order was sent and nothing was heard.
    Sequence: a restarted agent attaches and gets an order before it has heard its
    runner; it refuses; the refusal goes out in a report without a listing, which the
    leader leaves aside; the answer to that report drops the refusal. Cause: the
    outcome counted as told.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    task = "0123456789abcdef.0.0.0"
    ledger.orders[task, 1] = Order(task, 1, OrderState.REFUSED, "no lease")
    ledger.build_report(1)
    ledger.apply_directive(replace(build_directive("w"), beat=1), 0.0)
    ledger.apply_listing(Listing(CallResult.DONE, 100), 1.0, 1.0)
    assert [one.task for one in ledger.build_report(2).outcomes] == [task]
    ledger.apply_directive(replace(build_directive("w"), beat=2), 0.0)
    assert ledger.build_report(3).outcomes == ()


def test_a_directive_for_another_incarnation_acknowledges_nothing():
    """Symptom: ends that nobody has seen are acknowledged, and their tasks run again.

    Sequence: the worker is reborn; a directive for its last incarnation arrives late,
    with that one's number. Cause: numbers count from one in each incarnation.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("new"))
    ledger.apply_directive(build_directive("old", noted=40), 0.0)
    assert ledger.acked_end == 0


def test_a_listing_that_was_asked_for_before_the_stop_settles_nothing():
    """Symptom: a task runs twice.

    Sequence: a start gets no answer; a listing is asked for, which doesn't show it; the
    start is carried out; a stop is answered. Cause: the listing of before the stop was
    taken as a proof that the run isn't there, while the stop has yet to end it.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    task = "0123456789abcdef.0.0.0"
    ledger.orders[task, 1] = Order(task, 1, settled_at=5.0)
    ledger.apply_listing(Listing(CallResult.DONE, 100), 4.0, 5.1)
    assert ledger.orders[task, 1].state is OrderState.PENDING
    ledger.apply_listing(Listing(CallResult.DONE, 200), 5.2, 5.3)
    assert ledger.orders[task, 1].state is OrderState.VOID


def test_an_outcome_is_kept_until_its_own_report_is_answered():
    """Symptom: a job stays active for ever. Sequence: an outcome leaves in the third
    report; the answer to the second one arrives. Cause: any answer counted.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    ledger.apply_listing(Listing(CallResult.DONE, 100), 1.0, 1.0)
    task = "0123456789abcdef.0.0.0"
    ledger.orders[task, 1] = Order(task, 1, OrderState.REFUSED, "no lease")
    ledger.build_report(3)
    ledger.apply_directive(replace(build_directive("w"), beat=2), 0.0)
    assert ledger.orders
    ledger.apply_directive(replace(build_directive("w"), beat=3), 0.0)
    assert not ledger.orders


def test_a_lease_never_outlives_the_grant():
    """Symptom: a task runs twice. Sequence: the leader's grant ends in a second; the
    agent renews for eight. Cause: the successor waits for the grant alone.
    """
    lease = Lease()
    lease.sample(1_000, 10.0)
    assert lease.extend(10.0, 11.0) == 1_000 + int(1_000 * SLOWEST_CLOCK)
    assert lease.until == 11.0
    assert lease.extend(11.0, 11.0) == 0
