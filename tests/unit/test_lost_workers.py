"""Workers that are lost while nobody who knew them is there to report it."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable
from unittest import mock

import curio
import pytest

from pistachiodeal import peers
from pistachiodeal.jobagent import leader_link
from tests.simulation.clock import SimulatedClock, run_simulated
from tests.standins.job_cluster import build_job
from tests.standins.restarting_jobs import RestartingJobs

AGENTS = 3
JOBS = 3
TASKS = 4
WORK_S = 20.0
# By then all agents have listed their workers, and all tasks are running.
STARTED_S = 3.0
LOADED_S = 2.0
# A lost worker's leases expire within 12 s; then its tasks need WORK_S once more.
FINISHED_S = 45.0
FOR_GOOD_S = 1_000.0

Disruption = Callable[[RestartingJobs, int], Awaitable[None]]


def play(disrupt: Disruption) -> tuple[list[str], int, int]:
    """Disrupt the worker with the most runs of a small deployment.

    :returns: violated invariants, how many jobs are open, and how many runs began.
    """

    async def main(clock: SimulatedClock) -> tuple[list[str], int, int]:
        world = RestartingJobs(random.Random(1))
        with (
            mock.patch.object(leader_link, "dial_peer", world.dial),
            mock.patch.object(peers, "dial_peer", world.dial),
        ):
            jobs = [build_job(one, count=TASKS, steps=1) for one in range(JOBS)]
            await world.start(AGENTS, jobs, work_s=WORK_S)
            await curio.sleep(STARTED_S)
            counts = [len(agent.ledger.running) for agent in world.agents]
            assert sum(counts) == JOBS * TASKS
            await disrupt(world, counts.index(max(counts)))
            until = clock.now + FINISHED_S
            # A leader that has not loaded yet knows of no open job.
            await curio.sleep(LOADED_S)
            while clock.now < until and world.count_open():
                await curio.sleep(0.5)
            starts = sum(one.starts for one in world.checker.tasks.values())
            return world.checker.violations, world.count_open(), starts

    return run_simulated(main)


def lose_runner(world: RestartingJobs, number: int) -> None:
    """End a runner for good."""
    runner = world.runners[number]
    runner.faults.down_s = FOR_GOOD_S
    runner.crash()


async def restart_without_runner(world: RestartingJobs, number: int) -> None:
    """A VM restarts, and only its agent comes back."""
    lose_runner(world, number)
    await world.restart_agent(number, 1.0)


async def restart_twice(world: RestartingJobs, number: int) -> None:
    """The agent restarts once more, just before the leases would have expired."""
    await restart_without_runner(world, number)
    await curio.sleep(9.0)
    await world.restart_agent(number, 0.5)


async def replace_leader_too(world: RestartingJobs, number: int) -> None:
    """The leader that knew the worker is replaced after the restart."""
    await restart_without_runner(world, number)
    await curio.sleep(2.0)
    await world.change_leader()


async def outlast_reports(world: RestartingJobs, number: int) -> None:
    """No leader hears of the loss for longer than the agent reports it."""
    lose_runner(world, number)
    await world.change_leader(away_s=25.0)


async def restart_beside_silent_runner(world: RestartingJobs, number: int) -> None:
    """The runner sends heartbeats, but answers no call of the restarted agent."""
    world.runners[number].silent_until = time.monotonic() + FOR_GOOD_S
    await world.restart_agent(number, 1.0)


async def return_silent(world: RestartingJobs, number: int) -> None:
    """The runner restarts beside its agent, and answers no call after that."""
    runner = world.runners[number]
    runner.faults.down_s = 0.5
    runner.crash()
    runner.silent_until = time.monotonic() + FOR_GOOD_S
    await world.restart_agent(number, 1.0)


async def return_late_under_same_id(world: RestartingJobs, number: int) -> None:
    """The runner comes back after its tasks were given up, and names no start."""
    runner = world.runners[number]
    runner.same_id_share, runner.reports_start = 1.0, False
    runner.faults.down_s = 14.0
    runner.crash()
    await world.restart_agent(number, 1.0)


@pytest.mark.parametrize(
    "disrupt",
    [
        restart_without_runner,
        restart_twice,
        replace_leader_too,
        outlast_reports,
        restart_beside_silent_runner,
        return_silent,
        return_late_under_same_id,
    ],
)
def test_runs_of_a_worker_that_its_agent_does_not_list_run_again(
    disrupt: Disruption,
) -> None:
    """Guards against runs that wait for ever for a worker whose agent doesn't know it.

    The agent is attached, but has no listing of the worker that the leader placed the
    runs on, and no loss to report.
    """
    violations, jobs_open, _ = play(disrupt)
    assert (violations, jobs_open) == ([], 0)


async def restart_agent(world: RestartingJobs, number: int) -> None:
    """The agent restarts, and its runner runs on."""
    await world.restart_agent(number, 3.0)


async def answer_late(world: RestartingJobs, number: int) -> None:
    """The runner answers the restarted agent only shortly before its leases expire."""
    world.runners[number].silent_until = time.monotonic() + 6.0
    await world.restart_agent(number, 1.0)


@pytest.mark.parametrize("disrupt", [restart_agent, answer_late])
def test_runs_continue_beside_an_agent_that_restarts(disrupt: Disruption) -> None:
    """Guards against runs that are taken for lost because their listing is late."""
    assert play(disrupt) == ([], 0, JOBS * TASKS)


async def answer_too_late(world: RestartingJobs, number: int) -> None:
    """The runner answers the restarted agent after its tasks were placed again."""
    world.runners[number].silent_until = time.monotonic() + 14.0
    await world.restart_agent(number, 1.0)


def test_a_worker_that_answers_after_it_was_given_up_runs_nothing_twice() -> None:
    """Guards against a run that goes on beside its successor."""
    violations, jobs_open, starts = play(answer_too_late)
    assert (violations, jobs_open) == ([], 0)
    assert starts > JOBS * TASKS


def test_a_restarted_agent_renews_leases_with_its_first_grant() -> None:
    """Guards against leases that end during the long poll after the first listing."""

    async def restart_and_wait(world: RestartingJobs, number: int) -> None:
        await world.restart_agent(number, 3.0)
        authority = world.agents[number].ledger.authority
        while not authority.granted_until:
            await curio.sleep(0.01)
        assert world.runners[number].lease_left_s < 6.0
        await curio.sleep(0.05)
        left_s.append(world.runners[number].lease_left_s)

    left_s: list[float] = []
    play(restart_and_wait)
    assert left_s[0] > 7.5


def test_an_agent_without_a_listing_looks_for_no_other_leader() -> None:
    """Guards against agents without a runner that query all entries twice a second."""

    async def restart_and_count(world: RestartingJobs, number: int) -> None:
        lose_runner(world, number)
        world.agents[number].addresses = ["10.0.1.1:1"]
        await world.restart_agent(number, 1.0)
        with mock.patch.object(
            leader_link, "query_leader", return_value=None
        ) as query_leader:
            await curio.sleep(5.0)
        queries.append(query_leader.call_count)

    queries: list[int] = []
    play(restart_and_count)
    assert queries == [0]
