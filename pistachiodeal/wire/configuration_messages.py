"""Messages by which an entry asks another one for its copy of the configuration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigurationQuery:
    """Entry to entry: send your copy of the configuration.

    :param version: version that the sender has, 0 for none.
    """

    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationAnswer:
    """Entry to entry: a copy of the configuration.

    :param version: its version, 0 if the sender has none.
    :param value: the value of its row, empty unless the version is higher than that of
        the query. A value may be half a megabyte, and links are slow.
    :param age_ms: time since the begin of the read that last confirmed the copy. A
        newer version may have been written since then.
    """

    version: int
    value: bytes
    age_ms: int
