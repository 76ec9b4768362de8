"""Runners: announcement, reservation on the worker, expiry and removal."""

from __future__ import annotations

from typing import Any, cast

import curio
import orjson
import pytest

from pistachiodeal.agent.announce import AnnounceApi
from pistachiodeal.agent.ledger import create_ledger
from pistachiodeal.agent.runners import AnnouncedRunner, Runner, RunnerTable
from pistachiodeal.exceptions import RequestError
from pistachiodeal.model.resources import Resources
from pistachiodeal.web.messages import WebRequest, WebResponse

GOOD = {
    "service": "orders",
    "address": "127.0.0.1:9000",
    "slots": 8,
    "cpu_milli": 4000,
    "memory_mib": 1000,
}


class FakeClient:
    async def close(self) -> None:
        pass


class Bench:
    """A runner table behind its HTTP API, with a fake clock."""

    def __init__(self) -> None:
        self.now = 50.0
        self.ledger = create_ledger(Resources(10_000, 10_000))
        self.table = RunnerTable(
            3.0, lambda: self.now, lambda announcement: cast(Any, FakeClient())
        )
        self.table.on_change = self._note
        self.changed: list[Runner] = []
        self._api = AnnounceApi(self.table, 3.0, dict)

    async def _note(self, runner: Runner) -> None:
        self.changed.append(runner)

    def open(self) -> None:
        self.table.set_ledger(self.ledger)

    def call(self, method: str, name: str, body: Any = None) -> WebResponse:
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        request = WebRequest(method, f"/runners/{name}", (), data)
        return curio.run(self._api.handle, request)

    def announce(self, name: str = "r1", **changes: Any) -> int:
        try:
            return self.call("PUT", name, {**GOOD, **changes}).status
        except RequestError as error:
            return error.status

    def get_runner(self) -> Runner:
        return self.table.list_runners("orders")[0]


def test_announcements_reserve_room_until_the_runner_is_gone() -> None:
    bench = Bench()
    assert bench.announce() == 503, "the worker's runs are not counted yet"
    bench.open()
    assert [bench.announce(), bench.announce()] == [201, 200]
    assert bench.ledger.free == Resources(6000, 9000)
    assert bench.announce("r2", cpu_milli=7000) == 409
    assert bench.call("DELETE", "r1").status == 204
    assert bench.ledger.free == bench.ledger.capacity
    assert bench.table.services == ()


def test_a_leaving_runner_keeps_its_room_while_it_works() -> None:
    """Guards against an overcommitted worker while a runner stops.

    A runner is removed with requests open, then a task is placed. The runner's
    reservation must last until its last answer.
    """
    bench = Bench()
    bench.open()
    bench.announce()
    runner = bench.get_runner()
    runner.busy = 1
    bench.call("DELETE", "r1")
    assert bench.ledger.free == Resources(6000, 9000)
    runner.busy = 0
    curio.run(bench.table.retire_if_idle, runner)
    assert bench.ledger.free == bench.ledger.capacity


def test_a_replaced_runner_does_not_give_its_successors_room_back() -> None:
    """Guards against a ledger that shows resources of a running runner as free.

    A runner restarts under the same name at another port, then the last request of
    the old one ends. Both share a reservation by name, which must not be released.
    """
    bench = Bench()
    bench.open()
    bench.announce()
    old = bench.get_runner()
    old.busy = 1
    assert bench.announce(address="127.0.0.1:9001", cpu_milli=6000) == 201
    assert old.gone
    old.busy = 0
    curio.run(bench.table.retire_if_idle, old)
    assert bench.ledger.free == Resources(4000, 9000)
    assert bench.get_runner().announcement.address == "127.0.0.1:9001"


def test_a_runner_that_outgrows_the_worker_stays_as_it_was() -> None:
    bench = Bench()
    bench.open()
    bench.announce()
    assert bench.announce(cpu_milli=11_000) == 409
    assert bench.ledger.free == Resources(6000, 9000)
    assert bench.get_runner().announcement.size.cpu_milli == 4000


def test_runners_expire_but_not_through_a_suspension_of_the_agent() -> None:
    """Guards against requests refused for a second after the agent was suspended.

    If the suspension is longer than the expiry of announcements, those that wait
    unread in the sockets seem to be missing.
    """
    bench = Bench()
    bench.open()
    bench.announce()
    bench.now += 30.0
    curio.run(bench.table.sweep)
    assert bench.table.services == ("orders",)
    for _ in range(8):
        bench.now += 0.5
        curio.run(bench.table.sweep)
    assert bench.table.services == ()
    assert bench.ledger.free == bench.ledger.capacity
    assert bench.changed[-1].gone


def test_a_runner_that_was_replaced_during_a_sweep_stays() -> None:
    """Guards against a runner that gets no requests until it announces itself again.

    Two announcements have expired. While the first is being removed, the second runner
    announces itself with another address.
    """
    bench = Bench()
    bench.open()
    bench.announce("a", cpu_milli=1000)
    bench.announce("b", cpu_milli=1000)
    moved = AnnouncedRunner("b", "orders", "127.0.0.1:9001", 8, Resources(1000, 1000))

    async def replace_second(runner: Runner) -> None:
        if runner.gone and runner.announcement.name == "a":
            await bench.table.announce(moved)

    bench.table.on_change = replace_second
    for _ in range(8):
        bench.now += 0.5
        curio.run(bench.table.sweep)
    assert [one.announcement for one in bench.table.list_runners("orders")] == [moved]


@pytest.mark.parametrize(
    ("name", "body", "words"),
    [
        ("r1", b"{", ["JSON"]),
        ("r1", b"[]", ["object"]),
        ("r 1", GOOD, ["name"]),
        ("r1", {**GOOD, "slots": 0, "mem": 1}, ["slots", "mem"]),
        ("r1", {**GOOD, "address": "300.0.0.1:80"}, ["address"]),
        ("r1", {**GOOD, "address": "127.0.0.1:0"}, ["address"]),
    ],
)
def test_bad_announcements_name_every_fault(
    name: str, body: Any, words: list[str]
) -> None:
    bench = Bench()
    bench.open()
    with pytest.raises(RequestError) as caught:
        bench.call("PUT", name, body)
    assert (caught.value.status, caught.value.code) == (400, "bad_announcement")
    assert all(word in caught.value.detail for word in words)


def test_other_calls_are_refused() -> None:
    bench = Bench()
    for method, status in (("POST", 405), ("DELETE", 404)):
        with pytest.raises(RequestError) as caught:
            bench.call(method, "r1")
        assert caught.value.status == status
