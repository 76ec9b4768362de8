"""Takes the runner's heartbeats and its goodbye."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import ProtocolError, RequestError
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.renewal import Renewal
from pistachiodeal.jobs.incarnations import get_runner
from pistachiodeal.jobs.model import LossCause
from pistachiodeal.jobs.runtime import CallResult, Goodbye, WorkerBeat
from pistachiodeal.platform.runner import (
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    decode_goodbye,
    decode_heartbeat,
)
from pistachiodeal.web.messages import WebRequest, WebResponse, build_json

log = Logger("heartbeats")

# A runner that is starting is asked this often, sooner than it sends another heartbeat.
VERIFY_RETRIES = 5
VERIFY_PAUSE_S = 0.1
DECIDED = (CallResult.DONE, CallResult.OTHER_INCARNATION, CallResult.FENCED)

Message = TypeVar("Message", WorkerBeat, Goodbye)


class Heartbeats:
    """Handles what the runner on this VM sends."""

    def __init__(
        self,
        ledger: AgentLedger,
        renewal: Renewal,
        events: EventLog,
        report: curio.Event,
    ) -> None:
        self._ledger = ledger
        self._renewal = renewal
        self._events = events
        self._report = report
        self._unverified: dict[str, WorkerBeat] = {}
        self._verifying = False

    async def handle(self, request: WebRequest) -> WebResponse:
        """Answer a heartbeat or a goodbye."""
        if request.path.startswith(DEREGISTER_PATH):
            await self._take_goodbye(self._decode(decode_goodbye, request, "goodbye"))
            return build_json(200, {})
        if not request.path.startswith(HEARTBEAT_PATH):
            raise RequestError("no such path", code="not_found", status=404)
        await self.take(self._decode(decode_heartbeat, request, "heartbeat"))
        return build_json(200, {})

    async def take(self, beat: WorkerBeat) -> None:
        """Take in one heartbeat."""
        ledger = self._ledger
        if beat.worker == ledger.worker:
            known = ledger.beat
            if ledger.update(beat):
                self._log_change(known, beat)
                await self._report.set()
            return
        gone = ledger.is_gone(beat.worker)
        if not ledger.worker and not gone:
            await self._adopt(beat)
            return
        if gone and ledger.history.awaits_hearing(beat.worker, read_boot_clock()):
            # A runner that doesn't tell its starts apart may be back; a leader that has
            # not heard of its end would wait for the runs that ended with it.
            return
        # A heartbeat that was held up by a cut may arrive after its sender's end.
        self._unverified[beat.worker] = beat
        if not self._verifying:
            await curio.spawn(self._verify, daemon=True)

    async def _adopt(self, beat: WorkerBeat) -> None:
        self._ledger.adopt(beat)
        if get_runner(beat.worker) == beat.worker:
            self._events.emit("worker.start_unknown", worker=beat.worker)
        await self._report.set()

    def _decode(
        self, decode: Callable[[str, bytes], Message], request: WebRequest, name: str
    ) -> Message:
        """Return what a request says.

        :param name: what it is called in the log.
        :raises RequestError: it can't be read.
        """
        try:
            return decode(request.path, request.body)
        except ProtocolError as error:
            self._events.emit(f"{name}.unreadable", path=request.path, cause=str(error))
            raise RequestError(
                str(error), code="malformed_request", status=400
            ) from None

    def _log_change(self, known: WorkerBeat | None, beat: WorkerBeat) -> None:
        if known is None or known.draining != beat.draining:
            self._events.emit(
                "worker.draining",
                worker=beat.worker,
                draining=beat.draining,
                leaving_ms=beat.leaving_ms,
            )
        if known is None or known.capacity != beat.capacity:
            self._events.emit(
                "worker.resized",
                worker=beat.worker,
                cpu_milli=beat.capacity.cpu_milli,
                memory_mib=beat.capacity.memory_mib,
                accelerators=beat.capacity.accelerators,
            )

    async def _verify(self) -> None:
        """Look into the heartbeats of incarnations that are not the known one."""
        self._verifying = True
        try:
            while self._unverified:
                worker = next(iter(self._unverified))
                await self._verify_one(self._unverified.pop(worker))
        finally:
            self._verifying = False

    async def _verify_one(self, beat: WorkerBeat) -> None:
        known = self._ledger.worker
        result = await self._renewal.verify(beat)
        for _ in range(VERIFY_RETRIES):
            if result in DECIDED:
                break
            # A runner may send its first heartbeat before it listens.
            await curio.sleep(VERIFY_PAUSE_S)
            result = await self._renewal.verify(beat)
        if result is CallResult.DONE and self._ledger.worker in (known, ""):
            await self._adopt(beat)
            return
        self._events.emit(
            "heartbeat.ignored",
            worker=beat.worker,
            sequence=beat.sequence,
            known=self._ledger.worker,
            why="its sender doesn't answer",
            result=result.value,
        )

    async def _take_goodbye(self, goodbye: Goodbye) -> None:
        ledger = self._ledger
        # One that names no start may be of an earlier one; a runner drains before it
        # leaves, and one that is gone is found out all the same.
        leaving = ledger.draining and get_runner(ledger.worker) == goodbye.runner
        unsaid = goodbye.worker == goodbye.runner
        if goodbye.worker != ledger.worker and not (unsaid and leaving):
            self._events.emit(
                "goodbye.ignored",
                runner=goodbye.runner,
                sender=goodbye.worker,
                worker=ledger.worker,
                draining=ledger.draining,
            )
            return
        ledger.drop_worker("it has left", LossCause.LEFT)
        await self._report.set()
