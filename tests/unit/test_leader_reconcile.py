"""Tests how the leader reconciles the reports of agents with its decisions."""

from __future__ import annotations

from dataclasses import replace

import pytest

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.authority import LEASE_S, SLOWEST_CLOCK, Lease
from pistachiodeal.jobs.model import EndKind
from pistachiodeal.jobs.progress import apply_progress, encode_progress
from pistachiodeal.jobs.record import build_record
from pistachiodeal.leader.descheduler import HELD_BACK_S, STALL_S, Descheduler
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Attachment, Fleet
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.wire.job_messages import (
    EndedTask,
    Label,
    OrderOutcome,
    RunningTask,
    WorkerLoss,
    WorkerReport,
)
from tests.standins.job_cluster import QUEUE, build_job, create_quiet_log

TASK = "0000000000000001.0.0.0"


class LeaderHarness:
    """A leader with one task that an earlier leader placed on ``node/w1``."""

    def __init__(self) -> None:
        events = create_quiet_log()
        self.registry = JobRegistry(events)
        self.fleet = Fleet()
        self.reconciler = Reconciler(
            self.registry, self.fleet, InterferenceModel(), events
        )
        self.registry.add(build_job(1, count=1, steps=1), 0.0)
        self.task = self.registry.find_task(TASK)
        self.registry.place(self.task, 1, "node/w1", lambda: None)
        self.write()
        self.attachment = Attachment("node", 1)
        self.fleet.get("node").attachment = self.attachment

    def write(self) -> None:
        """Make all changes durable and run their callbacks."""
        for record, callbacks in self.registry.begin_writes(10):
            self.registry.finish_write(record.job_id)
            for callback in callbacks:
                callback()

    def report(self, worker="w1", running=(), ends=(), outcomes=(), losses=()) -> None:
        """Apply a report of the node's agent."""
        self.reconciler.apply(
            self.attachment,
            WorkerReport(
                1, 1, worker, tuple(losses), "svc", True, False, 0, 16_000, 64_000, 0,
                (Label("a"), Label("r1")), tuple(running), tuple(ends), tuple(outcomes),
            ),
        )  # fmt: skip


def test_an_unlisted_run_of_an_earlier_leader_is_stopped():
    """Guards against a task that runs twice after a change of leader.

    A leader orders a run and dies; the order is still in flight when the successor gets
    a report without the run, and must not assume that it will never start.
    """
    harness = LeaderHarness()
    harness.report()
    assert harness.task.place == "node/w1"
    assert [ref.task for ref in harness.attachment.outbox.stops] == [TASK]
    harness.report(outcomes=[OrderOutcome(TASK, 1, "void", "")])
    assert harness.task.waits


def test_an_end_is_acknowledged_only_once_it_is_durable():
    """Guards against a task that runs again after its end was acknowledged.

    This happens if the leader acknowledges the end and dies before writing it.
    """
    harness = LeaderHarness()
    harness.report(ends=[EndedTask(1, TASK, 1, "done", "")])
    worker = harness.fleet.get("node")
    assert worker.ends_noted == 0
    harness.write()
    harness.report(ends=[EndedTask(1, TASK, 1, "done", "")])
    assert worker.ends_noted == 1


def test_a_new_incarnation_requeues_the_runs_of_the_old_one():
    """Guards against tasks that wait for the leases of a runner that is gone.

    The runner crashes and restarts as another incarnation at the same address.
    """
    harness = LeaderHarness()
    harness.report(worker="w2")
    assert harness.task.waits
    assert harness.task.run == 1


def test_a_requeued_run_is_stopped_where_it_is_listed():
    """Guards against a task that runs in two places.

    A worker is considered lost and its task requeued; then the worker returns with the
    old run, which must not be left running.
    """
    harness = LeaderHarness()
    harness.registry.requeue(harness.task)
    harness.report(running=[RunningTask(TASK, 1, "", 10, 0)])
    assert [ref.run for ref in harness.attachment.outbox.stops] == [1]


def test_no_lease_outlives_the_leaders_grant():
    """Guards against a task that runs in two places after a network partition.

    The leader requeues the tasks when the grant ends. An agent that can't reach the
    leader must not renew its runner's lease past the grant, measured by the slowest
    clock allowed.
    """
    now = read_boot_clock()
    lease = Lease()
    lease.sample(1_000, now)
    lease_end_ms = lease.extend(now, now + 2.0)
    assert lease.until == now + 2.0
    assert lease_end_ms == 1_000 + int(2_000 * SLOWEST_CLOCK)
    assert lease.extend(now, now + 100.0) <= 1_000 + LEASE_S * 1_000
    assert lease.extend(now, now - 1.0) == 0


