"""Reports of agents against what the leader decided."""

from __future__ import annotations

from dataclasses import replace

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.jobagent.authority import LEASE_S, SLOWEST_CLOCK, Lease
from pistachiodeal.jobs.model import EndKind
from pistachiodeal.leader.book import JobBook
from pistachiodeal.leader.moves import HELD_BACK_S, STALL_S, Mover
from pistachiodeal.leader.reconcile import Reconciler
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
from tests.standins.job_cluster import build_job, create_quiet_log

TASK = "0000000000000001.0.0.0"


class Stage:
    """A leader with one task placed by an earlier leader on ``node/w1``."""

    def __init__(self) -> None:
        events = create_quiet_log()
        self.book = JobBook(events)
        self.fleet = Fleet()
        self.reconciler = Reconciler(self.book, self.fleet, InterferenceModel(), events)
        self.book.add(build_job(1, count=1, steps=1), 0.0)
        self.task = self.book.find_task(TASK)
        self.book.place(self.task, 1, "node/w1", lambda: None)
        self.write()
        self.attachment = Attachment("node", 1)
        self.fleet.get("node").attachment = self.attachment

    def write(self) -> None:
        """Note that all changes are durable."""
        for record, effects in self.book.take_unsaved(10):
            self.book.note_written(record.job_id)
            for effect in effects:
                effect()

    def report(self, worker="w1", running=(), ends=(), outcomes=(), losses=()) -> None:
        """Apply a report of the node's agent."""
        self.reconciler.apply(
            self.attachment,
            WorkerReport(
                1, 1, worker, tuple(losses), "svc", True, False, 0, 16_000, 64_000, 0,
                (Label("a"), Label("r1")), tuple(running), tuple(ends), tuple(outcomes),
            ),
        )  # fmt: skip


def test_a_run_of_an_earlier_leader_that_is_not_listed_is_settled_by_a_stop():
    """Symptom: a task runs twice. Sequence: a leader orders a run and dies; the order
    is still on its way when the successor sees the worker without it. Cause: the run
    was taken for one that will never begin.
    """
    stage = Stage()
    stage.report()
    assert stage.task.place == "node/w1"
    assert [ref.task for ref in stage.attachment.outbox.stops] == [TASK]
    stage.report(outcomes=[OrderOutcome(TASK, 1, "void", "")])
    assert stage.task.waits


def test_an_end_is_acknowledged_only_once_it_is_durable():
    """Symptom: a task whose end was acknowledged runs again. Sequence: the end is
    acknowledged, the leader dies before its write. Cause: the order of the two.
    """
    stage = Stage()
    stage.report(ends=[EndedTask(1, TASK, 1, "done", "")])
    worker = stage.fleet.get("node")
    assert worker.ends_noted == 0
    stage.write()
    stage.report(ends=[EndedTask(1, TASK, 1, "done", "")])
    assert worker.ends_noted == 1


def test_a_new_incarnation_frees_what_the_old_one_held():
    """Symptom: tasks wait for leases of a runner that is gone. Sequence: it crashes and
    comes back under another incarnation. Cause: only the address was compared.
    """
    stage = Stage()
    stage.report(worker="w2")
    assert stage.task.waits
    assert stage.task.run == 1


def test_a_run_that_was_given_up_is_stopped_where_it_shows_up():
    """Symptom: a task runs in two places. Sequence: a worker is given up, its task is
    placed anew, the worker comes back with the old run. Cause: unknown runs were left.
    """
    stage = Stage()
    stage.book.requeue(stage.task)
    stage.report(running=[RunningTask(TASK, 1, "", 10, 0)])
    assert [ref.run for ref in stage.attachment.outbox.stops] == [1]


