"""Leases and epochs under any order of beats, grants, pauses and lost responses."""

from __future__ import annotations

import curio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pistachiodeal.agent.leases import LeaseTracker
from pistachiodeal.wire.task_messages import LeaseGrant, Renew
from tests.unit.fake_agent_tasks import TASK, Bench, build_start

FAULTS = st.sampled_from(["", "before", "after"])
BACK = st.sampled_from([0, 0, 0, 1, 2, 5])
LEASES_MS = st.sampled_from([2_000, 30_000, 300_000])
EPOCH_STEPS = st.sampled_from([-1, 0, 0, 0, 1])


class LeaseMachine(RuleBasedStateMachine):
    """No lease ends later than its owner granted, and no epoch decreases."""

    def __init__(self) -> None:
        super().__init__()
        self.kernel = curio.Kernel()
        self.bench = Bench()
        self.run(self.bench.attach())
        self.beat = 1
        self.sent_at = {1: self.bench.now}
        self.allowed: dict[tuple[str, int], float] = {}
        self.first_beat: dict[tuple[str, int], int] = {}
        self.epoch = 5
        self.bench.manager.record_epoch(3, self.epoch)
        self.attempt = 0

    def run(self, job) -> None:
        async def main() -> None:
            await job

        self.kernel.run(main)

    def teardown(self) -> None:
        self.kernel.run(shutdown=True)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def send_beat(self, seconds: float) -> None:
        self.bench.now += seconds
        self.beat += 1
        self.sent_at[self.beat] = self.bench.now
        self.bench.manager.record_beat(self.beat, self.bench.now)
        self.bench.manager.record_beat(self.beat - 1, self.bench.now)

    @rule(seconds=st.sampled_from([1.0, 29.0]))
    def freeze(self, seconds: float) -> None:
        self.bench.now += seconds

    @rule(step=EPOCH_STEPS)
    def receive_epoch(self, step: int) -> None:
        self.bench.manager.record_epoch(3, self.epoch + step)
        self.epoch = max(self.epoch, self.epoch + step)

    @rule(back=BACK, lease_ms=LEASES_MS, step=EPOCH_STEPS, fault=FAULTS)
    def start(self, back: int, lease_ms: int, step: int, fault: str) -> None:
        self.attempt += 1
        epoch = self.epoch + step
        beat = max(1, self.beat - back)
        key = (f"{TASK}{self.attempt}", 1)
        end = self.sent_at[beat] + lease_ms / 1000
        if epoch >= self.epoch and end > self.bench.now:
            self.allowed[key] = end
            self.first_beat[key] = self.beat + 1
        self.epoch = max(self.epoch, epoch)
        self.bench.runtime.faults["start"] = [fault]
        start = build_start(task_id=key[0], beat=beat, lease_ms=lease_ms, epoch=epoch)
        self.run(self.bench.settle(start))

    @rule(back=BACK, lease_ms=LEASES_MS, step=EPOCH_STEPS, fault=FAULTS)
    def renew(self, back: int, lease_ms: int, step: int, fault: str) -> None:
        beat = max(1, self.beat - back)
        epoch = self.epoch + step
        if epoch >= self.epoch:
            end = self.sent_at[beat] + lease_ms / 1000
            for key in self.allowed:
                if self.first_beat[key] <= beat:
                    self.allowed[key] = max(self.allowed[key], end)
            self.epoch = epoch if self.allowed else self.epoch
        self.bench.runtime.faults["renew"] = [fault]
        grants = (LeaseGrant(3, epoch, lease_ms),)
        self.run(self.bench.manager.receive(Renew(beat, grants)))
        renewer = self.bench.manager._renewer
        renewer._retry_s = 0
        self.run(renewer.renew_pending())

    @invariant()
    def no_lease_is_longer_than_granted(self) -> None:
        for key, end in self.bench.runtime.leases.items():
            assert key in self.allowed
            assert end <= self.allowed[key]


def test_beats_kept_are_bounded_and_the_first_time_counts():
    lease_tracker = LeaseTracker(max_beats=3)
    for beat in range(1, 6):
        lease_tracker.record_beat(beat, float(beat))
    lease_tracker.record_beat(5, 99.0)
    assert lease_tracker.compute_end(2, 1000) is None
    assert lease_tracker.compute_end(5, 1000) == 6.0
    assert lease_tracker.record_epoch(1, 4)
    assert not lease_tracker.record_epoch(1, 3)
    assert lease_tracker.epoch(1) == 4


TestLeases = LeaseMachine.TestCase
TestLeases.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=30
)
