"""Tasks that end the runner that starts them."""

from __future__ import annotations

import curio

from pistachiodeal.jobs.model import JobState
from tests.standins.job_cluster import JobCluster, build_job, run_cluster
from tests.unit.test_job_cluster import check, wait_for

CRASHER = f"{1:016x}.0.0.0"


def plant(cluster: JobCluster, *, crash_after_s: float = 0.0) -> None:
    """Make one task end each runner that starts it."""
    for agent in cluster.agents:
        faults = agent.runner.faults
        faults.crashers = frozenset((CRASHER,))
        faults.crash_after_s, faults.down_s = crash_after_s, 0.6


async def wait_for_crashes(cluster: JobCluster, count: int) -> None:
    """Wait until the task has ended so many runners."""
    tasks = cluster.witness.tasks
    await wait_for(lambda: CRASHER in tasks and tasks[CRASHER].crashes >= count)


def test_a_task_that_ends_its_runners_is_given_up():
    """Two tasks were started 88 and 137 times in a day, and each start took a runner
    and the 8 to 21 runs on it down for three seconds; most serving tasks were away
    again and again. A run that went down with its worker was queued again at no cost,
    in front of all others. "run.lost" with the same task, and an age of 6 to 10 ms at
    the first silence in "worker.dropped", on six workers of three data centres.
    """

    async def main():
        async with run_cluster(agents=3, work_s=0.3) as cluster:
            plant(cluster)
            jobs = [build_job(number, steps=1) for number in range(1, 4)]
            for job in jobs:
                await cluster.entries[0].submit(job)
            await cluster.wait_for_state(jobs[0], JobState.FAILED, 15.0)
            for job in jobs[1:]:
                await cluster.wait_for_state(job, JobState.COMPLETED, 15.0)
            check(cluster)
            assert cluster.witness.tasks[CRASHER].crashes == 2

    curio.run(main)


def test_what_a_task_has_crashed_outlives_leaders_and_agents():
    """The same task went on under the next leaders after both entries that had led were
    stopped and started. A count in the memory of a leader or of an agent would begin
    anew with each of them.
    """

    async def main():
        async with run_cluster(agents=3, work_s=0.3) as cluster:
            plant(cluster)
            job = build_job(1, count=1, steps=1)
            await cluster.entries[0].submit(job)
            for crashes in (1, 2):
                await wait_for_crashes(cluster, crashes)
                # The crash is known, and its count written, after half a second.
                await curio.sleep(0.55)
                for process in (cluster.find_leader(), *cluster.agents):
                    if process is not None:
                        await process.kill()
                        await process.boot()
            await cluster.wait_for_state(job, JobState.FAILED, 20.0)
            check(cluster)

    curio.run(main)
