"""Batch tasks: what is asked for, and what became of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from pistachiodeal.model.resources import Resources


class TaskState(StrEnum):
    """States of a batch task in its partition."""

    QUEUED = "queued"
    PLACED = "placed"  # an attempt is journaled for a worker and may run there
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Tell whether a task in this state never changes again."""
        return self in (TaskState.FINISHED, TaskState.FAILED, TaskState.CANCELLED)


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """What a caller asked for.

    :param task_id: ``{partition:04d}-{key}``; unique, made at admission.
    :param kind: kind of work, by which interference and sizes are learnt.
    :param team: whose quota it counts against.
    :param profile: name of the profile that says how it is treated.
    :param declared: declared size.
    :param payload: opaque to this project, handed to the worker.
    :param urgent: goes before all tasks that are not.
    """

    task_id: str
    kind: str
    team: str
    profile: str
    declared: Resources
    payload: str = ""
    urgent: bool = False


@dataclass(slots=True)
class TaskRecord:
    """A task as its partition's owner knows it.

    :param attempt: number of the current or next run, from 1.
    :param worker: worker of the current attempt, empty while queued.
    :param checkpoint: object key to resume from, empty for a fresh start.
    :param crashes: workers that ended under it soon after its start.
    :param checkpoint_misses: starts refused because that object was not there.
    :param cancel_asked: a cancel is journaled and waits for the worker's answer.
    """

    spec: TaskSpec
    state: TaskState = TaskState.QUEUED
    attempt: int = 1
    worker: str = ""
    checkpoint: str = ""
    result: str = ""
    reason: str = ""
    failures: int = 0
    evictions: int = 0
    crashes: int = 0
    checkpoint_misses: int = 0
    cancel_asked: bool = False
    failed_workers: list[str] = field(default_factory=list)
