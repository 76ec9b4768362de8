"""Tests which workers a planning round may use."""

from __future__ import annotations

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.leader.fleet_views import FleetViews
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Attachment, Fleet
from tests.standins.job_cluster import create_quiet_log


def build_fleet(workers: int, suspects: int) -> Fleet:
    """Return workers of one service, of which ``suspects`` have failed two tasks."""
    fleet = Fleet()
    now = read_boot_clock()
    for number in range(workers):
        worker = fleet.get(f"n{number}")
        worker.worker, worker.service, worker.listed = f"w{number}", "svc", True
        worker.attachment = Attachment(worker.node, number)
        if number < suspects:
            worker.health.record_failure(now)
            worker.health.record_failure(now)
    return fleet


def test_suspect_workers_are_closed():
    """One worker of six fails every task that it starts."""
    registry = JobRegistry(create_quiet_log())
    views = FleetViews(registry, build_fleet(6, 1)).refresh(read_boot_clock())["svc"]
    assert [view.excluded for view in views] == [True] + [False] * 5


def test_jobs_that_always_fail_close_no_worker():
    """Guards against closing most workers, so that nothing is placed for seconds.

    Many jobs that fail everywhere cause failures in a row on most workers.
    """
    registry = JobRegistry(create_quiet_log())
    views = FleetViews(registry, build_fleet(6, 3)).refresh(read_boot_clock())["svc"]
    assert not any(view.excluded or view.probing for view in views)
