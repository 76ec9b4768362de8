"""What a claim is to the rest of an entry."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.claims.rows import ClaimRow
from pistachiodeal.store.pending_transactions import PendingTransaction
from pistachiodeal.store.protocols import ABSENT
from pistachiodeal.web.messages import WebResponse


@dataclass(frozen=True, slots=True)
class Claimed:
    """The key is this request's: run it, then say what became of it.

    Exactly one of ``record``, ``mark_unknown`` and ``release`` has to follow.
    """

    row_key: str
    nonce: str
    version: int


@dataclass(frozen=True, slots=True)
class Replayed:
    """The key's request ran before; this was its answer."""

    response: WebResponse


@dataclass(slots=True)
class OpenClaim:
    """A key that this process is claiming, holds, or has yet to write the end of.

    :param row: as this process wants it to be in the table.
    :param expect: version on which ``ticket`` claims.
    :param ticket: a claim without a certain answer; None when there is none.
    :param held: the claim is in.
    :param taken: the row is known to be of an earlier request.
    """

    row: ClaimRow
    expect: int = ABSENT
    ticket: PendingTransaction | None = None
    held: bool = False
    taken: bool = False
