"""Claims through two entries that crash, over a table that loses answers."""

import curio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pistachiodeal.claims.manager import Claimed, Replayed, create_claim_manager
from pistachiodeal.claims.rows import build_row_key
from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.web.messages import WebResponse
from tests.unit.fake_table import FakeTable, Fault

KEYS = st.sampled_from(["a", "b"])
NODES = st.integers(0, 1)
FAULTS = st.lists(st.sampled_from(list(Fault)), max_size=5)
READ_FAULTS = st.lists(st.sampled_from([Fault.NONE, Fault.REFUSED]), max_size=4)


async def take_turns(steps, done):
    """Let the other tasks run, without a clock."""
    for _ in range(steps):
        if done():
            return
        await curio.sleep(0)


class Claims(RuleBasedStateMachine):
    """At most one holder of a key, unless the last one certainly released it."""

    def __init__(self) -> None:
        super().__init__()
        self.table = FakeTable()
        self.kernel = curio.Kernel()
        self.keepers = [None, None]
        self.runners = [None, None]
        self.held: dict[str, tuple[int, Claimed]] = {}
        self.ended: dict[str, bytes | None] = {}  # body, or None for unknown
        self.stuck: set[str] = set()  # keys of an entry that crashed
        self.violations: list[str] = []
        for node in range(2):
            self.start(node)

    def start(self, node):
        keeper = create_claim_manager(
            self.table, node=f"e{node}", group_s=0, group_rows=3, pause_s=0
        )
        self.keepers[node] = keeper
        self.runners[node] = self.kernel.run(curio.spawn(keeper.run, daemon=True))

    async def claim(self, node, key, steps=60):
        """Claim; after so many turns of the scheduler the caller goes away."""
        keeper = self.keepers[node]
        task = await curio.spawn(keeper.claim, "orders", key, "f", 600.0)
        await take_turns(steps, lambda: task.terminated)
        await task.cancel()
        try:
            found = task.result
        except curio.TaskCancelled:
            return None
        except RequestError as error:
            if error.outcome is Outcome.NOT_RUN:
                assert error.status == 503
            return error
        if isinstance(found, Replayed):
            if found.response.body != self.ended.get(key):
                self.violations.append(f"{key}: another answer")
            return found
        if key in self.held or key in self.ended:
            self.violations.append(f"{key}: claimed twice")
        self.held[key] = (node, found)
        return found

    @rule(faults=FAULTS, reads=READ_FAULTS)
    def set_faults(self, faults, reads):
        self.table.faults.extend(faults)
        self.table.read_faults.extend(reads)

    @rule()
    def land_delayed(self):
        self.table.land_delayed()
        self.kernel.run(self.table.end_hanging)

    @rule(node=NODES, key=KEYS)
    def claim_one(self, node, key):
        self.kernel.run(self.claim, node, key)

    @rule(key=KEYS, same=st.booleans(), land=st.booleans())
    def claim_at_once(self, key, same, land):
        async def main():
            nodes = (0, 0) if same else (0, 1)
            tasks = [await curio.spawn(self.claim, node, key) for node in nodes]
            if land:
                self.table.land_delayed()
            for task in tasks:
                await task.join()

        self.kernel.run(main)

    @rule(key=KEYS, end=st.sampled_from(["record", "unknown", "release"]))
    def end_claim(self, key, end):
        if key not in self.held:
            return
        node, held = self.held.pop(key)
        keeper = self.keepers[node]
        if end == "release":
            self.kernel.run(keeper.release, held)
            return
        self.ended[key] = key.encode() if end == "record" else None
        if end == "record":
            answer = WebResponse(200, (), key.encode())
            self.kernel.run(keeper.record, held, answer)
        else:
            self.kernel.run(keeper.mark_unknown, held)

    @rule(node=NODES)
    def crash(self, node):
        async def main():
            await self.runners[node].cancel()

        self.kernel.run(main)
        # Whatever it held, or had yet to write, may stay unknown for ever.
        concerned = self.keepers[node]._open
        self.stuck |= {key for key in "ab" if build_row_key("orders", key) in concerned}
        for key, (holder, _) in list(self.held.items()):
            if holder == node:
                del self.held[key]
                self.ended[key] = None
        self.start(node)

    @rule()
    def flush(self):
        self.kernel.run(take_turns, 50, lambda: not self.keepers[0].pending)

    @invariant()
    def holds(self):
        assert not self.violations

    def teardown(self):
        async def main():
            self.table.faults.clear()
            self.table.read_faults.clear()
            await self.table.end_hanging()
            for keeper in self.keepers:
                await take_turns(2_000, lambda keeper=keeper: not keeper.pending)
                assert not keeper.pending
            self.table.land_delayed()
            for key in "ab":
                if key in self.held or key in self.ended or key in self.stuck:
                    continue
                assert isinstance(await self.claim(1, key, 2_000), Claimed)
            for key, body in self.ended.items():
                if body is not None and key not in self.stuck:
                    assert isinstance(await self.claim(0, key, 2_000), Replayed)

        try:
            self.kernel.run(main)
            self.holds()
        finally:
            self.kernel.run(shutdown=True)


TestClaims = Claims.TestCase
TestClaims.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=25
)
