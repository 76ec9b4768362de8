"""Tracks the attempts of one call and the error its caller receives."""

from __future__ import annotations

from logbook import Logger

from pistachiodeal.entry.calls import Call
from pistachiodeal.entry.pending import LinkLost, PendingRequest
from pistachiodeal.entry.sessions import Session
from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.wire.messages import Failure, Refusal

log = Logger("entry")

STEP_SEND = "entry.send"
STEP_ROUTE = "entry.route"
STEP_ACCEPT = "agent.accept"
REFUSED = "refused"
AGENT_LOST = "agent_lost"
DEADLINE = "deadline"
INTERNAL = "internal"
OUTCOMES = {str(outcome): outcome for outcome in Outcome}
MIN_RETRY_AFTER_S = 0.05


class CallAttempts:
    """Tracks the attempts of one call and the worst outcome that is possible.

    A later refusal doesn't cancel an earlier attempt whose answer was lost. If
    only the last refusal counted, the caller would see ``not_run`` for work that
    ran; so the outcome only ever gets worse.

    :ivar count: how often the call was sent to an agent.
    :ivar tried: nodes that were tried.
    :ivar error: the error for the caller if there is no further attempt.
    """

    def __init__(self, call: Call) -> None:
        self.call = call
        self.count = 0
        self.tried: set[str] = set()
        self.outcome = Outcome.NOT_RUN
        self.error: RequestError | None = None
        self.session: Session | None = None
        self.pending: PendingRequest | None = None
        self._retry_after: float | None = None

    def begin(self, session: Session, pending: PendingRequest) -> None:
        """Record an attempt that is about to be sent to an agent."""
        self.count += 1
        self.tried.add(session.node)
        self.session = session
        self.pending = pending

    def end(self) -> None:
        """Record that the attempt was answered, or that no answer will come."""
        self.session = None
        self.pending = None

    def record_unsent(self, node: str, detail: str) -> None:
        """Record that the request was never sent, which counts as a refusal."""
        self.tried.add(node)
        log.debug("entry: request not sent to {}: {}", node, detail)
        detail = "the link to the agent is closed"
        self.error = self._build(detail, AGENT_LOST, 503, STEP_SEND, node)

    def record_answer(self, node: str, answer: Refusal | Failure | LinkLost) -> None:
        """Record an answer that is not a response."""
        if isinstance(answer, Refusal):
            self._record_refusal(node, answer)
        elif isinstance(answer, Failure):
            self._record_failure(node, answer)
        else:
            self._record_link_loss(answer)

    def build_deadline_error(self) -> RequestError:
        """Return the error for a call whose deadline has passed."""
        node = self._abandon()
        return self._build("no answer in time", DEADLINE, 504, STEP_ROUTE, node)

    def build_internal_error(self, detail: str) -> RequestError:
        """Return the error for a call that failed on a bug in this process."""
        node = self._abandon()
        return self._build(detail, INTERNAL, 500, STEP_ROUTE, node)

    def _abandon(self) -> str:
        """Mark an open attempt's outcome unknown; return its node, empty if none."""
        if self.session is None:
            return ""
        self._worsen(Outcome.UNKNOWN)
        return self.session.node

    def _record_refusal(self, node: str, refusal: Refusal) -> None:
        """Record a refusal; the caller gets the shortest retry time of them all."""
        retry_after = max(MIN_RETRY_AFTER_S, refusal.retry_after_ms / 1000.0)
        if self._retry_after is None or retry_after < self._retry_after:
            self._retry_after = retry_after
        code = refusal.code or REFUSED
        self.error = self._build(refusal.detail, code, 503, STEP_ACCEPT, node)

    def _record_link_loss(self, lost: LinkLost) -> None:
        """Record that the link broke while the answer was pending."""
        self._worsen(Outcome.UNKNOWN)
        log.debug("entry: link to {} lost: {}", lost.peer, lost.detail)
        detail = "the link to the agent broke"
        self.error = self._build(detail, AGENT_LOST, 502, STEP_SEND, lost.peer)

    def _record_failure(self, node: str, failure: Failure) -> None:
        """Record that a runner got the request and gave no complete answer."""
        self._worsen(OUTCOMES.get(failure.outcome, Outcome.UNKNOWN))
        # The agent's detail holds internal addresses, which callers must not see.
        log.debug("entry: failure at {}: {}", node, failure.detail)
        detail = "the runner gave no whole answer"
        self.error = self._build(detail, failure.code, 502, failure.step, node)

    def _worsen(self, outcome: Outcome) -> None:
        if self.outcome is not Outcome.RAN and outcome is not Outcome.NOT_RUN:
            self.outcome = outcome

    def _build(
        self, detail: str, code: str, status: int, step: str, peer: str
    ) -> RequestError:
        retry_after = None
        if self.outcome is Outcome.NOT_RUN:
            retry_after = self._retry_after or MIN_RETRY_AFTER_S
        return RequestError(
            detail,
            code=code,
            status=status,
            outcome=self.outcome,
            retry_after=retry_after,
            step=step,
            peer=peer,
        )
