"""Tests how worker crashes are attributed to tasks, and how suspects are placed."""

from __future__ import annotations

import time
from dataclasses import replace

import orjson
import pytest

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.jobs.model import Job, JobState, LossCause, Queue, Step
from pistachiodeal.jobs.progress import apply_progress, encode_progress
from pistachiodeal.jobs.record import Task, TaskName, build_record
from pistachiodeal.leader.crashes import RACK_CHECK_DELAY_S
from pistachiodeal.leader.planner import Planner
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.suspect_placer import MAX_QUIET_WAIT_S
from pistachiodeal.leader.workers import Attachment, Fleet
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.crash_attribution import (
    BLAME_IMMEDIATE,
    BLAME_STARTUP,
    CRASH_RESET_S,
    CRASHES_TO_GIVE_UP,
    GROUP_WAIT_S,
    OBSERVATION_S,
    STARTUP_S,
    CrashedRun,
    attribute_crash,
    compute_group_size,
    compute_isolation_limit,
    is_suspect,
)
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.wire.job_messages import (
    Label,
    LostRun,
    RunningTask,
    WorkerLoss,
    WorkerReport,
)
from tests.standins.job_cluster import create_quiet_log

QUEUE = Queue("q", "host", "/q/", "svc", 0, 4, 2.0, 1.0)
SIZE = Resources(1_000, 1_000, 0)


class LeaderHarness:
    """A leader with workers whose reports, losses and clock the test controls."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, racks: list[str]) -> None:
        self._now = read_boot_clock()
        for module in ("reconcile", "planner", "registry"):
            monkeypatch.setattr(
                f"pistachiodeal.leader.{module}.read_boot_clock", lambda: self._now
            )
        events = create_quiet_log()
        self.registry, self.fleet = JobRegistry(events), Fleet()
        model = InterferenceModel()
        self.reconciler = Reconciler(self.registry, self.fleet, model, events)
        self.planner = Planner(
            self.registry,
            self.fleet,
            self.reconciler,
            model,
            lambda queue: queue,
            limits=LimitSettings(),
            events=events,
        )
        self.racks = racks
        self.lives = [1] * len(racks)
        self.percent = 0
        self.attachments = []
        for number in range(len(racks)):
            attachment = Attachment(f"n{number}", 1)
            self.fleet.get(attachment.node).attach(attachment)
            self.attachments.append(attachment)
            self.report(number)

    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self._now += seconds

    def add(self, number: int, step: Step) -> Job:
        """Add a job of one step."""
        job = Job(f"{number:016x}", QUEUE, "text", (step,), time.time())
        self.registry.add(job, time.time())
        return job

    def find(self, job: Job, index: int = 0):
        """Return a task of a job's first step."""
        return self.registry.find_task(f"{job.job_id}.0.0.{index}")

    def report(self, number: int, losses=(), **fields) -> None:
        """Apply a report in which the worker lists every run placed on it."""
        worker = f"w{number}-{self.lives[number]}"
        runs = self.registry.get_runs(f"n{number}/{worker}").values()
        self.percent = self.percent % 99 + 1
        running = [
            RunningTask(str(task.name), task.run, "", self.percent, 0) for task in runs
        ]
        room = fields.get("room", Resources(16_000, 64_000, 0))
        self.reconciler.apply(
            self.attachments[number],
            WorkerReport(
                1, 1, worker, tuple(losses), "svc", True, False, 0,
                room.cpu_milli, room.memory_mib, room.accelerators,
                (Label("a"), Label(self.racks[number])), tuple(running), (), (),
            ),
        )  # fmt: skip

    def lose(
        self, number: int, ages_ms: dict[str, int], cause=LossCause.CRASHED
    ) -> None:
        """Report the loss of a worker and its restart; ``ages_ms`` is by task."""
        runs = self.registry.get_runs(f"n{number}/w{number}-{self.lives[number]}")
        lost = tuple(
            LostRun(name, task.run, ages_ms.get(name, 60_000))
            for name, task in runs.items()
        )
        loss = WorkerLoss(f"w{number}-{self.lives[number]}", cause.value, 0, lost)
        self.lives[number] += 1
        self.report(number, (loss,))

    def find_node(self, task) -> int:
        """Return the number of the node on which a task is placed."""
        return int(task.place.partition("/")[0].removeprefix("n"))

    def crash_under(self, task, age_ms: int = 8) -> None:
        """Report a crash of a task's worker soon after the task's start."""
        self.lose(self.find_node(task), {str(task.name): age_ms})


