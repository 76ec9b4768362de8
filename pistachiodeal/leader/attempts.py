"""Which steps found no worker: only workers that have changed are weighed again.

The load that this answers: hundreds of steps wait for hundreds of full workers. Between
two rounds of decisions a few workers report, and to weigh all of them for each step
again would take longer than the pause between two rounds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pistachiodeal.scheduling.placement import PlacementRequest
from pistachiodeal.scheduling.views import StepKey, WorkerView

# A step that waits is weighed against all workers again after this long, in case that
# something else has changed, such as what is known of its image; a line in the log says
# why it waits.
WHOLE_S = 2.0
# So many steps a round are weighed again for that reason alone. Without the limit all
# of them would come due again before a burst on a large fleet is through.
REPEATS_A_ROUND = 4


@dataclass(slots=True)
class _Attempt:
    """The last attempt to place a step, which found no worker.

    :param round: of the views that it was weighed against.
    :param urgent: as in the request; what it is allowed decides what fits.
    :param may_interfere: likewise.
    :param whole_at: when it was weighed against all workers last, boot clock.
    """

    round: int
    urgent: bool
    may_interfere: bool
    whole_at: float = 0.0


class Attempts:
    """Remembers failed attempts by step."""

    def __init__(self) -> None:
        self._failed: dict[StepKey, _Attempt] = {}
        self._repeats = 0

    def begin_round(self, keys: Iterable[StepKey]) -> None:
        """Forget the steps that wait no longer.

        :param keys: of all steps that wait.
        """
        self._repeats = 0
        failed = self._failed
        self._failed = {key: failed[key] for key in keys if key in failed}

    def is_due(self, request: PlacementRequest, now: float) -> bool:
        """Tell whether a step has to be weighed against all workers."""
        attempt = self._failed.get(request.key)
        if attempt is None:
            return True
        if (attempt.urgent, attempt.may_interfere) != (
            request.urgent,
            request.may_interfere,
        ):
            return True
        if now - attempt.whole_at < WHOLE_S or self._repeats >= REPEATS_A_ROUND:
            return False
        self._repeats += 1
        return True

    def list_changed(
        self, request: PlacementRequest, views: Iterable[WorkerView]
    ) -> list[WorkerView]:
        """Return the workers that have changed since the last attempt."""
        since = self._failed[request.key].round
        return [view for view in views if view.built_round > since]

    def note_failure(self, request: PlacementRequest, this_round: int) -> None:
        """Note that no worker of this round's views takes one more task of a step."""
        attempt = self._failed.get(request.key)
        if attempt is None:
            attempt = _Attempt(this_round, request.urgent, request.may_interfere)
            self._failed[request.key] = attempt
        attempt.round = this_round
        attempt.urgent, attempt.may_interfere = request.urgent, request.may_interfere

    def note_whole(self, request: PlacementRequest, now: float) -> None:
        """Note that all workers were weighed."""
        self._failed[request.key].whole_at = now
