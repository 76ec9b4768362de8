"""Slows or evicts batch work on one worker when a service nears its promise.

Feedback on the latency's distance from the promise follows Heracles (Lo et al.,
"Heracles: Improving Resource Efficiency at Scale"); one step, then a wait until
it shows, and steps back when it is quiet follow PARTIES (Chen et al., "PARTIES:
QoS-Aware Resource Partitioning for Multiple Interactive Services"); whom to slow
follows CPI2 (Zhang et al., "CPI2: CPU Performance Isolation for Shared Compute
Clusters"). ``docs/design/guard.md`` says what was weighed.

Two loops share one lever. Ahead of time, the slow-down that known kinds must
cause is kept within a budget. By measurement, a service near or over its promise
has its suspects slowed, and then evicted, whatever was foreseen.

The lever is a cap for each kind of task: its runs here all get the same share,
and one that starts while its kind is slowed starts slowed.
"""

from __future__ import annotations

from collections.abc import Sequence

from pistachiodeal.config.agent import GuardSettings
from pistachiodeal.control.services import ServiceBook, ServiceState
from pistachiodeal.control.victims import choose_victim
from pistachiodeal.control.views import Evict, RunView, ServiceReading, Throttle
from pistachiodeal.learning.interference import InterferenceModel
from pistachiodeal.learning.timeline import Timeline

__all__ = ["Evict", "Guard", "RunView", "ServiceReading", "Throttle", "create_guard"]

TRIAL_SHARE = 0.2  # what runs of an unknown kind may use at first
_STEP_UP = 1.5
_NEGLIGIBLE = 0.01  # slow-down; stopping less than this helps nobody
_SUSPECT_PART = 0.1  # of the worst kind's harm; less is no cause of what is seen
_AIM = 0.9  # part of the budget that a step goes down to
_ROOM = 0.8  # part of the budget that easing may fill
_NEAR_HIGH = 0.97  # of the high mark, which foreseen latency stays under
_USAGE_LAG_S = 2.0  # until a throttle shows in what is noted to run
_KIND_LIMIT = 1000


