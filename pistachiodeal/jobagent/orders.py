"""Orders of the leader that the runner's listing has not settled yet."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pistachiodeal.jobs.model import OrderState
from pistachiodeal.wire.job_messages import OrderOutcome


@dataclass(slots=True)
class Order:
    """A run that was ordered, or has to be settled, and is not listed.

    :param settled_at: when the runner answered the last call about it, boot clock; a
        listing asked for later than that tells what became of it.
    :param sent: whether the runner may have been asked to start it.
    :param reported_in: the report that carried its outcome, 0 before.
    """

    task: str
    run: int
    state: OrderState = OrderState.PENDING
    detail: str = ""
    settled_at: float = 0.0
    sent: bool = False
    started: bool = False
    reported_in: int = 0

    @property
    def unanswered(self) -> bool:
        """Tell whether the runner may have been asked, and has never answered."""
        pending = self.state is OrderState.PENDING
        return self.sent and pending and not self.settled_at


def list_outcomes(orders: Iterable[Order]) -> list[OrderOutcome]:
    """Return what the leader is told of orders."""
    return [
        OrderOutcome(order.task, order.run, order.state.value, order.detail)
        for order in orders
    ]
