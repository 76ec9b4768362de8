"""Sets the pace of filling tasks that run beside serving tasks.

A filling task slows down its serving neighbours by an amount that depends on both
images and changes within seconds. With one pace for all filling tasks of a worker,
harmless ones are throttled as well: beside serving tasks with varying load, filling
tasks then get only a small part of the processor time that is left over.

Each filling image therefore has its own pace. The slack that a serving task would have
without neighbours is computed from its tail latency and the filling tasks beside it.
What exceeds the required slack is allocated to the filling images, those with the least
interference first. The pace is computed directly, without trial steps, so it neither
oscillates with its own effect nor recovers slowly.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from pistachiodeal.scheduling.interference import Pair, compute_slack
from pistachiodeal.scheduling.tail_guard import TailGuard
from pistachiodeal.scheduling.tails import FULL_PACE, ServingTail

# Paces are planned so that tail latencies stay at this share of their objective: a tail
# estimated from two samples is noisy, and load can rise until the next sample.
PLANNED_LATENCY_RATIO = 0.72
REQUIRED_SLACK = 1.0 / PLANNED_LATENCY_RATIO
# When a tail latency exceeds this share of its objective, the filling images beside the
# serving task are suspected of taking at least this much of its slack, for this long.
# The interference of a pair changes within seconds, faster than the leader learns it.
SUSPICION_LATENCY_RATIO = 0.95
SUSPECTED_INTERFERENCE = 0.5
SUSPECT_S = 1.5
MIN_SUSPECT_ACTIVITY = 0.2
# Granularity of paces in percent: a smaller change is not worth a call.
PACE_STEP = 10
# Below this pace a task is paused instead: it would slow its neighbours down without
# making useful progress.
MIN_PACE = 10
# A pace falls immediately and rises by at most this much per second, in case a sample
# was wrong: from 0 to full speed within two listings.
MAX_RISE_PER_S = 250
# Assumed slack of a serving task that has no tail latency sample yet.
DEFAULT_SLACK = 2.0
# A tail latency below this share of its objective is from the task's start.
MIN_VALID_LATENCY_RATIO = 0.1

FindInterference = Callable[[str, str], float]
"""Slack that one task of a filling image takes from a serving image."""


@dataclass(slots=True)
class FillingLoad:
    """The filling tasks of one image on a worker.

    :param count: number of tasks.
    :param active: how many were at work during the last sample, weighted by intensity.
    :param paused: how many of them have been set to pace 0.
    """

    count: int = 0
    active: float = 0.0
    paused: int = 0


@dataclass(slots=True)
class Pacer:
    """Decides the paces on one worker.

    :ivar guard: pauses all filling tasks regardless of their estimated interference.
    :ivar paces: latest paces in percent, by image.
    :ivar decided_at: when they were last changed, or allowed to rise.
    :ivar suspects: suspected pairs of images, and until when.
    """

    guard: TailGuard = field(default_factory=TailGuard)
    paces: dict[str, int] = field(default_factory=dict)
    decided_at: float = 0.0
    suspects: dict[Pair, float] = field(default_factory=dict)

    def decide(
        self,
        tails: Iterable[ServingTail],
        fills: dict[str, FillingLoad],
        find_interference: FindInterference,
        now: float,
    ) -> dict[str, int]:
        """Return the pace of each filling image, in percent."""
        tails = list(tails)
        at_work = any(load.paused < load.count for load in fills.values())
        if self.guard.update(tails, at_work, now):
            self.paces = dict.fromkeys(fills, 0)
            return self.paces
        tails = [tail for tail in tails if tail.task not in self.guard.own_faults]
        self._suspect(tails, fills, find_interference, now)

        def find_with_suspicion(filling: str, serving: str) -> float:
            interference = find_interference(filling, serving)
            if self.suspects.get((filling, serving), 0.0) > now:
                return max(interference, SUSPECTED_INTERFERENCE)
            return interference

        wanted = allocate_slack(tails, fills, find_with_suspicion)
        rise = int(MAX_RISE_PER_S * (now - self.decided_at))
        if rise < PACE_STEP and all(
            wanted[filling] >= self.paces.get(filling, 0) for filling in wanted
        ):
            return {
                filling: self.paces.get(filling, wanted[filling]) for filling in wanted
            }
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
        find_interference: FindInterference,
        now: float,
    ) -> None:
        """Suspect the images that may have raised a tail latency.

        Images with no estimated interference are not suspected. A serving task's own
        load raises its tail latency close to the objective at each peak. If no
        neighbour interferes, its own load is the cause; if the latency stays over the
        objective, the guard pauses all filling tasks.
        """
        for tail in tails:
            if tail.latency_ratio <= SUSPICION_LATENCY_RATIO:
                continue
            for image, load in fills.items():
                at_work = load.active >= MIN_SUSPECT_ACTIVITY
                if at_work and find_interference(image, tail.image) > 0:
                    self.suspects[image, tail.image] = now + SUSPECT_S
        for pair in [
            suspect for suspect, until in self.suspects.items() if until <= now
        ]:
            del self.suspects[pair]


def allocate_slack(
    tails: Iterable[ServingTail],
    fills: dict[str, FillingLoad],
    find_interference: FindInterference,
) -> dict[str, int]:
    """Return the paces in percent at which serving tasks meet their objectives."""
    available: dict[str, float] = {}
    for tail in tails:
        serving = tail.image
        unloaded_slack = DEFAULT_SLACK
        if tail.latency_ratio >= MIN_VALID_LATENCY_RATIO:
            unloaded_slack = compute_slack(tail.latency_ratio) + sum(
                find_interference(image, serving) * load.active
                for image, load in fills.items()
            )
        spare = max(0.0, unloaded_slack - REQUIRED_SLACK)
        available[serving] = min(spare, available.get(serving, spare))
    worst = {
        image: max(
            (find_interference(image, serving) for serving in available), default=0.0
        )
        for image in fills
    }
    paces: dict[str, int] = {}
    for image in sorted(fills, key=lambda filling: (worst[filling], filling)):
        costs = {
            serving: find_interference(image, serving) * fills[image].count
            for serving in available
        }
        share = min(
            (available[serving] / cost for serving, cost in costs.items() if cost > 0),
            default=1.0,
        )
        paces[image] = _round(min(share, 1.0))
        for serving, cost in costs.items():
            available[serving] = max(
                0.0, available[serving] - cost * paces[image] / FULL_PACE
            )
    return paces


def _round(share: float) -> int:
    percent = int(share * FULL_PACE) // PACE_STEP * PACE_STEP
    return percent if percent >= MIN_PACE else 0
