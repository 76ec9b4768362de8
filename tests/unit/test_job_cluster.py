"""Runs jobs through entries, leader, agents and runners, under failures."""

from __future__ import annotations

import random
import time
from collections import Counter

import curio
import pytest

from pistachiodeal.exceptions import RequestError
from pistachiodeal.jobs.model import JobState
from pistachiodeal.jobs.rows import JOBS_TABLE, build_cancel_key
from pistachiodeal.store.row_store import (
    RowCondition,
    RowWrite,
    Transaction,
)
from tests.standins.job_cluster import (
    AgentProcess,
    JobCluster,
    build_job,
    run_cluster,
)


async def wait_for(condition, timeout: float = 8.0):
    """Poll ``condition`` and return its first true result."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        await curio.sleep(0.01)
    raise AssertionError("the condition did not become true in time")


async def wait_for_starts(cluster: JobCluster, starts: int = 1) -> None:
    """Wait until the runners have started so many runs in total."""
    await wait_for(
        lambda: (
            sum(history.starts for history in cluster.checker.tasks.values()) >= starts
        )
    )


def check_invariants(cluster: JobCluster) -> None:
    """Fail if the runners have recorded a violated invariant."""
    assert cluster.checker.violations == []


def test_a_job_is_done_step_by_step():
    async def main():
        async with run_cluster() as cluster:
            job = build_job(1)
            await cluster.entries[1].submit(job)
            await cluster.wait_for_state(job, JobState.COMPLETED)
            check_invariants(cluster)
            assert {history.starts for history in cluster.checker.tasks.values()} == {1}

    curio.run(main)


def test_a_cancelled_job_stops_and_starts_nothing_more():
    """Guards against tasks of a cancelled job that keep running.

    A job is cancelled at an entry that doesn't lead, while its tasks run, and the
    leader doesn't learn of it.
    """

    async def main():
        async with run_cluster(work_s=5.0) as cluster:
            job = build_job(1)
            await cluster.entries[0].submit(job)
            await wait_for_starts(cluster)
            await cluster.entries[1].cancel(job)
            await cluster.wait_for_state(job, JobState.CANCELLED)
            tasks = cluster.checker.tasks
            await wait_for(lambda: not any(history.alive for history in tasks.values()))
            starts = sum(history.starts for history in tasks.values())
            await curio.sleep(0.5)
            assert sum(history.starts for history in tasks.values()) == starts

    curio.run(main)


def test_an_announced_cancellation_takes_effect_at_once():
    """Guards against "cancelled" from one entry, followed by "active" from another.

    The cancellation is durable, but one entry asks the store and the other the leader,
    whose feed shows the row only later. An announced cancellation must not wait for it.
    """

    async def main():
        async with run_cluster(work_s=5.0) as cluster:
            job = build_job(1)
            await cluster.entries[0].submit(job)
            await wait_for_starts(cluster)
            leader = await wait_for(cluster.find_leader)
            leadership = leader.seat.leadership
            leadership.announce(build_cancel_key(job.job_id))
            assert leadership.registry.records[job.job_id].state is JobState.CANCELLED

    curio.run(main)


def test_a_cancelled_job_is_shown_as_cancelled_before_its_progress_is_written():
    """Guards against "active" from the leader after a cancellation was acknowledged."""

    async def main():
        async with run_cluster(work_s=5.0) as cluster:
            job = build_job(1)
            await cluster.entries[0].submit(job)
            await wait_for_starts(cluster)
            leader = await wait_for(cluster.find_leader)
            leadership = leader.seat.leadership
            cluster.state.faults.slow_s = 0.5
            leadership.announce(build_cancel_key(job.job_id))
            assert leadership.find_state(job.job_id) is JobState.CANCELLED

    curio.run(main)


def test_a_dead_leader_is_replaced_and_no_task_runs_twice():
    """Guards against a task that runs in two places, or never again.

    The leader is killed while tasks that it ordered run, and its successor takes
    running tasks for waiting ones, or waits for runs that don't exist.
    """

    async def main():
        async with run_cluster(work_s=0.6) as cluster:
            jobs = [build_job(number) for number in range(1, 4)]
            for job in jobs:
                await cluster.entries[0].submit(job)
            await wait_for_starts(cluster, 3)
            leader = await wait_for(cluster.find_leader)
            await leader.kill()
            for job in jobs:
                await cluster.wait_for_state(job, JobState.COMPLETED, 15.0)
            check_invariants(cluster)

    curio.run(main)


def test_a_restarted_agent_finds_its_runs():
    """Guards against tasks that run twice after an agent's restart.

    The agent is killed while its runner works, and after the restart its empty memory
    is taken for an empty worker.
    """

    async def main():
        async with run_cluster(agents=1, work_s=1.5) as cluster:
            job = build_job(1, steps=1)
            await cluster.entries[0].submit(job)
            await wait_for_starts(cluster, 3)
            await cluster.agents[0].kill()
            await curio.sleep(0.3)
            await cluster.agents[0].boot()
            await cluster.wait_for_state(job, JobState.COMPLETED)
            check_invariants(cluster)
            assert {history.starts for history in cluster.checker.tasks.values()} == {1}

    curio.run(main)


def test_a_job_that_is_cancelled_while_its_agent_restarts_is_stopped():
    """Guards against tasks of a cancelled job that run on for good.

    The restarted agent is on the leader's link before it knows its runner, dropped the
    stops, and the leader took them for sent.
    """

    async def main():
        async with run_cluster(agents=1, work_s=60.0) as cluster:
            job, agent = build_job(1, steps=1), cluster.agents[0]
            await cluster.entries[0].submit(job)
            await wait_for_starts(cluster, 3)
            leader = cluster.find_leader()
            assert leader is not None
            leadership = leader.seat.leadership
            record = leadership.registry.records[job.job_id]
            await wait_for(lambda: all(one.running for one in record.iterate_tasks()))
            await agent.kill()
            agent.silent = True
            await agent.boot()
            worker = leadership.fleet.get("node-0")
            await wait_for(lambda: worker.attachment and worker.attachment.beat)
            assert not worker.listed
            await cluster.entries[0].cancel(job)
            await cluster.wait_for_state(job, JobState.CANCELLED)
            # The leader sends its orders meanwhile.
            await curio.sleep(0.3)
            agent.silent = False
            tasks = cluster.checker.tasks
            await wait_for(lambda: not any(history.alive for history in tasks.values()))
            check_invariants(cluster)

    curio.run(main)


def test_an_order_that_comes_late_starts_nothing():
    """Guards against a task that runs twice.

    A start gets no answer, the task is placed on another worker, and the first order is
    executed seconds later. A stop has to settle the unanswered start before the task is
    placed elsewhere.
    """

    async def main():
        async with run_cluster(work_s=0.3) as cluster:
            for agent in cluster.agents:
                agent.runner.faults.late = 0.6
                agent.runner.faults.late_s = 1.0
            jobs = [build_job(number) for number in range(1, 4)]
            for job in jobs:
                await cluster.entries[0].submit(job)
            for job in jobs:
                await cluster.wait_for_state(job, JobState.COMPLETED, 30.0)
            await curio.sleep(1.2)
            check_invariants(cluster)

    curio.run(main)


def test_a_restarted_runner_is_not_taken_for_its_earlier_incarnation():
    """Guards against tasks that wait for a lease without a holder, or pass for running.

    The runner crashes and restarts at its address under another incarnation. Orders and
    listings have to name the incarnation.
    """

    async def main():
        async with run_cluster(agents=1, work_s=0.8) as cluster:
            job = build_job(1, steps=1)
            await cluster.entries[0].submit(job)
            await wait_for_starts(cluster, 3)
            cluster.agents[0].runner.crash()
            await cluster.wait_for_state(job, JobState.COMPLETED, 6.0)
            check_invariants(cluster)

    curio.run(main)


def test_a_lost_answer_of_the_store_does_not_bring_an_old_state_back():
    """Guards against a task that runs again after its end was acknowledged.

    The store applies a write of the leader late, after a newer one. A write has to
    require the version of the row that it replaces.
    """

    async def main():
        async with run_cluster(work_s=0.15) as cluster:
            jobs = [build_job(number) for number in range(1, 6)]
            for job in jobs:
                await cluster.entries[0].submit(job)
            cluster.state.faults.late, cluster.state.faults.lost = 0.25, 0.25
            cluster.state.faults.late_s = 0.4
            await curio.sleep(2.0)
            cluster.state.faults.late = cluster.state.faults.lost = 0.0
            for job in jobs:
                await cluster.wait_for_state(job, JobState.COMPLETED, 20.0)
            check_invariants(cluster)

    curio.run(main)


def test_a_leader_that_was_replaced_writes_nothing():
    """Guards against two leaders that place the same task.

    Another process takes over the leader's row while the leader works. The leader's
    writes have to require that row.
    """

    async def main():
        async with run_cluster(entries=1, work_s=0.3) as cluster:
            leader = await wait_for(cluster.find_leader)
            row = cluster.state.rows["control", "leader"]
            stolen = Transaction(
                (RowCondition("control", "leader", row.version),),
                (
                    RowWrite(
                        "control",
                        "leader",
                        b'{"epoch":9,"node":"x","address":"127.0.0.1:9","nonce":1}',
                    ),
                ),
            )
            assert cluster.state.apply(stolen).committed
            job = build_job(1)
            await leader.submit(job)
            await wait_for(lambda: leader.seat.leadership is None)
            assert ("progress", job.job_id) not in cluster.state.rows

    curio.run(main)


def test_a_refusal_covers_all_tries_of_the_insert():
    """Guards against a job that runs although its caller was told "not accepted".

    The answer to the insert is lost and the next try is refused, and the answer to the
    caller considers only the last try.
    """

    async def main():
        async with run_cluster() as cluster:
            entry = cluster.entries[0]
            await wait_for(cluster.find_leader)
            cluster.state.faults.down = True
            with pytest.raises(RequestError) as refused:
                await entry.submit(build_job(1))
            assert (refused.value.status, refused.value.outcome) == (503, "not_run")
            cluster.state.faults.down = False
            await wait_for(lambda: "store_regained 1" in entry.events.stats.format())
            cluster.state.faults.lost = 1.0
            with pytest.raises(RequestError) as unknown:
                await entry.submit(build_job(2))
            assert (unknown.value.status, unknown.value.outcome) == (504, "unknown")

    curio.run(main)


def test_a_dropped_history_loses_no_job():
    """Guards against an accepted job that never starts.

    The store drops its history between the job's row and the leader's next poll, and
    the leader continues from the newest version without reading what it has missed.
    """

    async def main():
        async with run_cluster() as cluster:
            await wait_for(cluster.find_leader)
            jobs = [build_job(number, steps=1) for number in range(1, 9)]
            for job in jobs:
                await cluster.entries[1].submit(job)
                cluster.state.drop_history()
            for job in jobs:
                await cluster.wait_for_state(job, JobState.COMPLETED)

    curio.run(main)


def test_everything_down_at_once_loses_nothing():
    """Guards against an accepted job that is unknown, or runs twice, after a power cut.

    All processes end right after an acceptance and start together, and what was
    answered isn't durable.
    """

    async def main():
        async with run_cluster(work_s=0.5) as cluster:
            jobs = [build_job(number) for number in range(1, 5)]
            for job in jobs:
                await cluster.entries[0].submit(job)
            processes = [*cluster.entries, *cluster.agents]
            for process in processes:
                await process.kill()
            for process in processes:
                await process.boot()
            for job in jobs:
                await cluster.wait_for_state(job, JobState.COMPLETED, 20.0)
            check_invariants(cluster)

    curio.run(main)


def return_under_same_ids_sometimes(cluster: JobCluster) -> None:
    """Make runners keep their ids after half of their crashes."""
    for agent in cluster.agents:
        agent.runner.same_id_share = 0.5


async def inject_random_fault(cluster: JobCluster, rng: random.Random) -> None:
    """Inject one random fault, and end it after a while."""
    kind = rng.choice(("entry", "agent", "runner", "late", "store", "history"))
    if kind in ("entry", "agent"):
        process = rng.choice(cluster.entries if kind == "entry" else cluster.agents)
        if process.tasks:
            await process.kill()
            await curio.sleep(rng.uniform(0.0, 0.8))
            await process.boot()
    elif kind == "runner":
        rng.choice(cluster.agents).runner.crash()
    elif kind == "late":
        faults = rng.choice(cluster.agents).runner.faults
        faults.late, faults.lost = rng.choice(((0.5, 0.0), (0.0, 0.5), (0.3, 0.3)))
        await curio.sleep(rng.uniform(0.2, 1.0))
        faults.late = faults.lost = 0.0
    elif kind == "store":
        faults = cluster.state.faults
        name = rng.choice(("down", "silent", "lost", "late"))
        setattr(faults, name, 0.4 if name in ("lost", "late") else True)
        await curio.sleep(rng.uniform(0.2, 1.0))
        faults.down = faults.silent = False
        faults.lost = faults.late = 0.0
    else:
        cluster.state.drop_history()


def run_random_faults(seed: int) -> None:
    """Submit jobs under random faults; accepted ones complete, no task runs twice."""
    rng = random.Random(seed)

    async def main():
        async with run_cluster(agents=3, work_s=0.25, seed=seed) as cluster:
            return_under_same_ids_sometimes(cluster)
            await wait_for(cluster.find_leader)
            accepted = []
            for number in range(1, 11):
                job = build_job(number, count=rng.randint(1, 4), steps=2)
                entry = rng.choice(cluster.entries)
                try:
                    if entry.tasks:
                        await entry.submit(job)
                        accepted.append(job)
                except RequestError:
                    pass
                if rng.random() < 0.6:
                    await inject_random_fault(cluster, rng)
            for job in accepted:
                await cluster.wait_for_state(job, JobState.COMPLETED, 30.0)
            check_invariants(cluster)

    curio.run(main)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_random_faults_violate_no_invariant(seed):
    """Guards against tasks that run twice and accepted jobs that never complete."""
    run_random_faults(seed)


def test_agents_leave_the_link_to_a_leader_that_loads_the_jobs():
    """Guards against reports that nobody reads, and that delay the load itself.

    Each agent goes on reporting to a leader that reads the jobs over the same link.
    """

    async def main():
        async with run_cluster(entries=1, agents=3) as cluster:
            leader = await wait_for(cluster.find_leader)
            job = build_job(1)
            await leader.submit(job)
            await cluster.wait_for_state(job, JobState.COMPLETED)
            await leader.kill()
            cluster.state.faults.slow_reads[JOBS_TABLE] = 2.0
            reports = Counter()
            for agent in cluster.agents:
                count_reports(agent, reports)
            await leader.boot()
            await wait_for(lambda: leader.seat.leadership)
            await curio.sleep(1.8)
            assert cluster.find_leader() is None
            assert set(reports.values()) == {1}
            cluster.state.faults.slow_reads.clear()
            second = build_job(2)
            await leader.submit(second)
            await cluster.wait_for_state(second, JobState.COMPLETED)
            check_invariants(cluster)

    curio.run(main)


def count_reports(agent: AgentProcess, reports: Counter) -> None:
    """Count the reports that an agent builds."""
    build = agent.ledger.build_report

    def build_and_count(beat: int):
        reports[agent.name] += 1
        return build(beat)

    agent.ledger.build_report = build_and_count
