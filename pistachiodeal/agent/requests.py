"""Callers' requests on the agent: admission, queueing and dispatch to runners."""

from __future__ import annotations

import time
from collections.abc import Callable

import curio
import logbook

from pistachiodeal.agent.admission import PolicySource, RequestAdmission
from pistachiodeal.agent.queueing import (
    Origin,
    PendingRequest,
    ServiceQueue,
    create_pending,
)
from pistachiodeal.agent.runners import Runner, RunnerTable
from pistachiodeal.exceptions import LinkClosedError, Outcome
from pistachiodeal.metrics import Metrics
from pistachiodeal.web.client import CallError, UnsendableError
from pistachiodeal.web.messages import WebResponse
from pistachiodeal.wire.messages import (
    Failure,
    Message,
    Request,
    Response,
    ServiceLoad,
)

log = logbook.Logger("agent")

TICK_S = 0.005
LATE_LIMIT_S = 2.0
MAX_DISPATCHES = 3
LATENCY_WINDOW_S = 5.0


class RequestHandler:
    """Decides which requests this worker's runners get; nothing else sends any."""

    def __init__(
        self,
        runners: RunnerTable,
        policies: PolicySource,
        metrics: Metrics,
        *,
        window_s: float = LATENCY_WINDOW_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._runners = runners
        self._metrics = metrics
        self._admission = RequestAdmission(runners, policies, metrics, window_s, clock)
        self._queues = self._admission.queues
        self._clock = clock
        self._open: dict[tuple[int, int], PendingRequest] = {}
        self._slot_tasks: set[curio.Task] = set()
        self._sequence = 0
        self._idle = curio.Event()

    @property
    def open_count(self) -> int:
        """Return the number of unanswered requests."""
        return len(self._open)

    def count_open(self, origin: Origin) -> int:
        """Return the number of unanswered requests of one link."""
        return sum(1 for pending in self._open.values() if pending.origin is origin)

    async def handle(self, origin: Origin, request: Request) -> None:
        """Accept a request or refuse it at once; the answer is sent to ``origin``."""
        self._sequence += 1
        pending = create_pending(origin, request, self._clock(), self._sequence)
        if pending.key in self._open:
            self._metrics.count("agent.requests.repeated_id")
            return
        self._metrics.count("agent.requests")
        refusal = self._admission.find_refusal(pending)
        if refusal:
            await self._send(origin, refusal)
            return
        queue = self._admission.get_queue(request.service)
        self._open[pending.key] = pending
        queue.add(pending)
        await self._dispatch_waiting(request.service)
        if pending.waiting:
            await self._start_timer(queue)

    async def withdraw(self, origin: Origin, request_id: int) -> None:
        """Refuse a waiting request; one already dispatched to a runner continues."""
        pending = self._open.get((id(origin), request_id))
        if pending is None:
            return
        pending.withdrawn = True
        if pending.waiting:
            self._queues[pending.request.service].discard(pending)
            await self._refuse(pending, "withdrawn")

    async def close_origin(self, origin: Origin) -> None:
        """Drop the waiting requests of a closed link."""
        for pending in list(self._open.values()):
            if pending.origin is origin and pending.waiting:
                self._queues[pending.request.service].discard(pending)
                self._metrics.count("agent.requests.dropped")
                await self._finish(pending)

    async def handle_runner_change(self, runner: Runner) -> None:
        """React to a runner that was added, was removed, or is usable again."""
        if runner.gone:
            while runner.idle_inboxes:
                await runner.idle_inboxes.pop().put(None)
        service = runner.announcement.service
        await self._dispatch_waiting(service)
        if not self._runners.list_runners(service):
            await self._refuse_all(service, "no_runner")

    async def refuse_late(self, queue: ServiceQueue) -> None:
        """Refuse the waiting requests whose ``refuse_at`` has passed."""
        while pending := queue.pop_late(self._clock()):
            await self._refuse(pending, "deadline")

    def list_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load of each service that has runners on this worker."""
        return tuple(
            self._admission.build_load(service) for service in self._runners.services
        )

    def recent_latency(self, service: str) -> float:
        """Return the recent latency at the profile's percentile, in seconds."""
        queue = self._queues.get(service)
        if queue is None:
            return 0.0
        return queue.latency.estimate(self._admission.get_profile(service).percentile)

    def start_draining(self) -> None:
        """Refuse all new requests from now on."""
        self._admission.draining = True

    async def drain(self, timeout: float) -> bool:
        """Refuse new requests and wait for open ones; False after a timeout."""
        self.start_draining()
        if self._open:
            await curio.ignore_after(timeout, self._idle.wait)
        return not self._open

    async def stop(self) -> None:
        """Cancel all curio tasks, and answer open requests with their true outcome.

        Waiting requests are refused; the outcome of dispatched ones is unknown.
        """
        for pending in list(self._open.values()):
            if pending.waiting:
                await self._refuse(pending, "draining")
            else:
                await self._fail(pending, Outcome.UNKNOWN, "agent_stopped", "")
        for queue in self._queues.values():
            if queue.timer:
                await queue.timer.cancel()
        for task in list(self._slot_tasks):
            await task.cancel()

    async def _dispatch_waiting(self, service: str) -> None:
        queue = self._queues.get(service)
        while queue:
            runner = self._choose_runner(service)
            if runner is None:
                return
            runner.busy += 1
            await self._dispatch(runner, queue.pop())

    def _choose_runner(self, service: str) -> Runner | None:
        free = [r for r in self._runners.list_runners(service) if r.has_room]
        if not free:
            return None
        return min(free, key=lambda runner: runner.busy / runner.announcement.slots)

    async def _dispatch(self, runner: Runner, pending: PendingRequest) -> None:
        if runner.idle_inboxes:
            await runner.idle_inboxes.pop().put(pending)
            return
        task = await curio.spawn(self._run_slot, runner, pending, daemon=True)
        self._slot_tasks.add(task)

    async def _run_slot(self, runner: Runner, first: PendingRequest) -> None:
        """Serve one slot of a runner until the runner is removed."""
        inbox: curio.Queue = curio.Queue()
        pending: PendingRequest | None = first
        while pending is not None:
            await self._call_runner(runner, pending)
            pending = await self._next_request(runner)
            if pending is None and not runner.gone:
                runner.idle_inboxes.append(inbox)
                pending = await inbox.get()
        self._slot_tasks.discard(await curio.current_task())
        await self._runners.retire_if_idle(runner)

    async def _next_request(self, runner: Runner) -> PendingRequest | None:
        """Return the slot's next request, or free the slot and return None."""
        service = runner.announcement.service
        queue = self._queues.get(service)
        if queue:
            await self.refuse_late(queue)
        if queue and runner.usable and not runner.gone:
            return queue.pop()
        runner.busy -= 1
        return None

    async def _call_runner(self, runner: Runner, pending: PendingRequest) -> None:
        started = self._clock()
        if started >= pending.refuse_at:
            await self._refuse(pending, "deadline")
            return
        request = pending.request
        pending.dispatches += 1
        try:
            answer = await runner.client.call(
                request.method,
                request.target,
                headers=request.headers,
                body=request.body,
                timeout=pending.deadline - started + LATE_LIMIT_S,
            )
        except UnsendableError:
            await self._refuse(pending, "unsendable")
        except CallError as error:
            await self._handle_error(runner, pending, error, started)
        except Exception as error:
            log.error("agent: call of {} failed: {!r}", runner.announcement.name, error)
            await self._fail(pending, Outcome.UNKNOWN, "internal", repr(error))
        else:
            await self._handle_answer(runner, pending, answer, started)

    async def _handle_answer(
        self,
        runner: Runner,
        pending: PendingRequest,
        answer: WebResponse,
        started: float,
    ) -> None:
        now = self._clock()
        queue = self._queues.get(runner.announcement.service)
        if queue is not None:
            queue.service_time.record(now - started)
            queue.latency.record(now - pending.received_at)
        self._metrics.time("agent.runner_time", now - started)
        self._runners.record_success(runner)
        message = Response(
            pending.request.request_id, answer.status, answer.headers, answer.body
        )
        await self._finish(pending, message)

    async def _handle_error(
        self, runner: Runner, pending: PendingRequest, error: CallError, started: float
    ) -> None:
        connected = error.outcome is not Outcome.NOT_RUN
        self._runners.record_failure(runner, connected)
        if not connected:
            await self._requeue(pending)
            return
        now = self._clock()
        queue = self._queues.get(runner.announcement.service)
        if queue is not None:
            queue.service_time.record_failure(now - started)
            queue.latency.record(now - pending.received_at)
        cut = error.outcome is Outcome.RAN
        code = "answer_cut" if cut else "no_answer"
        await self._fail(pending, error.outcome, code, str(error))

    async def _requeue(self, pending: PendingRequest) -> None:
        """Requeue a request that did not reach its runner, or refuse it."""
        service = pending.request.service
        if pending.withdrawn:
            await self._refuse(pending, "withdrawn")
        elif self._clock() >= pending.refuse_at:
            await self._refuse(pending, "deadline")
        elif pending.dispatches >= MAX_DISPATCHES or not self._admission.count_slots(
            service
        ):
            await self._refuse(pending, "no_runner")
        else:
            queue = self._admission.get_queue(service)
            queue.add(pending)
            await self._dispatch_waiting(service)
            if pending.waiting:
                await self._start_timer(queue)

    async def _refuse_all(self, service: str, code: str) -> None:
        queue = self._queues.get(service)
        if queue is None:
            return
        while queue:
            await self._refuse(queue.pop(), code)
        if not self._runners.list_runners(service):
            self._queues.pop(service, None)
            if queue.timer:
                await queue.timer.cancel()

    async def _refuse(self, pending: PendingRequest, code: str) -> None:
        await self._finish(pending, self._admission.build_refusal(pending, code))

    async def _fail(
        self, pending: PendingRequest, outcome: Outcome, code: str, detail: str
    ) -> None:
        self._metrics.count(f"agent.failures.{code}")
        message = Failure(
            pending.request.request_id, str(outcome), code, "runner", detail
        )
        await self._finish(pending, message)

    async def _finish(
        self, pending: PendingRequest, message: Message | None = None
    ) -> None:
        if self._open.pop(pending.key, None) is None:
            return
        if message is not None:
            await self._send(pending.origin, message)
        if self._admission.draining and not self._open:
            await self._idle.set()

    async def _send(self, origin: Origin, message: Message) -> None:
        try:
            await origin.send(message)
        except LinkClosedError:
            self._metrics.count("agent.answers.dropped")

    async def _start_timer(self, queue: ServiceQueue) -> None:
        if queue.timer is None:
            queue.timer = await curio.spawn(self._run_timer, queue, daemon=True)
        if not queue.filled.is_set():
            await queue.filled.set()

    async def _run_timer(self, queue: ServiceQueue) -> None:
        """Refuse the late requests of one service; sleeps while none are waiting."""
        while True:
            await queue.filled.wait()
            while queue:
                await self.refuse_late(queue)
                await curio.sleep(TICK_S)
            queue.filled.clear()
