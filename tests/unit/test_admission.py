"""Decisions on submissions: properties, and one failure at a time."""

from __future__ import annotations

import time
from dataclasses import replace
from types import SimpleNamespace

import capnp
import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiodeal.config.deployment import FeatureSettings
from pistachiodeal.exceptions import (
    JobWithdrawnError,
    LinkClosedError,
    Outcome,
    ProtocolError,
    RequestError,
)
from pistachiodeal.jobentry.admission import AdmissionGate
from pistachiodeal.jobs.model import Job, JobState, Step
from pistachiodeal.jobs.rows import encode_job
from pistachiodeal.jobs.tombstones import TOMBSTONE_VALUE
from pistachiodeal.leader.directory import Directory
from pistachiodeal.leader.load_messages import (
    RESEND_S,
    LoadSender,
    decode_rejection,
    decode_summary,
    encode_loads,
    encode_rejection,
)
from pistachiodeal.leader.load_summary import LoadSummarizer
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.leader.workers import Fleet
from pistachiodeal.model.resources import Resources
from pistachiodeal.scheduling.admission import (
    MAX_AGE_S,
    MIN_WAITING_JOBS,
    Admission,
    LoadSummary,
)
from pistachiodeal.scheduling.backlog import (
    SHARE_LEVELS,
    LoadLevel,
    QueueLoad,
    describe_demand,
    describe_new_job,
    predict_completion_s,
)
from pistachiodeal.scheduling.returning_callers import ReturningCallers
from pistachiodeal.store.row_store import StoredRow
from pistachiodeal.wire.codec import (
    _SCHEMA,
    LENGTH_BYTES,
    decode_message,
    encode_message,
)
from pistachiodeal.wire.job_messages import JobNotice, LeaderNotice
from tests.standins.job_cluster import QUEUE, create_quiet_log, run_cluster

STEP = Step(4, Resources(1_000, 1_000, 0), 1.0)
JOB = Job("00000000000000aa", QUEUE, "text", (STEP,), time.time())
KEY = (QUEUE.name, describe_demand(JOB))
NEW = describe_new_job(JOB)


def build_load(ahead: float = 1_000.0, **fields: object) -> QueueLoad:
    levels = (LoadLevel(ahead, ahead),) * len(SHARE_LEVELS)
    load = QueueLoad(*KEY, 5, 10.0, 12.0, 4.0, 1.0, 4.0, 0.0, levels)
    return replace(load, **fields)


def build_summary(load: QueueLoad | None, at: float, epoch: int = 1) -> LoadSummary:
    return LoadSummary(epoch, at, {KEY: load} if load else {})


def build_notice(load: QueueLoad, age_ms: int, epoch: int = 1) -> LeaderNotice:
    rows = encode_loads([load])
    return LeaderNotice(epoch, "a", 0, (), 0, rows, load_age_ms=age_ms)


def create_summarizer() -> LoadSummarizer:
    events = create_quiet_log()
    return LoadSummarizer(JobRegistry(events), Fleet(), lambda queue: queue, 1, events)


def create_overloaded() -> Admission:
    admission = Admission(lambda *_: None)
    admission.apply(build_summary(build_load(), 10.0))
    admission.apply(build_summary(build_load(), 10.25))
    return admission


# Mostly overloaded, so that many examples reject.
loads = st.builds(
    build_load,
    ahead=st.sampled_from([0.0, 60.0, 200.0, 1_000.0]),
    waiting_jobs=st.sampled_from([0, 1, 4, 5, 6]),
    drain=st.sampled_from([0.0, 5.0, 10.0]),
    oldest_wait_s=st.sampled_from([0.5, 2.0, 9.0]),
)
new_jobs = st.builds(
    lambda path_s, stretch: replace(NEW, path_s=path_s, stretch=stretch),
    st.sampled_from([0.5, 1.0, 20.0]),
    st.sampled_from([0.2, 2.0]),
)
rounds = st.tuples(
    st.sampled_from([0.25] * 6 + [0.0, 0.5, 2.0]),
    st.sampled_from([0] * 9 + [1]),
    st.one_of(*[st.just(build_load())] * 4, loads, st.none()),
    new_jobs,
    st.sampled_from([0.0, 0.2, 0.2, 3.0]),
)


