"""Rows of the table by which entries know each other and share partitions."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field

import orjson

from pistachiodeal.store.protocols import Row


@dataclass(frozen=True, slots=True)
class EntryRow:
    """What an entry says of itself with each beat.

    :param team_cpu: thousandths of cores that each team's tasks hold in the
        partitions of this entry, for quotas.
    """

    node: str
    incarnation: int
    beat: int
    address: str
    data_centre: str
    http: str
    team_cpu: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OwnerRow:
    """Who owns a partition; node empty when it was handed over to nobody."""

    partition: int
    node: str
    incarnation: int
    address: str
    epoch: int
    nonce: str
    version: int = 0


def parse_owner(row: Row) -> OwnerRow:
    """Return a partition row's content with its version."""
    return OwnerRow(**orjson.loads(row.value), version=row.version)


def build_owner_value(row: OwnerRow) -> bytes:
    """Return the stored form of a partition row."""
    fields = asdict(row)
    del fields["version"]
    return orjson.dumps(fields)
