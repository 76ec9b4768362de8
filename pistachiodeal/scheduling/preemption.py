"""Which work gives way: to more urgent work, or on a worker that has shrunk.

The load that this answers: large tasks of a lower priority hold every worker when
urgent ones arrive. The cheapest victim is the one that loses least work: one that saves
its progress loses the time of its move, any other all that it has done.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pistachiodeal.model.resources import Resources


@dataclass(frozen=True, slots=True)
class Victim:
    """A run that could be stopped.

    :param worked_s: how long it has been at work.
    :param move_s: for how long it would not be at work if it were moved.
    :param room: what its stop sets free.
    """

    task: str
    place: str
    priority: int
    checkpoints: bool
    worked_s: float
    move_s: float
    room: Resources

    @property
    def loss(self) -> float:
        """Return what is thrown away, core-seconds."""
        # What is stopped saves its progress then.
        lost_s = self.move_s if self.checkpoints else self.worked_s + self.move_s
        return lost_s * max(self.room.cpu_milli, 1) / 1000


def choose_victims(
    need: Resources, free: Resources, candidates: Iterable[Victim], priority: int
) -> list[Victim]:
    """Return the runs of one worker to stop so that a task fits; empty if none do."""
    lower = [victim for victim in candidates if victim.priority > priority]
    chosen, fits = _choose(need, free, lower)
    return chosen if fits else []


def choose_victims_to_fit(
    missing: Resources, candidates: Iterable[Victim]
) -> list[Victim]:
    """Return the runs of one worker to stop so that the others fit, or all that help.

    :param missing: what the worker's runs reserve beyond what it has.
    """
    helpful = [
        one for one in candidates if one.room.memory_mib or one.room.accelerators
    ]
    return _choose(missing, Resources(), helpful)[0]


def _choose(
    need: Resources, free: Resources, candidates: list[Victim]
) -> tuple[list[Victim], bool]:
    """Return the cheapest victims in turn, and whether they are enough."""
    chosen: list[Victim] = []
    for victim in sorted(candidates, key=lambda one: (-one.priority, one.loss)):
        if need.fits(free):
            break
        chosen.append(victim)
        free = free + victim.room
    return chosen, need.fits(free)
