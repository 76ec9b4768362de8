"""Tests of the agent's ledger: its worker, and what it may acknowledge."""

from __future__ import annotations

from dataclasses import replace

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.jobagent.authority import SLOWEST_CLOCK, Lease
from pistachiodeal.jobagent.ledger import MAX_LISTED_ENDS, AgentLedger
from pistachiodeal.jobagent.losses import UNSETTLED_S
from pistachiodeal.jobagent.orders import Order
from pistachiodeal.jobs.model import LossCause, OrderState
from pistachiodeal.jobs.runtime import CallResult, Listing, WorkerHeartbeat
from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.job_messages import Directive, EndedTask
from tests.standins.job_cluster import create_quiet_log

ROOM = Resources(16_000, 64_000, 0)


def create_ledger() -> AgentLedger:
    return AgentLedger(create_quiet_log())


def build_beat(
    worker: str, *, draining: bool = False, sequence: int = 1
) -> WorkerHeartbeat:
    return WorkerHeartbeat(
        worker, "service", "127.0.0.1:1", draining, 0, sequence, ROOM, ("a", "r1")
    )


def build_directive(worker: str, *, epoch: int = 1, noted: int = 0) -> Directive:
    return Directive(epoch, 1, 10_000, 7, worker, noted, (), (), (), ())


def test_an_end_is_not_acknowledged_by_the_number_of_an_earlier_incarnation():
    """Guards against a completed task that is started again.

    The worker is lost, and a directive in transit names no worker and the number of the
    old one's last end. Since the agent has no worker either, the number is applied. It
    acknowledges the first ends of the next incarnation, which never reach the leader;
    their tasks count as stalled.
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
    """Guards against two leaders that give orders to one worker.

    The agent follows epoch 2, then a directive of epoch 1 arrives late, and the epoch
    is not compared.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    assert ledger.apply_directive(build_directive("w", epoch=2), 5.0)
    granted = ledger.authority.granted_until
    assert not ledger.apply_directive(build_directive("w", epoch=1, noted=9), 50.0)
    assert ledger.acked_end == 0
    assert ledger.authority.granted_until == granted


def test_a_heartbeat_that_was_overtaken_changes_nothing():
    """Guards against tasks that start on a draining worker.

    The heartbeat that reports draining overtakes an earlier one, and the sequence
    number is not compared.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w", sequence=1))
    assert ledger.update(build_beat("w", draining=True, sequence=3))
    assert not ledger.update(build_beat("w", sequence=2))
    assert ledger.draining


def test_an_older_listing_that_arrives_late_is_ignored():
    """Guards against an end that is missing from reports until the next listing.

    A long poll and a poll on demand use two connections, the older answer arrives last,
    and listings are applied in the order of arrival.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    end = EndedTask(1, "0123456789abcdef.0.0.0", 1, "done", "")
    ledger.apply_listing(Listing(CallResult.DONE, 200, (), (end,)), 1.0, 1.0)
    ledger.apply_listing(Listing(CallResult.DONE, 150, (), ()), 1.1, 1.2)
    assert ledger.build_report(1).ends == (end,)


def test_an_outcome_is_kept_until_a_report_with_a_listing_carries_it():
    """Guards against a job that stays active for ever.

    A restarted agent gets an order before its runner has answered, and refuses it. The
    refusal goes out in a report without a listing, which the leader ignores. If the
    answer to that report drops the refusal, the task is never started again.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    task = "0123456789abcdef.0.0.0"
    ledger.orders[task, 1] = Order(task, 1, OrderState.REFUSED, "no lease")
    ledger.build_report(1)
    ledger.apply_directive(replace(build_directive("w"), beat=1), 0.0)
    ledger.apply_listing(Listing(CallResult.DONE, 100), 1.0, 1.0)
    assert [outcome.task for outcome in ledger.build_report(2).outcomes] == [task]
    ledger.apply_directive(replace(build_directive("w"), beat=2), 0.0)
    assert ledger.build_report(3).outcomes == ()


def test_a_directive_for_another_incarnation_acknowledges_nothing():
    """Guards against ends that are acknowledged unseen, so that their tasks run again.

    The worker restarts, and a directive for its last incarnation arrives late, with
    that one's number. Each incarnation numbers its ends from one.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("new"))
    ledger.apply_directive(build_directive("old", noted=40), 0.0)
    assert ledger.acked_end == 0


