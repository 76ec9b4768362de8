"""Steps whose workers an outside service chooses."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import curio

from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.exceptions import AdviceError
from pistachiodeal.jobs.advice import Advice
from pistachiodeal.leader.advice import WORKERS_A_CALL, AdviceKeeper
from pistachiodeal.leader.planner import Planner
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Attachment, Fleet
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.wire.job_messages import Label, OrderOutcome, WorkerReport
from tests.standins.job_cluster import build_job, create_quiet_log

KEY = ("0000000000000001", 0, 0)


class FakeAdviser:
    """Approves named workers; fails the first calls if told so."""

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


class Stage:
    """A leader with one advised job, and workers on nodes n0, n1, ..."""

    def __init__(self, adviser: FakeAdviser, workers: int) -> None:
        events = create_quiet_log()
        self.registry = JobRegistry(events)
        fleet = Fleet()
        model = InterferenceModel()
        self.advice = AdviceKeeper(adviser, events, self.note_change)
        self.reconciler = reconciler = Reconciler(
            self.registry, fleet, model, events, advice=self.advice
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
        self.registry.add(build_job(1, count=2, steps=1), 0.0)
        self.attachments = [Attachment(f"n{n}", n + 1) for n in range(workers)]
        for number, attachment in enumerate(self.attachments):
            fleet.get(f"n{number}").attachment = attachment
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
        """Plan, and let the keeper ask for a while."""
        self.planner.plan()
        keeper = await curio.spawn(self.advice.run, daemon=True)
        await curio.sleep(for_s)
        await keeper.cancel()


def test_a_step_is_placed_only_where_the_service_allows_it():
    """Symptom: every start of an advised queue is refused for want of a ticket.

    Sequence: the step's turn comes; the leader places it like any other.
    Cause: nobody asked.
    """
    adviser = FakeAdviser({"w2"})
    stage = Stage(adviser, 4)
    stage.planner.plan()
    assert stage.list_tickets() == set()
    curio.run(stage.run, 0.1)
    assert stage.list_tickets() == {("n2/w2", "t-w2")}
    assert adviser.calls == [("0000000000000001.0.0", adviser.calls[0][1])]


def test_few_workers_are_named_at_a_time_and_none_twice():
    """Symptom: a step waits for seconds. Cause: each worker named costs time."""
    adviser = FakeAdviser(set())
    stage = Stage(adviser, WORKERS_A_CALL + 10)
    curio.run(stage.run, 0.2)
    named = [worker for _, workers in adviser.calls for worker in workers]
    assert len(adviser.calls[0][1]) == WORKERS_A_CALL
    assert len(named) == len(set(named)) == WORKERS_A_CALL + 10


def test_a_ticket_that_ran_out_is_asked_for_again_alone():
    """Symptom: a start is refused for its ticket. Sequence: the step waits for room
    until its ticket has run out. Cause: tickets were kept for ever.
    """
    adviser = FakeAdviser({"w1", "w3"}, valid_s=0.0)
    stage = Stage(adviser, 4)
    curio.run(stage.run, 0.2)
    assert stage.list_tickets() == set()
    assert len(adviser.calls) > 1
    assert set(adviser.calls[1][1]) == {"w1", "w3"}


def test_a_suspect_of_an_advised_queue_gets_its_ticket():
    """A step of which only a task is left that may end its worker waited for ever: its
    ticket had run out, and only the tasks without suspicion asked for another.
    """
    adviser = FakeAdviser({"w1"})
    stage = Stage(adviser, 4)
    for task in stage.registry.records[KEY[0]].iterate_tasks():
        task.crashes = task.blames = 1
    curio.run(stage.run, 0.1)
    assert stage.list_tickets() == {("n1/w1", "t-w1")}


def test_a_busy_service_is_asked_again():
    """Symptom: a step never starts. Sequence: too many calls wait at the service, which
    answers 429. Cause: the question was forgotten.
    """
    adviser = FakeAdviser({"w0"}, failures=1)
    stage = Stage(adviser, 1)

    async def main() -> None:
        await stage.run(0.4)
        await stage.run(0.2)

    curio.run(main)
    assert stage.list_tickets() == {("n0/w0", "t-w0")}


def test_a_ticket_that_the_worker_refused_is_not_used_again():
    """A ticket for a runner's earlier start is offered until it has run out."""
    adviser = FakeAdviser({"w1"})
    stage = Stage(adviser, 2)
    curio.run(stage.run, 0.05)
    assert stage.list_tickets() == {("n1/w1", "t-w1")}
    tasks = list(stage.registry.records[KEY[0]].iterate_tasks())
    stage.report(
        1, [OrderOutcome(str(task.name), 1, "refused", "no_ticket") for task in tasks]
    )
    for task in tasks:
        task.held_until = 0.0
    assert stage.advice.find_ticket(KEY, "w1") == ""
    curio.run(stage.run, 0.05)
    assert [workers for _, workers in adviser.calls[1:]] == [("w1",)]
    assert stage.list_tickets() == {("n1/w1", "t-w1")}
