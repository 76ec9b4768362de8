"""Which filling work disturbs which tasks that serve, learnt from their tails.

The load that this answers: filling tasks share workers with tasks that serve. Whether
they matter depends on the pair of images: one multiplies the tail latency of one
neighbour and leaves another alone, and nothing declared says which. Each report gives
the strain of each serving task beside a known mix; the error of the prediction is
shared out over the mix (normalised least mean squares).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Strain is a tail latency as a share of its aim. Alone, serving tasks are at 0.4 to 0.5
# on the average and swing by half of that.
FIRST_BASE = 0.5
# What one task of an untried pair is taken to add: one may be tried beside a serving
# task, two may not.
FIRST_PRESS = 0.25
# A queue near its limit shows strains of ten; what lies above this says no more about
# the pair than that it is far too much.
MOST_STRAIN = 2.5
# Three figures in a row tell a pair that disturbs from one that doesn't.
LEARN = 0.4
# The swing of the serving tasks' own load is noise of this size. Cut off at zero, it
# would add up over ten harmless neighbours to one that disturbs.
NOISE = 0.12
BASE_LEARN = 0.1
# Serving tasks are kept below this when work is placed beside them; the rest is for the
# swing of their own load.
STRAIN_LIMIT = 0.8
TOLD_CHANGE = 0.2
# An image that left two neighbours alone is tried more freely beside a third.
GUESS_PAIRS = 2

Pair = tuple[str, str]
"""Image of the filling task, image of the serving task."""


@dataclass(frozen=True, slots=True)
class ServingSample:
    """A serving task's image and strain, measured beside a mix that has settled."""

    image: str
    strain: float


class InterferenceModel:
    """What one filling task adds to the strain of a serving neighbour, by pair."""

    def __init__(self) -> None:
        self._press: dict[Pair, float] = {}
        self._base: dict[str, float] = {}
        self._told: dict[Pair, float] = {}
        self._known: dict[str, set[str]] = {}

    def observe(
        self, serving: Iterable[ServingSample], mix: Mapping[str, float]
    ) -> None:
        """Learn from one report.

        :param mix: filling tasks by image, each counted by its pace (1.0 is full).
        """
        for sample in serving:
            strain = min(sample.strain, MOST_STRAIN)
            if not mix:
                base = self.get_base(sample.image)
                self._base[sample.image] = base + BASE_LEARN * (strain - base)
            else:
                self._learn_mix(sample.image, strain, mix)

    def get_press(self, filling: str, serving: str) -> float:
        """Return what one filling task adds to a serving task's strain."""
        press = self._press.get((filling, serving))
        if press is None:
            press = self._guess(filling)
        return press if press > NOISE else 0.0

    def get_base(self, image: str) -> float:
        """Return the strain of a serving task alone."""
        return self._base.get(image, FIRST_BASE)

    def predict(self, serving: Iterable[str], filling: Mapping[str, float]) -> float:
        """Return the strain of the worst of the serving tasks beside a mix."""
        return max(
            (self._predict_one(image, filling) for image in serving), default=0.0
        )

    def take_changes(self) -> dict[Pair, float]:
        """Return the pairs whose press has changed enough for a line in the log."""
        changed = {
            pair: round(press, 2)
            for pair, press in self._press.items()
            if abs(press - self._told.get(pair, FIRST_PRESS)) > TOLD_CHANGE
        }
        self._told.update(changed)
        return changed

    def _guess(self, filling: str) -> float:
        """Return what an untried pair is taken to add, by the image's other pairs."""
        known = self._known.get(filling, ())
        if len(known) < GUESS_PAIRS:
            return FIRST_PRESS
        total = sum(self._press[filling, serving] for serving in known)
        return min(total / len(known), FIRST_PRESS)

    def _predict_one(self, serving: str, filling: Mapping[str, float]) -> float:
        return self.get_base(serving) + sum(
            self.get_press(image, serving) * weight for image, weight in filling.items()
        )

    def _learn_mix(self, image: str, strain: float, mix: Mapping[str, float]) -> None:
        error = strain - self._predict_one(image, mix)
        norm = sum(weight * weight for weight in mix.values())
        if norm <= 0:
            return
        for filling, weight in mix.items():
            pair = (filling, image)
            press = self._press.get(pair, self._guess(filling))
            press += LEARN * error * weight / norm
            self._press[pair] = max(-NOISE, press)
            self._known.setdefault(filling, set()).add(image)
