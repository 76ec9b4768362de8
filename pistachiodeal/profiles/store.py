"""Reads the profile document and changes it by compare-and-swap."""

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
class StoredDocument:
    """The document and the version of its row in the table."""

    document: ProfileDocument
    row_version: int


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A change that took effect.

    :param version: document version that the change made.
    :param document: newest known document, at that version or a later one.
    """

    version: int
    document: ProfileDocument


@dataclass(slots=True)
class ChangeAttempt:
    """Progress of one change over its attempts.

    :param raced: an earlier attempt lost a race against another change.
    :param uncertain_base: document version on which a commit with an unknown result
        is based; None when there is no such commit.
    """

    nonce: str
    deadline: float
    raced: bool = False
    uncertain_base: int | None = None


class ProfileStore:
    """Reads and changes the profile document in the table."""

    def __init__(
        self, table: Table, change_s: float, pause_s: float, clock: Callable[[], float]
    ) -> None:
        self._table = table
        self._change_s = change_s
        self._pause_s = pause_s
        self._clock = clock

    async def read(self) -> StoredDocument:
        """Return the newest document, at version 0 if none is stored.

        :raises StoreError: the table did not answer.
        """
        rows = await self._table.read([DOCUMENT_KEY])
        row = rows.get(DOCUMENT_KEY)
        if row is None:
            return StoredDocument(ProfileDocument(), ABSENT)
        return StoredDocument(decode_document(row.value), row.version)

    async def read_version(self) -> int:
        """Return the document's version from the small row that entries poll.

        :raises StoreError: the table did not answer.
        """
        rows = await self._table.read([VERSION_KEY])
        row = rows.get(VERSION_KEY)
        return int(row.value) if row else 0

    async def change(self, change: Change) -> AcceptedChange:
        """Apply a change to the newest document until it is committed or refused.

        :raises RequestError: the change is refused (404, 409, 412, 428; not run), or
            the table failed (503; ``unknown`` if a commit may have taken effect).
        """
        attempt = ChangeAttempt(secrets.token_hex(8), self._clock() + self._change_s)
        while True:
            try:
                accepted = await self._try_once(change, attempt)
            except StoreError as error:
                self._check_give_up(attempt, error)
            else:
                if accepted is not None:
                    return accepted
                self._check_give_up(attempt, None)
            await curio.sleep(self._pause_s * random.random())

    async def _try_once(
        self, change: Change, attempt: ChangeAttempt
    ) -> AcceptedChange | None:
        """Read the document, apply the change and commit; None means try again."""
        stored = await self.read()
        document = stored.document
        if attempt.uncertain_base is not None:
            made = document.find_change(attempt.nonce)
            if made:
                return AcceptedChange(made, document)
            self._resolve_uncertain_commit(attempt, document)
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
            # The commit may have taken effect, or may still do so. If this counted
            # as a failure, a change in force would be reported as refused; a retry
            # with a new nonce would conflict with its own first commit. So the same
            # commit is repeated on the same row version: only one of the two can
            # take effect, and the nonce identifies it.
            attempt.uncertain_base = document.version
            raise
        if result.committed:
            return AcceptedChange(target.version, target)
        attempt.raced = attempt.raced or attempt.uncertain_base is None
        return None

    def _resolve_uncertain_commit(
        self, attempt: ChangeAttempt, document: ProfileDocument
    ) -> None:
        """Clear the uncertain commit if another change has taken its version.

        :raises RequestError: 503, the nonce of that version is no longer kept, so
            the commit's result stays unknown.
        """
        assert attempt.uncertain_base is not None
        made_by_other = attempt.uncertain_base + 1
        if document.version < made_by_other:
            return
        if not document.has_nonce_for(made_by_other):
            raise build_store_error(Outcome.UNKNOWN, RETRY_AFTER_S)
        attempt.uncertain_base = None
        attempt.raced = True

    def _check_give_up(self, attempt: ChangeAttempt, error: StoreError | None) -> None:
        """Raise if another attempt is pointless or the deadline has passed.

        :raises RequestError: 503.
        """
        late = self._clock() >= attempt.deadline
        retry_after = error.retry_after if error else RETRY_AFTER_S
        if attempt.uncertain_base is not None:
            if late:
                raise build_store_error(Outcome.UNKNOWN, retry_after) from error
            return
        if late or error is not None:
            raise build_store_error(Outcome.NOT_RUN, retry_after) from error


def build_store_error(outcome: Outcome, retry_after: float) -> RequestError:
    """Return the error for a change that failed because of the table."""
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
    """Return a store over a table.

    :param change_s: seconds after which a change is abandoned.
    :param pause_s: maximum pause between two attempts, seconds.
    """
    return ProfileStore(table, change_s, pause_s, clock)
