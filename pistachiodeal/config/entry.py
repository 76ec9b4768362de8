"""Settings of ``pistachiodeal-entry``."""

from __future__ import annotations

from pydantic import Field

from pistachiodeal.config.common import (
    NODE_PATTERN,
    LinkSettings,
    LogSettings,
    Section,
    StatsdSettings,
    StoreSettings,
)


class HttpSettings(Section):
    """The port for callers and operators."""

    host: str = Field("127.0.0.1", description="address to listen on")
    port: int = Field(8080, ge=0, le=65_535, description="port; 0 takes a free one")
    head_bytes: int = Field(16_384, ge=512, description="largest head, bytes")
    body_bytes: int = Field(1_048_576, ge=0, description="largest body, bytes")
    head_s: float = Field(10.0, gt=0, description="time for a head, s")
    body_s: float = Field(30.0, gt=0, description="time for a body, s")
    idle_s: float = Field(75.0, gt=0, description="time a connection may idle, s")
    connections: int = Field(2_000, ge=1, description="open connections")


class InternalSettings(Section):
    """The port for agents and other entries."""

    host: str = Field("127.0.0.1", description="address to listen on")
    port: int = Field(8081, ge=0, le=65_535, description="port; 0 takes a free one")
    advertise: str = Field("", description="ip:port told to peers; empty: host:port")


class RequestSettings(Section):
    """Interactive requests."""

    deadline_ms: int = Field(2_000, ge=1, description="when the caller names none, ms")
    max_deadline_ms: int = Field(60_000, ge=1, description="longest that counts, ms")
    attempts: int = Field(3, ge=1, le=10, description="most tries of one request")
    caller_in_flight: int = Field(512, ge=1, description="one caller's open requests")


class BatchSettings(Section):
    """Batch tasks and the partitions that hold them."""

    partitions: int = Field(8, ge=1, le=4096, description="the same on every entry")
    beat_s: float = Field(2.0, gt=0, description="time between an entry's beats, s")
    owner_lease_s: float = Field(10.0, gt=0, description="owner's lease, s")
    margin_s: float = Field(1.0, gt=0, description="added before a take-over, s")
    place_s: float = Field(0.1, gt=0, description="time between placement rounds, s")
    snapshot_rows: int = Field(200, ge=2, description="journal rows a snapshot folds")
    queue_limit: int = Field(50_000, ge=1, description="waiting tasks of a partition")


class EntrySettings(Section):
    """All settings of an entry."""

    node: str = Field(pattern=NODE_PATTERN, description="name, unique among entries")
    data_centre: str = Field(pattern=NODE_PATTERN, description="where it runs")
    secret: str = Field(min_length=16, description="shared by our own processes")
    operator_token: str = Field(min_length=16, description="for operators' calls")
    http: HttpSettings = HttpSettings()
    internal: InternalSettings = InternalSettings()
    store: StoreSettings
    link: LinkSettings = LinkSettings()
    requests: RequestSettings = RequestSettings()
    batch: BatchSettings = BatchSettings()
    profile_poll_s: float = Field(1.0, gt=0, le=8, description="profile poll, s")
    drain_s: float = Field(10.0, ge=0, description="longest graceful stop, s")
    quotas: dict[str, int] = Field(
        default_factory=dict, description="cores of each team; others have no limit"
    )
    histogram_file: str = Field("", description="written at shut-down; empty: none")
    log: LogSettings = LogSettings()
    statsd: StatsdSettings = StatsdSettings()
