"""Keeps what holds up the steps that wait, for the report on queues."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

from pistachiodeal.scheduling.placement import Obstacle
from pistachiodeal.scheduling.views import StepKey

# The newest waiting steps are a sufficient sample of a longer backlog.
MAX_STEPS = 1_000
# The queue's service has no worker, or the advice service allows none.
NO_WORKER = "no_worker"


class ObstacleBook:
    """The main obstacle of each step whose placement failed last.

    The planner only adds entries; reading them is left to the rare report.
    """

    def __init__(self) -> None:
        self._steps: dict[StepKey, tuple[str, str]] = {}

    def record(self, queue: str, key: StepKey, counts: Mapping[Obstacle, int]) -> None:
        """Record how many workers each obstacle keeps a step off."""
        obstacle = max(counts, key=counts.__getitem__).value if counts else NO_WORKER
        self._steps.pop(key, None)
        self._steps[key] = queue, obstacle
        if len(self._steps) > MAX_STEPS:
            del self._steps[next(iter(self._steps))]

    def find_main(self, is_waiting: Callable[[StepKey], bool]) -> dict[str, str]:
        """Return the obstacle of most steps by queue; forget steps that don't wait."""
        self._steps = {
            key: entry for key, entry in self._steps.items() if is_waiting(key)
        }
        counts: dict[str, Counter[str]] = {}
        for queue, obstacle in self._steps.values():
            counts.setdefault(queue, Counter())[obstacle] += 1
        return {
            queue: obstacles.most_common(1)[0][0] for queue, obstacles in counts.items()
        }
