"""The two simulated deployments, and the scripts of load and faults."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.model.resources import Resources

SLOTS = 8
DATA_CENTRES = 3
RACK_SIZE = 3


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of batch task; the scheduler does not see the true figures.

    :param true: what a task really uses; ``declared`` is far from it.
    :param run_s: duration of a run at full speed, seconds.
    :param harm: by service, the extra latency, as a share of the latency without batch
        work, if the kind filled a worker.
    :param weight: relative frequency of the kind.
    """

    name: str
    declared: Resources
    true: Resources
    run_s: float
    harm: dict[str, float]
    weight: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service with ``runners`` runners, spread over the workers.

    :param mean_s: mean duration of a request without batch work, seconds.
    :param sigma: standard deviation of the logarithm of the duration.
    :param promised_s: promised latency at the 99th percentile, seconds.
    :param rate: requests per second at load 1.
    """

    name: str
    runners: int
    mean_s: float
    sigma: float
    promised_s: float
    rate: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """Workers, services and kinds of batch work of one user."""

    name: str
    workers: int
    capacity: Resources
    runner_size: Resources
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]


@dataclass(frozen=True, slots=True)
class Window:
    """A time window; both ends are fractions of the whole script."""

    start: float
    end: float

    def contains(self, fraction: float) -> bool:
        """Return whether ``fraction`` of the script lies in the window."""
        return self.start <= fraction < self.end


@dataclass(frozen=True, slots=True)
class Shape:
    """A script of load and faults over time.

    :param load: steps (fraction of the script, factor on the rates).
    :param waves: when the first kind comes in bursts and harms twice as much.
    :param rack_lost: when the workers of one rack are down.
    :param store_outage: when the store is down.
    :param backlog: waiting tasks per core, at all times.
    """

    name: str
    load: tuple[tuple[float, float], ...]
    waves: tuple[Window, ...]
    rack_lost: Window
    store_outage: Window
    backlog: float = 0.5

    def load_at(self, fraction: float) -> float:
        """Return the factor on the request rates."""
        return [factor for start, factor in self.load if start <= fraction][-1]

    def wave_at(self, fraction: float) -> bool:
        """Return whether a wave of noisy tasks is active."""
        return any(wave.contains(fraction) for wave in self.waves)


def _size(cores: float, gib: float) -> Resources:
    return Resources(round(cores * 1000), round(gib * 1024))


LISOVNA = Deployment(
    "lisovna",
    workers=10,
    capacity=_size(16, 60),
    runner_size=_size(4, 6),
    services=(
        Service("order-desk", 10, 0.040, 0.5, 0.160, 700.0),
        Service("matrix-tracking", 4, 0.020, 0.4, 0.075, 300.0),
    ),
    kinds=(
        Kind(
            "waveform-scan",
            _size(1, 2),
            _size(2.2, 3.5),
            25.0,
            {"order-desk": 2.0, "matrix-tracking": 0.6},
            2.0,
        ),
        Kind(
            "press-plan",
            _size(2, 4),
            _size(1.2, 4.5),
            40.0,
            {"order-desk": 0.25, "matrix-tracking": 0.1},
            3.0,
        ),
        Kind(
            "archive-copy",
            _size(1, 1),
            _size(1.0, 2.5),
            15.0,
            {"order-desk": 0.05, "matrix-tracking": 1.5},
            3.0,
        ),
        Kind(
            "invoice-run",
            _size(1, 4),
            _size(1.5, 2.0),
            60.0,
            {"order-desk": 0.1, "matrix-tracking": 0.05},
            2.0,
        ),
    ),
)

HSINYI = Deployment(
    "hsinyi",
    workers=10,
    capacity=_size(64, 250),
    runner_size=_size(8, 16),
    services=(
        Service("submission-desk", 10, 0.050, 0.6, 0.240, 550.0),
        Service("annotations", 4, 0.015, 0.5, 0.066, 400.0),
    ),
    kinds=(
        Kind(
            "screening",
            _size(4, 12),
            _size(6, 18),
            80.0,
            {"submission-desk": 0.8, "annotations": 0.3},
            4.0,
        ),
        Kind(
            "index-build",
            _size(8, 16),
            _size(5, 30),
            50.0,
            {"submission-desk": 1.8, "annotations": 1.2},
            1.0,
        ),
        Kind(
            "thumbnails",
            _size(2, 4),
            _size(2.5, 3),
            20.0,
            {"submission-desk": 0.1, "annotations": 0.1},
            3.0,
        ),
        Kind(
            "mail-merge",
            _size(2, 2),
            _size(1.5, 5),
            30.0,
            {"submission-desk": 0.05, "annotations": 0.9},
            2.0,
        ),
    ),
)

STEPS = Shape(
    "steps",
    load=((0.0, 0.6), (0.25, 1.0), (0.5, 1.3), (0.75, 0.5)),
    waves=(Window(0.15, 0.3), Window(0.5, 0.65), Window(0.85, 0.95)),
    rack_lost=Window(0.6, 0.75),
    store_outage=Window(0.55, 0.65),
)
SPIKES = Shape(
    "spikes",
    load=((0.0, 0.8), (0.2, 1.4), (0.24, 0.7), (0.5, 1.4), (0.55, 0.9), (0.8, 0.4)),
    waves=(Window(0.05, 0.1), Window(0.35, 0.55), Window(0.7, 0.75)),
    rack_lost=Window(0.3, 0.4),
    store_outage=Window(0.38, 0.5),
)

DEPLOYMENTS = (LISOVNA, HSINYI)
SHAPES = (STEPS, SPIKES)
