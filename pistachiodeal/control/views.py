"""Inputs and actions of the guard."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.model.resources import Resources


@dataclass(frozen=True, slots=True)
class ServiceReading:
    """A delayed measurement of one service on this worker.

    :param at: when it was taken, same clock as ``now``, seconds.
    :param latency_s: recent latency at the profile's percentile.
    :param promised_s: promised latency at that percentile.
    :param service_s: mean service time of a request at the runners, without queueing,
        0 if unknown. It shows interference with far less noise than a percentile, and
        does not rise with the service's own load.
    """

    service: str
    at: float
    latency_s: float
    promised_s: float
    throttle_batch: bool
    evict_batch: bool
    service_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RunView:
    """A batch task that runs on this worker.

    :param share: its throttle now, over 0 and up to 1.
    :param evictions: how often it was evicted before.
    """

    task_id: str
    kind: str
    started_at: float
    share: float
    evictions: int
    min_run_s: float
    max_evictions: int
    eviction_cost: float
    size: Resources


@dataclass(frozen=True, slots=True)
class Throttle:
    """Limit the task to this share of its size."""

    task_id: str
    share: float


@dataclass(frozen=True, slots=True)
class Evict:
    """Checkpoint the task, stop it and return it to its owner."""

    task_id: str


Action = Throttle | Evict
