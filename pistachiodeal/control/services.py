"""What a guard knows of each service: its readings, set against what ran."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from pistachiodeal.control.views import ServiceReading
from pistachiodeal.learning.interference import InterferenceModel
from pistachiodeal.learning.timeline import Timeline

_SERVICE_LIMIT = 256
_STALE_S = 30.0
_ALONE_GAIN = 0.05
_AGREEMENT_GAIN = 0.05  # readings come twice a second and overlap
_LEAST_AGREEMENT = 0.2
_MOST_AGREEMENT = 2.0
_LEAST_EXCESS = 0.02  # slow-down; below it a ratio says nothing
_PERCENTILE_WEIGHT = 0.1  # a window's 99th percentile is far noisier than its mean


@dataclass(slots=True)
class ServiceState:
    """One service on this worker.

    :param alone_s: latency at the percentile that it would have alone, smoothed.
    :param slowdown: measured against what it would be alone, 1 or more.
    :param fresh: the reading has not been judged yet.
    :param acted_at: when a step was last taken for it.
    :param ahead_at: when known kinds were last slowed for it ahead of time.
    :param hot_at: when it was last too near its promise.
    :param powerless: judgements in a row with every suspect at the floor.
    :param agreement: slow-down measured as a part of what was foreseen, smoothed.
    """

    reading: ServiceReading
    alone_s: float = 0.0
    slowdown: float = 1.0
    fresh: bool = True
    acted_at: float = float("-inf")
    ahead_at: float = float("-inf")
    hot_at: float = float("-inf")
    powerless: int = 0
    agreement: float = 1.0

    @property
    def signal_s(self) -> float:
        """What shows interference: time without waiting, if it is known."""
        return self.reading.service_s or self.reading.latency_s

    @property
    def severity(self) -> float:
        """Latency as a share of the promise."""
        if self.reading.promised_s <= 0:
            return 0.0
        return self.reading.latency_s / self.reading.promised_s

    def smooth_alone(self, alone_s: float) -> None:
        """Follow the latency alone slowly: one window's percentile is noisy."""
        if self.alone_s == 0.0:
            self.alone_s = alone_s
        self.alone_s += _ALONE_GAIN * (alone_s - self.alone_s)

    def note_agreement(self, foreseen: float, measured: float) -> None:
        """Follow how much of the slow-down foreseen is really there.

        Kinds that are slowed together can't be told apart, and what was learnt
        from much of a kind says too much of a little. One would see all kinds held
        down for minutes beside a service that is hardly slowed.
        """
        gain = _AGREEMENT_GAIN * min(1.0, max(foreseen, 0.0) / _LEAST_EXCESS)
        ratio = measured / max(foreseen, _LEAST_EXCESS)
        ratio = min(max(ratio, _LEAST_AGREEMENT), _MOST_AGREEMENT)
        self.agreement += gain * (ratio - self.agreement)


class ServiceBook:
    """All services of a worker, and the model that their readings teach."""

    def __init__(
        self, window_s: float, model: InterferenceModel, timeline: Timeline
    ) -> None:
        self._window_s = window_s
        self._model = model
        self._timeline = timeline
        self._states: dict[str, ServiceState] = {}

    def states(self) -> Iterable[ServiceState]:
        """Return the services that have readings of late."""
        return self._states.values()

    def learn(self, reading: ServiceReading, now: float) -> bool:
        """Set a new reading against what ran when it was taken.

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
            self._teach(state, now)
        return new

    def _teach(self, state: ServiceState, now: float) -> None:
        reading = state.reading
        weight = 1.0 if reading.service_s else _PERCENTILE_WEIGHT
        ran = self._timeline.mean(reading.at - self._window_s, reading.at)
        foreseen = self._model.predict(reading.service, ran, now) - 1.0
        self._model.observe(reading.service, ran, state.signal_s, weight, now)
        alone = self._model.least_alone(reading.service)
        state.slowdown = max(1.0, state.signal_s / alone)
        state.smooth_alone(reading.latency_s / state.slowdown)
        state.note_agreement(foreseen, state.signal_s / alone - 1.0)

    def drop_stale(self, now: float) -> None:
        """Forget services whose readings stopped.

        Without this a service whose last runner left while it was slow would
        hold batch work down for ever, seen as throttles with no service near.
        """
        for name, state in list(self._states.items()):
            if now - state.reading.at > _STALE_S:
                del self._states[name]

    def estimate_harm(
        self, state: ServiceState, kinds: Mapping[str, float], now: float
    ) -> dict[str, float]:
        """Return what each kind adds to a service's slow-down.

        :param kinds: share of the worker that each kind uses.
        """
        service = state.reading.service
        return {
            kind: share
            * self._model.estimate(service, kind, now).excess
            * state.agreement
            for kind, share in kinds.items()
        }

    def known_harm(
        self, state: ServiceState, kinds: Mapping[str, float], now: float
    ) -> dict[str, float]:
        """Return the same for the kinds that are known well enough to act on."""
        service = state.reading.service
        harm = self.estimate_harm(state, kinds, now)
        known = self._model.estimate
        return {k: h for k, h in harm.items() if known(service, k, now).known}

    def knows(self, kind: str, now: float) -> bool:
        """Tell whether a kind's pairs with all services here are known."""
        return all(
            self._model.estimate(state.reading.service, kind, now).known
            for state in self._states.values()
            if state.reading.throttle_batch
        )
