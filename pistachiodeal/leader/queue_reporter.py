"""Builds the report on queues from what the leader, or its summary, knows."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from pistachiodeal.jobs.queue_report import QueueReport, QueueRow, SlowWorker
from pistachiodeal.leader.load_summary import LoadSummarizer
from pistachiodeal.leader.planner import Planner
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Fleet
from pistachiodeal.scheduling.admission import LoadSummary
from pistachiodeal.scheduling.backlog import QueueLoad
from pistachiodeal.scheduling.views import StepKey


class QueueReporter:
    """Builds the reports of a leader on request.

    :param load_summary: None with the feature off.
    :param knows_speeds: whether the speeds of workers are measured.
    """

    def __init__(
        self,
        registry: JobRegistry,
        fleet: Fleet,
        planner: Planner,
        load_summary: LoadSummarizer | None,
        *,
        knows_speeds: bool,
    ) -> None:
        self._registry = registry
        self._fleet = fleet
        self._planner = planner
        self._load_summary = load_summary
        self._knows_speeds = knows_speeds

    def build(self, epoch: int, leader: str, now: float) -> QueueReport:
        """Return the report.

        :param now: seconds of the boot clock.
        """
        summary = self._load_summary.current if self._load_summary else None
        return QueueReport(
            leads=True,
            leader=leader,
            epoch=epoch,
            age_s=_measure_age_s(summary, now),
            queues=self._build_rows(summary, now),
            slow_workers=self._list_slow() if self._knows_speeds else None,
        )

    def _build_rows(self, summary: LoadSummary | None, now: float) -> list[QueueRow]:
        waiting, active = self._count_jobs()
        running = self._count_running()
        loads = _describe_loads(summary)
        rejected = None
        if self._load_summary is not None:
            rejected = self._load_summary.rejections.sum_up(now)
        shares = self._list_shares(now)
        obstacles = self._planner.obstacles.find_main(self._is_waiting)
        names = {*waiting, *active, *running, *loads, *obstacles}
        return [
            QueueRow(
                queue=name,
                **loads.get(name, {})
                | {"waiting_jobs": waiting[name], "active_jobs": active[name]},
                running_tasks=running[name],
                rejected=None if rejected is None else rejected.get(name, {}),
                shares=None if shares is None else shares.get(name, {}),
                obstacle=obstacles.get(name),
            )
            for name in sorted(names.union(rejected or (), shares or ()))
        ]

    def _count_jobs(self) -> tuple[Counter[str], Counter[str]]:
        """Return the jobs that have not begun and those that have, by queue."""
        waiting: Counter[str] = Counter()
        active: Counter[str] = Counter()
        for record in self._registry.open_records.values():
            # A scheduled job that is not due has no open occurrence.
            if record.occurrences:
                counts = active if record.begun else waiting
                counts[record.job.queue.name] += 1
        return waiting, active

    def _count_running(self) -> Counter[str]:
        running: Counter[str] = Counter()
        for place in self._registry.list_places():
            for task in self._registry.get_runs(place).values():
                record = self._registry.records.get(task.name.job_id)
                if task.running and record is not None:
                    running[record.job.queue.name] += 1
        return running

    def _list_shares(self, now: float) -> dict[str, dict[str, float]] | None:
        keeper = self._planner.shares
        if keeper is None:
            return None
        shares: dict[str, dict[str, float]] = {}
        for row in keeper.book.list_shares(now):
            shares.setdefault(row.queue, {})[row.size_class.value] = row.share
        return shares

    def _is_waiting(self, key: StepKey) -> bool:
        job_id, occurrence, number = key
        record = self._registry.open_records.get(job_id)
        steps = record.occurrences.get(occurrence) if record else None
        return steps is not None and any(task.waits for task in steps[number].tasks)

    def _list_slow(self) -> list[SlowWorker]:
        slow = [
            SlowWorker(place=worker.place, speed=worker.speed)
            for worker in self._fleet.workers.values()
            if worker.worker and worker.speed < 1.0
        ]
        return sorted(slow, key=lambda worker: worker.speed)


def report_summary(summary: LoadSummary | None, leader: str, now: float) -> QueueReport:
    """Return the report of an entry that doesn't lead.

    :param now: seconds of the boot clock.
    """
    return QueueReport(
        leads=False,
        leader=leader,
        epoch=summary.epoch if summary else 0,
        age_s=_measure_age_s(summary, now),
        queues=[
            QueueRow(queue=name, **columns)
            for name, columns in sorted(_describe_loads(summary).items())
        ],
    )


def _measure_age_s(summary: LoadSummary | None, now: float) -> float | None:
    return max(0.0, now - summary.computed_at) if summary else None


def _describe_loads(summary: LoadSummary | None) -> dict[str, dict[str, Any]]:
    """Return the columns of each queue that follow from the summary.

    Jobs of one queue with different demands don't wait for each other. The work ahead
    is that of the demand that waits longest.
    """
    by_queue: dict[str, list[QueueLoad]] = defaultdict(list)
    for load in summary.loads.values() if summary else ():
        by_queue[load.queue].append(load)
    columns = {}
    for name, loads in by_queue.items():
        longest = max(loads, key=_predict_wait_s)
        columns[name] = {
            "waiting_jobs": sum(load.waiting_jobs for load in loads),
            "work_ahead": longest.waiting_work,
            "drain_rate": longest.drain or None,
            "predicted_wait_s": _predict_wait_s(longest) if longest.drain else None,
        }
    return columns


def _predict_wait_s(load: QueueLoad) -> float:
    return load.waiting_work / load.drain if load.drain else 0.0
