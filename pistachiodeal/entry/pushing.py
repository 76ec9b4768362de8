"""Tells agents of entries, partition owners, policies and shared evidence."""

from __future__ import annotations

import time
from collections.abc import Callable

import curio

from pistachiodeal.entry.evidence import EvidenceRelay
from pistachiodeal.entry.sessions import Session, SessionTable
from pistachiodeal.profiles.manager import ProfileManager
from pistachiodeal.wire.identity import AGENT_ROLE
from pistachiodeal.wire.messages import Directory, Policies

LOOK_S = 0.1
# A link loses nothing while it is up, so the repeat only guards against a fault of
# our own. Each 3 s it was half a megabyte a second for an agent at 160 entries.
DIRECTORY_S = 60.0
EVIDENCE_S = 5.0


class Pusher:
    """Sends every agent what changed; a child of the entry's supervisor.

    :param read_directory: returns the entries and owners as known now.
    """

    def __init__(
        self,
        sessions: SessionTable,
        keeper: ProfileManager,
        evidence: EvidenceRelay,
        read_directory: Callable[[], Directory],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._sessions = sessions
        self._keeper = keeper
        self._evidence = evidence
        self._read_directory = read_directory
        self._clock = clock
        self._changed: set[str] = set()
        self._directory: Directory | None = None
        self._directory_at = clock()
        self._evidence_at = clock()

    def note_changes(self, services: set[str]) -> None:
        """Have the policies of these services sent to who hosts them."""
        self._changed |= services

    async def greet(self, session: Session) -> None:
        """Send the directory, and all evidence, to an agent's new link."""
        await session.post(self._read_directory())
        evidence = self._evidence.greet(session.node, session.incarnation)
        if evidence is not None:
            await session.post(evidence)

    async def push_services(self, session: Session, services: frozenset[str]) -> None:
        """Send the policies in force of services that an agent hosts."""
        parts = self._keeper.parts(services)
        if parts:
            await session.post(Policies(parts))

    async def run(self) -> None:
        """Look for changes until cancelled."""
        while True:
            await self.push_once()
            await curio.sleep(LOOK_S)

    async def push_once(self) -> None:
        """Send what changed since the last look."""
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
        if directory == self._directory and now - self._directory_at < DIRECTORY_S:
            return
        self._directory = directory
        self._directory_at = now
        for session in self._sessions:
            if session.role == AGENT_ROLE:
                await session.post(directory)

    async def _push_evidence(self, now: float) -> None:
        if now - self._evidence_at < EVIDENCE_S:
            return
        self._evidence_at = now
        for session in self._sessions:
            evidence = self._evidence.build_for(session.node)
            if evidence is not None and session.role == AGENT_ROLE:
                await session.post(evidence)
        self._evidence.end_round()