@given(st.lists(rounds, min_size=2, max_size=12), st.sampled_from([0, 0, 0, 0, 3]))
def test_a_rejection_follows_from_two_fresh_summaries(each_round, known_epoch):
    """Guards against a rejection by an old, older, missing or single summary.

    A fleet on which nothing waits never rejects; nor is a job rejected that would end
    in time by the favourable assumptions, or that is too long by itself.
    """
    admission = Admission(lambda *_: None)
    at, epoch, applied = 0.0, 1, []
    for gap_s, newer, load, job, age_s in each_round:
        at, epoch = at + gap_s, epoch + newer
        if admission.apply(build_summary(load, at, epoch)):
            applied.append((at, epoch, load))
        rejection = admission.decide("id", job, at + age_s, max(epoch, known_epoch))
        if rejection is None:
            continue
        (at_1, epoch_1, load_1), (at_2, epoch_2, load_2) = applied[-2:]
        assert age_s <= MAX_AGE_S
        assert at_2 - at_1 <= MAX_AGE_S
        assert epoch_1 == epoch_2 >= known_epoch
        for each in (load_1, load_2):
            assert each is not None
        assert load_2.waiting_jobs >= MIN_WAITING_JOBS
        assert load_2.drain > 0
        prediction = predict_completion_s(load_2, job)
        assert prediction.completion_s > 0.8 * prediction.limit_s > job.path_s


def test_an_older_summary_that_arrives_late_is_dropped():
    """Guards against deciding by a summary of an earlier leader or moment."""
    admission = create_overloaded()
    assert admission.decide("id", NEW, 10.3, 1) is not None
    assert not admission.apply(build_summary(None, 10.1))
    assert not admission.apply(build_summary(None, 11.0, epoch=0))
    assert admission.decide("id", NEW, 10.3, 1) is not None
    assert admission.decide("id", NEW, 10.3, 2) is None
    assert admission.decide("id", NEW, 10.3 + MAX_AGE_S, 1) is None


def test_rejections_end_well_below_the_limit():
    """Guards against similar jobs that are accepted and rejected in turn."""
    changes: list[bool] = []
    admission = Admission(lambda _, begins, __: changes.append(begins))
    # The limit is three times 2.0 s + 1.0 s, of which 1.0 s is the job's own time.
    for number, ahead in enumerate((100.0, 100.0, 85.0, 70.0, 85.0)):
        admission.apply(build_summary(build_load(ahead), 10.0 + number / 4))
        rejected = admission.decide("id", NEW, 10.0 + number / 4, 1) is not None
        assert rejected is (number in (1, 2))
    assert changes == [True, False]


def test_an_accepted_small_job_does_not_end_the_rejections_of_large_ones():
    """Guards against a queue that is overloaded and relieved with each pair of jobs."""
    changes: list[bool] = []
    admission = Admission(lambda _, begins, __: changes.append(begins))
    levels = tuple(
        LoadLevel(ahead, ahead)
        for ahead in (5.0 if share < 0.8 else 1_000.0 for share in SHARE_LEVELS)
    )
    load = build_load(usual_work=16.0, levels=levels)
    large, small = replace(NEW, work=16.0), replace(NEW, work=1.0)
    for at in (10.0, 10.25, 10.5):
        admission.apply(build_summary(load, at))
        rejected = admission.decide("large", large, at, 1) is not None
        assert rejected is (at > 10.0)
        assert admission.decide("small", small, at, 1) is None
    assert changes == [True]


