"""Names and numbers in texts of callers and runners."""

from __future__ import annotations

import pytest

from pistachiodeal.jobs.names import TaskName, parse_task_name
from pistachiodeal.platform.callers import (
    DEADLINE_HEADER,
    DEFAULT_DEADLINE_S,
    read_budget_s,
)
from pistachiodeal.web.messages import WebRequest

NO_NUMBERS = ["", "-1", "1.5", " 1", "²", "٣", "1" * 5_000]


def test_a_task_name_is_read_back():
    name = TaskName("00000000000000a1", 3, 0, 219)
    assert parse_task_name(str(name)) == name


@pytest.mark.parametrize("part", NO_NUMBERS)
def test_a_text_that_is_no_task_name_is_recognised(part):
    """Guards against a leader or agent that ends at a name in a foreign listing."""
    assert parse_task_name(f"a.0.0.{part}") is None
    assert parse_task_name(f"a.{part}.0.0") is None


@pytest.mark.parametrize("text", NO_NUMBERS)
def test_a_deadline_that_is_no_number_is_ignored(text):
    """Guards against an error of the entry that leaves the job's outcome unknown."""
    request = WebRequest("POST", "/q/1", ((DEADLINE_HEADER, text),), b"")
    assert read_budget_s(request) == DEFAULT_DEADLINE_S


def test_a_deadline_is_read_in_milliseconds():
    request = WebRequest("POST", "/q/1", ((DEADLINE_HEADER, "1500"),), b"")
    assert read_budget_s(request) == 1.5
