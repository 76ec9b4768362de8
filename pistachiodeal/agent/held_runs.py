"""The runs that this worker holds, and the ledger that holds their room."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from pistachiodeal.agent.ledger import Ledger
from pistachiodeal.agent.run_tags import RunTag, read_tag
from pistachiodeal.model.resources import Resources
from pistachiodeal.store.protocols import Run, RunRequest, RunState
from pistachiodeal.wire.task_messages import LeaseGrant, Start


class Phase(StrEnum):
    """What the agent knows of a run."""

    STARTING = "starting"  # reserved; the worker was not asked yet
    UNCERTAIN = "uncertain"  # the worker was asked, and its answer was lost
    RUNNING = "running"
    STOPPING = "stopping"  # the worker was asked to stop it, or will be again
    ENDED = "ended"


@dataclass(slots=True)
class HeldRun:
    """An attempt that is on this worker, or was and is not acknowledged.

    :param lease_until: end of the lease, monotonic clock, seconds.
    :param lease_s: length of the lease, seconds.
    :param from_beat: only grants for this beat or a later one concern this run;
        earlier reports didn't name it.
    :param resume_key: object from which the next attempt goes on.
    :param min_run_s: how long it is left alone before an eviction, seconds.
    :param evictions: how often the task was evicted in earlier attempts.
    :param started_at: when the worker confirmed the start, 0 before.
    :param share: part of its size that it may use, 1 unless throttled.
    :param used: largest use seen.
    :param recent: latest use seen, None before the first measurement.
    :param changed_at: when the phase last changed, monotonic clock, seconds.
    :param checkpoint: state that waits for the object store.
    :param request: what the worker was asked, while its answer is not known.
    :param stop_asked: it has to end; stopped again until the worker confirms it.
    :param resumes: a later attempt goes on from its checkpoint.
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
    stop_asked: bool = False
    resumes: bool = True

    @property
    def name(self) -> str:
        """Return the name of its reservation."""
        return f"task/{self.task_id}"

    @property
    def tag(self) -> RunTag:
        """Return what the worker is to keep with it."""
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
        """Tell whether it is over for certain."""
        return self.phase is Phase.ENDED

    def enter(self, phase: Phase, now: float) -> None:
        """Go on to a phase; an ended run stays ended."""
        if not self.ended:
            self.phase = phase
            self.changed_at = now

    def accepts(self, grant: LeaseGrant, beat: int) -> bool:
        """Tell whether a grant for a beat's report renews this run's lease.

        Not while the fate of its start is unknown: the worker refuses a start
        whose lease has passed, and this makes its fate certain in the end.
        """
        return (
            self.phase is Phase.RUNNING
            and self.partition == grant.partition
            and self.epoch <= grant.epoch
            and self.from_beat <= beat
        )


@dataclass(slots=True)
class HeldRunTable:
    """The runs on this worker by task, and the ledger that holds their room.

    :param closed: no task is started any more; the agent drains.
    :param accept_from: no task is started before, monotonic clock, seconds.
    """

    ledger: Ledger
    runs: dict[str, HeldRun] = field(default_factory=dict)
    closed: bool = False
    accept_from: float = float("inf")

    def accepts(self, now: float) -> bool:
        """Tell whether tasks may be started at all."""
        return not self.closed and now >= self.accept_from

    def end(self, held: HeldRun, now: float) -> None:
        """Give the room of a run back, which is over for certain."""
        held.enter(Phase.ENDED, now)
        self.ledger.release(held.name)


def create_held_run(start: Start, lease_until: float, latest_beat: int) -> HeldRun:
    """Make the record of a run that is about to be started.

    :param lease_until: monotonic clock, seconds.
    """
    return HeldRun(
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


def adopt_run(run: Run, now: float) -> HeldRun:
    """Make the record of a run that an earlier agent has started.

    The worker does not say when its lease ends. Half a lease from now is taken
    for it, so that without renewals a checkpoint is made in time; the worker
    itself goes by the true end.
    """
    tag = read_tag(run.tag, run.task_id)
    return HeldRun(
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