def test_a_listing_requested_before_the_stop_settles_nothing():
    """Guards against a task that runs twice.

    A start gets no answer, and a listing requested then doesn't show the run. The start
    takes effect afterwards, and a stop is answered. The listing from before the stop
    doesn't prove that the run isn't there, as the stop has yet to end it.
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
    """Guards against a job that stays active for ever.

    An outcome is sent in the third report, and the answer to the second one drops it.
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
    """Guards against a task that runs twice.

    The leader's grant ends in a second, and the agent renews the lease for eight. The
    next leader waits only for the end of the grant.
    """
    lease = Lease()
    lease.sample(1_000, 10.0)
    assert lease.extend(10.0, 11.0) == 1_000 + int(1_000 * SLOWEST_CLOCK)
    assert lease.until == 11.0
    assert lease.extend(11.0, 11.0) == 0


def test_a_run_that_no_incarnation_settled_is_given_up_with_its_own():
    """Guards against a task that waits for ever.

    A start at the first incarnation got no answer, and the second ends before it has
    listed its runs. The leader requeues the run only by the loss of the first, which it
    has already acknowledged.
    """
    ledger = create_ledger()
    task = "0123456789abcdef.0.0.0"
    ledger.adopt(build_beat("w@1"))
    ledger.apply_listing(Listing(CallResult.DONE, 100), 1.0, 1.0)
    ledger.orders[task, 1] = Order(task, 1, sent=True)
    ledger.drop_worker("it crashed")
    ledger.build_report(1)
    ledger.apply_directive(build_directive("w@1"), 0.0)
    ledger.adopt(build_beat("w@2"))
    ledger.drop_worker("it crashed")
    report = ledger.build_report(2)
    assert [loss.worker for loss in report.losses] == ["w@1", "w@2"]
    assert [(one.task, one.outcome) for one in report.outcomes] == [(task, "pending")]
    report_later = read_boot_clock() + UNSETTLED_S
    ledger.loss_history.expire_unsettled(report_later)
    report = ledger.build_report(3)
    assert [loss.worker for loss in report.losses] == ["w@1", "w@2"]
    assert report.outcomes == ()


def test_leases_of_the_former_process_count_until_the_longest_has_passed():
    """Guards against a task that runs twice.

    The agent restarts, and its runner is silent before the first renewal. Its runs
    continue under the leases that the former process of the agent has granted.
    """
    ledger = AgentLedger(create_quiet_log(), longest_lease_s=5.0)
    before = read_boot_clock()
    ledger.adopt(build_beat("w"))
    ledger.apply_listing(Listing(CallResult.DONE, 100), before, before)
    assert ledger.lease.until >= before + 5.0
    ledger.drop_worker("it was silent", LossCause.SILENT)
    until = ledger.lease.until
    ledger.adopt(build_beat("w"))
    assert ledger.lease.until == until


def test_a_listing_that_may_go_on_settles_nothing():
    """Guards against a task that runs again after its end.

    A runner lists at most 500 ends in one answer, and the end of a run that was ordered
    to stop is the next one. Taken for a run that never started, it would be requeued.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    task = "0123456789abcdef.0.0.0"
    ledger.orders[task, 1] = Order(task, 1, settled_at=1.0, sent=True)
    others = tuple(
        EndedTask(number, f"{number:016x}.0.0.0", 1, "done", "")
        for number in range(1, MAX_LISTED_ENDS + 2)
    )
    full = Listing(CallResult.DONE, 100, (), others[:MAX_LISTED_ENDS])
    ledger.apply_listing(full, 2.0, 2.1)
    assert ledger.orders[task, 1].state is OrderState.PENDING
    rest = (*others[MAX_LISTED_ENDS:], EndedTask(502, task, 1, "done", ""))
    ledger.apply_listing(Listing(CallResult.DONE, 200, (), rest), 3.0, 3.1)
    assert not ledger.orders


def test_a_loss_holds_the_ends_that_no_leader_has_acknowledged():
    """Guards against a task that is started again after its listed end.

    The runner crashes while its agent has no leader.
    """
    ledger = create_ledger()
    ledger.adopt(build_beat("w"))
    ends = tuple(
        EndedTask(number, f"{number:016x}.0.0.0", 1, "done", "") for number in (1, 2)
    )
    ledger.apply_listing(Listing(CallResult.DONE, 100, (), ends), 1.0, 1.0)
    ledger.apply_directive(build_directive("w", noted=1), 0.0)
    ledger.drop_worker("it crashed")
    [loss] = ledger.build_report(2).losses
    assert loss.ends == ends[1:]
