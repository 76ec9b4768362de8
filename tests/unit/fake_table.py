"""An in-memory table with fault injection."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from enum import StrEnum

import curio

from pistachiodeal.exceptions import StoreUnavailableError, StoreUncertainError
from pistachiodeal.store.protocols import (
    ABSENT,
    ANY_VERSION,
    CommitResult,
    Row,
    Write,
)


class Fault(StrEnum):
    """A fault injected into the next call."""

    NONE = "none"
    LOST = "lost"  # takes effect, the answer is lost
    DROPPED = "dropped"  # takes no effect, the answer is lost
    DELAYED = "delayed"  # the answer is lost, takes effect at land_delayed()
    REFUSED = "refused"  # takes no effect, and the answer says so
    HANGING = "hanging"  # takes effect, no answer until end_hanging()


class FakeTable:
    """Implements the ``Table`` protocol.

    :ivar faults: faults of the next commits, one each.
    :ivar read_faults: the same for reads and scans (LOST or REFUSED).
    :ivar log: every row ever written, in order.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.faults: deque[Fault] = deque()
        self.read_faults: deque[Fault] = deque()
        self.down = False
        self.log: list[Row] = []
        self.commits = 0
        self._delayed: list[tuple[Write, ...]] = []
        self._version = 0
        self._hanging = curio.Event()

    async def commit(self, writes: Sequence[Write]) -> CommitResult:
        await curio.sleep(0)
        fault = self._next_fault(self.faults)
        if fault is Fault.REFUSED:
            raise StoreUnavailableError("refused", step="table.commit")
        self.commits += 1
        if fault is Fault.DELAYED:
            self._delayed.append(tuple(writes))
        result = CommitResult()
        if fault in (Fault.NONE, Fault.LOST, Fault.HANGING):
            result = self.apply(writes)
        await curio.sleep(0)
        if fault is Fault.HANGING:
            await self._hanging.wait()
        if fault is not Fault.NONE:
            raise StoreUncertainError("answer lost", step="table.commit")
        return result

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        await self._fail_read()
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        await self._fail_read()
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return [self.rows[key] for key in keys[:limit]]

    async def end_hanging(self) -> None:
        """Let every hanging commit time out."""
        hanging, self._hanging = self._hanging, curio.Event()
        await hanging.set()

    def land_delayed(self) -> None:
        """Apply every delayed commit now."""
        delayed, self._delayed = self._delayed, []
        for writes in delayed:
            self.apply(writes)

    def apply(self, writes: Sequence[Write]) -> CommitResult:
        """Apply a transaction at once, without faults."""
        failed = tuple(write.key for write in writes if not self._holds(write))
        if failed:
            return CommitResult(conflicts=failed)
        versions = {}
        for write in writes:
            if write.check_only:
                continue
            self._version += 1
            if write.value is None:
                self.rows.pop(write.key, None)
                continue
            self.rows[write.key] = Row(write.key, write.value, self._version)
            self.log.append(self.rows[write.key])
            versions[write.key] = self._version
        return CommitResult(versions=versions)

    def _holds(self, write: Write) -> bool:
        row = self.rows.get(write.key)
        version = row.version if row else ABSENT
        return write.expect in (ANY_VERSION, version)

    def _next_fault(self, faults: deque[Fault]) -> Fault:
        if self.down:
            return Fault.REFUSED
        return faults.popleft() if faults else Fault.NONE

    async def _fail_read(self) -> None:
        await curio.sleep(0)
        fault = self._next_fault(self.read_faults)
        if fault is Fault.REFUSED:
            raise StoreUnavailableError("refused", step="table.read")
        if fault is not Fault.NONE:
            raise StoreUncertainError("answer lost", step="table.read")
