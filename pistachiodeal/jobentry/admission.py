"""Rejects jobs that can't be completed while they are worth anything."""

from __future__ import annotations

import random
from collections import Counter

import curio

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.exceptions import (
    LinkClosedError,
    Outcome,
    PistachiodealError,
    RequestError,
)
from pistachiodeal.jobentry.acceptance import Acceptance
from pistachiodeal.jobentry.peer_server import PeerServer
from pistachiodeal.jobentry.states import JobStates
from pistachiodeal.jobs.model import Job
from pistachiodeal.leader.election import Election
from pistachiodeal.leader.load_messages import decode_summary, encode_rejection
from pistachiodeal.peers import PeerContext
from pistachiodeal.scheduling.admission import Admission, LoadSummary, Rejection
from pistachiodeal.scheduling.backlog import QueueLoad, describe_new_job
from pistachiodeal.scheduling.retry_after import choose_retry_after_s
from pistachiodeal.wire.job_messages import JobNotice, LeaderNotice

# The check whether a job exists takes at most this long, and a third of the time that
# the caller waits, so that enough is left for its insert.
MAX_CHECK_S = 0.6
CHECK_SHARE = 1 / 3
# The rejection doesn't wait for a link that accepts no more bytes.
SEND_TIMEOUT_S = 0.1
# An insert without an answer may still be carried out for this long.
UNCERTAIN_S = 30.0


