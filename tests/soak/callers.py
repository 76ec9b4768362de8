"""Callers of the soak test, and the guarantees that they check."""

from __future__ import annotations

import json
import random
import time
from dataclasses import dataclass, field

import curio

from pistachiodeal.web.client import CallError, WebClient, create_client
from tests.soak.deployment import PREFIX
from tests.soak.platform import TimedInvariantChecker

CALL_TIMEOUT_S = 3.0
# Documented limits, and a margin for a busy machine.
VISIBLE_S = 3.0
CANCEL_S = 3.0
MARGIN_S = 1.5
FINAL = ("completed", "failed", "cancelled")
HEADERS = (("content-type", "application/json"),)
LOST, REFUSED, GONE = 0, (429, 503), 410
UNKNOWN = (LOST, 502, 504)
CANCELLED_SHARE = 0.15
# Share of the callers without an answer that cancel the job instead of repeating it.
WITHDRAWN_SHARE = 0.3
PAUSE_S = 0.15


@dataclass
class CalledJob:
    """A caller's view of its job.

    :param accepted_at: when its submission succeeded, 0 before.
    :param refused: whether the answer said that the job never runs.
    :param withdrawn: whether a cancellation was answered that there is no such job.
    """

    job_id: str
    accepted_at: float = 0.0
    refused: bool = False
    cancelled_at: float = 0.0
    withdrawn: bool = False
    state: str = ""
    state_at: float = 0.0


@dataclass
class Callers:
    """All callers; ``violations`` has a line for each broken guarantee."""

    addresses: list[str]
    checker: TimedInvariantChecker
    rng: random.Random
    jobs: dict[str, CalledJob] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        # Of their own, so that the seeds go on to play the same faults.
        self._draws = random.Random(self.rng.getstate()[1][0])
        self._clients = [
            create_client(address, connections=8) for address in self.addresses
        ]

    async def submit(self, number: int) -> None:
        """Submit a job until it is accepted or refused, and cancel some of them."""
        job = CalledJob(f"{number:016x}")
        self.jobs[job.job_id] = job
        cancels = self.rng.random() < CANCELLED_SHARE
        step = {"count": 3, "cpu": 1000, "mem_mb": 500, "estimated_ms": 400}
        steps = [step, {**step, "count": 2, "start_after": [0]}]
        spec = self.checker.texts[job.job_id] = f"soak {number}"
        body = json.dumps({"spec": spec, "steps": steps}).encode()
        unknown = False
        while not job.accepted_at and not job.refused:
            status, _ = await self._call("POST", job.job_id, body)
            unknown |= status in UNKNOWN
            if status in UNKNOWN and self._draws.random() < WITHDRAWN_SHARE:
                await self._cancel(job)
                return
            if status == 200:
                job.accepted_at = time.monotonic()
            elif status in REFUSED:
                # An earlier try without an answer may have been accepted.
                job.refused = not unknown
            elif status not in UNKNOWN:
                self.violations.append(f"answered {status}: {job.job_id}")
                return
            await curio.sleep(PAUSE_S)
        if job.accepted_at and cancels:
            await curio.sleep(self.rng.uniform(0.0, 0.5))
            await self._cancel(job)

    async def poll_state(self, job: CalledJob) -> bool:
        """Query a job's state; return whether it is final."""
        asked_at = time.monotonic()
        status, body = await self._call("GET", job.job_id, b"")
        if (
            status == GONE
            and job.accepted_at
            and asked_at - job.accepted_at > VISIBLE_S + MARGIN_S
        ):
            self.violations.append(f"lost: {job.job_id} is answered 410")
        if status != 200:
            return False
        state = json.loads(body)["state"]
        if state != job.state:
            self._check_change(job, state)
            job.state, job.state_at = state, time.monotonic()
        return state in FINAL

    def check_end(self) -> None:
        """Check the guarantees that hold once all faults are over."""
        for job in self.jobs.values():
            starts = self._list_starts(job)
            if job.refused and starts:
                self.violations.append(f"refused and ran: {job.job_id}")
            if job.accepted_at and job.state not in FINAL:
                self.violations.append(f"not finished: {job.job_id} is {job.state!r}")
            if job.withdrawn and job.state:
                self.violations.append(f"no job, and {job.state}: {job.job_id}")
            if job.state == "failed":
                self.violations.append(f"failed without a cause: {job.job_id}")
            if job.withdrawn and starts:
                self.violations.append(f"no job, and started: {job.job_id}")
            limit = job.cancelled_at + CANCEL_S + MARGIN_S
            if job.cancelled_at and max(starts, default=0.0) > limit:
                self.violations.append(f"started after its cancellation: {job.job_id}")
            if job.state == "completed" and len(starts) < 5:
                self.violations.append(f"completed without all tasks: {job.job_id}")

    def _check_change(self, job: CalledJob, state: str) -> None:
        if job.state not in FINAL:
            return
        # An entry answers "cancelled" by the row, the leader only after reading it.
        lag_s = time.monotonic() - job.state_at
        if job.state == "cancelled" and lag_s < VISIBLE_S:
            return
        self.violations.append(f"went back: {job.job_id} {job.state}, then {state}")

    def _list_starts(self, job: CalledJob) -> list[float]:
        return [
            at
            for task, at in self.checker.started_at.items()
            if task.startswith(job.job_id)
        ]

    async def _cancel(self, job: CalledJob) -> None:
        for _ in range(20):
            status, _ = await self._call("DELETE", job.job_id, b"")
            if status in (200, GONE):
                job.withdrawn = status == GONE
                job.cancelled_at = time.monotonic()
                return
            await curio.sleep(PAUSE_S)

    async def _call(self, method: str, job_id: str, body: bytes) -> tuple[int, bytes]:
        client: WebClient = self.rng.choice(self._clients)
        try:
            response = await client.call(
                method,
                PREFIX + job_id,
                headers=HEADERS,
                body=body,
                timeout=CALL_TIMEOUT_S,
            )
        except CallError:
            return LOST, b""
        return response.status, response.body