def test_messages_of_an_older_version_mean_that_there_is_no_summary(tmp_path):
    """Guards against an update of entries one by one that breaks their links."""
    old_schema = tmp_path / "old.capnp"
    old_schema.write_text(
        "@0xbf5147cbbecf40c1;\nstruct Label { text @0 :Text; }\n"
        "struct LeaderNotice { epoch @0 :UInt64; address @1 :Text;\n"
        "storeAgeMs @2 :Int64; entries @3 :List(Label); heardMs @4 :Int64; }\n"
    )
    old = capnp.load(str(old_schema)).LeaderNotice
    frame = encode_message(replace(build_notice(build_load(), 5), heard_ms=7))
    decoded = decode_message(frame[LENGTH_BYTES:], packed=True)
    assert decode_summary(decoded, 10.0)[0].loads == {KEY: build_load()}
    struct = _SCHEMA.LeaderNotice.new_message(epoch=3, heardMs=7, loadAgeMs=5)
    with old.from_bytes(struct.to_bytes()) as read:
        assert (read.epoch, read.heardMs) == (3, 7)
    with _SCHEMA.LeaderNotice.from_bytes(old.new_message().to_bytes()) as read:
        assert read.loadAgeMs == -1
    assert decode_summary(LeaderNotice(1, "a", 0, (), 0), 10.0) == (None, 0)


@pytest.mark.parametrize(
    "fields",
    [{"drain_milli": -1}, {"usual_work": 2**62}, {"levels": ()}, {"waiting_jobs": -5}],
)
def test_what_no_version_sends_is_left_out(fields):
    """Guards against an exception, or a rejection, by malformed fields."""
    notice = build_notice(build_load(), 0)
    row = replace(notice.load[0], **fields)
    summary, invalid = decode_summary(replace(notice, load=(row,)), 10.0)
    assert (summary.loads, invalid) == ({}, 1)
    rejection = encode_rejection(JOB.job_id, NEW, 3.0)
    assert decode_rejection(rejection) == NEW
    leader = create_summarizer()
    for malformed in (replace(rejection, key="x"), replace(rejection, path_ms=-1)):
        leader.record(malformed, 1.0)
    assert not leader._returning


def test_an_unchanged_summary_is_sent_once_a_second():
    """Guards against traffic of idle entries, and against a copy that gets too old."""
    source = SimpleNamespace(current=build_summary(build_load(), 10.0))
    sender, notice = LoadSender(source), LeaderNotice(1, "a", 0, (), 0)
    sent = []
    for at in (10.0, 10.25, 10.5, 10.0 + RESEND_S):
        source.current = build_summary(build_load(), at)
        sent.append(sender.extend(notice, at).load_age_ms >= 0)
    assert sent == [True, False, False, True]
    # A leader that computes no summaries any more must not look fresh.
    assert sender.extend(notice, 20.0) == notice


def test_who_was_rejected_first_enters_first():
    """Guards against a wave of returning callers that takes the room by chance.

    There is room for one of two jobs. A second rejection keeps the first's time. Room
    that is kept for longer than a caller needs to return makes others wait.
    """
    returning = ReturningCallers()
    for job_id, retry_after_s in (("first", 3.0), ("second", 2.0), ("first", 2.0)):
        returning.record_rejection(job_id, NEW, 10.0, retry_after_s)
    room, none = {KEY: build_load(73.0)}, {KEY: build_load(100.0)}
    assert returning.invite(room, 10.5)[0] == []
    assert returning.invite(none, 12.0)[0] == []
    invited, loads = returning.invite(room, 12.0)
    assert invited == ["first"]
    assert loads[KEY].levels[-1].waiting == 73.0 + NEW.work
    assert loads[KEY].returning_work == NEW.work
    assert returning.invite(room, 14.0)[1][KEY].levels == room[KEY].levels
    returning.forget({"first": None}, 12.0)
    assert returning.invite(room, 12.0)[0] == ["second"]
    returning.forget({}, 50.0)
    assert returning.invite(room, 12.0)[0] == []