def test_nothing_is_placed_on_a_worker_whose_agent_has_not_listed_it():
    """Guards against orders that are refused right after an agent's restart.

    This happens if the leader places runs by the listing of an earlier link.
    """
    harness = LeaderHarness()
    harness.report()
    worker = harness.fleet.get("node")
    assert worker.schedulable
    worker.attach(Attachment("node", 2))
    assert not worker.schedulable


def test_a_task_that_fails_everywhere_does_not_count_against_a_worker():
    """Guards against healthy workers that get no tasks.

    Jobs that can never succeed fail on one worker after another, and these failures
    must not count against the workers.
    """
    harness = LeaderHarness()
    harness.task.failures = 1
    harness.report(ends=[EndedTask(1, TASK, 1, "failed", "")])
    assert harness.fleet.get("node").health.failures == 0


def test_a_filling_task_that_is_held_back_is_moved():
    """Guards against a filling task that stays beside a busy neighbour until its job is
    late, although other workers have room.

    Its agent paces it down to nothing, which stall detection does not cover.
    """
    harness = LeaderHarness()
    step = replace(harness.task.step, fills=True, checkpoints=True, image="f")
    harness.task.step = step
    descheduler = Descheduler(
        harness.registry, harness.fleet, harness.reconciler, LimitSettings()
    )
    now = read_boot_clock()
    harness.report(running=[RunningTask(TASK, 1, "", 10, 0, 900)])
    harness.task.slow_since = now
    descheduler.run(now + HELD_BACK_S / 2)
    assert not harness.task.stopping
    descheduler.run(now + HELD_BACK_S * 2)
    assert harness.task.stopping
    assert "node" in harness.task.avoid


def find_stop_reason(*, fills: bool, pace_milli: int, listed_s: float) -> str:
    """Return why a task is stopped that is listed without progress, if it is."""
    harness = LeaderHarness()
    harness.task.step = replace(harness.task.step, fills=fills, image="f")
    descheduler = Descheduler(
        harness.registry, harness.fleet, harness.reconciler, LimitSettings()
    )
    harness.report(running=[RunningTask(TASK, 1, "", 10, 0, pace_milli)])
    harness.task.progressed_at -= listed_s
    # Being held back by its pace is another reason, which has its own test.
    harness.task.slow_since = read_boot_clock()
    descheduler.run(read_boot_clock())
    return harness.task.stopping


def test_a_filling_task_on_a_hung_worker_is_moved():
    """Guards against a filling job that waits until its hung worker recovers.

    All tasks on a worker make no progress for five seconds. Filling tasks need stall
    detection too, except while they are paced down to nothing.
    """
    assert find_stop_reason(fills=True, pace_milli=1000, listed_s=STALL_S + 0.1)
    assert not find_stop_reason(fills=True, pace_milli=100, listed_s=STALL_S + 0.1)
    assert not find_stop_reason(fills=True, pace_milli=1000, listed_s=STALL_S - 0.5)


def test_a_task_of_a_silent_agent_has_not_stalled():
    """Guards against moving the tasks of a frozen agent, which doubles their duration.

    An agent is frozen for three seconds while its runner works on. Time without a
    listing must not count as time without progress.
    """
    harness = LeaderHarness()
    descheduler = Descheduler(
        harness.registry, harness.fleet, harness.reconciler, LimitSettings()
    )
    harness.report(running=[RunningTask(TASK, 1, "", 10, 0, 1000)])
    descheduler.run(read_boot_clock() + STALL_S + 3.0)
    assert not harness.task.stopping


def test_no_order_goes_to_an_agent_that_has_not_listed_its_worker():
    """Guards against a job that stays active forever.

    A run is placed, and its agent restarts before the placement is durable. The agent
    has received no heartbeat of its runner yet and would drop the order, while the
    leader would consider the run ordered.
    """
    harness = LeaderHarness()
    harness.report()
    harness.registry.requeue(harness.task)
    harness.registry.place(harness.task, 2, "node/w1", lambda: None)
    worker = harness.fleet.get("node")
    attachment = Attachment("node", 2)
    worker.attach(attachment)
    harness.reconciler.send_order(harness.task, 2, "node/w1")
    assert attachment.outbox.starts == []
    assert harness.task.waits


def test_a_refused_task_is_held_back_for_a_moment():
    """Guards against a task that is ordered and refused hundreds of times a second.

    A runner refuses a run that fits by the leader's state, and the task would be placed
    again at once.
    """
    harness = LeaderHarness()
    harness.report(outcomes=[OrderOutcome(TASK, 1, "refused", "no_room")])
    assert harness.task.waits
    assert harness.task.held_until > read_boot_clock()


