"""When all filling work on a worker stands, whatever is believed of it.

The load that this answers: filling work that is believed harmless keeps a serving task
over its aim. Figures of tails come late and are off, and what a pair of images does to
each other changes within seconds, so beliefs alone keep no aim.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from pistachiodeal.scheduling.tails import ServingTail

# A serving task over its aim for this long, whatever is believed of its neighbours,
# has them stand still. A tail that rises slowly is noticed late, so this leaves a
# margin within the time that deployments allow.
GUARD_DELAY_S = 1.2
# From then on it takes this long until its tail shows that they do, and until it is
# within its aim again.
GUARD_LAG_S = 2.2
# Figures follow late: with all neighbours standing for this long, a tail is what the
# serving task makes of it alone.
PROOF_S = 1.3
# The guard counts while the listed tail is above this share of the aim: noise puts
# single figures of a task that is over its aim just below the aim.
CLEAR_STRAIN = 0.9
# A figure above this share of the aim may well be that of a task over its aim.
LIKELY_STRAIN = 0.97


@dataclass(slots=True)
class TailGuard:
    """Watches the serving tasks of one worker.

    :ivar guard_s: neighbours of a serving task that is over its aim for longer stand.
    :ivar over_since: the tasks that may be over their aim, and since when.
    :ivar guarded: the tasks among them whose neighbours stand.
    :ivar own_faults: the tasks among them that are slow by themselves.
    """

    guard_s: float = GUARD_DELAY_S
    over_since: dict[str, float] = field(default_factory=dict)
    guarded: set[str] = field(default_factory=set)
    own_faults: set[str] = field(default_factory=set)
    _worked_at: float = 0.0
    _at_work: bool = True

    def judge(self, tails: Iterable[ServingTail], at_work: bool, now: float) -> bool:
        """Tell whether all filling work has to stand.

        :param at_work: whether any of it may be at work. Work that has just come is,
            whatever its figures say.
        """
        # What has ended since the last look, or was told to stand then, was still at
        # work for a part of that time.
        if at_work or self._at_work:
            self._worked_at = now
        self._at_work = at_work
        alone = now - self._worked_at >= PROOF_S
        tails = list(tails)
        self._forget({tail.task for tail in tails})
        for tail in tails:
            self._judge_task(tail, alone, now)
        return bool(self.guarded)

    def _judge_task(self, tail: ServingTail, alone: bool, now: float) -> None:
        task = tail.task
        if tail.strain <= 1.0 and (alone or tail.listed_strain <= CLEAR_STRAIN):
            self._clear(task)
        elif alone:
            # To have its neighbours stand gains nothing. They may go on for as long as
            # beside any other task over its aim, and then have to prove it again.
            self.own_faults.add(task)
            self.guarded.discard(task)
            self.over_since[task] = now
        elif now - self.over_since.setdefault(task, now) > self.guard_s:
            self.own_faults.discard(task)
            if max(tail.strain, tail.listed_strain) > LIKELY_STRAIN:
                self.guarded.add(task)

    def _forget(self, listed: set[str]) -> None:
        for task in self.over_since.keys() - listed:
            self._clear(task)

    def _clear(self, task: str) -> None:
        self.over_since.pop(task, None)
        self.guarded.discard(task)
        self.own_faults.discard(task)


def compute_guard_delay_s(interference_s: float) -> float:
    """Return how long neighbours of a serving task over its aim may go on.

    :param interference_s: a serving task may be over its aim for this long.
    """
    return max(0.0, min(GUARD_DELAY_S, interference_s - GUARD_LAG_S))
