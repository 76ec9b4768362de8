"""Which images of filling work disturb tasks that serve, learnt from their tails.

The load that this answers: filling tasks share workers with tasks that serve. Some
images hardly matter, others multiply a neighbour's tail latency; nothing declared
says which. Each report gives the strain of each serving task beside a known mix; the
prediction error is shared out over the mix (normalised least mean squares).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Strain is a tail latency as a share of its aim. Alone, serving tasks are at 0.4 to 0.5
# on the average and swing by half of that.
FIRST_BASE = 0.5
# What one task of an unknown image is taken to add: one may be tried beside a serving
# task, two may not.
FIRST_PRESS = 0.25
# A queue near its limit shows strains of five and more; what lies above this says no
# more about the image than that it is far too much.
MOST_STRAIN = 2.5
LEARN = 0.25
BASE_LEARN = 0.1
# Serving tasks are kept below this when work is placed beside them; the rest is for the
# swing of their own load.
STRAIN_LIMIT = 0.8


@dataclass(frozen=True, slots=True)
class ServingSample:
    """A serving task's image and strain, measured beside a mix that has settled."""

    image: str
    strain: float


class InterferenceModel:
    """What one task of each image adds to the strain of a serving neighbour."""

    def __init__(self) -> None:
        self._press: dict[str, float] = {}
        self._base: dict[str, float] = {}

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

    def get_press(self, image: str) -> float:
        """Return what one task of an image adds to a neighbour's strain."""
        return self._press.get(image, FIRST_PRESS)

    def get_base(self, image: str) -> float:
        """Return the strain of a serving task alone."""
        return self._base.get(image, FIRST_BASE)

    def _learn_mix(self, image: str, strain: float, mix: Mapping[str, float]) -> None:
        predicted = self.get_base(image) + sum(
            self.get_press(one) * weight for one, weight in mix.items()
        )
        error = strain - predicted
        norm = sum(weight * weight for weight in mix.values())
        if norm <= 0:
            return
        for one, weight in mix.items():
            press = self.get_press(one) + LEARN * error * weight / norm
            self._press[one] = max(0.0, press)
