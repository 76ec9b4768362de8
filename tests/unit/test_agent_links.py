"""Links of an agent: replaced, substituted and retired without losing answers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import curio
import pytest

from pistachiodeal.agent import links as links_module
from pistachiodeal.agent.directory import MergedDirectory
from pistachiodeal.agent.links import LinkManager
from pistachiodeal.agent.peers import DialBackoff
from pistachiodeal.config.agent import AgentSettings, RuntimeSettings
from pistachiodeal.exceptions import LinkClosedError, LinkSilentError
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.messages import Directory, EntryAddress, Goodbye, PartitionOwner
from pistachiodeal.wire.task_messages import TaskAck

ADDRESSES = {f"e{n}": f"127.0.0.1:{9000 + n}" for n in range(4)}
SETTINGS = AgentSettings(
    node="a1",
    worker="w1",
    data_centre="dc1",
    rack="k1",
    secret="s" * 16,
    entries=[ADDRESSES["e0"]],
    entry_links=1,
    runtime=RuntimeSettings(worker="127.0.0.1:1", objects="127.0.0.1:2"),
)


class FakeLink:
    def __init__(self, address: str) -> None:
        node = next(n for n, known in ADDRESSES.items() if known == address)
        self.peer = Identity("entry", node, 1, "dc1")
        self.sent: list[Any] = []
        self.inbox: curio.Queue = curio.Queue()
        self.closed = False

    async def send(self, message: Any) -> None:
        if self.closed:
            raise LinkClosedError()
        self.sent.append(message)

    async def receive(self) -> Any:
        message = await self.inbox.get()
        if isinstance(message, Exception):
            raise message
        return message


class Bench:
    """A link manager with this object as its network and its handler."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 10.0
        self.down: set[str] = set()
        self.opened: list[FakeLink] = []
        self.open_requests = 0
        self.partitions: set[int] = set()
        self.directory = MergedDirectory()
        self.manager = LinkManager(
            SETTINGS,
            Identity("agent", "a1", 1, "dc1"),
            self.directory,
            lambda: self.partitions,
            lambda: self.now,
        )
        self.manager.set_handler(self)
        monkeypatch.setattr(links_module, "dial_link", self._dial)
        monkeypatch.setattr(DialBackoff, "next_delay", lambda _: 0.0)

    @asynccontextmanager
    async def _dial(self, address: str, *_: Any) -> AsyncIterator[FakeLink]:
        if address in self.down:
            raise LinkClosedError(peer=address)
        link = FakeLink(address)
        self.opened.append(link)
        try:
            yield link
        finally:
            link.closed = True

    async def on_open(self, link: Any) -> None:
        pass

    async def receive(self, link: Any, message: Any) -> None:
        pass

    async def on_close(self, link: Any) -> None:
        pass

    def count_open(self, link: Any) -> int:
        return self.open_requests

    async def reconcile(self) -> None:
        await self.manager.reconcile()
        for _ in range(10):
            await curio.sleep(0)

    def note_entries(self, *nodes: str, owner: str = "") -> None:
        entries = tuple(EntryAddress(n, ADDRESSES[n], "dc1") for n in nodes)
        address = ADDRESSES.get(owner, "")
        owners = (PartitionOwner(7, 1, owner, address),)
        self.directory.update("e0", Directory(entries, owners))

    @property
    def nodes(self) -> list[str]:
        return [link.peer.node for link in self.manager.links]


def test_a_silent_link_is_replaced_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a target without requests although new connections work.

    A middlebox drops the state of the connection; the agent must open a new one
    without waiting for the old one.
    """

    async def main() -> None:
        bench = Bench(monkeypatch)
        await bench.reconcile()
        await bench.opened[0].inbox.put(LinkSilentError())
        await bench.reconcile()
        assert len(bench.opened) == 2
        assert bench.manager.links == [bench.opened[1]]

    curio.run(main)


def test_a_surplus_link_is_closed_after_its_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against outcomes ``unknown`` when entries are added or removed.

    The subset changes while a link that is no longer needed has open requests; the
    link must not close before they are answered.
    """

    async def main() -> None:
        bench = Bench(monkeypatch)
        await bench.reconcile()
        bench.note_entries("e1")
        bench.open_requests = 1
        await bench.reconcile()
        assert sorted(bench.nodes) == ["e0", "e1"]
        old = bench.opened[0]
        await bench.reconcile()
        assert old.sent == [Goodbye("other entries are nearer")]
        bench.now += 2.0
        await bench.reconcile()
        assert not old.closed
        bench.open_requests = 0
        await bench.reconcile()
        assert old.closed
        assert bench.nodes == ["e1"]

    curio.run(main)


def test_an_unreachable_entry_has_a_substitute_until_it_is_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        bench = Bench(monkeypatch)
        bench.note_entries("e1", "e2", "e3")
        first = next(iter(bench.manager.choose_addresses() - {ADDRESSES["e0"]}))
        bench.down = {first, ADDRESSES["e0"]}
        await bench.reconcile()
        await bench.reconcile()
        assert len(bench.nodes) == 1
        assert ADDRESSES[bench.nodes[0]] != first
        bench.down = set()
        for _ in range(3):
            await bench.reconcile()
            bench.now += 2.0
        assert [ADDRESSES[node] for node in bench.nodes] == [first]

    curio.run(main)


def test_without_any_link_entries_from_the_settings_are_dialled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an agent that never reconnects after a network partition.

    All entries are replaced during the partition; if the agent dials only entries of
    its last directory, it reaches none.
    """
    bench = Bench(monkeypatch)
    bench.note_entries("e1", "e2")
    assert ADDRESSES["e0"] in bench.manager.choose_addresses()


def test_owners_of_current_runs_are_linked_to(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        bench = Bench(monkeypatch)
        bench.note_entries("e0", owner="e3")
        await bench.reconcile()
        assert not await bench.manager.send_to_owner(7, TaskAck("t", 1))
        bench.partitions = {7}
        await bench.reconcile()
        assert sorted(bench.nodes) == ["e0", "e3"]
        assert await bench.manager.send_to_owner(7, TaskAck("t", 1))
        assert bench.opened[-1].sent == [TaskAck("t", 1)]
        bench.opened[-1].closed = True
        assert not await bench.manager.send_to_owner(7, TaskAck("t", 1))

    curio.run(main)


def test_backoff_grows_to_a_limit_with_jitter() -> None:
    limits: list[float] = []
    backoff = DialBackoff(lambda low, high: limits.append(high) or high)  # type: ignore
    for _ in range(9):
        backoff.next_delay()
    assert limits[:3] == [0.1, 0.2, 0.4]
    assert limits[-1] == 5.0
