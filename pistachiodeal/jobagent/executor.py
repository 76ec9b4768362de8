"""Executes the leader's orders at the runner, and resolves unanswered ones."""

from __future__ import annotations

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.orders import Order
from pistachiodeal.jobagent.signals import AgentSignals
from pistachiodeal.jobs.model import OrderState
from pistachiodeal.jobs.runtime import CallResult, Runtime, StartCall
from pistachiodeal.wire.job_messages import Directive, RunOrder

log = Logger("executor")

# Pause before a stop that was refused or not answered is sent again.
RETRY_S = 0.15
# Results that rule out that the runner has started, or will start, the run.
NOT_STARTED = frozenset(
    (
        CallResult.FENCED,
        CallResult.SUPERSEDED,
        CallResult.LATE,
        CallResult.NO_ROOM,
        CallResult.NO_TICKET,
        CallResult.REFUSED,
        CallResult.ABSENT,
        CallResult.OTHER_INCARNATION,
    )
)


class Executor:
    """Starts and stops runs at the runner."""

    def __init__(
        self,
        ledger: AgentLedger,
        runtime: Runtime,
        events: EventLog,
        signals: AgentSignals,
    ) -> None:
        self._ledger = ledger
        self._runtime = runtime
        self._events = events
        self._refresh = signals.refresh
        self._report = signals.report

    async def carry_out(self, directive: Directive) -> None:
        """Begin to execute all orders of a directive."""
        ledger = self._ledger
        if directive.worker != ledger.worker:
            return
        for known in directive.known:
            ledger.run_specs[known.task, known.run] = known
        for ref in directive.stops:
            await curio.spawn(self._stop, ref.task, ref.run, daemon=True)
        texts = {one.job: one.text for one in directive.texts}
        for order in directive.starts:
            key = (order.task, order.run)
            if key in ledger.orders or key in ledger.running:
                continue
            ledger.run_specs[key] = order
            ledger.orders[key] = Order(order.task, order.run)
            text = texts.get(order.task.partition(".")[0])
            await curio.spawn(self._start, order, directive.worker, text, daemon=True)

    async def _start(self, order: RunOrder, worker: str, text: str | None) -> None:
        """Start a run.

        :param text: of its job, None if the directive didn't have it.
        """
        ledger = self._ledger
        entry = ledger.orders.get((order.task, order.run))
        if entry is None:
            return
        refusal = self._find_refusal(worker, order)
        if refusal:
            await self._refuse(entry, refusal)
            return
        if text is None:
            await self._refuse(entry, "the directive has no text of the job")
            return
        now = read_boot_clock()
        lease_end_ms = ledger.lease.extend(now, ledger.authority.granted_until)
        if not lease_end_ms:
            await self._refuse(entry, "no lease can be given")
            return
        entry.sent = True
        ledger.run_ages.record_start((order.task, order.run), now)
        result = await self._runtime.start(
            StartCall(
                worker,
                ledger.authority.token,
                order.task,
                order.run,
                text,
                lease_end_ms,
                order.checkpoint,
                order.ticket,
            )
        )
        if result in (CallResult.UNKNOWN, CallResult.ABSENT):
            ledger.run_ages.record_unanswered_call(read_boot_clock())
        self._events.emit(
            "run.started",
            task=order.task,
            run=order.run,
            worker=worker,
            result=result.value,
            took_ms=int((read_boot_clock() - now) * 1000),
        )
        if result in NOT_STARTED:
            await self._refuse(entry, result.value)
        elif result is CallResult.DONE:
            entry.started = True
            entry.settled_at = read_boot_clock()
            await self._refresh.set()
        else:
            await self._stop(order.task, order.run)

    async def _stop(self, task: str, run: int) -> None:
        """Repeat a stop until the runner answers; the run can't start after that."""
        ledger = self._ledger
        worker = ledger.worker
        entry = ledger.orders.get((task, run))
        if entry is None:
            # A previous process of this agent may have sent its start.
            entry = ledger.orders[task, run] = Order(task, run, sent=True)
        while worker and ledger.worker == worker:
            result = await self._runtime.stop(worker, ledger.authority.token, task, run)
            self._events.emit("run.stopped", task=task, run=run, result=result.value)
            if result in (CallResult.DONE, CallResult.SUPERSEDED):
                entry.started = False
                entry.settled_at = read_boot_clock()
                await self._refresh.set()
                return
            await curio.sleep(RETRY_S)

    async def _refuse(self, entry: Order, detail: str) -> None:
        entry.state, entry.detail = OrderState.REFUSED, detail
        await self._report.set()

    def _find_refusal(self, worker: str, order: RunOrder) -> str:
        """Return why a run may not be started, empty if it may."""
        ledger = self._ledger
        if ledger.worker != worker:
            return "the worker has changed"
        if ledger.draining:
            return "the worker is draining"
        now = read_boot_clock()
        if now >= ledger.authority.granted_until:
            return "the leader's grant has run out"
        if now >= ledger.authority.starts_until:
            return "the leader's look at closed data centres is too old"
        # An agent that was suspended processes old orders before the heartbeats that
        # its runner has sent since, which may say that it drains or has less capacity.
        if ledger.is_silent(now):
            return "the runner has not answered lately"
        # The leader decided by the last capacity that it had received. A runner that
        # doesn't check its capacity would be overcommitted, which slows down its
        # serving tasks.
        if not ledger.has_room(order):
            return "the worker has no room left"
        return ""
