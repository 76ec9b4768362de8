"""Odd values of other writers, from where they are decoded to where they are used."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import orjson
import pytest

from pistachiodeal.exceptions import ProtocolError, RequestError
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobentry.configuration_copy import ConfigurationCopy
from pistachiodeal.jobs.progress import apply_progress, encode_progress
from pistachiodeal.jobs.record import JobRecord, build_record
from pistachiodeal.jobs.rows import decode_ended_job, decode_job, encode_job
from pistachiodeal.jobs.runtime import CallResult
from pistachiodeal.leader.learned_periods import decode_periods
from pistachiodeal.leader.learned_state import decode_learned_state
from pistachiodeal.leader.speed_row import decode_speeds
from pistachiodeal.leader.workers import Attachment, build_order
from pistachiodeal.malformed import MAX_DESCRIPTION
from pistachiodeal.platform.advice import _decode as decode_advice
from pistachiodeal.platform.callers import parse_job
from pistachiodeal.platform.runner import (
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    decode_goodbye,
    decode_heartbeat,
    decode_listing,
)
from pistachiodeal.scheduling.durations import DurationModel
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.scheduling.load_forecast import SlackForecaster
from pistachiodeal.scheduling.worker_speed import SpeedModel
from pistachiodeal.wire.codec import LENGTH_BYTES, decode_message, encode_message
from pistachiodeal.wire.configuration_messages import ConfigurationQuery
from pistachiodeal.wire.messages import Message
from tests.standins.job_cluster import QUEUE, build_job, create_quiet_log
from tests.unit.test_foreign_writers import (
    BEAT,
    CONFIGURATION,
    LISTING,
    build_progress,
    list_paths,
    spoil,
)

WORKER = "i-1@1783446900684"
# Replaced by a list that is nested as deeply as the decoder of JSON admits.
DEEP = "deeply nested"
DEEP_JSON = b"[" * 1_000 + b"]" * 1_000
ODD_VALUES = [
    None,
    True,
    "",
    "\0",
    "\u0663",
    "9" * 5_000,
    "x" * 100_000,
    "\u00e9\U0001f642" * 600,
    ["x"] * 1_000,
    [],
    {},
    DEEP,
    {"a": DEEP},
    -1,
    0,
    1.5,
    2**31,
    2**32,
    2**53 + 1,
    2**63 - 1,
    2**63,
    2**64 - 1,
    -(2**63),
    5e-324,
    1e300,
    -1e300,
]
JOB = orjson.loads(encode_job(build_job(1)))
JOB["steps"][0] |= {
    "spread": 2,
    "serves_ms": 50,
    "image": "a",
    "label": "b",
    "data_rack": "r",
    "fills": True,
    "may_be_away": 1,
}
BODY = {
    "spec": "x",
    "steps": [
        {
            "count": 2,
            "cpu": 100,
            "mem_mb": 10,
            "gpu": 1,
            "estimated_ms": 100,
            "anti_affinity": 1,
            "target_ms": 50,
            "may_miss": 1,
            "image": "a",
            "requirements": "b",
            "data_rack": "r",
            "fills": True,
        },
        {"count": 1, "start_after": [0]},
    ],
    "repeat_count": 1,
    "first_run_ms": 5,
    "interval_ms": 5,
}
LESSONS = {
    "pairs": [["f", "s", 0.5, 0.1]],
    "durations": {"q": [1.0, 0.1, 0.2, 0.1, 0.1]},
    "speeds": {"node/w": 0.5},
    "periods": [["s", 10.0, 0.9]],
}
ENDED = {"ended": True, "queue": "q", "accepted_s": 1.0, "repeats": 0}
ADVICE = {"approved": [["i-1", "ticket"]], "valid_ms": 1_000}


def send(message: Message) -> None:
    """Encode and decode a message between this project's processes."""
    frame = encode_message(message)
    decode_message(frame[LENGTH_BYTES:], packed=True)


def use_record(record: JobRecord) -> None:
    """Write a job's progress, and order its tasks."""
    record.open_due(2e9)
    for task in record.iterate_tasks():
        task.run += 1
        attachment = Attachment("node", 1)
        attachment.order_start(build_order(task), record.job_id, record.job.text)
        send(attachment.build_directive(1, "w", 0, 1, 1))
    apply_progress(build_record(record.job), encode_progress(record), 1)


def use_heartbeat(value: bytes) -> None:
    ledger = AgentLedger(create_quiet_log())
    ledger.adopt(decode_heartbeat(HEARTBEAT_PATH + "i-1", value))
    send(ledger.build_report(1))


