"""The leader's memory of one job: its steps, tasks and runs."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.checks import check_fields
from pistachiodeal.jobs.model import Job, JobState, Step, compute_chain_s
from pistachiodeal.jobs.names import TaskName


@dataclass(slots=True, eq=False)
class Task:
    """One task.

    Durable are ``run``, ``place``, ``done``, ``failures``, ``checkpoint``, ``crashes``
    and ``blames``; the rest is what the leader has seen in its own time.

    :param run: number of its newest run, 0 before the first.
    :param place: where that run is, or may still be; empty while the task waits.
    :param checkpoint: state from which its next run resumes.
    :param crashes: workers that crashed under it and that it may have ended.
    :param blames: how much speaks for it as their cause.
    :param running: whether a worker has listed the run.
    :param percent: of its work, as last listed.
    :param progressed_at: when ``percent`` last changed, seconds of the boot clock.
    :param placed_at: when the run was decided, seconds of the boot clock.
    :param stopping: why the run is being stopped, empty when it isn't.
    :param held_until: it gets no place before, seconds of the boot clock.
    :param ticket: of the outside service for its newest run, or empty.
    :param avoid: nodes on which it failed or stood still, or that ended under it.
    :param worked: pace of a filling task while its worker's figures were taken.
    :param slow_since: since when that pace is low, seconds of the boot clock.
    :param work_s: time at work since the beginning or the checkpoint that it resumed
        from, in seconds at full speed.
    :param seen_at: when it was last listed, seconds of the boot clock.
    :param fully_observed: whether this leader has observed all its runs, so that
        ``work_s`` is accurate.
    """

    name: TaskName
    step: Step
    run: int = 0
    place: str = ""
    done: bool = False
    failures: int = 0
    checkpoint: str = ""
    crashes: int = 0
    blames: int = 0
    running: bool = False
    percent: int = 0
    figure: int = 0
    progressed_at: float = 0.0
    placed_at: float = 0.0
    began_at: float = 0.0
    ready_at: float = 0.0
    stopping: str = ""
    held_until: float = 0.0
    ticket: str = ""
    avoid: frozenset[str] = frozenset()
    worked: float = 0.0
    slow_since: float = 0.0
    work_s: float = 0.0
    seen_at: float = 0.0
    fully_observed: bool = True

    @property
    def waits(self) -> bool:
        """Tell whether the task needs a place."""
        return not self.done and not self.place


@dataclass(slots=True, eq=False)
class StepRecord:
    """The tasks of one step of one occurrence.

    :param left: tasks that are not done; counted, since each round of decisions asks.
    :param expected_s: time that a task is expected to take; declared at first.
    :param total_time_s: sum of the times of the tasks in ``timed_tasks``.
    :param timed_tasks: tasks that were done under this leader.
    """

    number: int
    occurrence: int
    step: Step
    tasks: list[Task]
    left: int = 0
    expected_s: float = 0.0
    total_time_s: float = 0.0
    timed_tasks: int = 0

    @property
    def key(self) -> tuple[str, int, int]:
        """Return job, occurrence and number."""
        return self.tasks[0].name.job_id, self.occurrence, self.number

    @property
    def done(self) -> bool:
        """Tell whether all tasks have ended as done."""
        return self.left == 0

    @property
    def remaining_work(self) -> float:
        """Return the core-seconds of the tasks that are not done."""
        return self.left * self._task_work

    @property
    def whole_work(self) -> float:
        """Return the core-seconds of all tasks."""
        return len(self.tasks) * self._task_work

    @property
    def _task_work(self) -> float:
        return self.step.size.cpu_milli / 1000 * self.expected_s

    def note_took(self, took_s: float) -> None:
        """Note how long a task has taken; the others of the step take as long."""
        self.timed_tasks += 1
        self.total_time_s += took_s

    def mark_done(self, task: Task) -> None:
        """Note that a task has ended as done."""
        if not task.done:
            task.done = True
            self.left -= 1


@dataclass(slots=True, eq=False)
class JobRecord:
    """One job as the leader knows it.

    :param state: as decided by the leader.
    :param durable_state: as stored; the state that callers see.
    :param begun: whether any task has ever been placed.
    :param completed: occurrences of which nothing is left to do.
    :param undivided: whether it has rows where submissions lay before they were
        divided; a removal has to take those too.
    :param critical_path_s: longest chain of expected task times, as last worked out.
    :param work: core-seconds of the whole job, as last worked out.
    :param row_version: of its progress row, 0 when there is none.
    """

    job: Job
    state: JobState = JobState.QUEUED
    durable_state: JobState = JobState.QUEUED
    begun: bool = False
    row_version: int = 0
    finished_at: float = 0.0
    completed: set[int] = field(default_factory=set)
    occurrences: dict[int, list[StepRecord]] = field(default_factory=dict)
    critical_path_s: float = 0.0
    work: float = 0.0
    undivided: bool = False

    @property
    def job_id(self) -> str:
        """Return the job's id."""
        return self.job.job_id

    def iterate_tasks(self) -> Iterator[Task]:
        """Return the tasks of all open occurrences."""
        for steps in self.occurrences.values():
            for step in steps:
                yield from step.tasks

    def find(self, name: TaskName) -> Task | None:
        """Return a task of an open occurrence."""
        steps = self.occurrences.get(name.occurrence)
        if steps is None or name.step >= len(steps):
            return None
        tasks = steps[name.step].tasks
        return tasks[name.index] if name.index < len(tasks) else None

    def find_step(self, name: TaskName) -> StepRecord:
        """Return the step of a task of an open occurrence."""
        return self.occurrences[name.occurrence][name.step]

    def open_due(self, time_of_day_s: float) -> bool:
        """Open the occurrences that are due; tell whether any was opened."""
        opened = False
        for number in range(self._count_due(time_of_day_s)):
            if number in self.occurrences or number in self.completed:
                continue
            self.occurrences[number] = _build_steps(self.job, number)
            opened = True
        return opened

    def list_ready(self) -> list[StepRecord]:
        """Return the steps with waiting tasks whose turn has come."""
        ready = []
        for steps in self.occurrences.values():
            for record in steps:
                if not any(task.waits for task in record.tasks):
                    continue
                if all(steps[earlier].done for earlier in record.step.after):
                    ready.append(record)
        return ready

    def compute_remaining_s(self, steps: list[StepRecord]) -> float:
        """Return the longest chain of expected time that is left, seconds."""
        return compute_chain_s(
            (one.step for one in steps),
            (0.0 if one.done else one.expected_s for one in steps),
        )

    def update_estimates(self, steps: list[StepRecord]) -> None:
        """Work out chain and work of an occurrence from the expected times."""
        self.critical_path_s = compute_chain_s(
            (one.step for one in steps), (one.expected_s for one in steps)
        )
        self.work = sum(one.whole_work for one in steps)

    def close_done(self) -> None:
        """Close the occurrences that are done; complete the job after the last."""
        for number, steps in list(self.occurrences.items()):
            if all(step.done for step in steps):
                del self.occurrences[number]
                self.completed.add(number)
        if len(self.completed) >= max(self.job.repeats, 1):
            self.state = JobState.COMPLETED

    def _count_due(self, time_of_day_s: float) -> int:
        job = self.job
        if not job.repeats:
            return 1
        late_s = time_of_day_s - job.first_run_s
        if late_s < 0:
            return 0
        if job.interval_s <= 0:
            return job.repeats
        return min(job.repeats, int(late_s / job.interval_s) + 1)


