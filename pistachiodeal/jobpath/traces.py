"""Builds a trace of each job from logs: its tasks, their runs and causes of waits."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from pistachiodeal.jobpath.lines import LogLine
from pistachiodeal.jobpath.paces import PaceTimeline
from pistachiodeal.jobs.model import JobState
from pistachiodeal.jobs.names import parse_task_name
from pistachiodeal.jobs.runtime import CallResult
from pistachiodeal.leader.workers import split_place

FINAL = (JobState.COMPLETED, JobState.FAILED)
LOST = "lost with its worker"
# Fields of ``step.waits`` that identify the step; all others count obstacles.
WAIT_NAMES = frozenset(("t", "p", "event", "job", "step"))


@dataclass(slots=True)
class RunTrace:
    """One run of a task; times of day in seconds, 0 if no line holds them.

    :ivar waited_s: time from when the task was ready until the run was placed, seconds.
    :ivar written_s: time from the placement until it was durable and the order was
        sent, seconds.
    :ivar how: how the run ended.
    :ivar why: why the run was stopped, empty if it wasn't.
    """

    place: str = ""
    placed_at: float = 0.0
    waited_s: float = 0.0
    written_s: float = 0.0
    ordered_at: float = 0.0
    started_at: float = 0.0
    finished_at: float = 0.0
    how: str = ""
    why: str = ""

    @property
    def node(self) -> str:
        """Return the node where it ran."""
        return split_place(self.place)[0]

    @property
    def ready_at(self) -> float:
        """Return when the task was ready for this run."""
        return self.placed_at - self.waited_s


@dataclass(slots=True)
class TaskTrace:
    """One task.

    :ivar step: occurrence and number of its step.
    """

    step: str
    runs: dict[int, RunTrace] = field(default_factory=dict)

    @property
    def finished_at(self) -> float:
        """Return when its last run ended."""
        return max((run.finished_at for run in self.runs.values()), default=0.0)

    @property
    def ready_at(self) -> float:
        """Return when the task was ready for its first run."""
        return min(run.ready_at for run in self.runs.values())


@dataclass(slots=True)
class JobTrace:
    """One job.

    :ivar images: image of the tasks of each step.
    :ivar waits: by step, the times at which it had to wait and the obstacle that
        excluded the most workers.
    :ivar age_s: time from its acceptance until its final state was shown, seconds.
    :ivar objective_s: age beyond which the job is late, seconds.
    """

    queue: str = ""
    accepted_at: float = 0.0
    known_at: float = 0.0
    images: list[str] = field(default_factory=list)
    tasks: dict[str, TaskTrace] = field(default_factory=dict)
    waits: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    state: str = ""
    shown_at: float = 0.0
    age_s: float = 0.0
    objective_s: float = 0.0

    @property
    def late(self) -> bool:
        """Return whether it failed, or took longer than its objective."""
        return self.state == JobState.FAILED or self.age_s > self.objective_s

    def find_wait(self, step: str, before: float) -> str:
        """Return the last cause of a step's wait before a time, empty if unknown."""
        causes = [cause for at, cause in self.waits.get(step, []) if at <= before]
        return causes[-1] if causes else ""


class Tracer:
    """Builds job traces from log lines.

    :ivar jobs: the traces, by job id.
    :ivar unreadable: number of lines of a known event with missing or invalid fields.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobTrace] = {}
        self.paces = PaceTimeline()
        self.unreadable = 0
        self._handlers: dict[str, Callable[[LogLine], None]] = {
            "job.accepted": self._add_accepted,
            "job.known": self._add_known,
            "job.shown": self._add_shown,
            "step.waits": self._add_waits,
            "run.place": self._add_place,
            "run.order": self._add_order,
            "run.started": self._add_started,
            "run.end": self._add_end,
            "run.lost": self._add_lost,
            "run.refused": self._add_refused,
            "run.unsent": self._add_refused,
            "pace.changed": self._add_paces,
        }

    def add_lines(self, lines: Iterable[LogLine]) -> None:
        """Add lines; the lines of one job must be in the order of their times."""
        for line in lines:
            handler = self._handlers.get(line.event)
            if handler is None:
                continue
            try:
                handler(line)
            except (KeyError, TypeError, ValueError, AttributeError):
                self.unreadable += 1

    def _add_accepted(self, line: LogLine) -> None:
        fields = line.fields
        job = self._find_job(fields["job"])
        job.queue, job.accepted_at = fields["queue"], line.at
        job.images = [str(image) for _, _, image in fields["steps"]]

    def _add_known(self, line: LogLine) -> None:
        job = self._find_job(line.fields["job"])
        job.queue = line.fields["queue"]
        # Each leader logs a job when it reads it; the job waited for the first one.
        job.known_at = job.known_at or line.at

    def _add_shown(self, line: LogLine) -> None:
        fields = line.fields
        if fields["state"] not in FINAL:
            return
        job = self._find_job(fields["job"])
        job.queue, job.state, job.shown_at = fields["queue"], fields["state"], line.at
        job.age_s = fields["age_ms"] / 1000
        job.objective_s = fields["objective_ms"] / 1000

    def _add_waits(self, line: LogLine) -> None:
        counts = {
            name: int(count)
            for name, count in line.fields.items()
            if name not in WAIT_NAMES
        }
        cause = max(counts, key=lambda name: counts[name])
        job = self._find_job(line.fields["job"])
        job.waits.setdefault(line.fields["step"], []).append((line.at, cause))

    def _add_place(self, line: LogLine) -> None:
        run = self._find_run(line.fields)
        run.place, run.placed_at = line.fields["place"], line.at
        run.waited_s = line.fields["waited_ms"] / 1000

    def _add_order(self, line: LogLine) -> None:
        run = self._find_run(line.fields)
        run.ordered_at = line.at
        run.written_s = line.fields["waited_ms"] / 1000

    def _add_started(self, line: LogLine) -> None:
        if line.fields["result"] == CallResult.DONE:
            self._find_run(line.fields).started_at = line.at

    def _add_end(self, line: LogLine) -> None:
        run = self._find_run(line.fields)
        run.finished_at, run.how, run.why = (
            line.at,
            line.fields["how"],
            line.fields["why"],
        )

    def _add_lost(self, line: LogLine) -> None:
        run = self._find_run(line.fields)
        run.finished_at, run.how = line.at, LOST

    def _add_refused(self, line: LogLine) -> None:
        run = self._find_run(line.fields)
        run.finished_at, run.how = line.at, "refused"
        run.why = str(line.fields.get("detail", "its order was never sent"))

    def _add_paces(self, line: LogLine) -> None:
        self.paces.record(line.process, line.fields["paces"], line.at)

    def _find_job(self, job_id: str) -> JobTrace:
        return self.jobs.setdefault(job_id, JobTrace())

    def _find_run(self, fields: Any) -> RunTrace:
        name = parse_task_name(fields["task"])
        if name is None:
            raise ValueError("invalid task name")
        tasks = self._find_job(name.job_id).tasks
        step = f"{name.occurrence}.{name.step}"
        task = tasks.setdefault(fields["task"], TaskTrace(step))
        return task.runs.setdefault(fields["run"], RunTrace())
