"""Simulates a worker whose filling tasks slow down the serving tasks beside them.

The agent's own ledger and pace controller decide. Measured figures lag and have errors,
paces take effect late, and the estimates of pairs of images may be wrong.
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
LISTING_INTERVAL_S = 0.4
LISTING_JITTER_S = 0.05
# An agent lists the runs of its runner as soon as a start is answered.
FIRST_LISTING_S = 0.02
PACE_DELAY_S = 0.1
SMOOTHING_S = 0.5
# Age of the figures for used processor time.
USE_LAG_S = 0.3
AIM_MS = 50
# A tail latency is this share of its target, divided by the headroom that the load
# leaves. MIN_HEADROOM bounds it.
IDLE_LATENCY_RATIO = 0.2
MIN_HEADROOM = 0.02
MEAN_LOAD = 0.45
LOAD_AMPLITUDE = 0.6
LOAD_PERIOD_S = 14.0
FIGURE_ERROR = 0.08
# Phases of filling tasks: used share of the requested processor time, and share of
# their load on neighbours in that phase.
PHASES = ((2 / 3, 0.4), (1.0, 1.0))
STALLED_MILLI = 250
STALLED_S = 1.0
STOP_S = 0.6
# After its start, an agent receives the specs of its worker's runs with this delay, and
# isn't held to the limit for a grace period.
RUN_SPECS_DELAY_S = 1.0
RESTART_GRACE_S = 4.0


@dataclass(slots=True)
class FillingTask:
    """A running filling task.

    :ivar pinned: whether the leader leaves it in place even if it is stalled.
    :ivar percent: its pace in force at the runner.
    :ivar due: paces that take effect later, with their times.
    :ivar used_milli: its used processor time, as the runner lists it.
    :ivar usage_history: its recent usage, with the times.
    :ivar stalled_since: since when its agent sees it make hardly any progress.
    """

    image: str
    cpu_milli: int
    remaining_s: float
    pinned: bool = False
    percent: int = 100
    due: list[tuple[float, int]] = field(default_factory=list)
    phase: tuple[float, float] = PHASES[1]
    phase_until: float = 0.0
    used_milli: float = 0.0
    usage_history: deque[tuple[float, float]] = field(default_factory=deque)
    stalled_since: float = 0.0
    ends_at: float = math.inf

    @property
    def intensity(self) -> float:
        """Return the share of its image's load that it puts on neighbours."""
        return self.percent / 100 * self.phase[1]


@dataclass(slots=True)
class ServingTask:
    """A serving task, whose own load is a sine wave.

    :ivar load_offset_s: time offset of the sine wave.
    :ivar load: mean of its own load.
    :ivar load_amplitude: amplitude of the wave, as a share of the mean.
    :ivar figure: its tail latency as a share of its target, as listed without noise.
    :ivar slow_until: until when it is slow by itself.
    :ivar current_over_s: how long its neighbours have kept it over its target by now.
    :ivar longest_over_s: the longest such time.
    """

    image: str
    load_offset_s: float
    load: float = MEAN_LOAD
    load_amplitude: float = LOAD_AMPLITUDE
    figure: float = 0.3
    slow_until: float = 0.0
    current_over_s: float = 0.0
    longest_over_s: float = 0.0
    longest_over_at: float = 0.0


@dataclass(slots=True)
class PaceFaults:
    """Faults of the calls that set a pace.

    :ivar late: share that get no answer and take effect ``late_s`` later.
    :ivar lost: share that get no answer and never take effect.
    """

    late: float = 0.0
    late_s: float = 3.0
    lost: float = 0.0