def test_the_wait_of_a_later_step_starts_when_it_is_ready():
    """Guards against later steps of a filling job that are placed beside tasks that
    they disturb.

    The first step takes seconds. If the second step's wait counted from the acceptance
    of the job, it would be starved as soon as it is ready.
    """
    registry = JobRegistry(create_quiet_log())
    registry.add(build_job(1, count=1, steps=2), 0.0)
    record = registry.records[build_job(1).job_id]
    first, second = record.iterate_tasks()
    second.ready_at -= 60.0
    registry.place(first, 1, "node/w1", lambda: None)
    registry.end_run(first, EndKind.DONE, "", lambda: None)
    assert read_boot_clock() - second.ready_at < 1.0


def test_an_end_of_an_earlier_run_is_not_that_of_the_newest():
    """Guards against a task that counts as done while its run continues, or that counts
    one failure twice.

    A run is stopped and its task placed again on the same worker; the end of the first
    run is listed after that. Ends have to match by run, not only by task.
    """
    harness = LeaderHarness()
    harness.registry.requeue(harness.task)
    harness.registry.place(harness.task, 2, "node/w1", lambda: None)
    harness.write()
    harness.report(ends=[EndedTask(1, TASK, 1, "done", "")])
    assert not harness.task.done
    assert harness.task.place == "node/w1"


def test_an_end_on_a_worker_that_the_run_has_left_is_not_its_end():
    """Guards against placing a running task again.

    An earlier leader used the same run number on another worker, so ends have to match
    by place as well.
    """
    harness = LeaderHarness()
    harness.registry.requeue(harness.task)
    harness.registry.place(harness.task, 1, "other/w9", lambda: None)
    harness.write()
    harness.report(ends=[EndedTask(1, TASK, 1, "stopped", "")])
    assert harness.task.place == "other/w9"


def test_a_run_whose_placement_is_not_durable_is_not_stopped():
    """Guards against stopping a run before its order is sent.

    The agent reports, without the run, before the row of the placement is written; the
    run must not be mistaken for one whose order was lost.
    """
    harness = LeaderHarness()
    harness.registry.requeue(harness.task)
    harness.write()
    harness.registry.place(harness.task, 2, "node/w1", lambda: None)
    harness.report()
    assert harness.attachment.outbox.stops == []


def test_an_order_is_not_sent_if_its_task_was_placed_elsewhere():
    """Guards against two runs of one task.

    While a placement waits for its write, its worker is lost and the task is placed
    again. The order of the first run must not be sent when that write completes.
    """
    harness = LeaderHarness()
    harness.report(running=[RunningTask(TASK, 1, "", 5, 0)])
    harness.registry.requeue(harness.task)
    harness.registry.place(harness.task, 2, "other/w9", lambda: None)
    harness.reconciler.send_order(harness.task, 1, "node/w1")
    assert harness.attachment.outbox.starts == []


def test_an_end_is_not_acknowledged_to_a_new_incarnation():
    """Guards against acknowledging the first end of a new incarnation before it is
    received, so that its task runs again.

    An end waits for its write, the worker restarts, and then the write completes. The
    end's number belongs to the old incarnation only.
    """
    harness = LeaderHarness()
    harness.report(ends=[EndedTask(1, TASK, 1, "done", "")])
    harness.report(worker="w2")
    harness.write()
    worker = harness.fleet.get("node")
    worker.advance_ends_noted((EndedTask(1, "0000000000000002.0.0.0", 1, "done", ""),))
    assert worker.ends_noted == 0


def test_an_end_that_is_listed_twice_counts_once():
    """Guards against a job that fails after half of its attempts.

    An unacknowledged end is listed again after its task was placed on the same worker
    with the same run number, by a leader that did not know of the first run.
    """
    harness = LeaderHarness()
    end = EndedTask(1, TASK, 1, "failed", "")
    harness.report(ends=[end])
    assert harness.task.failures == 1
    harness.registry.place(harness.task, 1, "node/w1", lambda: None)
    harness.report(ends=[end])
    assert harness.task.failures == 1


LOSS = WorkerLoss("w1", "crashed", 100, ())


def test_an_end_of_an_unknown_kind_queues_the_task_again():
    """Guards against a task that stays placed for ever after its run has ended.

    A runner of another version names an end that the leader doesn't know. The error
    ended the agent's link, and the end was taken for applied when it was listed again.
    """
    harness = LeaderHarness()
    harness.report(ends=[EndedTask(1, TASK, 1, "evaporated", "")])
    assert harness.task.waits
    assert not harness.task.failures
    harness.write()
    harness.report(ends=[EndedTask(1, TASK, 1, "evaporated", "")])
    assert harness.fleet.get("node").ends_noted == 1