@pytest.fixture
def harness(monkeypatch) -> LeaderHarness:
    return LeaderHarness(monkeypatch, ["r1", "r1", "r2", "r2", "r3", "r3"])


def place(harness: LeaderHarness, seconds: float = RACK_CHECK_DELAY_S + 0.01) -> None:
    """Advance the clock and run a planning round."""
    harness.wait(seconds)
    harness.planner.plan()


def test_two_crashes_right_after_a_lone_start_fail_the_job(harness):
    """Guards against a crashing task that is restarted without limit (88 times).

    Two workers that crash right after its start, the second with no other task that
    had just started, are enough to fail the job.
    """
    job = harness.add(1, Step(1, SIZE, 2.0))
    task = harness.find(job)
    for _ in range(2):
        place(harness)
        harness.crash_under(task)
    assert harness.registry.records[job.job_id].state is JobState.ACTIVE
    place(harness)
    assert harness.registry.records[job.job_id].state is JobState.FAILED
    assert task.run == 2


def test_a_neighbour_of_a_crashing_task_is_not_failed(harness):
    """Guards against failing a task that started together with a crashing one.

    After the first crash each of them starts on a worker of its own, and the neighbour
    is cleared once it has run for a moment.
    """
    job = harness.add(1, Step(2, SIZE, 2.0))
    guilty, neighbour = harness.find(job, 0), harness.find(job, 1)
    place(harness)
    harness.registry.requeue(neighbour)
    harness.registry.place(neighbour, 1, guilty.place, lambda: None)
    ages_ms = {str(guilty.name): 8, str(neighbour.name): 7}
    harness.lose(harness.find_node(guilty), ages_ms)
    assert is_suspect(guilty)
    assert is_suspect(neighbour)
    place(harness)
    waits = [task for task in (guilty, neighbour) if task.waits]
    assert len(waits) == 1, "one worker of six at a time"
    harness.report(harness.find_node(guilty if waits[0] is neighbour else neighbour))
    harness.wait(STARTUP_S)
    harness.report(harness.find_node(guilty if waits[0] is neighbour else neighbour))
    place(harness)
    assert guilty.place != neighbour.place


def test_long_running_neighbours_are_not_blamed(harness):
    """A task that has run on the worker for long is not the cause of a crash."""
    old = harness.find(harness.add(1, Step(1, SIZE, 90.0)))
    place(harness)
    guilty = harness.find(harness.add(2, Step(1, SIZE, 2.0)))
    harness.registry.place(guilty, 1, old.place, lambda: None)
    ages_ms = {str(guilty.name): 8, str(old.name): 5_000}
    harness.lose(harness.find_node(old), ages_ms)
    assert (guilty.blames, guilty.crashes) == (BLAME_IMMEDIATE, 1)
    assert (old.blames, old.crashes) == (0, 0)


def test_a_power_failure_of_a_rack_blames_no_task(harness):
    """Guards against blaming a task that had just started in a rack that lost power.

    All workers of the rack end within milliseconds, while their agents may survive.
    """
    job = harness.add(1, Step(6, SIZE, 2.0))
    place(harness)
    tasks = [harness.find(job, index) for index in range(6)]
    hit = [task for task in tasks if harness.find_node(task) in (2, 3)]
    assert hit
    for number in (2, 3):
        harness.lose(number, {str(task.name): 8 for task in hit})
    assert any(task.blames for task in hit)
    place(harness)
    assert [(task.crashes, task.blames) for task in hit] == [(0, 0)] * len(hit)


def test_no_job_fails_before_the_whole_rack_has_reported(harness):
    """Guards against failing a suspect's job for a power failure of its rack.

    The crash of the rack's first worker is reported 50 ms before that of the second, on
    which nothing was running.
    """
    job = harness.add(1, Step(1, SIZE, 2.0))
    task = harness.find(job)
    place(harness)
    harness.crash_under(task)
    place(harness)
    first = harness.find_node(task)
    mate = first + 1 - 2 * (first % 2)
    harness.crash_under(task)
    place(harness, 0.05)
    harness.lose(mate, {})
    place(harness)
    assert harness.registry.records[job.job_id].state is JobState.ACTIVE
    assert (task.crashes, task.blames) == (1, BLAME_IMMEDIATE)


