"""Tasks that crash the runner that starts them."""

from __future__ import annotations

import random
from dataclasses import replace

import curio
import pytest

from pistachiodeal.exceptions import RequestError
from pistachiodeal.jobs.model import JobState
from tests.standins.job_cluster import JobCluster, build_job, run_cluster
from tests.standins.job_runner import CAPACITY, CAPACITY_REPORT_S
from tests.unit.test_job_cluster import check_invariants, inject_random_fault, wait_for

CRASHER = f"{1:016x}.0.0.0"


def set_crashing_task(cluster: JobCluster, *, crash_after_s: float = 0.0) -> None:
    """Make one task crash each runner that starts it."""
    for agent in cluster.agents:
        faults = agent.runner.faults
        faults.crashing_tasks = frozenset((CRASHER,))
        faults.crash_after_s, faults.down_s = crash_after_s, 0.6


async def wait_for_crashes(cluster: JobCluster, count: int) -> None:
    """Wait until the task has crashed so many runners."""
    tasks = cluster.checker.tasks
    await wait_for(lambda: CRASHER in tasks and tasks[CRASHER].crashes >= count)


def test_a_task_that_crashes_its_runners_is_given_up():
    """Guards against a task that is started without limit although it crashes runners.

    Two tasks were started 88 and 137 times in a day. Each start took down a runner and
    the 8 to 21 runs on it for three seconds, because a run lost with its worker was
    queued again at no cost, ahead of all others. On six workers of three data centres
    the agent logged, 0.4 s apart, "run.started" of that task with "result":"done" and
    "worker.dropped" with "why":"nothing listens at its address"; the runners had ended
    6 to 10 ms after the start.
    """

    async def main():
        async with run_cluster(agents=3, work_s=0.3) as cluster:
            set_crashing_task(cluster)
            jobs = [build_job(number, steps=1) for number in range(1, 4)]
            for job in jobs:
                await cluster.entries[0].submit(job)
            await cluster.wait_for_state(jobs[0], JobState.FAILED, 15.0)
            for job in jobs[1:]:
                await cluster.wait_for_state(job, JobState.COMPLETED, 15.0)
            check_invariants(cluster)
            assert cluster.checker.tasks[CRASHER].crashes == 2

    curio.run(main)


def test_the_count_of_crashes_survives_restarts_of_leaders_and_agents():
    """Guards against a count that exists only in the memory of a leader or an agent.

    It would start again at zero: the same task was started by the next leaders, after
    both entries that had led were restarted.
    """

    async def main():
        async with run_cluster(agents=3, work_s=0.3) as cluster:
            set_crashing_task(cluster)
            job = build_job(1, count=1, steps=1)
            await cluster.entries[0].submit(job)
            for crashes in (1, 2):
                await wait_for_crashes(cluster, crashes)
                # Within half a second, the crash is detected and its count written.
                await curio.sleep(0.55)
                for process in (cluster.find_leader(), *cluster.agents):
                    if process is not None:
                        await process.kill()
                        await process.boot()
            await cluster.wait_for_state(job, JobState.FAILED, 20.0)
            check_invariants(cluster)

    curio.run(main)


@pytest.mark.parametrize("crash_after_s", [0.05, 0.4])
def test_a_task_that_crashes_its_runner_with_a_delay_is_given_up(crash_after_s):
    """Guards against blame for tasks that started after the crashing one.

    The task is reported as running before it crashes its runner. The tasks that started
    after it must complete.
    """

    async def main():
        async with run_cluster(agents=3, work_s=0.3) as cluster:
            set_crashing_task(cluster, crash_after_s=crash_after_s)
            jobs = [build_job(number, steps=1) for number in range(1, 4)]
            # The task runs until it crashes its runner; the others end before that.
            for agent in cluster.agents:
                agent.runner.endless_tasks = frozenset((CRASHER,))
            await cluster.submit_and_fail_first(jobs, 20.0)
            check_invariants(cluster)

    curio.run(main)


def test_a_start_without_an_answer_is_counted():
    """Guards against a count of answered starts only, which would stay at zero.

    Usually the answer to a start is lost with the runner that the start crashes.
    """

    async def main():
        async with run_cluster(agents=3, work_s=0.3) as cluster:
            set_crashing_task(cluster)
            for agent in cluster.agents:
                agent.runner.faults.lost = 0.5
            job = build_job(1, steps=1)
            await cluster.entries[0].submit(job)
            await cluster.wait_for_state(job, JobState.FAILED, 20.0)
            check_invariants(cluster)

    curio.run(main)


@pytest.mark.parametrize("seed", [1, 2, 3, 14016])
def test_runners_that_crash_by_themselves_fail_no_job(seed):
    """Guards against tasks blamed for runners that crash and restart by themselves.

    The tasks have to continue elsewhere, and no job may fail.
    """
    rng = random.Random(seed)

    async def main():
        async with run_cluster(agents=3, work_s=0.8) as cluster:
            for agent in cluster.agents:
                agent.runner.faults.down_s = 0.5
            jobs = [build_job(number, steps=1) for number in range(1, 5)]
            for job in jobs:
                await cluster.entries[0].submit(job)
            for turn in range(6):
                await curio.sleep(rng.uniform(0.4, 1.4))
                cluster.agents[turn % 3].runner.crash()
            for job in jobs:
                await cluster.wait_for_state(job, JobState.COMPLETED, 20.0)
            check_invariants(cluster)

    curio.run(main)


async def shrink_capacity(cluster: JobCluster, rng: random.Random) -> None:
    """Shrink a runner's capacity for a while."""
    runner = rng.choice(cluster.agents).runner
    runner.capacity = replace(CAPACITY, cpu_milli=rng.choice((0, 2_000, 5_000)))
    await curio.sleep(rng.uniform(1.0, 4.0) * CAPACITY_REPORT_S)
    runner.capacity = CAPACITY


def run_random_faults(seed: int) -> None:
    """Submit jobs, some with tasks that crash their runners, under random faults.

    Accepted jobs end in the right state, no task runs twice or is started too often,
    and no runner exceeds its capacity.
    """
    rng = random.Random(seed)

    async def main():
        async with run_cluster(agents=4, work_s=0.25, seed=seed) as cluster:
            await wait_for(cluster.find_leader)
            crashing_tasks = {f"{number:016x}.0.0.0" for number in (2, 5)}
            for agent in cluster.agents:
                faults = agent.runner.faults
                faults.crashing_tasks = frozenset(crashing_tasks)
                faults.crash_after_s = rng.choice((0.0, 0.02))
                faults.down_s = rng.uniform(0.2, 0.8)
            jobs = []
            for number in range(1, 9):
                job = build_job(number, count=rng.randint(1, 4), steps=2)
                try:
                    entry = rng.choice(cluster.entries)
                    if entry.tasks:
                        await entry.submit(job)
                        jobs.append(job)
                except RequestError:
                    pass
                draw = rng.random()
                if draw < 0.4:
                    await inject_random_fault(cluster, rng)
                elif draw < 0.8:
                    await shrink_capacity(cluster, rng)
            for job in jobs:
                bad = f"{job.job_id}.0.0.0" in crashing_tasks
                state = JobState.FAILED if bad else JobState.COMPLETED
                await cluster.wait_for_state(job, state, 40.0)
            check_invariants(cluster)

    curio.run(main)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_faults_around_crashing_tasks(seed):
    """Guards against crash counts that get lost or go to the wrong task under faults.

    Then a task is started too often, a job never ends, or a job without crashing tasks
    fails.
    """
    run_random_faults(seed)
