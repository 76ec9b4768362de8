"""The leader's in-memory record of one job: its steps, tasks and runs."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from pistachiodeal.jobs.model import Job, JobState, Step, compute_critical_path_s
from pistachiodeal.jobs.names import TaskName


@dataclass(slots=True, eq=False)
class Task:
    """One task.

    ``run``, ``place``, ``done``, ``failures``, ``checkpoint``, ``crashes`` and
    ``blames`` are stored. The other fields hold what the present leader has observed,
    and are lost when the leader changes.

    :param run: number of the newest run, 0 before the first.
    :param place: where that run is, or may still be; empty while the task waits.
    :param checkpoint: state from which the next run resumes.
    :param crashes: number of worker crashes that the task may have caused.
    :param blames: accumulated weight of the crashes that the task probably caused.
    :param running: whether a worker has listed the run.
    :param percent: share of its work that is done, as last listed.
    :param progressed_at: when ``percent`` last changed, seconds of the boot clock.
    :param placed_at: when the run was placed, seconds of the boot clock.
    :param stopping: why the run is being stopped, empty if it isn't.
    :param held_until: the task is not placed before this, seconds of the boot clock.
    :param ticket: ticket of the external service for the newest run, or empty.
    :param avoid: nodes on which the task failed or stalled, or whose worker crashed
        while the task ran there.
    :param worked: average pace of a filling task over the last sampling period.
    :param slow_since: since when that pace is low, seconds of the boot clock.
    :param work_s: work done since the start of the task or since the checkpoint that
        it resumed from, in seconds at full speed.
    :param seen_at: when it was last listed, seconds of the boot clock.
    :param proven: whether an earlier run has ended ``done``, so that the task is done
        once its newest run has certainly ended.
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
    proven: bool = False
    fully_observed: bool = True

    @property
    def waits(self) -> bool:
        """Return whether the task has to be placed."""
        return not self.done and not self.place


@dataclass(slots=True, eq=False)
class StepRecord:
    """The tasks of one step of one occurrence.

    :param remaining: number of tasks that are not done; maintained as a counter, since
        each scheduling round reads it.
    :param expected_s: expected run time of a task, seconds; at first the declared one.
    :param total_time_s: sum of the run times of the tasks counted in ``timed_tasks``.
    :param timed_tasks: number of tasks that were done under this leader.
    """

    number: int
    occurrence: int
    step: Step
    tasks: list[Task]
    remaining: int = 0
    expected_s: float = 0.0
    total_time_s: float = 0.0
    timed_tasks: int = 0

    @property
    def key(self) -> tuple[str, int, int]:
        """Return job, occurrence and number."""
        return self.tasks[0].name.job_id, self.occurrence, self.number

    @property
    def done(self) -> bool:
        """Return whether all tasks are done."""
        return self.remaining == 0

    @property
    def remaining_work(self) -> float:
        """Return the core-seconds of the tasks that are not done."""
        return self.remaining * self._task_work

    @property
    def total_work(self) -> float:
        """Return the core-seconds of all tasks."""
        return len(self.tasks) * self._task_work

    @property
    def _task_work(self) -> float:
        return self.step.size.cpu_milli / 1000 * self.expected_s

    def record_duration(self, took_s: float) -> None:
        """Record a task's run time, used to estimate the step's other tasks."""
        self.timed_tasks += 1
        self.total_time_s += took_s

    def mark_done(self, task: Task) -> None:
        """Record that a task is done."""
        if not task.done:
            task.done = True
            self.remaining -= 1


@dataclass(slots=True, eq=False)
class JobRecord:
    """The leader's record of one job.

    :param state: as decided by the leader.
    :param durable_state: as stored; the state that callers see.
    :param started: whether any task has ever been seen at work, or its end.
    :param placed: number of its tasks that are placed.
    :param completed: numbers of the occurrences that are complete.
    :param undivided: whether the job has rows in the partition that held all
        submissions before they were partitioned; a removal must delete those too.
    :param submission_version: version of its submission's row, 0 if it isn't known.
    :param compacted: whether that row was compacted.
    :param critical_path_s: critical path by expected run times, as last computed.
    :param work: core-seconds of the whole job, as last computed.
    :param row_version: version of the head of its progress rows, 0 if there is none.
    :param part_rows: highest number of a progress row that may exist beside the head.
    """

    job: Job
    state: JobState = JobState.QUEUED
    durable_state: JobState = JobState.QUEUED
    started: bool = False
    placed: int = 0
    row_version: int = 0
    finished_at: float = 0.0
    completed: set[int] = field(default_factory=set)
    occurrences: dict[int, list[StepRecord]] = field(default_factory=dict)
    critical_path_s: float = 0.0
    work: float = 0.0
    undivided: bool = False
    submission_version: int = 0
    compacted: bool = False
    part_rows: int = 0

    @property
    def job_id(self) -> str:
        """Return the job's id."""
        return self.job.job_id

    @property
    def begun(self) -> bool:
        """Return whether any task has started, or may be starting now."""
        return self.started or self.placed > 0

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
        """Open the occurrences that are due; return whether any was opened."""
        opened = False
        for number in range(self._count_due(time_of_day_s)):
            if number in self.occurrences or number in self.completed:
                continue
            self.open_occurrence(number)
            opened = True
        return opened

    def open_occurrence(self, number: int) -> None:
        """Open an occurrence, with all tasks waiting."""
        self.occurrences[number] = _build_steps(self.job, number)

    def list_ready(self) -> list[StepRecord]:
        """Return the steps that have waiting tasks and whose dependencies are done."""
        ready = []
        for steps in self.occurrences.values():
            for record in steps:
                if not any(task.waits for task in record.tasks):
                    continue
                if all(steps[earlier].done for earlier in record.step.after):
                    ready.append(record)
        return ready

    def compute_remaining_s(self, steps: list[StepRecord]) -> float:
        """Return the critical path of the steps that are not done, seconds."""
        return compute_critical_path_s(
            (one.step for one in steps),
            (0.0 if one.done else one.expected_s for one in steps),
        )

    def update_estimates(self, steps: list[StepRecord]) -> None:
        """Recompute critical path and work from an occurrence's expected run times."""
        self.critical_path_s = compute_critical_path_s(
            (one.step for one in steps), (one.expected_s for one in steps)
        )
        self.work = sum(one.total_work for one in steps)

    def close_done(self) -> None:
        """Close the occurrences that are done; complete the job with the last one."""
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
        # Also true without an interval; the quotient of a tiny one would be infinite.
        if late_s >= job.interval_s * (job.repeats - 1):
            return job.repeats
        return min(job.repeats, int(late_s / job.interval_s) + 1)


def build_record(job: Job) -> JobRecord:
    """Return the record of a job that has not run yet."""
    declared = (step.estimate_s for step in job.steps)
    return JobRecord(job, critical_path_s=compute_critical_path_s(job.steps, declared))


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
