"""HTTP client of the platform's table service."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

import orjson

from pistachiodeal.store.http_store import StoreCaller, create_store_caller
from pistachiodeal.store.protocols import CommitResult, Row, Table, Write


class HttpTable:
    """A :class:`Table` over HTTP; it leaves retries to the caller."""

    def __init__(self, caller: StoreCaller) -> None:
        self._caller = caller

    async def commit(self, writes: Sequence[Write]) -> CommitResult:
        """Apply all writes, or none if a condition fails."""
        body = orjson.dumps({"writes": [_encode_write(write) for write in writes]})
        step = "table.commit"
        response = await self._caller.call(step, "POST", "/commit", body, changes=True)
        return self._caller.parse(step, response, _decode_result)

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist, from one point in time."""
        if not keys:
            return {}
        body = orjson.dumps({"keys": list(keys)})
        step = "table.read"
        response = await self._caller.call(step, "POST", "/read", body, changes=False)
        rows = self._caller.parse(step, response, _decode_rows)
        return {row.key: row for row in rows}

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows in key order whose key has ``prefix`` and is above ``after``."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        step = "table.scan"
        target = f"/scan?{query}"
        response = await self._caller.call(step, "GET", target, changes=False)
        return self._caller.parse(step, response, _decode_rows)


def _encode_write(write: Write) -> dict[str, Any]:
    value = None if write.value is None else b64encode(write.value).decode()
    return {
        "key": write.key,
        "value": value,
        "expect": write.expect,
        "check_only": write.check_only,
    }


def _decode_result(document: Any) -> CommitResult:
    versions = {str(k): int(v) for k, v in dict(document["versions"]).items()}
    return CommitResult(tuple(map(str, document["conflicts"])), versions)


def _decode_rows(document: Any) -> list[Row]:
    return [
        Row(str(row["key"]), b64decode(row["value"]), int(row["version"]))
        for row in document["rows"]
    ]


def create_table(address: str, *, timeout: float, connections: int) -> Table:
    """Return a client of the table service at ``ip:port``.

    :param timeout: seconds for one call.
    """
    return HttpTable(create_store_caller(address, timeout, connections))
