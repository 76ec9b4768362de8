"""The report on queues that ``GET /queues`` returns, as a JSON document.

A column that is None is not known: its feature is off, or the entry's version lacks it.
"""

from __future__ import annotations

from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from pistachiodeal.exceptions import ProtocolError

STEP = "queues.decode"


class _Part(BaseModel):
    model_config = ConfigDict(strict=True, frozen=True, allow_inf_nan=False)


class QueueRow(_Part):
    """One queue.

    :param waiting_jobs: jobs none of whose tasks has been placed.
    :param active_jobs: all other open jobs with work to do now.
    :param work_ahead: core-seconds ordered before a new job.
    :param drain_rate: core-seconds completed per second.
    :param rejected: jobs rejected in the last minute, by reason.
    :param shares: served part of the demanded work, by size class.
    :param obstacle: what keeps most steps waiting.
    """

    queue: str = Field(min_length=1)
    waiting_jobs: int | None = Field(None, ge=0)
    active_jobs: int | None = Field(None, ge=0)
    running_tasks: int | None = Field(None, ge=0)
    work_ahead: float | None = Field(None, ge=0)
    drain_rate: float | None = Field(None, ge=0)
    predicted_wait_s: float | None = Field(None, ge=0)
    rejected: dict[str, int] | None = None
    shares: dict[str, float] | None = None
    obstacle: str | None = None


class SlowWorker(_Part):
    """A worker that is slower than the others.

    :param speed: relative to the usual speed.
    """

    place: str
    speed: float = Field(gt=0)


class QueueReport(_Part):
    """What an entry knows of all queues.

    :param leads: whether the entry leads; another knows only the leader's summary.
    :param leader: peer address of the leader, empty if none is known.
    :param epoch: of the leader whose figures these are, 0 without any.
    :param age_s: age of the summary of the load, None without one.
    """

    leads: bool
    leader: str
    epoch: int = Field(ge=0)
    age_s: float | None
    queues: list[QueueRow]
    slow_workers: list[SlowWorker] | None = None


def encode_report(report: QueueReport) -> bytes:
    """Return the body of an answer."""
    return report.model_dump_json().encode()


def decode_report(document: Any) -> QueueReport:
    """Return the report in a parsed JSON document.

    :raises ProtocolError: the detail lists all missing and invalid fields.
    """
    try:
        return QueueReport.model_validate(document)
    except ValidationError as error:
        faults = [
            f"{'.'.join(str(part) for part in fault['loc']) or 'top'}: {fault['msg']}"
            for fault in error.errors(include_url=False)
        ]
        raise ProtocolError(
            f"not a report on queues ({'; '.join(faults)})", step=STEP
        ) from None
