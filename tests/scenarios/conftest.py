"""Fixtures and step definitions of the scenarios."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.harness import run_cluster
from tests.scenarios.steps.callers import *  # noqa: F403
from tests.scenarios.steps.deployment import *  # noqa: F403
from tests.scenarios.steps.faults import *  # noqa: F403
from tests.scenarios.steps.operators import *  # noqa: F403
from tests.scenarios.steps.outages import *  # noqa: F403
from tests.scenarios.steps.platform import *  # noqa: F403
from tests.scenarios.steps.tasks import *  # noqa: F403
from tests.scenarios.world import World

FAILED = pytest.StashKey[bool]()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item):
    report = yield
    if report.failed:
        item.stash[FAILED] = True
    return report


@pytest.fixture
def world(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[World]:
    with run_cluster(tmp_path) as cluster:
        state = World(cluster)
        yield state
        if request.node.stash.get(FAILED, False):
            print(cluster.describe())
        state.clean_up()
