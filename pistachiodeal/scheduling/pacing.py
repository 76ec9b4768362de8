"""How fast filling tasks may work beside tasks that serve.

The load that this answers: a filling task makes its neighbour's answers slow, by an
amount that depends on both images and changes within seconds. One pace for all filling
tasks of a worker holds back those that harm nobody: where serving tasks swing, filling
work then gets a small part of the processor time that is left over.

So each image has a pace of its own. From a figure and the work that was beside it, the
slack of the serving task without neighbours follows; what that has above its aim is
shared out, first to the images that cost least. Nothing has to be tried out, so the
pace neither echoes its own effect nor creeps back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from pistachiodeal.scheduling.interference import Pair, compute_slack
from pistachiodeal.scheduling.tail_guard import TailGuard
from pistachiodeal.scheduling.tails import FULL_PACE, ServingTail

# Serving tasks are kept at this share of their aim: a tail worked out from two figures
# is noisy, and the swing of the load adds to it until the next one.
KEPT_STRAIN = 0.72
KEPT_SLACK = 1.0 / KEPT_STRAIN
# Above this share of its aim, whatever fills beside a serving task is suspected of
# taking at least this much of its slack, for this long. What a pair does to each other
# changes within seconds, sooner than the leader learns it.
ALARM_STRAIN = 0.95
SUSPECT_PRESS = 0.5
SUSPECT_S = 1.5
LEAST_SUSPECT = 0.2
# Paces are set in steps: a smaller change than this isn't worth a call.
STEP = 10
# Slower than this, a task had better stand: it would hold its neighbours back for
# nothing.
SLOWEST = 10
# A pace falls at once and rises by this much a second, in case the figure was off: from
# nothing to full speed within two listings.
RISE_A_SECOND = 250
# What a serving task without a figure yet is taken to have.
FIRST_SLACK = 2.0
# A tail below this part of its aim is of the task's first moments.
MIN_VALID_LATENCY_RATIO = 0.1

FindPress = Callable[[str, str], float]
"""Slack that one task of a filling image takes from a serving image."""


@dataclass(slots=True)
class FillingLoad:
    """The filling tasks of one image on a worker.

    :param count: how many there are.
    :param active: how many were at work while the figures were taken, by their effort.
    :param paused: how many of them have been told to stand still.
    """

    count: int = 0
    active: float = 0.0
    paused: int = 0


@dataclass(slots=True)
class Pacer:
    """Decides the paces on one worker.

    :ivar guard: has all filling work stand, whatever is believed of it.
    :ivar paces: the paces decided last, by image.
    :ivar decided_at: when that was.
    :ivar suspects: pairs of images and until when they are suspected.
    """

    guard: TailGuard = field(default_factory=TailGuard)
    paces: dict[str, int] = field(default_factory=dict)
    decided_at: float = 0.0
    suspects: dict[Pair, float] = field(default_factory=dict)

    def decide(
        self,
        tails: Iterable[ServingTail],
        fills: dict[str, FillingLoad],
        find_press: FindPress,
        now: float,
    ) -> dict[str, int]:
        """Return the pace of each filling image, in percent."""
        tails = list(tails)
        at_work = any(load.paused < load.count for load in fills.values())
        if self.guard.judge(tails, at_work, now):
            self.paces = dict.fromkeys(fills, 0)
            return self.paces
        tails = [tail for tail in tails if tail.task not in self.guard.own_faults]
        self._suspect(tails, fills, find_press, now)

        def find_feared(filling: str, serving: str) -> float:
            press = find_press(filling, serving)
            if self.suspects.get((filling, serving), 0.0) > now:
                return max(press, SUSPECT_PRESS)
            return press

        wanted = share_slack(tails, fills, find_feared)
        rise = int(RISE_A_SECOND * (now - self.decided_at))
        if rise < STEP and all(wanted[one] >= self.paces.get(one, 0) for one in wanted):
            return {one: self.paces.get(one, wanted[one]) for one in wanted}
        self.decided_at = now
        self.paces = {
            image: min(percent, self.paces.get(image, FULL_PACE) + rise)
            for image, percent in wanted.items()
        }
        return self.paces

    def _suspect(
        self,
        tails: list[ServingTail],
        fills: dict[str, FillingLoad],
        find_press: FindPress,
        now: float,
    ) -> None:
        """Suspect whatever may have driven a tail up.

        Images that are known to press nothing are left out. A serving task's own load
        takes its tail near its aim at each peak; where nothing beside it presses, that
        was it, and if it stays over its aim the guard has all of them stand.
        """
        for tail in tails:
            if tail.strain <= ALARM_STRAIN:
                continue
            for image, load in fills.items():
                at_work = load.active >= LEAST_SUSPECT
                if at_work and find_press(image, tail.image) > 0:
                    self.suspects[image, tail.image] = now + SUSPECT_S
        for pair in [one for one, until in self.suspects.items() if until <= now]:
            del self.suspects[pair]


def share_slack(
    tails: Iterable[ServingTail], fills: dict[str, FillingLoad], find_press: FindPress
) -> dict[str, int]:
    """Return the paces at which the serving tasks keep their aim, in percent."""
    left: dict[str, float] = {}
    for tail in tails:
        serving = tail.image
        alone = FIRST_SLACK
        if tail.strain >= MIN_VALID_LATENCY_RATIO:
            alone = compute_slack(tail.strain) + sum(
                find_press(image, serving) * load.active
                for image, load in fills.items()
            )
        spare = max(0.0, alone - KEPT_SLACK)
        left[serving] = min(spare, left.get(serving, spare))
    worst = {
        image: max((find_press(image, serving) for serving in left), default=0.0)
        for image in fills
    }
    paces: dict[str, int] = {}
    for image in sorted(fills, key=lambda one: (worst[one], one)):
        costs = {
            serving: find_press(image, serving) * fills[image].count for serving in left
        }
        share = min(
            (left[serving] / cost for serving, cost in costs.items() if cost > 0),
            default=1.0,
        )
        paces[image] = _round(min(share, 1.0))
        for serving, cost in costs.items():
            left[serving] = max(0.0, left[serving] - cost * paces[image] / FULL_PACE)
    return paces


def _round(share: float) -> int:
    percent = int(share * FULL_PACE) // STEP * STEP
    return percent if percent >= SLOWEST else 0
