"""The formats of log lines."""

from __future__ import annotations

import json
import os
import subprocess
import sys

from pistachiodeal.events import EventLog

PROGRAM = """
import logbook
from pistachiodeal.config.common import LogSettings
from pistachiodeal.logs import configure_logs
configure_logs(LogSettings(form={form!r}, level="notice"))
log = logbook.Logger("batch")
log.info("batch: below the level")
log.notice("batch: partition {{}} taken at epoch {{}}", 3, 7)
try:
    1 / 0
except ZeroDivisionError:
    log.exception("batch: failed")
"""


def write_logs(form: str) -> list[str]:
    command = [sys.executable, "-c", PROGRAM.format(form=form)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return done.stderr.splitlines()


def test_each_record_is_one_json_line() -> None:
    notice, failure = (json.loads(line) for line in write_logs("json"))
    assert notice["part"] == "batch"
    assert notice["level"] == "notice"
    assert notice["message"] == "batch: partition 3 taken at epoch 7"
    assert "ZeroDivisionError" in failure["exception"]


def test_text_has_level_and_prefix() -> None:
    first = write_logs("text")[0]
    assert first.endswith("NOTICE  batch: partition 3 taken at epoch 7")


def test_an_event_with_an_integer_of_more_than_64_bits_is_written() -> None:
    """Guards against an odd time in a job that ends the leader when it is logged."""
    reader, writer = os.pipe()
    try:
        EventLog(writer, "test").emit("job.shown", job="a", objective_ms=2**70)
        event = json.loads(os.read(reader, 4_096))
    finally:
        os.close(reader)
        os.close(writer)
    assert (event["event"], event["job"]) == ("job.shown", "a")
    assert event["objective_ms"] == str(2**70)
