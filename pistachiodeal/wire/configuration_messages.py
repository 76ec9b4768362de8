"""Messages by which an entry asks another one for its copy of the configuration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigurationQuery:
    """Entry to entry: send your copy of the configuration."""


@dataclass(frozen=True, slots=True)
class ConfigurationAnswer:
    """Entry to entry: a copy of the configuration.

    :param value: the value of its row, empty if the sender has none.
    :param age_ms: time since the begin of the read that last confirmed the copy. A
        newer version may have been written since then.
    """

    value: bytes
    age_ms: int