def test_a_failed_job_starts_no_further_tasks(harness):
    """Guards against a round that fails a job and then places its other steps."""
    steps = (Step(1, SIZE, 2.0), Step(4, SIZE, 2.0))
    job = Job(f"{1:016x}", QUEUE, "text", steps, time.time())
    harness.registry.add(job, time.time())
    harness.find(job).crashes = CRASHES_TO_GIVE_UP
    place(harness)
    record = harness.registry.records[job.job_id]
    assert record.state is JobState.FAILED
    assert not any(task.place for task in record.iterate_tasks())


def test_a_crash_of_one_worker_is_no_rack_failure(harness):
    """The other workers of the rack keep running, so no count is reverted."""
    task = harness.find(harness.add(1, Step(1, SIZE, 2.0)))
    place(harness)
    harness.crash_under(task)
    place(harness)
    assert (task.crashes, task.blames) == (1, BLAME_IMMEDIATE)


@pytest.mark.parametrize("cause", [LossCause.LEFT, LossCause.SILENT])
def test_a_planned_leave_or_a_cut_counts_for_nothing(harness, cause):
    """A worker that announced its leave, or whose leases expired while it was
    unreachable, says nothing about the tasks that had just started there.
    """
    task = harness.find(harness.add(1, Step(1, SIZE, 2.0)))
    place(harness)
    harness.lose(harness.find_node(task), {str(task.name): 8}, cause)
    assert (task.crashes, task.blames) == (0, 0)
    assert task.waits


def test_a_repeated_report_of_a_loss_counts_once(harness):
    """An agent repeats a loss in its reports for a while, and to each new leader."""
    task = harness.find(harness.add(1, Step(1, SIZE, 2.0)))
    place(harness)
    loss = WorkerLoss(
        harness.fleet.get(f"n{harness.find_node(task)}").worker,
        "crashed",
        0,
        (LostRun(str(task.name), 1, 8),),
    )
    number = harness.find_node(task)
    harness.lives[number] += 1
    for _ in range(3):
        harness.report(number, (loss,))
    assert task.crashes == 1


def test_a_worker_that_is_back_is_not_lost(harness):
    """A report lists a worker as silent and as back again: its runs continue."""
    task = harness.find(harness.add(1, Step(1, SIZE, 2.0)))
    place(harness)
    number = harness.find_node(task)
    loss = WorkerLoss(f"w{number}-1", "silent", 0, (LostRun(str(task.name), 1, 8),))
    harness.report(number, (loss,))
    assert task.place


def test_a_loss_of_an_earlier_run_counts_for_nothing(harness):
    """A run was stopped, and the task's next run is on the same worker."""
    task = harness.find(harness.add(1, Step(1, SIZE, 2.0)))
    place(harness)
    number = harness.find_node(task)
    harness.registry.place(task, 2, task.place, lambda: None)
    loss = WorkerLoss(f"w{number}-1", "crashed", 0, (LostRun(str(task.name), 1, 8),))
    harness.lives[number] += 1
    harness.report(number, (loss,))
    assert task.waits
    assert task.crashes == 0


def test_an_order_that_was_never_sent_counts_for_nothing(harness):
    """A run that the agent never started can't have crashed the worker."""
    task = harness.find(harness.add(1, Step(1, SIZE, 2.0)))
    place(harness)
    number = harness.find_node(task)
    loss = WorkerLoss(harness.fleet.get(f"n{number}").worker, "crashed", 0, ())
    harness.lives[number] += 1
    harness.report(number, (loss,))
    assert task.waits
    assert task.crashes == 0


