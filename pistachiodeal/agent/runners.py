"""The table of runners that have announced themselves to this agent."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

import curio
import logbook

from pistachiodeal.exceptions import RequestError
from pistachiodeal.model.resources import Resources
from pistachiodeal.web.client import WebClient, create_client

log = logbook.Logger("agent")

MAX_RUNNERS = 256
SWEEPS_PER_EXPIRY = 6
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
FAILURES_IN_A_ROW = 5
NO_ROOM_RETRY_S = 5.0


class RoomLedger(Protocol):
    """The ledger, as far as the table uses it."""

    def reserve(self, name: str, size: Resources) -> bool:
        """Reserve resources, or change nothing and return False."""

    def release(self, name: str) -> None:
        """Release a reservation."""


@dataclass(frozen=True, slots=True)
class AnnouncedRunner:
    """The contents of a runner's announcement."""

    name: str
    service: str
    address: str
    slots: int
    size: Resources


@dataclass(slots=True, eq=False)
class Runner:
    """A runner and its current state.

    :param announced_at: time of its latest announcement.
    :param busy: number of slots in use.
    :param idle_inboxes: inboxes of idle slot tasks.
    :param usable: False after failures, until it announces itself again.
    :param usable_at: earliest time at which an announcement makes it usable again.
    :param gone: it was removed, expired or replaced, and gets no new requests.
    """

    announcement: AnnouncedRunner
    client: WebClient
    announced_at: float
    busy: int = 0
    idle_inboxes: list[curio.Queue] = field(default_factory=list)
    usable: bool = True
    usable_at: float = 0.0
    failures: int = 0
    backoff_s: float = FIRST_BACKOFF_S
    gone: bool = False

    @property
    def has_room(self) -> bool:
        """Return whether it has a free slot for a request."""
        return self.usable and not self.gone and self.busy < self.announcement.slots


