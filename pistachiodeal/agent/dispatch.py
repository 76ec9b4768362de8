"""Dispatches the messages that arrive on an agent's links."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import islice

import logbook

from pistachiodeal.agent.directory import MergedDirectory
from pistachiodeal.agent.interference_exchange import InterferenceExchange
from pistachiodeal.agent.links import LinkManager
from pistachiodeal.agent.reporting import Reporter
from pistachiodeal.agent.requests import RequestHandler
from pistachiodeal.agent.tasks import TaskManager
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
    """Passes each message of a link to the component that handles it."""

    def __init__(
        self,
        *,
        requests: RequestHandler,
        tasks: TaskManager,
        directory: MergedDirectory,
        links: LinkManager,
        policies: PolicyCache,
        interference_exchange: InterferenceExchange,
        reporter: Reporter,
        metrics: Metrics,
    ) -> None:
        self._requests = requests
        self._tasks = tasks
        self._directory = directory
        self._links = links
        self._policies = policies
        self._interference_exchange = interference_exchange
        self._reporter = reporter
        self._metrics = metrics

    async def on_open(self, link: Link) -> None:
        """Send the policies and a first report on a new link.

        An entry that started during a store outage gets the policies only from
        agents.
        """
        for parts in _split(self._policies.all_parts()):
            await link.send(Policies(parts))
        await self._reporter.send_first_report(link)

    async def receive(self, link: Link, message: Message) -> None:
        """Handle a message; blocks only while a link's send buffer is full."""
        if isinstance(message, Request):
            await self._requests.handle(link, message)
        elif isinstance(message, Withdraw):
            await self._requests.withdraw(link, message.request_id)
        elif isinstance(message, Start | Stop | Renew | TaskAck):
            await self._tasks.receive(message)
        elif isinstance(message, Directory):
            self._directory.update(link.peer.node, message)
            await self._links.handle_directory_change()
        elif isinstance(message, Policies):
            await self._merge_policies(link, message)
        elif isinstance(message, Evidence):
            self._interference_exchange.receive(message)
        elif isinstance(message, Goodbye):
            await self._links.handle_goodbye(link)
        else:
            self._metrics.count("agent.messages.unexpected")

    async def on_close(self, link: Link) -> None:
        """Drop the waiting requests of a closed link, and its entry's directory."""
        await self._requests.close_origin(link)
        node = link.peer.node
        if all(other.peer.node != node for other in self._links.links):
            self._directory.remove_source(node)

    def count_open(self, link: Link) -> int:
        """Return the number of unanswered requests of the link."""
        return self._requests.count_open(link)

    async def _merge_policies(self, link: Link, message: Policies) -> None:
        """Apply newer policies, and forward them to the other entries."""
        changed = self._policies.merge(message.parts)
        for parts in _split(self._policies.parts(changed)):
            await self._links.send_to_all(Policies(parts), exclude=link)


def _split(parts: Iterable[PolicyPart]) -> Iterator[tuple[PolicyPart, ...]]:
    """Split parts into messages that stay far below the frame size limit."""
    left = iter(parts)
    while piece := tuple(islice(left, PARTS_PER_MESSAGE)):
        yield piece
