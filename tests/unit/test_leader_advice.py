"""Steps whose workers an external service has to approve."""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any

import curio
import pytest

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.exceptions import AdviceError
from pistachiodeal.jobs.advice import Advice
from pistachiodeal.jobs.model import Resources
from pistachiodeal.leader.advice import MAX_WORKERS_PER_CALL, AdviceCache
from pistachiodeal.leader.planner import Planner
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.slow_workers import CHECK_INTERVAL_S
from pistachiodeal.leader.speed_monitor import SpeedMonitor
from pistachiodeal.leader.workers import Attachment, Fleet
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.wire.job_messages import Label, OrderOutcome, WorkerReport
from tests.standins.job_cluster import build_job, create_quiet_log

KEY = ("0000000000000001", 0, 0)


class FakeAdviser:
    """Approves given workers, and fails a given number of calls first."""

    def __init__(self, approved: set[str], *, valid_s: float = 60.0, failures: int = 0):
        self.approved = approved
        self.valid_s = valid_s
        self.failures = failures
        self.calls: list[tuple[str, tuple[str, ...]]] = []

    async def advise(self, step: str, workers: tuple[str, ...]) -> Advice:
        self.calls.append((step, workers))
        await curio.sleep(0.005)
        if self.failures:
            self.failures -= 1
            raise AdviceError("status 429")
        tickets = {one: f"t-{one}" for one in workers if one in self.approved}
        return Advice(tickets, self.valid_s)


class AdviceHarness:
    """A leader with one advised job, and workers on nodes n0, n1, ..."""

    def __init__(
        self,
        adviser: FakeAdviser,
        workers: int,
        slow: Sequence[str] = (),
        **fields: Any,
    ) -> None:
        events = create_quiet_log()
        self.registry = JobRegistry(events)
        fleet = Fleet()
        model = InterferenceModel()
        self.advice = AdviceCache(adviser, events, self.note_change)
        speeds = SpeedMonitor(self.registry, model, events, 1.5) if slow else None
        if speeds is not None:
            speeds.adopt(dict.fromkeys(slow, 0.2), read_boot_clock())
        self.reconciler = reconciler = Reconciler(
            self.registry,
            fleet,
            model,
            events,
            advice=self.advice,
            speeds=speeds,
        )
        self.planner = Planner(
            self.registry,
            fleet,
            reconciler,
            model,
            lambda queue: replace(queue, advised=True),
            limits=LimitSettings(),
            events=events,
            advice=self.advice,
        )
        job = build_job(1, count=2, steps=1)
        steps = (replace(job.steps[0], **fields),)
        self.registry.add(replace(job, steps=steps), 0.0)
        self.fleet = fleet
        self.attachments: list[Attachment] = []
        for _ in range(workers):
            self.add_worker()

    def add_worker(self) -> None:
        """Add a worker, with an agent that is attached to the leader."""
        number = len(self.attachments)
        self.attachments.append(Attachment(f"n{number}", number + 1))
        self.fleet.get(f"n{number}").attachment = self.attachments[number]
        self.report(number)

    def report(self, number: int, outcomes: Iterable[OrderOutcome] = ()) -> None:
        """Apply a report of an agent."""
        self.reconciler.apply(
            self.attachments[number],
            WorkerReport(
                1, 1, f"w{number}", (), "svc", True, False, 0, 16_000, 64_000, 0,
                (Label("a"), Label("r1")), (), (), tuple(outcomes),
            ),
        )  # fmt: skip

    async def note_change(self) -> None:
        self.planner.plan()

    def list_tickets(self) -> set[tuple[str, str]]:
        """Return place and ticket of each placed task."""
        tasks = self.registry.records[KEY[0]].iterate_tasks()
        return {(task.place, task.ticket) for task in tasks if task.place}

    async def run(self, for_s: float) -> None:
        """Plan, and let the cache make its calls for a while."""
        self.planner.plan()
        calls = await curio.spawn(self.advice.run, daemon=True)
        await curio.sleep(for_s)
        await calls.cancel()


def test_a_step_is_placed_only_where_the_service_allows_it():
    """Guards against starts that are refused because they have no ticket.

    The leader placed steps of an advised queue like any other, without asking the
    service.
    """
    adviser = FakeAdviser({"w2"})
    harness = AdviceHarness(adviser, 4)
    harness.planner.plan()
    assert harness.list_tickets() == set()
    curio.run(harness.run, 0.1)
    assert harness.list_tickets() == {("n2/w2", "t-w2")}
    assert adviser.calls == [("0000000000000001.0.0", adviser.calls[0][1])]


def test_each_call_asks_about_few_workers_and_none_twice():
    """Guards against steps that wait for seconds: each worker in a call costs time."""
    adviser = FakeAdviser(set())
    harness = AdviceHarness(adviser, MAX_WORKERS_PER_CALL + 10)
    curio.run(harness.run, 0.2)
    named = [worker for _, workers in adviser.calls for worker in workers]
    assert len(adviser.calls[0][1]) == MAX_WORKERS_PER_CALL
    assert len(named) == len(set(named)) == MAX_WORKERS_PER_CALL + 10


def test_only_expired_tickets_are_requested_again():
    """Guards against a start that is refused because its ticket has expired.

    The step waits for room until its ticket expires, but tickets were cached without
    end.
    """
    adviser = FakeAdviser({"w1", "w3"}, valid_s=0.0)
    harness = AdviceHarness(adviser, 4)
    curio.run(harness.run, 0.2)
    assert harness.list_tickets() == set()
    assert len(adviser.calls) > 1
    assert set(adviser.calls[1][1]) == {"w1", "w3"}


