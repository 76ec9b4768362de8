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
    head_bytes: int = Field(16_384, ge=512, description="maximum size of a head, bytes")
    body_bytes: int = Field(
        1_048_576, ge=0, description="maximum size of a body, bytes"
    )
    head_s: float = Field(10.0, gt=0, description="time to receive a head, s")
    body_s: float = Field(30.0, gt=0, description="time to receive a body, s")
    idle_s: float = Field(75.0, gt=0, description="time a connection may idle, s")
    connections: int = Field(2_000, ge=1, description="maximum open connections")


class InternalSettings(Section):
    """The port for agents and other entries."""

    host: str = Field("127.0.0.1", description="address to listen on")
    port: int = Field(8081, ge=0, le=65_535, description="port; 0 takes a free one")
    advertise: str = Field(
        "", description="ip:port announced to peers; empty: host:port"
    )


class RequestSettings(Section):
    """Interactive requests."""

    deadline_ms: int = Field(
        2_000, ge=1, description="deadline of a request that sets none, ms"
    )
    max_deadline_ms: int = Field(
        60_000, ge=1, description="longer deadlines are cut to this, ms"
    )
    attempts: int = Field(3, ge=1, le=10, description="maximum attempts per request")
    caller_in_flight: int = Field(
        512, ge=1, description="maximum requests in flight per caller"
    )


class BatchSettings(Section):
    """Batch tasks and the partitions that hold them."""

    partitions: int = Field(
        8, ge=1, le=4096, description="number of partitions, the same on every entry"
    )
    beat_s: float = Field(
        2.0, gt=0, description="time between an entry's heartbeats, s"
    )
    owner_lease_s: float = Field(
        10.0, gt=0, description="lease of a partition's owner, s"
    )
    margin_s: float = Field(
        1.0, gt=0, description="added to the lease before a take-over, s"
    )
    place_s: float = Field(0.1, gt=0, description="time between placement rounds, s")
    snapshot_rows: int = Field(200, ge=2, description="journal rows per snapshot")
    queue_limit: int = Field(
        50_000, ge=1, description="maximum waiting tasks per partition"
    )


class EntrySettings(Section):
    """All settings of an entry."""

    node: str = Field(pattern=NODE_PATTERN, description="name, unique among entries")
    data_centre: str = Field(pattern=NODE_PATTERN, description="where it runs")
    secret: str = Field(min_length=16, description="shared by all entries and agents")
    operator_token: str = Field(
        min_length=16, description="token that authenticates operators"
    )
    http: HttpSettings = HttpSettings()
    internal: InternalSettings = InternalSettings()
    store: StoreSettings
    link: LinkSettings = LinkSettings()
    requests: RequestSettings = RequestSettings()
    batch: BatchSettings = BatchSettings()
    profile_poll_s: float = Field(
        1.0, gt=0, le=8, description="time between polls of the profiles, s"
    )
    drain_s: float = Field(10.0, ge=0, description="maximum time to drain, s")
    quotas: dict[str, int] = Field(
        default_factory=dict, description="cores of each team; others have no limit"
    )
    histogram_file: str = Field(
        "", description="file for histograms, written at shutdown; empty: none"
    )
    log: LogSettings = LogSettings()
    statsd: StatsdSettings = StatsdSettings()
