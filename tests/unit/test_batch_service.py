"""The batch service of one or two entries, with a fake table and model agents."""

from __future__ import annotations

from dataclasses import replace

import curio
import orjson
import pytest

from pistachiodeal.batch import journal
from pistachiodeal.batch.keys import build_task_id
from pistachiodeal.exceptions import Outcome, RequestError, StoreUncertainError
from pistachiodeal.model.policies import Profile
from pistachiodeal.model.tasks import TaskState
from pistachiodeal.web.messages import WebRequest
from tests.unit.fake_batch import Agent, Entry, Session, settle
from tests.unit.fake_table import FakeTable, Fault
from tests.unit.fakes import Clock, FakeObjects

BODY = {"kind": "press", "team": "hall", "profile": "batch", "cpu_milli": 1000}


@pytest.fixture(autouse=True)
def _no_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(journal, "SETTLE_PAUSE_S", 0)


class BatchHarness:
    """A shared table and clock with entries and agents."""

    def __init__(self) -> None:
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.clock = Clock()
        self.agent = Agent("w1", self.clock)

    def entry(self, name: str, incarnation: int = 1) -> Entry:
        return Entry(name, self.table, self.objects, self.clock, incarnation)

    async def open(self, name: str) -> tuple[Entry, Session]:
        """Return an entry that owns all partitions, linked to the agent."""
        entry = self.entry(name)
        await self.round(entry)
        return entry, await self.connect(entry)

    async def round(self, *entries: Entry) -> None:
        for entry in entries:
            await entry.manager.run_once()
        await settle()

    async def connect(self, entry: Entry, agent: Agent | None = None) -> Session:
        session = Session(agent or self.agent, entry.gate)
        entry.service.session_opened(session)
        await self.report(entry, session)
        return session

    async def report(self, entry: Entry, session: Session) -> None:
        owned = {h.owner.partition for h in entry.manager.servers()}
        session.report = session.agent.report(owned)
        await entry.service.receive(session, session.report)
        await self.deliver(entry, session)

    async def deliver(self, entry: Entry, session: Session) -> None:
        await settle()
        messages, session.to_agent = session.to_agent, []
        for message in messages:
            for answer in session.agent.receive(message):
                await entry.service.receive(session, answer)
        await settle()

    async def place(self, entry: Entry, session: Session) -> None:
        await entry.placement_loop.run_once()
        await self.deliver(entry, session)

    async def finish(self, entry: Entry, session: Session, task_id: str) -> None:
        session.agent.end(task_id, "finished", "done")
        for ended in list(session.agent.ended.values()):
            await entry.service.receive(session, ended)
        await self.deliver(entry, session)


def post(key: str, **changes) -> WebRequest:
    body = orjson.dumps({**BODY, **changes})
    return WebRequest("POST", "/tasks", (("idempotency-key", key),), body)


async def submit(entry: Entry, key: str) -> str:
    """Submit a new task and return its id."""
    answer = await entry.service.handle(post(key))
    assert answer.status == 201
    task_id: str = orjson.loads(answer.body)["id"]
    return task_id


async def call(entry: Entry, method: str, task_id: str) -> dict:
    answer = await entry.service.handle(WebRequest(method, f"/tasks/{task_id}"))
    return {"status": answer.status, **orjson.loads(answer.body)}


def test_task_runs_once_and_its_key_is_known_afterwards():
    async def main():
        harness = BatchHarness()
        entry, session = await harness.open("a")
        task_id = await submit(entry, "k1")
        await harness.place(entry, session)
        assert harness.agent.started == [(task_id, 1)]
        await harness.finish(entry, session, task_id)
        assert not harness.agent.ended, "acknowledged"
        again = await entry.service.handle(post("k1"))
        document = orjson.loads(again.body)
        assert (again.status, document["state"]) == (200, "finished")
        assert document["result"] == "done"
        with pytest.raises(RequestError) as caught:
            await entry.service.handle(post("k1", cpu_milli=2000))
        assert caught.value.code == "key_reused"

    curio.run(main)


def test_profile_just_defined_through_another_entry_is_known():
    """A task is not refused with 422 because its profile was defined just now.

    Entries poll the profiles, so the owner of the task's partition may not know yet a
    profile that an operator has defined through another entry.
    """

    async def main():
        harness = BatchHarness()
        entry, _ = await harness.open("a")
        entry.newer_profiles["fresh"] = Profile(name="fresh")
        body = orjson.dumps({**BODY, "profile": "fresh"})
        answer = await entry.service.handle(WebRequest("POST", "/tasks", (), body))
        assert answer.status == 201
        body = orjson.dumps({**BODY, "profile": "nobody-knows"})
        with pytest.raises(RequestError, match="no profile"):
            await entry.service.handle(WebRequest("POST", "/tasks", (), body))

    curio.run(main)


