"""What an outside service says of the workers that may run a step."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Advice:
    """The answer to one question.

    :param tickets: of the workers that may run the step, by worker.
    :param valid_s: how long the tickets are taken, from the answer.
    """

    tickets: dict[str, str]
    valid_s: float


class Adviser(Protocol):
    """The service."""

    async def advise(self, step: str, workers: tuple[str, ...]) -> Advice:
        """Ask which of some workers may run a step.

        :raises AdviceError: there is no answer, or too many calls wait.
        """
