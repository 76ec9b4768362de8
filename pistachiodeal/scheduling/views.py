"""A worker as the decisions see it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from pistachiodeal.jobs.model import Step
from pistachiodeal.model.resources import Resources

StepKey = tuple[str, int, int]
"""Job, occurrence and number of a step."""


# Serving tasks use about half of what they reserve, by the tails they show alone.
SERVING_USE = 0.5


@dataclass(slots=True)
class WorkerView:
    """Room and company on one worker.

    :param place: node and incarnation.
    :param capacity: what the worker has.
    :param used: what is reserved; tasks that fill reserve no processor.
    :param fill_cpu_milli: what the tasks that fill would like to use.
    :param steps: number of tasks of each step on it.
    :param serving: tasks on it that keep a tail latency, by image.
    :param solo_slack: slack that serving tasks would have now without neighbours, the
        least by image.
    :param serving_cpu_milli: what the serving tasks have reserved.
    :param filling: tasks on it that fill, by image.
    :param excluded: whether it gets nothing, since it fails or stands still.
    :param probing: whether it gets one task, to see whether that is over.
    :param probation: whether a suspect of having ended a worker has just begun there.
    :param unlisted: tasks that were ordered and have not been seen at work.
    :param built_round: the round of decisions that it was built in.
    :param pressed: slack that the filling tasks take, by serving image; worked out
        when it is first asked for, and forgotten when a task comes.
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
    solo_slack: dict[str, float] = field(default_factory=dict)
    serving_cpu_milli: int = 0
    filling: dict[str, float] = field(default_factory=dict)
    excluded: bool = False
    probing: bool = False
    probation: bool = False
    unlisted: int = 0
    built_round: int = 0
    pressed: dict[str, float] | None = None

    @property
    def free(self) -> Resources:
        """Return what is not reserved."""
        return self.capacity - self.used

    @property
    def load(self) -> float:
        """Return the reserved share of the scarcer of processor and memory."""
        cpu = self.used.cpu_milli / max(self.capacity.cpu_milli, 1)
        memory = self.used.memory_mib / max(self.capacity.memory_mib, 1)
        return max(cpu, memory)

    @property
    def leftover_milli(self) -> int:
        """Return the processor time that filling tasks find, thousandths of a core."""
        unused = int(self.serving_cpu_milli * (1.0 - SERVING_USE))
        return self.capacity.cpu_milli - self.used.cpu_milli + unused

    def copy(self) -> WorkerView:
        """Return a view that can be changed by itself."""
        return replace(
            self,
            steps=dict(self.steps),
            serving=dict(self.serving),
            filling=dict(self.filling),
        )

    def reserve(self, key: StepKey, step: Step) -> None:
        """Reserve the room of one task."""
        self.used = self.used + get_reserved_size(step)
        self.excluded |= self.probing
        self.unlisted += 1
        self.pressed = None
        self.steps[key] = self.steps.get(key, 0) + 1
        if step.fills:
            self.fill_cpu_milli += step.size.cpu_milli
            self.filling[step.image] = self.filling.get(step.image, 0.0) + 1.0
        if step.serves_ms:
            self.serving[step.image] = self.serving.get(step.image, 0) + 1
            self.serving_cpu_milli += step.size.cpu_milli


def get_reserved_size(step: Step) -> Resources:
    """Return what a task of a step reserves on its worker."""
    if not step.fills:
        return step.size
    return Resources(0, step.size.memory_mib, step.size.accelerators)
