"""What an entry reports of the queues."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from dataclasses import replace
from types import SimpleNamespace

import curio
import pytest

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.commands.queue_answers import decode_report
from pistachiodeal.config.deployment import (
    NO_FEATURES,
    DeploymentSettings,
    FeatureSettings,
    ListenSettings,
    StoreSettings,
)
from pistachiodeal.jobentry.app import EntryApp
from pistachiodeal.jobentry.queue_view import QueueView
from pistachiodeal.jobs.queue_report import QueueReport, encode_report
from pistachiodeal.leader.load_messages import encode_rejection
from pistachiodeal.leader.load_summary import LoadSummarizer
from pistachiodeal.leader.obstacle_book import MAX_STEPS, NO_WORKER, ObstacleBook
from pistachiodeal.leader.queue_reporter import QueueReporter
from pistachiodeal.leader.rejection_counts import WINDOW_S, RejectionCounts
from pistachiodeal.scheduling.admission import LoadSummary
from pistachiodeal.scheduling.backlog import describe_new_job
from pistachiodeal.scheduling.fair_share import SizeClass
from pistachiodeal.scheduling.placement import Obstacle
from pistachiodeal.web.messages import WebRequest
from tests.standins.job_cluster import (
    EntryProcess,
    build_job,
    create_quiet_log,
    run_cluster,
)
from tests.unit.test_admission import build_load, wait_for_leader
from tests.unit.test_leader_planner import Cluster

ALL = FeatureSettings(admission=True, fair_shares=True, worker_speeds=True)
DIRECTORY = SimpleNamespace(leader="10.0.0.1:7000")


class Leader(Cluster):
    """A leader with one placed job and two that wait for room."""

    def __init__(self, features: FeatureSettings) -> None:
        super().__init__(2, features)
        self.loads = None
        if features.admission:
            self.loads = LoadSummarizer(
                self.registry, self.fleet, lambda one: one, 3, self.events
            )
        self.jobs = [self.add(number, 2, 16_000) for number in range(3)]
        self.plan_all()
        (placed,) = [one for one in self.registry.records.values() if one.begun]
        next(placed.iterate_tasks()).running = True

    def build(self, now: float) -> QueueReport:
        """Return the report as decoded by the command."""
        parts = self.registry, self.fleet, self.planner, self.loads
        reporter = QueueReporter(*parts, knows_speeds=self.loads is not None)
        leadership = SimpleNamespace(loaded=True, epoch=3, queue_reporter=reporter)
        return ask(leadership, None, now)


def ask(leadership: object, summary: LoadSummary | None, now: float) -> QueueReport:
    server = SimpleNamespace(leadership=leadership)
    view = QueueView(server, DIRECTORY, lambda: summary)
    return decode_report(json.loads(encode_report(view.build(now))))


def test_a_leader_reports_all_columns():
    """Guards against an operator who can't find out why a queue waits."""
    leader, now = Leader(ALL), read_boot_clock()
    leader.loads.refresh(now, time.time())
    loads = {("q", "a"): build_load(60.0), ("q", "b"): build_load(90.0)}
    leader.loads._current = replace(leader.loads.current, loads=loads)
    rejection = encode_rejection("f" * 16, describe_new_job(leader.jobs[0]), 3.0)
    leader.loads.record(rejection, now)
    book = leader.planner.shares.book
    book.record_job("q", 1.0, ("svc", 0))
    book.record_demand("q", SizeClass.REST, 8.0, now - 6.0)
    book.record_work("q", SizeClass.REST, 2.0, now - 6.0)
    leader.fleet.workers["n1"].speed = 0.25
    report = leader.build(now + 0.2)
    assert (report.leads, report.epoch, report.leader) == (True, 3, DIRECTORY.leader)
    assert report.age_s == pytest.approx(0.2)
    (row,) = report.queues
    assert (row.queue, row.waiting_jobs, row.active_jobs) == ("q", 2, 1)
    assert (row.running_tasks, row.obstacle) == (1, "room")
    load = loads["q", "b"]
    assert (row.work_ahead, row.drain_rate) == (load.waiting_work, load.drain)
    assert row.predicted_wait_s == pytest.approx(load.waiting_work / load.drain)
    assert row.rejected == {"overloaded": 1}
    assert row.shares == {"rest": pytest.approx(0.25)}
    assert [(one.place, one.speed) for one in report.slow_workers] == [("n1/w", 0.25)]