class FakeEntry:
    """A gate whose entry has an overloaded leader, and fakes around it.

    :ivar state: what the leader or the store says about any job.
    :ivar on_check: called while the state is looked up.
    """

    def __init__(self) -> None:
        self.directory = Directory(())
        self.state: JobState | None = None
        self.on_check = lambda entry: None
        self.failure: Exception | None = None
        self.inserted: list[str] = []
        self.sent: list[JobNotice] = []
        self.link_closed = False
        peers = SimpleNamespace(directory=self.directory, events=create_quiet_log())
        self.gate = AdmissionGate(
            self, self, SimpleNamespace(leadership=None), self, peers
        )
        self.link = self
        for age_ms in (300, 50):
            self.gate.apply_notice(build_notice(build_load(), age_ms))

    async def insert(self, job_id: str, value: bytes, budget_s: float) -> None:
        if self.failure is not None:
            raise self.failure
        self.inserted.append(job_id)

    async def find_state(self, job_id: str) -> JobState | None:
        self.on_check(self)
        return self.state

    async def send(self, notice: JobNotice) -> None:
        if self.link_closed:
            raise LinkClosedError
        self.sent.append(notice)

    def submit(self, job: Job = JOB) -> RequestError | None:
        """Submit a job; return the error that its caller gets."""

        async def main() -> RequestError | None:
            try:
                await self.gate.submit(job, b"row", 3.0)
            except RequestError as error:
                return error
            return None

        return curio.run(main)


@pytest.mark.parametrize("link_closed", [False, True])
def test_a_rejection_says_that_the_job_has_not_run(link_closed):
    """Guards against a caller that can't tell whether its job runs.

    The notice to the leader may be lost.
    """
    entry = FakeEntry()
    entry.link_closed = link_closed
    error = entry.submit()
    assert (error.status, error.code) == (429, "overloaded")
    assert error.outcome is Outcome.NOT_RUN
    assert 1.0 <= error.retry_after <= 8.0 * 1.3
    assert not entry.inserted
    retry_after_s = error.retry_after
    sent = [] if link_closed else [encode_rejection(JOB.job_id, NEW, retry_after_s)]
    assert entry.sent == sent


def lose_leader(entry: FakeEntry) -> None:
    entry.directory.update_leader(2, "10.0.0.1:1")


def hide_state(entry: FakeEntry) -> None:
    raise RequestError("the store is silent", status=503)


def fail_to_decode(entry: FakeEntry) -> None:
    raise ProtocolError("not a progress row", step="jobs.decode_progress")


def say_withdrawn(entry: FakeEntry) -> None:
    raise JobWithdrawnError(JOB.job_id)


def answer_unknown_state(entry: FakeEntry) -> None:
    JobState("a state of a later version")


@pytest.mark.parametrize(
    ("state", "on_check"),
    [
        (JobState.QUEUED, lambda entry: None),
        (JobState.COMPLETED, lambda entry: None),
        (None, hide_state),
        (None, fail_to_decode),
        (None, answer_unknown_state),
        (None, say_withdrawn),
        (None, lose_leader),
    ],
)
def test_a_job_that_may_exist_is_not_rejected(state, on_check):
    """Guards against "has not run" for a repeat, or by what may be wrong meanwhile.

    Neither the leader nor the store may answer the check, the answer may be of another
    version, or the leader may be lost between its summary and the rejection. A job that
    was cancelled is refused by its insert, for good and not for a time.
    """
    entry = FakeEntry()
    entry.state, entry.on_check = state, on_check
    assert entry.submit() is None
    assert entry.inserted == [JOB.job_id]


def test_an_insert_without_an_answer_is_never_followed_by_a_rejection():
    """Guards against "has not run" for a job that the store accepts seconds later."""
    entry = FakeEntry()
    entry.state = JobState.QUEUED
    entry.failure = RequestError(status=504, outcome=Outcome.UNKNOWN)
    assert entry.submit().status == 504
    assert entry.sent == [JobNotice(JOB.job_id, uncertain=True)]
    entry.state = entry.failure = None
    assert entry.submit() is None
    # The leader tells the other entries.
    leader = create_summarizer()
    leader.record(entry.sent[0], 1.0)
    assert leader.refresh(1.0, 1.0).invited == {JOB.job_id}