def test_admission_with_a_lost_store_response_is_resolved():
    """A caller gets the true outcome although the store's response was lost.

    An append can take effect after its row was read back as absent, because the commit
    is still in flight. Its task used to be reported as not run and then ran.
    """

    async def main():
        harness = BatchHarness()
        entry = harness.entry("a")
        await harness.round(entry)
        for fault in (Fault.LOST, Fault.DROPPED, Fault.DELAYED):
            harness.table.faults.append(fault)
            answer = await entry.service.handle(post(f"key-{fault}"))
            assert answer.status == 201
            harness.table.land_delayed()
            task_id = build_task_id("hall", f"key-{fault}", 2)
            assert (await call(entry, "GET", task_id))["state"] == "queued"
        successor = harness.entry("a", incarnation=2)
        await harness.round(successor)
        for fault in (Fault.LOST, Fault.DROPPED, Fault.DELAYED):
            task_id = build_task_id("hall", f"key-{fault}", 2)
            assert (await call(successor, "GET", task_id))["state"] == "queued"

    curio.run(main)


def test_a_cancel_before_the_outcome_of_the_submission_is_known_counts():
    """Guards against a task that runs although its cancel was answered "no task"."""

    async def main():
        harness = BatchHarness()
        entry, session = await harness.open("a")
        entry.gate.freeze()
        task_id = build_task_id("hall", "k1", 2)
        submission = await curio.spawn(entry.service.handle, post("k1"))
        await settle()
        cancelling = await curio.spawn(call, entry, "DELETE", task_id)
        await settle()
        await entry.gate.thaw()
        answer = await cancelling.join()
        assert (answer["status"], answer["state"]) == (200, "cancelled")
        assert (await submission.join()).status == 201
        await harness.place(entry, session)
        assert not session.agent.runs
        assert (await call(entry, "GET", task_id))["state"] == "cancelled"

    curio.run(main)


def test_store_outage_means_not_run_immediately():
    async def main():
        harness = BatchHarness()
        entry = harness.entry("a")
        await harness.round(entry)
        harness.table.down = True
        with pytest.raises(RequestError) as caught:
            await entry.service.handle(post("k1"))
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.retry_after is not None
        harness.table.down = False
        answer = await entry.service.handle(post("k1"))
        assert answer.status == 201

    curio.run(main)


def test_fenced_owner_whose_row_is_in_a_snapshot_answers_unknown():
    """An owner that resumes after a freeze does not report a journaled task "not run".

    The owner is frozen after it sent a commit. A successor takes over, writes a
    snapshot and deletes the journal row. The missing row used to be treated as a write
    without effect, although the successor ran the task.
    """

    async def main():
        harness = BatchHarness()
        entry = harness.entry("a")
        await harness.round(entry)
        harness.table.faults.append(Fault.LOST)
        entry.gate.freeze()
        caller = await curio.spawn(entry.service.handle, post("k1"))
        await settle()
        entry.gate._open._set = True  # the commit is sent, its response is lost
        await entry.gate.thaw()
        await curio.sleep(0)
        await curio.sleep(0)
        entry.gate.freeze()
        await settle()
        task_id = build_task_id("hall", "k1", 2)
        successor = harness.entry("a", incarnation=2)
        await harness.round(successor)
        server = successor.server(task_id)
        assert server.state.find(task_id) is not None
        position = server._journal._position
        await server._snapshot_manager.write_snapshot(
            server.state, server._journal.seq, position
        )
        await entry.gate.thaw()
        with pytest.raises(curio.TaskError) as caught:
            await caller.join()
        assert caught.value.__cause__.outcome is Outcome.UNKNOWN

    curio.run(main)


def test_successor_waits_for_a_run_that_may_still_be_active():
    """A task on an unreachable worker starts elsewhere only after its lease expired.

    The task is placed on w1, the owner and the link to w1 are lost, and a successor
    takes over. Placing the task again before the lease of w1 had expired made it run
    on two workers.
    """

    async def main():
        harness = BatchHarness()
        first, session = await harness.open("a")
        task_id = await submit(first, "k1")
        await harness.place(first, session)
        second = harness.entry("a", incarnation=2)
        await harness.round(second)
        other = Agent("w2", harness.clock)
        link = await harness.connect(second, other)
        for _ in range(20):
            harness.clock.now += 2.0
            await harness.round(second)
            await harness.report(second, link)
            await harness.place(second, link)
            harness.agent.expire()
            assert not (harness.agent.runs and other.runs)
        assert other.started == []
        harness.clock.now += 30.0
        await harness.round(second)
        await harness.report(second, link)
        await harness.place(second, link)
        await harness.place(second, link)
        assert other.started == [(task_id, 2)]

    curio.run(main)


