"""Stand-in for the platform's object store."""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote

import curio

from tests.standins import base

PREFIX = "/objects/"


class ObjectsStandIn(base.StandIn):
    """Objects in memory; operations are named put, get and delete."""

    lossy = frozenset({"put", "delete"})

    def __init__(self, record: base.Record) -> None:
        super().__init__(record)
        self._objects: dict[str, bytes] = {}
        self._counts = {"put": 0, "get": 0, "delete": 0}

    def operation(self, call: base.Call) -> str:
        """Return the call's method as its operation."""
        return call.method.lower()

    async def handle(self, operation: str, call: base.Call) -> base.Answer:
        """Execute a call."""
        if not call.path.startswith(PREFIX) or operation not in self._counts:
            return base.answer_error(404, "no_such_operation")
        key = unquote(call.path.removeprefix(PREFIX))
        self._counts[operation] += 1
        if operation == "get":
            data = self._objects.get(key)
            if data is None:
                return base.answer_error(404, "no_such_object")
            return base.Answer(200, data, "application/octet-stream")
        self.record.note(
            at=base.now(), operation=operation, key=key, size=len(call.body)
        )
        if operation == "put":
            self._objects[key] = call.body
        else:
            self._objects.pop(key, None)
        return base.answer_json({})

    def build_record(self) -> dict[str, Any]:
        """Return call counts, the number of objects and the log of changes."""
        return {**self._counts, "objects": len(self._objects), **super().build_record()}


def main() -> None:
    """Run the stand-in."""
    options = base.create_parser("objects").parse_args()
    curio.run(
        base.run_stand_in(
            ObjectsStandIn(base.Record(options.record_file)), options.port
        )
    )


if __name__ == "__main__":
    main()