def test_a_succeeding_leader_keeps_the_counts(harness):
    """Guards against counts that restart under each leader.

    They are stored in the job's row; a row that was written without counts stays
    readable.
    """
    job = harness.add(1, Step(1, SIZE, 2.0))
    task = harness.find(job)
    place(harness)
    harness.crash_under(task)
    value = encode_progress(harness.registry.records[job.job_id])
    successor = build_record(job)
    apply_progress(successor, value, 7)
    restored = next(successor.iterate_tasks())
    assert (restored.crashes, restored.blames) == (1, BLAME_IMMEDIATE)
    older = build_record(job)
    row = {"state": "active", "begun": True, "completed": []}
    row["tasks"] = {"0.0.0": [3, "", 0, 0, ""]}
    apply_progress(older, orjson.dumps(row), 7)
    assert next(older.iterate_tasks()).crashes == 0


def test_suspects_spare_serving_tasks(harness):
    """Guards against suspects that are placed on the workers of serving tasks.

    These workers are often the emptiest, so the serving tasks were lost repeatedly.
    """
    serving = Step(1, SIZE, 60.0, lasts=True, image="web", serves_ms=100)
    host = harness.find(harness.add(10, serving))
    place(harness, 3.0)
    task = harness.find(harness.add(1, Step(1, SIZE, 2.0)))
    elsewhere = harness.fleet.get("n5").place
    assert host.place != elsewhere
    harness.registry.place(task, 1, elsewhere, lambda: None)
    harness.crash_under(task)
    for number in set(range(6)) - {harness.find_node(host)}:
        filler = harness.find(harness.add(20 + number, Step(1, Resources(8_000), 60.0)))
        harness.registry.place(
            filler, 1, harness.fleet.get(f"n{number}").place, lambda: None
        )
    for number in range(6):
        harness.report(number)
    place(harness)
    assert task.place
    assert task.place != host.place


def test_no_task_starts_beside_a_suspect_on_probation(harness):
    """A task that starts beside a suspect just before the crash would be blamed too,
    and a serving task would be lost with the worker.
    """
    suspect = harness.find(harness.add(1, Step(1, SIZE, 2.0)))
    place(harness)
    harness.crash_under(suspect)
    place(harness)
    job = harness.add(2, Step(30, SIZE, 2.0))
    harness.planner.plan()
    places = {harness.find(job, index).place for index in range(30)}
    assert suspect.place not in places
    harness.report(harness.find_node(suspect))
    harness.wait(STARTUP_S)
    harness.report(harness.find_node(suspect))
    assert not is_suspect(suspect)


def test_a_suspect_waits_until_earlier_orders_are_listed(monkeypatch):
    """Guards against a task that shares the blame of a suspect, because it was ordered
    for the same worker a moment before and starts together with it.
    """
    harness = LeaderHarness(monkeypatch, ["r1"])
    harness.find(harness.add(1, Step(1, SIZE, 2.0)))
    place(harness)
    suspect = harness.find(harness.add(2, Step(1, SIZE, 2.0)))
    suspect.crashes = suspect.blames = 1
    place(harness, 0.01)
    assert suspect.waits
    harness.report(0)
    place(harness, 0.01)
    assert suspect.place


def test_a_suspect_does_not_wait_forever_for_a_quiet_worker(monkeypatch):
    """A fleet that starts a task every few milliseconds always has a pending start for
    each worker.
    """
    harness = LeaderHarness(monkeypatch, ["r1"])
    suspect = harness.find(harness.add(1, Step(1, SIZE, 2.0)))
    suspect.crashes = suspect.blames = 1
    for number in range(2, 9):
        other = harness.find(harness.add(number, Step(1, SIZE, 2.0)))
        harness.report(0)
        harness.registry.place(other, 1, harness.fleet.get("n0").place, lambda: None)
        place(harness, 0.2)
    assert suspect.waits
    place(harness, MAX_QUIET_WAIT_S)
    assert suspect.place


def test_a_worker_that_crashes_under_every_task_fails_no_job(harness):
    """Guards against failing a job for a worker that crashes repeatedly.

    The worker is empty after each restart, so it is the first choice for the suspect
    that its own crash has produced.
    """
    job = harness.add(1, Step(1, SIZE, 2.0))
    task = harness.find(job)
    place(harness)
    first = harness.find_node(task)
    harness.crash_under(task)
    others = [harness.add(number, Step(1, SIZE, 9.0)) for number in range(2, 12)]
    place(harness, 0.1)
    for number in range(6):
        harness.report(number)
    for other in others:
        if harness.find_node(harness.find(other)) == first:
            harness.registry.requeue(harness.find(other))
    place(harness)
    assert task.place
    assert harness.find_node(task) != first


