"""Which filling work disturbs which tasks that serve, learnt from their tails.

The load that this answers: filling tasks share workers with tasks that serve. Whether
they matter depends on the pair of images: one multiplies the tail latency of one
neighbour and leaves another alone, and nothing declared says which. A serving task's
own load swings as much as a neighbour disturbs it, so a high tail by itself says
nothing.

Two facts make the pairs tell apart. A tail grows as 1 / (1 - load), so what neighbours
add is additive in its inverse: the slack. And the tasks of one step swing together, so
a task beside filling work is compared with its siblings elsewhere at that moment, and
with itself just before the neighbour came.

Of what is missing, each neighbour gets the blame by its share and by how little is
known of it (a Kalman filter with a variance for each pair). Blamed alike, a neighbour
that has been harmless for a minute pays for the newcomer's harm, and one that worked
at a tenth of its pace for a moment is cleared by noise.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Slack is the aim of a serving task over its tail latency: 1 is just within its aim,
# 2 is twice as fast. Alone, serving tasks are between 1.4 and 4.
MOST_SLACK = 5.0
LEAST_TAIL = 1.0 / MOST_SLACK
# What one task of an untried pair is taken to cost: two may be tried beside a serving
# task, three may not.
DEFAULT_INTERFERENCE = 0.45
# What filling work may cost a serving task on the average of its swing; the agents
# pace it at the peaks.
PRESS_LIMIT = 1.0
# A interference is learnt to within this much: figures are 5 to 8% off, up to 0.3 of slack.
NOISE = 0.15
# Pairs either leave each other alone or take more than this. A smaller interference of a known
# pair is noise; believed, it has harmless work stand at each peak of the load, when
# there is no slack to spare.
LEAST_PRESS = 0.33
FIGURE_NOISE = 0.08
# Siblings that swing together are still this far apart, in slack.
SIBLING_NOISE = 0.15
# Variances of a pair's interference: untried pairs lie between 0 and 2, and no pair is ever
# known better than to 0.2, since what neighbours do to each other changes.
FIRST_VARIANCE = 0.6**2
LEAST_VARIANCE = 0.2**2
# No slack is left below this: how much more is missing can't be seen.
NO_SLACK = 0.2
# Siblings are reported up to 0.45 s apart; a swing moves slack by 0.3 in that time.
FRESH_S = 0.6
# A tail this far over its aim is that of a task that stands still by itself.
BROKEN_STRAIN = 20.0
# A task's own earlier figure, from before a neighbour came.
BEFORE_S = 1.1
# Compared figures differ by at least this much filling work, in tasks at full speed.
LEAST_CONTRAST = 0.3
# A word to the agents for a change of this much, and a line in the log.
MIN_REPORTED_CHANGE = 0.1
LOGGED_CHANGE = 0.4
# An image that left two neighbours alone is tried more freely beside a third.
GUESS_PAIRS = 2
MOST_STEPS = 2_000

Pair = tuple[str, str]
"""Image of the filling task, image of the serving task."""

StepName = tuple[str, int, int]
"""Job, occurrence and number of a serving step."""


@dataclass(frozen=True, slots=True)
class ServingSample:
    """A serving task's figure, and the filling work beside it at that time.

    :param task: its name; tasks of one step are siblings.
    :param strain: its tail latency as a share of its aim.
    :param mix: filling tasks by image, each counted by its effort.
    """

    step: StepName
    task: str
    image: str
    strain: float
    mix: Mapping[str, float]
    at: float

    @property
    def slack(self) -> float:
        """Return the inverse of the strain."""
        return compute_slack(self.strain)

    @property
    def weight(self) -> float:
        """Return how much filling work was beside it."""
        return sum(self.mix.values())


@dataclass(frozen=True, slots=True)
class PairEstimate:
    """What is known of a pair; see :class:`InterferenceModel`.

    :param interference: slack that one filling task at full effort takes away.
    """

    filling: str
    serving: str
    interference: float
    variance: float


@dataclass(slots=True)
class _PairState:
    """What is known of a pair.

    :param interference: slack that one filling task at full speed takes away.
    :param variance: of the interference, as far as it is known.
    """

    interference: float
    variance: float = FIRST_VARIANCE


@dataclass(slots=True)
class _StepFigures:
    """The newest figures of the tasks of one serving step, and those before."""

    newest: dict[str, ServingSample] = field(default_factory=dict)
    before: dict[str, ServingSample] = field(default_factory=dict)

    def add(self, sample: ServingSample) -> bool:
        """Take in a figure, and keep the one before if it had less beside it.

        :return: False for a figure that was listed before.
        """
        last = self.newest.get(sample.task)
        if last is not None and last.strain == sample.strain and last.mix == sample.mix:
            return False
        if last is not None and sample.weight - last.weight >= LEAST_CONTRAST:
            self.before[sample.task] = last
        self.newest[sample.task] = sample
        return True

    def list_references(self, sample: ServingSample) -> list[ServingSample]:
        """Return figures of the same moment with less filling work beside them."""
        found = [
            other
            for other in self.newest.values()
            if other.task != sample.task and sample.at - other.at <= FRESH_S
        ]
        before = self.before.get(sample.task)
        if before is not None and sample.at - before.at <= BEFORE_S:
            found.append(before)
        limit = sample.weight - LEAST_CONTRAST
        return [other for other in found if other.weight <= limit]


class InterferenceModel:
    """What one filling task takes from the slack of a serving neighbour, by pair."""

    def __init__(self) -> None:
        self._pairs: dict[Pair, _PairState] = {}
        self._told: dict[Pair, float] = {}
        self._moved: set[Pair] = set()
        self._known: dict[str, set[str]] = {}
        self._steps: dict[StepName, _StepFigures] = {}

    def observe(self, sample: ServingSample) -> None:
        """Learn from one figure."""
        figures = self._steps.setdefault(sample.step, _StepFigures())
        if sample.strain > BROKEN_STRAIN or not figures.add(sample):
            return
        while len(self._steps) > MOST_STEPS:
            del self._steps[next(iter(self._steps))]
        references = figures.list_references(sample)
        if not references:
            return
        image = sample.image
        alone = [one.slack + self._sum(image, one.mix) for one in references]
        missing = sum(alone) / len(alone) - sample.slack
        error = missing - self._sum(image, sample.mix)
        if error < 0 and sample.slack < NO_SLACK:
            return
        noise = self._estimate_noise(sample, references)
        self._correct(image, sample.mix, error, noise)

    def get_interference(self, filling: str, serving: str) -> float:
        """Return what one filling task takes from a serving task's slack."""
        pair = self._pairs.get((filling, serving))
        interference = pair.interference if pair is not None else self._guess(filling)
        return interference if interference > LEAST_PRESS else 0.0

    def compute_interference(
        self, serving: Iterable[str], mix: Mapping[str, float]
    ) -> float:
        """Return the slack that a mix takes from the worst of the serving images."""
        return max((self._sum(image, mix) for image in serving), default=0.0)

    def list_estimates(self, most: int) -> list[PairEstimate]:
        """Return the pairs that are known best."""
        known = sorted(self._pairs.items(), key=lambda entry: entry[1].variance)
        return [
            PairEstimate(*pair, one.interference, one.variance)
            for pair, one in known[:most]
        ]

    def adopt(self, lessons: Iterable[PairEstimate]) -> None:
        """Take in what an earlier leader knew of pairs that are untried here."""
        for lesson in lessons:
            pair = lesson.filling, lesson.serving
            if pair in self._pairs:
                continue
            variance = max(lesson.variance, LEAST_VARIANCE)
            self._pairs[pair] = _PairState(max(-NOISE, lesson.interference), variance)
            self._known.setdefault(lesson.filling, set()).add(lesson.serving)

    def pop_changes(self) -> dict[Pair, float]:
        """Return the pairs whose interference has changed enough for a line in the log."""
        changed = {}
        for pair in self._moved:
            interference = self._pairs[pair].interference
            if (
                abs(interference - self._told.get(pair, DEFAULT_INTERFERENCE))
                > LOGGED_CHANGE
            ):
                changed[pair] = round(interference, 2)
        self._moved.clear()
        self._told.update(changed)
        return changed

    def _sum(self, serving: str, mix: Mapping[str, float]) -> float:
        return sum(
            self.get_interference(filling, serving) * weight
            for filling, weight in mix.items()
        )

    def _guess(self, filling: str) -> float:
        """Return what an untried pair is taken to cost, by the image's other pairs."""
        known = self._known.get(filling, ())
        if len(known) < GUESS_PAIRS:
            return DEFAULT_INTERFERENCE
        total = sum(self._pairs[filling, serving].interference for serving in known)
        return min(total / len(known), DEFAULT_INTERFERENCE)

    def _estimate_noise(
        self, sample: ServingSample, references: list[ServingSample]
    ) -> float:
        """Return the variance of what a comparison says is missing."""
        noise = SIBLING_NOISE**2 + (FIGURE_NOISE * sample.slack) ** 2
        for one in references:
            unsure = self._sum_variances(sample.image, one.mix)
            unsure += (FIGURE_NOISE * one.slack) ** 2
            noise += unsure / len(references) ** 2
        return noise

    def _sum_variances(self, serving: str, mix: Mapping[str, float]) -> float:
        return sum(
            self._get_variance(filling, serving) * weight**2
            for filling, weight in mix.items()
        )

    def _get_variance(self, filling: str, serving: str) -> float:
        pair = self._pairs.get((filling, serving))
        return pair.variance if pair is not None else FIRST_VARIANCE

    def _correct(
        self, serving: str, mix: Mapping[str, float], error: float, noise: float
    ) -> None:
        total = noise + self._sum_variances(serving, mix)
        for filling, weight in mix.items():
            if weight <= 0:
                continue
            pair = self._open_pair(filling, serving)
            gain = pair.variance * weight / total
            pair.interference = max(-NOISE, pair.interference + gain * error)
            pair.variance = max(LEAST_VARIANCE, pair.variance * (1 - gain * weight))
            self._moved.add((filling, serving))

    def _open_pair(self, filling: str, serving: str) -> _PairState:
        pair = self._pairs.get((filling, serving))
        if pair is None:
            pair = self._pairs[filling, serving] = _PairState(self._guess(filling))
            self._known.setdefault(filling, set()).add(serving)
        return pair


def compute_intensity(worked: float, used_milli: int, asked_milli: int) -> float:
    """Return how much a filling task disturbs, against one that uses all it asked for.

    Filling tasks have phases of seconds in which they use two thirds of the processor
    time that they ask for, and then interference a third to a half as much. Presses by the
    pace alone would foresee a serving task's slack less well.

    :param worked: the pace, 1.0 is full speed.
    :param used_milli: processor time in use, thousandths of a core.
    :param asked_milli: what the task asks for, 0 if that is not known.
    """
    if worked <= 0 or asked_milli <= 0:
        return worked
    use = min(1.0, used_milli / (asked_milli * worked))
    return worked * use**2


def compute_slack(strain: float) -> float:
    """Return the inverse of a strain, at most ``MOST_SLACK``."""
    return 1.0 / max(strain, LEAST_TAIL)
