"""Detects workers that run all their tasks slower than the other workers do.

Load pattern: some workers are two to eight times slower than the others, for seconds or
for good, while their health is good. Short urgent jobs, whose objective is 1.5 times
their duration, wait for the task that was placed there, so a slow worker has to be
found within about a second.

The evidence of all tasks on a worker is summed (a CUSUM test): that of the running
tasks by their present progress, and that of the ended ones, which decays. The sum of
ended tasks never falls below zero, so a long time at the usual speed doesn't delay the
detection. The evidence of one task is bounded, so one long task alone proves nothing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Mapping, Sequence, Set
from dataclasses import dataclass, field
from math import exp, log

from pistachiodeal.scheduling.run_progress import compute_median
from pistachiodeal.scheduling.speed_evidence import (
    MAX_SLOWNESS,
    MIN_SLOWNESS,
    weigh_progress,
    weigh_slack,
)

# One task gives at most 2.9 units of evidence, so at least three tasks have to be slow,
# serving tasks included. With more, slow workers are found later; with a sum of 9.5,
# four seconds later where few tasks run.
SLOW_EVIDENCE = 8.0
USUAL_EVIDENCE = 1.0
# The sum has to stay beyond a limit until the next listing. A report that is late by
# most of an interval makes all tasks of its worker seem slow, and the next report shows
# that they were not.
CONFIRM_S = 0.3
# More evidence of ended tasks than this adds only time until a recovery is seen. A slow
# worker begins with it, so two tasks at the usual speed show that it has recovered.
MAX_SETTLED = 9.0
# Evidence of ended tasks decays with this time constant.
SETTLED_DECAY_S = 4.0
# Progress that was not measured again within this time no longer counts.
PROGRESS_MAX_AGE_S = 2.5
SLACK_MAX_AGE_S = 1.5
# The tail latencies of serving tasks follow their load with a delay, so they count at
# most as much as one task against slowness that began less than 2 s ago. After that,
# three of them show that the worker has recovered, also if it has no other tasks.
MAX_USUAL_SLACK = 4.0
MAX_RESTORING_SLACK = 9.0
SLACK_DELAY_S = 2.0
# Where filling tasks are at work, a wrong estimate of their interference affects all
# serving tasks of the worker alike.
MAX_DISTURBED_SLACK = 4.0
# A speed holds for this long after the last observation that supports it; then the
# worker is on probation, for at most this long.
HOLD_S = 10.0
PROBATION_S = 30.0
# One slow task on probation is enough; one at the usual speed ends the probation.
PROBATION_EVIDENCE = 4.0
PROBATION_SLOW_EVIDENCE = 6.0
# If more than a third of the workers seem slow, the expectation is wrong; the lower
# limit keeps the decision from alternating. More than one task has to be slow for a
# worker to seem so.
SEEMING_EVIDENCE = 3.0
MAX_SLOW_SHARE = 1 / 3
RESUME_SLOW_SHARE = 1 / 4
# A new speed is published only if it differs by this factor, since each change makes
# the leader compute costs again and write a row.
MIN_SPEED_CHANGE = 1.3
# The speed is the median of the ratios measured in this time.
SPEED_WINDOW_S = 2.0
MAX_RATIOS = 16
USUAL_SPEED = 1.0


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """A worker that became slow, changed its speed, or is no longer slow.

    :param speed: relative to the other workers, 1.0 for a restored one.
    :param observations: number of measurements since the worker was last as usual.
    :param age_s: time since the last measurement.
    """

    worker: str
    speed: float
    observations: int
    age_s: float


@dataclass(slots=True)
class _WorkerSpeed:
    """What is known of one worker.

    :param settled: decaying evidence of tasks that are no longer running.
    :param progress: evidence and time of measurement by running task.
    :param slack: likewise by serving task.
    :param evidence: sum of all evidence, as last evaluated.
    :param since: since when the evidence is beyond a limit, 0 if it is not.
    :param probation_until: end of the probation, 0 without one.
    """

    settled: float = 0.0
    settled_at: float = 0.0
    progress: dict[Hashable, tuple[float, float]] = field(default_factory=dict)
    slack: dict[Hashable, tuple[float, float]] = field(default_factory=dict)
    disturbed: bool = False
    ratios: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_RATIOS)
    )
    observations: int = 0
    observed_at: float = 0.0
    evidence: float = 0.0
    slow: bool = False
    slow_at: float = 0.0
    speed: float = USUAL_SPEED
    since: float = 0.0
    probation_until: float = 0.0

    @property
    def limit(self) -> float:
        """Return the evidence above which the worker is slow."""
        if self.slow:
            return USUAL_EVIDENCE
        return PROBATION_SLOW_EVIDENCE if self.probation_until else SLOW_EVIDENCE

    def settle(self, evidence: float, now: float) -> None:
        """Add evidence that no longer changes."""
        self._decay(now)
        self.settled = min(max(0.0, self.settled + evidence), MAX_SETTLED)

    def sum_evidence(self, now: float) -> float:
        """Return the evidence that the worker is slow."""
        self._decay(now)
        _drop_old(self.progress, now - PROGRESS_MAX_AGE_S)
        _drop_old(self.slack, now - SLACK_MAX_AGE_S)
        slack = sum(evidence for evidence, _ in self.slack.values())
        old = self.slow and now - self.slow_at > SLACK_DELAY_S
        least = MAX_RESTORING_SLACK if old or self.probation_until else MAX_USUAL_SLACK
        most = MAX_DISTURBED_SLACK if self.disturbed else slack
        slack = max(-least, min(slack, most))
        return self.settled + slack + sum(one for one, _ in self.progress.values())

    def estimate_speed(self, now: float) -> float:
        """Return the speed by the newest measurements, if there are any."""
        recent = [one for one, at in self.ratios if now - at < SPEED_WINDOW_S]
        if not recent:
            return self.speed if self.slow else 1 / MIN_SLOWNESS
        return exp(
            min(max(compute_median(recent), -log(MAX_SLOWNESS)), -log(MIN_SLOWNESS))
        )

    def set_slow(self, now: float) -> None:
        """Count the worker as slow until tasks have shown that it is not."""
        self.slow, self.slow_at, self.settled = True, now, MAX_SETTLED
        self.probation_until = 0.0

    def _decay(self, now: float) -> None:
        if not self.slow and not self.probation_until:
            self.settled *= exp((self.settled_at - now) / SETTLED_DECAY_S)
        self.settled_at = now


class SpeedModel:
    """The relative speeds of workers.

    A worker is named by its incarnation, so a runner that restarted has the usual
    speed. All times are seconds of one clock.
    """

    def __init__(self) -> None:
        self._workers: dict[str, _WorkerSpeed] = {}
        self._ignored = False

    @property
    def ignored(self) -> bool:
        """Tell whether too many workers seem slow, so that none counts as slow."""
        return self._ignored

    def observe_progress(
        self,
        worker: str,
        key: Hashable,
        expected_s: float,
        share: float,
        took_s: float,
        *,
        spread: float,
        now: float,
    ) -> None:
        """Record the present progress of a running task.

        :param key: the task, or its step if all its tasks here share one reference,
            whose error they then share.
        :param expected_s: time that the whole task takes on another worker.
        :param share: share of the task that was done in ``took_s``.
        :param spread: standard deviation of the logarithm of the ratio.
        """
        ratio = log(max(share, 1e-4) * expected_s / max(took_s, 1e-3))
        evidence = weigh_progress(ratio, spread)
        state = self._observe(worker, evidence, now)
        state.progress[key] = evidence, now
        state.ratios.append((ratio, now))

    def settle(self, worker: str, key: Hashable, now: float) -> None:
        """Record that a task runs no more; its last progress counts for some time."""
        state = self._workers.get(worker)
        known = state.progress.pop(key, None) if state is not None else None
        if state is not None and known is not None:
            state.settle(known[0], now)

    def discard(self, worker: str, key: Hashable) -> None:
        """Drop the progress under a key that is no longer used."""
        state = self._workers.get(worker)
        if state is not None:
            state.progress.pop(key, None)

    def forget_listed(self, worker: str) -> None:
        """Drop what the running tasks showed, since their listing was late."""
        state = self._workers.get(worker)
        if state is not None:
            state.progress.clear()
            state.slack.clear()

    def observe_slack(
        self,
        worker: str,
        key: Hashable,
        slack: float,
        siblings: Sequence[float],
        *,
        spread: float,
        disturbed: bool,
        now: float,
    ) -> None:
        """Record the slack of a serving task against its siblings on other workers.

        :param slack: as it would be without filling tasks beside it.
        :param siblings: likewise, at least one.
        :param disturbed: whether filling tasks are at work on the worker.
        """
        ratio = log(max(slack, 1e-3) / max(compute_median(siblings), 1e-3))
        evidence = weigh_slack(ratio, spread)
        state = self._observe(worker, evidence, now)
        state.disturbed = disturbed
        state.slack[key] = evidence, now

    def evaluate(self, worker: str, now: float) -> SpeedChange | None:
        """Return how a worker's speed has changed by its newest measurements."""
        state = self._workers.get(worker)
        if state is None:
            return None
        evidence = state.evidence = state.sum_evidence(now)
        if state.probation_until and evidence < USUAL_EVIDENCE:
            state.probation_until = state.settled = 0.0
        if state.slow == (evidence > state.limit):
            state.since = 0.0
            return self._update_speed(worker, state, now) if state.slow else None
        state.since = state.since or now
        if now - state.since < CONFIRM_S:
            return None
        state.since = 0.0
        if state.slow:
            return self._restore(worker, state, now)
        state.speed = state.estimate_speed(now)
        state.set_slow(now)
        return _describe(worker, state, now)

    def expire(self, now: float) -> list[SpeedChange]:
        """Put workers whose speed is too old on probation; return them."""
        changes = []
        for worker, state in self._workers.items():
            if state.slow and now - state.observed_at > HOLD_S:
                changes.append(self._restore(worker, state, now))
                state.settled = PROBATION_EVIDENCE
                state.probation_until = now + PROBATION_S
            elif state.probation_until and now > state.probation_until:
                state.probation_until = state.settled = 0.0
        return changes

    def limit(self, present: Set[str], now: float) -> None:
        """Forget absent workers, and ignore the speeds if too many workers seem slow.

        A worker that an earlier leader knew may appear some seconds later.
        """
        for worker in self._workers.keys() - present:
            if now - self._workers[worker].observed_at > HOLD_S:
                del self._workers[worker]
        slow = sum(
            state.slow or state.evidence > SEEMING_EVIDENCE
            for name, state in self._workers.items()
            if name in present
        )
        share = RESUME_SLOW_SHARE if self._ignored else MAX_SLOW_SHARE
        self._ignored = slow > max(1, share * len(present))

    def get_speed(self, worker: str, now: float) -> float:
        """Return a worker's relative speed: 1.0 unless it is slow with certainty."""
        state = self._workers.get(worker)
        if state is None or self._ignored or not state.slow:
            return USUAL_SPEED
        return state.speed if now - state.observed_at <= HOLD_S else USUAL_SPEED

    def is_on_probation(self, worker: str) -> bool:
        """Tell whether a worker's former slowness is neither confirmed nor refuted."""
        state = self._workers.get(worker)
        return state is not None and state.probation_until > 0 and not self._ignored

    def list_slow(self) -> dict[str, float]:
        """Return the speeds of the workers that are slow."""
        if self._ignored:
            return {}
        return {name: one.speed for name, one in self._workers.items() if one.slow}

    def adopt(self, speeds: Mapping[str, float], now: float) -> None:
        """Import an earlier leader's speeds of workers that are unobserved here."""
        for worker, speed in speeds.items():
            if worker in self._workers:
                continue
            state = self._observe(worker, 0.0, now)
            state.set_slow(now)
            state.speed = min(max(speed, 1 / MAX_SLOWNESS), 1 / MIN_SLOWNESS)

    def _observe(self, worker: str, evidence: float, now: float) -> _WorkerSpeed:
        state = self._workers.get(worker)
        if state is None:
            state = self._workers[worker] = _WorkerSpeed(settled_at=now)
        state.observations += 1
        if evidence > 0 or not state.slow:
            state.observed_at = now
        return state

    def _update_speed(
        self, worker: str, state: _WorkerSpeed, now: float
    ) -> SpeedChange | None:
        speed = state.estimate_speed(now)
        if 1 / MIN_SPEED_CHANGE < speed / state.speed < MIN_SPEED_CHANGE:
            return None
        state.speed = speed
        return _describe(worker, state, now)

    def _restore(self, worker: str, state: _WorkerSpeed, now: float) -> SpeedChange:
        state.slow, state.speed, state.settled = False, USUAL_SPEED, 0.0
        change = _describe(worker, state, now)
        state.observations = 0
        return change


def _describe(worker: str, state: _WorkerSpeed, now: float) -> SpeedChange:
    age_s = now - state.observed_at
    return SpeedChange(worker, state.speed, state.observations, age_s)


def _drop_old(known: dict[Hashable, tuple[float, float]], since: float) -> None:
    for key in [key for key, (_, at) in known.items() if at < since]:
        del known[key]
