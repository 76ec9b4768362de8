"""Case 2: a runner is lost for good while the agent beside it is restarted."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Deployment,
    build_job_id,
    build_route,
    run_case,
)
from standins import Record, SentJob, StepPlan  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 11
PREFIX = "/pule252/"
STANDING_JOBS = 33
BATCH_JOBS = 22
BATCH_WORK_S = 15.0
CALM_S = 4.0
# From the kill of the agent to its next start.
RESTART_S = 1.0
WATCH_S = 60.0


def build_job(kind: str, number: int, work_s: float | None) -> SentJob:
    """Return a job of one task."""
    step = {
        "count": 1,
        "cpu": 1000,
        "mem_mb": 512,
        "estimated_ms": int((work_s or 0.3) * 1000),
    }
    if work_s is None:
        step["long_running"] = True
    plan = StepPlan(step, work_s)
    return SentJob(build_job_id(), PREFIX, f"{kind} {number}", [plan])


async def play(record: Record) -> int:
    """Play the case; return the exit status."""
    route = build_route("r-9n73hh2", PREFIX, target_latency_ms=2500, stretch=2.2)
    deployment = Deployment(record, workers=WORKERS, routes=[route])
    jobs = [build_job("standing", n, None) for n in range(STANDING_JOBS)]
    jobs += [build_job("batch", n, BATCH_WORK_S) for n in range(BATCH_JOBS)]
    try:
        if not await deployment.start():
            print("the deployment did not become ready", deployment.folder)
            return NOT_RUN
        for job in jobs:
            if not await deployment.submit(job):
                print("a job was not accepted")
                return NOT_RUN
        await asyncio.sleep(CALM_S)
        lost = await disturb(deployment, record)
        await asyncio.sleep(WATCH_S)
        if deployment.list_ended():
            print("a program has ended:", deployment.list_ended())
            return NOT_RUN
        return await judge(deployment, jobs, lost, record)
    finally:
        await deployment.stop()


async def disturb(deployment: Deployment, record: Record) -> set[str]:
    """Take a machine's runner away and restart its agent; return the runs there."""
    runner = max(deployment.runners, key=lambda one: len(one.runs))
    lost = set(runner.runs)
    record.write("machine", node=runner.name, runs=sorted(lost))
    if not TROUBLE:
        return lost
    agent = next(one for one in deployment.programs if one.node == runner.name)
    agent.kill()
    record.write("agent.kill", node=agent.node)
    await runner.crash()
    await asyncio.sleep(RESTART_S)
    agent.start()
    record.write("agent.start", node=agent.node)
    return lost


async def judge(
    deployment: Deployment, jobs: list[SentJob], lost: set[str], record: Record
) -> int:
    """Check that each task that was on the machine runs again, or has ended."""
    broken = 0
    at_work = {task for runner in deployment.runners for task in runner.runs}
    used = deployment.used_share
    for job in jobs:
        task = f"{job.job_id}.0.0.0"
        state = await deployment.ask_state(job)
        idle = task not in at_work and state not in ("completed", "cancelled")
        if idle:
            broken += 1
            record.write("idle", task=task, state=state, was_there=task in lost)
    record.write("result", idle=broken, used_share=round(used, 3))
    print(
        f"{broken} of {len(jobs)} accepted jobs have nothing running {WATCH_S:.0f} s "
        f"later; {used:.0%} of the capacity is in use"
    )
    return BROKEN if broken and used < 0.5 else HELD


if __name__ == "__main__":
    sys.exit(run_case(play, HERE))
