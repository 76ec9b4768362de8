"""A job that was cancelled after an unanswered submission starts seconds later."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world_3 import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    CannotRunError,
    Client,
    World,
    build_queue,
    run_case,
)

RUNNERS = 8
BUDGET_S = 1.0
LATE_S = 5.5
WATCH_S = 15.0


async def case(world: World) -> list[str]:
    """Submit a job, lose the store's answer to its write, and cancel the job."""
    await world.start(3, RUNNERS, queues=[build_queue()])
    client = Client(world)
    step = {"count": 4, "cpu": 1000, "mem_mb": 1000, "estimated_ms": 9000}
    job = f"{world.rng.getrandbits(64):016x}"
    world.specs[job] = {"steps": [{**step, "work_s": 9.0}], "advised": False}
    await asyncio.sleep(4.0)
    if TROUBLE:
        world.store.faults.late_s = LATE_S
        world.store.faults.late_key = job
    path, body = client.prefix + job, {"spec": f"text of {job}", "steps": [step]}
    submitted, _ = await client.ask("POST", path, body, timeout=BUDGET_S)
    cancelled = await client.cancel(job)
    acked = time.monotonic()
    if cancelled not in (200, 410):
        raise CannotRunError("the cancelling was not acknowledged")
    limit_s = BOUNDS["cancel_ms"] / 1000
    started: dict[str, float] = {}
    while time.monotonic() - acked < WATCH_S:
        for run in world.list_running(job):
            started.setdefault(run.task, run.began - acked)
        await asyncio.sleep(0.02)
    late = [after for after in started.values() if after > limit_s]
    if not late:
        return []
    return [
        f"UNASKED: {len(late)} tasks started {min(late):.2f} s after the cancelling "
        f"was answered with {cancelled} (the submission with {submitted}); the job is "
        f"shown as {await client.get_state(job)}"
    ]


if __name__ == "__main__":
    run_case(case, FOLDER)