def test_no_lease_outlives_the_leaders_grant():
    """Symptom: a task runs in two places after a cut. Sequence: an agent that can't
    reach the leader renews its runner's lease past the grant; the leader gives the
    tasks away when the grant ends. Cause: the lease was not bounded by the grant, or
    not by the slowest clock allowed.
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
    """Symptom: orders are refused right after an agent's restart. Sequence: the agent
    attaches anew; the leader places by what the agent before it listed. Cause: the
    listing outlived its link.
    """
    stage = Stage()
    stage.report()
    worker = stage.fleet.get("node")
    assert worker.open
    worker.attach(Attachment("node", 2))
    assert not worker.open


def test_a_task_that_fails_everywhere_does_not_count_against_a_worker():
    """Symptom: sound workers got nothing. Sequence: jobs that can never be done fail on
    one worker after another. Cause: each of these failures counted as the worker's.
    """
    stage = Stage()
    stage.task.failures = 1
    stage.report(ends=[EndedTask(1, TASK, 1, "failed", "")])
    assert stage.fleet.get("node").health.failures == 0


def test_a_filling_task_without_a_pace_is_moved():
    """Symptom: a filling task stands beside a busy neighbour until its job is late.
    Sequence: its agent paces it to nothing; other workers have room. Cause: only tasks
    that don't fill were watched for progress.
    """
    stage = Stage()
    step = replace(stage.task.step, fills=True, checkpoints=True, image="f")
    stage.task.step = step
    mover = Mover(stage.book, stage.fleet, stage.reconciler, LimitSettings())
    now = read_boot_clock()
    stage.report(running=[RunningTask(TASK, 1, "", 10, 0, 900)])
    stage.task.slow_since = now
    mover.move(now + HELD_BACK_S / 2)
    assert not stage.task.stopping
    mover.move(now + HELD_BACK_S * 2)
    assert stage.task.stopping
    assert "node" in stage.task.avoid


def play_listings(*, fills: bool, pace_milli: int, listed_s: float) -> str:
    """Return why a task is stopped that shows no progress while it is listed."""
    stage = Stage()
    stage.task.step = replace(stage.task.step, fills=fills, image="f")
    mover = Mover(stage.book, stage.fleet, stage.reconciler, LimitSettings())
    stage.report(running=[RunningTask(TASK, 1, "", 10, 0, pace_milli)])
    stage.task.progressed_at -= listed_s
    # Held back by its pace is another reason, which has a test of its own.
    stage.task.slow_since = read_boot_clock()
    mover.move(read_boot_clock())
    return stage.task.stopping


def test_a_filling_task_on_a_worker_that_hangs_is_moved():
    """Symptom: a filling job waits for the end of its worker's trouble.

    Sequence: all tasks on a worker stand still for five seconds. Cause: tasks that fill
    were not watched for progress, since they may be paced to nothing.
    """
    assert play_listings(fills=True, pace_milli=1000, listed_s=STALL_S + 0.1)
    assert not play_listings(fills=True, pace_milli=100, listed_s=STALL_S + 0.1)
    assert not play_listings(fills=True, pace_milli=1000, listed_s=STALL_S - 0.5)


def test_a_task_whose_agent_says_nothing_has_not_stalled():
    """Symptom: tasks of a VM that stood still run twice their time.

    Sequence: an agent is frozen for three seconds and its runner works on. Cause to
    guard against: the time without a listing counted as time without progress.
    """
    stage = Stage()
    mover = Mover(stage.book, stage.fleet, stage.reconciler, LimitSettings())
    stage.report(running=[RunningTask(TASK, 1, "", 10, 0, 1000)])
    mover.move(read_boot_clock() + STALL_S + 3.0)
    assert not stage.task.stopping


def test_no_order_goes_to_an_agent_that_has_not_listed_its_worker():
    """Symptom: a job stays active for ever. Sequence: a run is decided; its agent is
    restarted before the decision is durable; the order meets an agent that has heard
    no heartbeat yet. Cause: the agent drops it, and the leader takes it for ordered.
    """
    stage = Stage()
    stage.report()
    stage.book.requeue(stage.task)
    stage.book.place(stage.task, 2, "node/w1", lambda: None)
    worker = stage.fleet.get("node")
    attachment = Attachment("node", 2)
    worker.attach(attachment)
    stage.reconciler.send_order(stage.task, 2, "node/w1")
    assert attachment.outbox.starts == []
    assert stage.task.waits


def test_a_refused_task_is_held_for_a_moment():
    """Symptom: a task is ordered and refused hundreds of times a second. Sequence: a
    runner refuses what the leader thinks fits; the task waits again and is placed at
    once. Cause: nothing held it.
    """
    stage = Stage()
    stage.report(outcomes=[OrderOutcome(TASK, 1, "refused", "no_room")])
    assert stage.task.waits
    assert stage.task.held_until > read_boot_clock()


def test_a_later_step_waits_from_its_turn():
    """Symptom: each later step of a filling job goes beside tasks that it disturbs.

    Sequence: the first step takes seconds; the second one's turn comes. Cause: its
    tasks had waited since the job was accepted, and counted as starved at once.
    """
    book = JobBook(create_quiet_log())
    book.add(build_job(1, count=1, steps=2), 0.0)
    record = book.records[build_job(1).job_id]
    first, second = record.iterate_tasks()
    second.ready_at -= 60.0
    book.place(first, 1, "node/w1", lambda: None)
    book.end_run(first, EndKind.DONE, "", lambda: None)
    assert read_boot_clock() - second.ready_at < 1.0


def test_an_end_of_an_earlier_run_is_not_that_of_the_newest():
    """Symptom: a task counts as done though its run goes on, or fails twice for one.

    Sequence: a run is stopped and the task placed again on the same worker; the end of
    the first run is listed after that. Cause: only the task's name was compared.
    """
    stage = Stage()
    stage.book.requeue(stage.task)
    stage.book.place(stage.task, 2, "node/w1", lambda: None)
    stage.write()
    stage.report(ends=[EndedTask(1, TASK, 1, "done", "")])
    assert not stage.task.done
    assert stage.task.place == "node/w1"


def test_an_end_on_a_worker_that_the_run_has_left_is_not_its_end():
    """Symptom: a task that is at work is placed once more. Sequence: the same run
    number was given on another worker under an earlier leader. Cause: the place was
    not compared.
    """
    stage = Stage()
    stage.book.requeue(stage.task)
    stage.book.place(stage.task, 1, "other/w9", lambda: None)
    stage.write()
    stage.report(ends=[EndedTask(1, TASK, 1, "stopped", "")])
    assert stage.task.place == "other/w9"


def test_a_decision_that_is_not_durable_is_not_stopped():
    """Symptom: a run is stopped before its order has left.

    Sequence: a run is decided; before its row is written the agent reports, without
    it. Cause: it was taken for one whose order had been lost.
    """
    stage = Stage()
    stage.book.requeue(stage.task)
    stage.write()
    stage.book.place(stage.task, 2, "node/w1", lambda: None)
    stage.report()
    assert stage.attachment.outbox.stops == []


def test_an_order_whose_task_was_placed_elsewhere_meanwhile_is_not_sent():
    """Symptom: two runs of one task. Sequence: a decision waits for its row; its worker
    is lost and the task placed again; the first row is answered. Cause: the order went
    out for a run that had been given up.
    """
    stage = Stage()
    stage.report(running=[RunningTask(TASK, 1, "", 5, 0)])
    stage.book.requeue(stage.task)
    stage.book.place(stage.task, 2, "other/w9", lambda: None)
    stage.reconciler.send_order(stage.task, 1, "node/w1")
    assert stage.attachment.outbox.starts == []


def test_an_end_of_a_worker_that_was_reborn_is_not_noted_for_the_new_one():
    """Symptom: the new incarnation's first end is acknowledged unseen, and its task
    runs again.

    Sequence: an end waits for its row; the worker is reborn; the row is written.
    Cause: the number was noted for whatever incarnation was there by then.
    """
    stage = Stage()
    stage.report(ends=[EndedTask(1, TASK, 1, "done", "")])
    stage.report(worker="w2")
    stage.write()
    worker = stage.fleet.get("node")
    worker.advance_noted((EndedTask(1, "0000000000000002.0.0.0", 1, "done", ""),))
    assert worker.ends_noted == 0


def test_an_end_that_is_listed_twice_counts_once():
    """Symptom: a job fails after half of its attempts. Sequence: an end that is not
    yet acknowledged is listed again, after its task was placed again here with the
    same run number by a leader that did not know of the first. Cause: it counted again.
    """
    stage = Stage()
    end = EndedTask(1, TASK, 1, "failed", "")
    stage.report(ends=[end])
    assert stage.task.failures == 1
    stage.book.place(stage.task, 1, "node/w1", lambda: None)
    stage.report(ends=[end])
    assert stage.task.failures == 1


LOSS = WorkerLoss("w1", "crashed", 100, ())


def test_a_run_that_the_next_start_has_begun_goes_on_there():
    """A task is queued again although its order was carried out by the next start."""
    stage = Stage()
    stage.report(worker="w2", running=[RunningTask(TASK, 1, "", 5, 0)], losses=[LOSS])
    assert (stage.task.place, stage.task.running) == ("node/w2", True)
    assert stage.attachment.outbox.stops == []


def test_an_end_at_the_next_start_counts():
    """A task that was done at the next start runs again."""
    stage = Stage()
    stage.report(worker="w2", ends=[EndedTask(1, TASK, 1, "done", "")])
    assert stage.task.done


def test_a_run_that_may_begin_yet_is_not_given_up():
    """A task runs twice: its unanswered order begins at the next start."""
    stage = Stage()
    pending = OrderOutcome(TASK, 1, "pending", "")
    stage.report(worker="", outcomes=[pending], losses=[LOSS])
    assert stage.task.place == "node/w1"
    stage.report(worker="w2", outcomes=[pending])
    assert stage.task.place == "node/w2"
    stage.report(worker="w2", outcomes=[OrderOutcome(TASK, 1, "void", "")])
    assert stage.task.waits


def test_a_run_that_nobody_waits_for_any_more_is_given_up():
    """A task waits for ever for a runner that stays away."""
    stage = Stage()
    pending = OrderOutcome(TASK, 1, "pending", "")
    stage.report(worker="", outcomes=[pending], losses=[LOSS])
    stage.report(worker="", losses=[LOSS])
    assert stage.task.waits
