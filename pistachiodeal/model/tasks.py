"""Batch tasks: their specification and state."""

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
        """Return whether a task in this state never changes again."""
        return self in (TaskState.FINISHED, TaskState.FAILED, TaskState.CANCELLED)


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task as its caller submitted it.

    :param task_id: ``{partition:04d}-{key}``; unique, assigned at admission.
    :param kind: kind of work, for which interference and sizes are learnt.
    :param team: team whose quota the task counts against.
    :param profile: name of the profile that defines how the task is treated.
    :param declared: declared size.
    :param payload: opaque data that is passed to the worker.
    :param urgent: the task goes before all tasks that are not urgent.
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
    """The state of a task at the owner of its partition.

    :param attempt: number of the current or next run, from 1.
    :param worker: worker of the current attempt, empty while queued.
    :param checkpoint: object key to resume from, empty for a fresh start.
    :param crashes: number of workers that died soon after this task's start.
    :param checkpoint_misses: starts refused because the checkpoint was missing.
    :param cancel_asked: a cancellation is journaled and waits for the worker.
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
