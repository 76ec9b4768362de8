"""Figures of the tasks at work, and how much filling work was beside them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from pistachiodeal.jobagent.orders import Order
from pistachiodeal.scheduling.tails import PaceHistory, TailFilter
from pistachiodeal.wire.job_messages import RunningTask, RunOrder

RunKey = tuple[str, int]
"""Task and number of a run."""

# Figures are read no closer than this: what a tail was in between is worked out from
# the difference of two, which is noise when they are close.
SAMPLE_S = 0.25


class FigureSampler:
    """Turns what a runner lists into tails of now and work of the same time.

    :ivar histories: paces of the filling tasks at work.
    :ivar listed_tails: tails of the serving tasks as they were listed last, ms.
    """

    def __init__(self) -> None:
        self.histories: dict[RunKey, PaceHistory] = {}
        self.listed_tails: dict[RunKey, int] = {}
        self._tails: dict[RunKey, TailFilter] = {}
        self._last: dict[RunKey, RunningTask] = {}
        self._sampled_at = 0.0

    def sample(
        self,
        listed: Mapping[RunKey, RunningTask],
        described: Mapping[RunKey, RunOrder],
        ordered: Mapping[RunKey, Order],
        now: float,
    ) -> dict[RunKey, RunningTask]:
        """Return the tasks at work with their figures worked out.

        :param ordered: runs that this agent has started and that may be listed first.
        """
        due = now - self._sampled_at >= SAMPLE_S
        self.histories = {
            key: self.histories.get(key) or _begin_history(ordered.get(key), now)
            for key in listed
            if key in described and described[key].fills
        }
        self._tails = {
            key: self._tails.get(key) or TailFilter()
            for key in listed
            if key in described and described[key].serves_ms
        }
        self.listed_tails = {key: listed[key].figure for key in self._tails}
        self._last = {key: self._work_out(key, listed[key], now, due) for key in listed}
        if due:
            self._sampled_at = now
        return dict(self._last)

    def _work_out(
        self, key: RunKey, one: RunningTask, now: float, due: bool
    ) -> RunningTask:
        last = self._last.get(key)
        if key in self.histories:
            worked_milli = last.worked_milli if last is not None else 0
            if due:
                worked = self.histories[key].average(self._sampled_at, now)
                worked_milli = int(worked * 1000)
            return replace(one, worked_milli=worked_milli)
        if key in self._tails:
            figure = last.figure if last is not None else 0
            if due:
                figure = int(self._tails[key].estimate(one.figure, now))
            return replace(one, figure=figure)
        return one


def _begin_history(order: Order | None, now: float) -> PaceHistory:
    """Return the paces of a run that is listed first now.

    Work that began between two listings has disturbed its neighbours since then. Left
    out of the first listing, it would have them blamed for what it does.

    :param order: what this agent knows of its start, None if it has not started it.
    """
    if order is None:
        return PaceHistory(now, fresh=False)
    return PaceHistory(order.settled_at or now)
