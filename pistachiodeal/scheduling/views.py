"""The state of a worker that placement decisions use."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from pistachiodeal.jobs.model import Step
from pistachiodeal.model.resources import Resources

StepKey = tuple[str, int, int]
"""Job, occurrence and number of a step."""


# Serving tasks use about half of their reservation, judging by their tail latencies
# without neighbours.
SERVING_USE = 0.5


@dataclass(slots=True)
class WorkerView:
    """Capacity and tasks of one worker.

    :param place: node and incarnation.
    :param capacity: total resources of the worker.
    :param used: reserved resources; filling tasks reserve no processor time.
    :param fill_cpu_milli: processor time that its filling tasks request.
    :param steps: number of its tasks by step.
    :param serving: number of its tasks with a latency objective, by image.
    :param serving_steps: images of the steps of these tasks.
    :param solo_slack: slack that serving tasks would have now without neighbours, the
        least by image.
    :param serving_cpu_milli: processor time that serving tasks have reserved.
    :param filling: number of its filling tasks, by image.
    :param excluded: whether it gets no tasks, because it fails or stalls them.
    :param probing: whether it gets a single task, as a probe after an exclusion.
    :param probation: whether a task that is suspected of crashing its worker has just
        started there.
    :param unlisted: tasks that were ordered and not yet reported as running.
    :param built_round: the round of decisions in which it was built.
    :param speed: relative speed, 1.0 unless it is slow with certainty.
    :param interference: slack that filling tasks take, by serving image; computed on
        first use, and reset when a task is added.
    """

    place: str
    node: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    used: Resources = field(default_factory=Resources)
    fill_cpu_milli: int = 0
    steps: dict[StepKey, int] = field(default_factory=dict)
    serving: dict[str, int] = field(default_factory=dict)
    serving_steps: dict[StepKey, str] = field(default_factory=dict)
    solo_slack: dict[str, float] = field(default_factory=dict)
    serving_cpu_milli: int = 0
    filling: dict[str, float] = field(default_factory=dict)
    excluded: bool = False
    probing: bool = False
    probation: bool = False
    unlisted: int = 0
    built_round: int = 0
    speed: float = 1.0
    interference: dict[str, float] | None = None

    @property
    def free(self) -> Resources:
        """Return the resources that are not reserved."""
        return self.capacity - self.used

    @property
    def load(self) -> float:
        """Return the reserved share of the scarcer of processor and memory."""
        cpu = self.used.cpu_milli / max(self.capacity.cpu_milli, 1)
        memory = self.used.memory_mib / max(self.capacity.memory_mib, 1)
        return max(cpu, memory)

    @property
    def leftover_milli(self) -> int:
        """Return the processor time left for filling tasks, thousandths of a core."""
        unused = int(self.serving_cpu_milli * (1.0 - SERVING_USE))
        return self.capacity.cpu_milli - self.used.cpu_milli + unused

    def copy(self) -> WorkerView:
        """Return a copy that can be changed independently."""
        return replace(
            self,
            steps=dict(self.steps),
            serving=dict(self.serving),
            serving_steps=dict(self.serving_steps),
            filling=dict(self.filling),
        )

    def reserve(self, key: StepKey, step: Step) -> None:
        """Add one task and reserve its resources."""
        self.used = self.used + get_reserved_size(step)
        self.excluded |= self.probing
        self.unlisted += 1
        self.interference = None
        self.steps[key] = self.steps.get(key, 0) + 1
        if step.fills:
            self.fill_cpu_milli += step.size.cpu_milli
            self.filling[step.image] = self.filling.get(step.image, 0.0) + 1.0
        if step.serves_ms:
            self.serving[step.image] = self.serving.get(step.image, 0) + 1
            self.serving_steps[key] = step.image
            self.serving_cpu_milli += step.size.cpu_milli

    def release(self, key: StepKey, step: Step) -> None:
        """Remove one task that doesn't serve, and free its resources."""
        self.used = self.used - get_reserved_size(step)
        self.interference = None
        self.steps[key] -= 1
        if step.fills:
            self.fill_cpu_milli -= step.size.cpu_milli
            self.filling[step.image] -= 1.0


def get_reserved_size(step: Step) -> Resources:
    """Return the resources that a task of a step reserves on its worker."""
    if not step.fills:
        return step.size
    return Resources(0, step.size.memory_mib, step.size.accelerators)
