"""Feeds the listed progress of runs and the slack of serving tasks into the speeds."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import hypot

from pistachiodeal.events import EventLog
from pistachiodeal.jobs.record import Task
from pistachiodeal.leader.interference_monitor import sum_intensities
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Fleet, WorkerState
from pistachiodeal.scheduling.interference import InterferenceModel, compute_slack
from pistachiodeal.scheduling.pacing import MIN_VALID_LATENCY_RATIO
from pistachiodeal.scheduling.run_progress import (
    FILLING_SPREAD,
    MAX_SIBLINGS,
    ProgressWindow,
    ReferenceModel,
    is_measurable,
    is_reference,
)
from pistachiodeal.scheduling.views import StepKey
from pistachiodeal.scheduling.worker_speed import SpeedChange, SpeedModel

# Agents list their runs every 0.4 s. After a longer time without a listing, nobody
# knows when the listed progress was made: the agent may have been suspended.
MAX_LISTING_GAP_S = 1.0
# An unchanged listing within this time is an earlier one that was sent again.
REPEAT_S = 0.35
# Below this pace a filling task may show no progress at all.
MIN_MEASURED_PACE = 0.3
# Siblings are compared if they were listed within this time of each other.
SIBLING_MAX_AGE_S = 0.9
MIN_SERVING_SIBLINGS = 2
# Spread of the slack of serving tasks whose load varies together, and of the estimated
# interference relative to its size.
SLACK_SPREAD = 0.25
INTERFERENCE_SPREAD = 0.5
# Filling tasks with less than this intensity in total don't disturb serving tasks.
MIN_DISTURBANCE = 0.1
MAX_SERVING_STEPS = 2_000


@dataclass(slots=True)
class _Track:
    """The runs of one worker incarnation, as far as they are measured."""

    listed_at: float = 0.0
    listing: list[tuple[int, int]] = field(default_factory=list)
    windows: dict[str, ProgressWindow] = field(default_factory=dict)


class SpeedMonitor:
    """Updates the speeds of workers from reports.

    :param remote_factor: tasks far from their data take this many times as long.
    """

    def __init__(
        self,
        registry: JobRegistry,
        interference: InterferenceModel,
        events: EventLog,
        remote_factor: float,
    ) -> None:
        self._model = SpeedModel()
        self._references = ReferenceModel()
        self._registry = registry
        self._interference = interference
        self._events = events
        self._remote_factor = remote_factor
        self._tracks: dict[str, _Track] = {}
        self._slacks: dict[StepKey, dict[str, tuple[str, float, float]]] = {}
        self._ignored = False
        self._slow_count = 0

    @property
    def model(self) -> SpeedModel:
        """Return the speeds."""
        return self._model

    def observe_listing(self, worker: WorkerState, now: float) -> None:
        """Measure the runs of a worker after its listing was applied."""
        place = worker.place
        runs = self._registry.get_runs(place)
        running = {
            name: task
            for name, task in runs.items()
            if task.running and task.seen_at == now
        }
        track = self._tracks.setdefault(place, _Track())
        listing = [(task.percent, task.figure) for task in running.values()]
        elapsed_s = now - track.listed_at
        if listing == track.listing and elapsed_s < REPEAT_S:
            return
        track.listed_at, track.listing = now, listing
        if elapsed_s > MAX_LISTING_GAP_S:
            track.windows.clear()
            self._model.forget_listed(place)
            elapsed_s = 0.0
        for task in running.values():
            if _is_measured(task):
                self._measure(
                    worker,
                    track,
                    task,
                    percent=task.percent,
                    elapsed_s=elapsed_s,
                    now=now,
                )
        for name in [name for name in track.windows if name not in running]:
            self._settle(place, track, name, now)
        self._observe_slacks(worker, running.values(), now)
        self._report(self._model.evaluate(place, now))

    def observe_done(self, worker: WorkerState, task: Task, now: float) -> None:
        """Measure a run that is done, before its duration changes the expectation."""
        record = self._registry.records[task.name.job_id]
        step = record.find_step(task.name)
        if task.fully_observed and task.seen_at:
            queue = record.job.queue.name
            predicted_s = self._registry.estimator.durations.predict_s(
                queue, task.step.estimate_s
            )
            self._references.record_duration(
                queue, predicted_s, task.work_s, 1 / len(step.tasks)
            )
        track, name = self._tracks.get(worker.place), str(task.name)
        if track is None or name not in track.windows or task.stopping:
            return
        elapsed_s = now - track.listed_at
        if elapsed_s <= MAX_LISTING_GAP_S:
            # It ended at some time between the last listing and this one.
            self._measure(
                worker, track, task, percent=100, elapsed_s=elapsed_s / 2, now=now
            )
        self._settle(worker.place, track, name, now)

    def get_speed(self, place: str, now: float) -> float:
        """Return the relative speed of a worker."""
        return self._model.get_speed(place, now)

    def adopt(self, speeds: Mapping[str, float], now: float) -> None:
        """Import the speeds that an earlier leader has measured."""
        self._model.adopt(speeds, now)

    def refresh(self, fleet: Fleet, now: float) -> None:
        """Publish the speeds in the states of the workers."""
        for change in self._model.expire(now):
            self._report(change)
        places = {one.place: one for one in fleet.workers.values() if one.worker}
        self._model.limit(places.keys(), now)
        for place in self._tracks.keys() - places.keys():
            del self._tracks[place]
        slow_count = 0
        for place, worker in places.items():
            speed = self._model.get_speed(place, now)
            on_probation = self._model.is_on_probation(place)
            slow_count += speed < 1.0
            if (speed, on_probation) != (worker.speed, worker.on_probation):
                worker.speed, worker.on_probation = speed, on_probation
                worker.generation += 1
        if slow_count != self._slow_count:
            self._slow_count = slow_count
            self._events.stats.set("workers_slow", slow_count)
        if self._model.ignored != self._ignored:
            self._ignored = self._model.ignored
            self._events.emit("worker.speeds_ignored", ignored=self._ignored)

    def _measure(
        self,
        worker: WorkerState,
        track: _Track,
        task: Task,
        *,
        percent: int,
        elapsed_s: float,
        now: float,
    ) -> None:
        name, place = str(task.name), worker.place
        pace = task.worked if task.step.fills else 1.0
        if pace < MIN_MEASURED_PACE:
            track.windows.pop(name, None)
            return
        window = track.windows.get(name)
        if window is None:
            window = track.windows[name] = ProgressWindow()
            elapsed_s = 0.0
        window.add(percent, pace * elapsed_s)
        record = self._registry.records[task.name.job_id]
        step = record.find_step(task.name)
        reference = self._references.find(
            step.key, place, record.job.queue.name, step.expected_s
        )
        progress = window.measure(reference.expected_s)
        if progress is None:
            return
        if is_reference(progress, step.expected_s):
            self._references.record_rate(step.key, name, place, progress.rate)
        expected_s = reference.expected_s * self._find_factor(task, worker)
        if not is_measurable(progress, expected_s):
            return
        key = step.key if reference.shared else name
        if window.key not in (None, key):
            # The same run must not count twice when its first sibling is measured.
            self._model.discard(place, window.key)
        window.key = key
        spread = hypot(reference.spread, progress.compute_noise())
        if task.step.fills:
            spread = hypot(spread, FILLING_SPREAD)
        self._model.observe_progress(
            place,
            key,
            expected_s,
            progress.share,
            progress.took_s,
            spread=spread,
            now=now,
        )

    def _find_factor(self, task: Task, worker: WorkerState) -> float:
        """Return how much longer a task takes because of the worker's rack."""
        step = task.step
        away = step.same_rack or (step.data_rack and step.data_rack != worker.rack)
        return self._remote_factor if away else 1.0

    def _settle(self, place: str, track: _Track, name: str, now: float) -> None:
        window = track.windows.pop(name, None)
        key = window.key if window is not None else None
        if key is None or any(other.key == key for other in track.windows.values()):
            return
        self._model.settle(place, key, now)

    def _observe_slacks(
        self, worker: WorkerState, running: Iterable[Task], now: float
    ) -> None:
        tasks = list(running)
        intensities = sum_intensities(tasks)
        disturbed = sum(intensities.values()) > MIN_DISTURBANCE
        for task in tasks:
            step = task.step
            if not step.serves_ms or task.percent < 100 or task.stopping:
                continue
            if task.figure < MIN_VALID_LATENCY_RATIO * step.serves_ms:
                continue
            taken = self._interference.compute_interference((step.image,), intensities)
            slack = taken + compute_slack(task.figure / step.serves_ms)
            siblings = self._record_slack(task, worker.place, slack, now)
            if len(siblings) < MIN_SERVING_SIBLINGS:
                continue
            spread = hypot(SLACK_SPREAD, INTERFERENCE_SPREAD * taken / slack)
            self._model.observe_slack(
                worker.place,
                str(task.name),
                slack,
                siblings,
                spread=spread,
                disturbed=disturbed,
                now=now,
            )

    def _record_slack(
        self, task: Task, place: str, slack: float, now: float
    ) -> list[float]:
        """Record a task's slack; return that of its siblings on other workers."""
        name = str(task.name)
        slacks = self._slacks.setdefault(task.name.step_key, {})
        slacks.pop(name, None)
        slacks[name] = place, slack, now
        if len(slacks) > MAX_SIBLINGS:
            del slacks[next(iter(slacks))]
        if len(self._slacks) > MAX_SERVING_STEPS:
            del self._slacks[next(iter(self._slacks))]
        return [
            value
            for other, value, at in slacks.values()
            if other != place and now - at <= SIBLING_MAX_AGE_S
        ]

    def _report(self, change: SpeedChange | None) -> None:
        if change is None or self._model.ignored:
            return
        self._events.emit(
            "worker.slow" if change.speed < 1.0 else "worker.speed_restored",
            place=change.worker,
            speed=round(change.speed, 2),
            observations=change.observations,
            age_ms=int(change.age_s * 1000),
        )


def _is_measured(task: Task) -> bool:
    # The members of a gang progress only as fast as the slowest of them.
    return not (task.stopping or task.step.lasts or task.step.gang)
