"""What a caller submits: a job of steps, each of equal tasks."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from pistachiodeal.model.resources import Resources


class JobState(StrEnum):
    """States of a job as callers see them."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Tell whether the job will never change again."""
        return self in FINAL_STATES


FINAL_STATES = frozenset((JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED))


class EndKind(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"  # by its own fault or the worker's
    STOPPED = "stopped"  # on request
    LAPSED = "lapsed"  # its lease ran out
    BROKEN = "broken"  # another member of its gang ended
    ALONE = "alone"  # the other members of its gang didn't come


class OrderState(StrEnum):
    """What an agent says of a start order that put nothing on its worker."""

    PENDING = "pending"  # not settled yet
    REFUSED = "refused"  # the worker did not take it
    VOID = "void"  # the worker will never run it, whatever arrives late


class LossCause(StrEnum):
    """Why an agent has given up its worker."""

    CRASHED = "crashed"  # it ended without a word, before the agent's eyes
    LEFT = "left"  # it had said that it would
    SILENT = "silent"  # it didn't answer until all leases had run out


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a job: ``count`` equal tasks.

    :param size: what one task reserves.
    :param estimate_s: rough time of one task.
    :param after: numbers of the steps that have to be done first.
    :param checkpoints: whether tasks save their progress.
    :param gang: whether tasks work only all together.
    :param same_rack: whether tasks are slower on more than one rack.
    :param label: a label that the worker must have, or empty.
    :param data_rack: the rack where tasks are fast, or empty.
    :param spread: most tasks of the step on one worker, 0 for any number.
    :param duplicates: whether copies of a task may run at once.
    :param lasts: whether tasks run until the job is cancelled.
    :param image: tasks of the same image behave alike.
    :param serves_ms: tail latency that a task must keep, 0 when it has none.
    :param fills: whether tasks live on the processor time that others leave.
    :param may_be_away: tasks that may be away at once by our own doing.
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
    """Where callers submit jobs, and how these are treated.

    :param name: stable name of the queue.
    :param prefix: start of its paths.
    :param priority: 0 goes first.
    :param attempts: failed runs after which a task has failed.
    :param stretch: a job is in time within this many times its longest chain.
    :param aim_s: what is added to that.
    :param advised: whether an outside service chooses the workers of each step.
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
    :param text: handed to each task unread.
    :param accepted_s: time of day of its acceptance, seconds since 1970.
    :param repeats: occurrences of a job with times, 0 for a job without.
    :param first_run_s: time of day at which the first occurrence is due.
    :param interval_s: time between two occurrences.
    """

    job_id: str
    queue: Queue
    text: str
    steps: tuple[Step, ...]
    accepted_s: float
    repeats: int = 0
    first_run_s: float = 0.0
    interval_s: float = 0.0


def compute_chain_s(steps: Iterable[Step], times_s: Iterable[float]) -> float:
    """Return the longest chain of steps whose tasks take these times, seconds."""
    ends: list[float] = []
    for step, time_s in zip(steps, times_s, strict=True):
        begin = max((ends[number] for number in step.after), default=0.0)
        ends.append(begin + time_s)
    return max(ends, default=0.0)


def find_queue(queues: tuple[Queue, ...], host: str, path: str) -> Queue | None:
    """Return the queue with the longest prefix of a path at a host."""
    best: Queue | None = None
    for queue in queues:
        if queue.host != host or not path.startswith(queue.prefix):
            continue
        if best is None or len(queue.prefix) > len(best.prefix):
            best = queue
    return best
