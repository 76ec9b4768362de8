"""Learns how much filling tasks slow down serving tasks, from tail latencies.

Filling tasks use the processor time that is left over on workers with serving tasks,
which have a tail latency objective. The interference depends on the pair of images: a
filling image may multiply the tail latency of one serving image and not affect another,
and nothing that is declared says which. A serving task's own load varies as much as a
neighbour disturbs it, so a high tail latency alone proves nothing.

Two properties make the pairs distinguishable. A tail latency grows as 1 / (1 - load),
so the effects of neighbours add up in its inverse, the slack. And the load of all tasks
of one step varies together, so a task with filling neighbours is compared with its
siblings on other workers at the same time, and with itself just before a neighbour
started.

Lost slack is attributed to each neighbour in proportion to its share and to the
uncertainty of its estimate (a Kalman filter with one variance for each pair). With
equal attribution, a neighbour that has been harmless for a minute would be blamed for
a newcomer, and one that ran at a tenth of its pace for a moment would be cleared by
noise.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Slack is a serving task's latency objective over its tail latency: 1 just meets the
# objective, 2 is twice as fast. Without neighbours, serving tasks have 1.4 to 4.
MAX_SLACK = 5.0
LATENCY_RATIO_FLOOR = 1.0 / MAX_SLACK
# Assumed interference of one task of an unobserved pair: two such tasks may be placed
# beside a serving task, three may not.
DEFAULT_INTERFERENCE = 0.45
# Slack that filling tasks may take from a serving task at its average load; at load
# peaks the agents lower the pace of filling tasks.
MAX_INTERFERENCE = 1.0
# Accuracy of an estimate: measurements are 5 to 8% off, up to 0.3 of slack.
NOISE = 0.15
# Pairs either do not interfere or interfere by more than this. A smaller estimate is
# noise and counts as 0; otherwise harmless tasks would be paused at each load peak,
# when there is no slack to spare.
MIN_INTERFERENCE = 0.33
MEASUREMENT_NOISE = 0.08
# Standard deviation of the slack between siblings whose load varies together.
SIBLING_NOISE = 0.15
# Variances of a pair's interference: unobserved pairs lie between 0 and 2, and no
# estimate becomes more accurate than 0.2, since interference changes over time.
DEFAULT_VARIANCE = 0.6**2
MIN_VARIANCE = 0.2**2
# Below this, further loss of slack cannot be measured.
MIN_MEASURABLE_SLACK = 0.2
# Siblings are reported up to 0.45 s apart; slack changes by up to 0.3 in that time.
SIBLING_MAX_AGE_S = 0.6
# Above this ratio of tail latency to objective, a task has stalled by its own fault.
STALLED_LATENCY_RATIO = 20.0
# Maximum age of a task's own earlier sample, from before a neighbour started.
BASELINE_MAX_AGE_S = 1.1
# Compared samples differ by at least this many filling tasks, counted at full speed.
MIN_LOAD_DIFFERENCE = 0.3
# Changes of an estimate that are reported to the agents, and that are logged.
MIN_REPORTED_CHANGE = 0.1
MIN_LOGGED_CHANGE = 0.4
# With this many known serving images, an image's mean interference replaces the
# default for further ones, so that a harmless image is placed more freely.
MIN_PAIRS_TO_GENERALISE = 2
MAX_STEPS = 2_000

Pair = tuple[str, str]
"""Image of the filling task, image of the serving task."""

StepName = tuple[str, int, int]
"""Job, occurrence and number of a serving step."""


@dataclass(frozen=True, slots=True)
class ServingSample:
    """A serving task's tail latency, and the filling tasks beside it at that time.

    :param task: its name; tasks of one step are siblings.
    :param latency_ratio: its tail latency over its objective.
    :param mix: number of filling tasks by image, weighted by their intensity.
    """

    step: StepName
    task: str
    image: str
    latency_ratio: float
    mix: Mapping[str, float]
    at: float

    @property
    def slack(self) -> float:
        """Return the inverse of the latency ratio."""
        return compute_slack(self.latency_ratio)

    @property
    def weight(self) -> float:
        """Return the total intensity of the filling tasks beside it."""
        return sum(self.mix.values())


@dataclass(frozen=True, slots=True)
class PairEstimate:
    """The estimate for a pair of images; see :class:`InterferenceModel`.

    :param interference: slack that one filling task at full intensity takes away.
    """

    filling: str
    serving: str
    interference: float
    variance: float


@dataclass(slots=True)
class _PairState:
    """The current estimate for a pair.

    :param interference: slack that one filling task at full speed takes away.
    :param variance: variance of the estimate.
    """

    interference: float
    variance: float = DEFAULT_VARIANCE


@dataclass(slots=True)
class _StepSamples:
    """The latest samples of one serving step's tasks, and earlier ones as baselines."""

    newest: dict[str, ServingSample] = field(default_factory=dict)
    before: dict[str, ServingSample] = field(default_factory=dict)

    def add(self, sample: ServingSample) -> bool:
        """Store a sample, and keep the previous one if it had fewer filling neighbours.

        :return: False for a sample that was stored before.
        """
        last = self.newest.get(sample.task)
        if (
            last is not None
            and last.latency_ratio == sample.latency_ratio
            and last.mix == sample.mix
        ):
            return False
        if last is not None and sample.weight - last.weight >= MIN_LOAD_DIFFERENCE:
            self.before[sample.task] = last
        self.newest[sample.task] = sample
        return True

    def list_references(self, sample: ServingSample) -> list[ServingSample]:
        """Return samples of the same time with fewer filling neighbours."""
        found = [
            other
            for other in self.newest.values()
            if other.task != sample.task and sample.at - other.at <= SIBLING_MAX_AGE_S
        ]
        before = self.before.get(sample.task)
        if before is not None and sample.at - before.at <= BASELINE_MAX_AGE_S:
            found.append(before)
        limit = sample.weight - MIN_LOAD_DIFFERENCE
        return [other for other in found if other.weight <= limit]