def build_record(job: Job) -> JobRecord:
    """Return the record of a job of which nothing has run yet."""
    declared = (step.estimate_s for step in job.steps)
    return JobRecord(job, critical_path_s=compute_chain_s(job.steps, declared))


def encode_progress(record: JobRecord) -> bytes:
    """Return the value of a job's progress row."""
    tasks: dict[str, list[Any]] = {}
    crashes: dict[str, list[int]] = {}
    if not record.state.final:
        for task in record.iterate_tasks():
            if task.crashes:
                crashes[_build_key(task)] = [task.crashes, task.blames]
            if task.run:
                tasks[_build_key(task)] = [
                    task.run,
                    task.place,
                    int(task.done),
                    task.failures,
                    task.checkpoint,
                ]
    else:
        # A final job's runs may still have to be stopped by a successor.
        for task in record.iterate_tasks():
            if task.place:
                tasks[_build_key(task)] = [task.run, task.place, int(task.done), 0, ""]
    document = {
        "state": record.state.value,
        "begun": record.begun,
        "completed": sorted(record.completed),
        "tasks": tasks,
        "crashes": crashes,
    }
    return orjson.dumps(document)


def apply_progress(record: JobRecord, value: bytes, version: int) -> None:
    """Set a new record to what its progress row says.

    :raises ProtocolError: the value was not written by this project.
    """
    try:
        document = orjson.loads(value)
        record.state = record.durable_state = JobState(document["state"])
        record.begun = bool(document["begun"])
        record.completed = {int(number) for number in document["completed"]}
        record.row_version = version
        for key, fields in document["tasks"].items():
            _apply_task(record, key, fields)
        for key, counts in document.get("crashes", {}).items():
            task = _find_task(record, key)
            task.crashes, task.blames = counts
            _check_counts(task)
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
        raise ProtocolError(repr(error), step="jobs.decode_progress") from error


def read_state(value: bytes) -> JobState:
    """Return the state in a progress row.

    :raises ProtocolError: the value was not written by this project.
    """
    try:
        return JobState(orjson.loads(value)["state"])
    except (ValueError, KeyError, TypeError) as error:
        raise ProtocolError(repr(error), step="jobs.decode_progress") from error


def _build_key(task: Task) -> str:
    name = task.name
    return f"{name.occurrence}.{name.step}.{name.index}"


def _find_task(record: JobRecord, key: str) -> Task:
    occurrence, step, index = (int(part) for part in key.split("."))
    if min(occurrence, step, index) < 0:
        raise ValueError("a number in a task's name is negative")
    if occurrence not in record.occurrences:
        record.occurrences[occurrence] = _build_steps(record.job, occurrence)
    return record.occurrences[occurrence][step].tasks[index]


def _apply_task(record: JobRecord, key: str, fields: list[Any]) -> None:
    task = _find_task(record, key)
    task.run, task.place, done, task.failures, task.checkpoint = fields
    _check_counts(task)
    task.fully_observed = False
    if done:
        record.find_step(task.name).mark_done(task)
    task.progressed_at = task.placed_at = read_boot_clock()


def _build_steps(job: Job, occurrence: int) -> list[StepRecord]:
    records = []
    for number, step in enumerate(job.steps):
        tasks = [
            Task(TaskName(job.job_id, occurrence, number, index), step)
            for index in range(step.count)
        ]
        records.append(
            StepRecord(number, occurrence, step, tasks, len(tasks), step.estimate_s)
        )
    return records


def _check_counts(task: Task) -> None:
    check_fields(task)
    if min(task.run, task.failures, task.crashes, task.blames) < 0:
        raise ValueError("a count is negative")
