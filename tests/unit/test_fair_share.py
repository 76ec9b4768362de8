"""Shares of queues and job sizes under a lasting overload."""

from __future__ import annotations

import random
from dataclasses import replace
from math import exp

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiodeal.config.deployment import NO_FEATURES, FeatureSettings
from pistachiodeal.jobs.record import build_record
from pistachiodeal.leader.deadlines import measure_done_work
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.shares import ShareKeeper
from pistachiodeal.scheduling.fair_share import (
    DECAY_S,
    MIN_DEMAND_S,
    UNDERSERVED_SHARE,
    ShareBook,
    SizeClass,
)
from pistachiodeal.scheduling.ordering import DeadlineStatus, WaitingStep, rank_step
from tests.unit.overload_replay import HEAVY, Arrival, Replay

FAIR = FeatureSettings(fair_shares=True)
GROUP = ("svc", 1)
LARGE_CORES = 100.0


def draw_overload(seed: int, rate: float) -> list[Arrival]:
    """Return a minute of many small jobs, and a few that are twenty times larger."""
    rng, arrivals, now = random.Random(seed), [], 0.0
    while now < 60.0:
        now += rng.expovariate(rate)
        if rng.random() < 0.08:
            arrivals.append(Arrival(now, 8, rng.uniform(5.0, 8.0)))
        else:
            arrivals.append(Arrival(now, 1, rng.uniform(1.0, 3.0)))
    return arrivals


def measure_shares(replay: Replay) -> tuple[float, float]:
    """Return the share of the work of large jobs that is done, and of the others."""
    done, total = {True: 0.0, False: 0.0}, {True: 0.0, False: 0.0}
    for job_id, arrival in replay.arrived.items():
        record, large = replay.registry.records[job_id], arrival.work > LARGE_CORES
        total[large] += arrival.work
        if record.state.final:
            done[large] += arrival.work
        else:
            done[large] += measure_done_work(record.occurrences[0])
    return done[True] / total[True], done[False] / total[False]


def build_book(served: float, *, overload: bool = True) -> ShareBook:
    """Return a book with a served class of small jobs, and one of the largest."""
    book = ShareBook()
    book.record_job("q", 1.0, GROUP)
    for second in range(7):
        for size_class, share in ((SizeClass.REST, 1.0), (SizeClass.LARGEST, served)):
            book.record_demand("q", size_class, 10.0, float(second))
            book.record_work("q", size_class, 10.0 * share, float(second))
    if overload:
        book.record_overload(GROUP, 6.0)
    return book


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("rate", [8.0, 10.0])
def test_the_largest_jobs_keep_half_of_the_best_share(monkeypatch, seed, rate):
    """Load: a minute of 2.0 and of 2.5 times what the workers complete."""
    shares = []
    for features in (NO_FEATURES, FAIR):
        with monkeypatch.context() as patch:
            replay = Replay(patch, features, 8)
            replay.run(draw_overload(seed, rate), 60.0)
            shares.append(measure_shares(replay))
    (large_before, small_before), (large, small) = shares
    assert large_before < UNDERSERVED_SHARE * small_before
    assert large >= UNDERSERVED_SHARE * small


def test_a_class_below_half_of_the_best_is_underserved_under_overload_only():
    """Guards against a rank that changes without overload, or in favour of the best."""
    assert build_book(0.4).is_underserved("q", SizeClass.LARGEST, 6.5)
    assert not build_book(0.4).is_underserved("q", SizeClass.REST, 6.5)
    assert not build_book(0.6).is_underserved("q", SizeClass.LARGEST, 6.5)
    calm = build_book(0.4, overload=False)
    assert not calm.is_underserved("q", SizeClass.LARGEST, 6.5)


def test_a_new_leader_ranks_as_without_shares_at_first(monkeypatch):
    """Guards against a leader that prefers a class by its first seconds."""
    replay = Replay(monkeypatch, FAIR, 8)
    replay.run(draw_overload(0, 10.0), 30.0)
    keeper = ShareKeeper(replay.registry, lambda queue: queue, replay.events)
    for beat in range(int(MIN_DEMAND_S / 0.5)):
        keeper.update(replay.now + 0.5 * beat)
        assert not keeper.book.list_shares(replay.now + 0.5 * beat)


