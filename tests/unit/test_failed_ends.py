"""Ends whose handling by the leader fails."""

from __future__ import annotations

import time
from unittest import mock

import curio
import orjson
import pytest

from pistachiodeal.exceptions import PistachiodealError
from pistachiodeal.jobs.model import Job, Step
from pistachiodeal.leader.reconcile import Reconciler
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.speed_monitor import SpeedMonitor
from pistachiodeal.leader.workers import Attachment, Fleet
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.interference import InterferenceModel
from pistachiodeal.wire.job_messages import EndedTask, RunningTask, WorkerReport
from tests.simulation.clock import run_simulated
from tests.standins.job_cluster import QUEUE, create_quiet_log

JOB_ID = f"{1:016x}"
PLACE = "node/w"


class Leader:
    """A leader's state with two filling tasks that run on one worker."""

    def __init__(self) -> None:
        self.events = create_quiet_log()
        self.registry = JobRegistry(self.events)
        model = InterferenceModel()
        self.speeds = SpeedMonitor(self.registry, model, self.events, 1.5)
        self.fleet = Fleet()
        self.reconciler = Reconciler(
            self.registry, self.fleet, model, self.events, speeds=self.speeds
        )
        step = Step(2, Resources(1_000, 100, 0), 60.0, fills=True, image="f")
        self.registry.add(Job(JOB_ID, QUEUE, "", (step,), time.time()), time.time())
        self.attachment = Attachment("node", 1)
        self.fleet.get("node").attach(self.attachment)
        self.report([], [])
        self.tasks = list(self.registry.records[JOB_ID].iterate_tasks())
        for task in self.tasks:
            self.registry.place(task, 1, PLACE, lambda: None)

    @property
    def worker(self):
        """Return the state of the worker."""
        return self.fleet.get("node")

    def report(self, running: list[tuple[int, int, float]], ended: list[int]) -> None:
        """Apply a report.

        :param running: index, progress and pace of each running task.
        :param ended: indexes of the tasks that have ended done.
        """
        report = WorkerReport(
            self.attachment.beat + 1,
            1,
            "w",
            (),
            "svc",
            True,
            False,
            0,
            16_000,
            64_000,
            0,
            (),
            tuple(
                RunningTask(
                    f"{JOB_ID}.0.0.{index}", 1, "", percent, 900, int(pace * 1000)
                )
                for index, percent, pace in running
            ),
            tuple(
                EndedTask(1 + index, f"{JOB_ID}.0.0.{index}", 1, "done", "")
                for index in ended
            ),
            (),
        )
        self.reconciler.apply(self.attachment, report)

    def list_done(self) -> list[bool]:
        """Tell of each task whether it is done."""
        return [task.done for task in self.tasks]


def count(events, name: str) -> int:
    """Return how often an event was logged."""
    lines = events.stats.format().splitlines()
    return sum(int(line.split()[1]) for line in lines if line.split()[0] == name)


def test_an_end_at_a_low_pace_after_an_equal_list_is_applied():
    """Guards against a job that stays active with nothing running.

    The pace of the last list was too low to be measured by, which removes the window of
    measurements that the end wanted to close.
    """

    async def main(clock) -> None:
        leader = Leader()
        leader.report([(0, 10, 1.0), (1, 10, 1.0)], [])
        await curio.sleep(0.1)
        leader.report([(0, 10, 0.0), (1, 10, 0.0)], [])
        await curio.sleep(0.1)
        leader.report([(1, 10, 1.0)], [0])
        assert leader.list_done() == [True, False]
        assert not count(leader.events, "statistics_failed")

    run_simulated(main)


def test_an_end_counts_whatever_becomes_of_the_statistics():
    """Guards against an error in a measurement that keeps a task from being done."""
    leader = Leader()
    leader.report([(0, 10, 1.0), (1, 10, 1.0)], [])
    with mock.patch.object(leader.speeds, "observe_done", side_effect=KeyError("x")):
        leader.report([], [0, 1])
    assert leader.list_done() == [True, True]
    assert count(leader.events, "statistics_failed") == 2


def test_an_end_whose_handling_fails_is_handled_again():
    """Guards against an end that is passed over for good after one error."""
    leader = Leader()
    leader.report([(0, 10, 1.0), (1, 10, 1.0)], [])
    end_run = leader.registry.end_run

    def fail(task, *arguments):
        if task.name.index == 0:
            raise KeyError("x")
        return end_run(task, *arguments)

    with mock.patch.object(leader.registry, "end_run", side_effect=fail):
        leader.report([], [0, 1])
        assert leader.list_done() == [False, True]
    leader.report([], [0, 1])
    assert leader.list_done() == [True, True]
    assert count(leader.events, "end_failed") == 1


def test_typed_errors_pass_and_others_are_logged_with_their_origin():
    """Guards against errors that are swallowed without a trace."""
    events = create_quiet_log()
    lines = []
    events._write = lines.append
    with events.confine("row.failed", key="k"):
        raise KeyError("unforeseen")
    with pytest.raises(PistachiodealError), events.confine("row.failed"):
        raise PistachiodealError("typed")
    [line] = [orjson.loads(line) for line in lines]
    assert line["cause"] == "KeyError('unforeseen')" and line["key"] == "k"
    assert line["origin"].startswith("test_failed_ends.py:")
