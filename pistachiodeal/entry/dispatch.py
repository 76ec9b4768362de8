"""Dispatches interactive requests to agents and returns their answers."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import curio
from logbook import Logger

from pistachiodeal.claims.manager import Claimed, ClaimManager, Replayed
from pistachiodeal.config.entry import RequestSettings
from pistachiodeal.entry.attempts import DEADLINE, STEP_ROUTE, CallAttempts
from pistachiodeal.entry.calls import (
    Call,
    parse_call,
    strip_request_headers,
    strip_response_headers,
)
from pistachiodeal.entry.pending import Answer
from pistachiodeal.entry.services import ServiceTable
from pistachiodeal.entry.sessions import SessionTable
from pistachiodeal.entry.targets import TargetTable
from pistachiodeal.exceptions import LinkClosedError, Outcome, RequestError
from pistachiodeal.histograms import Histograms
from pistachiodeal.metrics import Metrics
from pistachiodeal.model.policies import Profile
from pistachiodeal.routing.admission import (
    CallerLimits,
    create_caller_limits,
    estimate_wait,
)
from pistachiodeal.routing.candidate import Candidate
from pistachiodeal.routing.choice import Chooser
from pistachiodeal.web.messages import WebRequest, WebResponse
from pistachiodeal.wire.messages import Refusal, Request, Response, Withdraw

log = Logger("entry")

MIN_BUDGET_S = 0.001
SERVER_FAILURE = 500


@dataclass(frozen=True, slots=True)
class DispatcherComponents:
    """The collaborators of a dispatcher.

    :param claim_timeout: seconds that claiming a key may take.
    """

    settings: RequestSettings
    sessions: SessionTable
    targets: TargetTable
    services: ServiceTable
    claims: ClaimManager
    chooser: Chooser
    metrics: Metrics
    histograms: Histograms
    claim_timeout: float


class Dispatcher:
    """Routes callers' requests to agents and returns the answers."""

    def __init__(
        self, components: DispatcherComponents, clock: Callable[[], float]
    ) -> None:
        self._settings = components.settings
        self._sessions = components.sessions
        self._targets = components.targets
        self._services = components.services
        self._claims = components.claims
        self._chooser = components.chooser
        self._metrics = components.metrics
        self._histograms = components.histograms
        self._claim_timeout = components.claim_timeout
        self._clock = clock
        self._callers: CallerLimits = create_caller_limits(
            components.settings.caller_in_flight
        )

    @property
    def in_flight(self) -> int:
        """Return how many admitted requests have no answer yet."""
        return self._callers.total

    async def handle(self, service: str, request: WebRequest) -> WebResponse:
        """Return a runner's complete answer.

        :raises RequestError: there is none; carries the known outcome.
        """
        started = self._clock()
        call = parse_call(service, request, self._settings, started)
        profile = self._services.find_profile(service)
        self._admit(call)
        try:
            response = await self._answer(call, profile)
            self._histograms.record(call.caller, service, self._clock() - started)
            self._metrics.count("entry.answered")
            return response
        except RequestError as error:
            self._record_error(call, error, self._clock() - started)
            raise
        finally:
            self._callers.leave(call.caller, self._clock() - started)

    def _admit(self, call: Call) -> None:
        if self._callers.enter(call.caller):
            return
        self._metrics.count("entry.caller_limit")
        raise RequestError(
            f"caller {call.caller} has too many open requests",
            code="caller_limit",
            status=429,
            retry_after=self._callers.estimate_retry_after(),
            step="entry.admit",
        )

    def _record_error(self, call: Call, error: RequestError, seconds: float) -> None:
        self._metrics.count(f"entry.problem.{error.code}")
        self._metrics.count(f"entry.outcome.{error.outcome}")
        if error.outcome is not Outcome.NOT_RUN or error.code == DEADLINE:
            # Fast refusals would lower the latency percentiles of requests that ran.
            self._histograms.record(call.caller, call.service, seconds)

    async def _answer(self, call: Call, profile: Profile) -> WebResponse:
        if call.key and not call.is_repeatable(profile):
            return await self._answer_with_claim(call, profile)
        return await self._answer_before_deadline(call, profile)

    async def _answer_with_claim(self, call: Call, profile: Profile) -> WebResponse:
        """Claim the key first, so that no other entry runs this request again."""
        timeout = min(self._claim_timeout, call.deadline - self._clock())
        claim = await self._claims.claim(
            call.service, call.claim_key, call.compute_fingerprint(), timeout
        )
        if isinstance(claim, Replayed):
            self._metrics.count("entry.replayed")
            return claim.response
        try:
            response = await self._answer_before_deadline(call, profile)
        except RequestError as error:
            await self._close_claim(claim, error)
            raise
        except BaseException:
            # After a cancelled connection the request may still run. If its claim
            # stayed open, retries would be answered "in progress" for ever.
            await self._claims.mark_unknown(claim)
            raise
        await self._claims.record(claim, response)
        return response

    async def _close_claim(self, claim: Claimed, error: RequestError) -> None:
        if error.outcome is Outcome.NOT_RUN:
            await self._claims.release(claim)
        else:
            await self._claims.mark_unknown(claim)

    async def _answer_before_deadline(
        self, call: Call, profile: Profile
    ) -> WebResponse:
        attempts = CallAttempts(call)
        left = call.deadline - self._clock()
        if left <= 0:
            raise attempts.build_deadline_error()
        try:
            async with curio.timeout_after(left):
                return await self._attempt_until_answered(attempts, profile)
        except curio.TaskTimeout:
            response = await self._withdraw(attempts)
            if response is None:
                raise attempts.build_deadline_error() from None
            return response
        except RequestError:
            raise
        except Exception as error:
            # The web server reports ``not_run`` for any unknown error, also for
            # one raised after a runner had received the request.
            log.exception("entry: dispatch failed")
            raise attempts.build_internal_error(type(error).__name__) from error

    async def _withdraw(self, attempts: CallAttempts) -> WebResponse | None:
        """Withdraw the open attempt; return its answer if it has just arrived."""
        session, pending = attempts.session, attempts.pending
        if session is None or pending is None:
            return None
        answer = pending.answer
        if answer is None:
            await session.enqueue(Withdraw(pending.request_id))
            return None
        attempts.end()
        if isinstance(answer, Response):
            return self._build_response(attempts, answer)
        attempts.record_answer(session.node, answer)
        return None

    async def _attempt_until_answered(
        self, attempts: CallAttempts, profile: Profile
    ) -> WebResponse:
        budget = self._services.find_budget(attempts.call.service, profile)
        budget.record_request()
        while True:
            candidate = self._choose(attempts)
            answer = await self._attempt(attempts, candidate)
            if isinstance(answer, Response):
                return self._build_response(attempts, answer)
            may_run_again = attempts.call.is_repeatable(profile)
            if attempts.outcome is not Outcome.NOT_RUN and not may_run_again:
                break
            if attempts.count >= self._settings.attempts or not budget.try_spend():
                break
            self._metrics.count("entry.retries")
        assert attempts.error is not None
        raise attempts.error

    def _choose(self, attempts: CallAttempts) -> Candidate:
        candidates = self._targets.find(attempts.call.service)
        if attempts.tried:
            candidates = [one for one in candidates if one.node not in attempts.tried]
        now = self._clock()
        chosen = self._chooser.choose(candidates, now)
        if chosen is None:
            raise attempts.error or self._services.build_no_runner(
                attempts.call.service
            )
        left = attempts.call.deadline - now
        if estimate_wait(chosen) <= left:
            return chosen
        return self._choose_shortest_wait(attempts, candidates, left)

    def _choose_shortest_wait(
        self, attempts: CallAttempts, candidates: Sequence[Candidate], left: float
    ) -> Candidate:
        usable = [one for one in candidates if one.slots > 0]
        shortest = min(usable, key=estimate_wait)
        wait = estimate_wait(shortest)
        if wait <= left:
            return shortest
        raise attempts.error or RequestError(
            f"a slot is free in {wait:.3f} s at the earliest",
            code="overloaded",
            status=503,
            retry_after=wait - left,
            step=STEP_ROUTE,
        )

    async def _attempt(
        self, attempts: CallAttempts, candidate: Candidate
    ) -> Answer | None:
        """Send the call to one agent; return its answer, None if it was not sent."""
        session = self._sessions.get(candidate.node)
        if session is None:
            attempts.record_unsent(candidate.node, "no link to the agent")
            return None
        pending = session.open_request()
        candidate.outstanding += 1
        try:
            message = self._build_request(attempts.call, pending.request_id)
            attempts.begin(session, pending)
            try:
                await session.send(message)
            except LinkClosedError as error:
                attempts.end()
                attempts.record_unsent(candidate.node, error.detail)
                return None
            answer = await pending.wait()
        finally:
            candidate.outstanding -= 1
            session.close_request(pending)
        attempts.end()
        self._record_answer(attempts, candidate, answer)
        return answer

    def _record_answer(
        self, attempts: CallAttempts, candidate: Candidate, answer: Answer
    ) -> None:
        now = self._clock()
        if isinstance(answer, Response):
            candidate.record_answer()
            if answer.status >= SERVER_FAILURE:
                candidate.record_failure(now)
            return
        if isinstance(answer, Refusal):
            retry_after = answer.retry_after_ms / 1000.0
            candidate.record_refusal(now, retry_after, random.random())
        else:
            candidate.record_failure(now)
        attempts.record_answer(candidate.node, answer)

    def _build_request(self, call: Call, request_id: int) -> Request:
        left = max(MIN_BUDGET_S, call.deadline - self._clock())
        return Request(
            request_id=request_id,
            service=call.service,
            caller=call.caller,
            method=call.request.method,
            target=call.request.target,
            headers=strip_request_headers(call.request.headers),
            body=call.request.body,
            budget_ms=int(left * 1000),
        )

    def _build_response(self, attempts: CallAttempts, answer: Response) -> WebResponse:
        method = attempts.call.request.method
        headers = strip_response_headers(answer.headers, method)
        return WebResponse(answer.status, headers, answer.body)


def create_dispatcher(
    components: DispatcherComponents, clock: Callable[[], float] = time.monotonic
) -> Dispatcher:
    """Return a dispatcher without open requests."""
    return Dispatcher(components, clock)