def test_restored_jobs_are_sized_before_they_are_ranked(monkeypatch):
    """Guards against jobs of a new leader that all count as empty.

    A record that was read from its rows has no work until its steps are estimated.
    Their whole demand of the past would count as new, and all would be small jobs.
    """
    replay = Replay(monkeypatch, FAIR, 0)
    jobs = [replay.submit(Arrival(0.0, 1, 1.0, age_s=2.0)) for _ in range(18)]
    jobs += [replay.submit(Arrival(0.0, 8, 5.0, age_s=2.0)) for _ in range(2)]
    registry, demanded = JobRegistry(replay.events), []
    for job in jobs:
        record = build_record(job)
        registry.restore(record)
        registry.open_due(record, replay.now)
    keeper = ShareKeeper(registry, lambda queue: queue, replay.events)
    monkeypatch.setattr(
        keeper.book, "record_demand", lambda *fields: demanded.append(fields[2])
    )
    keeper.update(replay.now)
    works = [keeper.book.classify(HEAVY.name, work) for work in (4.0, 160.0)]
    assert works == [SizeClass.REST, SizeClass.LARGEST]
    for record in registry.open_records.values():
        registry.estimator.estimate_steps(record, record.occurrences[0])
    keeper.update(replay.now + 0.5)
    assert sum(demanded) == 0.0


def test_demand_and_work_of_completed_jobs_are_equal(monkeypatch):
    """Guards against shares that drift because ends or repeated work count wrongly."""
    replay = Replay(monkeypatch, FAIR, 2)
    keeper = ShareKeeper(replay.registry, lambda queue: queue, replay.events)
    sums = {"demand": 0.0, "work": 0.0}

    def add(name: str):
        def record(_queue, _size, core_s, _now):
            sums[name] += core_s

        return record

    monkeypatch.setattr(keeper.book, "record_demand", add("demand"))
    monkeypatch.setattr(keeper.book, "record_work", add("work"))
    for _ in range(6):
        replay.submit(Arrival(0.0, 2, 4.0))
    keeper.update(replay.now)
    while replay.registry.open_records:
        replay.advance()
        keeper.update(replay.now)
    keeper.update(replay.now + 1.0)
    total = sum(arrival.work for arrival in replay.arrived.values())
    assert sums == pytest.approx({"demand": total, "work": total})


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b"]),
            st.sampled_from(list(SizeClass)),
            st.floats(0.0, 100.0),
            st.floats(0.0, 3.0),
        ),
        max_size=40,
    )
)
def test_shares_add_up(entries):
    """Guards against work that is counted for no class or for two."""
    book, now, total = ShareBook(), 0.0, 0.0
    for queue in ("a", "b"):
        book.record_job(queue, 1.0, GROUP)
        for size_class in SizeClass:
            book.record_demand(queue, size_class, 1.0, now)
    for queue, size_class, core_s, pause_s in entries:
        now += pause_s
        total = total * exp(-pause_s / DECAY_S) + core_s
        book.record_demand(queue, size_class, core_s, now)
        book.record_work(queue, size_class, core_s, now)
    rows = book.list_shares(now)
    if len(rows) == 2 * len(SizeClass):
        assert sum(row.served for row in rows) == pytest.approx(total)
    assert all(0.0 <= row.share <= row.best <= 1.0 for row in rows)


@given(st.lists(st.floats(0.1, 1000.0), min_size=20, max_size=400, unique=True))
def test_a_tenth_of_the_jobs_are_the_largest(sizes):
    """Guards against classes whose sizes differ from the promised ones."""
    book = ShareBook()
    for work in sizes:
        book.record_job("q", work, GROUP)
    recent = sizes[-200:]
    classes = [book.classify("q", work) for work in recent]
    assert classes.count(SizeClass.LARGEST) == len(recent) // 10
    large = classes.count(SizeClass.LARGE) + classes.count(SizeClass.LARGEST)
    assert large == len(recent) * 3 // 10


STEPS = st.builds(
    WaitingStep,
    st.integers(0, 2),
    st.booleans(),
    st.floats(0.0, 60.0),
    st.floats(0.1, 20.0),
    st.floats(1.0, 40.0),
    st.floats(0.0, 100.0),
    st.floats(0.0, 100.0),
    st.floats(0.0, 100.0),
    st.booleans(),
)


def list_key(waiting: WaitingStep) -> tuple:
    """Return the sort key without shares."""
    rank = rank_step(replace(waiting, underserved=False))
    return (rank.priority, rank.finite, rank.status, rank.remaining_share, rank.slack_s)


@given(STEPS, STEPS)
def test_underserved_steps_overtake_only_steps_in_time_of_their_priority(one, other):
    """Guards against shares that overtake priorities or favour late jobs."""
    first, second = list_key(one), list_key(other)
    overtakes = (
        one.underserved != other.underserved
        and first[:3] == second[:3]
        and first[2] is DeadlineStatus.IN_TIME
    )
    expected = one.underserved if overtakes else first < second
    assert (rank_step(one) < rank_step(other)) == expected
