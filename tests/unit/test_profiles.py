"""Operators' changes to profiles, and the policies in force on each process."""

import curio
import orjson
import pytest

from pistachiodeal.model.policies import Profile, ServicePolicy
from pistachiodeal.profiles.api import create_profile_api
from pistachiodeal.profiles.cache import create_policy_cache
from pistachiodeal.profiles.manager import create_profile_manager
from pistachiodeal.web.messages import WebRequest
from pistachiodeal.wire.messages import PolicyPart
from tests.unit.fake_table import FakeTable, Fault


class Operator:
    """Calls one entry's API."""

    def __init__(self, table):
        self.manager = create_profile_manager(table, 1.0)
        self.api = create_profile_api(table, self.manager)

    async def call(self, method, path, body=None, **headers):
        named = tuple((key.replace("_", "-"), text) for key, text in headers.items())
        data = b"" if body is None else orjson.dumps(body)
        request = WebRequest(method, f"/-/{path}", named, data)
        answer = await self.api.handle(request)
        return answer.status, orjson.loads(answer.body), answer.header("etag")


async def define(one: Operator) -> None:
    """Create counter (version 1) and archive (2); assign counter to orders (3)."""
    assert (await one.call("PUT", "profiles/counter", {"promised_ms": 100}))[0] == 201
    assert (await one.call("PUT", "profiles/archive", {}))[0] == 201
    assert (await one.call("PUT", "services/orders", {"profile": "counter"}))[0] == 201


def test_operators_changes():
    async def main():
        table = FakeTable()
        one, two = Operator(table), Operator(table)
        await define(one)
        status, shown, tag = await two.call("GET", "profiles/counter")
        assert (status, tag, shown["services"]) == (200, '"1"', ["orders"])
        assert (await two.call("PUT", "profiles/counter", {}))[0] == 428
        assert (await two.call("DELETE", "profiles/archive"))[0] == 428
        status, problem, _ = await two.call("DELETE", "profiles/counter", if_match=tag)
        assert (status, problem["code"]) == (409, "profile_in_use")
        revised = {"promised_ms": 50}
        for status in (200, 412):
            answer = await two.call("PUT", "profiles/counter", revised, if_match=tag)
            assert answer[0] == status
        assert two.manager.policy("orders").profile.promised_ms == 50
        assert two.manager.policy("orders").version == 4
        assert one.manager.policy("orders").version == 3
        await one.manager.refresh()
        assert one.manager.policy("orders") == two.manager.policy("orders")
        again = await one.call("PUT", "profiles/archive", {}, if_none_match="*")
        assert again[0] == 412
        assert (await one.call("PUT", "services/x", {"profile": "no"}))[0] == 404
        assert (await one.call("DELETE", "services/x"))[0] == 404
        assert (await one.call("POST", "profiles", {}))[0] == 405
        assert (await one.call("DELETE", "services/orders"))[0] == 200
        assert one.manager.policy("orders") is None
        # The document's version is accepted for every item in that document.
        assert (await one.call("DELETE", "profiles/counter", if_match='"5"'))[0] == 200
        assert [p["name"] for p in (await one.call("GET", "profiles"))[1]["profiles"]]

    curio.run(main)


def test_all_faults_of_a_body_are_reported_together():
    async def main():
        body = {"name": "b", "promised_ms": "200", "share": 0, "colour": 1}
        status, problem, _ = await Operator(FakeTable()).call("PUT", "profiles/a", body)
        assert (status, problem["code"], problem["outcome"]) == (
            422,
            "invalid",
            "not_run",
        )
        paths = sorted(one["path"] for one in problem["errors"])
        assert paths == ["colour", "name", "promised_ms", "share"]

    curio.run(main)


@pytest.mark.parametrize("fault", [Fault.LOST, Fault.DROPPED, Fault.DELAYED])
def test_change_in_force_is_never_reported_as_failed(fault):
    """Guards against answering 412 for a change that is in force.

    The commit's answer is lost, and another operator changes another item. The
    retry then conflicts with the operator's own change.
    """

    async def main():
        table = FakeTable()
        one, two = Operator(table), Operator(table)
        await define(one)
        table.faults.append(fault)
        async with curio.TaskGroup() as group:
            body = {"promised_ms": 7}
            await group.spawn(
                lambda: one.call("PUT", "profiles/counter", body, if_match='"1"')
            )
            await group.spawn(
                lambda: two.call("PUT", "profiles/archive", body, if_match='"2"')
            )
        table.land_delayed()
        assert [status for status, _, _ in group.results] == [200, 200]
        assert sorted(body["version"] for _, body, _ in group.results) == [4, 5]

    curio.run(main)


def test_outage_is_reported_with_the_right_outcome():
    async def main():
        table = FakeTable()
        one = Operator(table)
        await define(one)
        table.faults.append(Fault.REFUSED)
        status, problem, _ = await one.call("PUT", "profiles/new", {})
        assert (status, problem["outcome"]) == (503, "not_run")
        table.down = True
        status, problem, _ = await one.call("PUT", "profiles/new", {})
        assert (status, problem["outcome"]) == (503, "not_run")
        assert problem["retry_after_ms"]
        assert (await one.call("GET", "services"))[1]["stale"] is True
        assert (await Operator(table).call("GET", "services"))[0] == 503

    curio.run(main)


def test_entry_started_in_an_outage_learns_from_agents():
    """Guards against a restarted entry that serves an outdated profile.

    A change is accepted, the store goes down and an entry starts. Agents attach,
    one with an old version, one partitioned while a service was removed. The entry
    must not simply apply what it receives last.
    """

    async def main():
        table = FakeTable()
        one = Operator(table)
        await define(one)
        agent = create_policy_cache()
        agent.merge(one.manager.parts(["orders"]))
        old = agent.parts(["orders"])
        await one.call("PUT", "profiles/counter", {}, if_match='"1"')
        agent.merge(one.manager.parts(["orders"]))
        started = create_profile_manager(table, 1.0)
        changes = []
        started.on_change = changes.append
        assert started.merge(agent.parts(["orders"])) == {"orders"}
        assert started.merge(old) == set()
        assert started.policy("orders").version == 4
        assert started.profile("counter").promised_ms == 200
        assert changes == [{"orders"}]
        await one.call("DELETE", "services/orders")
        await started.refresh()
        assert started.merge(old) == set()
        assert started.policy("orders") is None
        assert agent.merge(started.parts(["orders"])) == {"orders"}
        assert agent.policy("orders") is None
        assert agent.merge(old) == set()
        # An entry that never knew the service reports it as removed, too.
        fresh = create_profile_manager(table, 1.0)
        await fresh.refresh()
        assert fresh.parts(["orders"]) == (PolicyPart("orders", 5, ""),)
        assert fresh.merge(old) == set()
        assert fresh.policy("orders") is None

    curio.run(main)


def test_cache_keeps_what_it_has_when_a_part_is_broken():
    cache = create_policy_cache(tombstone_limit=1)
    profile = Profile(name="a")
    cache.apply([ServicePolicy("s", 2, profile)])
    broken = [PolicyPart("s", 3, "[]"), PolicyPart("s", 4, '{"name":"a","share":0}')]
    assert cache.merge(broken) == set()
    newer = PolicyPart("s", 5, '{"name":"a","field_of_a_newer_program":1}')
    assert cache.merge([newer]) == {"s"}
    assert cache.parts(["s"]) == (newer,)
    cache.apply([ServicePolicy(name, 6, None) for name in "st"])
    assert (cache.version("s"), cache.version("t")) == (0, 6)
