"""Records of the runs on this worker, and the table that holds them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from pistachiodeal.agent.ledger import Ledger
from pistachiodeal.agent.run_tags import RunTag, read_tag
from pistachiodeal.model.resources import Resources
from pistachiodeal.store.protocols import Run, RunRequest, RunState
from pistachiodeal.wire.task_messages import LeaseGrant, Start


class Phase(StrEnum):
    """The state of a run as far as the agent knows it."""

    STARTING = "starting"  # resources reserved; no start sent to the worker yet
    UNCERTAIN = "uncertain"  # start sent; the worker's response is missing
    RUNNING = "running"
    STOPPING = "stopping"  # stop requested; repeated until the worker confirms
    ENDED = "ended"


@dataclass(slots=True)
class RunRecord:
    """An attempt on this worker, kept until its owner acknowledges its end.

    :param lease_until: end of the lease, monotonic clock, seconds.
    :param lease_s: length of the lease, seconds.
    :param from_beat: only grants for this beat or a later one renew this run;
        earlier reports did not list it.
    :param resume_key: key of the checkpoint from which the next attempt resumes.
    :param min_run_s: time that it runs before it may be evicted, seconds.
    :param evictions: number of evictions of the task in earlier attempts.
    :param started_at: when the worker confirmed the start, 0 before.
    :param share: share of its size that it may use, 1 unless throttled.
    :param used: largest measured use.
    :param recent: latest measured use, None before the first measurement.
    :param changed_at: when the phase last changed, monotonic clock, seconds.
    :param checkpoint: checkpoint data not yet written to the object store.
    :param request: the start request, while the worker's response is missing.
    :param stop_requested: a stop was requested; repeated until the worker confirms it.
    :param resumable: a later attempt may resume from its checkpoint.
    """

    task_id: str
    attempt: int
    partition: int
    epoch: int
    kind: str
    size: Resources
    phase: Phase
    lease_until: float
    lease_s: float
    from_beat: int = 0
    resume_key: str = ""
    min_run_s: float = 0.0
    profile: str = ""
    evictions: int = 0
    started_at: float = 0.0
    changed_at: float = 0.0
    share: float = 1.0
    used: Resources = field(default_factory=Resources)
    recent: Resources | None = None
    checkpoint: bytes | None = None
    request: RunRequest | None = None
    stop_requested: bool = False
    resumable: bool = True

    @property
    def name(self) -> str:
        """Return the name of the run's reservation in the ledger."""
        return f"task/{self.task_id}"

    @property
    def tag(self) -> RunTag:
        """Return the tag that the worker stores with the run."""
        return RunTag(
            self.partition,
            self.epoch,
            self.lease_s,
            self.min_run_s,
            self.profile,
            self.evictions,
            self.resume_key,
        )

    @property
    def ended(self) -> bool:
        """Return whether the run has certainly ended."""
        return self.phase is Phase.ENDED

    def enter(self, phase: Phase, now: float) -> None:
        """Change to a phase; an ended run stays ended."""
        if not self.ended:
            self.phase = phase
            self.changed_at = now

    def accepts(self, grant: LeaseGrant, beat: int) -> bool:
        """Return whether a grant that answers the report ``beat`` renews this run.

        The lease is not renewed while the outcome of the start is unknown: the
        worker refuses a start whose lease has expired, so the outcome becomes
        certain once the lease has ended.
        """
        return (
            self.phase is Phase.RUNNING
            and self.partition == grant.partition
            and self.epoch <= grant.epoch
            and self.from_beat <= beat
        )


@dataclass(slots=True)
class RunRecordTable:
    """The runs on this worker by task, and the ledger with their reservations.

    :param closed: no more tasks are started; the agent is draining.
    :param accept_from: time before which no task is started, monotonic clock,
        seconds.
    """

    ledger: Ledger
    runs: dict[str, RunRecord] = field(default_factory=dict)
    closed: bool = False
    accept_from: float = float("inf")

    def accepts(self, now: float) -> bool:
        """Return whether tasks may be started."""
        return not self.closed and now >= self.accept_from

    def mark_ended(self, record: RunRecord, now: float) -> None:
        """Mark a run as ended and release its reservation."""
        record.enter(Phase.ENDED, now)
        self.ledger.release(record.name)


def create_run_record(start: Start, lease_until: float, latest_beat: int) -> RunRecord:
    """Create the record of a run that is about to be started.

    :param lease_until: end of the lease, monotonic clock, seconds.
    """
    return RunRecord(
        start.task_id,
        start.attempt,
        start.partition,
        start.epoch,
        start.kind,
        start.size,
        Phase.STARTING,
        lease_until,
        start.lease_ms / 1000,
        from_beat=latest_beat + 1,
        resume_key=start.checkpoint,
        min_run_s=start.min_run_ms / 1000,
        profile=start.profile,
        evictions=start.evictions,
    )


def adopt_run(run: Run, now: float) -> RunRecord:
    """Create the record of a run that an earlier agent process has started.

    The worker does not report when the lease ends. The agent assumes half a lease
    from now, so that a checkpoint is taken in time if no renewal arrives; the
    worker itself enforces the actual end.
    """
    tag = read_tag(run.tag, run.task_id)
    return RunRecord(
        run.task_id,
        run.attempt,
        tag.partition,
        tag.epoch,
        run.kind,
        run.size,
        Phase.RUNNING if run.state is RunState.RUNNING else Phase.STOPPING,
        now + tag.lease_s / 2,
        tag.lease_s,
        resume_key=tag.resume_key,
        min_run_s=tag.min_run_s,
        profile=tag.profile,
        evictions=tag.evictions,
        started_at=run.started_at or now,
        changed_at=now,
        share=run.throttle,
    )