def test_a_run_started_by_the_next_incarnation_continues_there():
    """Guards against requeueing a run that the next incarnation has started."""
    harness = LeaderHarness()
    harness.report(worker="w2", running=[RunningTask(TASK, 1, "", 5, 0)], losses=[LOSS])
    assert (harness.task.place, harness.task.running) == ("node/w2", True)
    assert harness.attachment.outbox.stops == []


def test_an_end_listed_by_the_next_incarnation_counts():
    """Guards against rerunning a task that the next incarnation has completed."""
    harness = LeaderHarness()
    harness.report(worker="w2", ends=[EndedTask(1, TASK, 1, "done", "")])
    assert harness.task.done


def test_a_run_that_may_still_start_is_not_requeued():
    """Guards against two runs: the next incarnation may start an unanswered order."""
    harness = LeaderHarness()
    pending = OrderOutcome(TASK, 1, "pending", "")
    harness.report(worker="", outcomes=[pending], losses=[LOSS])
    assert harness.task.place == "node/w1"
    harness.report(worker="w2", outcomes=[pending])
    assert harness.task.place == "node/w2"
    harness.report(worker="w2", outcomes=[OrderOutcome(TASK, 1, "void", "")])
    assert harness.task.waits


def test_a_run_that_can_no_longer_start_is_requeued():
    """Guards against a task that waits forever for a runner that stays away."""
    harness = LeaderHarness()
    pending = OrderOutcome(TASK, 1, "pending", "")
    harness.report(worker="", outcomes=[pending], losses=[LOSS])
    harness.report(worker="", losses=[LOSS])
    assert harness.task.waits


def test_a_loss_ends_no_runs_of_other_incarnations():
    """Guards against two runs: an agent that hears of an ended incarnation late adopts
    it, and reports its loss before it knows the one that is running.
    """
    harness = LeaderHarness()
    harness.report(running=[RunningTask(TASK, 1, "", 5, 0)])
    harness.report(worker="", losses=[replace(LOSS, worker="w0")])
    assert harness.task.place == "node/w1"
    harness.report(worker="", losses=[LOSS])
    assert harness.task.waits


def test_the_ends_of_a_lost_incarnation_count():
    """Guards against a task that is started again after its listed end.

    A runner crashes after its agent has read the end, and before a leader has.
    """
    harness = LeaderHarness()
    harness.report(running=[RunningTask(TASK, 1, "", 5, 0)])
    harness.report(worker="", losses=[replace(LOSS, ends=(DONE,))])
    assert harness.task.done


DONE = EndedTask(1, TASK, 1, "done", "")


@pytest.mark.parametrize("run", [1, 2])
def test_the_end_of_a_lost_incarnation_leaves_its_event(run, monkeypatch):
    """Guards against a task whose events don't show which run has completed it, where.

    An end that a loss reported left no event, or one with the place of the newest
    incarnation of the node.
    """
    harness, seen = LeaderHarness(), []
    harness.report(running=[RunningTask(TASK, 1, "", 5, 0)])
    if run == 2:
        harness.report(worker="w2")
        harness.registry.place(harness.task, 2, "other/w9", lambda: None)
    monkeypatch.setattr(
        EventLog, "emit", lambda _, event, **fields: seen.append((event, fields))
    )
    harness.report(worker="w2", losses=[replace(LOSS, ends=(DONE,))])
    events = {name: (one["run"], one["place"]) for name, one in seen if "run" in one}
    assert events["run.end" if run == 1 else "run.done_before"] == (1, "node/w1")


def test_an_end_done_of_a_run_that_was_taken_for_lost_counts():
    """Guards against a task that is started again after its end.

    A runner is silent until its leases have run out, and its task is queued again. Then
    it lists that it has completed the task.
    """
    harness = LeaderHarness()
    harness.registry.requeue(harness.task)
    harness.report(ends=[DONE])
    assert harness.task.done
    assert harness.fleet.get("node").ends_noted == 0
    harness.write()
    harness.report(ends=[DONE])
    assert harness.fleet.get("node").ends_noted == 1


