"""Throttles or evicts batch work when a service nears its promised latency.

Feedback on the distance between latency and promise follows Heracles (Lo et al.,
"Heracles: Improving Resource Efficiency at Scale"). Taking one step, waiting for its
effect, and easing while all services are calm follow PARTIES (Chen et al., "PARTIES:
QoS-Aware Resource Partitioning for Multiple Interactive Services"). The choice of the
tasks to throttle follows CPI2 (Zhang et al., "CPI2: CPU Performance Isolation for
Shared Compute Clusters"). ``docs/design/guard.md`` describes the alternatives.

Two control loops set the same caps. The predictive loop keeps the slow-down expected
from known kinds within a budget. The feedback loop throttles, and then evicts, the
suspects of a service that is near or over its promised latency, whatever was predicted.

There is one cap for each kind of task: all its runs on the worker get the same share,
and a run that starts while its kind is throttled starts throttled.
"""

from __future__ import annotations

from collections.abc import Sequence

from pistachiodeal.config.agent import GuardSettings
from pistachiodeal.control.services import ServiceState, ServiceTracker
from pistachiodeal.control.victims import choose_victim
from pistachiodeal.control.views import Evict, RunView, ServiceReading, Throttle
from pistachiodeal.learning.interference import InterferenceModel
from pistachiodeal.learning.timeline import Timeline

__all__ = ["Evict", "Guard", "RunView", "ServiceReading", "Throttle", "create_guard"]

TRIAL_SHARE = 0.2  # what runs of an unknown kind may use at first
_STEP_UP = 1.5
_NEGLIGIBLE = 0.01  # slow-down; preventing less than this has no benefit
_SUSPECT_SHARE = 0.1  # of the worst kind's harm; a kind with less is no suspect
_THROTTLE_BUDGET_SHARE = 0.9  # share of the budget that throttling aims at
_EASE_BUDGET_SHARE = 0.8  # share of the budget that easing may use
_HIGH_MARGIN = 0.97  # share of the high mark that predicted latency may reach
_USAGE_LAG_S = 2.0  # until a throttle shows in the timeline of running tasks
_MAX_KINDS = 1000


