"""Messages between an agent and entries: reports, policies and signals."""

from __future__ import annotations

import os
import signal
from types import SimpleNamespace
from typing import Any, cast

import curio
import pytest

from pistachiodeal.agent.app import open_agent
from pistachiodeal.agent.directory import MergedDirectory
from pistachiodeal.agent.dispatch import MessageDispatch
from pistachiodeal.agent.interference_exchange import InterferenceExchange
from pistachiodeal.agent.reporting import Reporter
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.model.resources import Resources
from pistachiodeal.profiles.cache import create_policy_cache
from pistachiodeal.signals import watch_signals
from pistachiodeal.wire.messages import (
    Directory,
    Evidence,
    PairEvidence,
    PartitionOwner,
    Policies,
    PolicyPart,
    Report,
)
from pistachiodeal.wire.task_messages import TaskRef

PROFILE = '{"name":"quotes"}'


class FakeTasks:
    """A task manager with one run in partition 7."""

    def __init__(self, log: list[Any]) -> None:
        self._log = log
        self.ledger = SimpleNamespace(capacity=Resources(1000, 1000))
        self.room = Resources(-200, 500)

    def record_beat(self, beat: int, sent_at: float) -> None:
        self._log.append((beat, sent_at))

    def list_refs(self, partitions: set[int]) -> tuple[TaskRef, ...]:
        return (TaskRef("t", 1, 4),) if 7 in partitions else ()


class FakeLinks:
    """Two links that record their messages in one log."""

    def __init__(self, log: list[Any]) -> None:
        self._log = log
        self.links = [self._build_link("e1"), self._build_link("e2")]

    def _build_link(self, node: str) -> Any:
        async def send(message: Any) -> None:
            self._log.append((node, message))

        return SimpleNamespace(peer=SimpleNamespace(node=node), send=send)

    async def send(self, link: Any, message: Any) -> bool:
        await link.send(message)
        return True

    async def send_to_all(self, message: Any, exclude: Any = None) -> None:
        for link in self.links:
            if link is not exclude:
                await link.send(message)


def create_reporter(log: list[Any], links: Any, now: float = 5.0) -> Reporter:
    directory = MergedDirectory()
    directory.update("e2", Directory((), (PartitionOwner(7, 4, "e2", "x"),)))
    return Reporter(
        0.5,
        tasks=cast(Any, FakeTasks(log)),
        list_loads=tuple,
        directory=directory,
        links=links,
        clock=lambda: now,
    )


def test_a_beat_is_recorded_before_it_is_sent() -> None:
    """Guards against a task that keeps running after its lease ended for its owner.

    If the time is recorded after sending, an agent that is suspended in between
    counts the lease from too late a time.
    """
    log: list[Any] = []
    curio.run(create_reporter(log, FakeLinks(log)).report)
    (beat, sent_at), *sent = log
    reports: list[Report] = [message for _, message in sent]
    assert sent_at == 5.0
    assert {report.beat for report in reports} == {beat}
    assert [report.tasks for report in reports] == [(), (TaskRef("t", 1, 4),)]
    assert reports[0].free == Resources(0, 500), "overcommitted is reported as 0"


def test_a_restarted_agent_uses_no_beat_again() -> None:
    """Guards against a lease extended by an old message of a suspended owner.

    If beats begin at 1 again after a restart, a late Start that answers an earlier
    beat matches a new one.
    """
    log: list[Any] = []
    earlier = create_reporter(log, FakeLinks([]), now=5.0)
    for _ in range(100):
        curio.run(earlier.report)
    curio.run(create_reporter(log, FakeLinks([]), now=5.1).report)
    beats = [beat for beat, _ in log]
    assert beats == sorted(set(beats))


def test_policies_are_sent_on_new_links_and_forwarded_once() -> None:
    """Guards against an entry that serves an older profile than the one in force.

    An entry that starts while the table is down can get the newest profile only
    from agents, so agents have to forward policies.
    """

    async def main() -> None:
        log: list[Any] = []
        links = FakeLinks(log)
        dispatch = MessageDispatch(
            requests=cast(Any, None),
            tasks=cast(Any, None),
            directory=MergedDirectory(),
            links=cast(Any, links),
            policies=create_policy_cache(),
            interference_exchange=cast(Any, None),
            reporter=create_reporter([], links),
            metrics=cast(Any, None),
        )
        first, second = links.links
        new = Policies((PolicyPart("orders", 5, PROFILE),))
        old = Policies((PolicyPart("orders", 4, PROFILE),))
        await dispatch.receive(first, new)
        await dispatch.receive(second, new)
        await dispatch.receive(second, old)
        assert log == [("e2", new)]
        await dispatch.on_open(first)
        assert log[1] == ("e1", new)

    curio.run(main)


def test_evidence_that_could_not_be_sent_is_kept() -> None:
    pair = PairEvidence("orders", "plan", 100, 1000)
    news = [(pair,), (), ()]
    sent: list[Any] = []

    async def send(message: Any) -> bool:
        sent.append(message)
        return len(sent) > 1

    async def main() -> None:
        model = cast(Any, SimpleNamespace(drain_measurements=lambda: news.pop(0)))
        exchange = InterferenceExchange(model, send)
        for _ in range(3):
            await exchange.send()

    curio.run(main)
    assert sent == [Evidence((pair,))] * 2


@pytest.mark.parametrize("signals", [1, 2])
def test_signals_end_an_agent_whose_worker_is_away(signals: int) -> None:
    settings = AgentSettings.model_validate(
        {
            "node": "a1",
            "worker": "w1",
            "data_centre": "dc1",
            "rack": "k1",
            "secret": "s" * 16,
            "entries": ["127.0.0.1:1"],
            "announce": {"port": 0},
            "runtime": {"worker": "127.0.0.1:1", "objects": "127.0.0.1:1"},
            "drain_s": 0.0 if signals == 1 else 60.0,
        }
    )

    async def main() -> int:
        with watch_signals() as watch:
            async with open_agent(settings) as app:
                assert app.port > 0
                for _ in range(signals):
                    os.kill(os.getpid(), signal.SIGTERM)
                return await app.run(watch)

    assert curio.run(main) == signals - 1
