"""Interference, sizes and health are learnt from late and partial evidence."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiodeal.learning.health import create_worker_health
from pistachiodeal.learning.interference import create_interference_model
from pistachiodeal.learning.sizes import create_size_model
from pistachiodeal.learning.timeline import create_timeline
from pistachiodeal.model.resources import Resources


def test_timeline_answers_for_the_past():
    timeline = create_timeline(limit=2)
    for now in range(10):
        timeline.note(float(now), {"scan": now / 10})
    assert timeline.at(8.5) == {"scan": 0.8}
    assert timeline.at(0.5) == {} and not timeline.covers(0.5)
    assert abs(timeline.mean(7.5, 9.5)["scan"] - 0.8) < 1e-9


def test_pairs_are_told_apart_when_kinds_overlap():
    """Symptom: a harmless kind is throttled for what its neighbour does.

    Sequence: both kinds run together most of the time, apart now and then.
    Cause: the whole slow-down was put on each kind that ran.
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


def test_latency_alone_is_found_though_batch_never_stops():
    """Symptom: all kinds count as harmful and batch work stands still.

    Sequence: a service never runs without batch work beside it.
    Cause: the latency alone was guessed too low and stayed so.
    """
    model = create_interference_model()
    rng = random.Random(2)
    for step in range(600):
        share = 0.3 + 0.2 * (step // 20 % 3)
        signal = 0.7 * (1 + 0.8 * share) * rng.gauss(1, 0.05)
        model.observe("desk", {"scan": share}, signal, 1.0, step * 0.5)
    assert abs(model.alone("desk") - 0.7) < 0.07
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
    """Symptom: after a quiet hour every kind counts as harmful again.

    Sequence: a kind is found to harm nobody, and then does not run for long.
    Cause: fading moved its harm up to what is assumed of an unknown kind.
    """
    model = create_interference_model(half_life_s=10)
    for step in range(100):
        model.observe("desk", {"scan": step % 2}, 1.0, 1.0, step / 10)
    model.observe("desk", {}, 1.0, 1.0, 200.0)
    learnt = model.estimate("desk", "scan", 200)
    assert not learnt.known and learnt.excess < 0.1


def test_no_kind_makes_a_service_faster():
    """Symptom: a slowed service and no throttle for the first minute.

    Sequence: it is slow from its first reading on, and quicker later.
    Cause: the slow time was taken for its own, and kinds for a help.
    """
    model = create_interference_model()
    for step in range(100):
        share = step % 2
        model.observe("desk", {"scan": share}, 1.5 - 0.5 * share, 1.0, step / 10)
        assert model.estimate("desk", "scan", step / 10).excess > -1e-6
    assert model.alone("desk") < 1.4


def test_merged_evidence_does_not_echo():
    """Symptom: one pair's weight grows without any new reading.

    Sequence: an agent merges what an entry sent and sends it back as its own.
    Cause: merged evidence was counted as new on both sides.
    """
    agents = [create_interference_model() for _ in range(2)]
    for step in range(40):
        share = step % 2
        agents[0].observe("desk", {"scan": share}, 1 + 2.0 * share, 1.0, step / 2)
    agents[1].merge(agents[0].take_evidence(), 20.0)
    learnt = agents[1].estimate("desk", "scan", 20.0)
    assert learnt.known and abs(learnt.excess - 2.0) < 0.4
    assert agents[1].take_evidence() == () == agents[0].take_evidence()


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(st.integers(0, 9_000), min_size=1, max_size=80), st.integers(0, 9_000))
def test_a_size_is_never_under_the_declared_one(uses, declared):
    model = create_size_model(limit=2)
    for use in uses:
        model.observe("team", "scan", Resources(use, use), 1.0)
    reserved = model.reserve("team", "scan", Resources(declared, declared, 1))
    assert Resources(declared, declared, 1).fits(reserved)
    assert reserved.memory_mib >= max(uses[-50:])


def test_a_task_that_fills_its_size_does_not_grow():
    """Symptom: a burst of equal tasks stops half-way, the workers stand idle.

    Sequence: each run uses all that was reserved; the next is reserved with a margin.
    Cause: the margin was added to a use that the reservation itself had set.
    """
    model = create_size_model(limit=2)
    declared = Resources(1_500, 1_000)
    size = declared
    for _ in range(30):
        model.observe("team", "press", size, 1.0, size)
        size = model.reserve("team", "press", declared)
    assert size == declared


def test_black_hole_is_set_aside_and_probed_once_a_pause():
    """Symptom: one worker fails most tasks of the queue within seconds.

    Sequence: it fails each task at once, so it is always the emptiest.
    Cause: failures were put on the tasks only, never on the worker.
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


def test_a_kind_that_fails_everywhere_blames_no_worker():
    health = create_worker_health()
    for now in range(20):
        health.record(f"w{now % 4}", "broken", False, float(now))
    assert health.quarantined(20.0) == ()
