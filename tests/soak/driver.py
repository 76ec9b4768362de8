"""Runs one seed: callers, faults, and the check of the guarantees."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from pathlib import Path

import curio

from tests.soak.callers import CalledJob, Callers
from tests.soak.deployment import Deployment
from tests.soak.faults import FaultInjector

JOB_EVERY_S = 0.12
START_S = 2.5
# The first leader reads the rows of many jobs.
SLOW_START_S = 7.0
# Time after the last fault for a lease to expire, a take-over and the queued work.
FINISH_S = 40.0
WATCH_PAUSE_S = 0.25


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a seed."""

    seed: int
    accepted: int
    refused: int
    completed: int
    starts: int
    violations: tuple[str, ...]
    faults: tuple[str, ...]


async def run_seed(
    seed: int,
    folder: Path,
    *,
    faults_s: float,
    entries: int = 3,
    agents: int = 4,
    with_vms: bool = False,
    slow_links: bool = False,
) -> Result:
    """Run a seed.

    :param folder: for settings and logs of the processes.
    :param faults_s: for how many seconds faults are injected.
    :param with_vms: whether VMs restart without their runner as well.
    :param slow_links: see :class:`Deployment`.
    """
    rng = random.Random(seed)
    deployment = Deployment(entries, agents, folder, seed, slow_links=slow_links)
    callers = Callers(deployment.list_caller_addresses(), deployment.checker, rng)
    injector = FaultInjector(deployment, random.Random(seed + 1), with_vms=with_vms)
    try:
        await deployment.start()
        await curio.sleep(SLOW_START_S if slow_links else START_S)
        ends_at = time.monotonic() + faults_s
        calling = await curio.spawn(_submit_jobs, callers, ends_at)
        watching = await curio.spawn(_watch_jobs, callers)
        await injector.run(lambda: time.monotonic() > ends_at)
        await injector.clear_all()
        await calling.join()
        await _wait_finished(callers)
        await watching.cancel()
        for job in callers.jobs.values():
            if job.withdrawn:
                await callers.poll_state(job)
        callers.check_end()
    finally:
        deployment.stop()
    return _build_result(seed, callers, injector)


async def _submit_jobs(callers: Callers, ends_at: float) -> None:
    number = 1
    async with curio.TaskGroup() as group:
        while time.monotonic() < ends_at:
            await group.spawn(callers.submit, number)
            number += 1
            await curio.sleep(JOB_EVERY_S)


async def _watch_jobs(callers: Callers) -> None:
    while True:
        for job in list(callers.jobs.values()):
            if job.accepted_at:
                await callers.poll_state(job)
        await curio.sleep(WATCH_PAUSE_S)


async def _wait_finished(callers: Callers) -> None:
    until = time.monotonic() + FINISH_S
    left = _list_open(callers)
    while left and time.monotonic() < until:
        await curio.sleep(WATCH_PAUSE_S)
        for job in left:
            await callers.poll_state(job)
        left = _list_open(callers)


def _list_open(callers: Callers) -> list[CalledJob]:
    return [
        job
        for job in callers.jobs.values()
        if job.accepted_at and job.state not in ("completed", "failed", "cancelled")
    ]


def _build_result(seed: int, callers: Callers, injector: FaultInjector) -> Result:
    jobs = callers.jobs.values()
    return Result(
        seed,
        sum(1 for job in jobs if job.accepted_at),
        sum(1 for job in jobs if job.refused),
        sum(1 for job in jobs if job.state == "completed"),
        sum(history.starts for history in callers.checker.tasks.values()),
        (*callers.violations, *callers.checker.violations),
        tuple(injector.log),
    )
