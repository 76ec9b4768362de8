"""Replays of load against the leader's summary and an entry's decisions."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, field

from pistachiodeal.jobs.model import EndKind, Job, Queue, Step
from pistachiodeal.leader.load_messages import encode_rejection
from pistachiodeal.leader.load_summary import LoadSummarizer
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Fleet
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.admission import Admission
from pistachiodeal.scheduling.backlog import describe_new_job
from pistachiodeal.scheduling.ordering import LATE_FACTOR, WaitingStep, rank_step
from pistachiodeal.scheduling.retry_after import choose_retry_after_s
from tests.standins.job_cluster import create_quiet_log

QUEUE = Queue("q", "host", "/q/", "svc", 1, 4, 2.0, 1.0)
SLOTS = 16
TASKS = 4
# Each job is 4 core-seconds, so the slots complete four jobs a second.
JOBS_PER_S = SLOTS / TASKS
OBJECTIVE_S = 3.0
TICK_S = 0.05
RETRIES = 4


@dataclass
class Replay:
    """Callers, an entry, the leader's records, and slots that run tasks.

    :ivar accepted: time of acceptance by job id.
    :ivar rejected: times of the rejections by job id.
    :ivar ended: times of the ends by job id.
    """

    admits: bool = True
    paused: bool = False
    now: float = 1_000.0
    accepted: dict[str, float] = field(default_factory=dict)
    rejected: dict[str, list[float]] = field(default_factory=dict)
    ended: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(1)
        events = create_quiet_log()
        self.registry = JobRegistry(events)
        fleet = Fleet()
        worker = fleet.get("node")
        worker.service, worker.capacity = "svc", Resources(16_000, 64, 0)
        self.leader = LoadSummarizer(
            self.registry, fleet, lambda queue: queue, 1, events
        )
        self.changes: list[bool] = []
        self.admission = Admission(lambda _, begins, __: self.changes.append(begins))
        self.running: list[tuple[float, int, object]] = []
        self.callers: list[tuple[float, str, int]] = []
        self.summarized_at = 0.0

    def arrive(self, rate: float, lasts_s: float) -> None:
        """Let new callers submit jobs at a rate from now on."""
        at = self.now
        while at < self.now + lasts_s:
            heapq.heappush(self.callers, (at, f"{self.rng.getrandbits(64):016x}", 0))
            at += self.rng.expovariate(rate)

    def run(self, lasts_s: float) -> None:
        until = self.now + lasts_s
        while self.now < until:
            self.now += TICK_S
            self._end_tasks()
            self._place_tasks()
            if self.now - self.summarized_at >= 0.25:
                self.summarized_at = self.now
                self.admission.apply(self.leader.refresh(self.now, self.now))
            while self.callers and self.callers[0][0] <= self.now:
                _, job_id, tries = heapq.heappop(self.callers)
                self._submit(job_id, tries)

    def count_in_time(self, factor: float = 1.0) -> int:
        return sum(
            at - self.accepted[job_id] <= factor * OBJECTIVE_S
            for job_id, at in self.ended.items()
        )

    def _submit(self, job_id: str, tries: int) -> None:
        step = Step(TASKS, Resources(1_000, 1, 0), 1.0, fills=True)
        job = Job(job_id, QUEUE, "", (step,), self.now)
        new = describe_new_job(job)
        rejection = self.admission.decide(job_id, new, self.now, 1)
        if rejection is None or not self.admits:
            self.accepted[job_id] = self.now
            self.registry.add(job, self.now)
            return
        assert len(self.running) == SLOTS, "rejected with free capacity"
        self.rejected.setdefault(job_id, []).append(self.now)
        wait_s = choose_retry_after_s(rejection.room_in_s, self.rng)
        self.leader.record(encode_rejection(job_id, new, wait_s), self.now)
        if tries < RETRIES:
            wait_s = math.ceil(wait_s)
            heapq.heappush(self.callers, (self.now + wait_s, job_id, tries + 1))

    def _end_tasks(self) -> None:
        for _, _, task in self.running:
            task.work_s += TICK_S
        while self.running and self.running[0][0] <= self.now:
            _, _, task = heapq.heappop(self.running)
            record = self.registry.records[task.name.job_id]
            self.registry.end_run(task, EndKind.DONE, "", lambda: None)
            if record.state.final:
                self.ended[record.job_id] = self.now

    def _place_tasks(self) -> None:
        ready = sorted(
            self.registry.iterate_ready(), key=lambda pair: self._rank(*pair)
        )
        for _, step in ready if not self.paused else ():
            for task in step.tasks:
                if len(self.running) >= SLOTS:
                    return
                if task.waits and task.step.size.memory_mib <= 64:
                    self.registry.place(task, 1, "node/w", lambda: None)
                    entry = (self.now + 1.0, self.rng.random(), task)
                    heapq.heappush(self.running, entry)

    def _rank(self, record, step) -> object:
        age_s = self.now - record.job.accepted_s
        usual = self.registry.estimator.get_average_work("q")
        return rank_step(
            WaitingStep(
                1, False, age_s, 1.0, 3.0, step.remaining_work, record.work, usual
            )
        )


def replay_burst(*, admits: bool) -> Replay:
    """Return 10 s at half the load, 20 s at four times of what can be completed."""
    replay = Replay(admits)
    replay.arrive(JOBS_PER_S / 2, 10.0)
    replay.run(10.0)
    replay.arrive(JOBS_PER_S * 4, 20.0)
    replay.run(20.0)
    return replay


def test_a_burst_is_rejected_while_its_jobs_could_gain_nothing():
    """Guards against callers that are accepted and wait until they expire."""
    free, gated = replay_burst(admits=False), replay_burst(admits=True)
    times = [at for each in gated.rejected.values() for at in each]
    assert min(times) > 1_010.0, "a job was rejected before the burst"
    rejected = sum(at > 1_020.0 for at in times)
    accepted = sum(at > 1_020.0 for at in gated.accepted.values())
    assert rejected > accepted
    free.run(15.0)
    gated.run(15.0)
    assert gated.count_in_time() >= free.count_in_time()
    assert gated.count_in_time(LATE_FACTOR) >= free.count_in_time(LATE_FACTOR)


def test_a_queue_that_drains_accepts_again():
    """Guards against rejections that go on after the cause is gone."""
    replay = replay_burst(admits=True)
    replay.run(25.0)
    replay.rejected.clear()
    replay.arrive(JOBS_PER_S / 2, 10.0)
    replay.run(10.0)
    assert not replay.rejected
    assert replay.changes[-1] is False


def test_after_a_burst_a_new_job_overtakes_the_late_ones():
    """Guards against rejecting a job that would be in time.

    Late jobs wait in numbers after a burst, but a new job is placed before them.
    """
    replay = Replay(admits=False)
    replay.arrive(JOBS_PER_S * 6, 8.0)
    replay.run(12.0)
    waiting = sum(not one.begun for one in replay.registry.open_records.values())
    assert waiting > 4 * LATE_FACTOR * OBJECTIVE_S
    replay.admits = True
    replay.arrive(JOBS_PER_S / 4, 4.0)
    replay.run(6.0)
    assert not replay.rejected


def test_an_idle_or_fully_used_fleet_rejects_nothing():
    """Guards against rejections where capacity is left."""
    replay = Replay()
    replay.arrive(JOBS_PER_S * 0.9, 40.0)
    replay.run(45.0)
    assert not replay.rejected


def test_jobs_that_fit_on_no_worker_reject_no_others():
    """Guards against work that nothing waits for, and a rate that shows the load."""
    replay = Replay()
    replay.arrive(JOBS_PER_S / 2, 30.0)
    step = Step(TASKS, Resources(1_000, 65, 0), 1.0, fills=True)
    for number in range(120):
        job = Job(f"{number:016x}", QUEUE, "", (step,), replay.now)
        replay.registry.add(job, replay.now)
        replay.run(0.25)
    assert not replay.rejected


def test_a_leader_that_places_nothing_for_seconds_rejects_nothing():
    """Guards against taking a silent store, or a change of leaders, for an overload."""
    replay = Replay()
    replay.arrive(JOBS_PER_S * 0.8, 40.0)
    replay.run(20.0)
    replay.paused = True
    replay.run(8.0)
    assert not replay.rejected
    replay.paused = False
    # From here on a rejection needs that all slots are in use, see Replay.
    replay.run(20.0)