def test_no_room_is_kept_for_a_cancelled_job():
    """Guards against callers who are rejected for a job that never comes back."""
    leader = create_summarizer()
    uncertain = f"{9:016x}"
    leader.record(encode_rejection(JOB.job_id, NEW, 1.0), 1.0)
    leader.record(JobNotice(uncertain, uncertain=True), 1.0)
    assert leader.refresh(1.5, 1.5).invited == {uncertain}
    for job_id in (JOB.job_id, uncertain):
        leader._registry.tombstones.observe(StoredRow(job_id, TOMBSTONE_VALUE, 5))
    assert leader.refresh(1.6, 1.6).invited == set()
    assert len(leader._returning) == 0


@pytest.mark.parametrize(
    "job",
    [
        replace(JOB, steps=(replace(STEP, lasts=True),)),
        replace(JOB, repeats=2, interval_s=1.0),
        replace(JOB, steps=(replace(STEP, label="other"),)),
    ],
)
def test_jobs_that_the_backlog_says_nothing_about_are_accepted(job):
    """Guards against rejecting long-running, scheduled, and differently placed jobs."""
    assert FakeEntry().submit(job) is None


async def wait_for_leader(cluster) -> tuple:
    """Return the leader and an entry that follows it."""
    while cluster.find_leader() is None:
        await curio.sleep(0.02)
    leader = cluster.find_leader()
    follower = next(entry for entry in cluster.entries if entry is not leader)
    while follower.election.link is None:
        await curio.sleep(0.02)
    return leader, follower


def test_summaries_rejections_and_invitations_cross_the_link(monkeypatch):
    """Guards against an entry that never hears of an overload, or of an invitation."""
    refresh, overloaded = LoadSummarizer.refresh, True

    def fake_refresh(self, now, time_of_day_s):
        summary = refresh(self, now, time_of_day_s)
        loads = {KEY: build_load() if overloaded else build_load(10.0)}
        invited, loads = self._returning.invite(loads, now)
        self._current = replace(summary, loads=loads, invited=frozenset(invited))

    async def is_rejected(entry, job) -> bool:
        try:
            await entry.gate.submit(job, encode_job(job), 3.0)
        except RequestError as error:
            assert error.status == 429
            return True
        return False

    async def main() -> None:
        nonlocal overloaded
        features = FeatureSettings(admission=True)
        async with run_cluster(agents=0, features=features) as cluster:
            leader, follower = await wait_for_leader(cluster)
            jobs = [replace(JOB, job_id=f"{number:016x}") for number in range(2)]
            await follower.submit(jobs[0])
            for entry in (leader, follower):
                while not await is_rejected(entry, jobs[1]):
                    jobs[1] = replace(JOB, job_id=f"{int(jobs[1].job_id, 16) + 1:016x}")
                    await curio.sleep(0.1)
                assert ("jobs", jobs[1].job_id) not in cluster.state.rows
                assert not await is_rejected(entry, jobs[0])
            overloaded = False
            summary = leader.seat.leadership.load_summary
            while jobs[1].job_id not in summary.current.invited:
                await curio.sleep(0.05)
            overloaded = True
            while jobs[1].job_id not in follower.gate._admission.current.invited:
                await curio.sleep(0.05)
            assert not await is_rejected(follower, jobs[1])

    monkeypatch.setattr(LoadSummarizer, "refresh", fake_refresh)
    curio.run(main)


def test_without_the_feature_there_is_no_summary():
    """Guards against a feature that is in effect though no setting enables it."""

    async def main() -> None:
        async with run_cluster(agents=0) as cluster:
            leader, follower = await wait_for_leader(cluster)
            leadership = leader.seat.leadership
            assert leadership.load_summary is None
            leadership.handle_notice(encode_rejection(JOB.job_id, NEW, 3.0))
            assert not leadership._feed._announced
            # An entry with the feature, and a leader without it.
            await follower.gate.submit(JOB, encode_job(JOB), 3.0)
            assert ("jobs", JOB.job_id) in cluster.state.rows

    curio.run(main)
