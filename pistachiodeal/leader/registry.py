"""Holds the leader's in-memory state of all jobs and applies every change to it.

A change marks its job as unsaved. Actions that depend on the change, such as sending
an order, acknowledging an end or showing a new state to callers, are queued with it as
callbacks and run only once the job's row is written.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import EndKind, Job, JobState
from pistachiodeal.jobs.names import parse_task_name
from pistachiodeal.jobs.record import JobRecord, StepRecord, Task, build_record
from pistachiodeal.leader.estimator import JobEstimator
from pistachiodeal.leader.tombstones import TombstoneBook
from pistachiodeal.scheduling.ordering import compute_objective_s

Callback = Callable[[], None]


class JobRegistry:
    """Holds the records of all jobs, the runs at each place and the unsaved changes."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._records: dict[str, JobRecord] = {}
        self._open: dict[str, JobRecord] = {}
        self._unsaved: dict[str, list[Callback]] = {}
        self._writing: set[str] = set()
        # When a write that the store has rejected is tried again, by job.
        self._postponed: dict[str, float] = {}
        self._estimator = JobEstimator()
        self._tombstones = TombstoneBook()
        self._runs: dict[str, dict[str, Task]] = {}
        self._generations: dict[str, int] = {}

    @property
    def records(self) -> dict[str, JobRecord]:
        """Return all records by job id."""
        return self._records

    @property
    def open_records(self) -> dict[str, JobRecord]:
        """Return the records of jobs that are not final."""
        return self._open

    @property
    def estimator(self) -> JobEstimator:
        """Return the estimates of task times and of the work of jobs."""
        return self._estimator

    @property
    def tombstones(self) -> TombstoneBook:
        """Return the cancellations to which no job belongs."""
        return self._tombstones

    @property
    def has_unsaved(self) -> bool:
        """Tell whether any job has changes whose write has not begun."""
        return bool(self._unsaved)

    @property
    def has_writable(self) -> bool:
        """Tell whether any change can be written now.

        A job whose previous write is in flight waits for its answer, because two
        concurrent writes of one row could arrive in the wrong order.
        """
        now = read_boot_clock()
        return any(self._is_writable(job_id, now) for job_id in self._unsaved)

    def is_unsaved(self, job_id: str) -> bool:
        """Tell whether a change of a job is not yet durable in its row."""
        return job_id in self._unsaved or job_id in self._writing

    def get_runs(self, place: str) -> dict[str, Task]:
        """Return the tasks whose run is at a place, by name."""
        return self._runs.get(place, {})

    def get_generation(self, place: str) -> int:
        """Return a number that increases with each change of the runs at a place."""
        return self._generations.get(place, 0)

    def list_places(self) -> list[str]:
        """Return all places with runs."""
        return [place for place, runs in self._runs.items() if runs]

    def find_task(self, text: str) -> Task | None:
        """Return a task by its name."""
        name = parse_task_name(text)
        record = self._records.get(name.job_id) if name else None
        return record.find(name) if record and name else None

    def restore(self, record: JobRecord) -> None:
        """Add a record that was read from its rows."""
        self._records[record.job_id] = record
        if not record.state.final:
            self._open[record.job_id] = record
        now = read_boot_clock()
        record.placed = 0
        for task in record.iterate_tasks():
            # The time that a task waited under an earlier leader is unknown.
            task.ready_at = now
            if task.place:
                record.placed += 1
                self._runs.setdefault(task.place, {})[str(task.name)] = task

    def add(self, job: Job, time_of_day_s: float, row_version: int = 0) -> None:
        """Add an accepted job; a job that is already present stays unchanged.

        :param row_version: version of its submission's row, 0 if it isn't known.
        """
        if job.job_id in self._records:
            return
        record = build_record(job)
        record.submission_version = row_version
        self.restore(record)
        self.open_due(record, time_of_day_s)
        if record.occurrences:
            self._estimator.estimate_steps(
                record, next(iter(record.occurrences.values()))
            )
            self._estimator.observe_work(record)
        self._events.emit("job.known", job=job.job_id, queue=job.queue.name)

    def get_expected_s(self, task: Task) -> float:
        """Return the expected duration of a task at full speed, in seconds."""
        record = self._records[task.name.job_id]
        return record.find_step(task.name).expected_s

    def open_due(self, record: JobRecord, time_of_day_s: float) -> None:
        """Open the occurrences of a job that are due."""
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

    def place(self, task: Task, run: int, place: str, on_durable: Callback) -> None:
        """Place a run; ``on_durable`` is called once the decision is durable."""
        now = read_boot_clock()
        record = self._records[task.name.job_id]
        record.placed += not task.place
        task.run, task.place = run, place
        task.running, task.percent, task.stopping = False, 0, ""
        task.worked = task.slow_since = 0.0
        task.seen_at = 0.0
        task.placed_at = task.progressed_at = now
        self._runs.setdefault(place, {})[str(task.name)] = task
        self._bump_generation(place)
        if record.state is JobState.QUEUED:
            record.state = JobState.ACTIVE
        self._record_change(record, on_durable)

    def end_run(
        self,
        task: Task,
        kind: EndKind,
        checkpoint: str,
        on_durable: Callback | None = None,
    ) -> list[Task]:
        """Apply the end of a task's newest run.

        :param on_durable: called once the end is durable.
        :return: tasks whose runs have to be stopped because the job is over.
        """
        record = self._records[task.name.job_id]
        record.started = True
        self._release(task, checkpoint)
        if task.proven:
            kind = EndKind.DONE
        stops: list[Task] = []
        if kind is EndKind.DONE and not task.step.lasts:
            self._mark_done(record, task)
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
        self._record_change(record, on_durable)
        return stops

    def complete_task(self, task: Task) -> bool:
        """Apply the end ``done`` of a run that isn't the task's newest at its place.

        :return: whether the task is done now; if not, its newest run has to end first.
        """
        if task.waits:
            self.end_run(task, EndKind.DONE, "")
        task.proven = True
        return task.done

    def call_when_saved(self, job_id: str, callback: Callback) -> None:
        """Call back once a job has no unsaved changes of before, maybe at once."""
        if self.is_unsaved(job_id):
            self._unsaved.setdefault(job_id, []).append(callback)
        else:
            callback()

    def fail_job(self, record: JobRecord, task: Task) -> list[Task]:
        """Fail a job because one of its tasks crashes its workers.

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

    def mark_unsaved(self, task: Task) -> None:
        """Mark a task's job as unsaved, so that its row is written again."""
        self._record_change(self._records[task.name.job_id], None)

    def requeue(self, task: Task) -> None:
        """Queue a task again whose run certainly is not running and never will be.

        If an earlier run has ended ``done``, the task is done.
        """
        if task.proven:
            self.end_run(task, EndKind.DONE, "")
            return
        record = self._records[task.name.job_id]
        self._release(task, "")
        self._record_change(record, None)

    def move_run(self, task: Task, place: str) -> None:
        """Record that a task's newest run is, or may be, at another place."""
        self._remove_from_place(task)
        task.place, task.running = place, False
        self._runs.setdefault(place, {})[str(task.name)] = task
        self._bump_generation(place)
        self.mark_unsaved(task)

    def forget_place(self, place: str) -> None:
        """Drop the state of a place that has no runs any more."""
        if not self.get_runs(place):
            self._runs.pop(place, None)
            self._generations.pop(place, None)

    def begin_writes(self, limit: int) -> list[tuple[JobRecord, list[Callback]]]:
        """Return up to ``limit`` jobs to write, oldest change first, with callbacks."""
        now = read_boot_clock()
        writable = [one for one in self._unsaved if self._is_writable(one, now)][:limit]
        self._writing.update(writable)
        return [
            (self._records[job_id], self._unsaved.pop(job_id)) for job_id in writable
        ]

    def finish_write(self, job_id: str) -> None:
        """Record that a job's row is written; the caller then runs its callbacks."""
        self._writing.discard(job_id)
        self._postponed.pop(job_id, None)

    def postpone_write(
        self, job_id: str, callbacks: list[Callback], until: float
    ) -> None:
        """Record that a job's row could not be written.

        :param callbacks: as returned by :meth:`begin_writes`.
        :param until: no write of the job begins before, seconds of the boot clock.
        """
        self._writing.discard(job_id)
        self._unsaved[job_id] = callbacks + self._unsaved.pop(job_id, [])
        self._postponed[job_id] = until

    def record_start(self, task: Task) -> None:
        """Record that a task has been seen at work.

        That is written with the job's next change: if this leader ends before, the
        next one learns it from a listing.
        """
        self._records[task.name.job_id].started = True

    def count_pending(self, queue: str) -> int:
        """Return how many open jobs of a queue have no task that has started."""
        return sum(
            1
            for record in self._open.values()
            if record.job.queue.name == queue and not record.started
        )

    def list_expired(self, now: float, kept_s: float) -> list[JobRecord]:
        """Return final jobs whose retention time has passed."""
        return [
            record
            for record in self._records.values()
            if record.durable_state.final
            and record.finished_at
            and now - record.finished_at > kept_s
        ]

    def remove(self, record: JobRecord) -> None:
        """Remove a job whose rows are deleted."""
        self._records.pop(record.job_id, None)

    def iterate_ready(self) -> Iterator[tuple[JobRecord, StepRecord]]:
        """Yield the steps with waiting tasks whose preceding steps are done."""
        for record in self._open.values():
            for step in record.list_ready():
                yield record, step

    def _mark_done(self, record: JobRecord, task: Task) -> None:
        step = record.find_step(task.name)
        step.mark_done(task)
        if step.done:
            self._reset_ready_times(record, task.name.occurrence, step.number)
        if not task.step.gang:
            return
        # The members of a gang end together, so one end completes all of them. The
        # ends that are listed later for the other members match no known run.
        for member in step.tasks:
            if not member.done:
                self._release(member, "")
                step.mark_done(member)

    def _reset_ready_times(self, record: JobRecord, occurrence: int, done: int) -> None:
        """Start the waiting time of the steps that depend on a completed step.

        If the time counted from the job's acceptance, each later step of a filling job
        would be starved as soon as it became ready, and would be placed beside serving
        tasks that it disturbs.
        """
        now = read_boot_clock()
        for step in record.occurrences[occurrence]:
            if done in step.step.after:
                for task in step.tasks:
                    task.ready_at = now

    def _finish(self, record: JobRecord, state: JobState) -> list[Task]:
        record.state = state
        self._close(record)
        self._record_change(record, None)
        return [task for task in record.iterate_tasks() if task.place]

    def _close(self, record: JobRecord) -> None:
        record.finished_at = read_boot_clock()
        self._open.pop(record.job_id, None)

    def _remove_from_place(self, task: Task) -> None:
        runs = self._runs.get(task.place)
        if runs is not None:
            runs.pop(str(task.name), None)
            self._bump_generation(task.place)

    def _release(self, task: Task, checkpoint: str) -> None:
        self._records[task.name.job_id].placed -= bool(task.place)
        self._remove_from_place(task)
        task.place, task.running, task.stopping = "", False, ""
        task.ready_at = read_boot_clock()
        if checkpoint:
            task.checkpoint = checkpoint
        if not task.checkpoint:
            task.work_s = 0.0

    def _bump_generation(self, place: str) -> None:
        self._generations[place] = self._generations.get(place, 0) + 1

    def _is_writable(self, job_id: str, now: float) -> bool:
        if job_id in self._writing:
            return False
        return not self._postponed or now >= self._postponed.get(job_id, 0.0)

    def _record_change(self, record: JobRecord, callback: Callback | None) -> None:
        callbacks = self._unsaved.setdefault(record.job_id, [])
        if callback is not None:
            callbacks.append(callback)
        state = record.state
        if state is not record.durable_state:
            callbacks.append(lambda: self._publish_state(record, state))

    def _publish_state(self, record: JobRecord, state: JobState) -> None:
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
