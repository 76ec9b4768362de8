"""Case 3: a runner crashes after its machine's agent has seen some 400 jobs."""

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
# One of the eleven machines is of another kind, which the jobs of this case require.
SPECIAL, KIND = 5, "b"
PREFIX = "/lohu930/"
STANDING_JOBS = 20
SHORT_JOBS = 378
SHORT_EVERY_S = 0.12
CRASH_S = 4.0
NEW_JOBS = 28
WATCH_S = 8.0


def build_job(kind: str, number: int, *, lasts: bool) -> SentJob:
    """Return a job of one small task for the special machine."""
    step = {
        "count": 1,
        "cpu": 100,
        "mem_mb": 64,
        "estimated_ms": 200,
        "requirements": KIND,
    }
    if lasts:
        step["long_running"] = True
    spec = f"{kind}-{number}: print order {number} of the {kind} jobs"
    plan = StepPlan(step, None if lasts else 0.2)
    return SentJob(build_job_id(), PREFIX, spec, [plan])


async def submit_all(deployment: Deployment, jobs: list[SentJob], gap_s: float) -> int:
    """Hand jobs in, one after the other; return how many were accepted."""
    async with asyncio.TaskGroup() as group:
        sent = []
        for job in jobs:
            sent.append(group.create_task(deployment.submit(job)))
            await asyncio.sleep(gap_s)
    return sum(task.result() for task in sent)


async def play(record: Record) -> int:
    """Play the case; return the exit status."""
    route = build_route("r-3hwrr6x", PREFIX)
    deployment = Deployment(
        record, workers=WORKERS, routes=[route], kinds={SPECIAL: KIND}
    )
    special = deployment.runners[SPECIAL]
    try:
        if not await deployment.start():
            print("the deployment did not become ready", deployment.folder)
            return NOT_RUN
        standing = [build_job("standing", n, lasts=True) for n in range(STANDING_JOBS)]
        short = [build_job("short", n, lasts=False) for n in range(SHORT_JOBS)]
        new = [build_job("new", n, lasts=True) for n in range(NEW_JOBS)]
        accepted = await submit_all(deployment, standing, 0.1)
        accepted += await submit_all(deployment, short, SHORT_EVERY_S)
        await asyncio.sleep(1.0)
        if TROUBLE:
            await special.crash()
        accepted += await submit_all(deployment, new, CRASH_S / NEW_JOBS)
        if TROUBLE:
            await special.start()
        await asyncio.sleep(WATCH_S)
        record.write("accepted", jobs=accepted, ended=deployment.list_ended())
        if accepted < STANDING_JOBS + SHORT_JOBS or deployment.list_ended():
            print("too few jobs were accepted:", accepted, deployment.list_ended())
            return NOT_RUN
        return judge(deployment, record)
    finally:
        await deployment.stop()


def judge(deployment: Deployment, record: Record) -> int:
    """Compare what the runners were told to start with what the clients sent."""
    wrong, total = [], 0
    for runner in deployment.runners:
        for at, task, number, spec in runner.starts:
            total += 1
            job = deployment.jobs.get(task.partition(".")[0])
            if job is None or spec != job.spec:
                sent = job.spec if job else None
                wrong.append((at, task, number))
                record.write("UNASKED", task=task, run=number, told=spec, sent=sent)
    print(f"{total} starts, {len(wrong)} with another spec than the client sent")
    record.write("result", starts=total, wrong=len(wrong))
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    sys.exit(run_case(play, HERE))
