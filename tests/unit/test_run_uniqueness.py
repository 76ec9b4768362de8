"""No run of a task starts after its end was listed, whatever restarts meanwhile."""

from __future__ import annotations

import random
import time
from unittest import mock

import curio
import pytest

from pistachiodeal import peers
from pistachiodeal.jobagent import leader_link
from tests.simulation.clock import SimulatedClock, run_simulated
from tests.standins.job_cluster import build_job
from tests.standins.restarting_jobs import RestartingJobs
from tests.standins.rows import StoreFaults

AGENTS = 3
JOBS = 6
FAULTS_S = 45.0
SETTLED_S = 60.0
# Longest time for which a process is away, seconds.
LONGEST_S = 4.0
# Seeds by which a task was started again after an end "done" that was lost: of a run
# that was taken for lost (18, 46, 74), or of a runner that crashed before the end was
# stored.
FAILED_SEEDS = (18, 46, 74, 440)
KINDS = ("agent", "leader", "overlap", "silence", "crash", "store", "delay")
# VMs restart as a whole, and some come back without a runner that answers.
VM_KINDS = (*KINDS, "restart", "runner_away", "runner_silent")


async def disturb(world: RestartingJobs, kinds: tuple[str, ...]) -> None:
    """Inject one random fault."""
    rng = world.rng
    number = rng.randrange(AGENTS)
    runner = world.runners[number]
    kind = rng.choice(kinds)
    if kind == "agent":
        await world.restart_agent(number, rng.choice((0.0, 0.5, 3.0)))
    elif kind == "leader":
        await world.change_leader(away_s=rng.choice((0.0, 0.5, 4.0)))
    elif kind == "overlap":
        await world.change_leader(killed=False)
    elif kind == "silence":
        runner.silent_until = time.monotonic() + rng.choice((0.5, 2.0, 4.0, 12.0))
    elif kind == "crash":
        runner.faults.down_s = rng.choice((0.0, 0.5, 3.0))
        runner.crash()
    elif kind in VM_KINDS[-3:]:
        runner.faults.down_s = 20.0 if kind == "runner_away" else 1.0
        runner.crash()
        if kind == "runner_silent":
            runner.silent_until = time.monotonic() + 20.0
        await world.restart_agent(number, rng.choice((0.0, 0.5, 3.0)))
    elif kind == "store":
        faults = world.state.faults
        faults.lost, faults.late = rng.choice(((0.0, 0.0), (0.4, 0.0), (0.2, 0.3)))
        faults.silent = rng.random() < 0.3
        runner.faults.late, runner.faults.lost = rng.choice(((0.0, 0.0), (0.3, 0.3)))
    else:
        world.delay_s = rng.choice((0.0, 0.2, 1.5))


def play(seed: int, kinds: tuple[str, ...] = KINDS) -> tuple[list[str], int]:
    """Play one day; return what was violated, and how many jobs stayed open."""

    async def main(clock: SimulatedClock) -> tuple[list[str], int]:
        world = RestartingJobs(random.Random(seed))
        with (
            mock.patch.object(leader_link, "dial_peer", world.dial),
            mock.patch.object(peers, "dial_peer", world.dial),
        ):
            jobs = [build_job(one, count=4) for one in range(1, JOBS + 1)]
            await world.start(AGENTS, jobs)
            until = clock.now + FAULTS_S
            while clock.now < until:
                await curio.sleep(world.rng.expovariate(0.8))
                await curio.spawn(disturb, world, kinds, daemon=True)
            world.state.faults, world.delay_s = StoreFaults(), 0.0
            await curio.sleep(LONGEST_S)
            await world.change_leader()
            until = clock.now + SETTLED_S
            await curio.sleep(2.0)
            while clock.now < until and world.count_open():
                await curio.sleep(0.5)
            return world.checker.violations, world.count_open()

    return run_simulated(main, seed)


@pytest.mark.parametrize("seed", [*range(6), *FAILED_SEEDS])
def test_nothing_starts_after_its_listed_end(seed):
    """Guards against tasks that run twice, and against jobs that never end."""
    assert play(seed) == ([], 0)


@pytest.mark.parametrize("seed", range(6))
def test_vms_that_restart_without_their_runner_violate_nothing(seed):
    """Guards against runs of a lost worker that wait for ever, or run twice."""
    assert play(seed, VM_KINDS) == ([], 0)
