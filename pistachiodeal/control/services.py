"""Tracks each service on a worker: its readings, compared with the tasks that ran."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from pistachiodeal.control.views import ServiceReading
from pistachiodeal.learning.interference import InterferenceModel
from pistachiodeal.learning.timeline import Timeline

_SERVICE_LIMIT = 256
_STALE_S = 30.0
_BASELINE_GAIN = 0.05
_RATIO_GAIN = 0.05  # readings come twice a second and overlap
_MIN_RATIO = 0.2
_MAX_RATIO = 2.0
_MIN_EXCESS = 0.02  # slow-down beyond 1; below it a ratio is meaningless
_PERCENTILE_WEIGHT = 0.1  # a window's 99th percentile is far noisier than its mean


@dataclass(slots=True)
class ServiceState:
    """One service on this worker.

    :param baseline_s: latency at the percentile without batch work, smoothed.
    :param slowdown: measured relative to the time without batch work, 1 or more.
    :param fresh: whether the reading has not been evaluated yet.
    :param acted_at: when batch work was last throttled or evicted for it.
    :param proactive_at: when known kinds were last throttled for it in advance.
    :param near_promise_at: when it was last too close to its promised latency.
    :param ineffective_rounds: evaluations in a row with all suspects at the minimum
        share.
    :param agreement: ratio of the measured to the predicted slow-down, smoothed.
    """

    reading: ServiceReading
    baseline_s: float = 0.0
    slowdown: float = 1.0
    fresh: bool = True
    acted_at: float = float("-inf")
    proactive_at: float = float("-inf")
    near_promise_at: float = float("-inf")
    ineffective_rounds: int = 0
    agreement: float = 1.0

    @property
    def signal_s(self) -> float:
        """The time that shows interference: without queueing, if that is known."""
        return self.reading.service_s or self.reading.latency_s

    @property
    def severity(self) -> float:
        """Latency as a share of the promised latency."""
        if self.reading.promised_s <= 0:
            return 0.0
        return self.reading.latency_s / self.reading.promised_s

    def smooth_baseline(self, baseline_s: float) -> None:
        """Smooth the latency without batch work: one window's percentile is noisy."""
        if self.baseline_s == 0.0:
            self.baseline_s = baseline_s
        self.baseline_s += _BASELINE_GAIN * (baseline_s - self.baseline_s)

    def record_agreement(self, predicted: float, measured: float) -> None:
        """Update the smoothed ratio of the measured to the predicted slow-down.

        Kinds that are throttled together cannot be distinguished, and an estimate from
        a large share of a kind is too high for a small share. Without this correction,
        all kinds would be throttled for minutes beside a service that is hardly slowed.
        """
        gain = _RATIO_GAIN * min(1.0, max(predicted, 0.0) / _MIN_EXCESS)
        ratio = measured / max(predicted, _MIN_EXCESS)
        ratio = min(max(ratio, _MIN_RATIO), _MAX_RATIO)
        self.agreement += gain * (ratio - self.agreement)


class ServiceTracker:
    """All services of a worker, and the interference model that they train."""

    def __init__(
        self, window_s: float, model: InterferenceModel, timeline: Timeline
    ) -> None:
        self._window_s = window_s
        self._model = model
        self._timeline = timeline
        self._states: dict[str, ServiceState] = {}

    def states(self) -> Iterable[ServiceState]:
        """Return the services with recent readings."""
        return self._states.values()

    def process(self, reading: ServiceReading, now: float) -> bool:
        """Process a new reading with the tasks that ran when it was taken.

        :return: whether the service is new here.
        """
        state = self._states.get(reading.service)
        new = state is None
        if state is None:
            if len(self._states) >= _SERVICE_LIMIT:
                self._states.pop(next(iter(self._states)))
            state = self._states[reading.service] = ServiceState(reading)
        elif reading.at <= state.reading.at:
            return False
        state.reading = reading
        state.fresh = True
        if state.signal_s > 0 and self._timeline.covers(reading.at):
            self._update_model(state, now)
        return new

    def _update_model(self, state: ServiceState, now: float) -> None:
        reading = state.reading
        weight = 1.0 if reading.service_s else _PERCENTILE_WEIGHT
        ran = self._timeline.mean(reading.at - self._window_s, reading.at)
        predicted = self._model.predict(reading.service, ran, now) - 1.0
        self._model.observe(reading.service, ran, state.signal_s, weight, now)
        baseline = self._model.min_baseline(reading.service)
        state.slowdown = max(1.0, state.signal_s / baseline)
        state.smooth_baseline(reading.latency_s / state.slowdown)
        state.record_agreement(predicted, state.signal_s / baseline - 1.0)

    def drop_stale(self, now: float) -> None:
        """Remove services whose readings stopped.

        Otherwise a service whose last runner left while it was slow would keep batch
        work throttled for ever, with no service on the worker.
        """
        for name, state in list(self._states.items()):
            if now - state.reading.at > _STALE_S:
                del self._states[name]

    def estimate_harm(
        self, state: ServiceState, kinds: Mapping[str, float], now: float
    ) -> dict[str, float]:
        """Return each kind's contribution to a service's slow-down.

        :param kinds: share of the worker that each kind uses.
        """
        service = state.reading.service
        return {
            kind: share
            * self._model.estimate(service, kind, now).excess
            * state.agreement
            for kind, share in kinds.items()
        }

    def estimate_known_harm(
        self, state: ServiceState, kinds: Mapping[str, float], now: float
    ) -> dict[str, float]:
        """Return the contributions of the kinds with a reliable estimate."""
        service = state.reading.service
        harm = self.estimate_harm(state, kinds, now)
        known = self._model.estimate
        return {k: h for k, h in harm.items() if known(service, k, now).known}

    def is_known_for_all(self, kind: str, now: float) -> bool:
        """Tell whether a kind has a reliable estimate for all services here."""
        return all(
            self._model.estimate(state.reading.service, kind, now).known
            for state in self._states.values()
            if state.reading.throttle_batch
        )
