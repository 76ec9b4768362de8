"""The profile document in the table: read, and changed by compare-and-swap."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass

import curio
import logbook

from pistachiodeal.exceptions import (
    Outcome,
    RequestError,
    StoreError,
    StoreUnavailableError,
)
from pistachiodeal.profiles.changes import STEP, Change
from pistachiodeal.profiles.document import (
    ProfileDocument,
    decode_document,
    encode_document,
)
from pistachiodeal.store.protocols import ABSENT, ANY_VERSION, Table, Write

DOCUMENT_KEY = "profiles"
VERSION_KEY = "profiles/version"
CHANGE_S = 5.0
PAUSE_S = 0.05
RETRY_AFTER_S = 1.0

log = logbook.Logger("pistachiodeal.profiles")


@dataclass(frozen=True, slots=True)
class Stored:
    """The document and the table's version of its row."""

    document: ProfileDocument
    row_version: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """A change that took effect.

    :param version: document version that it made.
    :param document: newest document known, at that version or above.
    """

    version: int
    document: ProfileDocument


@dataclass(slots=True)
class Attempt:
    """Where one change stands.

    :param unsettled: document version on which a commit was sent whose answer
        was lost; None when there is none.
    """

    nonce: str
    deadline: float
    raced: bool = False
    unsettled: int | None = None


class ProfileStore:
    """Reads and changes the document."""

    def __init__(
        self, table: Table, change_s: float, pause_s: float, clock: Callable[[], float]
    ) -> None:
        self._table = table
        self._change_s = change_s
        self._pause_s = pause_s
        self._clock = clock

    async def read(self) -> Stored:
        """Return the newest document; version 0 when there is none yet.

        :raises StoreError: the table did not answer.
        """
        rows = await self._table.read([DOCUMENT_KEY])
        row = rows.get(DOCUMENT_KEY)
        if row is None:
            return Stored(ProfileDocument(), ABSENT)
        return Stored(decode_document(row.value), row.version)

    async def read_version(self) -> int:
        """Return the document's version from the small row that is polled.

        :raises StoreError: the table did not answer.
        """
        rows = await self._table.read([VERSION_KEY])
        row = rows.get(VERSION_KEY)
        return int(row.value) if row else 0

    async def change(self, change: Change) -> Accepted:
        """Apply a change to the newest document until it is in or has lost.

        :raises RequestError: it lost (404, 409, 412, 428; not run), or the table
            failed (503; ``unknown`` where a commit may have taken effect).
        """
        attempt = Attempt(secrets.token_hex(8), self._clock() + self._change_s)
        while True:
            try:
                accepted = await self._try_once(change, attempt)
            except StoreError as error:
                self._check_time(attempt, error)
            else:
                if accepted is not None:
                    return accepted
                self._check_time(attempt, None)
            await curio.sleep(self._pause_s * random.random())

    async def _try_once(self, change: Change, attempt: Attempt) -> Accepted | None:
        """Read, settle, apply, commit; None means: once more."""
        stored = await self.read()
        document = stored.document
        if attempt.unsettled is not None:
            made = document.find_change(attempt.nonce)
            if made:
                return Accepted(made, document)
            self._settle_lost(attempt, document)
        target = change.apply(document, attempt.raced).with_nonce(attempt.nonce)
        writes = [
            Write(DOCUMENT_KEY, encode_document(target), stored.row_version),
            Write(VERSION_KEY, str(target.version).encode(), ANY_VERSION),
        ]
        try:
            result = await self._table.commit(writes)
        except StoreUnavailableError:
            raise
        except StoreError:
            # The answer was lost and the commit may be in force, or still land.
            # Read as a plain failure, a change in force would be reported as
            # refused; tried again under a new nonce, it would lose against
            # itself. So the same commit, on the same row version, is repeated:
            # only one of the two can take effect, and the nonce tells which.
            attempt.unsettled = document.version
            raise
        if result.committed:
            return Accepted(target.version, target)
        attempt.raced = attempt.raced or attempt.unsettled is None
        return None

    def _settle_lost(self, attempt: Attempt, document: ProfileDocument) -> None:
        """Note that a lost commit can never land, if that is so."""
        assert attempt.unsettled is not None
        made_by_other = attempt.unsettled + 1
        if document.version < made_by_other:
            return
        if not document.remembers(made_by_other):
            raise build_store_error(Outcome.UNKNOWN, RETRY_AFTER_S)
        attempt.unsettled = None
        attempt.raced = True

    def _check_time(self, attempt: Attempt, error: StoreError | None) -> None:
        """End the change when there is no use in, or no time for, another try."""
        late = self._clock() >= attempt.deadline
        retry_after = error.retry_after if error else RETRY_AFTER_S
        if attempt.unsettled is not None:
            if late:
                raise build_store_error(Outcome.UNKNOWN, retry_after) from error
            return
        if late or error is not None:
            raise build_store_error(Outcome.NOT_RUN, retry_after) from error


def build_store_error(outcome: Outcome, retry_after: float) -> RequestError:
    """Return the answer to a change that the table did not let end."""
    known = "was not made" if outcome is Outcome.NOT_RUN else "may have been made"
    return RequestError(
        f"table did not answer in time; the change {known}",
        code="store_unavailable",
        status=503,
        outcome=outcome,
        retry_after=retry_after,
        step=STEP,
    )


def create_profile_store(
    table: Table,
    *,
    change_s: float = CHANGE_S,
    pause_s: float = PAUSE_S,
    clock: Callable[[], float] = time.monotonic,
) -> ProfileStore:
    """Return a store.

    :param change_s: seconds after which a change is given up.
    :param pause_s: longest pause between two tries, seconds.
    """
    return ProfileStore(table, change_s, pause_s, clock)
