"""The platform's store and runners over HTTP, in the soak test's own process."""

from __future__ import annotations

import json
import time
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import curio

from pistachiodeal.exceptions import StoreUnavailableError, StoreUncertainError
from pistachiodeal.jobs.incarnations import SEPARATOR, get_runner
from pistachiodeal.jobs.runtime import CallResult, StartCall
from pistachiodeal.store.row_store import (
    HistoryLostError,
    RowCondition,
    RowWrite,
    StoredRow,
    Transaction,
)
from pistachiodeal.web.client import CallError, create_client
from tests.standins import base
from tests.standins.job_runner import InvariantChecker, MemoryRunner
from tests.standins.rows import MemoryRows, RowsState

HEARTBEAT_S = 0.3
HEARTBEAT_TIMEOUT_S = 1.0
CAPACITY = {"cpu": 16_000, "mem_mb": 64_000, "gpu": 0}
REASONS = {
    CallResult.FENCED: "fence",
    CallResult.SUPERSEDED: "old",
    CallResult.LATE: "late",
    CallResult.NO_ROOM: "room",
}


@dataclass
class TimedInvariantChecker(InvariantChecker):
    """An invariant checker that also records when each task was last started."""

    started_at: dict[str, float] = field(default_factory=dict)

    def record_start(self, task: str, run: int, worker: str) -> None:
        """Record that a runner has started a run."""
        super().record_start(task, run, worker)
        self.started_at[task] = time.monotonic()


class StoreServer(base.StandIn):
    """Serves the store's calls from rows in memory."""

    def __init__(self, state: RowsState) -> None:
        super().__init__()
        self._rows = MemoryRows(state)
        self._state = state

    async def handle(self, operation: str, call: base.Call) -> base.Answer:
        """Carry a call out."""
        try:
            if call.path == "/api/rows-tx":
                return await self._commit(call.document())
            if call.path == "/api/rows-get":
                return await self._read(call.query)
            if call.path == "/api/rows-feed":
                return await self._follow(call.query)
        except StoreUnavailableError:
            return base.answer_error(503, "down")
        except StoreUncertainError as error:
            raise base.AnswerLostError from error
        except HistoryLostError:
            return base.answer_error(410, "gone")
        return base.answer_error(404, "no_such_call")

    async def _commit(self, document: dict[str, Any]) -> base.Answer:
        conditions = tuple(
            RowCondition(one["table"], one["key"], one["schema_version"])
            for one in document.get("expected_rev", ())
        )
        writes = [
            RowWrite(one["table"], one["key"], b64decode(one["value"]), one["part"])
            for one in document.get("writes", ())
        ]
        for one in document.get("remove", ()):
            writes.append(RowWrite(one["table"], one["key"], None, one["part"]))
        result = await self._rows.commit(Transaction(conditions, tuple(writes)))
        if result.committed:
            return base.answer_json({"schema_version": result.version})
        rows = [
            {"table": table, **_encode_row(row)}
            for (table, _), row in result.found.items()
        ]
        return base.answer_json({"rows": rows}, 412)

    async def _read(self, query: dict[str, str]) -> base.Answer:
        page = await self._rows.read(
            query["table"],
            query.get("from", ""),
            query.get("to", ""),
            int(query.get("limit", "0")),
            query.get("part", ""),
        )
        return self._answer_page(page.rows, page.version, page.truncated)

    async def _follow(self, query: dict[str, str]) -> base.Answer:
        wait_s = int(query["wait_ms"]) / 1000
        after = int(query["start_after"])
        page = await self._rows.follow(query["table"], after, wait_s)
        return self._answer_page(page.rows, page.version, page.truncated)

    def _answer_page(
        self, rows: tuple[StoredRow, ...], version: int, truncated: bool
    ) -> base.Answer:
        listed = [_encode_row(row) for row in rows]
        return base.answer_json(
            {"rows": listed, "schema_version": version, "truncated": truncated}
        )


