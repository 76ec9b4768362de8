"""Finds the queues and job sizes that bear the cost of an overload for all others.

Load: for minutes more heavy work arrives than the workers complete, in a few very large
jobs beside many small ones. Small jobs go first by their rank, so that without shares
none of the largest jobs would be in time.

Callers can't be told apart, so shares are per queue and size of the job.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from math import exp

# The sums cover about the last 30 s: the mean age in them is 15 s.
DECAY_S = 15.0
# A class without demand for this long is forgotten.
FORGET_S = 30.0
# A share of less demand than this says nothing: no job has had the time to end.
MIN_DEMAND_S = 5.0
# Callers of the largest jobs are promised half of what the best class gets.
UNDERSERVED_SHARE = 0.5
# Without new evidence an overload ends after this long.
OVERLOAD_S = 5.0
# Number of jobs of a queue by which sizes are divided into classes.
SIZED_JOBS = 200
MAX_QUEUES = 500

Competitors = tuple[str, int]
"""Service and priority of the queues that compete for the same room."""


class SizeClass(StrEnum):
    """Size of a job among the jobs of its queue, by core-seconds."""

    LARGEST = "largest"  # the largest tenth
    LARGE = "large"  # the fifth below it
    REST = "rest"


class SizeClassifier:
    """Divides the jobs of one queue into size classes by its last jobs."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, work: float) -> None:
        """Add a job of so many core-seconds."""
        if len(self._recent) == SIZED_JOBS:
            self._sorted.remove(self._recent.popleft())
        self._recent.append(work)
        insort(self._sorted, work)

    def classify(self, work: float) -> SizeClass:
        """Return the class of a job of so many core-seconds."""
        total = len(self._sorted)
        if total and work > self._sorted[total - 1 - total // 10]:
            return SizeClass.LARGEST
        if total and work > self._sorted[total - 1 - total * 3 // 10]:
            return SizeClass.LARGE
        return SizeClass.REST


@dataclass(slots=True)
class _Account:
    """Decaying sums of one class, in core-seconds.

    :param at: time of the sums, seconds of the boot clock.
    :param since: time of the first demand.
    :param demanded_at: time of the last demand.
    """

    at: float
    since: float
    demanded_at: float
    demand: float = 0.0
    served: float = 0.0

    def decay(self, now: float) -> None:
        factor = exp(-max(0.0, now - self.at) / DECAY_S)
        self.demand *= factor
        self.served *= factor
        self.at = max(self.at, now)

    @property
    def share(self) -> float:
        return min(1.0, self.served / self.demand) if self.demand > 0 else 1.0


@dataclass(frozen=True, slots=True)
class ClassShare:
    """The share of its demand that a class was served.

    :param demand: decayed sum, core-seconds.
    :param served: likewise.
    :param best: the highest share among the classes that compete with it.
    :param age_s: time since the first demand in the sums.
    """

    queue: str
    size_class: SizeClass
    demand: float
    served: float
    share: float
    best: float
    age_s: float
    underserved: bool


class ShareBook:
    """Demand and served work by queue and size class.

    Times are seconds of the boot clock.
    """

    def __init__(self) -> None:
        self._accounts: dict[tuple[str, SizeClass], _Account] = {}
        self._sizes: dict[str, SizeClassifier] = {}
        self._competitors: dict[str, Competitors] = {}
        self._overloaded_until: dict[Competitors, float] = {}

    def record_job(self, queue: str, work: float, competitors: Competitors) -> None:
        """Record the size of a job that was accepted.

        :param competitors: queues with which its queue competes.
        """
        self._competitors[queue] = competitors
        self._sizes.setdefault(queue, SizeClassifier()).add(work)
        if len(self._sizes) > MAX_QUEUES:
            self._drop_queue(next(iter(self._sizes)))

    def classify(self, queue: str, work: float) -> SizeClass:
        """Return the size class of a job."""
        sizes = self._sizes.get(queue)
        return sizes.classify(work) if sizes else SizeClass.REST

    def record_demand(
        self, queue: str, size_class: SizeClass, core_s: float, now: float
    ) -> None:
        """Add work of a recorded queue that should be done by now."""
        if queue not in self._competitors:
            return
        account = self._accounts.setdefault(
            (queue, size_class), _Account(now, now, now)
        )
        account.decay(now)
        account.demand += core_s
        account.demanded_at = now

    def record_work(
        self, queue: str, size_class: SizeClass, core_s: float, now: float
    ) -> None:
        """Add work that was done."""
        account = self._accounts.get((queue, size_class))
        if account is not None:
            account.decay(now)
            account.served += core_s

    def record_overload(self, competitors: Competitors, now: float) -> None:
        """Record that a step has become late only because it waits."""
        self._overloaded_until[competitors] = now + OVERLOAD_S

    def is_underserved(self, queue: str, size_class: SizeClass, now: float) -> bool:
        """Tell whether a class gets less than half of what the best one gets."""
        return any(
            row.underserved
            for row in self.list_shares(now)
            if (row.queue, row.size_class) == (queue, size_class)
        )

    def list_shares(self, now: float) -> list[ClassShare]:
        """Return the shares of all classes with recent demand."""
        self._forget(now)
        best: dict[Competitors, float] = {}
        for (queue, _), account in self._iterate_known(now):
            group = self._competitors[queue]
            best[group] = max(best.get(group, 0.0), account.share)
        rows = []
        for (queue, size_class), account in self._iterate_known(now):
            group = self._competitors[queue]
            overloaded = now < self._overloaded_until.get(group, 0.0)
            low = account.share < UNDERSERVED_SHARE * best[group]
            rows.append(
                ClassShare(
                    queue,
                    size_class,
                    account.demand,
                    account.served,
                    account.share,
                    best[group],
                    now - account.since,
                    overloaded and low,
                )
            )
        return rows

    def _iterate_known(
        self, now: float
    ) -> Iterator[tuple[tuple[str, SizeClass], _Account]]:
        for key, account in self._accounts.items():
            if now - account.since >= MIN_DEMAND_S:
                account.decay(now)
                yield key, account

    def _forget(self, now: float) -> None:
        for key, account in list(self._accounts.items()):
            if now - account.demanded_at > FORGET_S:
                del self._accounts[key]

    def _drop_queue(self, queue: str) -> None:
        del self._sizes[queue], self._competitors[queue]
        for size_class in SizeClass:
            self._accounts.pop((queue, size_class), None)
