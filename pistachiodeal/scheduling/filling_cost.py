"""Places filling tasks by the forecast load of serving tasks.

Load pattern: filling tasks of some seconds wait beside serving tasks that reserve
nearly all processor time and whose load oscillates. A task starts where its expected
end, plus what the other filling tasks lose by it, is earliest, even at a part of its
speed. It waits where nothing would be gained within the next seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.jobs.model import Step
from pistachiodeal.scheduling.expected_progress import Progress, ProgressModel
from pistachiodeal.scheduling.views import WorkerView

# A task waits if it would gain no work within this time.
AHEAD_S = 2.0
# Least gain, as a share of that time. A task that starts at less keeps the slack of its
# serving neighbours used up: with 0.25, they were over their objective for up to twice
# as long, and wide steps waited for their slowest task.
MIN_GAIN = 0.7
# Cost in seconds of a worker whose processor time is fully requested: among equal ends,
# emptier workers come first.
LOAD_COST_S = 0.2


@dataclass(frozen=True, slots=True)
class Outlook:
    """The expected progress of a filling task on the workers.

    :param work_s: its remaining work, seconds at full speed.
    :param now: seconds of the boot clock.
    """

    model: ProgressModel
    work_s: float
    now: float

    def find_progress(self, step: Step, view: WorkerView) -> Progress | None:
        """Return the progress of one more task; None without current forecasts."""
        return self.model.expect_start(
            view.serving_steps, view.filling, step.image, self.now
        )

    def is_worth_starting(self, step: Step, view: WorkerView) -> bool | None:
        """Tell whether the worker's filling tasks would gain work with one more.

        A task that only shares the pace of others would delay them without ending
        earlier than after them.

        :return: None without current forecasts.
        """
        progress = self.find_progress(step, view)
        if progress is None:
            return None
        gain = progress.compute_work_s(self.now, AHEAD_S)
        gain -= progress.compute_lost_s(self.now, AHEAD_S)
        return gain >= MIN_GAIN * AHEAD_S

    def compute_end_s(self, step: Step, view: WorkerView) -> float | None:
        """Return after how many seconds the task would end on a worker."""
        progress = self.find_progress(step, view)
        if progress is None:
            return None
        slowdown = max(1.0, measure_load(view, step))
        return progress.compute_end_s(self.work_s * slowdown, self.now)

    def compute_cost(self, step: Step, view: WorkerView) -> float | None:
        """Return the cost of a worker in seconds; None without current forecasts."""
        progress = self.find_progress(step, view)
        if progress is None:
            return None
        load = measure_load(view, step)
        end_s = progress.compute_end_s(self.work_s * max(1.0, load), self.now)
        return end_s + progress.compute_lost_s(self.now, end_s) + LOAD_COST_S * load


def measure_load(view: WorkerView, step: Step | None = None) -> float:
    """Return the processor time that filling tasks request over what is left.

    :param step: of one more task.
    """
    added_milli = step.size.cpu_milli if step is not None else 0
    return (view.fill_cpu_milli + added_milli) / max(view.leftover_milli, 1)