def test_a_suspect_of_an_advised_queue_gets_its_ticket():
    """Guards against a step that waits without end.

    The only task left of the step is suspected of crashing its worker. Its ticket has
    expired, and only tasks that are not suspected requested another.
    """
    adviser = FakeAdviser({"w1"})
    harness = AdviceHarness(adviser, 4)
    for task in harness.registry.records[KEY[0]].iterate_tasks():
        task.crashes = task.blames = 1
    curio.run(harness.run, 0.1)
    assert harness.list_tickets() == {("n1/w1", "t-w1")}


def test_a_suspect_of_an_advised_queue_gets_a_ticket_elsewhere():
    """Guards against a suspect that waits as long as its one approved worker is full.

    Suspects requested tickets only if no worker had a valid one.
    """
    adviser = FakeAdviser({"w0"})
    harness = AdviceHarness(adviser, 1, size=Resources(16_000, 1_000, 0))
    curio.run(harness.run, 0.1)
    assert harness.list_tickets() == {("n0/w0", "t-w0")}
    adviser.approved.add("w1")
    for task in harness.registry.records[KEY[0]].iterate_tasks():
        task.crashes = task.blames = 0 if task.place else 1
    harness.add_worker()
    curio.run(harness.run, 0.1)
    assert harness.list_tickets() == {("n0/w0", "t-w0"), ("n1/w1", "t-w1")}


def test_a_gang_starts_once_another_worker_can_be_approved():
    """Guards against a gang that never starts again after one of its workers crashed.

    The service was asked again about the workers that it had approved, without end, and
    never about the worker that came later.
    """
    adviser = FakeAdviser({"w0", "w1"})
    harness = AdviceHarness(adviser, 1, gang=True, spread=1)
    curio.run(harness.run, 0.1)
    assert harness.list_tickets() == set()
    harness.add_worker()
    curio.run(harness.run, 0.1)
    assert harness.list_tickets() == {("n0/w0", "t-w0"), ("n1/w1", "t-w1")}


def test_a_gang_collects_its_tickets_from_several_calls():
    """Guards against a gang that waits without end if one call approves too few.

    Each later call was about the approved workers only.
    """
    last = MAX_WORKERS_PER_CALL + 9
    adviser = FakeAdviser({"w0", f"w{last}"})
    harness = AdviceHarness(adviser, last + 1, gang=True, spread=1)
    curio.run(harness.run, 0.2)
    assert len(harness.list_tickets()) == 2
    named = [worker for _, workers in adviser.calls for worker in workers]
    assert len(named) == len(set(named))


def test_expired_tickets_of_a_gang_are_requested_with_those_that_lack():
    """Guards against tickets that take turns to expire, so that never all are valid."""
    adviser = FakeAdviser({"w0", "w1"}, valid_s=0.6)
    harness = AdviceHarness(adviser, 1, gang=True, spread=1)
    curio.run(harness.run, 0.3)
    harness.add_worker()
    curio.run(harness.run, 0.15)
    assert set(adviser.calls[-1][1]) == {"w0", "w1"}
    assert len(harness.list_tickets()) == 2


def test_a_busy_service_is_asked_again():
    """Guards against a step that never starts.

    The service has too many calls waiting and answers 429, and the request was dropped.
    """
    adviser = FakeAdviser({"w0"}, failures=1)
    harness = AdviceHarness(adviser, 1)

    async def main() -> None:
        await harness.run(0.4)
        await harness.run(0.2)

    curio.run(main)
    assert harness.list_tickets() == {("n0/w0", "t-w0")}


def test_a_ticket_that_the_worker_refused_is_not_used_again():
    """Guards against using a ticket of a runner's earlier start until it expires."""
    adviser = FakeAdviser({"w1"})
    harness = AdviceHarness(adviser, 2)
    curio.run(harness.run, 0.05)
    assert harness.list_tickets() == {("n1/w1", "t-w1")}
    tasks = list(harness.registry.records[KEY[0]].iterate_tasks())
    harness.report(
        1, [OrderOutcome(str(task.name), 1, "refused", "no_ticket") for task in tasks]
    )
    for task in tasks:
        task.held_until = 0.0
    assert harness.advice.find_ticket(KEY, "w1") == ""
    curio.run(harness.run, 0.05)
    assert [workers for _, workers in adviser.calls[1:]] == [("w1",)]
    assert harness.list_tickets() == {("n1/w1", "t-w1")}


@pytest.mark.parametrize(("approved", "moved"), [({"w0"}, 0), ({"w0", "w1"}, 2)])
def test_a_task_leaves_a_slow_worker_only_for_one_with_a_ticket(approved, moved):
    """Guards against a task that is stopped, returns to its worker, and never ends.

    The check for moves looked for room on workers on which the planner places nothing.
    """
    adviser = FakeAdviser(approved)
    harness = AdviceHarness(adviser, 3, slow=["n0/w0"])
    curio.run(harness.run, 0.3)
    step = harness.registry.records[KEY[0]].occurrences[0][0]
    step.expected_s = 20.0
    for task in step.tasks:
        harness.registry.move_run(task, "n0/w0")
        task.running = True
    time.sleep(CHECK_INTERVAL_S)
    harness.planner.plan()
    assert sum(bool(task.stopping) for task in step.tasks) == moved
