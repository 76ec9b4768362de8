"""Choice of targets, retry budgets and caller limits."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiodeal.routing.admission import create_caller_limits, estimate_wait
from pistachiodeal.routing.budget import create_retry_budget
from pistachiodeal.routing.candidate import STALE_AFTER_S, Candidate
from pistachiodeal.routing.choice import (
    create_least_connections,
    create_least_loaded,
    create_random,
)

NOW = 1000.0


def build_candidate(node, data_centre="dc1", *, slots=8, busy=0, latency_s=0.01):
    candidate = Candidate(node, data_centre)
    candidate.apply_report(slots, busy, 0, latency_s, NOW)
    candidate.joined_at = 0.0
    return candidate


def count_choices(chooser, candidates, rounds=1000, now=NOW):
    counts = {candidate.node: 0 for candidate in candidates}
    for _ in range(rounds):
        counts[chooser.choose(candidates, now).node] += 1
    return counts


def test_black_hole_attracts_little_traffic():
    """Guards against most requests failing while nine of ten targets are healthy.

    A broken target fails requests immediately, so it is always idle and the fastest:
    fast failures look like low load and low latency.
    """
    candidates = [build_candidate(f"a{i}", busy=2) for i in range(10)]
    broken = candidates[0]
    broken.apply_report(8, 0, 0, 0.0001, NOW)
    chooser = create_least_loaded("dc1", random.Random(1))
    failures = 0
    for i in range(2000):
        now = NOW + i * 0.0005
        chosen = chooser.choose(candidates, now)
        if chosen is broken:
            failures += 1
            broken.record_failure(now)
    assert failures < 100


def test_returning_target_is_not_flooded():
    """Guards against a returning target that is overloaded immediately.

    It joins idle beside busy targets, so every choice prefers it although it has not
    warmed up.
    """
    candidates = [build_candidate(f"a{i}", busy=4) for i in range(5)]
    fresh = build_candidate("fresh")
    fresh.joined_at = NOW
    chooser = create_least_loaded("dc1", random.Random(1))
    for _ in range(20):
        chooser.choose([*candidates, fresh], NOW + 0.1).outstanding += 1
    assert fresh.outstanding <= 2


def test_slow_target_gets_another_chance():
    """Guards against a target that never gets traffic again after it was slow once.

    It reports a high latency and is not chosen, so nothing measures a lower one.
    """
    slow = build_candidate("slow", latency_s=1.0)
    fast = build_candidate("fast", busy=1, latency_s=0.001)
    slow.chosen_at = fast.chosen_at = NOW
    chooser = create_least_loaded("dc1", random.Random(1))
    assert chooser.choose([slow, fast], NOW) is fast
    assert chooser.choose([slow, fast], NOW + 1.2) is slow


def test_own_data_centre_first_until_it_is_nearly_full():
    near = [build_candidate(f"n{i}", busy=2) for i in range(3)]
    far = [build_candidate(f"f{i}", "dc2") for i in range(3)]
    chooser = create_least_loaded("dc1", random.Random(1))
    counts = count_choices(chooser, near + far, 200)
    assert sum(counts[one.node] for one in far) == 0
    for one in near:
        one.apply_report(8, 8, 0, 0.01, NOW)
    counts = count_choices(chooser, near + far, 200)
    assert sum(counts[one.node] for one in near) == 0


def test_refused_and_silent_targets_only_when_nothing_else_is_left():
    refused, silent = build_candidate("refused"), build_candidate("silent")
    good = build_candidate("good", busy=8)
    refused.record_refusal(NOW, 0.5, 0.5)
    silent.reported_at = NOW - STALE_AFTER_S - 0.1
    chooser = create_least_loaded("dc1", random.Random(1))
    assert count_choices(chooser, [refused, silent, good], 50)["good"] == 50
    assert chooser.choose([refused, silent], NOW) is not None


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(0, 9), st.sampled_from(["a", "b"])),
        max_size=6,
    )
)
def test_every_chooser_takes_only_targets_with_slots(shapes):
    candidates = [
        build_candidate(f"n{i}", data_centre, slots=slots, busy=busy)
        for i, (slots, busy, data_centre) in enumerate(shapes)
    ]
    rng = random.Random(1)
    for create in (create_random, create_least_connections):
        chosen = create(rng).choose(candidates, NOW)
        assert (chosen is None) == all(one.slots == 0 for one in candidates)
        assert chosen is None or chosen.slots > 0
    chosen = create_least_loaded("a", rng).choose(candidates, NOW)
    assert (chosen is None) == all(one.slots == 0 for one in candidates)
    assert chosen is None or chosen.slots > 0


def test_own_requests_count_once_beside_the_report():
    candidate = build_candidate("a")
    candidate.outstanding = 3
    candidate.apply_report(8, 8, 2, 0.01, NOW)
    assert candidate.compute_load(NOW) == 10
    assert estimate_wait(candidate) == 3 / 8 * 0.01


def test_retries_stay_a_share_of_traffic():
    """Guards against retries that multiply the traffic of an overloaded service.

    All requests are refused, and each refusal is retried elsewhere. A limit for each
    request does not limit the total.
    """
    budget = create_retry_budget(0.1, clock=lambda: 0.0)
    taken = 0
    for _ in range(5000):
        budget.record_request()
        taken += budget.try_spend()
    assert 480 <= taken <= 520
    assert not create_retry_budget(0.0, clock=lambda: 0.0).try_spend()


def test_one_caller_cannot_use_all_slots():
    limits = create_caller_limits(2)
    assert limits.enter("a")
    assert limits.enter("a")
    assert not limits.enter("a")
    assert limits.enter("b")
    limits.leave("a", 0.1)
    assert limits.enter("a")
    assert limits.total == 3


def test_one_report_does_not_redirect_every_entry():
    """Guards against load that oscillates between targets with the number of entries.

    All entries receive the same report of one idle moment at once, and used it as the
    load of the next half second.
    """
    steady, swinging = build_candidate("a", busy=4), build_candidate("b", busy=6)
    swinging.apply_report(8, 0, 0, 0.01, NOW)
    assert swinging.compute_load(NOW) > steady.compute_load(NOW)
    for _ in range(5):
        swinging.apply_report(8, 0, 0, 0.01, NOW)
    assert swinging.compute_load(NOW) < steady.compute_load(NOW)
