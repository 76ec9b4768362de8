"""Table rows through which entries discover each other and divide the partitions."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field

import orjson

from pistachiodeal.store.protocols import Row


@dataclass(frozen=True, slots=True)
class EntryRow:
    """What an entry publishes about itself with each heartbeat.

    :param team_cpu: thousandths of cores that the tasks of each team hold in the
        partitions of this entry; quotas are checked against the sum.
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
    """The owner of a partition; ``node`` is empty while the partition is released."""

    partition: int
    node: str
    incarnation: int
    address: str
    epoch: int
    nonce: str
    version: int = 0


def parse_owner(row: Row) -> OwnerRow:
    """Return the content of a partition row together with its version."""
    return OwnerRow(**orjson.loads(row.value), version=row.version)


def build_owner_value(row: OwnerRow) -> bytes:
    """Return the stored form of a partition row."""
    fields = asdict(row)
    del fields["version"]
    return orjson.dumps(fields)
