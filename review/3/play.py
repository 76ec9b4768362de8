"""Case 3: the only machine that may run some standing jobs flaps twice."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment import Deployment, build_job_id, build_route  # noqa: E402
from standins import Record, Runner, SentJob, StepPlan  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 11
SPECIAL, KIND = 5, "b"
PREFIX = "/pule252/"
# Bounds of the site lisovna-zahorie-grown that differ from the small one.
BOUNDS = {
    "config_apply_ms": 3000,
    "max_stretch_ms": 6000,
    "remote_factor": 2.0,
    "interference_ms": 4500,
}
STANDING_JOBS = 4
CALM_S = 6.0
FLAPS = 2
FLAP_S = 5.4
PERIOD_S = 1.4
BETWEEN_S = 7.0
WATCH_S = 15.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def build_standing(number: int) -> SentJob:
    """Return a sound job that lasts and requires the special machine."""
    step = {
        "count": 1,
        "cpu": 1000,
        "mem_mb": 512,
        "estimated_ms": 300,
        "long_running": True,
        "requirements": KIND,
    }
    spec = f"matrix watch {number}"
    return SentJob(build_job_id(), PREFIX, spec, [StepPlan(step, None)])


async def flap(runner: Runner) -> None:
    """Let a runner go down and up by turns."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + FLAP_S
    while loop.time() < ends_at:
        await runner.crash()
        await asyncio.sleep(PERIOD_S / 2)
        await runner.start()
        await asyncio.sleep(PERIOD_S / 2)


async def play(record: Record) -> int:
    """Play the case; return the exit status."""
    route = build_route(
        "r-9n73hh2", PREFIX, target_latency_ms=2500, stretch=2.2, attempts=2
    )
    deployment = Deployment(
        record, workers=WORKERS, routes=[route], kinds={SPECIAL: KIND}, bounds=BOUNDS
    )
    try:
        if not await deployment.start():
            print("the deployment did not become ready", deployment.folder)
            return NOT_RUN
        jobs = [build_standing(number) for number in range(STANDING_JOBS)]
        for job in jobs:
            if not await deployment.submit(job):
                print("a job was not accepted")
                return NOT_RUN
        await asyncio.sleep(CALM_S)
        special = deployment.runners[SPECIAL]
        if len(special.runs) != STANDING_JOBS:
            print("the jobs were not at work before the disruption")
            return NOT_RUN
        for _ in range(FLAPS):
            if TROUBLE:
                await flap(special)
            await asyncio.sleep(BETWEEN_S)
        await asyncio.sleep(WATCH_S)
        return await judge(deployment, jobs, record)
    finally:
        await deployment.stop()


async def judge(deployment: Deployment, jobs: list[SentJob], record: Record) -> int:
    """Check that no job is shown as failed, and that each is at work."""
    failed_ends = sum(runner.failed_ends for runner in deployment.runners)
    broken = []
    for job in jobs:
        state = await deployment.ask_state(job)
        at_work = any(
            task.startswith(job.job_id)
            for runner in deployment.runners
            for task in runner.runs
        )
        record.write(
            "verdict",
            job=job.job_id,
            state=state,
            at_work=at_work,
            failed_ends=failed_ends,
        )
        if state == "failed" and not failed_ends:
            broken.append(job.job_id)
    if deployment.list_ended():
        print("a program has ended:", deployment.list_ended())
        return NOT_RUN
    print(
        f"{len(broken)} of {len(jobs)} jobs are shown as failed, with {failed_ends} "
        "ends `failed`"
    )
    return BROKEN if broken else HELD


def main() -> int:
    """Play the case and write its record."""
    record = Record(str(HERE / "record.txt"))
    try:
        return asyncio.run(play(record))
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
