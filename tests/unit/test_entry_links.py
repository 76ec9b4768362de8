"""The link server, with agents and entries over loopback."""

from contextlib import asynccontextmanager

import curio

from pistachiodeal.entry.interference import create_interference_relay
from pistachiodeal.entry.links import (
    HELPER_RETRY_S,
    LinkServer,
    LinkServerComponents,
)
from pistachiodeal.entry.pushing import Pusher
from pistachiodeal.entry.sessions import create_session_table
from pistachiodeal.entry.targets import create_target_table
from pistachiodeal.metrics import MemoryMetrics
from pistachiodeal.model.resources import Resources
from pistachiodeal.web.listener import bind_listener
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.link import LinkTimings
from pistachiodeal.wire.messages import (
    Directory,
    Evidence,
    Goodbye,
    PairEvidence,
    Policies,
    PolicyPart,
    Report,
    Request,
    Response,
    ServiceLoad,
)
from pistachiodeal.wire.opening import dial_link
from pistachiodeal.wire.task_messages import TaskEnded

SECRET = "a secret of the tests"
TIMINGS = LinkTimings(ping_s=5.0, silent_s=30.0, handshake_s=10.0)
SIZE = Resources()


class FakeBatch:
    """Records its calls; with ``gate`` set, ``receive`` blocks until it opens."""

    def __init__(self):
        self.events = []
        self.gate = None

    def session_opened(self, session):
        self.events.append(("opened", session.incarnation))

    def session_closed(self, session):
        self.events.append(("closed", session.incarnation))

    async def receive(self, session, message):
        if self.gate:
            await self.gate.wait()
        self.events.append(type(message).__name__)

    async def handle_forwarded(self, request):
        return Response(request.request_id, 201, (), request.body)

    def directory(self):
        return Directory((), ())


class FakeProfiles:
    def __init__(self):
        self.merged = []

    def merge(self, parts):
        self.merged.extend(parts)
        return set()

    def parts(self, services):
        return tuple(PolicyPart(service, 3, "{}") for service in services)


class LinkHarness:
    """A link server on an ephemeral loopback port."""

    def __init__(self):
        self.batch = FakeBatch()
        self.profiles = FakeProfiles()
        self.sessions = create_session_table()
        self.targets = create_target_table()
        self.metrics = MemoryMetrics()
        self.listener = bind_listener("127.0.0.1", 0)
        evidence = create_interference_relay()
        self.pusher = Pusher(
            self.sessions, self.profiles, evidence, self.batch.directory
        )
        components = LinkServerComponents(
            identity=Identity("entry", "e1", 1, "dc1"),
            secret=SECRET,
            timings=TIMINGS,
            sessions=self.sessions,
            targets=self.targets,
            batch=self.batch,
            profiles=self.profiles,
            pusher=self.pusher,
            evidence=evidence,
            metrics=self.metrics,
        )
        self.server = LinkServer(self.listener, components)
        self.address = f"127.0.0.1:{self.server.port}"

    def dial(self, node="a1", role="agent", incarnation=7):
        identity = Identity(role, node, incarnation, "dc1", "w1", "r1")
        return dial_link(self.address, identity, SECRET, TIMINGS)


@asynccontextmanager
async def run_harness():
    harness = LinkHarness()
    task = await curio.spawn(harness.server.run)
    try:
        yield harness
    finally:
        await task.cancel()
        harness.listener.close()


def build_report(*services, draining=False):
    loads = tuple(ServiceLoad(service, 8, 0, 0, 1000) for service in services)
    return Report(1, draining, SIZE, SIZE, loads, ())


async def receive(link, kind):
    while True:
        message = await link.receive()
        if isinstance(message, kind):
            return message


async def wait_until(condition):
    while not condition():
        await curio.sleep(0)


def test_agent_gets_directory_and_policies_and_becomes_a_target():
    async def main():
        async with run_harness() as harness, harness.dial() as link:
            await receive(link, Directory)
            await link.send(build_report("orders"))
            policies = await receive(link, Policies)
            assert policies.parts == (PolicyPart("orders", 3, "{}"),)
            assert [one.node for one in harness.targets.find("orders")] == ["a1"]
            await link.send(build_report())
            await wait_until(lambda: not harness.targets.find("orders"))

    curio.run(main)


def test_draining_or_disconnected_agent_is_not_a_target():
    """Guards against sending requests to an agent that is gone.

    A report makes the agent a target; then it sends a goodbye, or its link closes.
    Either must remove it from the table.
    """

    async def main():
        async with run_harness() as harness:
            async with harness.dial() as link:
                await link.send(build_report("orders"))
                await wait_until(lambda: harness.targets.find("orders"))
                await link.send(Goodbye("leaving"))
                await link.send(build_report("orders"))
                await wait_until(lambda: harness.batch.events.count("Report") == 2)
                assert not harness.targets.find("orders")
            await wait_until(lambda: len(harness.sessions) == 0)
            async with harness.dial() as link:
                await link.send(build_report("orders"))
                await wait_until(lambda: harness.targets.find("orders"))
            await wait_until(lambda: not harness.targets.find("orders"))

    curio.run(main)


