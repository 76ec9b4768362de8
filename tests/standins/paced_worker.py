"""Workers in simulated time: serving tasks that suffer from filling work beside them.

The agent's own ledger and paces decide. Figures follow late and are off, paces are in
force late, and what is believed of pairs of images may be wrong.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field

import curio

from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.orders import Order
from pistachiodeal.jobagent.paces import PaceController
from pistachiodeal.jobs.runtime import CallResult, Listing
from pistachiodeal.scheduling.interference import Pair, compute_intensity
from pistachiodeal.wire.job_messages import RunningTask, RunOrder
from tests.standins.job_cluster import create_quiet_log

STEP_S = 0.02
LISTED_S = 0.4
LISTED_JITTER_S = 0.05
# An agent looks at its runner as soon as a start is answered.
LOOK_S = 0.02
PACE_DELAY_S = 0.1
FOLLOW_S = 0.5
# A figure of processor time in use is this old.
USE_LAG_S = 0.3
AIM_MS = 50
# A tail grows as this part of the aim over what the load leaves; it stays within most.
IDLE_STRAIN = 0.2
LEAST_LEFT = 0.02
LOAD = 0.45
SWING = 0.6
SWING_S = 14.0
FIGURE_OFF = 0.08
# Phases of filling tasks: share of the processor time they ask for, and how much of
# their load on neighbours is left in it.
PHASES = ((2 / 3, 0.4), (1.0, 1.0))
HELD_BACK_MILLI = 250
HELD_BACK_S = 1.0
STOP_S = 0.6
# A new agent hears of the runs on its worker, and for how long after its start the
# promise is not asked of it.
DESCRIBED_S = 1.0
EXCUSED_S = 4.0


@dataclass(slots=True)
class Filling:
    """A filling task at work.

    :ivar stays: whether the leader leaves it there although it hardly works.
    :ivar percent: its pace, as the runner has it.
    :ivar due: paces that will be in force, with the time from which on.
    :ivar used_milli: its processor time in use, as the runner would list it.
    :ivar using: what it has used lately, with the times.
    :ivar slow_since: since when it hardly works, as far as its agent knows.
    """

    image: str
    cpu_milli: int
    left_s: float
    stays: bool = False
    percent: int = 100
    due: list[tuple[float, int]] = field(default_factory=list)
    phase: tuple[float, float] = PHASES[1]
    phase_until: float = 0.0
    used_milli: float = 0.0
    using: deque[tuple[float, float]] = field(default_factory=deque)
    slow_since: float = 0.0
    ends_at: float = math.inf

    @property
    def effort(self) -> float:
        """Return the share of its image's load that it puts on neighbours."""
        return self.percent / 100 * self.phase[1]


@dataclass(slots=True)
class Serving:
    """A serving task.

    :ivar load: its own load in the mean, and by how much of that it swings.
    :ivar figure: what the runner would list, without noise, as a share of the aim.
    :ivar broken_until: until when it is slow by itself.
    :ivar harmed_s: how long its neighbours have kept it over its aim by now.
    :ivar longest_s: the longest such time.
    """

    image: str
    swing_at: float
    load: float = LOAD
    swing: float = SWING
    figure: float = 0.3
    broken_until: float = 0.0
    harmed_s: float = 0.0
    longest_s: float = 0.0
    longest_at: float = 0.0


@dataclass(slots=True)
class PaceFaults:
    """What goes wrong with calls that set a pace.

    :ivar late: share that get no answer and are in force ``late_s`` later.
    :ivar lost: share that get no answer and are never in force.
    """

    late: float = 0.0
    late_s: float = 3.0
    lost: float = 0.0