def test_stale_owner_does_not_acknowledge_unknown_tasks():
    """A replaced owner does not acknowledge the attempts of a later owner.

    While the owner is frozen, a successor admits and starts a task, which finishes. The
    agent reports the end to the old owner, which resumes. It used to acknowledge the
    unknown task as recorded long ago, and the finished task ran a second time.
    """

    async def main():
        harness = BatchHarness()
        old, stale = await harness.open("a")
        new = harness.entry("a", incarnation=2)
        await harness.round(new)
        session = await harness.connect(new)
        task_id = await submit(new, "k1")
        await harness.place(new, session)
        harness.agent.end(task_id, "finished", "done")
        for ended in list(harness.agent.ended.values()):
            await old.service.receive(stale, ended)
        await harness.deliver(old, stale)
        assert harness.agent.ended, "not acknowledged, kept for the current owner"
        assert old.server(task_id) is None, "has detected that it was replaced"

    curio.run(main)


def test_burst_of_cancels_shares_rows():
    """Many tasks cancelled at the same moment do not use up the table's write budget.

    Each cancellation used to write a row of its own.
    """

    async def main():
        harness = BatchHarness()
        entry, _ = await harness.open("a")
        ids = [await submit(entry, f"k{number}") for number in range(40)]
        before = harness.table.commits
        cancels = [await curio.spawn(call, entry, "DELETE", name) for name in ids]
        states = [(await cancel.join())["state"] for cancel in cancels]
        assert set(states) == {"cancelled"}
        partitions = entry.context.settings.batch.partitions
        # One row that is being written when the burst arrives, then one for the rest.
        assert harness.table.commits - before <= 2 * partitions

    curio.run(main)


def test_partitions_of_a_dead_entry_are_taken_over_in_several_rounds():
    """The survivors of a lost entry do not load all its partitions at once.

    An entry that owned all partitions dies. Another one used to take over every
    partition in the first round in which it saw that entry as dead.
    """

    async def main():
        harness = BatchHarness()
        owned = {"partitions": 64}
        dead = Entry("a", harness.table, harness.objects, harness.clock, **owned)
        for _ in range(64):
            await harness.round(dead)
        assert len(dead.manager.servers()) == 64
        successor = Entry("b", harness.table, harness.objects, harness.clock, **owned)
        await harness.round(successor)
        harness.clock.now += 60.0
        await harness.round(successor)
        first = len(successor.manager.servers())
        for _ in range(64):
            await harness.round(successor)
        assert 0 < first < 64
        assert len(successor.manager.servers()) == 64

    curio.run(main)


def test_cancel_and_finish_have_one_outcome():
    async def main():
        harness = BatchHarness()
        entry, session = await harness.open("a")
        ids = []
        for key in ("queued", "placed"):
            ids.append(await submit(entry, key))
            if key == "queued":
                document = await call(entry, "DELETE", ids[0])
                assert document["state"] == "cancelled"
        await harness.place(entry, session)
        assert harness.agent.started == [(ids[1], 1)], "the cancelled task never starts"
        harness.agent.end(ids[1], "finished", "done")
        canceller = await curio.spawn(call, entry, "DELETE", ids[1])
        await harness.deliver(entry, session)
        await harness.deliver(entry, session)
        document = await canceller.join()
        assert (document["status"], document["state"]) == (200, "finished")

    curio.run(main)


def test_handover_keeps_tasks_and_runs():
    async def main():
        harness = BatchHarness()
        first, second = harness.entry("a"), harness.entry("b")
        await harness.round(first)
        session = await harness.connect(first)
        ids = []
        for n in range(8):
            ids.append(await submit(first, f"k{n}"))
        await harness.place(first, session)
        started = list(harness.agent.started)
        await harness.round(second)
        await first.service.drain()
        await harness.round(second)
        link = await harness.connect(second)
        for _ in range(10):
            harness.clock.now += 1.0
            await harness.round(second)
            await harness.report(second, link)
        assert harness.agent.started == started, "kept running, not started again"
        states = {second.server(i).state.find(i).state for i in ids}
        assert states == {TaskState.PLACED, TaskState.QUEUED}

    curio.run(main)


