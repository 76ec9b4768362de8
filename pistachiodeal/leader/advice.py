"""Which workers may run which step, where an outside service decides that.

The service takes time for each worker named and handles one call of a VM after the
other, so the leader asks for few workers at a time, remembers what was refused for
good, and asks again only for tickets that have run out.
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

# The objective of a job counts one call on this many workers for each step.
WORKERS_A_CALL = 30
# An order takes some ms to the runner; a ticket that ends sooner would be refused.
TICKET_MARGIN_S = 0.4
RETRY_S = 0.3
IDLE_S = 0.02
# Steps whose answers are kept; those of finished jobs are never asked for again.
MOST_STEPS = 2_000


@dataclass(slots=True)
class _StepAdvice:
    """What is known of one step.

    :param tickets: of the workers that may run it, with the end of each, boot clock.
    :param refused: workers that never may run it.
    """

    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)


class AdviceCache:
    """Asks the service, and answers the planner from what it said.

    :param changed: called when there is a new answer.
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
        """Return a ticket that is still taken, or an empty text."""
        known = self._steps.get(key)
        ticket, until = known.tickets.get(worker, ("", 0.0)) if known else ("", 0.0)
        return ticket if read_boot_clock() + TICKET_MARGIN_S < until else ""

    def invalidate_ticket(self, key: StepKey, worker: str) -> None:
        """Note that a worker has refused a ticket; it may be of an earlier start."""
        known = self._steps.get(key)
        ticket, _ = known.tickets.get(worker, ("", 0.0)) if known else ("", 0.0)
        if known is not None and ticket:
            # Its entry stays, so that this worker is asked for again.
            known.tickets[worker] = (ticket, 0.0)

    def request_tickets(self, key: StepKey, workers: Iterable[str]) -> None:
        """Note that a step waits for a ticket on any of some workers, best first."""
        known = self._steps.get(key) or _StepAdvice()
        asked = [worker for worker in workers if worker not in known.refused]
        # Those that were approved before are approved again: nobody else is asked.
        again = [worker for worker in asked if worker in known.tickets]
        self._wanted[key] = tuple((again or asked)[:WORKERS_A_CALL])

    async def run(self) -> None:
        """Ask for ever, one call after the other."""
        while True:
            if not self._wanted:
                await curio.sleep(IDLE_S)
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
        self._take(key, workers, advice)
        self._events.emit(
            "advice.taken",
            step=name,
            asked=len(workers),
            approved=len(advice.tickets),
            took_ms=int((read_boot_clock() - asked_at) * 1000),
        )
        await self._changed()

    def _take(self, key: StepKey, workers: tuple[str, ...], advice: Advice) -> None:
        known = self._steps.setdefault(key, _StepAdvice())
        while len(self._steps) > MOST_STEPS:
            del self._steps[next(iter(self._steps))]
        until = read_boot_clock() + advice.valid_s
        for worker in workers:
            ticket = advice.tickets.get(worker)
            if ticket is None:
                known.refused.add(worker)
            else:
                known.tickets[worker] = (ticket, until)
