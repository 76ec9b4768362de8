"""An in-memory table and object store that count what is written."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Sequence

import curio

from pistachiodeal.store.protocols import ANY_VERSION, CommitResult, Row, Write


class MemoryTable:
    """Implements ``Table`` without a network, so that its own cost is small.

    :param commit_s: duration of a commit, seconds.
    :ivar bytes: bytes written, keys and values.
    :ivar rows_by_prefix: rows written, by the first component of the key.
    :ivar bytes_by_prefix: bytes written, by the first component of the key.
    """

    def __init__(self, commit_s: float = 0.0) -> None:
        self._commit_s = commit_s
        self.rows: dict[str, Row] = {}
        self.rows_by_prefix: Counter[str] = Counter()
        self.bytes_by_prefix: Counter[str] = Counter()
        self.commits = 0
        self.writes = 0
        self.bytes = 0
        self._keys: list[str] = []
        self._version = 0

    async def commit(self, writes: Sequence[Write]) -> CommitResult:
        """Apply a transaction."""
        await curio.sleep(self._commit_s)
        self.commits += 1
        failed = tuple(w.key for w in writes if not self._holds(w))
        if failed:
            return CommitResult(conflicts=failed)
        changed = [w for w in writes if not w.check_only]
        return CommitResult(versions={w.key: self._apply(w) for w in changed})

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist."""
        await curio.sleep(0)
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows in key order."""
        await curio.sleep(0)
        found: list[Row] = []
        start = bisect_left(self._keys, max(prefix, after))
        for key in self._keys[start:]:
            if not key.startswith(prefix) or len(found) == limit:
                break
            if key > after:
                found.append(self.rows[key])
        return found

    def put(self, key: str, value: bytes) -> None:
        """Write a row without a condition."""
        self._apply(Write(key, value))

    def _holds(self, write: Write) -> bool:
        known = self.rows.get(write.key)
        return write.expect in (ANY_VERSION, known.version if known else 0)

    def _apply(self, write: Write) -> int:
        self._version += 1
        self.writes += 1
        if write.value is None:
            if self.rows.pop(write.key, None):
                del self._keys[bisect_left(self._keys, write.key)]
            return self._version
        if write.key not in self.rows:
            insort(self._keys, write.key)
        size = len(write.key) + len(write.value)
        self.bytes += size
        key_prefix = write.key.partition("/")[0]
        self.rows_by_prefix[key_prefix] += 1
        self.bytes_by_prefix[key_prefix] += size
        self.rows[write.key] = Row(write.key, write.value, self._version)
        return self._version


class MemoryObjects:
    """Implements ``ObjectStore``.

    :ivar bytes: bytes written.
    """

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.puts = 0
        self.bytes = 0

    async def put(self, key: str, data: bytes) -> None:
        """Store an object."""
        await curio.sleep(0)
        self.objects[key] = data
        self.puts += 1
        self.bytes += len(data)

    async def get(self, key: str) -> bytes | None:
        """Return an object."""
        await curio.sleep(0)
        return self.objects.get(key)

    async def delete(self, key: str) -> None:
        """Remove an object."""
        self.objects.pop(key, None)