def test_suspects_are_placed_on_a_few_workers_only(harness):
    """Twenty suspects placed at once on all workers would crash the whole fleet."""
    job = harness.add(1, Step(20, SIZE, 2.0))
    for task in (harness.find(job, index) for index in range(20)):
        task.crashes = task.blames = 1
    place(harness)
    placed = {harness.find(job, index).place for index in range(20)} - {""}
    assert len(placed) == compute_isolation_limit(6) == 1
    task = next(one for one in map(harness.find, [job] * 20, range(20)) if one.place)
    number = harness.find_node(task)
    loss = WorkerLoss(
        f"w{number}-1", "crashed", 0, (LostRun(str(task.name), task.run, 8),)
    )
    harness.reconciler.apply(
        harness.attachments[number],
        WorkerReport(
            1, 1, "", (loss,), "", False, False, 0, 0, 0, 0, (), (), (), ()
        ),
    )  # fmt: skip
    place(harness, 0.1)
    assert not {harness.find(job, index).place for index in range(20)} - {""}, (
        "a worker that crashed under a suspect counts until it has restarted"
    )


LASTING = Step(1, Resources(500, 200, 0), 0.5, lasts=True)


def add_lasting(harness: LeaderHarness, jobs: int, count: int) -> list[Task]:
    """Add jobs of tasks that last, and have all run on one worker for a moment."""
    added = [
        harness.add(number, replace(LASTING, count=count)) for number in range(jobs)
    ]
    tasks = [harness.find(job, index) for job in added for index in range(count)]
    place(harness, 0.0)
    for task in tasks:
        harness.registry.requeue(task)
        harness.registry.place(task, 1, "n0/w0-1", lambda: None)
    harness.report(0)
    return tasks


def run_until_back(harness: LeaderHarness, tasks: list[Task], culprit=None) -> float:
    """Plan and report until all tasks run and none is suspected; return the time.

    :param culprit: a task that crashes each worker which starts it; its job has failed
        by then.
    """
    open_records = harness.registry.open_records
    for rounds in range(1, 200):
        place(harness, 0.2)
        if culprit is not None and culprit.place:
            number = harness.find_node(culprit)
            runs = harness.registry.get_runs(culprit.place)
            harness.lose(number, {name: 8 for name in runs if not runs[name].running})
        for number in range(len(harness.racks)):
            harness.report(number)
        over = culprit is None or culprit.name.job_id not in open_records
        if over and all(task.running and not is_suspect(task) for task in tasks):
            return rounds * 0.2
    raise AssertionError("some tasks are not back")


@pytest.mark.parametrize(("jobs", "count"), [(1, 20), (20, 1)])
def test_many_suspects_of_one_crash_are_soon_back(harness, jobs, count):
    """Guards against tasks that are away for 20 s after one crash beside idle workers.

    Each of 20 suspects started alone, one after another.
    """
    tasks = add_lasting(harness, jobs, count)
    harness.lose(0, {str(task.name): 300 for task in tasks})
    assert all(map(is_suspect, tasks))
    # A lasting task must be back within 6 s of its last run, beside 3 s for a crash.
    assert run_until_back(harness, tasks) <= 9.0


@pytest.mark.parametrize("position", range(0, 20, 3))
@pytest.mark.parametrize("unexplained", [False, True])
def test_a_group_of_suspects_that_crashes_its_worker_fails_no_innocent_job(
    harness, position, unexplained
):
    """Guards against jobs that fail because they started beside a crashing task.

    The task itself is given up after five crashes at the latest, also while another
    crash without an explanation makes each blame weigh less.
    """
    tasks = add_lasting(harness, 20, 1)
    culprit = tasks.pop(position)
    if unexplained:
        harness.lose(5, {})
    before = sum(harness.lives)
    harness.lose(0, {str(task.name): 8 for task in [*tasks, culprit]})
    run_until_back(harness, tasks, culprit)
    records = harness.registry.records
    failed = [
        record.job_id for record in records.values() if record.state == JobState.FAILED
    ]
    assert failed == [culprit.name.job_id]
    assert sum(harness.lives) - before <= CRASHES_TO_GIVE_UP


