"""What an agent does with the messages of its links."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import islice

import logbook

from pistachiodeal.agent.directory import AgentDirectory
from pistachiodeal.agent.evidence import EvidenceExchange
from pistachiodeal.agent.links import LinkKeeper
from pistachiodeal.agent.reporting import Reporter
from pistachiodeal.agent.requests import RequestHandler
from pistachiodeal.agent.tasks import TaskKeeper
from pistachiodeal.metrics import Metrics
from pistachiodeal.profiles.cache import PolicyCache
from pistachiodeal.wire.link import Link
from pistachiodeal.wire.messages import (
    Directory,
    Evidence,
    Goodbye,
    Message,
    Policies,
    PolicyPart,
    Request,
    Withdraw,
)
from pistachiodeal.wire.task_messages import Renew, Start, Stop, TaskAck

log = logbook.Logger("agent")

PARTS_PER_MESSAGE = 200


class MessageDispatch:
    """Hands each message of a link to the part that it is for."""

    def __init__(
        self,
        *,
        requests: RequestHandler,
        tasks: TaskKeeper,
        directory: AgentDirectory,
        links: LinkKeeper,
        policies: PolicyCache,
        evidence: EvidenceExchange,
        reporter: Reporter,
        metrics: Metrics,
    ) -> None:
        self._requests = requests
        self._tasks = tasks
        self._directory = directory
        self._links = links
        self._policies = policies
        self._evidence = evidence
        self._reporter = reporter
        self._metrics = metrics

    async def greet(self, link: Link) -> None:
        """Tell an entry what this agent holds.

        An entry that started in a store outage learns the policies from here.
        """
        for parts in _split(self._policies.all_parts()):
            await link.send(Policies(parts))
        await self._reporter.greet(link)

    async def receive(self, link: Link, message: Message) -> None:
        """Act on a message; waits for nothing but a full outbox."""
        if isinstance(message, Request):
            await self._requests.handle(link, message)
        elif isinstance(message, Withdraw):
            await self._requests.withdraw(link, message.request_id)
        elif isinstance(message, Start | Stop | Renew | TaskAck):
            await self._tasks.receive(message)
        elif isinstance(message, Directory):
            self._directory.note(link.peer.node, message)
            await self._links.note_directory()
        elif isinstance(message, Policies):
            await self._merge_policies(link, message)
        elif isinstance(message, Evidence):
            self._evidence.receive(message)
        elif isinstance(message, Goodbye):
            await self._links.note_goodbye(link)
        else:
            self._metrics.count("agent.messages.unexpected")

    async def part(self, link: Link) -> None:
        """Drop what waits from a closed link, and what its entry said."""
        await self._requests.close_origin(link)
        node = link.peer.node
        if all(other.peer.node != node for other in self._links.links):
            self._directory.forget(node)

    def count_open(self, link: Link) -> int:
        """Return the number of requests that the link waits for."""
        return self._requests.count_open(link)

    async def _merge_policies(self, link: Link, message: Policies) -> None:
        """Take newer policies, and pass them on to the other entries."""
        changed = self._policies.merge(message.parts)
        for parts in _split(self._policies.parts(changed)):
            await self._links.send_to_all(Policies(parts), but=link)


def _split(parts: Iterable[PolicyPart]) -> Iterator[tuple[PolicyPart, ...]]:
    """Cut into messages that stay far below the limit of a frame."""
    left = iter(parts)
    while piece := tuple(islice(left, PARTS_PER_MESSAGE)):
        yield piece