class PacedWorker:
    """One worker with its agent.

    :param loads: load that one filling task of an image puts on a serving image.
    :param interference_s: serving tasks may be over their aim for this long.
    """

    def __init__(
        self,
        servings: list[Serving],
        loads: dict[Pair, float],
        rng: random.Random,
        interference_s: float,
    ) -> None:
        self.servings = {f"s{number}": one for number, one in enumerate(servings)}
        self.fillings: dict[str, Filling] = {}
        self.faults = PaceFaults()
        self.next_listing = 0.0
        self.done_s = self.over_s = self.time_s = 0.0
        self._loads = loads
        self._rng = rng
        self._interference_s = interference_s
        self._begun = 0
        self._now = 0.0
        self._excused_until = 0.0
        self._described_at = 0.0
        self._boot()
        self._describe()

    def restart_agent(self, now: float) -> None:
        """Begin a new life of the agent, which has to learn everything again."""
        self._boot()
        self._described_at = now + DESCRIBED_S
        self._excused_until = now + EXCUSED_S

    async def pace(
        self, worker: str, token: int, task: str, run: int, percent: int
    ) -> CallResult:
        """See ``Runtime``."""
        filling = self.fillings.get(task)
        if filling is None:
            return CallResult.SUPERSEDED
        dice = self._rng.random()
        if dice < self.faults.lost:
            return CallResult.UNKNOWN
        late = dice < self.faults.lost + self.faults.late
        delay_s = self.faults.late_s if late else PACE_DELAY_S
        filling.due.append((self._now + delay_s, percent))
        filling.due.sort(key=lambda entry: entry[0])
        return CallResult.UNKNOWN if late else CallResult.DONE

    def begin(
        self, image: str, work_s: float, now: float, *, stays: bool = False
    ) -> Filling:
        """Start a filling task, as its agent does."""
        self._begun += 1
        task = f"f{self._begun}"
        cpu_milli = self._rng.randrange(1_200, 2_600)
        filling = Filling(image, cpu_milli, work_s, stays, slow_since=now)
        self.fillings[task] = filling
        self.ledger.run_specs[task, 1] = build_order(task, filling)
        self.ledger.orders[task, 1] = Order(
            task, 1, settled_at=now, sent=True, started=True
        )
        self.next_listing = min(self.next_listing, now + LOOK_S)
        return filling

    def advance(self, now: float) -> None:
        """Let one step of time pass."""
        self._now = now
        self.time_s += STEP_S
        for task, filling in list(self.fillings.items()):
            self._advance_filling(filling, now)
            self._move_away(task, filling, now)
            if filling.left_s <= 0 or now >= filling.ends_at:
                del self.fillings[task]
        working = any(one.percent for one in self.fillings.values())
        for serving in self.servings.values():
            strain = self.compute_strain(serving, now)
            part = 1 - math.exp(-STEP_S / FOLLOW_S)
            serving.figure += (strain - serving.figure) * part
            harmed = working and strain > 1.0 and now >= serving.broken_until
            self.over_s += STEP_S * harmed / len(self.servings)
            harmed = harmed and now >= self._excused_until
            serving.harmed_s = serving.harmed_s + STEP_S if harmed else 0.0
            if serving.harmed_s > serving.longest_s:
                serving.longest_s, serving.longest_at = serving.harmed_s, now

    def compute_strain(self, serving: Serving, now: float) -> float:
        """Return a tail as a share of its aim."""
        if now < serving.broken_until:
            return 1 / LEAST_LEFT
        angle = 2 * math.pi * (now + serving.swing_at) / SWING_S
        load = serving.load * (1 + serving.swing * math.sin(angle))
        for one in self.fillings.values():
            load += self._loads[one.image, serving.image] * one.effort
        return IDLE_STRAIN / max(LEAST_LEFT, 1 - load)

    async def list(self, now: float) -> None:
        """List what runs to the agent, which sets the paces."""
        ledger = self.ledger
        if self._described_at and now >= self._described_at:
            self._describe()
        running = [
            RunningTask(task, 1, "", 100, self._blur(AIM_MS * one.figure))
            for task, one in self.servings.items()
        ]
        running += [
            RunningTask(task, 1, "", 50, self._blur(one.used_milli))
            for task, one in self.fillings.items()
        ]
        listing = Listing(CallResult.DONE, int(now * 1000), tuple(running))
        ledger.apply_listing(listing, now, now)
        await self._keeper.apply(now)
        await curio.sleep(0)
        for key in list(ledger.run_specs):
            if key[0] not in self.servings and key[0] not in self.fillings:
                del ledger.run_specs[key]
        self.next_listing = now + LISTED_S + self._rng.uniform(0, LISTED_JITTER_S)

    def measure_mix(self) -> dict[str, float]:
        """Return the filling work at work, as the agent reports it."""
        mix: dict[str, float] = {}
        for key in self.ledger.figures.histories:
            order = self.ledger.run_specs.get(key)
            if order is None:
                continue
            seen = self.ledger.running[key]
            effort = compute_intensity(
                seen.worked_milli / 1000, seen.figure, order.cpu_milli
            )
            mix[order.image] = mix.get(order.image, 0.0) + effort
        return mix

    def _boot(self) -> None:
        events = create_quiet_log()
        self.ledger = AgentLedger(events)
        self._keeper = PaceController(self.ledger, self, events, self._interference_s)

    def _describe(self) -> None:
        """Tell the agent what runs on its worker, as the leader does."""
        self._described_at = 0.0
        for task, serving in self.servings.items():
            order = RunOrder(task, 1, "", "", False, AIM_MS, serving.image)
            self.ledger.run_specs[task, 1] = order
        for task, filling in self.fillings.items():
            self.ledger.run_specs[task, 1] = build_order(task, filling)

    def _advance_filling(self, one: Filling, now: float) -> None:
        while one.due and one.due[0][0] <= now:
            one.percent = one.due.pop(0)[1]
        if now >= one.phase_until:
            one.phase = self._rng.choice(PHASES)
            one.phase_until = now + self._rng.uniform(1.5, 6.0)
        share = one.percent / 100
        one.using.append((now, one.cpu_milli * share * one.phase[0]))
        while one.using[0][0] < now - USE_LAG_S:
            one.using.popleft()
        gap_milli = one.using[0][1] - one.used_milli
        one.used_milli += gap_milli * (1 - math.exp(-STEP_S / FOLLOW_S))
        one.left_s -= STEP_S * share
        self.done_s += STEP_S * share

    def _move_away(self, task: str, one: Filling, now: float) -> None:
        """Have a task leave that hardly works, as the leader does."""
        seen = self.ledger.running.get((task, 1))
        if seen is None or seen.worked_milli > HELD_BACK_MILLI:
            one.slow_since = now
        elif now - one.slow_since > HELD_BACK_S and not one.stays:
            one.ends_at = min(one.ends_at, now + STOP_S)

    def _blur(self, figure: float) -> int:
        return max(1, int(figure * self._rng.uniform(1 - FIGURE_OFF, 1 + FIGURE_OFF)))


def build_order(task: str, filling: Filling) -> RunOrder:
    """Return what an agent is told of a filling task."""
    return RunOrder(task, 1, "", "", True, 0, filling.image, filling.cpu_milli)
