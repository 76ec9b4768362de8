"""Orders of the leader that no listing of the runner has settled yet."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pistachiodeal.jobs.model import OrderState
from pistachiodeal.wire.job_messages import OrderOutcome


@dataclass(slots=True)
class Order:
    """The state of a run that was ordered, or has to be settled, and is not listed.

    :param settled_at: when the runner answered the last call about the run, seconds of
        the boot clock; a listing requested after that shows the outcome.
    :param sent: whether a call to start the run may have been sent.
    :param started: whether the runner has confirmed the start.
    :param reported_in: number of the report that carried the outcome, 0 before.
    """

    task: str
    run: int
    state: OrderState = OrderState.PENDING
    detail: str = ""
    settled_at: float = 0.0
    sent: bool = False
    started: bool = False
    reported_in: int = 0

    def is_unsettled(self, *, listed: bool) -> bool:
        """Return whether the run may still be started by the runner's next incarnation.

        :param listed: whether the present incarnation has listed its runs.
        """
        pending = self.state is OrderState.PENDING
        return self.sent and pending and not (listed and self.settled_at)


def list_outcomes(orders: Iterable[Order]) -> list[OrderOutcome]:
    """Return the outcomes of orders, as reported to the leader."""
    return [
        OrderOutcome(order.task, order.run, order.state.value, order.detail)
        for order in orders
    ]