class PacedWorker:
    """One worker with its agent.

    :param loads: load that one filling task puts on a serving task, by images.
    :param interference_s: limit in seconds for a serving task over its target.
    """

    def __init__(
        self,
        servings: list[ServingTask],
        loads: dict[Pair, float],
        rng: random.Random,
        interference_s: float,
    ) -> None:
        self.servings = {f"s{number}": one for number, one in enumerate(servings)}
        self.fillings: dict[str, FillingTask] = {}
        self.faults = PaceFaults()
        self.next_listing = 0.0
        self.done_s = self.over_s = self.time_s = 0.0
        self._loads = loads
        self._rng = rng
        self._interference_s = interference_s
        self._started_count = 0
        self._now = 0.0
        self._grace_until = 0.0
        self._run_specs_due_at = 0.0
        self._start_agent()
        self._send_run_specs()

    def restart_agent(self, now: float) -> None:
        """Restart the agent, which loses all it has learned."""
        self._start_agent()
        self._run_specs_due_at = now + RUN_SPECS_DELAY_S
        self._grace_until = now + RESTART_GRACE_S

    async def pace(
        self, worker: str, token: int, task: str, run: int, percent: int
    ) -> CallResult:
        """See ``Runtime``."""
        filling = self.fillings.get(task)
        if filling is None:
            return CallResult.SUPERSEDED
        draw = self._rng.random()
        if draw < self.faults.lost:
            return CallResult.UNKNOWN
        late = draw < self.faults.lost + self.faults.late
        delay_s = self.faults.late_s if late else PACE_DELAY_S
        filling.due.append((self._now + delay_s, percent))
        filling.due.sort(key=lambda entry: entry[0])
        return CallResult.UNKNOWN if late else CallResult.DONE

    def start_filling(
        self, image: str, work_s: float, now: float, *, pinned: bool = False
    ) -> FillingTask:
        """Start a filling task, as its agent does."""
        self._started_count += 1
        task = f"f{self._started_count}"
        cpu_milli = self._rng.randrange(1_200, 2_600)
        filling = FillingTask(image, cpu_milli, work_s, pinned, stalled_since=now)
        self.fillings[task] = filling
        self.ledger.run_specs[task, 1] = build_order(task, filling)
        self.ledger.orders[task, 1] = Order(
            task, 1, settled_at=now, sent=True, started=True
        )
        self.next_listing = min(self.next_listing, now + FIRST_LISTING_S)
        return filling

    def advance(self, now: float) -> None:
        """Simulate one step of time."""
        self._now = now
        self.time_s += STEP_S
        for task, filling in list(self.fillings.items()):
            self._advance_filling(filling, now)
            self._evict_stalled(task, filling, now)
            if filling.remaining_s <= 0 or now >= filling.ends_at:
                del self.fillings[task]
        working = any(one.percent for one in self.fillings.values())
        for serving in self.servings.values():
            latency_ratio = self.compute_latency_ratio(serving, now)
            part = 1 - math.exp(-STEP_S / SMOOTHING_S)
            serving.figure += (latency_ratio - serving.figure) * part
            harmed = working and latency_ratio > 1.0 and now >= serving.slow_until
            self.over_s += STEP_S * harmed / len(self.servings)
            harmed = harmed and now >= self._grace_until
            serving.current_over_s = serving.current_over_s + STEP_S if harmed else 0.0
            if serving.current_over_s > serving.longest_over_s:
                serving.longest_over_s, serving.longest_over_at = (
                    serving.current_over_s,
                    now,
                )

    def compute_latency_ratio(self, serving: ServingTask, now: float) -> float:
        """Return a tail latency as a share of its target."""
        if now < serving.slow_until:
            return 1 / MIN_HEADROOM
        angle = 2 * math.pi * (now + serving.load_offset_s) / LOAD_PERIOD_S
        load = serving.load * (1 + serving.load_amplitude * math.sin(angle))
        for one in self.fillings.values():
            load += self._loads[one.image, serving.image] * one.intensity
        return IDLE_LATENCY_RATIO / max(MIN_HEADROOM, 1 - load)

    async def list(self, now: float) -> None:
        """Give the agent a listing of the runs, upon which it sets the paces."""
        ledger = self.ledger
        if self._run_specs_due_at and now >= self._run_specs_due_at:
            self._send_run_specs()
        running = [
            RunningTask(task, 1, "", 100, self._add_noise(AIM_MS * one.figure))
            for task, one in self.servings.items()
        ]
        running += [
            RunningTask(task, 1, "", 50, self._add_noise(one.used_milli))
            for task, one in self.fillings.items()
        ]
        listing = Listing(CallResult.DONE, int(now * 1000), tuple(running))
        ledger.apply_listing(listing, now, now)
        await self._keeper.apply(now)
        await curio.sleep(0)
        for key in list(ledger.run_specs):
            if key[0] not in self.servings and key[0] not in self.fillings:
                del ledger.run_specs[key]
        self.next_listing = (
            now + LISTING_INTERVAL_S + self._rng.uniform(0, LISTING_JITTER_S)
        )

    def measure_mix(self) -> dict[str, float]:
        """Return the running filling work by image, as the agent reports it."""
        mix: dict[str, float] = {}
        for key in self.ledger.figures.histories:
            order = self.ledger.run_specs.get(key)
            if order is None:
                continue
            seen = self.ledger.running[key]
            intensity = compute_intensity(
                seen.worked_milli / 1000, seen.figure, order.cpu_milli
            )
            mix[order.image] = mix.get(order.image, 0.0) + intensity
        return mix

    def _start_agent(self) -> None:
        events = create_quiet_log()
        self.ledger = AgentLedger(events)
        self._keeper = PaceController(self.ledger, self, events, self._interference_s)

    def _send_run_specs(self) -> None:
        """Give the agent the specs of its worker's runs, as the leader does."""
        self._run_specs_due_at = 0.0
        for task, serving in self.servings.items():
            order = RunOrder(task, 1, "", "", False, AIM_MS, serving.image)
            self.ledger.run_specs[task, 1] = order
        for task, filling in self.fillings.items():
            self.ledger.run_specs[task, 1] = build_order(task, filling)

    def _advance_filling(self, one: FillingTask, now: float) -> None:
        while one.due and one.due[0][0] <= now:
            one.percent = one.due.pop(0)[1]
        if now >= one.phase_until:
            one.phase = self._rng.choice(PHASES)
            one.phase_until = now + self._rng.uniform(1.5, 6.0)
        share = one.percent / 100
        one.usage_history.append((now, one.cpu_milli * share * one.phase[0]))
        while one.usage_history[0][0] < now - USE_LAG_S:
            one.usage_history.popleft()
        gap_milli = one.usage_history[0][1] - one.used_milli
        one.used_milli += gap_milli * (1 - math.exp(-STEP_S / SMOOTHING_S))
        one.remaining_s -= STEP_S * share
        self.done_s += STEP_S * share

    def _evict_stalled(self, task: str, one: FillingTask, now: float) -> None:
        """Evict a task that hardly makes progress, as the leader does."""
        seen = self.ledger.running.get((task, 1))
        if seen is None or seen.worked_milli > STALLED_MILLI:
            one.stalled_since = now
        elif now - one.stalled_since > STALLED_S and not one.pinned:
            one.ends_at = min(one.ends_at, now + STOP_S)

    def _add_noise(self, figure: float) -> int:
        return max(
            1, int(figure * self._rng.uniform(1 - FIGURE_ERROR, 1 + FIGURE_ERROR))
        )


def build_order(task: str, filling: FillingTask) -> RunOrder:
    """Return the spec of a filling task that its agent receives."""
    return RunOrder(task, 1, "", "", True, 0, filling.image, filling.cpu_milli)
