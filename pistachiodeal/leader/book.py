"""All jobs that the leader knows, and every change to them.

A change marks its job as not yet durable. Effects of a change (an order, an
acknowledgement, a state that callers are told) are kept with it and run only once the
job's row is written.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import EndKind, Job, JobState
from pistachiodeal.jobs.names import parse_task_name
from pistachiodeal.jobs.record import JobRecord, StepRecord, Task, build_record
from pistachiodeal.leader.expectations import Expectations
from pistachiodeal.scheduling.ordering import compute_objective_s

Effect = Callable[[], None]


class JobBook:
    """The leader's memory of jobs."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._records: dict[str, JobRecord] = {}
        self._open: dict[str, JobRecord] = {}
        self._unsaved: dict[str, list[Effect]] = {}
        self._writing: set[str] = set()
        self._expectations = Expectations()
        self._runs: dict[str, dict[str, Task]] = {}
        self._stamps: dict[str, int] = {}

    @property
    def records(self) -> dict[str, JobRecord]:
        """Return all records by job id."""
        return self._records

    @property
    def open_records(self) -> dict[str, JobRecord]:
        """Return the records of jobs that are not final."""
        return self._open

    @property
    def expectations(self) -> Expectations:
        """Return what is expected of jobs."""
        return self._expectations

    @property
    def has_unsaved(self) -> bool:
        """Tell whether any change has to be written."""
        return bool(self._unsaved)

    @property
    def has_writable(self) -> bool:
        """Tell whether any change can be written now.

        A job whose last change is on its way waits for the answer: two writes of one
        row at a time could come in the wrong order.
        """
        return any(job_id not in self._writing for job_id in self._unsaved)

    def is_unsaved(self, job_id: str) -> bool:
        """Tell whether a change of a job has not reached its row."""
        return job_id in self._unsaved or job_id in self._writing

    def get_runs(self, place: str) -> dict[str, Task]:
        """Return the tasks whose run is at a place, by name."""
        return self._runs.get(place, {})

    def get_stamp(self, place: str) -> int:
        """Return a number that rises with each change of the runs at a place."""
        return self._stamps.get(place, 0)

    def list_places(self) -> list[str]:
        """Return all places with runs."""
        return [place for place, runs in self._runs.items() if runs]

    def find_task(self, text: str) -> Task | None:
        """Return a task by its name."""
        name = parse_task_name(text)
        record = self._records.get(name.job_id) if name else None
        return record.find(name) if record and name else None

    def restore(self, record: JobRecord) -> None:
        """Take in a record as its rows say it is."""
        self._records[record.job_id] = record
        if not record.state.final:
            self._open[record.job_id] = record
        now = read_boot_clock()
        for task in record.iterate_tasks():
            # How long a task has waited under an earlier leader isn't known.
            task.ready_at = now
            if task.place:
                self._runs.setdefault(task.place, {})[str(task.name)] = task

    def add(self, job: Job, time_of_day_s: float) -> None:
        """Take in an accepted job; one that is known stays as it is."""
        if job.job_id in self._records:
            return
        record = build_record(job)
        self.restore(record)
        self.open_due(record, time_of_day_s)
        if record.occurrences:
            self._expectations.expect(record, next(iter(record.occurrences.values())))
            self._expectations.note_work(record)
        self._events.emit("job.known", job=job.job_id, queue=job.queue.name)

    def get_expected_s(self, task: Task) -> float:
        """Return the time that a task is expected to take at full speed."""
        record = self._records[task.name.job_id]
        return record.find_step(task.name).expected_s

    def open_due(self, record: JobRecord, time_of_day_s: float) -> None:
        """Open a job's occurrences that are due."""
        if not record.open_due(time_of_day_s):
            return
        now = read_boot_clock()
        for task in record.iterate_tasks():
            task.ready_at = task.ready_at or now

    def cancel(self, job_id: str) -> list[Task]:
        """Cancel a job; return the tasks whose runs have to be stopped."""
        record = self._records.get(job_id)
        if record is None or record.state.final:
            return []
        self._events.emit("job.cancelled", job=job_id, state=record.state.value)
        return self._finish(record, JobState.CANCELLED)

    def place(self, task: Task, run: int, place: str, ordered: Effect) -> None:
        """Decide a run; ``ordered`` runs once the decision is durable."""
        now = read_boot_clock()
        task.run, task.place = run, place
        task.running, task.percent, task.stopping = False, 0, ""
        task.worked = task.slow_since = 0.0
        task.seen_at = 0.0
        task.placed_at = task.progressed_at = now
        self._runs.setdefault(place, {})[str(task.name)] = task
        self._note_change(place)
        record = self._records[task.name.job_id]
        record.begun = True
        if record.state is JobState.QUEUED:
            record.state = JobState.ACTIVE
        self._save(record, ordered)

    def end_run(
        self, task: Task, kind: EndKind, checkpoint: str, noted: Effect
    ) -> list[Task]:
        """Take in the end of a task's newest run.

        :param noted: runs once the end is durable.
        :return: tasks whose runs have to be stopped because the job is over.
        """
        record = self._records[task.name.job_id]
        self._release(task, checkpoint)
        stops: list[Task] = []
        if kind is EndKind.DONE and not task.step.lasts:
            self._note_done(record, task)
        elif kind is EndKind.FAILED and not task.step.lasts:
            task.failures += 1
            if task.failures >= record.job.queue.attempts and not record.state.final:
                self._events.emit(
                    "job.failed",
                    job=record.job_id,
                    task=str(task.name),
                    why="its attempts are used up",
                )
                stops = self._finish(record, JobState.FAILED)
        if not record.state.final:
            record.close_done()
            if record.state.final:
                self._close(record)
        self._save(record, noted)
        return stops

    def give_up(self, record: JobRecord, task: Task) -> list[Task]:
        """Fail a job for a task that ends its workers.

        :return: tasks whose runs have to be stopped.
        """
        self._events.emit(
            "job.failed",
            job=record.job_id,
            task=str(task.name),
            why="its runs end their workers",
            run=task.run,
            crashes=task.crashes,
            blames=task.blames,
        )
        return self._finish(record, JobState.FAILED)

    def touch(self, task: Task) -> None:
        """Have a task's row written again."""
        self._save(self._records[task.name.job_id], None)

    def requeue(self, task: Task) -> None:
        """Give a run up that certainly isn't, and never will be, at work."""
        record = self._records[task.name.job_id]
        self._release(task, "")
        self._save(record, None)

    def move_run(self, task: Task, place: str) -> None:
        """Note that a task's newest run is, or may be, at another place."""
        self._leave_place(task)
        task.place, task.running = place, False
        self._runs.setdefault(place, {})[str(task.name)] = task
        self._note_change(place)
        self.touch(task)

    def forget_place(self, place: str) -> None:
        """Forget a place that has no runs any more."""
        if not self.get_runs(place):
            self._runs.pop(place, None)
            self._stamps.pop(place, None)

    def take_unsaved(self, most: int) -> list[tuple[JobRecord, list[Effect]]]:
        """Return jobs to write, oldest change first, with their effects."""
        writable = [one for one in self._unsaved if one not in self._writing][:most]
        self._writing.update(writable)
        return [
            (self._records[job_id], self._unsaved.pop(job_id)) for job_id in writable
        ]

    def note_written(self, job_id: str) -> None:
        """Note that a job's row is written; its effects run next."""
        self._writing.discard(job_id)

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun."""
        return sum(
            1
            for record in self._open.values()
            if record.job.queue.name == queue and not record.begun
        )

    def list_expired(self, now: float, kept_s: float) -> list[JobRecord]:
        """Return final jobs whose state nobody may ask for any more."""
        return [
            record
            for record in self._records.values()
            if record.durable_state.final
            and record.finished_at
            and now - record.finished_at > kept_s
        ]

    def remove(self, record: JobRecord) -> None:
        """Forget a job whose rows are gone."""
        self._records.pop(record.job_id, None)

    def iterate_ready(self) -> Iterator[tuple[JobRecord, StepRecord]]:
        """Return all steps with waiting tasks whose turn has come."""
        for record in self._open.values():
            for step in record.list_ready():
                yield record, step

    def _note_done(self, record: JobRecord, task: Task) -> None:
        step = record.find_step(task.name)
        step.mark_done(task)
        if step.done:
            self._open_turns(record, task.name.occurrence, step.number)
        if not task.step.gang:
            return
        # One end stands for all members of a gang, which end together; the listed
        # ends of the others are then of no run that is known.
        for member in step.tasks:
            if not member.done:
                self._release(member, "")
                step.mark_done(member)

    def _open_turns(self, record: JobRecord, occurrence: int, done: int) -> None:
        """Let the steps that come after one that is done wait from now on.

        Counted from the job's acceptance, each later step of a filling job was starved
        as soon as its turn came, and went beside whomever it disturbed.
        """
        now = read_boot_clock()
        for step in record.occurrences[occurrence]:
            if done in step.step.after:
                for task in step.tasks:
                    task.ready_at = now

    def _finish(self, record: JobRecord, state: JobState) -> list[Task]:
        record.state = state
        self._close(record)
        self._save(record, None)
        return [task for task in record.iterate_tasks() if task.place]

    def _close(self, record: JobRecord) -> None:
        record.finished_at = read_boot_clock()
        self._open.pop(record.job_id, None)

    def _leave_place(self, task: Task) -> None:
        runs = self._runs.get(task.place)
        if runs is not None:
            runs.pop(str(task.name), None)
            self._note_change(task.place)

    def _release(self, task: Task, checkpoint: str) -> None:
        self._leave_place(task)
        task.place, task.running, task.stopping = "", False, ""
        task.ready_at = read_boot_clock()
        if checkpoint:
            task.checkpoint = checkpoint
        if not task.checkpoint:
            task.work_s = 0.0

    def _note_change(self, place: str) -> None:
        self._stamps[place] = self._stamps.get(place, 0) + 1

    def _save(self, record: JobRecord, effect: Effect | None) -> None:
        effects = self._unsaved.setdefault(record.job_id, [])
        if effect is not None:
            effects.append(effect)
        state = record.state
        if state is not record.durable_state:
            effects.append(lambda: self._show(record, state))

    def _show(self, record: JobRecord, state: JobState) -> None:
        if record.durable_state is not state and not record.durable_state.final:
            record.durable_state = state
            queue = record.job.queue
            objective_s = compute_objective_s(
                record.critical_path_s, queue.stretch, queue.aim_s
            )
            self._events.emit(
                "job.shown",
                job=record.job_id,
                queue=queue.name,
                state=state.value,
                age_ms=int((time.time() - record.job.accepted_s) * 1000),
                objective_ms=int(objective_s * 1000),
            )
