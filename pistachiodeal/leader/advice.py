"""Caches the tickets by which an external service approves workers for a step.

The service needs time for each worker in a call, and handles the calls of one VM one
after the other. So the leader asks about few workers at a time, remembers permanent
refusals, and repeats a request only for tickets that have expired.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import AdviceError
from pistachiodeal.jobs.advice import Advice, Adviser
from pistachiodeal.scheduling.views import StepKey

# The time objective of a job allows for one call about this many workers for each step.
MAX_WORKERS_PER_CALL = 30
# An order takes some ms to reach the runner, which would refuse an expired ticket.
TICKET_EXPIRY_MARGIN_S = 0.4
RETRY_S = 0.3
IDLE_POLL_S = 0.02
# Maximum number of cached steps. The answers for finished jobs are never needed again.
MAX_CACHED_STEPS = 2_000


@dataclass(slots=True)
class _StepAdvice:
    """The service's answers for one step.

    :param tickets: ticket and expiry, boot clock, by approved worker.
    :param refused: workers that may never run the step.
    """

    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)


class AdviceCache:
    """Requests advice from the service, and gives the planner the cached answers.

    :param changed: called after each new answer.
    """

    def __init__(
        self, adviser: Adviser, events: EventLog, changed: Callable[[], Awaitable[None]]
    ) -> None:
        self._adviser = adviser
        self._events = events
        self._changed = changed
        self._steps: dict[StepKey, _StepAdvice] = {}
        self._wanted: dict[StepKey, tuple[str, ...]] = {}

    def find_ticket(self, key: StepKey, worker: str) -> str:
        """Return a ticket that a worker still accepts, or an empty string."""
        known = self._steps.get(key)
        ticket, until = known.tickets.get(worker, ("", 0.0)) if known else ("", 0.0)
        return ticket if read_boot_clock() + TICKET_EXPIRY_MARGIN_S < until else ""

    def invalidate_ticket(self, key: StepKey, worker: str) -> None:
        """Expire a ticket that a worker has refused.

        The ticket may belong to an earlier start of the runner.
        """
        known = self._steps.get(key)
        ticket, _ = known.tickets.get(worker, ("", 0.0)) if known else ("", 0.0)
        if known is not None and ticket:
            # The entry stays, so that the next request is for this worker again.
            known.tickets[worker] = (ticket, 0.0)

    def request_tickets(
        self, key: StepKey, workers: Iterable[str], count: int = 1
    ) -> None:
        """Queue a request for tickets on some workers, best first.

        :param workers: workers that could take a task of the step now.
        :param count: number of workers that need a ticket at the same time.
        """
        known = self._steps.get(key) or _StepAdvice()
        allowed = [worker for worker in workers if worker not in known.refused]
        # A worker with a valid ticket isn't asked about: if the step could start with
        # the valid tickets alone, there would be no request.
        lacking = [worker for worker in allowed if not self.find_ticket(key, worker)]
        # Workers that were approved before will be approved again, so the others are
        # asked about only where those are too few.
        asked = [worker for worker in lacking if worker in known.tickets]
        valid = len(allowed) - len(lacking)
        if not asked or valid + len(asked) < count:
            asked += [worker for worker in lacking if worker not in known.tickets]
        self._wanted[key] = tuple(asked[:MAX_WORKERS_PER_CALL])

    async def run(self) -> None:
        """Make the queued calls, one after the other, without end."""
        while True:
            if not self._wanted:
                await curio.sleep(IDLE_POLL_S)
                continue
            key = next(iter(self._wanted))
            workers = self._wanted.pop(key)
            if workers:
                await self._ask(key, workers)

    async def _ask(self, key: StepKey, workers: tuple[str, ...]) -> None:
        name = ".".join(str(part) for part in key)
        asked_at = read_boot_clock()
        try:
            advice = await self._adviser.advise(name, workers)
        except AdviceError as error:
            self._events.emit("advice.failed", step=name, cause=str(error))
            await curio.sleep(RETRY_S)
            return
        self._apply(key, workers, advice)
        self._events.emit(
            "advice.taken",
            step=name,
            asked=len(workers),
            approved=len(advice.tickets),
            took_ms=int((read_boot_clock() - asked_at) * 1000),
        )
        await self._changed()

    def _apply(self, key: StepKey, workers: tuple[str, ...], advice: Advice) -> None:
        known = self._steps.setdefault(key, _StepAdvice())
        while len(self._steps) > MAX_CACHED_STEPS:
            del self._steps[next(iter(self._steps))]
        until = read_boot_clock() + advice.valid_s
        for worker in workers:
            ticket = advice.tickets.get(worker)
            if ticket is None:
                known.refused.add(worker)
            else:
                known.tickets[worker] = (ticket, until)
