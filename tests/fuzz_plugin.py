"""Runs the property tests with many new random cases.

``make test`` runs each property test with a few cases, the same every time.
``make fuzz`` loads this plugin. It switches derandomization off, raises the number of
cases and marks the property tests, so that only these run.
"""

from __future__ import annotations

import os
from typing import Any

import pytest
from hypothesis import settings

DEFAULT_EXAMPLES = 500
SETTINGS_ATTRIBUTE = "_hypothesis_internal_use_settings"


def pytest_configure(config: pytest.Config) -> None:
    config.addinivalue_line("markers", "fuzz: a property test")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        function = getattr(item, "obj", None)
        machine = find_state_machine(item)
        if machine is not None:
            machine.settings = extend_settings(machine.settings)
        elif hasattr(function, "is_hypothesis_test"):
            target = getattr(function, "__func__", function)
            earlier = getattr(target, SETTINGS_ATTRIBUTE, settings())
            setattr(target, SETTINGS_ATTRIBUTE, extend_settings(earlier))
        else:
            continue
        item.add_marker("fuzz")


def find_state_machine(item: pytest.Item) -> Any:
    """Return the test case class of a state machine, or None."""
    case = getattr(item, "cls", None)
    # The test case of a state machine holds its settings as an attribute.
    return case if isinstance(getattr(case, "settings", None), settings) else None


def extend_settings(earlier: settings) -> settings:
    """Return the settings with random cases, and with the number for a long run."""
    examples = int(os.environ.get("PISTACHIODEAL_FUZZ_EXAMPLES", DEFAULT_EXAMPLES))
    return settings(earlier, derandomize=False, max_examples=examples, print_blob=True)
