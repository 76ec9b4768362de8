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
    """The local port on which runners register."""

    host: str = Field("127.0.0.1", description="address to listen on")
    port: int = Field(8090, ge=0, le=65_535, description="port; 0 takes a free one")
    expiry_s: float = Field(3.0, gt=0, description="lifetime of a registration, s")


class RuntimeSettings(Section):
    """The platform's worker runtime and object store."""

    worker: str = Field(pattern=ADDRESS_PATTERN, description="runtime, ip:port")
    objects: str = Field(pattern=ADDRESS_PATTERN, description="object store, ip:port")
    timeout_s: float = Field(1.0, gt=0, le=60, description="time for one call, s")
    poll_s: float = Field(0.2, gt=0, description="time between polls of its runs, s")
    usage_s: float = Field(1.0, gt=0, description="time between usage samples, s")


class GuardSettings(Section):
    """When batch work is throttled or evicted to protect a service's latency."""

    period_s: float = Field(0.5, gt=0, description="time between decisions, s")
    high: float = Field(
        0.9, gt=0, description="share of the promised time; throttle above it"
    )
    low: float = Field(
        0.6, gt=0, description="share of the promised time; ease below it"
    )
    tolerance: float = Field(
        1.1, ge=1, description="slow-down by batch work tolerated above `low`"
    )
    min_share: float = Field(
        0.1, gt=0, le=1, description="smallest share a throttle leaves"
    )
    evict_after: int = Field(
        4, ge=1, description="decisions at the strongest throttle before an eviction"
    )
    window_s: float = Field(
        5.0, ge=0, description="time that a latency measurement covers, s"
    )
    settle_s: float = Field(6.0, gt=0, description="time until a change has effect, s")
    ease_s: float = Field(
        5.0, gt=0, description="time without violations before easing, s"
    )


class AgentSettings(Section):
    """All settings of an agent."""

    node: str = Field(pattern=NODE_PATTERN, description="name, unique among agents")
    worker: str = Field(pattern=NODE_PATTERN, description="its worker's name")
    data_centre: str = Field(pattern=NODE_PATTERN, description="where it runs")
    rack: str = Field(pattern=NODE_PATTERN, description="rack of the worker")
    secret: str = Field(min_length=16, description="shared by all entries and agents")
    entries: list[str] = Field(
        min_length=1, description="entries to contact first, ip:port each"
    )
    entry_links: int = Field(3, ge=1, le=16, description="links kept to entries")
    report_s: float = Field(0.5, gt=0, description="time between reports, s")
    announce: AnnounceSettings = AnnounceSettings()
    runtime: RuntimeSettings
    guard: GuardSettings = GuardSettings()
    link: LinkSettings = LinkSettings()
    drain_s: float = Field(10.0, ge=0, description="maximum time to drain, s")
    log: LogSettings = LogSettings()
    statsd: StatsdSettings = StatsdSettings()
