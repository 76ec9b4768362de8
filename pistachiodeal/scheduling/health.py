"""Which workers fail or stall what others finish.

The load that this answers: a worker that fails all it starts ends tasks fastest, so on
a full deployment it is the only one with room, and it uses up the attempts of every
job: one of 73 failed 171 runs, and 26 jobs with them, in six seconds. So a suspect gets
nothing for a while, and then one task at a time until one is done.
"""

from __future__ import annotations

from dataclasses import dataclass

# A few tasks in a hundred fail by their own fault; two in a row on one worker without a
# success between them are rare.
FAILURES_TO_SUSPECT = 2
# A suspect is left alone for this long, and twice as long after each failed probe. A
# wrong suspicion costs one worker's new tasks for a second.
FIRST_SUSPECT_S = 1.0
# A worker is often sound again within seconds.
LONGEST_SUSPECT_S = 4.0
# Where more than this share of the workers is suspect, it is the jobs that fail.
MAX_SUSPECT_SHARE = 1 / 3


@dataclass(slots=True)
class WorkerHealth:
    """What a worker's runs have shown lately.

    :param failures: since the last success, of tasks that had not failed elsewhere.
    """

    failures: int = 0
    suspect_until: float = 0.0

    @property
    def suspect(self) -> bool:
        """Tell whether nothing has been done there since it became suspect."""
        return self.failures >= FAILURES_TO_SUSPECT

    def note_success(self) -> None:
        """Take in that a task was done."""
        self.failures = 0
        self.suspect_until = 0.0

    def note_failure(self, now: float) -> None:
        """Take in that a task failed, which had not failed elsewhere before."""
        self.failures += 1
        doubled = self.failures - FAILURES_TO_SUSPECT
        if doubled >= 0:
            wait_s = min(FIRST_SUSPECT_S * 2**doubled, LONGEST_SUSPECT_S)
            self.suspect_until = now + wait_s

    def note_stall(self, now: float) -> None:
        """Take in that a task stood still."""
        self.suspect_until = now + LONGEST_SUSPECT_S

    def is_excluded(self, now: float, *, at_work: int) -> bool:
        """Tell whether the worker gets no task now.

        :param at_work: tasks there, other than those that last.
        """
        return now < self.suspect_until or (self.suspect and at_work > 0)