class Guard:
    """Decides for one worker; the caller carries out the actions."""

    def __init__(
        self, settings: GuardSettings, model: InterferenceModel, timeline: Timeline
    ) -> None:
        self._settings = settings
        self._timeline = timeline
        self._services = ServiceTracker(settings.window_s, model, timeline)
        self._caps: dict[str, float] = {}
        self._caps_before: dict[str, float] = {}
        self._eased_at = float("-inf")

    def decide(
        self,
        now: float,
        readings: Sequence[ServiceReading],
        runs: Sequence[RunView],
    ) -> list[Throttle | Evict]:
        """Return the actions to take; the caller records running tasks in the timeline.

        :param readings: latest reading of each service; one that was processed before
            has no effect.
        :param runs: tasks that run now, with their current throttle.
        """
        self._services.drop_stale(now)
        new = [one.service for one in readings if self._services.process(one, now)]
        self._caps_before = dict(self._caps)
        self._limit_new_kinds(runs, now)
        if new:
            self._limit_unknown_kinds(now)
        evicted: list[str] = []
        states = sorted(self._services.states(), key=lambda state: -state.severity)
        for state in states:
            victim = self._escalate(state, now, runs)
            self._throttle_ahead(state, now)
            if victim is not None and victim.task_id not in evicted:
                evicted.append(victim.task_id)
        if not evicted and self._caps_before == self._caps:
            self._ease(now)
        actions: list[Throttle | Evict] = [Evict(task) for task in evicted]
        for run in runs:
            cap = self._caps[run.kind]
            if run.task_id not in evicted and run.share != cap:
                actions.append(Throttle(run.task_id, cap))
        return actions

    def _limit_new_kinds(self, runs: Sequence[RunView], now: float) -> None:
        """Cap kinds seen for the first time at the trial share while they are unknown.

        After a restart of the agent, throttles that are in force stay.
        """
        for run in runs:
            if run.kind in self._caps:
                continue
            if len(self._caps) >= _MAX_KINDS:
                self._forget_kind({run.kind for run in runs})
            trial = (
                1.0 if self._services.is_known_for_all(run.kind, now) else TRIAL_SHARE
            )
            self._caps[run.kind] = min(trial, run.share)

    def _limit_unknown_kinds(self, now: float) -> None:
        """Cap unknown kinds at the trial share again when a new service appears.

        After each start of the agent, tasks often run before a service's first reading
        arrives. They would run at full size until the service has been slow for long.
        """
        for kind, cap in self._caps.items():
            if cap > TRIAL_SHARE and not self._services.is_known_for_all(kind, now):
                self._caps[kind] = TRIAL_SHARE

    def _forget_kind(self, running: set[str]) -> None:
        """Remove the oldest kind that is not running."""
        idle = [kind for kind in self._caps if kind not in running]
        if idle:
            del self._caps[idle[0]]

    def _escalate(
        self, state: ServiceState, now: float, runs: Sequence[RunView]
    ) -> RunView | None:
        """Throttle or evict for a service near or over its promised latency.

        :return: the run to evict, None if there is none.
        """
        if not state.fresh:
            return None
        state.fresh = False
        reading = state.reading
        # A service can be slow because of its own load. Throttling batch work then has
        # no benefit: there would be evictions in every rush hour, with latency as high
        # as before. So the reading must also show a slow-down by batch work.
        excess = state.slowdown - 1.0 - self._budget(state)
        if state.severity <= self._settings.high or excess <= _NEGLIGIBLE:
            state.ineffective_rounds = 0
            return None
        state.near_promise_at = now
        if self._is_settling(state):
            return None
        suspects = self._find_suspects(state, now)
        if reading.throttle_batch and self._throttle_suspects(state, suspects, excess):
            state.acted_at = now
            state.ineffective_rounds = 0
            return None
        state.ineffective_rounds += 1
        if (
            not reading.evict_batch
            or state.ineffective_rounds < self._settings.evict_after
        ):
            return None
        victim = choose_victim(now, runs, suspects)
        if victim is not None:
            state.acted_at = now
            state.ineffective_rounds = 0
        return victim

    def _is_settling(self, state: ServiceState) -> bool:
        """Tell whether the reading is too old to show the effect of the last step."""
        # A reading from before the last step, or from before it took effect, describes
        # an outdated state. Acting on it would repeat the step for a slow-down that is
        # already handled: throttles and evictions would come in pairs, one lag apart.
        return state.reading.at < state.acted_at + self._settings.settle_s

    def _find_suspects(self, state: ServiceState, now: float) -> dict[str, float]:
        """Return the kinds that slow a service noticeably, and by how much."""
        harm = self._services.estimate_harm(state, self._running(now), now)
        worst = max(harm.values(), default=0.0)
        least = max(_NEGLIGIBLE, _SUSPECT_SHARE * worst)
        return {kind: part for kind, part in harm.items() if part >= least}

    def _throttle_suspects(
        self, state: ServiceState, suspects: dict[str, float], needed: float
    ) -> bool:
        """Throttle suspects, worst first, until the reduction should be sufficient.

        :param needed: slow-down to be prevented.
        :return: whether any cap was lowered.
        """
        floor = self._settings.min_share
        predicted = sum(suspects.values())
        # A reading over the promise may be noise, and estimates may be too low. So all
        # of the measured slow-down is attributed to the suspects, and they are
        # throttled only as far as needed. Otherwise kinds stay at the minimum share for
        # minutes beside a calm service.
        scale = max(1.0, (state.slowdown - 1.0) / max(predicted, _NEGLIGIBLE))
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

    def _throttle_ahead(self, state: ServiceState, now: float) -> None:
        """Throttle known kinds immediately if their mix should exceed the budget.

        Readings come too late for a wave of tasks that starts within a second. The kind
        with the most harm for the share it uses is throttled first, since that costs
        batch work least.
        """
        if not state.reading.throttle_batch or self._is_settling(state):
            return
        if now < state.proactive_at + _USAGE_LAG_S:
            return
        running = self._running(now)
        harm = self._services.estimate_known_harm(state, running, now)
        budget = self._budget(state)
        needed = sum(harm.values()) - budget
        if needed <= 0:
            return
        needed += (1.0 - _THROTTLE_BUDGET_SHARE) * budget
        floor = self._settings.min_share
        for kind in sorted(harm, key=lambda kind: (-harm[kind] / running[kind], kind)):
            cap = self._caps.get(kind, 1.0)
            if needed <= 0 or harm[kind] <= 0:
                break
            share = min(cap, max(floor, cap * (1.0 - needed / harm[kind])))
            needed -= harm[kind] * (1.0 - share / cap)
            self._caps[kind] = share
            state.proactive_at = now

    def _budget(self, state: ServiceState) -> float:
        """Return the slow-down beyond 1 that batch work may cause a service.

        Any slow-down is allowed up to the low mark of the promised latency; above that
        only the tolerance, and never as much as would bring the service to the high
        mark.
        """
        promised_s, baseline_s = state.reading.promised_s, state.baseline_s
        if baseline_s <= 0 or promised_s <= 0:
            return self._settings.tolerance - 1.0
        free = self._settings.low * promised_s / baseline_s
        most = _HIGH_MARGIN * self._settings.high * promised_s / baseline_s
        return max(0.0, min(most, max(free, self._settings.tolerance)) - 1.0)

    def _ease(self, now: float) -> None:
        """Raise some of the caps while all services are calm."""
        slowed = [kind for kind, cap in self._caps.items() if cap < 1.0]
        if not slowed or not self._is_calm(now):
            return
        running = self._running(now)
        harms = []
        for state in self._services.states():
            harm = self._services.estimate_harm(state, running, now)
            harms.append(
                (_EASE_BUDGET_SHARE * self._budget(state) - sum(harm.values()), harm)
            )
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

    def _is_calm(self, now: float) -> bool:
        """Tell whether all services have been calm for long enough."""
        for state in self._services.states():
            if now - max(state.near_promise_at, state.acted_at) < self._settings.ease_s:
                return False
            if self._is_settling(state) or state.severity > self._settings.high:
                return False
        return now >= self._eased_at + self._settings.ease_s

    def _running(self, now: float) -> dict[str, float]:
        """Return the share of the worker that each kind uses.

        This is the latest recorded share, adjusted by this round's changes of caps.
        """
        running = {}
        for kind, share in self._timeline.at(now).items():
            cap = self._caps.get(kind, 1.0)
            running[kind] = share * cap / self._caps_before.get(kind, cap)
        return running


def _worst(harms: list[tuple[float, dict[str, float]]], kind: str) -> float:
    """Return a kind's largest contribution to any service's slow-down."""
    return max((harm.get(kind, 0.0) for _, harm in harms), default=0.0)


def create_guard(
    settings: GuardSettings, model: InterferenceModel, timeline: Timeline
) -> Guard:
    """Create a guard for one worker.

    :param model: learnt interference, shared with the sender of evidence.
    :param timeline: what ran here; the caller updates it before :meth:`Guard.decide`.
    """
    return Guard(settings, model, timeline)
