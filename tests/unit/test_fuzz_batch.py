"""Ownership, leases and take-overs under faults, freezes and lost messages."""

from __future__ import annotations

import curio
import orjson
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from pistachiodeal.batch import journal
from pistachiodeal.batch.keys import build_task_id
from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.model.tasks import TaskState
from pistachiodeal.web.messages import WebRequest
from tests.unit.fake_batch import (
    LEASE_S,
    Agent,
    Entry,
    Session,
    settle,
)
from tests.unit.fake_table import FakeTable, Fault
from tests.unit.fakes import Clock, FakeObjects

BODY = orjson.dumps(
    {"kind": "press", "team": "hall", "profile": "batch", "cpu_milli": 1000}
)
LIMITS = {"owner_lease_s": 6.0, "margin_s": 1.0, "partitions": 1}
MAX_TASKS = 8
INDEX = st.integers(0, 1)
FAULTS = [Fault.NONE, Fault.LOST, Fault.DROPPED, Fault.DELAYED, Fault.REFUSED]
FAULT = st.sampled_from(FAULTS)


class BatchMachine(RuleBasedStateMachine):
    """Two entries and two workers; a fault may interrupt any step."""

    def __init__(self) -> None:
        super().__init__()
        self.kernel = curio.Kernel()
        self.clock = Clock()
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.agents = [Agent("w1", self.clock), Agent("w2", self.clock)]
        self.entries = [self.create_entry(i, 1) for i in (0, 1)]
        self.incarnation = 1
        self.links: dict[tuple[int, int], Session] = {}
        self.callers: dict[str, curio.Task] = {}
        self.keys = 0
        self.admitted: set[str] = set()
        self.refused: set[str] = set()
        self.results: dict[str, list[str]] = {}
        self.unreachable: set[int] = set()

    def create_entry(self, index: int, incarnation: int) -> Entry:
        return Entry(
            f"e{index}",
            self.table,
            self.objects,
            self.clock,
            incarnation,
            **LIMITS,
        )

    def drive(self, main, *args) -> None:
        async def step() -> None:
            await curio.spawn(self.guard, main, *args, daemon=True)
            await settle()

        self.kernel.run(step)

    async def guard(self, main, *args) -> None:
        try:
            await main(*args)
        except Exception as error:
            if "store" not in getattr(error, "code", ""):
                self.crash = error

    crash: Exception | None = None

    # -- rules

    @initialize()
    def begin(self) -> None:
        """Let tasks run before the first fault."""
        self.submit_and_work()

    @rule()
    def submit_and_work(self) -> None:
        for entry in (0, 1):
            self.round(entry)
            self.submit(entry)
            self.work(entry)

    @rule(entry=INDEX)
    def work(self, entry: int) -> None:
        """Run the periodic work, so that later steps find active runs."""
        self.round(entry)
        for agent in (0, 1):
            self.report(entry, agent)
        self.place(entry)
        for agent in (0, 1):
            self.deliver(entry, agent)

    @rule(agent=INDEX)
    def cut_worker(self, agent: int) -> None:
        """Cut all links of a worker, which keeps running."""
        self.unreachable = {agent}
        for entry in (0, 1):
            self.cut_link(entry, agent)

    @rule()
    def reconnect(self) -> None:
        self.unreachable = set()

    @rule(entry=INDEX)
    def round(self, entry: int) -> None:
        target = self.entries[entry]
        if not target.gate.frozen:
            self.drive(self.run_once, target)

    async def run_once(self, entry: Entry) -> None:
        if not entry.manager._round_lock.locked():
            async with entry.manager._round_lock:
                await entry.manager.run_once()

    @rule(entry=INDEX, fault=FAULT)
    def place(self, entry: int, fault: Fault = Fault.NONE) -> None:
        if not self.entries[entry].gate.frozen:
            self.table.faults.appendleft(fault)
            self.drive(self.entries[entry].placement_loop.run_once)

    @rule(entry=INDEX, fault=FAULT)
    def submit(self, entry: int, fault: Fault = Fault.NONE) -> None:
        if self.entries[entry].gate.frozen or self.keys >= MAX_TASKS:
            return
        self.table.faults.appendleft(fault)
        self.keys += 1
        key = f"k{self.keys}"
        self.drive(self.call_submit, self.entries[entry], key)

    async def call_submit(self, entry: Entry, key: str) -> None:
        request = WebRequest("POST", "/tasks", (("idempotency-key", key),), BODY)
        task_id = ""
        try:
            answer = await entry.service._api.handle(request, forward=False)
            task_id = orjson.loads(answer.body)["id"]
            self.admitted.add(task_id)
        except RequestError as error:
            if error.outcome is Outcome.NOT_RUN:
                self.refused.add(key)

    @rule(entry=INDEX, agent=INDEX)
    def report(self, entry: int, agent: int) -> None:
        if agent in self.unreachable:
            return
        target = self.entries[entry]
        session = self.links.get((entry, agent))
        if session is None or session.closed:
            session = Session(self.agents[agent], target.gate)
            self.links[entry, agent] = session
            target.service.session_opened(session)
        owned = {server.owner.partition for server in target.manager.servers()}
        session.report = session.agent.report(owned)
        # A frozen entry reads the report once it is thawed.
        self.drive(self.receive, target, session, session.report)

    async def receive(self, entry: Entry, session: Session, message) -> None:
        await entry.gate.wait()
        await entry.service.receive(session, message)

    @rule(entry=INDEX, agent=INDEX)
    def deliver(self, entry: int, agent: int) -> None:
        session = self.links.get((entry, agent))
        if session is None or session.closed:
            return
        messages, session.to_agent = session.to_agent, []
        for message in messages:
            for answer in session.agent.receive(message):
                self.drive(self.receive, self.entries[entry], session, answer)

    @rule(entry=INDEX, agent=INDEX, fault=FAULT)
    def repeat_ends(self, entry: int, agent: int, fault: Fault = Fault.NONE) -> None:
        session = self.links.get((entry, agent))
        if session is None or session.closed:
            return
        self.table.faults.appendleft(fault)
        for ended in list(session.agent.ended.values()):
            self.drive(self.receive, self.entries[entry], session, ended)

    @rule(entry=INDEX, agent=INDEX)
    def cut_link(self, entry: int, agent: int) -> None:
        session = self.links.pop((entry, agent), None)
        if session is not None:
            session.closed = True
            self.entries[entry].service.session_closed(session)

    @rule(agent=INDEX, state=st.sampled_from(["finished", "failed", "stopped"]))
    def end_run(self, agent: int, state: str) -> None:
        worker = self.agents[agent]
        worker.expire()
        for task_id, run in list(worker.runs.items())[:1]:
            result = f"{task_id}/{run.start.attempt}"
            if state == "finished":
                self.results.setdefault(task_id, []).append(result)
            worker.end(task_id, state, result)

    @rule(seconds=st.sampled_from([0.5, 2.0, 4.0, 10.0, LEASE_S + 10.0]))
    def advance(self, seconds: float) -> None:
        self.clock.now += seconds

    @rule(faults=st.lists(FAULT, max_size=4))
    def disturb(self, faults: list[Fault]) -> None:
        self.table.faults.extend(faults)

    @rule()
    def land(self) -> None:
        self.table.land_delayed()

    @rule(entry=INDEX)
    def freeze(self, entry: int) -> None:
        self.entries[entry].gate.freeze()

    @rule(entry=INDEX)
    def thaw(self, entry: int) -> None:
        self.drive(self.entries[entry].gate.thaw)

    @precondition(lambda self: self.incarnation < 4)
    @rule(entry=INDEX)
    def replace(self, entry: int) -> None:
        """Kill an entry: it stays frozen, and a new process replaces it."""
        self.entries[entry].gate.freeze()
        for agent in (0, 1):
            self.cut_link(entry, agent)
        self.incarnation += 1
        self.entries[entry] = self.create_entry(entry, self.incarnation)

    # -- invariants

    @invariant()
    def one_place_at_a_time(self) -> None:
        for agent in self.agents:
            agent.expire()
        first, second = (set(agent.runs) for agent in self.agents)
        assert not first & second

    @invariant()
    def nothing_crashed(self) -> None:
        if self.crash is not None:
            raise self.crash

    def teardown(self) -> None:
        try:
            self.heal()
            self.check_end()
        finally:
            self.kernel.run(shutdown=True)

    def heal(self) -> None:
        """Remove all faults and let all tasks end."""
        self.table.faults.clear()
        self.table.land_delayed()
        self.reconnect()
        for index in (0, 1):
            self.thaw(index)
        for step in range(60):
            self.clock.now += 2.0
            for index in (0, 1):
                self.round(index)
                for agent in (0, 1):
                    self.report(index, agent)
                self.place(index)
                for agent in (0, 1):
                    self.deliver(index, agent)
                    self.repeat_ends(index, agent)
                    self.deliver(index, agent)
            self.one_place_at_a_time()
            if step % 3 == 2:
                self.end_run(0, "finished")
                self.end_run(1, "finished")
        self.nothing_crashed()

    def check_end(self) -> None:
        records = {}
        for entry in self.entries:
            for server in entry.manager.list_serving():
                records |= server.state._records
        assert self.admitted <= set(records), "a task was lost"
        refused = {build_task_id("hall", key, 1) for key in self.refused}
        assert not refused & set(records), "a task that was reported as not run exists"
        for task_id, record in records.items():
            assert record.state.final, f"{task_id} is {record.state}"
            if record.state is TaskState.FINISHED:
                self.check_results(task_id, record.result)
        for agent in self.agents:
            assert not agent.ended, "the end of a run was never acknowledged"

    def check_results(self, task_id: str, recorded: str) -> None:
        """Compare the results of the workers with the rows of the journal.

        A worker that is unreachable for longer than the lease may have finished a task
        that is then started again elsewhere. Only in this case a second result may
        exist, and exactly one result is recorded.
        """
        events = [
            {"event": event["event"], **event["fields"]}
            for row in self.table.log
            if row.key.startswith("journal/")
            for event in orjson.loads(row.value)["events"]
            if event["fields"].get("task_id") == task_id
        ]
        ends = [event for event in events if event["event"] == "finished"]
        assert [event["result"] for event in ends] == [recorded]
        lost = {
            f"{task_id}/{event['attempt']}"
            for event in events
            if event["event"] == "requeued" and event["cause"] == "lost"
        }
        assert set(self.results[task_id]) - lost == {recorded}


@pytest.fixture(autouse=True)
def _no_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(journal, "SETTLE_PAUSE_S", 0)


TestBatchMachine = BatchMachine.TestCase
TestBatchMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=30
)