class RunnerServer(base.StandIn):
    """Serves one runner's calls, and sends its heartbeats to the agent beside it."""

    def __init__(self, runner: MemoryRunner, control: str) -> None:
        super().__init__()
        self.runner = runner
        self._agent = create_client(control, connections=2)

    def connect(self) -> Callable[[base.Call], Awaitable[base.Answer]]:
        """Return the handler of a connection, which a restart of the runner ends."""
        worker = self.runner.worker

        async def answer(call: base.Call) -> base.Answer:
            if self.runner.worker != worker:
                raise base.AnswerLostError
            return await self.answer(call)

        return answer

    async def handle(self, operation: str, call: base.Call) -> base.Answer:
        """Carry a call out."""
        if self.runner.down:
            raise base.AnswerLostError
        document = call.document()
        # The header identifies the runner, but not its incarnation.
        runner_id = call.headers.get("expect-instance", "")
        worker = self.runner.worker
        if get_runner(worker) != runner_id:
            worker = runner_id
        if call.path == "/api/hold":
            return await self._hold_lease(worker, document)
        task, run = document["task"], document["run_id"]
        token = document["fencing_token"]
        if call.path == "/api/run-start":
            order = StartCall(
                worker, token, task, run, document["spec"], document["until_ms"], "", ""
            )
            return self._answer(await self.runner.start(order))
        if call.path == "/api/run-stop":
            return self._answer(await self.runner.stop(worker, token, task, run))
        percent = document["percent"]
        return self._answer(await self.runner.pace(worker, token, task, run, percent))

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            if self.runner.down:
                await curio.sleep(HEARTBEAT_S)
                continue
            beat = self.runner.build_heartbeat()
            runner_id = get_runner(beat.worker)
            document = {
                "born": _read_born(beat.worker),
                "service": beat.service,
                "address": "",
                "state": "draining" if beat.draining else "ready",
                "remaining_ms": beat.leaving_ms,
                "seq": beat.sequence,
                "capacity": CAPACITY,
                "labels": list(beat.labels),
            }
            try:
                await self._agent.call(
                    "POST",
                    f"/api/Instances.Heartbeat/{runner_id}",
                    headers=(("content-type", "application/json"),),
                    body=json.dumps(document).encode(),
                    timeout=HEARTBEAT_TIMEOUT_S,
                )
            except CallError:
                # An agent that is down or frozen gets the next heartbeat.
                await self._agent.close()
            await curio.sleep(HEARTBEAT_S)

    async def _hold_lease(self, worker: str, document: dict[str, Any]) -> base.Answer:
        listing = await self.runner.renew(
            worker,
            document["fencing_token"],
            document["last_seen"],
            document.get("until_ms", 0),
            document.get("wait_ms", 0),
        )
        if listing.result is not CallResult.DONE:
            return self._answer(listing.result)
        running = [
            [run.task, run.run, run.checkpoint, run.percent, run.figure]
            for run in listing.running
        ]
        ended = [
            [end.number, end.task, end.run, end.how, end.checkpoint]
            for end in listing.ends
        ]
        return base.answer_json(
            {
                "born": _read_born(worker),
                "clock_ms": listing.clock_ms,
                "running": running,
                "ended_at": ended,
            }
        )

    def _answer(self, result: CallResult) -> base.Answer:
        if result is CallResult.UNKNOWN:
            raise base.AnswerLostError
        if result is CallResult.OTHER_INCARNATION:
            return base.answer_json({}, 421)
        if result is CallResult.DONE:
            return base.answer_json({"clock_ms": 1})
        return base.answer_json({"clock_ms": 1, "reason": REASONS[result]}, 409)


def _read_born(worker: str) -> int:
    return int(worker.rpartition(SEPARATOR)[2])


def _encode_row(row: StoredRow) -> dict[str, Any]:
    encoded: dict[str, Any] = {"key": row.key, "schema_version": row.version}
    if row.removed:
        return {**encoded, "removed": True}
    return {**encoded, "value": b64encode(row.value).decode()}
