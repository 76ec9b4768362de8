"""Profiles and what a service gets from the profile that it picked."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


class Profile(BaseModel):
    """How a service or a task is treated under contention.

    Defined, revised and retired by operators; validated at the border.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(pattern=NAME_PATTERN)
    latency_critical: bool = Field(True, description="serves callers who wait")
    promised_ms: int = Field(200, ge=1, le=600_000, description="promised time, ms")
    percentile: float = Field(99.0, gt=0, lt=100, description="held at this percentile")
    repeat_unsafe: bool = Field(
        False, description="whether POST and PATCH may be repeated, too"
    )
    urgency: int = Field(0, ge=0, le=9, description="larger goes first")
    share: int = Field(1, ge=1, le=1000, description="weight in fair shares")
    throttle_batch: bool = Field(True, description="may slow batch work down")
    evict_batch: bool = Field(True, description="may evict batch work")
    eviction_cost: float = Field(1.0, ge=0, description="how dear an eviction is")
    queue_limit: int = Field(64, ge=0, le=10_000, description="waiting per runner")
    retry_share: float = Field(0.1, ge=0, le=1, description="retries per request")
    task_lease_s: float = Field(60.0, gt=0, le=3600, description="task lease, s")
    max_attempts: int = Field(
        3, ge=1, le=100, description="failed runs before giving up"
    )
    min_run_s: float = Field(30.0, ge=0, description="no eviction before, s")
    max_evictions: int = Field(3, ge=0, description="evictions of one task")


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """The profile in force for one service, at a version of the document.

    :param version: document version at which this service's part last changed;
        no process ever applies a lower one.
    :param profile: None when the service was removed.
    """

    service: str
    version: int
    profile: Profile | None