def test_replaced_link_still_delivers_answers():
    """Guards against failing a request that its runner answered.

    An agent opens a new link while a request is open, and the answer arrives on the
    older one, which must stay open until then.
    """

    async def main():
        async with run_harness() as harness, harness.dial() as older:
            await wait_until(lambda: harness.sessions.get("a1"))
            first = harness.sessions.get("a1")
            pending = first.open_request()
            async with harness.dial() as newer:
                await wait_until(lambda: harness.sessions.get("a1") is not first)
                await harness.pusher.push_once()
                response = Response(pending.request_id, 200, (), b"whole")
                await older.send(response)
                assert await pending.wait() == response
                await harness.pusher.push_once()
                await wait_until(lambda: first.closed)
                await newer.send(build_report("orders"))
                await wait_until(lambda: harness.targets.find("orders"))
            await wait_until(lambda: len(harness.sessions) == 0)
            names = [event[0] for event in harness.batch.events if event != "Report"]
            assert names == ["opened", "closed", "opened", "closed"]

    curio.run(main)


def test_slow_table_does_not_delay_answers():
    """Guards against interactive latency that follows the table's latency.

    An agent reports the end of a task, and an answer follows on the same link. The
    task that reads the link must not wait until the end of the task is journaled.
    """

    async def main():
        async with run_harness() as harness, harness.dial() as link:
            harness.batch.gate = curio.Event()
            await wait_until(lambda: harness.sessions.get("a1"))
            pending = harness.sessions.get("a1").open_request()
            await link.send(TaskEnded("t", 1, "finished", "", "", SIZE, 5))
            await link.send(Response(pending.request_id, 200, (), b""))
            assert (await pending.wait()).status == 200
            await harness.batch.gate.set()
            await wait_until(lambda: "TaskEnded" in harness.batch.events)

    curio.run(main)


def test_lost_link_resolves_open_requests_and_late_answers_are_counted():
    async def main():
        async with run_harness() as harness:
            async with harness.dial() as link:
                await wait_until(lambda: harness.sessions.get("a1"))
                pending = harness.sessions.get("a1").open_request()
                await link.send(Response(99, 200, (), b""))
                await wait_until(
                    lambda: harness.metrics.counts().get("entry.late_answers")
                )
            assert (await pending.wait()).peer == "a1"

    curio.run(main)


def test_garbage_on_the_internal_port_does_not_affect_other_links():
    async def main():
        async with run_harness() as harness, harness.dial() as link:
            sock = await curio.open_connection("127.0.0.1", harness.server.port)
            await sock.sendall(b"GET / HTTP/1.1\r\n\r\n" * 10)
            while await sock.recv(4096):
                pass
            await sock.close()
            await link.send(build_report("orders"))
            await wait_until(lambda: harness.targets.find("orders"))

    curio.run(main)


def test_forwarded_requests_of_another_entry_are_answered():
    async def main():
        async with run_harness() as harness, harness.dial("e2", "entry") as link:
            for number, service in ((1, "@tasks"), (2, "orders")):
                await link.send(
                    Request(number, service, "c", "POST", "/tasks", (), b"t", 1000)
                )
            answers = {(await link.receive()).request_id for _ in range(2)}
            assert answers == {1, 2}
            assert len(harness.sessions) == 0

    curio.run(main)


def test_evidence_is_not_returned_to_its_sender():
    """Guards against one early measurement that outweighs all later ones.

    If the relay didn't record the sender of evidence, an agent would get its own
    evidence back, count it again and send it again.
    """
    relay = create_interference_relay(clock=lambda: 0.0)
    pair = PairEvidence("orders", "noisy", 3000, 2000)
    relay.accept("a1", Evidence((pair,)))
    relay.accept("a2", Evidence((pair,)))
    assert relay.build_for("a1") == Evidence((pair,))
    assert relay.build_for("a3").pairs[0].weight_milli == 4000
    relay.end_round()
    assert relay.build_for("a1") is None
    assert relay.build_initial("a4", 1).pairs[0].weight_milli == 4000
    assert relay.build_initial("a4", 1) is None


def test_a_helper_that_keeps_failing_uses_no_whole_core():
    """Guards against one link's error that starves all other tasks of the entry."""
    calls = 0

    async def fail():
        nonlocal calls
        calls += 1
        raise RuntimeError("again")

    async def main():
        async with run_harness() as harness:
            helper = await curio.spawn(harness.server._run_helper, fail)
            await curio.sleep(2.5 * HELPER_RETRY_S)
            await helper.cancel()

    curio.run(main)
    assert 2 <= calls <= 4
