"""The ledger of what a worker has given away, and the runs it was given to."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

import curio
import orjson

from pistachiodeal.model.resources import Resources
from pistachiodeal.platform.protocols import Run, RunRequest, RunState
from pistachiodeal.wire.messages import LeaseGrant, Start

Action = Callable[[], Awaitable[None]]

NOTHING = Resources()
UNKNOWN_LEASE_S = 60.0  # for a run whose tag can't be read


class Ledger:
    """Reservations by name against a worker's capacity.

    No method awaits. A caller reserves before its first await, because two
    that check first and write after an await both find the same room free.
    """

    def __init__(self, capacity: Resources) -> None:
        self._capacity = capacity
        self._free = capacity
        self._sizes: dict[str, Resources] = {}

    @property
    def capacity(self) -> Resources:
        """Return what the worker has in all."""
        return self._capacity

    @property
    def free(self) -> Resources:
        """Return what is left; a field is negative when too much was found running."""
        return self._free

    def holds(self, name: str) -> bool:
        """Tell whether there is a reservation of this name."""
        return name in self._sizes

    def reserve(self, name: str, size: Resources) -> bool:
        """Reserve ``size``, or return False and leave everything as it was.

        A name that is held already is resized if there is room for the rest.
        """
        if not _is_amount(size):
            return False
        held = self._sizes.get(name, NOTHING)
        shrinks = name in self._sizes and size.fits(held)
        room = self._free + held
        if not shrinks and not (_is_amount(room) and size.fits(room)):
            return False
        self._set(name, size)
        return True

    def adopt(self, name: str, size: Resources) -> None:
        """Count what runs already, room or not.

        A reservation is only enlarged by this. When it takes a field of
        ``free`` below zero nothing more is accepted until enough has ended.
        """
        self._set(name, size.enlarge(self._sizes.get(name, NOTHING)))

    def release(self, name: str) -> None:
        """Give a reservation back, if there is one."""
        size = self._sizes.pop(name, None)
        if size is not None:
            self._free = self._free + size

    def _set(self, name: str, size: Resources) -> None:
        self.release(name)
        self._sizes[name] = size
        self._free = self._free - size


def create_ledger(capacity: Resources) -> Ledger:
    """Make a ledger in which nothing is reserved."""
    return Ledger(capacity)


def _is_amount(size: Resources) -> bool:
    return NOTHING.fits(size)


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
    :param used: largest use seen.
    :param recent: latest use seen, None before the first measurement.
    :param changed_at: when the phase last changed.
    :param checkpoint: state that waits for the object store.
    :param request: what the worker was asked, while its answer is not known.
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
class RunTable:
    """The runs on this worker by task, and the ledger that holds their room."""

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
    """Make the record of a run that is about to be started."""
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


@dataclass(frozen=True, slots=True)
class RunTag:
    """What the worker keeps with a run for the next agent."""

    partition: int
    epoch: int
    lease_s: float = UNKNOWN_LEASE_S
    min_run_s: float = 0.0
    profile: str = ""
    evictions: int = 0
    resume_key: str = ""


def write_tag(held: HeldRun) -> str:
    """Return the tag of a run, as text."""
    tag = RunTag(
        held.partition,
        held.epoch,
        held.lease_s,
        held.min_run_s,
        held.profile,
        held.evictions,
        held.resume_key,
    )
    return orjson.dumps(tag).decode()


def read_tag(text: str, task_id: str) -> RunTag:
    """Return what a tag says; the partition comes from the task's id if it is bad."""
    try:
        return RunTag(**orjson.loads(text))
    except (ValueError, TypeError):
        prefix = task_id.partition("-")[0]
        return RunTag(int(prefix) if prefix.isdecimal() else 0, 0)


class SerialWork:
    """Runs actions in order for each task, and tasks side by side in a pool."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._count = 0
        self._waiting: dict[str, deque[Action]] = {}
        self._ready: curio.Queue = curio.Queue()

    @property
    def full(self) -> bool:
        """Tell whether no more is taken."""
        return self._count >= self._limit

    def holds(self, key: str) -> bool:
        """Tell whether something of this key waits or goes on."""
        return key in self._waiting

    async def put(self, key: str, action: Action) -> bool:
        """Add an action; False, and nothing added, when it is full."""
        if self.full:
            return False
        self._count += 1
        actions = self._waiting.get(key)
        if actions is not None:
            actions.append(action)
            return True
        self._waiting[key] = deque([action])
        await self._ready.put(key)
        return True

    async def put_once(self, key: str, action: Action) -> None:
        """Add an action unless something of its key waits or goes on."""
        if not self.holds(key):
            await self.put(key, action)

    async def restart(self) -> None:
        """Take up what waits after the pool was cancelled in the midst of it."""
        self._ready = curio.Queue()
        self._waiting = {key: left for key, left in self._waiting.items() if left}
        self._count = sum(map(len, self._waiting.values()))
        for key in self._waiting:
            await self._ready.put(key)

    async def work(self) -> None:
        """Do one action after the other, for ever; several tasks run this."""
        while True:
            key = await self._ready.get()
            action = self._waiting[key].popleft()
            self._count -= 1
            await action()
            if self._waiting[key]:
                await self._ready.put(key)
            else:
                del self._waiting[key]
