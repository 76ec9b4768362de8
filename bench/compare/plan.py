"""The plan of a comparison: which ways are played on which days."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field


class PlannedDay(BaseModel):
    """One day to play.

    :param site: path of the site file, below the directory of all site files.
    :param day: name of one of the site's days, or path of a file with a day.
    """

    model_config = ConfigDict(extra="forbid")

    site: str = Field(min_length=1)
    day: str = Field(min_length=1)


class Plan(BaseModel):
    """A comparison, as its JSON file describes it.

    :param ways: commit of each way, by name; the first one is the reference.
    :param small: whether small twins of the days are played.
    """

    model_config = ConfigDict(extra="forbid")

    ways: dict[str, str] = Field(min_length=2)
    days: list[PlannedDay] = Field(min_length=1)
    seeds: list[int] = Field(min_length=1)
    small: bool = False

    @property
    def reference(self) -> str:
        """Return the name of the way that the others are compared with."""
        return next(iter(self.ways))


@dataclass(frozen=True, slots=True)
class Play:
    """One day played with one way and one seed."""

    way: str
    site: str
    day: str
    seed: int

    @property
    def title(self) -> str:
        """Return the site's and the day's name, the same for all ways and seeds."""
        return f"{Path(self.site).stem} {Path(self.day).stem}"

    @property
    def report_name(self) -> str:
        """Return the name of the file with the play's report."""
        return f"{self.way}_{self.title.replace(' ', '_')}_{self.seed}.json"


def read_plan(path: Path) -> Plan:
    """Read a plan.

    :raises pydantic.ValidationError: the file is not a valid plan.
    """
    return Plan.model_validate_json(path.read_bytes())


def list_plays(plan: Plan) -> Iterator[Play]:
    """Return the plays; those of a pair follow each other, to share the load."""
    for seed in plan.seeds:
        for day in plan.days:
            for way in plan.ways:
                yield Play(way, day.site, day.day, seed)