class Guard:
    """Decides for one worker; its owner carries the actions out."""

    def __init__(
        self, settings: GuardSettings, model: InterferenceModel, timeline: Timeline
    ) -> None:
        self._settings = settings
        self._timeline = timeline
        self._book = ServiceBook(settings.window_s, model, timeline)
        self._caps: dict[str, float] = {}
        self._before: dict[str, float] = {}
        self._eased_at = float("-inf")

    def decide(
        self,
        now: float,
        readings: Sequence[ServiceReading],
        runs: Sequence[RunView],
    ) -> list[Throttle | Evict]:
        """Return what to do now; the caller notes what runs in the timeline.

        :param readings: latest reading of each service; one that was seen before
            changes nothing.
        :param runs: tasks that run now, with the throttle that is in force.
        """
        self._book.drop_stale(now)
        new = [one.service for one in readings if self._book.learn(one, now)]
        self._before = dict(self._caps)
        self._admit_kinds(runs, now)
        if new:
            self._admit_services(now)
        evicted: list[str] = []
        states = sorted(self._book.states(), key=lambda state: -state.severity)
        for state in states:
            victim = self._press(state, now, runs)
            self._press_ahead(state, now)
            if victim is not None and victim.task_id not in evicted:
                evicted.append(victim.task_id)
        if not evicted and self._before == self._caps:
            self._ease(now)
        actions: list[Throttle | Evict] = [Evict(task) for task in evicted]
        for run in runs:
            cap = self._caps[run.kind]
            if run.task_id not in evicted and run.share != cap:
                actions.append(Throttle(run.task_id, cap))
        return actions

    def _admit_kinds(self, runs: Sequence[RunView], now: float) -> None:
        """Give kinds seen for the first time little while they are unknown.

        After a restart of the agent the throttles that are in force stay.
        """
        for run in runs:
            if run.kind in self._caps:
                continue
            if len(self._caps) >= _KIND_LIMIT:
                self._forget_kind({run.kind for run in runs})
            trial = 1.0 if self._book.knows(run.kind, now) else TRIAL_SHARE
            self._caps[run.kind] = min(trial, run.share)

    def _admit_services(self, now: float) -> None:
        """Give kinds little again while a service that came may suffer by them.

        Tasks are often there before a service's first reading is, after each start
        of the agent. They would run at full size until it has been slow for long.
        """
        for kind, cap in self._caps.items():
            if cap > TRIAL_SHARE and not self._book.knows(kind, now):
                self._caps[kind] = TRIAL_SHARE

    def _forget_kind(self, running: set[str]) -> None:
        """Drop the oldest kind that does not run."""
        idle = [kind for kind in self._caps if kind not in running]
        if idle:
            del self._caps[idle[0]]

    def _press(
        self, state: ServiceState, now: float, runs: Sequence[RunView]
    ) -> RunView | None:
        """Take the next step for a service near or over its promise.

        :return: the run to evict, if it has come to that.
        """
        if not state.fresh:
            return None
        state.fresh = False
        reading = state.reading
        # A service can be slow by its own load. Pressing batch work then helps
        # nobody; one would see evictions in every rush hour, with latency as
        # high as before. So batch work must show in the reading, too.
        excess = state.slowdown - 1.0 - self._budget(state)
        if state.severity <= self._settings.high or excess <= _NEGLIGIBLE:
            state.powerless = 0
            return None
        state.hot_at = now
        if self._is_settling(state):
            return None
        suspects = self._find_suspects(state, now)
        if reading.throttle_batch and self._throttle_suspects(state, suspects, excess):
            state.acted_at = now
            state.powerless = 0
            return None
        state.powerless += 1
        if not reading.evict_batch or state.powerless < self._settings.evict_after:
            return None
        victim = choose_victim(now, runs, suspects)
        if victim is not None:
            state.acted_at = now
            state.powerless = 0
        return victim

    def _is_settling(self, state: ServiceState) -> bool:
        """Tell whether the reading is too old to judge the last step by."""
        # A reading from before the last step, or from while it took hold, tells
        # of a state that is gone. Acting on it would repeat the step for a
        # slow-down that has been dealt with, seen as throttles and evictions in
        # pairs, one lag apart.
        return state.reading.at < state.acted_at + self._settings.settle_s

    def _find_suspects(self, state: ServiceState, now: float) -> dict[str, float]:
        """Return the kinds that slow a service down noticeably, and by how much."""
        harm = self._book.estimate_harm(state, self._running(now), now)
        worst = max(harm.values(), default=0.0)
        least = max(_NEGLIGIBLE, _SUSPECT_PART * worst)
        return {kind: part for kind, part in harm.items() if part >= least}

    def _throttle_suspects(
        self, state: ServiceState, suspects: dict[str, float], needed: float
    ) -> bool:
        """Slow suspects, worst first, until enough should be saved.

        :param needed: slow-down to be saved.
        """
        floor = self._settings.min_share
        foreseen = sum(suspects.values())
        # A reading over the promise may be noise, and an estimate too low. The
        # suspects answer for all that was measured, and give up just what is
        # needed: seen as kinds at the floor for minutes beside a calm service.
        scale = max(1.0, (state.slowdown - 1.0) / max(foreseen, _NEGLIGIBLE))
        acted = False
        for kind in sorted(suspects, key=lambda kind: (-suspects[kind], kind)):
            cap = self._caps.get(kind, 1.0)
            part = suspects[kind] * scale
            share = max(floor, cap * (1.0 - needed / part))
            if needed <= 0 or share >= cap:
                continue
            needed -= part * (1.0 - share / cap)
            self._caps[kind] = share
            acted = True
        return acted

    def _press_ahead(self, state: ServiceState, now: float) -> None:
        """Slow known kinds at once when their mix must exceed the budget.

        Readings come too late for a wave of tasks that starts within a second.
        The kind that harms most for what it uses goes down first, since that
        costs batch work least.
        """
        if not state.reading.throttle_batch or self._is_settling(state):
            return
        if now < state.ahead_at + _USAGE_LAG_S:
            return
        running = self._running(now)
        harm = self._book.known_harm(state, running, now)
        budget = self._budget(state)
        needed = sum(harm.values()) - budget
        if needed <= 0:
            return
        needed += (1.0 - _AIM) * budget
        floor = self._settings.min_share
        for kind in sorted(harm, key=lambda kind: (-harm[kind] / running[kind], kind)):
            cap = self._caps.get(kind, 1.0)
            if needed <= 0 or harm[kind] <= 0:
                break
            share = min(cap, max(floor, cap * (1.0 - needed / harm[kind])))
            needed -= harm[kind] * (1.0 - share / cap)
            self._caps[kind] = share
            state.ahead_at = now

    def _budget(self, state: ServiceState) -> float:
        """Return the slow-down beyond 1 that batch work may cause a service.

        Up to the low mark of the promise it is free to; above that only the
        tolerance, and nothing that would bring the service to the high mark.
        """
        promised_s, alone_s = state.reading.promised_s, state.alone_s
        if alone_s <= 0 or promised_s <= 0:
            return self._settings.tolerance - 1.0
        free = self._settings.low * promised_s / alone_s
        most = _NEAR_HIGH * self._settings.high * promised_s / alone_s
        return max(0.0, min(most, max(free, self._settings.tolerance)) - 1.0)

    def _ease(self, now: float) -> None:
        """Give back some of what was taken when all services are calm."""
        slowed = [kind for kind, cap in self._caps.items() if cap < 1.0]
        if not slowed or not self._calm(now):
            return
        running = self._running(now)
        harms = []
        for state in self._book.states():
            harm = self._book.estimate_harm(state, running, now)
            harms.append((_ROOM * self._budget(state) - sum(harm.values()), harm))
        for kind in sorted(slowed, key=lambda kind: (_worst(harms, kind), kind)):
            cap = min(1.0, self._caps[kind] * _STEP_UP)
            grown = cap / self._caps[kind] - 1.0
            added = [(room, harm.get(kind, 0.0) * grown) for room, harm in harms]
            if any(more > max(room, 0.0) for room, more in added):
                continue
            harms = [
                (room - more, harm)
                for (room, harm), (_, more) in zip(harms, added, strict=True)
            ]
            self._caps[kind] = cap
            self._eased_at = now

    def _calm(self, now: float) -> bool:
        """Tell whether it has been quiet for long enough, by readings since."""
        for state in self._book.states():
            if now - max(state.hot_at, state.acted_at) < self._settings.ease_s:
                return False
            if self._is_settling(state) or state.severity > self._settings.high:
                return False
        return now >= self._eased_at + self._settings.ease_s

    def _running(self, now: float) -> dict[str, float]:
        """Return the share of the worker that each kind uses.

        As last noted, with the steps that this round has taken so far.
        """
        running = {}
        for kind, share in self._timeline.at(now).items():
            cap = self._caps.get(kind, 1.0)
            running[kind] = share * cap / self._before.get(kind, cap)
        return running


def _worst(harms: list[tuple[float, dict[str, float]]], kind: str) -> float:
    """Return a kind's largest part in any service's slow-down."""
    return max((harm.get(kind, 0.0) for _, harm in harms), default=0.0)


def create_guard(
    settings: GuardSettings, model: InterferenceModel, timeline: Timeline
) -> Guard:
    """Create a guard for one worker.

    :param model: learnt interference, shared with whoever sends evidence on.
    :param timeline: what ran here; the caller notes it before :meth:`Guard.decide`.
    """
    return Guard(settings, model, timeline)
