"""Pauses all filling tasks on a worker, regardless of their estimated interference.

A filling task that is estimated to be harmless can keep a serving task over its latency
objective. Tail latency samples are late and noisy, and the interference of a pair of
images changes within seconds, so estimates alone do not keep the objective.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from pistachiodeal.scheduling.tails import ServingTail

# When a serving task has been over its objective for this long, its neighbours are
# paused. A tail that rises slowly is detected late, so this leaves a margin within the
# time that deployments allow.
GUARD_DELAY_S = 1.2
# From then on, it takes this long until the tail latency reflects the pause and is
# within the objective again.
GUARD_EFFECT_S = 2.2
# Samples lag: after all neighbours have been paused for this long, the tail latency is
# caused by the serving task alone.
SOLO_PROOF_S = 1.3
# The timer keeps running while the listed tail is above this share of the objective:
# noise can put single samples of a task over its objective just below it.
CLEAR_LATENCY_RATIO = 0.9
# A sample above this share of the objective may be from a task over its objective.
LIKELY_LATENCY_RATIO = 0.97


@dataclass(slots=True)
class TailGuard:
    """Watches the serving tasks of one worker.

    :ivar guard_delay_s: neighbours of a serving task that is over its objective for
        longer are paused.
    :ivar over_since: tasks that may be over their objective, and since when.
    :ivar guarded: those among them whose neighbours are paused.
    :ivar own_faults: those among them that are slow without neighbours.
    """

    guard_delay_s: float = GUARD_DELAY_S
    over_since: dict[str, float] = field(default_factory=dict)
    guarded: set[str] = field(default_factory=set)
    own_faults: set[str] = field(default_factory=set)
    _worked_at: float = 0.0
    _at_work: bool = True

    def update(self, tails: Iterable[ServingTail], at_work: bool, now: float) -> bool:
        """Process new tail latencies, and tell whether to pause all filling tasks.

        :param at_work: whether any filling task may be running. A task that has just
            started is, whatever its samples say.
        """
        # Tasks that ended or were paused since the last update were still running for a
        # part of that time.
        if at_work or self._at_work:
            self._worked_at = now
        self._at_work = at_work
        unloaded = now - self._worked_at >= SOLO_PROOF_S
        tails = list(tails)
        self._forget({tail.task for tail in tails})
        for tail in tails:
            self._update_task(tail, unloaded, now)
        return bool(self.guarded)

    def _update_task(self, tail: ServingTail, unloaded: bool, now: float) -> None:
        task = tail.task
        if tail.latency_ratio <= 1.0 and (
            unloaded or tail.listed_latency_ratio <= CLEAR_LATENCY_RATIO
        ):
            self._clear(task)
        elif unloaded:
            # Pausing its neighbours has no benefit. They may run for as long as beside
            # any other task over its objective; then the task is checked again.
            self.own_faults.add(task)
            self.guarded.discard(task)
            self.over_since[task] = now
        elif now - self.over_since.setdefault(task, now) > self.guard_delay_s:
            self.own_faults.discard(task)
            if (
                max(tail.latency_ratio, tail.listed_latency_ratio)
                > LIKELY_LATENCY_RATIO
            ):
                self.guarded.add(task)

    def _forget(self, listed: set[str]) -> None:
        for task in self.over_since.keys() - listed:
            self._clear(task)

    def _clear(self, task: str) -> None:
        self.over_since.pop(task, None)
        self.guarded.discard(task)
        self.own_faults.discard(task)


def compute_guard_delay_s(interference_s: float) -> float:
    """Return how long neighbours of a serving task over its objective may go on.

    :param interference_s: how long a serving task may be over its objective.
    """
    return max(0.0, min(GUARD_DELAY_S, interference_s - GUARD_EFFECT_S))
