"""Pushes the directory, policies and interference evidence to agents."""

from __future__ import annotations

import time
from collections.abc import Callable

import curio

from pistachiodeal.entry.interference import InterferenceRelay
from pistachiodeal.entry.sessions import Session, SessionTable
from pistachiodeal.profiles.manager import ProfileManager
from pistachiodeal.wire.identity import AGENT_ROLE
from pistachiodeal.wire.messages import Directory, Policies

PUSH_INTERVAL_S = 0.1
# A link loses no messages while it is up, so resending only guards against bugs.
# Sent every 3 s, directories of 160 entries cost an agent half a megabyte a second.
DIRECTORY_RESEND_S = 60.0
EVIDENCE_INTERVAL_S = 5.0


class Pusher:
    """Sends changes to every agent; runs as a child of the entry's supervisor.

    :param read_directory: returns the known entries and owners of partitions.
    """

    def __init__(
        self,
        sessions: SessionTable,
        profiles: ProfileManager,
        evidence: InterferenceRelay,
        read_directory: Callable[[], Directory],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._sessions = sessions
        self._profiles = profiles
        self._evidence = evidence
        self._read_directory = read_directory
        self._clock = clock
        self._changed: set[str] = set()
        self._directory: Directory | None = None
        self._directory_at = clock()
        self._evidence_at = clock()

    def queue_policies(self, services: set[str]) -> None:
        """Queue the policies of services for the agents that host these."""
        self._changed |= services

    async def on_open(self, session: Session) -> None:
        """Send the directory and all evidence on an agent's new link."""
        await session.enqueue(self._read_directory())
        evidence = self._evidence.build_initial(session.node, session.incarnation)
        if evidence is not None:
            await session.enqueue(evidence)

    async def push_services(self, session: Session, services: frozenset[str]) -> None:
        """Send an agent the current policies of services that it hosts."""
        parts = self._profiles.parts(services)
        if parts:
            await session.enqueue(Policies(parts))

    async def run(self) -> None:
        """Push changes periodically until cancelled."""
        while True:
            await self.push_once()
            await curio.sleep(PUSH_INTERVAL_S)

    async def push_once(self) -> None:
        """Send all changes since the previous call."""
        now = self._clock()
        await self._push_policies()
        await self._push_directory(now)
        await self._push_evidence(now)
        await self._sessions.close_idle_retired()

    async def _push_policies(self) -> None:
        changed, self._changed = frozenset(self._changed), set()
        if not changed:
            return
        for session in self._sessions:
            hosted = changed & session.services
            if hosted:
                await self.push_services(session, hosted)

    async def _push_directory(self, now: float) -> None:
        directory = self._read_directory()
        if (
            directory == self._directory
            and now - self._directory_at < DIRECTORY_RESEND_S
        ):
            return
        self._directory = directory
        self._directory_at = now
        for session in self._sessions:
            if session.role == AGENT_ROLE:
                await session.enqueue(directory)

    async def _push_evidence(self, now: float) -> None:
        if now - self._evidence_at < EVIDENCE_INTERVAL_S:
            return
        self._evidence_at = now
        for session in self._sessions:
            evidence = self._evidence.build_for(session.node)
            if evidence is not None and session.role == AGENT_ROLE:
                await session.enqueue(evidence)
        self._evidence.end_round()
