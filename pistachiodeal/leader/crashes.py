"""Counts worker crashes against tasks, and reverts those due to a rack failure.

The counts are written with the job's row, in the same write that queues its tasks
again, so that a succeeding leader continues with them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pistachiodeal.events import EventLog
from pistachiodeal.jobs.record import Task
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Fleet, WorkerState, build_place
from pistachiodeal.scheduling.crash_attribution import (
    CRASH_RESET_S,
    OBSERVATION_S,
    RACK_FAILURE_WINDOW_S,
    STARTUP_S,
    CrashedRun,
    attribute_crash,
    is_suspect,
    needs_observation,
)
from pistachiodeal.wire.job_messages import WorkerLoss

# A suspect is not placed again for this long after a crash. By then all agents of a
# rack that lost power have reported it, so no job fails because of a rack failure.
RACK_CHECK_DELAY_S = 0.6
# A crashed worker is expected to restart within this time; its crash is kept that long.
RECOVERY_WINDOW_S = 10.0
# Reported crashes are remembered for this long to recognise repeats. This is longer
# than any agent keeps reporting a crash.
DEDUP_WINDOW_S = 60.0


@dataclass(slots=True)
class _Crash:
    """The crash of one worker.

    :param at: time of the crash, seconds of the boot clock.
    :param suspected: whether a suspect was running on the worker.
    :param explained: whether a task that had just started is the likely cause.
    :param counted_tasks: tasks whose crash count it increased.
    :param blames: blame that it added, by task.
    :param checked: whether a rack failure has been checked for.
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
    """Attributes worker crashes to the tasks that may have caused them.

    Times are seconds of the boot clock.
    """

    def __init__(self, registry: JobRegistry, fleet: Fleet, events: EventLog) -> None:
        self._registry = registry
        self._fleet = fleet
        self._events = events
        self._recent: list[_Crash] = []
        # Held tasks that one more crash would fail, with the time of their last crash.
        self._observed: dict[Task, float] = {}
        # Agents report a crash until it is answered, and again on each new link.
        self._reported_at: dict[str, float] = {}

    def record_crash(self, worker: WorkerState, loss: WorkerLoss, now: float) -> None:
        """Count a crash against the tasks that were running, before they are requeued.

        The crash of an idle worker counts against no task, but still helps to detect a
        rack failure.
        """
        place = build_place(worker.node, loss.worker)
        if place in self._reported_at:
            return
        self._reported_at[place] = now
        runs = self._registry.get_runs(place)
        active_runs = [
            CrashedRun(
                one.task,
                one.age_ms / 1000 if one.age_ms >= 0 else None,
                is_suspect(runs[one.task]),
            )
            for one in loss.runs
            if one.task in runs and runs[one.task].run == one.run
        ]
        recent_unexplained = any(not one.explained for one in self._recent)
        attribution = attribute_crash(
            active_runs, recent_unexplained=recent_unexplained
        )
        # A runner in a crash loop hits the same task repeatedly. Only a crash of that
        # worker under another task, or of another worker under this task, shows which
        # of the two is the cause, so repeats on the same node add no blame.
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
        if not attribution.blames:
            self._pardon_observed(crash)
        for run in active_runs:
            if run.task not in attribution.involved:
                continue
            task = runs[run.task]
            crash.counted_tasks.append(task)
            task.crashes += 1
            task.blames += blames.get(run.task, 0)
            if is_suspect(task):
                # The worker itself may be faulty and crash under every task. The crash
                # leaves it empty, which would make it the first choice again.
                task.avoid |= {worker.node}
                task.held_until = max(task.held_until, crash.at + RACK_CHECK_DELAY_S)
            if needs_observation(task):
                task.held_until = max(task.held_until, crash.at + OBSERVATION_S)
                self._observed[task] = crash.at
            self._log_suspect(task, run.age_s)
        self._recent.append(crash)

    def clear_if_stable(self, task: Task) -> None:
        """Reset the counts of a task that has run long enough without a crash."""
        worked_s = task.seen_at - task.began_at
        if task.blames and worked_s >= STARTUP_S:
            task.blames = 0
            self._events.emit(
                "task.cleared", task=str(task.name), run=task.run, crashes=task.crashes
            )
        if worked_s >= CRASH_RESET_S:
            task.crashes = 0

    def revert_rack_failures(self, now: float) -> None:
        """Revert the counts of crashes due to a rack failure; drop old crashes."""
        for crash in self._recent:
            if crash.checked or now - crash.at < RACK_CHECK_DELAY_S:
                continue
            crash.checked = True
            if crash.counted_tasks and self._did_rack_fail(crash):
                self._revert_counts(crash)
        self._recent = [one for one in self._recent if now - one.at < RECOVERY_WINDOW_S]
        self._observed = {
            task: at
            for task, at in self._observed.items()
            if now - at < OBSERVATION_S and needs_observation(task)
        }
        self._reported_at = {
            place: at
            for place, at in self._reported_at.items()
            if now - at < DEDUP_WINDOW_S
        }

    def _pardon_observed(self, crash: _Crash) -> None:
        """Take one crash off the held tasks, which can't have caused this one."""
        for task, crashed_at in list(self._observed.items()):
            if task.place or crash.at - crashed_at <= RACK_FAILURE_WINDOW_S:
                continue
            if self._registry.find_task(str(task.name)) is not task:
                continue
            del self._observed[task]
            task.crashes -= 1
            self._registry.mark_unsaved(task)
            self._log_pardon(task, crash)

    def count_unrecovered(self) -> int:
        """Return how many workers crashed under a suspect and have not restarted."""
        return len(
            {one.worker.node for one in self._recent if self._is_unrecovered(one)}
        )

    def _is_unrecovered(self, crash: _Crash) -> bool:
        worker = crash.worker
        back = worker.schedulable and worker.worker != crash.incarnation
        return crash.suspected and not back

    def _did_rack_fail(self, crash: _Crash) -> bool:
        """Tell whether all other workers of the rack crashed at the same time."""
        crashed_together = {
            one.worker.node
            for one in self._recent
            if one is not crash and abs(one.at - crash.at) <= RACK_FAILURE_WINDOW_S
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
            self._log_pardon(task, crash)

    def _log_pardon(self, task: Task, crash: _Crash) -> None:
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
