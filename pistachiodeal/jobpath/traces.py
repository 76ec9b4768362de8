"""What the logs say of each job: its tasks, their runs, and what kept them waiting."""

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
# Fields of ``step.waits`` that name the step and not an obstacle.
WAIT_NAMES = frozenset(("t", "p", "event", "job", "step"))


@dataclass(slots=True)
class RunTrace:
    """One run of a task; times of day in seconds, 0 where no line tells.

    :ivar waited_s: from when the task was ready to the decision.
    :ivar written_s: from the decision until it was durable and the order left.
    :ivar why: why it was stopped, empty if it wasn't.
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
        """Return the node that it was on."""
        return split_place(self.place)[0]

    @property
    def ready_at(self) -> float:
        """Return when its task was ready for it."""
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
        """Return when it was ready for its first run."""
        return min(run.ready_at for run in self.runs.values())


@dataclass(slots=True)
class JobTrace:
    """One job.

    :ivar images: what the tasks of each step run.
    :ivar waits: for each step, when it had to wait and what kept it off most workers.
    :ivar age_s: time from its acceptance until it was shown in its last state.
    :ivar objective_s: it is late beyond this age.
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
        """Tell whether it failed, or took longer than its objective."""
        return self.state == JobState.FAILED or self.age_s > self.objective_s

    def find_wait(self, step: str, before: float) -> str:
        """Return what a step had waited for last, empty if no line says."""
        causes = [cause for at, cause in self.waits.get(step, []) if at <= before]
        return causes[-1] if causes else ""


class Tracer:
    """Builds traces from log lines.

    :ivar jobs: by job.
    :ivar unreadable: lines of a known event whose fields are missing or foreign.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobTrace] = {}
        self.paces = PaceTimeline()
        self.unreadable = 0
        self._takers: dict[str, Callable[[LogLine], None]] = {
            "job.accepted": self._take_accepted,
            "job.known": self._take_known,
            "job.shown": self._take_shown,
            "step.waits": self._take_waits,
            "run.place": self._take_place,
            "run.order": self._take_order,
            "run.started": self._take_started,
            "run.end": self._take_end,
            "run.lost": self._take_lost,
            "run.refused": self._take_refused,
            "run.unsent": self._take_refused,
            "pace.changed": self._take_paces,
        }

    def add_lines(self, lines: Iterable[LogLine]) -> None:
        """Take in lines; those of one job are in the order of their times."""
        for line in lines:
            taker = self._takers.get(line.event)
            if taker is None:
                continue
            try:
                taker(line)
            except (KeyError, TypeError, ValueError, AttributeError):
                self.unreadable += 1

    def _take_accepted(self, line: LogLine) -> None:
        fields = line.fields
        job = self._find_job(fields["job"])
        job.queue, job.accepted_at = fields["queue"], line.at
        job.images = [str(image) for _, _, image in fields["steps"]]

    def _take_known(self, line: LogLine) -> None:
        job = self._find_job(line.fields["job"])
        job.queue = line.fields["queue"]
        # Each leader hears of a job; the first is the one that it waited for.
        job.known_at = job.known_at or line.at

    def _take_shown(self, line: LogLine) -> None:
        fields = line.fields
        if fields["state"] not in FINAL:
            return
        job = self._find_job(fields["job"])
        job.queue, job.state, job.shown_at = fields["queue"], fields["state"], line.at
        job.age_s = fields["age_ms"] / 1000
        job.objective_s = fields["objective_ms"] / 1000

    def _take_waits(self, line: LogLine) -> None:
        counts = {
            name: int(count)
            for name, count in line.fields.items()
            if name not in WAIT_NAMES
        }
        cause = max(counts, key=lambda name: counts[name])
        job = self._find_job(line.fields["job"])
        job.waits.setdefault(line.fields["step"], []).append((line.at, cause))

    def _take_place(self, line: LogLine) -> None:
        run = self._find_run(line.fields)
        run.place, run.placed_at = line.fields["place"], line.at
        run.waited_s = line.fields["waited_ms"] / 1000

    def _take_order(self, line: LogLine) -> None:
        run = self._find_run(line.fields)
        run.ordered_at = line.at
        run.written_s = line.fields["waited_ms"] / 1000

    def _take_started(self, line: LogLine) -> None:
        if line.fields["result"] == CallResult.DONE:
            self._find_run(line.fields).started_at = line.at

    def _take_end(self, line: LogLine) -> None:
        run = self._find_run(line.fields)
        run.finished_at, run.how, run.why = (
            line.at,
            line.fields["how"],
            line.fields["why"],
        )

    def _take_lost(self, line: LogLine) -> None:
        run = self._find_run(line.fields)
        run.finished_at, run.how = line.at, LOST

    def _take_refused(self, line: LogLine) -> None:
        run = self._find_run(line.fields)
        run.finished_at, run.how = line.at, "refused"
        run.why = str(line.fields.get("detail", "its order was never sent"))

    def _take_paces(self, line: LogLine) -> None:
        self.paces.note(line.process, line.fields["paces"], line.at)

    def _find_job(self, job_id: str) -> JobTrace:
        return self.jobs.setdefault(job_id, JobTrace())

    def _find_run(self, fields: Any) -> RunTrace:
        name = parse_task_name(fields["task"])
        if name is None:
            raise ValueError("the task's name is foreign")
        tasks = self._find_job(name.job_id).tasks
        step = f"{name.occurrence}.{name.step}"
        task = tasks.setdefault(fields["task"], TaskTrace(step))
        return task.runs.setdefault(fields["run"], RunTrace())