def test_superseded_run_gets_no_lease():
    """A superseded run is stopped and not renewed together with current runs.

    A grant renews every run of the partition that the report named. When w1 was
    unreachable and its task was started elsewhere, w1 reported the old run beside a
    current one. The grant renewed both, and the task kept running on two workers.
    """

    async def main():
        harness = BatchHarness()
        entry, session = await harness.open("a")
        task_id = await submit(entry, "k1")
        await harness.place(entry, session)
        runs = entry.server(task_id).runs
        refs = session.agent.report({0, 1}).tasks
        grant, stops = runs.answer_report(session, refs)
        assert grant is not None
        assert not stops
        stale = replace(refs[0], task_id=f"{task_id[:5]}gone")
        grant, stops = runs.answer_report(session, (*refs, stale))
        assert grant is None
        assert [stop.task_id for stop in stops] == [stale.task_id]

    curio.run(main)


def test_entry_without_heartbeats_neither_places_nor_renews():
    """An owner that cannot send heartbeats stops before its successor starts.

    When the table was unavailable to one owner for the length of its lease, it
    continued as if it still owned its partitions and granted leases for partitions
    that another entry had taken over.
    """

    async def main():
        harness = BatchHarness()
        entry, session = await harness.open("a")
        for key in ("k1", "k2"):
            await entry.service.handle(post(key))
        await harness.place(entry, session)
        lease = next(iter(harness.agent.runs.values())).lease_until
        harness.clock.now += 10.0
        await harness.report(entry, session)
        assert next(iter(harness.agent.runs.values())).lease_until == lease
        with pytest.raises(RequestError) as caught:
            await entry.service.handle(post("k3"))
        assert caught.value.outcome is Outcome.NOT_RUN
        await harness.round(entry)
        await harness.report(entry, session)
        assert next(iter(harness.agent.runs.values())).lease_until > lease

    curio.run(main)


def test_task_with_a_pending_event_is_not_decided_twice():
    async def main():
        harness = BatchHarness()
        entry, session = await harness.open("a")
        task_id = await submit(entry, "k1")
        entry.gate.freeze()  # the table does not respond
        await entry.placement_loop.run_once()
        await entry.placement_loop.run_once()
        with pytest.raises(RequestError) as caught:
            await call(entry, "DELETE", task_id)
        assert caught.value.code == "in_progress"
        await entry.gate.thaw()
        await harness.deliver(entry, session)
        assert harness.agent.started == [(task_id, 1)]
        assert len(entry.server(task_id).state.placed) == 1

    curio.run(main)


def test_partitions_of_a_restarted_entry_find_an_owner():
    """A partition whose owner restarted moves to its preferred owner.

    e0 owns the partition and is restarted, and e1 is now preferred. The row of e0 keeps
    changing, so e1 considered the earlier process alive, and the partition stayed
    without an owner for ever.
    """

    async def main():
        harness = BatchHarness()
        first = harness.entry("e0")
        await harness.round(first)
        owned = {server.owner.partition for server in first.manager.servers()}
        first.gate.freeze()
        again, other = harness.entry("e0", incarnation=2), harness.entry("e1")
        for _ in range(15):
            harness.clock.now += 1.0
            await harness.round(other, again)
        held = [again.manager.list_serving(), other.manager.list_serving()]
        partitions = [server.owner.partition for servers in held for server in servers]
        assert sorted(partitions) == sorted(owned)
        assert all(held), "both hold partitions"

    curio.run(main)


def test_take_over_that_takes_effect_late_is_served_or_handed_over():
    """A partition whose row names a live entry is served by it or handed over.

    The take-over by e1 gets no response, e0 joins and becomes the preferred owner, and
    then the take-over takes effect and names e1. e0 saw a live owner and e1 left the
    partition to e0, so it stayed without an owner for ever.
    """

    async def main():
        harness = BatchHarness()
        first, other = harness.entry("e1"), harness.entry("e0")
        harness.table.faults.extend([Fault.NONE, Fault.DELAYED])
        with pytest.raises(StoreUncertainError):
            await first.manager.run_once()
        await other.context.membership.send_heartbeat({})
        harness.table.land_delayed()
        for _ in range(15):
            harness.clock.now += 1.0
            await harness.round(first, other)
        held = [*first.manager.list_serving(), *other.manager.list_serving()]
        assert sorted(server.owner.partition for server in held) == [0, 1]

    curio.run(main)
