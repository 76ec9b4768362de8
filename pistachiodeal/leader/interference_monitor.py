"""Feeds reported figures of co-located tasks into the interference model."""

from __future__ import annotations

from pistachiodeal.events import EventLog
from pistachiodeal.jobs.record import Task
from pistachiodeal.leader.filling_work import FillingWork
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Attachment, WorkerState
from pistachiodeal.scheduling.interference import (
    InterferenceModel,
    ServingSample,
    compute_intensity,
)
from pistachiodeal.scheduling.pacing import MIN_VALID_LATENCY_RATIO


class InterferenceMonitor:
    """Updates the interference model and sends its changes to the agents.

    :param filling: learns the load of serving tasks, None if forecasts aren't used.
    """

    def __init__(
        self,
        registry: JobRegistry,
        interference: InterferenceModel,
        events: EventLog,
        filling: FillingWork | None = None,
    ) -> None:
        self._filling = filling
        self._registry = registry
        self._interference = interference
        self._events = events

    def update(self, worker: WorkerState, attachment: Attachment, now: float) -> None:
        """Apply a worker's newest figures; queue changed estimates for its agent."""
        runs = [
            task
            for task in self._registry.get_runs(worker.place).values()
            if task.step.fills or task.step.serves_ms
        ]
        self._observe(worker, runs, sum_intensities(runs), now)
        for (filling, serving), value in self._interference.pop_changes().items():
            self._events.emit(
                "interference.learnt",
                filling=filling,
                serving=serving,
                press=value,
                place=worker.place,
            )
        if self._filling is not None:
            self._filling.report_periods()
        self._queue_interference(attachment, runs)

    def _observe(
        self,
        worker: WorkerState,
        runs: list[Task],
        intensities: dict[str, float],
        now: float,
    ) -> None:
        """Pass each serving task's figure and the load beside it to the model."""
        worker.solo_slack = {}
        for task in runs:
            if not task.running or not task.step.serves_ms:
                continue
            if task.figure >= MIN_VALID_LATENCY_RATIO * task.step.serves_ms:
                sample = _build_sample(task, intensities, now)
                self._interference.observe(sample)
                slack = sample.slack + self._interference.compute_interference(
                    (sample.image,), intensities
                )
                known = worker.solo_slack.get(sample.image, slack)
                worker.solo_slack[sample.image] = min(slack, known)
                if self._filling is not None:
                    self._filling.forecaster.observe(
                        sample.step, sample.image, slack, now
                    )

    def _queue_interference(self, attachment: Attachment, runs: list[Task]) -> None:
        fillings = {task.step.image for task in runs if task.step.fills}
        servings = {task.step.image for task in runs if task.step.serves_ms}
        for filling in fillings:
            for serving in servings:
                interference = self._interference.get_interference(filling, serving)
                attachment.queue_interference((filling, serving), interference)


def sum_intensities(runs: list[Task]) -> dict[str, float]:
    """Return the summed intensity of the running filling tasks, by image."""
    intensities: dict[str, float] = {}
    for task in runs:
        if task.running and task.step.fills:
            image = task.step.image
            asked_milli = task.step.size.cpu_milli
            intensity = compute_intensity(task.worked, task.figure, asked_milli)
            intensities[image] = intensities.get(image, 0.0) + intensity
    return intensities


def _build_sample(
    task: Task, intensities: dict[str, float], now: float
) -> ServingSample:
    return ServingSample(
        task.name.step_key,
        str(task.name),
        task.step.image,
        task.figure / task.step.serves_ms,
        intensities,
        now,
    )