def use_listing(value: bytes) -> None:
    document = orjson.loads(value)
    if not isinstance(document, dict):
        return
    listing = decode_listing(WORKER, document)
    assert len(listing.detail) <= 2 * MAX_DESCRIPTION
    if listing.result is not CallResult.DONE:
        return
    ledger = AgentLedger(create_quiet_log())
    ledger.adopt(decode_heartbeat(HEARTBEAT_PATH + "i-1", orjson.dumps(BEAT)))
    ledger.apply_listing(listing, 1.0, 1.0)
    send(ledger.build_report(1))


def use_job_row(value: bytes) -> None:
    use_record(build_record(decode_job(build_job(1).job_id, value)))


def use_submission(value: bytes) -> None:
    job = parse_job(QUEUE, build_job(1).job_id, value)
    use_job_row(encode_job(job))


def use_progress_row(value: bytes) -> None:
    record = build_record(build_job(1))
    apply_progress(record, value, 1)
    use_record(record)


def use_lessons(value: bytes) -> None:
    interference, durations = InterferenceModel(), DurationModel()
    learned = decode_learned_state(value)
    interference.adopt(learned.pairs)
    for queue, fit in learned.durations.items():
        durations.adopt(queue, fit)
        durations.predict_s(queue, 1.0)
    attachment = Attachment("node", 1)
    for pair in learned.pairs:
        key = pair.filling, pair.serving
        attachment.queue_interference(key, pair.interference)
    interference.list_estimates(10)
    send(attachment.build_directive(1, "w", 0, 1, 1))


def use_speeds(value: bytes) -> None:
    model = SpeedModel()
    model.adopt(decode_speeds(value), 1.0)
    model.get_speed("node/w", 2.0)


def use_periods(value: bytes) -> None:
    forecaster = SlackForecaster()
    forecaster.adopt(decode_periods(value))
    for at in range(200):
        forecaster.observe(("j", 0, 0), "s", 0.5 + 0.1 * (at % 10), float(at))
    forecaster.forecast(("j", 0, 0), "s", 200.0, 5.0)


def use_configuration(value: bytes) -> None:
    copy = ConfigurationCopy(create_quiet_log())
    copy.apply(value, "store")
    copy.find("h", "/p/x")
    frame = encode_message(copy.answer(ConfigurationQuery(0)))
    assert frame


def use_advice(value: bytes) -> None:
    decode_advice(orjson.loads(value), {"i-1": WORKER})


READERS: dict[str, tuple[Any, Callable[[bytes], None]]] = {
    "heartbeat": (BEAT, use_heartbeat),
    "goodbye": ({"born": 1}, lambda v: decode_goodbye(DEREGISTER_PATH + "i-1", v)),
    "listing": (LISTING, use_listing),
    "job row": (JOB, use_job_row),
    "submission": (BODY, use_submission),
    "ended row": (ENDED, lambda v: decode_ended_job(f"{1:016x}", v)),
    "progress row": (build_progress(), use_progress_row),
    "lessons": (LESSONS, use_lessons),
    "speeds": (LESSONS, use_speeds),
    "periods": (LESSONS, use_periods),
    "configuration": (CONFIGURATION, use_configuration),
}


def iterate_odd(document: Any) -> Iterator[tuple[tuple, Any, bytes]]:
    """Yield a document once for each of its values and each odd one in its place."""
    for path in list_paths(document):
        for odd in ODD_VALUES:
            yield path, odd, encode(spoil(document, path, odd))


def encode(document: Any) -> bytes:
    """Encode a document that may hold deeply nested values."""
    return orjson.dumps(document).replace(orjson.dumps(DEEP), DEEP_JSON)


@pytest.mark.parametrize("name", READERS)
def test_a_value_is_refused_or_can_be_used(name: str):
    """Guards against a value that is accepted, and ends whoever uses it.

    It may be nested too deeply to be printed, or too large for a message between this
    project's processes or for a row.
    """
    document, use = READERS[name]
    use(orjson.dumps(document))
    failures = []
    for path, odd, value in iterate_odd(document):
        try:
            use(value)
        except (ProtocolError, RequestError) as error:
            if len(error.detail) > 2 * MAX_DESCRIPTION:
                failures.append((path, "a long description"))
            if "cannot be encoded" in error.detail:
                failures.append((path, shorten_odd(odd), "is sent to nobody"))
        except Exception as error:
            failures.append((path, shorten_odd(odd), type(error).__name__))
    assert not failures


def shorten_odd(odd: Any) -> str:
    """Return a value for the message of a failed test."""
    return str(odd)[:24]


def test_an_answer_for_advice_is_refused_or_can_be_used():
    """Guards against orders that are too large to be sent, for a ticket's sake."""
    use_advice(orjson.dumps(ADVICE))
    for _, _, value in iterate_odd(ADVICE):
        try:
            decoded = decode_advice(orjson.loads(value), {"i-1": WORKER})
        except (ValueError, LookupError, TypeError, AttributeError, RecursionError):
            # What the adviser reports as a failed answer.
            continue
        assert all(len(ticket) <= 1_000 for ticket in decoded.tickets.values())
