"""Stand-in for the platform's transactional table service."""

from __future__ import annotations

from bisect import bisect_left, insort
from typing import Any

import curio

from tests.standins import base

ANY_VERSION = -1


class TableStandIn(base.StandIn):
    """Rows in memory; a commit is atomic because it runs without a context switch."""

    lossy = frozenset({"commit"})

    def __init__(self, record: base.Record) -> None:
        super().__init__(record)
        self._rows: dict[str, tuple[str, int]] = {}
        self._keys: list[str] = []
        self._next_version = base.create_counter()
        self._counts = {"commits": 0, "conflicts": 0, "reads": 0, "scans": 0}

    def operation(self, call: base.Call) -> str:
        """Name a commit by its first written row, for example ``commit/journal``."""
        name = super().operation(call)
        if name != "commit":
            return name
        written = [w for w in call.document()["writes"] if not w.get("check_only")]
        family = written[0]["key"].partition("/")[0] if written else ""
        return f"commit/{family}"

    async def handle(self, operation: str, call: base.Call) -> base.Answer:
        """Execute a call."""
        if operation.startswith("commit"):
            return self._commit(call.document()["writes"])
        if operation == "read":
            self._counts["reads"] += 1
            return self._answer_rows(call.document()["keys"])
        if operation == "scan":
            return self._scan(call.query)
        return base.answer_error(404, "no_such_operation")

    def build_record(self) -> dict[str, Any]:
        """Return call counts, the number of rows and the log of commits."""
        return {**self._counts, "rows": len(self._rows), **super().build_record()}

    def _commit(self, writes: list[dict[str, Any]]) -> base.Answer:
        keys = [write["key"] for write in writes]
        if len(set(keys)) < len(keys):
            return base.answer_error(400, "key_twice")
        conflicts = [w["key"] for w in writes if not self._holds(w)]
        self._counts["commits"] += 1
        self._counts["conflicts"] += bool(conflicts)
        self.record.note(at=base.now(), keys=keys, conflicts=conflicts)
        if conflicts:
            return base.answer_json({"conflicts": conflicts, "versions": {}})
        versions: dict[str, int] = {}
        for write in writes:
            if not write.get("check_only"):
                self._apply(write["key"], write.get("value"), versions)
        return base.answer_json({"conflicts": [], "versions": versions})

    def _holds(self, write: dict[str, Any]) -> bool:
        expect = write.get("expect", ANY_VERSION)
        return expect in (ANY_VERSION, self._rows.get(write["key"], ("", 0))[1])

    def _apply(self, key: str, value: str | None, versions: dict[str, int]) -> None:
        if value is None:
            if self._rows.pop(key, None):
                del self._keys[bisect_left(self._keys, key)]
            return
        if key not in self._rows:
            insort(self._keys, key)
        versions[key] = self._next_version()
        self._rows[key] = (value, versions[key])

    def _scan(self, query: dict[str, str]) -> base.Answer:
        self._counts["scans"] += 1
        prefix = query.get("prefix", "")
        after = query.get("after", "")
        limit = int(query.get("limit", "1000"))
        start = bisect_left(self._keys, max(prefix, after))
        found: list[str] = []
        for key in self._keys[start:]:
            if not key.startswith(prefix) or len(found) >= limit:
                break
            if key > after:
                found.append(key)
        return self._answer_rows(found)

    def _answer_rows(self, keys: list[str]) -> base.Answer:
        rows = [(key, *self._rows[key]) for key in keys if key in self._rows]
        return base.answer_json(
            {"rows": [{"key": k, "value": v, "version": n} for k, v, n in rows]}
        )


def main() -> None:
    """Run the stand-in."""
    options = base.create_parser("table").parse_args()
    curio.run(
        base.run_stand_in(TableStandIn(base.Record(options.record_file)), options.port)
    )


if __name__ == "__main__":
    main()
