"""The model of a submitted job: steps, each with a number of identical tasks."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from pistachiodeal.model.resources import Resources


class JobState(StrEnum):
    """States of a job, as reported to callers."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Return whether the state is terminal."""
        return self in FINAL_STATES


FINAL_STATES = frozenset((JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED))


class EndKind(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"  # because of the task or of the worker
    STOPPED = "stopped"  # on request
    LAPSED = "lapsed"  # its lease expired
    BROKEN = "broken"  # another member of its gang ended
    ALONE = "alone"  # the other members of its gang did not start


def parse_end_kind(text: str) -> EndKind:
    """Return the kind of end that a runner names.

    An unknown one, of a runner of another version, is no failure: only a known failure
    counts as an attempt.
    """
    try:
        return EndKind(text)
    except ValueError:
        return EndKind.LAPSED


class OrderState(StrEnum):
    """What an agent reports about a start order whose run its worker doesn't list."""

    PENDING = "pending"  # outcome not known yet
    REFUSED = "refused"  # not started, by the agent or the worker
    VOID = "void"  # will never run, even if a call arrives late


class LossCause(StrEnum):
    """Why an agent considers its worker lost."""

    CRASHED = "crashed"  # ended without notice, as the agent observed
    LEFT = "left"  # ended after it had announced it
    SILENT = "silent"  # did not answer until all leases had expired


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a job: ``count`` identical tasks.

    :param size: resources that one task reserves.
    :param estimate_s: estimated run time of one task, seconds.
    :param after: numbers of the steps that must be done first.
    :param checkpoints: whether tasks save their progress.
    :param gang: whether tasks make progress only when all of them run.
    :param same_rack: whether tasks are slower when they span more than one rack.
    :param label: a label that the worker must have, or empty.
    :param data_rack: the rack that holds the input data, where tasks run faster, or
        empty.
    :param spread: the most tasks of the step on one worker, 0 for no limit.
    :param duplicates: whether copies of a task may run at the same time.
    :param lasts: whether tasks run until the job is cancelled.
    :param image: image of the tasks; tasks of one image are assumed to behave alike.
    :param serves_ms: tail latency that a task must keep, milliseconds, 0 for none.
    :param fills: whether tasks use only the processor time that other tasks leave.
    :param may_be_away: how many tasks the scheduler may interrupt at the same time.
    """

    count: int
    size: Resources
    estimate_s: float
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    spread: int = 0
    duplicates: bool = False
    lasts: bool = False
    image: str = ""
    serves_ms: int = 0
    fills: bool = False
    may_be_away: int = 0


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue to which callers submit jobs, with its policies.

    :param name: stable name of the queue.
    :param prefix: prefix of its request paths.
    :param priority: 0 is the highest.
    :param attempts: number of failed runs after which a task has failed.
    :param stretch: factor of a job's time objective, which is ``stretch`` times the
        critical path plus ``aim_s``.
    :param aim_s: constant part of the time objective, seconds.
    :param advised: whether an external service selects the workers of each step.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    aim_s: float
    advised: bool = False


@dataclass(frozen=True, slots=True)
class Job:
    """An accepted job.

    :param queue: the queue as it was when the job was accepted.
    :param text: passed uninterpreted to each task.
    :param accepted_s: time of day of its acceptance, seconds since 1970.
    :param repeats: number of occurrences of a scheduled job, 0 for an unscheduled one.
    :param first_run_s: time of day at which the first occurrence is due, seconds since
        1970.
    :param interval_s: time between two occurrences, seconds.
    """

    job_id: str
    queue: Queue
    text: str
    steps: tuple[Step, ...]
    accepted_s: float
    repeats: int = 0
    first_run_s: float = 0.0
    interval_s: float = 0.0


def compute_critical_path_s(steps: Iterable[Step], times_s: Iterable[float]) -> float:
    """Return the length of the critical path of steps, seconds.

    :param times_s: time that a task of each step takes, seconds.
    """
    ends: list[float] = []
    for step, time_s in zip(steps, times_s, strict=True):
        begin = max((ends[number] for number in step.after), default=0.0)
        ends.append(begin + time_s)
    return max(ends, default=0.0)


def find_queue(queues: tuple[Queue, ...], host: str, path: str) -> Queue | None:
    """Return the queue of a host with the longest prefix that matches a path."""
    best: Queue | None = None
    for queue in queues:
        if queue.host != host or not path.startswith(queue.prefix):
            continue
        if best is None or len(queue.prefix) > len(best.prefix):
            best = queue
    return best
