"""The formats of log lines."""

from __future__ import annotations

import json
import subprocess
import sys

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
