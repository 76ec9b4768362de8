"""Entries in simulated time are asked by which configuration they answer."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import curio
import pytest

from tests.simulation.callers import Check, Disturbances
from tests.simulation.clock import SimulatedClock, run_simulated
from tests.simulation.entries import SimulatedDeployment, run_deployment
from tests.simulation.hunt import play
from tests.simulation.network import simulate_network
from tests.simulation.store import Treatment

SETTLED_S = 4.0
# Seeds that failed once, and what they met.
FAILED_SEEDS = (
    5,  # silent connections, and a cut
    11,  # a leader that had lost the store, and a link to it that had closed
    16,  # silent connections beside a store that was slow before
    24,
    64,
    80,
    99,  # two entries ask a leader without the store, a third knows the version
    108,  # the store turns all entries away
    121,
    123,
)
PLAYED_S = 60.0
# Versions that a story writes, one a second; twice as long as the longest bound.
CHANGES = 14
STALE = "configuration_stale"

Story = Callable[[SimulatedDeployment, Check], Awaitable[None]]


@asynccontextmanager
async def run_checked(
    clock: SimulatedClock, entries: int
) -> AsyncIterator[tuple[SimulatedDeployment, Check]]:
    """Run entries that are asked all the time, with one version in force."""
    with simulate_network() as network:
        async with run_deployment(network, entries) as deployment:
            check = Check(deployment, Disturbances(), clock)
            deployment.configure(clock.now)
            for entry in deployment.entries:
                await entry.start()
                await curio.spawn(check.run, entry, daemon=True)
            await curio.sleep(SETTLED_S)
            yield deployment, check


def find_violations(story: Story, entries: int, seed: int = 1) -> list[str]:
    """Return which answers came by too old a version while a story was played."""

    async def main(clock: SimulatedClock) -> list[str]:
        async with run_checked(clock, entries) as (deployment, check):
            await story(deployment, check)
            assert check.counts
            return check.violations

    return run_simulated(main, seed)


async def change_each_second(deployment: SimulatedDeployment, check: Check) -> None:
    """Write a version of the configuration each second for a while."""
    for _ in range(CHANGES):
        await curio.sleep(1.0)
        deployment.configure(check.clock.now)


@pytest.mark.parametrize("phase", range(8))
def test_a_version_is_in_force_after_all_connections_went_silent(phase):
    """Guards against reads of the configuration that wait on dead connections."""

    async def story(deployment: SimulatedDeployment, check: Check) -> None:
        await curio.sleep(phase / 10)
        deployment.network.silence()
        for entry in deployment.entries:
            check.disturbances.disturb(entry.host, check.clock.now)
        await curio.sleep(0.8)
        deployment.configure(check.clock.now)
        await curio.sleep(6.0)

    assert find_violations(story, entries=3) == []


def test_an_entry_without_store_and_leader_learns_of_a_version():
    """Guards against an entry whose only way around the store is the leader."""

    async def story(deployment: SimulatedDeployment, check: Check) -> None:
        leader = deployment.find_leader()
        first = next(one for one in deployment.entries if one is not leader)
        check.disturbances.disturb_store_in_part(check.clock.now + CHANGES)
        deployment.store.treatments[first.host] = Treatment.UNANSWERED
        for _ in range(CHANGES):
            await curio.sleep(1.0)
            deployment.configure(check.clock.now)
            leader = deployment.find_leader()
            if leader is not None and leader.running:
                await leader.kill()
                await leader.start()
                check.disturbances.disturb(leader.host, check.clock.now)

    assert find_violations(story, entries=4) == []


def test_an_entry_learns_a_version_from_any_other_entry():
    """Guards against an entry that asks nobody but a leader it can't reach."""

    async def story(deployment: SimulatedDeployment, check: Check) -> None:
        leader = deployment.find_leader()
        first = next(one for one in deployment.entries if one is not leader)
        check.disturbances.disturb_store_in_part(check.clock.now + CHANGES)
        deployment.store.treatments[first.host] = Treatment.BUSY
        deployment.network.cut(first.host, leader.host)
        await change_each_second(deployment, check)
        assert STALE not in check.counts

    assert find_violations(story, entries=4) == []


def test_an_entry_that_nobody_answers_admits_that_it_can_not_tell():
    """Guards against an entry without any news that goes on by its last version."""

    async def story(deployment: SimulatedDeployment, check: Check) -> None:
        alone, *others = deployment.entries
        check.disturbances.disturb_store_in_part(check.clock.now + CHANGES)
        deployment.store.treatments[alone.host] = Treatment.RATE_LIMITED
        for other in others:
            deployment.network.cut(alone.host, other.host)
        await change_each_second(deployment, check)
        assert check.counts[STALE]

    assert find_violations(story, entries=3) == []


@pytest.mark.parametrize("seed", FAILED_SEEDS)
def test_random_faults_leave_no_entry_behind(seed):
    """Guards against an old configuration in force, by seeds that failed once."""
    assert play(seed, PLAYED_S).violations == []