@pytest.mark.parametrize("how", ["stopped", "failed", "lost", "done"])
def test_no_run_follows_one_that_started_before_an_earlier_one_was_done(how):
    """Guards against a third run, and against a task that counts as done while it runs.

    A runner that was taken for lost lists that it has completed a task whose next run
    has been ordered. The end is kept until that run has ended.
    """
    harness = LeaderHarness()
    harness.registry.requeue(harness.task)
    harness.registry.place(harness.task, 2, "other/w9", lambda: None)
    harness.write()
    harness.report(ends=[DONE])
    harness.write()
    assert not harness.task.done
    assert harness.task.stopping
    assert harness.fleet.get("node").ends_noted == 0
    if how == "lost":
        harness.reconciler.requeue_lost_runs("other/w9", "its leases have run out")
    else:
        harness.registry.end_run(harness.task, EndKind(how), "", lambda: None)
    assert harness.task.done
    harness.write()
    harness.report(ends=[DONE])
    assert harness.fleet.get("node").ends_noted == 1


def test_no_end_done_is_acknowledged_before_its_task_is_stored_as_done():
    """Guards against a task that is started again after two of its runs were done.

    The end of the newest run isn't durable yet when a runner that was taken for lost
    lists that an earlier run has completed the task too.
    """
    harness = LeaderHarness()
    harness.registry.requeue(harness.task)
    harness.registry.place(harness.task, 2, "other/w9", lambda: None)
    harness.write()
    harness.registry.end_run(harness.task, EndKind.DONE, "", lambda: None)
    harness.report(ends=[DONE])
    assert harness.fleet.get("node").ends_noted == 0
    harness.write()
    harness.report(ends=[DONE])
    assert harness.fleet.get("node").ends_noted == 1


def test_a_stop_is_ordered_again_after_its_agent_has_lost_the_worker():
    """Guards against a run that is never stopped since its stop counts as sent.

    An agent that takes its worker for gone gives up the stops. It hears the worker
    again on the same link.
    """
    harness = LeaderHarness()
    running = [RunningTask(TASK, 1, "", 0, 0)]
    harness.report(running=running)
    harness.reconciler.stop(harness.task, "its job is cancelled")
    harness.attachment.build_directive(1, "w1", 0, 1, 1)
    harness.report(running=running)
    assert not harness.attachment.outbox.stops
    harness.report(worker="")
    harness.report(running=running)
    assert [ref.task for ref in harness.attachment.outbox.stops] == [TASK]


def test_orders_wait_for_the_listing_of_a_worker():
    """Guards against a stop that is sent to an agent which drops it."""
    harness = LeaderHarness()
    harness.report(running=[RunningTask(TASK, 1, "", 0, 0)])
    harness.reconciler.stop(harness.task, "its job is cancelled")
    early = harness.attachment.build_directive(1, "w1", 0, 1, 1, listed=False)
    assert not early.stops
    late = harness.attachment.build_directive(1, "w1", 0, 1, 1, listed=True)
    assert [ref.task for ref in late.stops] == [TASK]


def refuse(harness: LeaderHarness) -> None:
    harness.report(outcomes=[OrderOutcome(TASK, 1, "refused", "no room")])


def end_worker(harness: LeaderHarness) -> None:
    harness.report(worker="w2")


def expire_leases(harness: LeaderHarness) -> None:
    harness.reconciler.requeue_lost_runs("node/w1", "its leases have run out")


@pytest.mark.parametrize("lose", [refuse, end_worker, expire_leases])
@pytest.mark.parametrize("listed", [False, True])
def test_a_job_is_pending_until_a_task_of_it_has_started(lose, listed):
    """Guards against waiting jobs that are missing in ``pending_jobs`` for good.

    The runner went dark before the run that was placed there began; the job counted as
    begun since it had been placed once, also under the next leader.
    """
    harness = LeaderHarness()
    registry = harness.registry
    assert registry.count_pending(QUEUE.name) == 1
    if listed:
        harness.report(running=[RunningTask(TASK, 1, "", 0, 0)])
    lose(harness)
    assert harness.task.waits
    record = registry.records[harness.task.name.job_id]
    successor = build_record(record.job)
    apply_progress(successor, encode_progress(record), 1)
    after = JobRegistry(create_quiet_log())
    after.restore(successor)
    for one in (registry, after):
        assert one.count_pending(QUEUE.name) == (0 if listed else 1)
        assert [found.begun for found in one.open_records.values()] == [listed]


def test_a_job_counts_as_begun_while_a_run_may_be_starting():
    """Guards against a load summary that takes each placed job for one that waits."""
    harness = LeaderHarness()
    record = harness.registry.records[harness.task.name.job_id]
    assert record.begun
    harness.registry.move_run(harness.task, "node/w2")
    assert record.begun
    harness.registry.requeue(harness.task)
    assert not record.begun