class AdmissionGate:
    """Decides on each submission by the leader's newest summary."""

    def __init__(
        self,
        acceptance: Acceptance,
        states: JobStates,
        peer_server: PeerServer,
        election: Election,
        peers: PeerContext,
    ) -> None:
        self._acceptance = acceptance
        self._states = states
        self._peer_server = peer_server
        self._election = election
        self._directory = peers.directory
        self._events = peers.events
        self._admission = Admission(self._record_change)
        self._random = random.Random()
        self._inserting: Counter[str] = Counter()
        self._uncertain: dict[str, float] = {}
        self._invalid_epoch = -1

    @property
    def summary(self) -> LoadSummary | None:
        """Return the newest summary of a leader, None before the first."""
        return self._admission.current

    def apply_notice(self, notice: LeaderNotice) -> None:
        """Take over the summary in a notice of the leader."""
        summary, invalid = decode_summary(notice, read_boot_clock())
        if invalid and notice.epoch != self._invalid_epoch:
            self._invalid_epoch = notice.epoch
            self._events.emit("load.unreadable", epoch=notice.epoch, rows=invalid)
        if summary is not None:
            self._admission.apply(summary)

    async def submit(self, job: Job, value: bytes, budget_s: float) -> None:
        """Insert a job, or reject it.

        :param value: the job's row.
        :param budget_s: how long the caller waits, seconds.
        :raises RequestError: the job was rejected, or its insert failed.
        """
        began_at = read_boot_clock()
        if self._decide(job) is not None:
            check_s = min(MAX_CHECK_S, CHECK_SHARE * budget_s)
            detail = await self._find_reason_to_accept(job.job_id, check_s)
            # The check takes time, in which the leader may have been lost.
            rejection = self._decide(job)
            if rejection is not None and not detail:
                await self._reject(job, rejection)
            self._events.emit(
                "job.admitted", job=job.job_id, why=detail or "the load has fallen"
            )
        await self._insert(job.job_id, value, budget_s - read_boot_clock() + began_at)

    async def _insert(self, job_id: str, value: bytes, budget_s: float) -> None:
        certain = False
        self._inserting[job_id] += 1
        try:
            await self._acceptance.insert(job_id, value, budget_s)
            certain = True
        except RequestError as error:
            certain = error.outcome is Outcome.NOT_RUN
            if not certain:
                await self._send(JobNotice(job_id, uncertain=True))
            raise
        finally:
            self._inserting[job_id] -= 1
            if not self._inserting[job_id]:
                del self._inserting[job_id]
            if not certain:
                self._record_uncertain(job_id)

    def _decide(self, job: Job) -> Rejection | None:
        if job.repeats or any(step.lasts for step in job.steps):
            return None
        leadership = self._peer_server.leadership
        if leadership is not None:
            load = leadership.load_summary
            if load is None or load.current is None:
                return None
            self._admission.apply(load.current)
        now = read_boot_clock()
        current = self._admission.current
        if current is not None:
            self._events.stats.time("load_summary_age", now - current.computed_at)
        return self._admission.decide(
            job.job_id, describe_new_job(job), now, self._directory.epoch
        )

    async def _find_reason_to_accept(self, job_id: str, check_s: float) -> str:
        """Return why a job may not be rejected, empty if it certainly doesn't exist."""
        if job_id in self._inserting or job_id in self._uncertain:
            return "an insert of it may still be carried out"
        try:
            async with curio.timeout_after(check_s):
                state = await self._states.find_state(job_id)
        except curio.TaskTimeout:
            return "its state was not found in time"
        except (PistachiodealError, ValueError) as error:
            # A row or a state of another version can't be read, but it exists.
            return f"its state is unknown: {error}"
        if job_id in self._inserting or job_id in self._uncertain:
            return "an insert of it may still be carried out"
        return "" if state is None else "it exists"

    async def _reject(self, job: Job, rejection: Rejection) -> None:
        load, prediction = rejection.load, rejection.prediction
        retry_after_s = choose_retry_after_s(rejection.room_in_s, self._random)
        self._events.emit(
            "job.rejected",
            job=job.job_id,
            queue=load.queue,
            demand=load.demand,
            predicted_ms=int(prediction.completion_s * 1000),
            allowed_ms=int(prediction.limit_s * 1000),
            ahead=round(prediction.ahead, 1),
            drain=round(load.drain, 2),
            drain_high=round(load.drain_high, 2),
            waiting_jobs=load.waiting_jobs,
            oldest_ms=int(load.oldest_wait_s * 1000),
            epoch=rejection.epoch,
            summary_ms=int(rejection.age_s * 1000),
            retry_ms=int(retry_after_s * 1000),
        )
        self._events.stats.count(f"job_rejected_{load.queue}")
        await self._send(
            encode_rejection(job.job_id, describe_new_job(job), retry_after_s)
        )
        raise RequestError(
            f"the job would end after {prediction.completion_s:.1f} s at best, and is "
            f"worth nothing after {prediction.limit_s:.1f} s; there may be room in "
            f"{rejection.room_in_s:.1f} s",
            code="overloaded",
            status=429,
            outcome=Outcome.NOT_RUN,
            retry_after=retry_after_s,
            step="jobs.admit",
        )

    async def _send(self, notice: JobNotice) -> None:
        """Notify the leader; a lost notice only costs the caller its place."""
        leadership = self._peer_server.leadership
        if leadership is not None:
            leadership.handle_notice(notice)
            return
        link = self._election.link
        if link is None:
            return
        try:
            await curio.ignore_after(SEND_TIMEOUT_S, link.send, notice)
        except LinkClosedError:
            return

    def _record_uncertain(self, job_id: str) -> None:
        now = read_boot_clock()
        self._uncertain.pop(job_id, None)
        self._uncertain[job_id] = now
        while now - next(iter(self._uncertain.values())) > UNCERTAIN_S:
            del self._uncertain[next(iter(self._uncertain))]

    def _record_change(
        self, queue: str, overloaded: bool, load: QueueLoad | None
    ) -> None:
        self._events.emit(
            "queue.overloaded" if overloaded else "queue.relieved",
            queue=queue,
            ahead=round(load.waiting_work, 1) if load else 0,
            drain=round(load.drain, 2) if load else None,
            waiting_jobs=load.waiting_jobs if load else 0,
        )
