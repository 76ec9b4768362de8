"""Interface of the external service that selects workers for a step."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Advice:
    """The service's answer to one request.

    :param tickets: a ticket for each worker that may run the step, by worker.
    :param valid_s: how long the tickets are valid after the answer, seconds.
    """

    tickets: dict[str, str]
    valid_s: float


class Adviser(Protocol):
    """Client of the external service."""

    async def advise(self, step: str, workers: tuple[str, ...]) -> Advice:
        """Ask which of the given workers may run a step.

        :raises AdviceError: the service does not answer, or too many calls are queued.
        """
