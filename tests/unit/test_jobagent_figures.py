"""Tests of the work of filling tasks, as an agent computes it from listings."""

from __future__ import annotations

import pytest

from pistachiodeal.jobagent.figures import FigureSampler
from pistachiodeal.jobagent.orders import Order
from pistachiodeal.wire.job_messages import RunningTask, RunOrder

KEY = ("0000000000000001.0.0.0", 1)


def sample_first(order: Order | None) -> int:
    """Return the work of a run first listed at 10.5 s, after a listing at 10.0 s."""
    sampler = FigureSampler()
    described = {KEY: RunOrder(*KEY, "", "", True, 0, "filling", 2_000)}
    ordered = {} if order is None else {KEY: order}
    sampler.sample({}, described, ordered, 10.0)
    listed = {KEY: RunningTask(*KEY, "", 5, 1_000)}
    return sampler.sample(listed, described, ordered, 10.5)[KEY].worked_milli


@pytest.mark.parametrize(("settled_at", "worked"), [(10.0, 1_000), (10.25, 500)])
def test_work_that_began_between_two_listings_counts(settled_at: float, worked: int):
    """Guards against blaming a run's neighbours for the slowdown that it causes."""
    order = Order(*KEY, settled_at=settled_at, sent=True, started=True)
    assert sample_first(order) == worked


def test_work_of_a_run_started_by_an_earlier_agent_counts_from_its_first_listing():
    assert sample_first(None) == 0
