"""Chooses runs to stop, for more urgent tasks or on a worker whose capacity shrank.

Large tasks of a lower priority can hold every worker when urgent tasks arrive. The
cheapest victim is the one that loses the least work: a task with checkpoints loses the
time of its move, any other task loses all its work.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pistachiodeal.model.resources import Resources


@dataclass(frozen=True, slots=True)
class Victim:
    """A run that could be stopped.

    :param worked_s: how long it has been running.
    :param move_s: how long it would not run if it were moved.
    :param room: resources that stopping it frees.
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
        """Return the work that is lost, core-seconds."""
        # A task with checkpoints saves its progress when it is stopped.
        lost_s = self.move_s if self.checkpoints else self.worked_s + self.move_s
        return lost_s * max(self.room.cpu_milli, 1) / 1000


def choose_victims(
    need: Resources, free: Resources, candidates: Iterable[Victim], priority: int
) -> list[Victim]:
    """Return a worker's runs to stop so that a task fits, empty if none suffice."""
    lower = [victim for victim in candidates if victim.priority > priority]
    chosen, fits = _choose(need, free, lower)
    return chosen if fits else []


def choose_victims_to_fit(
    missing: Resources, candidates: Iterable[Victim]
) -> list[Victim]:
    """Return a worker's runs to stop so that the others fit, or all runs that help.

    :param missing: resources that its runs reserve beyond its capacity.
    """
    helpful = [
        victim
        for victim in candidates
        if victim.room.memory_mib or victim.room.accelerators
    ]
    return _choose(missing, Resources(), helpful)[0]


def _choose(
    need: Resources, free: Resources, candidates: list[Victim]
) -> tuple[list[Victim], bool]:
    """Return the cheapest victims in order, and whether they free enough."""
    chosen: list[Victim] = []
    for victim in sorted(
        candidates, key=lambda candidate: (-candidate.priority, candidate.loss)
    ):
        if need.fits(free):
            break
        chosen.append(victim)
        free = free + victim.room
    return chosen, need.fits(free)