class RunnerTable:
    """Runners by name, each with its size reserved in the ledger.

    :ivar on_change: awaited after a runner was added, was removed, or became
        usable again.
    """

    def __init__(
        self,
        expiry_s: float,
        clock: Callable[[], float] = time.monotonic,
        connect: Callable[[AnnouncedRunner], WebClient] | None = None,
    ) -> None:
        self.on_change: Callable[[Runner], Awaitable[None]] | None = None
        self._expiry_s = expiry_s
        self._clock = clock
        self._connect = connect or _connect_runner
        self._ledger: RoomLedger | None = None
        self._runners: dict[str, Runner] = {}
        self._services: dict[str, list[Runner]] = {}
        self._reserved: dict[str, Runner] = {}
        self._swept_at = clock()

    @property
    def ready(self) -> bool:
        """Return whether the ledger is set, so that runners are accepted."""
        return self._ledger is not None

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that have a runner here."""
        return tuple(self._services)

    def list_runners(self, service: str) -> list[Runner]:
        """Return a service's runners; the caller must not modify the list."""
        return self._services.get(service, [])

    def set_ledger(self, ledger: RoomLedger) -> None:
        """Accept runners from now on, with reservations in this ledger."""
        self._ledger = ledger

    async def announce(self, announcement: AnnouncedRunner) -> bool:
        """Apply an announcement; return True if the runner is new or has changed.

        :raises RequestError: ``no_room``, ``too_many_runners`` or ``not_ready``.
        """
        now = self._clock()
        runner = self._runners.get(announcement.name)
        if runner and runner.announcement == announcement:
            runner.announced_at = now
            await self._readmit(runner, now)
            return False
        added = self._replace(runner, announcement, now)
        await self._notify_change(added)
        if runner:
            await self._notify_change(runner)
            await self.retire_if_idle(runner)
        log.notice(
            "agent: runner {} of {} announced", announcement.name, announcement.service
        )
        return True

    async def remove(self, name: str) -> bool:
        """Remove a runner; False if there is none of this name."""
        runner = self._runners.get(name)
        if runner is None:
            return False
        self._unregister(runner)
        await self._notify_change(runner)
        await self.retire_if_idle(runner)
        log.notice("agent: runner {} of {} removed", name, runner.announcement.service)
        return True

    async def run(self) -> None:
        """Remove expired runners periodically until cancelled."""
        self._swept_at = self._clock()
        while True:
            await curio.sleep(self._expiry_s / SWEEPS_PER_EXPIRY)
            await self.sweep()

    async def sweep(self) -> None:
        """Remove the runners whose announcement has expired."""
        now = self._clock()
        self._discount_suspension(now)
        for name, runner in list(self._runners.items()):
            # Removing a runner waits for others, which may replace this one meanwhile.
            replaced = self._runners.get(name) is not runner
            if not replaced and now - runner.announced_at > self._expiry_s:
                log.warning("agent: announcement of runner {} expired", name)
                await self.remove(name)

    async def retire_if_idle(self, runner: Runner) -> None:
        """Release the reservation of a removed runner once it has no open requests."""
        if not runner.gone or runner.busy:
            return
        name = runner.announcement.name
        if self._reserved.get(name) is runner and self._ledger:
            del self._reserved[name]
            self._ledger.release(_name_reservation(runner))
        await runner.client.close()

    def record_success(self, runner: Runner) -> None:
        """Reset the failure count and the backoff after a successful call."""
        runner.failures = 0
        runner.backoff_s = FIRST_BACKOFF_S

    def record_failure(self, runner: Runner, connected: bool) -> None:
        """Count a failed call, and disable the runner if the limit is reached.

        :param connected: False if no connection was made; this disables the runner
            at once.
        """
        runner.failures += 1
        if connected and runner.failures < FAILURES_IN_A_ROW:
            return
        if not runner.usable:
            return
        runner.usable = False
        runner.usable_at = self._clock() + runner.backoff_s
        runner.backoff_s = min(runner.backoff_s * 2, MAX_BACKOFF_S)
        log.warning("agent: runner {} fails, disabling it", runner.announcement.name)

    async def close(self) -> None:
        """Close the connections to all runners."""
        for runner in self._runners.values():
            await runner.client.close()

    def _replace(
        self, old: Runner | None, announcement: AnnouncedRunner, now: float
    ) -> Runner:
        if self._ledger is None:
            raise RequestError(
                "the worker's runs are not known yet",
                code="not_ready",
                status=503,
                retry_after=1.0,
                step="announce",
            )
        if old is None and len(self._runners) >= MAX_RUNNERS:
            raise RequestError(code="too_many_runners", status=409, step="announce")
        runner = Runner(announcement, self._connect(announcement), now)
        if not self._ledger.reserve(_name_reservation(runner), announcement.size):
            raise RequestError(
                f"no room for {announcement.size} on this worker",
                code="no_room",
                status=409,
                retry_after=NO_ROOM_RETRY_S,
                step="announce",
                peer=announcement.address,
            )
        self._reserved[announcement.name] = runner
        if old:
            self._unregister(old)
        self._runners[announcement.name] = runner
        self._services.setdefault(announcement.service, []).append(runner)
        return runner

    def _unregister(self, runner: Runner) -> None:
        runner.gone = True
        del self._runners[runner.announcement.name]
        service = runner.announcement.service
        self._services[service].remove(runner)
        if not self._services[service]:
            del self._services[service]

    async def _readmit(self, runner: Runner, now: float) -> None:
        if runner.usable or now < runner.usable_at:
            return
        runner.usable = True
        runner.failures = 0
        await self._notify_change(runner)

    async def _notify_change(self, runner: Runner) -> None:
        if self.on_change:
            await self.on_change(runner)

    def _discount_suspension(self, now: float) -> None:
        # After this process was suspended, every runner seems to have expired
        # although its announcements wait unread in the sockets. Removing them would
        # refuse all requests for a second, so the suspended time is not counted.
        suspended = now - self._swept_at - 2 * self._expiry_s / SWEEPS_PER_EXPIRY
        self._swept_at = now
        if suspended > 0:
            for runner in self._runners.values():
                runner.announced_at += suspended


def _name_reservation(runner: Runner) -> str:
    return f"runner:{runner.announcement.name}"


def _connect_runner(announcement: AnnouncedRunner) -> WebClient:
    return create_client(announcement.address, connections=announcement.slots)
