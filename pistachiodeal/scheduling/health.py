"""Which workers fail or stall what others finish.

The load that this answers: a worker that fails all it starts ends tasks fastest, looks
least loaded, and gets every task until their attempts are used up. Ends are set against
each other: a failure counts against the worker, a success clears it.
"""

from __future__ import annotations

from dataclasses import dataclass

# Two tasks in a hundred fail by their own fault; two in a row on one worker without
# a success between them happen once in 2,500 tasks.
FAILURES_TO_SUSPECT = 2
# How long a suspect gets work only where nothing else fits. Such a state lasted for
# 5 to 8 s in the deployments we know; a probe after it costs one task's attempt.
SUSPECT_S = 6.0


@dataclass(slots=True)
class WorkerHealth:
    """What a worker's runs have shown lately."""

    failures: int = 0
    suspect_until: float = 0.0

    def note_success(self) -> None:
        """Take in that a task was done."""
        self.failures = 0
        self.suspect_until = 0.0

    def note_failure(self, now: float) -> None:
        """Take in that a task failed."""
        self.failures += 1
        if self.failures >= FAILURES_TO_SUSPECT:
            self.suspect_until = now + SUSPECT_S

    def note_stall(self, now: float) -> None:
        """Take in that a task stood still."""
        self.suspect_until = now + SUSPECT_S

    def rate(self, now: float) -> int:
        """Return 0 for a sound worker, higher the less it should get."""
        if now < self.suspect_until:
            return 1 + min(self.failures, 5)
        return 0
