"""Decides in which order rejected jobs may enter when there is room again.

Load pattern: callers that were rejected together return in a wave. Without an order the
first to return takes the room, and who was rejected first may never enter.

Room is kept only around the time at which an invited caller returns. Kept from the
rejection on, it would be idle for seconds while other callers are rejected.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, replace

from pistachiodeal.scheduling.admission import has_room
from pistachiodeal.scheduling.backlog import LoadLevel, NewJob, QueueLoad

Loads = dict[tuple[str, str], QueueLoad]

MAX_JOBS = 512
MAX_INVITED = 64
# A caller retries four times, at most some eight seconds apart.
KEPT_S = 30.0
# A caller is invited this long before it is due, so that all entries know in time.
LEAD_S = 1.0
# Retry-After is rounded up to whole seconds, and the caller's way takes time.
GRACE_S = 1.5


@dataclass(slots=True)
class _Returning:
    job: NewJob | None
    since: float
    due: float
    invited: bool = False

    def is_due(self, now: float) -> bool:
        return self.due - LEAD_S <= now <= self.due + GRACE_S


class ReturningCallers:
    """Keeps rejected jobs in the order of their first rejection."""

    def __init__(self) -> None:
        self._jobs: dict[str, _Returning] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def record_rejection(
        self, job_id: str, job: NewJob, now: float, retry_after_s: float
    ) -> None:
        """Add a rejected job; the time of its first rejection counts."""
        due = now + retry_after_s
        if job_id in self._jobs:
            self._jobs[job_id].due = due
        elif len(self._jobs) < MAX_JOBS:
            self._jobs[job_id] = _Returning(job, now, due)

    def record_uncertain(self, job_id: str, now: float) -> None:
        """Invite a job whose insert got no answer, since it may exist soon."""
        self._jobs.pop(job_id, None)
        self._jobs[job_id] = _Returning(None, now, now, invited=True)
        while len(self._jobs) > MAX_JOBS:
            del self._jobs[next(iter(self._jobs))]

    def forget(self, known: Container[str], now: float) -> None:
        """Drop the jobs that are known, and those whose callers are gone."""
        for job_id, entry in list(self._jobs.items()):
            if job_id in known or now - entry.since > KEPT_S:
                del self._jobs[job_id]

    def invite(self, loads: Loads, now: float) -> tuple[list[str], Loads]:
        """Return the jobs that may enter, and the loads including their work."""
        loads = dict(loads)
        invited = [job_id for job_id, entry in self._jobs.items() if entry.invited]
        invited = invited[-MAX_INVITED:]
        for job_id in invited:
            if self._jobs[job_id].is_due(now):
                _reserve(loads, self._jobs[job_id].job)
        blocked: set[tuple[str, str]] = set()
        for job_id, entry in self._jobs.items():
            job = entry.job
            if entry.invited or job is None:
                continue
            key = (job.queue, job.demand)
            load = loads.get(key)
            if load is None:
                continue
            if entry.is_due(now) and key not in blocked:
                if len(invited) < MAX_INVITED and has_room(load, job):
                    entry.invited = True
                    invited.append(job_id)
                    _reserve(loads, job)
                    continue
                # A smaller job must not overtake one that was rejected earlier.
                blocked.add(key)
            loads[key] = replace(load, returning_work=load.returning_work + job.work)
        return invited, loads


def _reserve(loads: Loads, job: NewJob | None) -> None:
    """Count the work of an invited job as waiting for new callers."""
    load = loads.get((job.queue, job.demand)) if job is not None else None
    if job is None or load is None:
        return
    first = load.find_level(job.work)
    levels = tuple(
        LoadLevel(level.timely + job.work, level.waiting + job.work)
        if number >= first
        else level
        for number, level in enumerate(load.levels)
    )
    loads[job.queue, job.demand] = replace(load, levels=levels)
