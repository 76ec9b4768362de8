"""The parts of a job's way from its acceptance until it is shown as ended."""

from __future__ import annotations

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
# Times of one chain come from several processes, whose clocks differ a little.
CLOCK_S = 0.05


def find_chain(job: JobTrace) -> list[TaskTrace]:
    """Return the tasks that decided when a job ended, the first of them first.

    Before each comes the one whose end made it ready. Logs don't name what a step
    starts after; the last end before it was ready is as good.
    """
    ended = [task for task in job.tasks.values() if task.finished_at]
    if not ended:
        return []
    chain = [max(ended, key=lambda task: task.finished_at)]
    while True:
        ready_at = chain[0].ready_at
        before = [
            task
            for task in ended
            if task.step != chain[0].step and task.finished_at <= ready_at + CLOCK_S
        ]
        before = [task for task in before if task.finished_at < chain[0].finished_at]
        if not before:
            return chain
        chain.insert(0, max(before, key=lambda task: task.finished_at))


def split_path(job: JobTrace, paces: PaceTimeline) -> Mapping[str, float]:
    """Return the seconds of each part of a job's way."""
    parts: defaultdict[str, float] = defaultdict(float)
    if job.accepted_at and job.known_at:
        parts[HEARD] = max(0.0, job.known_at - job.accepted_at)
    chain = find_chain(job)
    for task in chain:
        for run in _order_runs(task):
            _split_run(job, task, run, paces, parts)
    if chain:
        parts[SHOWN] = max(0.0, job.shown_at - chain[-1].finished_at)
    told_s = sum(parts.values())
    if job.age_s > told_s:
        parts[OTHER] = job.age_s - told_s
    return parts


def _order_runs(task: TaskTrace) -> Iterable[RunTrace]:
    runs = (run for run in task.runs.values() if run.placed_at)
    return sorted(runs, key=lambda run: run.placed_at)


def _split_run(
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
        why = f": {run.why}" if run.why else ""
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
