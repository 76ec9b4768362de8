"""The row that names the leader."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.checks import check_fields
from pistachiodeal.leader.commits import CONTROL_TABLE, LEADER_KEY
from pistachiodeal.store.row_store import (
    ABSENT,
    RowCondition,
    RowWrite,
    StoredRow,
    Transaction,
)

# The version of a row that was heard of and not read: no condition on it holds.
UNREAD = -1


@dataclass(frozen=True, slots=True)
class LeaderRow:
    """The row that names the leader.

    :param nonce: of the process that wrote it, so that it recognises its own row.
    """

    epoch: int
    node: str
    address: str
    nonce: int
    version: int


NOBODY = LeaderRow(0, "", "", 0, ABSENT)


def build_replacement(
    row: LeaderRow, *, epoch: int, node: str, address: str, nonce: int
) -> Transaction:
    """Return the transaction that replaces a row which has not changed meanwhile."""
    value = orjson.dumps(
        {"epoch": epoch, "node": node, "address": address, "nonce": nonce}
    )
    return Transaction(
        (RowCondition(CONTROL_TABLE, LEADER_KEY, row.version),),
        (RowWrite(CONTROL_TABLE, LEADER_KEY, value),),
    )


def decode_leader_row(row: StoredRow) -> LeaderRow:
    """Return what the store has.

    :raises ProtocolError: the value was not written by this project.
    """
    try:
        document = orjson.loads(row.value)
        found = LeaderRow(
            document["epoch"],
            document["node"],
            document["address"],
            document["nonce"],
            row.version,
        )
        check_fields(found)
    except (ValueError, KeyError, TypeError) as error:
        raise ProtocolError(repr(error), step="leader.decode_row") from error
    return found
