"""Samples the figures of running tasks: tail latencies and paces of filling tasks."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from pistachiodeal.jobagent.orders import Order
from pistachiodeal.scheduling.tails import PaceHistory, TailFilter
from pistachiodeal.wire.job_messages import RunningTask, RunOrder

RunKey = tuple[str, int]
"""Task and number of a run."""

# Least time between two samples: the tail in between is computed from the difference of
# two figures, which is mostly noise when they are closer.
SAMPLE_S = 0.25


class FigureSampler:
    """Computes present tail latencies, and work done in the same time, from listings.

    :ivar histories: pace histories of the running filling tasks.
    :ivar listed_tails: tails of the serving tasks as last listed, milliseconds.
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
        specs: Mapping[RunKey, RunOrder],
        ordered: Mapping[RunKey, Order],
        now: float,
    ) -> dict[RunKey, RunningTask]:
        """Return the running tasks with computed figures.

        :param listed: the running tasks as the runner lists them.
        :param specs: the specifications of runs.
        :param ordered: runs that this agent has started and that may be listed for the
            first time.
        :param now: time of the listing, seconds of the boot clock.
        """
        due = now - self._sampled_at >= SAMPLE_S
        self.histories = {
            key: self.histories.get(key) or _begin_history(ordered.get(key), now)
            for key in listed
            if key in specs and specs[key].fills
        }
        self._tails = {
            key: self._tails.get(key) or TailFilter()
            for key in listed
            if key in specs and specs[key].serves_ms
        }
        self.listed_tails = {key: listed[key].figure for key in self._tails}
        self._last = {key: self._compute(key, listed[key], now, due) for key in listed}
        if due:
            self._sampled_at = now
        return dict(self._last)

    def _compute(
        self, key: RunKey, task: RunningTask, now: float, due: bool
    ) -> RunningTask:
        last = self._last.get(key)
        if key in self.histories:
            worked_milli = last.worked_milli if last is not None else 0
            if due:
                worked = self.histories[key].average(self._sampled_at, now)
                worked_milli = int(worked * 1000)
            return replace(task, worked_milli=worked_milli)
        if key in self._tails:
            figure = last.figure if last is not None else 0
            if due:
                figure = int(self._tails[key].estimate(task.figure, now))
            return replace(task, figure=figure)
        return task


def _begin_history(order: Order | None, now: float) -> PaceHistory:
    """Return the pace history of a run that is listed for the first time.

    A run that began between two listings has slowed down its neighbours since its
    start. If its work until the first listing were not counted, its neighbours would be
    blamed for the slowdown.

    :param order: the order by which this agent started the run, None if it did not.
    """
    if order is None:
        return PaceHistory(now, fresh=False)
    return PaceHistory(order.settled_at or now)
