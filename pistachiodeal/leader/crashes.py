"""Counts the workers that crashed under each task, and takes back what a rack explains.

The counts are written with the job's row, in the same write that sets its tasks free:
a successor goes on with them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pistachiodeal.events import EventLog
from pistachiodeal.jobs.record import Task
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Fleet, WorkerState, build_place
from pistachiodeal.scheduling.suspicion import (
    FRESH_S,
    POWER_WINDOW_S,
    SOUND_S,
    Casualty,
    is_suspect,
    judge,
)
from pistachiodeal.wire.job_messages import WorkerLoss

# Suspects wait this long after a crash: by then the agents of a rack that lost its
# power have told of it, and nobody is given up for that.
RACK_CHECK_DELAY_S = 0.6
# A worker that crashed is expected back within this time, and remembered for it.
RECOVERY_WINDOW_S = 10.0
# Longer than any agent tells of a crash.
DEDUP_WINDOW_S = 60.0


@dataclass(slots=True)
class _Crash:
    """A worker that crashed.

    :param at: seconds of the boot clock.
    :param suspected: whether a suspect was at work on it.
    :param explained: whether a task that had just begun is the likely cause.
    :param counted_tasks: tasks that it was counted against.
    :param blames: how much was counted against those that were blamed.
    """

    at: float
    worker: WorkerState
    incarnation: str
    suspected: bool
    explained: bool
    counted_tasks: list[Task] = field(default_factory=list)
    blames: dict[str, int] = field(default_factory=dict)
    checked: bool = False


class CrashTracker:
    """The leader's view of crashes.

    Times are seconds of the boot clock.
    """

    def __init__(self, registry: JobRegistry, fleet: Fleet, events: EventLog) -> None:
        self._registry = registry
        self._fleet = fleet
        self._events = events
        self._recent: list[_Crash] = []
        # Agents tell of a crash until they are answered, and again on a new link.
        self._reported_at: dict[str, float] = {}

    def record_crash(self, worker: WorkerState, loss: WorkerLoss, now: float) -> None:
        """Count a crash against the tasks that were at work, before they are freed.

        One of an idle worker counts against nobody, and still shows that a rack fails.
        """
        place = build_place(worker.node, loss.worker)
        if place in self._reported_at:
            return
        self._reported_at[place] = now
        runs = self._registry.get_runs(place)
        active_runs = [
            Casualty(
                one.task,
                one.age_ms / 1000 if one.age_ms >= 0 else None,
                is_suspect(runs[one.task]),
            )
            for one in loss.runs
            if one.task in runs and runs[one.task].run == one.run
        ]
        restless = any(not one.explained for one in self._recent)
        attribution = judge(active_runs, restless=restless)
        # A runner that starts and ends in a loop hits a task more than once; only its
        # end under another task, or of another worker under this one, tells them apart.
        blames = {
            name: weight
            for name, weight in attribution.blames.items()
            if not (runs[name].blames and worker.node in runs[name].avoid)
        }
        crash = _Crash(
            now - loss.ago_ms / 1000,
            worker,
            loss.worker,
            suspected=any(one.suspect for one in active_runs),
            explained=attribution.explained,
            blames=blames,
        )
        for one in active_runs:
            if one.task not in attribution.involved:
                continue
            task = runs[one.task]
            crash.counted_tasks.append(task)
            task.crashes += 1
            task.blames += blames.get(one.task, 0)
            if is_suspect(task):
                # It may be the worker that ends whatever begins there; emptied by its
                # end it would be the first choice again.
                task.avoid |= {worker.node}
                task.held_until = max(task.held_until, crash.at + RACK_CHECK_DELAY_S)
            self._log_suspect(task, one.age_s)
        self._recent.append(crash)

    def clear_if_stable(self, task: Task) -> None:
        """Clear a task that has been at work without a crash."""
        worked_s = task.seen_at - task.began_at
        if task.blames and worked_s >= FRESH_S:
            task.blames = 0
            self._events.emit(
                "task.cleared", task=str(task.name), run=task.run, crashes=task.crashes
            )
        if worked_s >= SOUND_S:
            task.crashes = 0

    def revert_rack_failures(self, now: float) -> None:
        """Take back what was counted for crashes that their rack explains."""
        for crash in self._recent:
            if crash.checked or now - crash.at < RACK_CHECK_DELAY_S:
                continue
            crash.checked = True
            if crash.counted_tasks and self._did_rack_fail(crash):
                self._revert_counts(crash)
        self._recent = [one for one in self._recent if now - one.at < RECOVERY_WINDOW_S]
        self._reported_at = {
            place: at
            for place, at in self._reported_at.items()
            if now - at < DEDUP_WINDOW_S
        }

    def count_unrecovered(self) -> int:
        """Return how many workers crashed under a suspect and are not back."""
        return len(
            {one.worker.node for one in self._recent if self._is_unrecovered(one)}
        )

    def _is_unrecovered(self, crash: _Crash) -> bool:
        worker = crash.worker
        back = worker.schedulable and worker.worker != crash.incarnation
        return crash.suspected and not back

    def _did_rack_fail(self, crash: _Crash) -> bool:
        """Tell whether all other workers of the rack crashed at the same moment."""
        crashed_together = {
            one.worker.node
            for one in self._recent
            if one is not crash and abs(one.at - crash.at) <= POWER_WINDOW_S
        }
        peers = [
            other.node in crashed_together
            for other in self._fleet.workers.values()
            if other is not crash.worker
            and other.rack == crash.worker.rack
            and (other.worker or other.node in crashed_together)
        ]
        return bool(peers) and all(peers)

    def _revert_counts(self, crash: _Crash) -> None:
        for task in crash.counted_tasks:
            task.crashes = max(0, task.crashes - 1)
            blames = crash.blames.get(str(task.name), 0)
            task.blames = max(0, task.blames - blames)
            self._registry.mark_unsaved(task)
            self._events.emit(
                "task.pardoned",
                task=str(task.name),
                node=crash.worker.node,
                rack=crash.worker.rack,
                crashes=task.crashes,
                blames=task.blames,
            )

    def _log_suspect(self, task: Task, age_s: float | None) -> None:
        self._events.emit(
            "task.suspect",
            task=str(task.name),
            run=task.run,
            place=task.place,
            age_ms=None if age_s is None else int(age_s * 1000),
            crashes=task.crashes,
            blames=task.blames,
        )
