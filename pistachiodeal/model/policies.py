"""Profiles and the policies that they define for services."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


class Profile(BaseModel):
    """How a service or a task is treated under contention.

    Operators create, update and retire profiles; input is validated on receipt.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(pattern=NAME_PATTERN)
    latency_critical: bool = Field(True, description="serves interactive requests")
    promised_ms: int = Field(200, ge=1, le=600_000, description="promised latency, ms")
    percentile: float = Field(
        99.0, gt=0, lt=100, description="percentile to which the promise applies"
    )
    repeat_unsafe: bool = Field(
        False, description="whether POST and PATCH may be repeated, too"
    )
    urgency: int = Field(0, ge=0, le=9, description="higher values go first")
    share: int = Field(1, ge=1, le=1000, description="weight in fair sharing")
    throttle_batch: bool = Field(True, description="may throttle batch work")
    evict_batch: bool = Field(True, description="may evict batch work")
    eviction_cost: float = Field(1.0, ge=0, description="relative cost of an eviction")
    queue_limit: int = Field(
        64, ge=0, le=10_000, description="maximum waiting requests per runner"
    )
    retry_share: float = Field(
        0.1, ge=0, le=1, description="maximum retries per request, on average"
    )
    task_lease_s: float = Field(60.0, gt=0, le=3600, description="lease of a task, s")
    max_attempts: int = Field(
        3, ge=1, le=100, description="failed runs before a task fails"
    )
    min_run_s: float = Field(
        30.0, ge=0, description="time a run is safe from eviction, s"
    )
    max_evictions: int = Field(3, ge=0, description="maximum evictions of a task")


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """The profile in force for one service at a version of the document.

    :param version: document version at which the policy last changed; no process
        ever replaces it by a lower one.
    :param profile: None if the service was removed.
    """

    service: str
    version: int
    profile: Profile | None
