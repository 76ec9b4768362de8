"""Load balancing: chooses the target of a request.

Sources: M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing";
B. Wydrowski et al., "Load is not what you should balance: Introducing Prequal"
(requests in flight first, latency only among targets with free slots).
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

from pistachiodeal.routing.candidate import Candidate

SPILL_UTILISATION = 0.8
REMOTE_PENALTY = 0.2
FULL_UTILISATION = 1.0
LATENCY_RATIO = 1.5
LATENCY_OUTDATED_S = 1.0


class Chooser(Protocol):
    """Strategy that chooses one of several targets."""

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate | None:
        """Return the target to use, None if no target has slots.

        :param now: monotonic time, seconds.
        """


class LeastLoadedChooser:
    """Chooses the better of two random targets, preferring the own data centre.

    :param data_centre: where this entry runs.
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._random = rng.random

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate | None:
        """Return the target to use, None if no target has slots."""
        near: list[Candidate] = []
        far: list[Candidate] = []
        doubtful: list[Candidate] = []
        for candidate in candidates:
            if candidate.slots <= 0:
                continue
            if candidate.is_doubtful(now):
                doubtful.append(candidate)
            elif candidate.data_centre == self._data_centre:
                near.append(candidate)
            else:
                far.append(candidate)
        chosen = self._choose_near_first(near, far, now)
        if chosen is None:
            chosen = self._pick_of_two(doubtful, now)
        if chosen is not None:
            chosen.chosen_at = now
        return chosen

    def _choose_near_first(
        self, near: list[Candidate], far: list[Candidate], now: float
    ) -> Candidate | None:
        best = self._pick_of_two(near, now)
        if best is None:
            return self._pick_of_two(far, now)
        if not far:
            return best
        used = best.compute_utilisation(now)
        if used < SPILL_UTILISATION:
            return best
        # Two random near targets can be busy while others are idle, so all targets of
        # the data centre are compared before a request leaves it.
        best = min(near, key=lambda candidate: candidate.compute_utilisation(now))
        used = best.compute_utilisation(now)
        other = self._pick_of_two(far, now)
        if used < SPILL_UTILISATION or other is None:
            return best
        if other.compute_utilisation(now) + REMOTE_PENALTY < used:
            return other
        return best

    def _pick_of_two(self, candidates: list[Candidate], now: float) -> Candidate | None:
        count = len(candidates)
        if count == 0:
            return None
        if count == 1:
            return candidates[0]
        first = int(self._random() * count)
        second = int(self._random() * (count - 1))
        if second >= first:
            second += 1
        return _compare(candidates[first], candidates[second], now)


def _compare(one: Candidate, two: Candidate, now: float) -> Candidate:
    """Return the better target: by latency if both have free slots, else by load."""
    used_one = one.compute_utilisation(now)
    used_two = two.compute_utilisation(now)
    if used_one <= FULL_UTILISATION and used_two <= FULL_UTILISATION:
        latency_one = _read_latency(one, now)
        latency_two = _read_latency(two, now)
        if latency_one and latency_two:
            if latency_one > LATENCY_RATIO * latency_two:
                return two
            if latency_two > LATENCY_RATIO * latency_one:
                return one
    return one if used_one <= used_two else two


def _read_latency(candidate: Candidate, now: float) -> float:
    """Return the reported latency, 0 if it is outdated because of missing traffic.

    Otherwise a target that was slow once would never be chosen again, so its reported
    latency would never be updated after it has recovered.
    """
    if now - candidate.chosen_at > LATENCY_OUTDATED_S:
        return 0.0
    return candidate.latency_s


class RandomChooser:
    """Chooses any target with slots; a baseline for measurements."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate | None:
        """Return the target to use, None if no target has slots."""
        usable = [candidate for candidate in candidates if candidate.slots > 0]
        return self._rng.choice(usable) if usable else None


class LeastConnectionsChooser:
    """Chooses the target with the fewest open requests of this entry; a baseline."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate], now: float) -> Candidate | None:
        """Return the target to use, None if no target has slots."""
        usable = [candidate for candidate in candidates if candidate.slots > 0]
        if not usable:
            return None
        fewest = min(candidate.outstanding for candidate in usable)
        return self._rng.choice([one for one in usable if one.outstanding == fewest])


def create_least_loaded(data_centre: str, rng: random.Random | None = None) -> Chooser:
    """Return the chooser that entries use."""
    return LeastLoadedChooser(data_centre, rng or random.Random())


def create_random(rng: random.Random | None = None) -> Chooser:
    """Return the random baseline."""
    return RandomChooser(rng or random.Random())


def create_least_connections(rng: random.Random | None = None) -> Chooser:
    """Return the least-connections baseline."""
    return LeastConnectionsChooser(rng or random.Random())
