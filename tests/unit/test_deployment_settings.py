"""Tests the deployment settings and the decisions that depend on them."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.config.deployment import (
    NO_FEATURES,
    DeploymentSettings,
    FeatureSettings,
    LimitSettings,
    load_deployment,
)
from pistachiodeal.exceptions import SettingsError
from pistachiodeal.jobagent.authority import LEASE_S
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobs.model import Step
from pistachiodeal.leader.descheduler import Descheduler
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.scheduling.pacing import FillingLoad, Pacer
from pistachiodeal.scheduling.placement import PlacementRequest, choose_worker
from pistachiodeal.scheduling.preemption import Victim, choose_victims
from pistachiodeal.scheduling.tail_guard import (
    GUARD_DELAY_S,
    TailGuard,
    compute_guard_delay_s,
)
from pistachiodeal.scheduling.tails import ServingTail
from pistachiodeal.scheduling.views import WorkerView
from pistachiodeal.wire.job_messages import RunningTask
from tests.standins.job_cluster import create_quiet_log
from tests.unit.test_jobagent_ledger import build_beat
from tests.unit.test_leader_reconcile import TASK, LeaderHarness

ROOM = Resources(16_000, 64_000, 0)
DOCUMENT = {
    "node": "n",
    "host": "127.0.0.1",
    "data_centre": "dc",
    "peer_ports": [1],
    "peer_secret": "s",
    "listen": {},
    "store": {"address": "127.0.0.1:1"},
}


def load(tmp_path: Path, **changes: Any) -> DeploymentSettings:
    """Load settings with some fields changed."""
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps({**DOCUMENT, **changes}))
    return load_deployment(str(path))


def test_features_are_off_unless_enabled(tmp_path: Path):
    """Guards against a feature that takes effect without having been asked for."""
    assert load(tmp_path).features == NO_FEATURES
    enabled = load(tmp_path, features={"admission": True}).features
    assert enabled == FeatureSettings(admission=True)


@pytest.mark.parametrize("value", [1, "true", []])
def test_a_feature_that_is_neither_on_nor_off_is_refused(tmp_path: Path, value: Any):
    """Guards against a number or a text that enables a feature by accident."""
    with pytest.raises(SettingsError, match="features.admission"):
        load(tmp_path, features={"admission": value})


def test_all_faults_are_reported_at_once(tmp_path: Path):
    """Guards against a file whose faults are reported only one at a time."""
    limits = {"stop_ms": -1, "longest_lease_ms": "6000", "remote_factor": 0.5}
    with pytest.raises(SettingsError) as raised:
        load(tmp_path, limits=limits, link_mbps="fast")
    text = str(raised.value)
    assert "limits.stop_ms: is -1, not from 0 to 60000" in text
    assert "limits.longest_lease_ms: is not of type int" in text
    assert "limits.remote_factor: is 0.5, not from 1.0 to 1000.0" in text
    assert "link_mbps: is not of type float" in text


def test_a_limit_that_the_platform_omits_has_its_default(tmp_path: Path):
    """Guards against processes that fail to start where the platform sets no limit."""
    assert load(tmp_path, limits={"closing_ms": None}).limits.closing_ms == 5_000


@pytest.mark.parametrize(("longest_s", "expected_s"), [(6.0, 6.0), (10.0, LEASE_S)])
def test_a_lease_is_no_longer_than_the_runner_allows(
    longest_s: float, expected_s: float
):
    """Guards against tasks of a silent runner that wait for an expired lease."""
    ledger = AgentLedger(create_quiet_log(), longest_s)
    ledger.adopt(build_beat("w"))
    for _ in range(2):
        now = read_boot_clock()
        ledger.lease.sample(1_000, now)
        ledger.lease.extend(now, now + 100.0)
        assert ledger.lease.until == now + expected_s
        ledger.drop_worker("a test")


@pytest.mark.parametrize(("stop_ms", "expected"), [(200, False), (2_000, True)])
def test_a_task_is_stopped_in_time_before_its_worker_leaves(
    stop_ms: int, expected: bool
):
    """Guards against a stop that outlasts its worker, so that progress is lost."""
    harness = LeaderHarness()
    harness.report(running=[RunningTask(TASK, 1, "", 0, 0)])
    worker = harness.fleet.get("node")
    now = read_boot_clock()
    work_s = harness.registry.get_expected_s(harness.task)
    worker.draining, worker.leaving_at = True, now + work_s + 1.0
    limits = LimitSettings(stop_ms=stop_ms)
    Descheduler(harness.registry, harness.fleet, harness.reconciler, limits).run(now)
    assert bool(harness.task.stopping) is expected


def test_a_task_with_checkpoints_costs_the_time_of_its_move():
    """Guards against stopping a task with much progress where a move is expensive."""
    room = Resources(1_000, 0, 0)
    for move_s, cheapest in ((0.5, "saved"), (4.0, "young")):
        victims = [
            Victim("saved", "p", 2, True, 9.0, move_s, room),
            Victim("young", "p", 2, False, 1.0, 0.5, room),
        ]
        chosen = choose_victims(room, Resources(), victims, 0)
        assert [one.task for one in chosen] == [cheapest]


@pytest.mark.parametrize(("remote_factor", "expected"), [(1.5, "far"), (3.0, "near")])
def test_a_task_runs_far_from_its_data_where_that_costs_little(
    remote_factor: float, expected: str
):
    """Guards against tasks that run far from their data where that takes three times
    as long, and against tasks that wait near it where it takes hardly longer.
    """
    near = WorkerView("near", "near", "r1", frozenset(), ROOM)
    far = WorkerView("far", "far", "r2", frozenset(), ROOM)
    near.used = Resources(12_000, 0, 0)
    step = Step(1, Resources(1_000, 100, 0), 1.0, data_rack="r1")
    request = PlacementRequest(step, ("j", 0, 0), remote_cost=remote_factor - 1.0)
    chosen = choose_worker(request, [near, far], InterferenceModel())
    assert chosen is not None
    assert chosen.place == expected


@pytest.mark.parametrize(
    ("interference_s", "expected_s"), [(3.0, 0.8), (4.0, 1.2), (10.0, GUARD_DELAY_S)]
)
def test_filling_tasks_are_paused_in_time(interference_s: float, expected_s: float):
    """Guards against disturbing a serving task longer than its deployment allows."""
    assert compute_guard_delay_s(interference_s) == pytest.approx(expected_s)
    tail = ServingTail("t", "s", 120, 120, 100)
    pacer = Pacer(TailGuard(compute_guard_delay_s(interference_s)))

    def decide(now: float) -> int:
        # Too little load to be suspected earlier.
        fills = {"f": FillingLoad(1, 0.15)}
        return pacer.decide([tail], fills, lambda filling, serving: 0.0, now)["f"]

    assert decide(10.0) > 0
    assert decide(10.0 + expected_s - 0.1) > 0
    assert decide(10.0 + expected_s + 0.1) == 0
