"""Indexes an agent's report by run."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.wire.job_messages import (
    EndedTask,
    OrderOutcome,
    RunningTask,
    WorkerReport,
)

RunKey = tuple[str, int]
"""Name of the task and number of its run."""


@dataclass(frozen=True, slots=True)
class ReportIndex:
    """The contents of a report by run."""

    running: dict[RunKey, RunningTask]
    ends: dict[RunKey, EndedTask]
    outcomes: dict[RunKey, OrderOutcome]

    def contains(self, key: RunKey) -> bool:
        """Tell whether the report mentions a run."""
        return key in self.running or key in self.ends or key in self.outcomes


def index_report(report: WorkerReport) -> ReportIndex:
    """Return the contents of a report by run."""
    return ReportIndex(
        {(one.task, one.run): one for one in report.running},
        {(one.task, one.run): one for one in report.ends},
        {(one.task, one.run): one for one in report.outcomes},
    )