def test_a_crash_under_a_group_of_suspects_blames_none():
    """Guards against innocent tasks that are given up after two crashes."""
    runs = [CrashedRun("a", 0.01, True), CrashedRun("b", 0.01, True)]
    attribution = attribute_crash([*runs, CrashedRun("c", 0.01, False)])
    assert attribution.blames == {"a": 0, "b": 0}
    assert attribution.involved == {"a", "b"}
    assert attribution.explained
    assert attribute_crash(runs[:1]).blames == {"a": BLAME_IMMEDIATE}


@pytest.mark.parametrize(("crashes", "alone"), [(1, False), (2, False), (3, True)])
def test_a_task_that_has_crashed_in_groups_starts_alone(crashes, alone):
    """Guards against a task that crashes more workers than the platform allows."""
    task = Task(TaskName("0" * 16, 0, 0, 0), LASTING, crashes=crashes, blames=3)
    assert compute_group_size(task, GROUP_WAIT_S - 0.1) == 1
    assert (compute_group_size(task, 60.0) == 1) == alone


def test_two_crashes_a_moment_after_a_start_do_not_fail_the_job(harness):
    """Workers that crash in turn can hit the same task as it moves between them."""
    job = harness.add(1, Step(1, SIZE, 2.0))
    task = harness.find(job)
    for _ in range(2):
        place(harness)
        harness.crash_under(task, age_ms=300)
    place(harness)
    assert task.place
    harness.report(harness.find_node(task))
    harness.wait(STARTUP_S)
    harness.report(harness.find_node(task))
    assert not task.blames


def test_a_task_that_crashes_workers_late_fails_its_job(harness):
    """No task had just started, so none is blamed. Five crashes in a row, each before
    the task has run for long, are enough.
    """
    job = harness.add(1, Step(1, SIZE, 9.0))
    task = harness.find(job)
    for crashes in range(CRASHES_TO_GIVE_UP):
        assert harness.registry.records[job.job_id].state is not JobState.FAILED
        last = crashes == CRASHES_TO_GIVE_UP - 1
        place(harness, OBSERVATION_S if last else RACK_CHECK_DELAY_S + 0.01)
        harness.crash_under(task, age_ms=4_000)
    place(harness)
    assert harness.registry.records[job.job_id].state is JobState.FAILED


def crash_until_held(harness: LeaderHarness, task) -> None:
    """Crash workers under a task until one more crash would fail its job."""
    for _ in range(CRASHES_TO_GIVE_UP - 1):
        place(harness)
        harness.crash_under(task, age_ms=675)
    place(harness)
    assert not task.place


def test_workers_that_crash_in_turns_fail_no_job(harness):
    """Guards against failing a valid job for workers that crash by themselves in turns.

    They can hit a task that moves between them each time. While the task is held before
    its last attempt, the next of them crashes without it.
    """
    job = harness.add(1, Step(1, SIZE, 9.0))
    task = harness.find(job)
    for _ in range(3):
        crash_until_held(harness, task)
        harness.lose(0, {})
        assert task.crashes == CRASHES_TO_GIVE_UP - 2
        place(harness, OBSERVATION_S)
        assert task.place
        harness.report(harness.find_node(task))
        harness.wait(CRASH_RESET_S)
        harness.report(harness.find_node(task))
        assert task.crashes == 0
        harness.crash_under(task, age_ms=int(CRASH_RESET_S * 1_000))
        task.crashes = 0
    assert harness.registry.records[job.job_id].state is JobState.ACTIVE


def test_a_crash_that_another_task_explains_pardons_no_task(harness):
    """Guards against a task that is started for ever beside others of its kind."""
    job = harness.add(1, Step(1, SIZE, 9.0))
    task = harness.find(job)
    crash_until_held(harness, task)
    other = harness.find(harness.add(2, Step(1, SIZE, 2.0)))
    place(harness, 0.05)
    harness.crash_under(other)
    assert task.crashes == CRASHES_TO_GIVE_UP - 1
    place(harness, OBSERVATION_S)
    harness.crash_under(task, age_ms=675)
    place(harness)
    assert harness.registry.records[job.job_id].state is JobState.FAILED


