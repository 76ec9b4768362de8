"""Table rows through which entries discover each other and divide the partitions."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field

import orjson

from pistachiodeal.addresses import is_address
from pistachiodeal.batch.keys import parse_partition_key
from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.checks import MAX_NUMBER, check_fields
from pistachiodeal.malformed import MALFORMED, describe
from pistachiodeal.store.protocols import Row

MAX_NAME_LENGTH = 1_000


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


def parse_entry(row: Row) -> EntryRow:
    """Return the content of an entry's row.

    :raises ProtocolError: it can't be used.
    """
    try:
        entry = EntryRow(**orjson.loads(row.value))
        check_fields(entry)
        _check_texts(entry.node, entry.address, entry.data_centre, entry.http)
        if not entry.node or not is_address(entry.address):
            raise ValueError("the entry has no usable name or address")
        _check_numbers(entry.beat, *entry.team_cpu.values())
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="batch.decode_entry") from error
    return entry


def parse_owner(row: Row) -> OwnerRow:
    """Return the content of a partition row together with its version.

    :raises ProtocolError: it can't be used.
    """
    try:
        owner = OwnerRow(**orjson.loads(row.value), version=row.version)
        check_fields(owner)
        _check_texts(owner.node, owner.address, owner.nonce)
        if owner.node and not is_address(owner.address):
            raise ValueError("the owner has no usable address")
        _check_numbers(owner.partition, owner.epoch)
        if parse_partition_key(row.key) != owner.partition:
            raise ValueError("the row is of another partition")
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="batch.decode_owner") from error
    return owner


def build_owner_value(row: OwnerRow) -> bytes:
    """Return the stored form of a partition row."""
    fields = asdict(row)
    del fields["version"]
    return orjson.dumps(fields)


def _check_texts(*texts: str) -> None:
    if max(len(text) for text in texts) > MAX_NAME_LENGTH:
        raise ValueError("a text is too long")


def _check_numbers(*numbers: int) -> None:
    for number in numbers:
        # Compares exact types: a bool is an instance of int, but not a valid number.
        if type(number) is not int or not 0 <= number <= MAX_NUMBER:
            raise ValueError("a number is out of bounds")
