"""Detects workers that fail or stall tasks which succeed elsewhere.

A worker that fails every task finishes tasks fastest, so on a full deployment it is the
only one with free capacity, and it uses up the attempts of every job: one of 73 workers
failed 171 runs, and 26 jobs with them, in six seconds. A suspect worker therefore gets
no tasks for a while, and then one task at a time until one succeeds. Tasks that only
that worker can run don't wait for the end of a long one: the next probe starts a moment
after the one before.
"""

from __future__ import annotations

from dataclasses import dataclass

# A few tasks in a hundred fail through their own fault; two failures in a row on one
# worker without a success in between are rare.
FAILURES_TO_SUSPECT = 2
# A suspect worker gets no tasks for this long, doubled after each failed probe. A wrong
# suspicion costs one worker's new tasks for a second.
MIN_SUSPECT_S = 1.0
# A worker often recovers within seconds.
MAX_SUSPECT_S = 4.0
# A probe that has run for this long doesn't keep the next one waiting.
PROBE_S = 1.0
# If more than this share of the workers is suspect, the jobs are at fault.
MAX_SUSPECT_SHARE = 1 / 3


@dataclass(slots=True)
class WorkerHealth:
    """Recent task outcomes on one worker.

    :param failures: failures since the last success, counting only tasks that had not
        failed elsewhere before.
    :param suspect_until: until then the worker gets no tasks, on the same clock as
        ``now``.
    """

    failures: int = 0
    suspect_until: float = 0.0

    @property
    def suspect(self) -> bool:
        """Tell whether no task has succeeded there since it became suspect."""
        return self.failures >= FAILURES_TO_SUSPECT

    def record_success(self) -> None:
        """Record a successful task."""
        self.failures = 0
        self.suspect_until = 0.0

    def record_failure(self, now: float) -> None:
        """Record the failure of a task that had not failed elsewhere before."""
        self.failures += 1
        doubled = self.failures - FAILURES_TO_SUSPECT
        if doubled >= 0:
            wait_s = min(MIN_SUSPECT_S * 2**doubled, MAX_SUSPECT_S)
            self.suspect_until = now + wait_s

    def record_stall(self, now: float) -> None:
        """Record a task that made no progress."""
        self.suspect_until = now + MAX_SUSPECT_S

    def is_excluded(self, now: float, *, starting: int) -> bool:
        """Tell whether the worker must not get a task now.

        :param starting: tasks on it that began less than ``PROBE_S`` ago or have not
            begun yet, not counting long-running ones.
        """
        return now < self.suspect_until or (self.suspect and starting > 0)
