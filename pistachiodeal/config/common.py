"""Settings shared by entries and agents."""

from __future__ import annotations

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

ADDRESS_PATTERN = r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"
NODE_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"


class Section(BaseModel):
    """Base of all settings; unknown keys are refused, instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class LinkSettings(Section):
    """Links between entries and agents."""

    ping_s: float = Field(0.5, gt=0, le=60, description="idle time before a ping, s")
    silent_s: float = Field(
        2.0, gt=0, le=60, description="silence that closes a link, s"
    )
    handshake_s: float = Field(2.0, gt=0, le=60, description="time to connect, s")


class LogSettings(Section):
    """The log on standard error."""

    level: Literal["debug", "info", "notice", "warning", "error"] = Field(
        "info", description="lowest level that is written"
    )
    form: Literal["text", "json"] = Field("text", description="format of each line")


class StatsdSettings(Section):
    """Where counters and timers are sent."""

    address: str = Field("", description="statsd server, ip:port; empty sends nothing")
    prefix: str = Field("pistachiodeal", description="prefix of every metric name")


class StoreSettings(Section):
    """The platform's table service and object store."""

    table: str = Field(pattern=ADDRESS_PATTERN, description="table service, ip:port")
    objects: str = Field(pattern=ADDRESS_PATTERN, description="object store, ip:port")
    timeout_s: float = Field(1.0, gt=0, le=60, description="time for one call, s")
    group_s: float = Field(
        0.005, ge=0, le=1, description="wait for more rows before a commit, s"
    )
    group_rows: int = Field(
        100, ge=1, le=1000, description="maximum rows in a group commit"
    )
    connections: int = Field(
        4, ge=1, le=64, description="connections to each of the two services"
    )
