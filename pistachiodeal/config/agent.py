"""Settings of ``pistachiodeal-agent``."""

from __future__ import annotations

from pydantic import Field

from pistachiodeal.config.common import (
    ADDRESS_PATTERN,
    NODE_PATTERN,
    LinkSettings,
    LogSettings,
    Section,
    StatsdSettings,
)


class AnnounceSettings(Section):
    """The local port where runners announce themselves."""

    host: str = Field("127.0.0.1", description="address to listen on")
    port: int = Field(8090, ge=0, le=65_535, description="port; 0 takes a free one")
    expiry_s: float = Field(3.0, gt=0, description="how long an announcement holds, s")


class RuntimeSettings(Section):
    """The platform's worker runtime and object store."""

    worker: str = Field(pattern=ADDRESS_PATTERN, description="runtime, ip:port")
    objects: str = Field(pattern=ADDRESS_PATTERN, description="object store, ip:port")
    timeout_s: float = Field(1.0, gt=0, le=60, description="time for one call, s")
    poll_s: float = Field(0.2, gt=0, description="time between looks at its runs, s")
    usage_s: float = Field(1.0, gt=0, description="time between usage readings, s")


class GuardSettings(Section):
    """When batch work is slowed or evicted for a service's sake."""

    period_s: float = Field(0.5, gt=0, description="time between decisions, s")
    high: float = Field(0.9, gt=0, description="share of the promise: act above it")
    low: float = Field(0.6, gt=0, description="share of the promise: ease below it")
    tolerance: float = Field(
        1.1, ge=1, description="slow-down by batch work borne above the low mark"
    )
    min_share: float = Field(0.1, gt=0, le=1, description="strongest throttle")
    evict_after: int = Field(4, ge=1, description="decisions at it before an eviction")
    window_s: float = Field(5.0, ge=0, description="time a latency reading covers, s")
    settle_s: float = Field(6.0, gt=0, description="time until a step shows, s")
    ease_s: float = Field(5.0, gt=0, description="calm before easing, s")


class AgentSettings(Section):
    """All settings of an agent."""

    node: str = Field(pattern=NODE_PATTERN, description="name, unique among agents")
    worker: str = Field(pattern=NODE_PATTERN, description="its worker's name")
    data_centre: str = Field(pattern=NODE_PATTERN, description="where it runs")
    rack: str = Field(pattern=NODE_PATTERN, description="rack of the worker")
    secret: str = Field(min_length=16, description="shared by our own processes")
    entries: list[str] = Field(
        min_length=1, description="where to find entries first, ip:port each"
    )
    entry_links: int = Field(3, ge=1, le=16, description="links kept to entries")
    report_s: float = Field(0.5, gt=0, description="time between reports, s")
    announce: AnnounceSettings = AnnounceSettings()
    runtime: RuntimeSettings
    guard: GuardSettings = GuardSettings()
    link: LinkSettings = LinkSettings()
    drain_s: float = Field(10.0, ge=0, description="longest graceful stop, s")
    log: LogSettings = LogSettings()
    statsd: StatsdSettings = StatsdSettings()