def test_columns_of_features_that_are_off_are_empty():
    """Guards against a figure of 0 where nothing is measured.

    An obstacle of steps that no longer wait is not named either.
    """
    leader = Leader(NO_FEATURES)
    report = leader.build(1.0)
    assert report.age_s is None and report.slow_workers is None
    (row,) = report.queues
    assert (row.waiting_jobs, row.active_jobs, row.obstacle) == (2, 1, "room")
    assert row.work_ahead is row.drain_rate is row.predicted_wait_s is None
    assert row.rejected is row.shares is None
    for job in leader.jobs:
        leader.registry.cancel(job.job_id)
    assert all(row.obstacle is None for row in leader.build(1.0).queues)


@pytest.mark.parametrize("leadership", [None, SimpleNamespace(loaded=False)])
def test_an_entry_that_does_not_lead_reports_its_old_summary(leadership):
    """Guards against old figures that look new, or an entry that says nothing."""
    summary = LoadSummary(2, 100.0, {("q", "a"): build_load(60.0)})
    report = ask(leadership, summary, 140.0)
    assert (report.leads, report.epoch, report.age_s) == (False, 2, 40.0)
    (row,) = report.queues
    assert row.waiting_jobs == build_load().waiting_jobs
    assert row.work_ahead is not None and row.active_jobs is None
    assert ask(leadership, None, 140.0).queues == []


def test_the_obstacle_of_most_steps_is_found_in_a_bounded_book():
    """Guards against memory that grows with the number of steps."""
    book = ObstacleBook()
    book.record("old", ("old", 0, 0), {Obstacle.LABEL: 1})
    for number in range(MAX_STEPS):
        counts = {Obstacle.ROOM: 2, Obstacle.LABEL: 1} if number % 3 else {}
        book.record("q", (str(number), 0, 0), counts)
    book.record("q", ("1", 0, 0), {Obstacle.LABEL: 1})
    assert book.find_main(lambda key: True) == {"q": "room"}
    assert book.find_main(lambda key: key[0] == "0") == {"q": NO_WORKER}
    assert book.find_main(lambda key: True) == {"q": NO_WORKER}


def test_rejections_are_counted_for_a_minute():
    """Guards against counts that never fall."""
    counts = RejectionCounts()
    for now in (100.2, 100.9, 130.0):
        counts.record("q", "overloaded", now)
    assert counts.sum_up(130.0) == {"q": {"overloaded": 3}}
    assert counts.sum_up(100.0 + WINDOW_S) == {"q": {"overloaded": 1}}
    assert counts.sum_up(500.0) == {}


def test_the_entries_of_a_cluster_report_queues():
    """Guards against a report that isn't connected to the leader's state."""

    async def run() -> None:
        async with run_cluster(agents=0, features=ALL) as cluster:
            leader, follower = await wait_for_leader(cluster)
            await follower.submit(build_job(1))
            while not (report := build_view(leader).build(read_boot_clock())).queues:
                await curio.sleep(0.02)
            assert report.leads and report.queues[0].waiting_jobs == 1
            while follower.gate.summary is None:
                await curio.sleep(0.02)
            report = build_view(follower).build(read_boot_clock())
            assert (report.leads, report.epoch) == (False, leader.seat.leadership.epoch)

    curio.run(run)


def test_the_metrics_listener_answers_for_queues():
    """Guards against a route that nobody serves; other paths still give metrics."""
    listen = ListenSettings("127.0.0.1:0", "127.0.0.1:0")
    store = StoreSettings("127.0.0.1:1")
    settings = DeploymentSettings(
        "n", "127.0.0.1", "dc", (1, 2), "secret", listen, store, (), features=ALL
    )
    app = EntryApp(settings, create_quiet_log())
    answer = curio.run(app._answer_metrics, WebRequest("GET", "/queues?x=1"))
    assert not decode_report(json.loads(answer.body)).leads
    answer = curio.run(app._answer_metrics, WebRequest("GET", "/metrics"))
    assert ("content-type", "text/plain; charset=utf-8") in answer.headers


def build_view(entry: EntryProcess) -> QueueView:
    return QueueView(entry.seat, DIRECTORY, lambda: entry.gate.summary)


@pytest.mark.parametrize("module", ["jobentry", "jobagent"])
def test_a_program_of_the_job_path_starts_without_pydantic(module):
    """Guards against a slow start of every entry or agent, as after a power failure."""
    code = (
        f"import sys, pistachiodeal.{module}.app; sys.exit('pydantic' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
