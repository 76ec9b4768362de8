"""Interference, sizes and health are learnt from delayed and partial evidence."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiodeal.learning.health import create_worker_health
from pistachiodeal.learning.interference import create_interference_model
from pistachiodeal.learning.sizes import create_size_model
from pistachiodeal.learning.timeline import create_timeline
from pistachiodeal.model.resources import Resources


def test_timeline_returns_past_shares():
    timeline = create_timeline(limit=2)
    for now in range(10):
        timeline.record(float(now), {"scan": now / 10})
    assert timeline.at(8.5) == {"scan": 0.8}
    assert timeline.at(0.5) == {} and not timeline.covers(0.5)
    assert abs(timeline.mean(7.5, 9.5)["scan"] - 0.8) < 1e-9


def test_pairs_are_distinguished_when_kinds_overlap():
    """Guards against a harmless kind that is throttled for its neighbour's effect.

    Both kinds run together most of the time. The whole slow-down was attributed to each
    kind that ran.
    """
    model = create_interference_model()
    rng = random.Random(1)
    for step in range(400):
        kinds = {"quiet": rng.uniform(0, 0.5), "noisy": rng.uniform(0, 0.5)}
        slowdown = 1 + 2.0 * kinds["noisy"] + rng.gauss(0, 0.1)
        model.observe("desk", kinds, slowdown, 1.0, step * 0.5)
    assert abs(model.estimate("desk", "noisy", 200).excess - 2.0) < 0.3
    assert model.estimate("desk", "quiet", 200).excess < 0.3
    assert model.rank("desk", {"quiet": 0.5, "noisy": 0.2}, 200)[0] == "noisy"


def test_the_baseline_is_learnt_although_batch_work_never_stops():
    """Guards against a baseline latency that is assumed too low for ever.

    A service never runs without batch work beside it. All kinds then counted as harmful
    and batch work stood still.
    """
    model = create_interference_model()
    rng = random.Random(2)
    for step in range(600):
        share = 0.3 + 0.2 * (step // 20 % 3)
        signal = 0.7 * (1 + 0.8 * share) * rng.gauss(1, 0.05)
        model.observe("desk", {"scan": share}, signal, 1.0, step * 0.5)
    assert abs(model.baseline("desk") - 0.7) < 0.07
    assert abs(model.estimate("desk", "scan", 300).excess - 0.8) < 0.25


def test_evidence_decays_to_the_prior():
    model = create_interference_model(half_life_s=10)
    for step in range(100):
        share = step % 2
        model.observe("desk", {"scan": share}, 1 + 4.0 * share, 1.0, step / 10)
    learnt = model.estimate("desk", "scan", 10)
    assert learnt.known and abs(learnt.excess - 4.0) < 0.5
    assert not model.estimate("desk", "scan", 200).known


def test_harmless_kinds_stay_harmless_as_evidence_fades():
    """Guards against kinds that count as harmful again after a quiet hour.

    A kind is found to be harmless and then does not run for long. The decay raised its
    estimate to the one assumed for an unknown kind.
    """
    model = create_interference_model(half_life_s=10)
    for step in range(100):
        model.observe("desk", {"scan": step % 2}, 1.0, 1.0, step / 10)
    model.observe("desk", {}, 1.0, 1.0, 200.0)
    learnt = model.estimate("desk", "scan", 200)
    assert not learnt.known and learnt.excess < 0.1


def test_no_kind_makes_a_service_faster():
    """Guards against a slow service without a throttle for the first minute.

    It is slow from its first reading on, and faster later. The slow time was taken as
    its baseline, and kinds got a negative effect.
    """
    model = create_interference_model()
    for step in range(100):
        share = step % 2
        model.observe("desk", {"scan": share}, 1.5 - 0.5 * share, 1.0, step / 10)
        assert model.estimate("desk", "scan", step / 10).excess > -1e-6
    assert model.baseline("desk") < 1.4


def test_merged_evidence_is_not_sent_back():
    """Guards against a pair's weight that grows without new readings.

    An agent merged evidence from an entry and sent it back as its own, so both sides
    counted it as new.
    """
    agents = [create_interference_model() for _ in range(2)]
    for step in range(40):
        share = step % 2
        agents[0].observe("desk", {"scan": share}, 1 + 2.0 * share, 1.0, step / 2)
    agents[1].merge(agents[0].drain_measurements(), 20.0)
    learnt = agents[1].estimate("desk", "scan", 20.0)
    assert learnt.known and abs(learnt.excess - 2.0) < 0.4
    assert agents[1].drain_measurements() == () == agents[0].drain_measurements()


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(st.integers(0, 9_000), min_size=1, max_size=80), st.integers(0, 9_000))
def test_a_size_is_never_under_the_declared_one(uses, declared):
    model = create_size_model(limit=2)
    for use in uses:
        model.observe("team", "scan", Resources(use, use), 1.0)
    reserved = model.reserve("team", "scan", Resources(declared, declared, 1))
    assert Resources(declared, declared, 1).fits(reserved)
    assert reserved.memory_mib >= max(uses[-50:])


def test_the_size_of_a_task_that_uses_all_of_it_does_not_grow():
    """Guards against a burst of equal tasks that stops while workers are idle.

    Each run uses its whole reservation, and a margin was added for the next run, until
    the task fitted no worker.
    """
    model = create_size_model(limit=2)
    declared = Resources(1_500, 1_000)
    size = declared
    for _ in range(30):
        model.observe("team", "press", size, 1.0, size)
        size = model.reserve("team", "press", declared)
    assert size == declared


def test_black_hole_is_quarantined_and_probed_once_a_pause():
    """Guards against one worker that fails most tasks of the queue within seconds.

    It fails each task immediately, so it is always the emptiest. Failures counted only
    against the tasks, never against the worker.
    """
    health = create_worker_health()
    health.record("w1", "scan", True, 0.0)
    for now in range(3):
        health.record("w2", "scan", False, float(now))
        health.record("w2", "never-runs", False, float(now))
    assert health.quarantined(3.0) == ("w2",) and health.usable("w1", 3.0)
    assert not health.usable("w2", 3.0)
    assert [health.usable("w2", 40.0) for _ in range(3)] == [True, False, False]
    health.record("w2", "scan", True, 41.0)
    assert health.usable("w2", 41.0) and health.quarantined(41.0) == ()


def test_a_kind_that_fails_everywhere_quarantines_no_worker():
    health = create_worker_health()
    for now in range(20):
        health.record(f"w{now % 4}", "broken", False, float(now))
    assert health.quarantined(20.0) == ()