class InterferenceModel:
    """Estimates the slack that one filling task takes from a serving task, by pair."""

    def __init__(self) -> None:
        self._pairs: dict[Pair, _PairState] = {}
        self._logged: dict[Pair, float] = {}
        self._updated: set[Pair] = set()
        self._serving_by_filling: dict[str, set[str]] = {}
        self._steps: dict[StepName, _StepSamples] = {}

    def observe(self, sample: ServingSample) -> None:
        """Update the estimates with one sample."""
        samples = self._steps.setdefault(sample.step, _StepSamples())
        while len(self._steps) > MAX_STEPS:
            del self._steps[next(iter(self._steps))]
        if sample.latency_ratio > STALLED_LATENCY_RATIO or not samples.add(sample):
            return
        references = samples.list_references(sample)
        if not references:
            return
        image = sample.image
        unloaded = [
            other.slack + self._sum_interference(image, other.mix)
            for other in references
        ]
        missing = sum(unloaded) / len(unloaded) - sample.slack
        error = missing - self._sum_interference(image, sample.mix)
        if error < 0 and sample.slack < MIN_MEASURABLE_SLACK:
            return
        noise = self._estimate_noise(sample, references)
        self._update_pairs(image, sample.mix, error, noise)

    def get_interference(self, filling: str, serving: str) -> float:
        """Return the slack that one filling task takes from a serving task."""
        pair = self._pairs.get((filling, serving))
        interference = (
            pair.interference if pair is not None else self._generalise(filling)
        )
        return interference if interference > MIN_INTERFERENCE else 0.0

    def compute_interference(
        self, serving: Iterable[str], mix: Mapping[str, float]
    ) -> float:
        """Return the slack that a mix takes from the worst of the serving images."""
        return max(
            (self._sum_interference(image, mix) for image in serving), default=0.0
        )

    def list_estimates(self, most: int) -> list[PairEstimate]:
        """Return the pairs with the most certain estimates."""
        known = sorted(self._pairs.items(), key=lambda entry: entry[1].variance)
        return [
            PairEstimate(*pair, one.interference, one.variance)
            for pair, one in known[:most]
        ]

    def adopt(self, estimates: Iterable[PairEstimate]) -> None:
        """Import an earlier leader's estimates of pairs that are unobserved here."""
        for estimate in estimates:
            pair = estimate.filling, estimate.serving
            if pair in self._pairs:
                continue
            variance = max(estimate.variance, MIN_VARIANCE)
            self._pairs[pair] = _PairState(max(-NOISE, estimate.interference), variance)
            self._serving_by_filling.setdefault(estimate.filling, set()).add(
                estimate.serving
            )

    def pop_changes(self) -> dict[Pair, float]:
        """Return and reset the pairs whose estimate has changed enough to be logged."""
        changed = {}
        for pair in self._updated:
            interference = self._pairs[pair].interference
            if (
                abs(interference - self._logged.get(pair, DEFAULT_INTERFERENCE))
                > MIN_LOGGED_CHANGE
            ):
                changed[pair] = round(interference, 2)
        self._updated.clear()
        self._logged.update(changed)
        return changed

    def _sum_interference(self, serving: str, mix: Mapping[str, float]) -> float:
        return sum(
            self.get_interference(filling, serving) * weight
            for filling, weight in mix.items()
        )

    def _generalise(self, filling: str) -> float:
        """Return an estimate for an unobserved pair from the image's other pairs."""
        known = self._serving_by_filling.get(filling, ())
        if len(known) < MIN_PAIRS_TO_GENERALISE:
            return DEFAULT_INTERFERENCE
        total = sum(self._pairs[filling, serving].interference for serving in known)
        return min(total / len(known), DEFAULT_INTERFERENCE)

    def _estimate_noise(
        self, sample: ServingSample, references: list[ServingSample]
    ) -> float:
        """Return the variance of the lost slack that a comparison shows."""
        noise = SIBLING_NOISE**2 + (MEASUREMENT_NOISE * sample.slack) ** 2
        for other in references:
            uncertainty = self._sum_variances(sample.image, other.mix)
            uncertainty += (MEASUREMENT_NOISE * other.slack) ** 2
            noise += uncertainty / len(references) ** 2
        return noise

    def _sum_variances(self, serving: str, mix: Mapping[str, float]) -> float:
        return sum(
            self._get_variance(filling, serving) * weight**2
            for filling, weight in mix.items()
        )

    def _get_variance(self, filling: str, serving: str) -> float:
        pair = self._pairs.get((filling, serving))
        return pair.variance if pair is not None else DEFAULT_VARIANCE

    def _update_pairs(
        self, serving: str, mix: Mapping[str, float], error: float, noise: float
    ) -> None:
        total = noise + self._sum_variances(serving, mix)
        for filling, weight in mix.items():
            if weight <= 0:
                continue
            pair = self._get_or_create_pair(filling, serving)
            gain = pair.variance * weight / total
            pair.interference = max(-NOISE, pair.interference + gain * error)
            pair.variance = max(MIN_VARIANCE, pair.variance * (1 - gain * weight))
            self._updated.add((filling, serving))

    def _get_or_create_pair(self, filling: str, serving: str) -> _PairState:
        pair = self._pairs.get((filling, serving))
        if pair is None:
            pair = self._pairs[filling, serving] = _PairState(self._generalise(filling))
            self._serving_by_filling.setdefault(filling, set()).add(serving)
        return pair


def compute_intensity(worked: float, used_milli: int, asked_milli: int) -> float:
    """Return a filling task's interference relative to one that uses its full request.

    Filling tasks have phases of seconds in which they use two thirds of the processor
    time that they request, and then interfere a third to a half as much. The pace alone
    would predict a serving task's slack less accurately.

    :param worked: the pace, 1.0 is full speed.
    :param used_milli: processor time in use, thousandths of a core.
    :param asked_milli: requested processor time, 0 if unknown.
    """
    if worked <= 0 or asked_milli <= 0:
        return worked
    use = min(1.0, used_milli / (asked_milli * worked))
    return worked * use**2


def compute_slack(latency_ratio: float) -> float:
    """Return the inverse of a latency ratio, at most ``MAX_SLACK``."""
    return 1.0 / max(latency_ratio, LATENCY_RATIO_FLOOR)
