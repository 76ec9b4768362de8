"""What a report says of each run."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.wire.job_messages import (
    EndedTask,
    OrderOutcome,
    RunningTask,
    WorkerReport,
)

RunKey = tuple[str, int]
"""Task and number of a run."""


@dataclass(frozen=True, slots=True)
class ReportIndex:
    """A report's runs by task and run."""

    running: dict[RunKey, RunningTask]
    ends: dict[RunKey, EndedTask]
    outcomes: dict[RunKey, OrderOutcome]

    def contains(self, key: RunKey) -> bool:
        """Tell whether the report says anything of a run."""
        return key in self.running or key in self.ends or key in self.outcomes


def index_report(report: WorkerReport) -> ReportIndex:
    """Return a report's runs by task and run."""
    return ReportIndex(
        {(one.task, one.run): one for one in report.running},
        {(one.task, one.run): one for one in report.ends},
        {(one.task, one.run): one for one in report.outcomes},
    )
