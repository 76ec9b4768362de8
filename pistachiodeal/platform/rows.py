"""HTTP client of the platform's transactional rows."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import replace
from typing import Any, TypeVar
from urllib.parse import urlencode

import orjson

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.exceptions import (
    Outcome,
    StoreError,
    StoreRejectedError,
    StoreUnavailableError,
    StoreUncertainError,
)
from pistachiodeal.malformed import MALFORMED, describe
from pistachiodeal.store.adaptive_timeout import AdaptiveTimeout
from pistachiodeal.store.row_store import (
    FindPartition,
    HistoryLostError,
    RowPage,
    StoredRow,
    Transaction,
    TransactionResult,
)
from pistachiodeal.web.client import CallError, WebClient, create_client
from pistachiodeal.web.messages import WebResponse

OK = 200
CONDITION_FAILED = 412
HISTORY_GONE = 410
# 429: rate limit exceeded, 503: refused; neither has any effect.
REFUSALS = (429, 503)
# The call is malformed or exceeds a limit.
REJECTIONS = (400, 413, 422)
SERVER_ERROR = 500
CONNECTIONS = 12
JSON_TYPE = (("content-type", "application/json"),)

Decoded = TypeVar("Decoded")


class _Transfer:
    """Observes the parts of a response while they arrive.

    :param on_progress: called with the size of each part.
    """

    def __init__(self, on_progress: Callable[[int], None] | None) -> None:
        self._on_progress = on_progress
        self._began_at = read_boot_clock()
        self._first_at = 0.0
        self.size = 0

    @property
    def latency_s(self) -> float:
        """Return the time until the first part, seconds."""
        return (self._first_at or read_boot_clock()) - self._began_at

    def record(self, size: int) -> None:
        """Record a part of this many bytes."""
        self._first_at = self._first_at or read_boot_clock()
        self.size += size
        if self._on_progress is not None:
            self._on_progress(size)


class PlatformRows:
    """A ``RowStore`` over HTTP.

    :param find_partition: returns the partition of a row. The platform executes the
        transactions of a partition serially, and none may span several partitions.
    :param bulk_client: makes bulk reads, by default the same client as all other calls.
    """

    def __init__(
        self,
        client: WebClient,
        find_partition: FindPartition,
        bulk_client: WebClient | None = None,
    ) -> None:
        self._client = client
        self._bulk_client = bulk_client or client
        self._find_partition = find_partition
        self._adaptive_timeout = AdaptiveTimeout()

    async def commit(self, transaction: Transaction) -> TransactionResult:
        """Apply a transaction; see ``RowStore``."""
        step = "store.commit"
        body = self._encode_transaction(transaction)
        response = await self._call(self._client, "POST", "/api/rows-tx", body, step)
        if response.status == CONDITION_FAILED:
            return self._parse(response, step, _decode_conflict)
        if response.status >= SERVER_ERROR:
            # The store may have applied the transaction before it failed.
            detail = f"status {response.status}"
            raise StoreUncertainError(detail, step=step, peer=self._client.address)
        return self._decode(response, step, _decode_committed)

    async def read(
        self,
        table: str,
        start: str = "",
        end: str = "",
        limit: int = 0,
        partition: str = "",
        *,
        on_progress: Callable[[int], None] | None = None,
    ) -> RowPage:
        """Return a range of rows; see ``RowStore``."""
        part = partition or self._find_partition(table, start)
        query: dict[str, Any] = {"table": table, "part": part}
        if start:
            query["from"] = start
        if end:
            query["to"] = end
        if limit:
            query["limit"] = limit
        target = "/api/rows-get?" + urlencode(query)
        client = self._client if on_progress is None else self._bulk_client
        transfer = _Transfer(on_progress)
        response = await self._call(
            client, "GET", target, b"", "store.read", transfer=transfer
        )
        page = self._decode(response, "store.read", _decode_page)
        return replace(page, size=transfer.size)

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return the changes after a version; see ``RowStore``."""
        query = {"table": table, "start_after": after, "wait_ms": int(wait_s * 1000)}
        target = "/api/rows-feed?" + urlencode(query)
        response = await self._call(
            self._client,
            "GET",
            target,
            b"",
            "store.follow",
            wait_s=wait_s,
            transfer=_Transfer(None),
        )
        if response.status == HISTORY_GONE:
            raise HistoryLostError(step="store.follow", peer=self._client.address)
        return self._decode(response, "store.follow", _decode_page)

    async def _call(
        self,
        client: WebClient,
        method: str,
        target: str,
        body: bytes,
        step: str,
        *,
        wait_s: float = 0.0,
        transfer: _Transfer | None = None,
    ) -> WebResponse:
        """Make one call; return the answer, unless the store refused the call.

        :param wait_s: time for which the store may delay the answer (long poll),
            seconds.
        :param transfer: observes the answer of a call that reads rows; its time-out
            counts from the last part that has arrived.
        """
        peer = client.address
        timeout = self._adaptive_timeout.timeout_s
        began_at = read_boot_clock()
        try:
            response = await client.call(
                method,
                target,
                headers=JSON_TYPE,
                body=body,
                timeout=wait_s + timeout,
                idle_timeout=timeout if transfer is not None else None,
                on_data=transfer.record if transfer is not None else None,
            )
        except CallError as error:
            # If one connection is dead, the idle ones likely are too, and each would
            # cost another time-out.
            await client.close()
            if error.outcome is Outcome.NOT_RUN:
                raise StoreUnavailableError(
                    error.detail, step=step, peer=peer
                ) from None
            raise StoreUncertainError(error.detail, step=step, peer=peer) from None
        if not wait_s:
            took_s = read_boot_clock() - began_at
            if transfer is not None:
                # How long a large answer takes depends on the link, not on the store.
                took_s = transfer.latency_s
            self._adaptive_timeout.record_latency(took_s)
        if response.status in REFUSALS:
            detail = f"refused with status {response.status}"
            raise StoreUnavailableError(detail, step=step, peer=peer)
        return response

    def _encode_transaction(self, transaction: Transaction) -> bytes:
        conditions = [
            {
                "table": c.table,
                "part": self._find_partition(c.table, c.key),
                "key": c.key,
                "schema_version": c.version,
            }
            for c in transaction.conditions
        ]
        writes = [
            {
                "table": w.table,
                "part": w.partition or self._find_partition(w.table, w.key),
                "key": w.key,
                "value": b64encode(w.value).decode(),
            }
            for w in transaction.writes
            if w.value is not None
        ]
        removals = [
            {
                "table": w.table,
                "part": w.partition or self._find_partition(w.table, w.key),
                "key": w.key,
            }
            for w in transaction.writes
            if w.value is None
        ]
        document = {"expected_rev": conditions, "writes": writes, "remove": removals}
        return orjson.dumps(document)

    def _decode(
        self,
        response: WebResponse,
        step: str,
        decode: Callable[[dict[str, Any]], Decoded],
    ) -> Decoded:
        if response.status != OK:
            kind = StoreRejectedError if response.status in REJECTIONS else StoreError
            detail = f"status {response.status}"
            raise kind(detail, step=step, peer=self._client.address)
        return self._parse(response, step, decode)

    def _parse(
        self,
        response: WebResponse,
        step: str,
        decode: Callable[[dict[str, Any]], Decoded],
    ) -> Decoded:
        try:
            return decode(orjson.loads(response.body))
        except MALFORMED as error:
            raise StoreUncertainError(
                describe(error), step=step, peer=self._client.address
            ) from None