def test_two_crashes_fail_no_job_while_workers_crash_by_themselves(harness):
    """Guards against failing a job for workers that crash by themselves.

    Three workers crash in turn, 0.9 s apart, while a task that moves between them is
    347, 33 and 159 ms old. Crashes of workers without a task that had just started, or
    of idle workers, show that workers crash by themselves.
    """
    job = harness.add(1, Step(1, SIZE, 2.0))
    task = harness.find(job)
    for age_ms in (347, 33, 159):
        place(harness)
        harness.crash_under(task, age_ms=age_ms)
    place(harness)
    assert harness.registry.records[job.job_id].state is JobState.ACTIVE
    assert task.blames == BLAME_STARTUP + (BLAME_IMMEDIATE - 1) + (BLAME_STARTUP - 1)


def test_three_crashes_fail_the_job_while_workers_crash_by_themselves(harness):
    """A task that crashes each worker is still found, one worker later."""
    job = harness.add(1, Step(1, SIZE, 2.0))
    task = harness.find(job)
    place(harness)
    idle = next(one for one in range(6) if one != harness.find_node(task))
    harness.lose(idle, {})
    for _ in range(3):
        assert harness.registry.records[job.job_id].state is not JobState.FAILED
        place(harness)
        harness.crash_under(task)
    place(harness)
    assert harness.registry.records[job.job_id].state is JobState.FAILED


def test_bystanders_of_crashes_do_not_wait_for_isolation(harness):
    """Guards against isolating tasks, serving tasks among them, that were running on
    two workers which crashed by themselves one after the other.
    """
    job = harness.add(1, Step(12, SIZE, 9.0, lasts=True))
    tasks = [harness.find(job, index) for index in range(12)]
    for _ in range(2):
        place(harness, 3.0)
        for number in range(6):
            harness.report(number)
        for number in range(6):
            harness.lose(number, {str(task.name): 4_000 for task in tasks})
            harness.wait(1.0)
    assert {task.crashes for task in tasks} == {2}
    place(harness, 3.0)
    assert all(task.place for task in tasks)


def test_a_stable_run_resets_the_crash_count(harness):
    """A task that runs for days sees many crashes of its workers."""
    task = harness.find(harness.add(1, Step(1, SIZE, 9.0, lasts=True)))
    for _ in range(2 * CRASHES_TO_GIVE_UP):
        place(harness)
        number = harness.find_node(task)
        harness.report(number)
        harness.wait(CRASH_RESET_S)
        harness.report(number)
        harness.lose(number, {str(task.name): int(CRASH_RESET_S * 1_000)})
    assert harness.registry.records[task.name.job_id].state is JobState.ACTIVE


def test_the_task_that_started_last_is_blamed():
    """Simultaneous starts share the blame; a suspect among them takes all of it."""
    young, close = CrashedRun("a", 0.01, False), CrashedRun("b", 0.05, False)
    later = CrashedRun("c", 0.4, False)
    unknown, old = CrashedRun("d", None, False), CrashedRun("e", 9.0, True)
    verdict = attribute_crash([later, close, young, unknown, old])
    assert verdict.blames == {"a": BLAME_IMMEDIATE, "b": BLAME_IMMEDIATE}
    assert verdict.involved == {"a", "b", "c"}
    known = CrashedRun("f", 0.3, True)
    assert attribute_crash([young, known]).blames == {"f": BLAME_STARTUP}
    assert attribute_crash([unknown, old]).involved == {"d", "e"}


def test_one_worker_in_a_crash_loop_does_not_fail_a_job_at_once(monkeypatch):
    """Guards against failing a valid job for a runner in a crash loop."""
    harness = LeaderHarness(monkeypatch, ["r1"])
    job = harness.add(1, Step(1, SIZE, 2.0))
    task = harness.find(job)
    for _ in range(CRASHES_TO_GIVE_UP - 1):
        place(harness)
        harness.crash_under(task)
        assert harness.registry.records[job.job_id].state is JobState.ACTIVE
    assert task.blames == BLAME_IMMEDIATE
    place(harness, OBSERVATION_S)
    harness.crash_under(task)
    place(harness)
    assert harness.registry.records[job.job_id].state is JobState.FAILED
