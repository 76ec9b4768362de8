"""Divides a job's time from its acceptance until its end is shown into parts."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable, Mapping

from pistachiodeal.jobpath.paces import PaceTimeline
from pistachiodeal.jobpath.traces import JobTrace, RunTrace, TaskTrace
from pistachiodeal.jobs.model import EndKind

HEARD = "heard by the leader"
WAITS = "waits"
WRITTEN = "written"
BEGUN = "ordered and begun"
WORKS = "at work"
PACED = "held back by its pace"
SHOWN = "shown after its end"
OTHER = "not told by any line"
# Tolerated clock skew between the processes whose logs are combined.
MAX_CLOCK_SKEW_S = 0.05
# A reason that names a task, such as "yields to", counts as one reason for all tasks.
TASK_NAME = re.compile(r"\b[0-9a-f]{16}(\.\d+){3}\b")


def find_critical_path(job: JobTrace) -> list[TaskTrace]:
    """Return the tasks that determined when a job ended, in order of time.

    The predecessor of a task is the one whose end made it ready. Logs don't name the
    dependencies of a step, so the last task that ended before it was ready is taken.
    """
    ended = [task for task in job.tasks.values() if task.finished_at]
    if not ended:
        return []
    critical_path = [max(ended, key=lambda task: task.finished_at)]
    while True:
        ready_at = critical_path[0].ready_at
        before = [
            task
            for task in ended
            if task.step != critical_path[0].step
            and task.finished_at <= ready_at + MAX_CLOCK_SKEW_S
        ]
        before = [
            task for task in before if task.finished_at < critical_path[0].finished_at
        ]
        if not before:
            return critical_path
        critical_path.insert(0, max(before, key=lambda task: task.finished_at))


def measure_parts(job: JobTrace, paces: PaceTimeline) -> Mapping[str, float]:
    """Return the seconds that a job spent in each part."""
    parts: defaultdict[str, float] = defaultdict(float)
    if job.accepted_at and job.known_at:
        parts[HEARD] = max(0.0, job.known_at - job.accepted_at)
    critical_path = find_critical_path(job)
    for task in critical_path:
        for run in _order_runs(task):
            _add_run(job, task, run, paces, parts)
    if critical_path:
        parts[SHOWN] = max(0.0, job.shown_at - critical_path[-1].finished_at)
    accounted_s = sum(parts.values())
    if job.age_s > accounted_s:
        parts[OTHER] = job.age_s - accounted_s
    return parts


def _order_runs(task: TaskTrace) -> Iterable[RunTrace]:
    runs = (run for run in task.runs.values() if run.placed_at)
    return sorted(runs, key=lambda run: run.placed_at)


def _add_run(
    job: JobTrace,
    task: TaskTrace,
    run: RunTrace,
    paces: PaceTimeline,
    parts: defaultdict[str, float],
) -> None:
    cause = job.find_wait(task.step, run.placed_at)
    parts[f"{WAITS}: {cause}" if cause else WAITS] += max(0.0, run.waited_s)
    parts[WRITTEN] += run.written_s
    left_at = run.ordered_at or run.placed_at + run.written_s
    if not run.finished_at:
        return
    if run.how != EndKind.DONE:
        why = f": {TASK_NAME.sub('a task', run.why)}" if run.why else ""
        parts[f"{run.how}{why}"] += max(0.0, run.finished_at - left_at)
        return
    begun_at = min(max(run.started_at, left_at), run.finished_at)
    parts[BEGUN] += begun_at - left_at
    span_s = run.finished_at - begun_at
    image = _find_image(job, task)
    worked_s = paces.measure(run.node, image, begun_at, run.finished_at)
    worked_s = span_s if worked_s is None else worked_s
    parts[WORKS] += worked_s
    if span_s > worked_s:
        parts[PACED] += span_s - worked_s


def _find_image(job: JobTrace, task: TaskTrace) -> str:
    number = int(task.step.partition(".")[2])
    return job.images[number] if number < len(job.images) else ""
