"""Handles the runner's heartbeats and its goodbye message."""

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
from pistachiodeal.jobs.runtime import CallResult, Goodbye, WorkerHeartbeat
from pistachiodeal.platform.runner import (
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    decode_goodbye,
    decode_heartbeat,
)
from pistachiodeal.web.messages import WebRequest, WebResponse, build_json

log = Logger("heartbeats")

# Retries when a new incarnation doesn't answer: a runner that is still starting is
# adopted before it sends its second heartbeat.
VERIFY_RETRIES = 5
VERIFY_PAUSE_S = 0.1
CONCLUSIVE = (CallResult.DONE, CallResult.OTHER_INCARNATION, CallResult.FENCED)

Message = TypeVar("Message", WorkerHeartbeat, Goodbye)


class Heartbeats:
    """Handles the requests of the runner on this VM."""

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
        self._unverified: dict[str, WorkerHeartbeat] = {}
        self._verifying = False

    async def handle(self, request: WebRequest) -> WebResponse:
        """Answer a heartbeat or a goodbye."""
        if request.path.startswith(DEREGISTER_PATH):
            await self._process_goodbye(
                self._decode(decode_goodbye, request, "goodbye")
            )
            return build_json(200, {})
        if not request.path.startswith(HEARTBEAT_PATH):
            raise RequestError("no such path", code="not_found", status=404)
        await self.process_heartbeat(
            self._decode(decode_heartbeat, request, "heartbeat")
        )
        return build_json(200, {})

    async def process_heartbeat(self, beat: WorkerHeartbeat) -> None:
        """Process one heartbeat."""
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
        if gone and ledger.loss_history.awaits_acknowledgement(
            beat.worker, read_boot_clock()
        ):
            # A runner that doesn't distinguish its starts may have restarted. A leader
            # that has not been told of its end would wait for the runs that it lost.
            return
        # A heartbeat delayed by a network partition may arrive after its sender has
        # ended.
        self._unverified[beat.worker] = beat
        if not self._verifying:
            await curio.spawn(self._verify, daemon=True)

    async def _adopt(self, beat: WorkerHeartbeat) -> None:
        self._ledger.adopt(beat)
        if get_runner(beat.worker) == beat.worker:
            self._events.emit("worker.start_unknown", worker=beat.worker)
        await self._report.set()

    def _decode(
        self, decode: Callable[[str, bytes], Message], request: WebRequest, name: str
    ) -> Message:
        """Return the decoded message of a request.

        :param name: name of the message in the log.
        :raises RequestError: the request can't be decoded.
        """
        try:
            return decode(request.path, request.body)
        except ProtocolError as error:
            self._events.emit(f"{name}.unreadable", path=request.path, cause=str(error))
            raise RequestError(
                str(error), code="malformed_request", status=400
            ) from None

    def _log_change(self, known: WorkerHeartbeat | None, beat: WorkerHeartbeat) -> None:
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
        """Verify the senders of heartbeats that name other incarnations."""
        self._verifying = True
        try:
            while self._unverified:
                worker = next(iter(self._unverified))
                await self._verify_one(self._unverified.pop(worker))
        finally:
            self._verifying = False

    async def _verify_one(self, beat: WorkerHeartbeat) -> None:
        known = self._ledger.worker
        result = await self._renewal.verify(beat)
        for _ in range(VERIFY_RETRIES):
            if result in CONCLUSIVE:
                break
            # A runner may send its first heartbeat before it accepts calls.
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

    async def _process_goodbye(self, goodbye: Goodbye) -> None:
        ledger = self._ledger
        # A goodbye that names no start may come from an earlier one. It counts only
        # while the worker drains, as a runner does before it leaves; the end of a
        # runner is detected without a goodbye too.
        leaving = ledger.draining and get_runner(ledger.worker) == goodbye.runner
        names_no_start = goodbye.worker == goodbye.runner
        if goodbye.worker != ledger.worker and not (names_no_start and leaving):
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
