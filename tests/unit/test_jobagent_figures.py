"""Work of filling tasks, as an agent makes it out of listings."""

from __future__ import annotations

import pytest

from pistachiodeal.jobagent.figures import FigureSampler
from pistachiodeal.jobagent.orders import Order
from pistachiodeal.wire.job_messages import RunningTask, RunOrder

KEY = ("0000000000000001.0.0.0", 1)


def sample_first(order: Order | None) -> int:
    """Return the work of a run listed first at 10.5, after a listing at 10.0."""
    sampler = FigureSampler()
    described = {KEY: RunOrder(*KEY, "", "", True, 0, "filling", 2_000)}
    ordered = {} if order is None else {KEY: order}
    sampler.sample({}, described, ordered, 10.0)
    listed = {KEY: RunningTask(*KEY, "", 5, 1_000)}
    return sampler.sample(listed, described, ordered, 10.5)[KEY].worked_milli


@pytest.mark.parametrize(("settled_at", "worked"), [(10.0, 1_000), (10.25, 500)])
def test_work_that_began_between_two_listings_counts(settled_at: float, worked: int):
    """Guards against neighbours that are blamed for what new work does."""
    order = Order(*KEY, settled_at=settled_at, sent=True, started=True)
    assert sample_first(order) == worked


def test_work_of_an_earlier_agent_counts_from_its_first_listing():
    assert sample_first(None) == 0
