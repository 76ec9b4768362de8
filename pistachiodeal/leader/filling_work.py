"""Holds what the leader expects of filling tasks from the forecast of serving load."""

from __future__ import annotations

from typing import Any

from pistachiodeal.config.deployment import FeatureSettings
from pistachiodeal.events import EventLog
from pistachiodeal.jobs.model import Step
from pistachiodeal.jobs.record import StepRecord, Task
from pistachiodeal.scheduling.expected_progress import Progress, ProgressModel
from pistachiodeal.scheduling.filling_cost import AHEAD_S, Outlook, measure_load
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.scheduling.load_forecast import SlackForecaster
from pistachiodeal.scheduling.views import WorkerView

# Weight of the newest placement in the average wait, and the wait assumed at first.
WAIT_WEIGHT = 0.1
FIRST_WAIT_S = 0.3
# A task may take longer than expected; at least this share of its time remains.
MIN_REMAINING_SHARE = 0.05
MAX_EXPECTATIONS = 10_000


class FillingWork:
    """Expected ends of filling tasks, and how long placements take.

    :ivar wait_s: average time for which filling tasks waited for their last placements.
    """

    def __init__(self, interference: InterferenceModel, events: EventLog) -> None:
        self.wait_s = FIRST_WAIT_S
        self._forecaster = SlackForecaster()
        self._model = ProgressModel(self._forecaster, interference)
        self._events = events
        self._expected_ends: dict[tuple[str, int], float] = {}

    @property
    def forecaster(self) -> SlackForecaster:
        """Return the forecaster of serving load."""
        return self._forecaster

    def build_outlook(self, step: StepRecord, now: float) -> Outlook | None:
        """Return the outlook for a step's tasks, None if they don't fill."""
        return (
            self.build_task_outlook(step.expected_s, now) if step.step.fills else None
        )

    def build_task_outlook(self, work_s: float, now: float) -> Outlook:
        """Return the outlook for a task with this remaining work."""
        return Outlook(self._model, work_s, now)

    def expect_running(
        self, view: WorkerView, step: Step, now: float
    ) -> Progress | None:
        """Return the progress of a task that is on a worker already."""
        if step.image not in view.filling:
            return None
        return self._model.expect_running(
            view.serving_steps, view.filling, step.image, now
        )

    def record_placement(
        self, task: Task, run: int, view: WorkerView, expected_s: float, now: float
    ) -> dict[str, Any]:
        """Record a placement; return what is expected of it, for its event.

        :param view: of the worker, with the task.
        :param expected_s: the task's time at full speed.
        """
        self.wait_s += WAIT_WEIGHT * (now - task.ready_at - self.wait_s)
        progress = self.expect_running(view, task.step, now)
        if progress is None:
            return {}
        done_s = task.work_s if task.checkpoint else 0.0
        work_s = max(expected_s - done_s, MIN_REMAINING_SHARE * expected_s)
        end_s = progress.compute_end_s(work_s * max(1.0, measure_load(view)), now)
        while len(self._expected_ends) >= MAX_EXPECTATIONS:
            del self._expected_ends[next(iter(self._expected_ends))]
        self._expected_ends[str(task.name), run] = now + end_s
        return describe_progress(progress, end_s, now)

    def record_end(self, task: Task, *, done: bool, now: float) -> None:
        """Record the end of a run, and by how much it was expected earlier or later."""
        expected_at = self._expected_ends.pop((str(task.name), task.run), None)
        if expected_at is not None and done:
            self._events.stats.time("filling_end_error", abs(now - expected_at))

    def report_periods(self) -> None:
        """Write an event for each period that has changed."""
        for one in self._forecaster.pop_changes():
            self._events.emit(
                "forecast.period",
                image=one.image,
                period_ms=int(one.period_s * 1000),
                certainty=round(one.certainty, 2),
            )


def describe_progress(progress: Progress, end_s: float, now: float) -> dict[str, Any]:
    """Return the fields of an event that describe an expectation."""
    pace = progress.compute_work_s(now, AHEAD_S) / AHEAD_S
    return {"expected_end_ms": int(end_s * 1000), "expected_pace": round(pace, 2)}


def create_filling_work(
    features: FeatureSettings, interference: InterferenceModel, events: EventLog
) -> FillingWork | None:
    """Return the expectations if the feature is enabled."""
    if not features.load_forecasts:
        return None
    return FillingWork(interference, events)
