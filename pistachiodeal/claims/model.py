"""Results and in-memory state of claims on idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.claims.rows import ClaimRow
from pistachiodeal.store.pending_transactions import PendingTransaction
from pistachiodeal.store.protocols import ABSENT
from pistachiodeal.web.messages import WebResponse


@dataclass(frozen=True, slots=True)
class Claimed:
    """A key that was claimed for this request, which may now run.

    The holder has to call exactly one of ``record``, ``mark_unknown`` and
    ``release`` afterwards.
    """

    row_key: str
    nonce: str
    version: int


@dataclass(frozen=True, slots=True)
class Replayed:
    """The recorded answer of an earlier request with the same key."""

    response: WebResponse


@dataclass(slots=True)
class OpenClaim:
    """A claim that this process is making, holds, or has not finished writing.

    :param row: the row as this process wants it in the table.
    :param expect: row version that ``transaction`` expects.
    :param transaction: commit of the claim while its result is unknown, or None.
    :param confirmed: the claim's commit succeeded.
    :param key_taken: the row is known to belong to an earlier request.
    """

    row: ClaimRow
    expect: int = ABSENT
    transaction: PendingTransaction | None = None
    confirmed: bool = False
    key_taken: bool = False
