"""Remembers which steps found no worker, so that only changed workers are rechecked.

Hundreds of steps may wait for hundreds of full workers, while only a few workers report
between two rounds of planning. Checking all workers again for each step would take
longer than the pause between two rounds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pistachiodeal.scheduling.placement import PlacementRequest
from pistachiodeal.scheduling.views import StepKey, WorkerView

# A waiting step is checked against all workers again after this long, in case something
# else has changed, such as the known interference of its image. The log then shows why
# it waits.
FULL_CHECK_INTERVAL_S = 2.0
# Limits how many steps a round rechecks only because of their age. Without the limit,
# all waiting steps would be due again before a burst on a large fleet is handled.
MAX_FULL_CHECKS_PER_ROUND = 4


@dataclass(slots=True)
class _FailedPlacement:
    """The last attempt to place a step, which found no worker.

    :param round: of the worker views that the step was checked against.
    :param urgent: as in the request, where it affects which workers fit.
    :param may_interfere: likewise.
    :param fully_checked_at: last check against all workers, boot clock.
    """

    round: int
    urgent: bool
    may_interfere: bool
    fully_checked_at: float = 0.0


class FailedPlacements:
    """Remembers the last failed placement of each step."""

    def __init__(self) -> None:
        self._failed: dict[StepKey, _FailedPlacement] = {}
        self._full_checks = 0

    def begin_round(self, keys: Iterable[StepKey]) -> None:
        """Forget the steps that no longer wait.

        :param keys: of all waiting steps.
        """
        self._full_checks = 0
        failed = self._failed
        self._failed = {key: failed[key] for key in keys if key in failed}

    def needs_full_check(self, request: PlacementRequest, now: float) -> bool:
        """Tell whether a step has to be checked against all workers."""
        failure = self._failed.get(request.key)
        if failure is None:
            return True
        if (failure.urgent, failure.may_interfere) != (
            request.urgent,
            request.may_interfere,
        ):
            return True
        if (
            now - failure.fully_checked_at < FULL_CHECK_INTERVAL_S
            or self._full_checks >= MAX_FULL_CHECKS_PER_ROUND
        ):
            return False
        self._full_checks += 1
        return True

    def list_changed(
        self, request: PlacementRequest, views: Iterable[WorkerView]
    ) -> list[WorkerView]:
        """Return the workers that have changed since a step was last checked."""
        since = self._failed[request.key].round
        return [view for view in views if view.built_round > since]

    def record_failure(self, request: PlacementRequest, this_round: int) -> None:
        """Record that no worker in this round's views fits a task of a step."""
        failure = self._failed.get(request.key)
        if failure is None:
            failure = _FailedPlacement(
                this_round, request.urgent, request.may_interfere
            )
            self._failed[request.key] = failure
        failure.round = this_round
        failure.urgent, failure.may_interfere = request.urgent, request.may_interfere

    def record_full_check(self, request: PlacementRequest, now: float) -> None:
        """Record that a step was checked against all workers."""
        self._failed[request.key].fully_checked_at = now
