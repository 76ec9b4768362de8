"""Converts summaries of the backlog and rejected jobs to and from messages."""

from __future__ import annotations

import re
from dataclasses import replace
from typing import Protocol

from pistachiodeal.scheduling.admission import LoadSummary
from pistachiodeal.scheduling.backlog import (
    MAX_QUEUES,
    SHARE_LEVELS,
    LoadLevel,
    NewJob,
    QueueLoad,
)
from pistachiodeal.scheduling.returning_callers import MAX_INVITED
from pistachiodeal.wire.job_messages import (
    JobNotice,
    Label,
    LeaderNotice,
    LoadLevelRow,
    QueueLoadRow,
)

# An unchanged summary is sent again after this long, well before it is too old.
RESEND_S = 1.0
# About ten thousand cores for a year; a larger value is no measurement.
MAX_VALUE = 10**15
JOB_ID = re.compile(r"[0-9a-f]{16}\Z")


class SummarySource(Protocol):
    """Has the newest summary of the leader."""

    @property
    def current(self) -> LoadSummary | None:
        """Return the summary, None if there is none yet."""


class LoadSender:
    """Adds the summary to the notices on one link when it has changed."""

    def __init__(self, source: SummarySource) -> None:
        self._source = source
        self._sent: tuple[tuple[QueueLoadRow, ...], frozenset[str]] | None = None
        self._sent_at = 0.0
        self._computed_at = 0.0

    def extend(self, notice: LeaderNotice, now: float) -> LeaderNotice:
        """Return the notice with the summary, or as it is."""
        summary = self._source.current
        if summary is None or summary.computed_at == self._computed_at:
            return notice
        content = encode_loads(list(summary.loads.values())), summary.invited
        if content == self._sent and now - self._sent_at < RESEND_S:
            return notice
        self._sent, self._sent_at = content, now
        self._computed_at = summary.computed_at
        return replace(
            notice,
            load=content[0],
            invited=tuple(Label(job_id) for job_id in sorted(summary.invited)),
            load_age_ms=int((now - summary.computed_at) * 1000),
        )


def encode_loads(loads: list[QueueLoad]) -> tuple[QueueLoadRow, ...]:
    """Return the rows of a summary."""
    return tuple(
        QueueLoadRow(
            load.queue,
            load.demand,
            load.waiting_jobs,
            _to_milli(load.drain),
            _to_milli(load.drain_high),
            _to_milli(load.oldest_wait_s),
            _to_milli(load.usual_path_s),
            _to_milli(load.usual_work),
            _to_milli(load.returning_work),
            tuple(
                LoadLevelRow(_to_milli(level.timely), _to_milli(level.waiting))
                for level in load.levels
            ),
        )
        for load in loads
    )


def decode_summary(notice: LeaderNotice, now: float) -> tuple[LoadSummary | None, int]:
    """Return the summary in a notice, None without one, and how many rows are invalid.

    Without the invalid rows, the jobs of their queues are accepted.

    :param now: when the notice was received, seconds.
    """
    if notice.load_age_ms < 0:
        return None, 0
    rows = notice.load[:MAX_QUEUES]
    loads = {
        (row.queue, row.demand): _decode_load(row) for row in rows if _is_valid(row)
    }
    invited = frozenset(label.text for label in notice.invited[:MAX_INVITED])
    computed_at = now - notice.load_age_ms / 1000
    summary = LoadSummary(notice.epoch, computed_at, loads, invited)
    return summary, len(notice.load) - len(loads)


def encode_rejection(job_id: str, job: NewJob, retry_after_s: float) -> JobNotice:
    """Return the notice of a rejected job."""
    return JobNotice(
        job_id,
        rejected=True,
        queue=job.queue,
        demand=job.demand,
        work=_to_milli(job.work),
        path_ms=_to_milli(job.path_s),
        stretch_milli=_to_milli(job.stretch),
        aim_ms=_to_milli(job.aim_s),
        retry_ms=_to_milli(retry_after_s),
    )


def decode_rejection(notice: JobNotice) -> NewJob | None:
    """Return the rejected job that a notice describes, None if it is invalid."""
    values = (notice.work, notice.path_ms, notice.stretch_milli, notice.aim_ms)
    if not JOB_ID.match(notice.key) or not _are_valid(*values, notice.retry_ms):
        return None
    work, path_s, stretch, aim_s = (value / 1000 for value in values)
    return NewJob(notice.queue, notice.demand, work, path_s, stretch, aim_s)


def _decode_load(row: QueueLoadRow) -> QueueLoad:
    return QueueLoad(
        row.queue,
        row.demand,
        row.waiting_jobs,
        row.drain_milli / 1000,
        row.drain_high_milli / 1000,
        row.oldest_wait_ms / 1000,
        row.usual_path_ms / 1000,
        row.usual_work / 1000,
        row.returning_work / 1000,
        tuple(
            LoadLevel(level.timely_work / 1000, level.waiting_work / 1000)
            for level in row.levels
        ),
    )


def _is_valid(row: QueueLoadRow) -> bool:
    if len(row.levels) != len(SHARE_LEVELS):
        return False
    works = [work for one in row.levels for work in (one.timely_work, one.waiting_work)]
    return _are_valid(
        row.waiting_jobs,
        row.drain_milli,
        row.drain_high_milli,
        row.oldest_wait_ms,
        row.usual_path_ms,
        row.usual_work,
        row.returning_work,
        *works,
    )


def _are_valid(*values: int) -> bool:
    return all(0 <= value <= MAX_VALUE for value in values)


def _to_milli(value: float) -> int:
    return round(min(value, MAX_VALUE / 1000) * 1000)