def create_rows(address: str, find_partition: FindPartition) -> PlatformRows:
    """Return a client of the store at ``ip:port``.

    :param find_partition: see :class:`PlatformRows`.
    """
    return PlatformRows(
        create_client(address, connections=CONNECTIONS),
        find_partition,
        create_client(address, connections=CONNECTIONS),
    )


def _decode_committed(document: dict[str, Any]) -> TransactionResult:
    return TransactionResult(True, _decode_version(document))


def _decode_conflict(document: dict[str, Any]) -> TransactionResult:
    rows = document.get("rows", [])
    found = {(row["table"], row["key"]): _decode_row(row) for row in rows}
    return TransactionResult(False, 0, found)


def _decode_page(document: dict[str, Any]) -> RowPage:
    rows = tuple(_decode_row(row) for row in document["rows"])
    return RowPage(rows, _decode_version(document), bool(document.get("truncated")))


def _decode_version(document: dict[str, Any]) -> int:
    version = document["schema_version"]
    if not isinstance(version, int):
        raise TypeError(f"schema_version is {version!r}, and no whole number")
    return version


def _decode_row(row: dict[str, Any]) -> StoredRow:
    try:
        value = b64decode(row.get("value", ""))
    except (ValueError, TypeError):
        # A malformed row of another writer must not hide the other rows; the code
        # that uses the row reports that it can't be read.
        value = b""
    return StoredRow(
        row["key"],
        value,
        _decode_version(row),
        bool(row.get("removed")),
        row.get("part", ""),
    )
