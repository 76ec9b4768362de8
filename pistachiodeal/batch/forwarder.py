"""Forwards requests to the owners of partitions, with one link to each peer entry."""

from __future__ import annotations

import time
from contextlib import suppress
from dataclasses import dataclass, field

import curio
from logbook import Logger

from pistachiodeal.exceptions import (
    AuthenticationError,
    LinkClosedError,
    Outcome,
    ProtocolError,
    RequestError,
)
from pistachiodeal.supervisor import compute_backoff
from pistachiodeal.web.messages import WebRequest, WebResponse
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.link import Link, LinkTimings
from pistachiodeal.wire.messages import (
    Failure,
    Message,
    Refusal,
    Request,
    Response,
)
from pistachiodeal.wire.opening import dial_link

log = Logger("batch")

TASKS_SERVICE = "@tasks"
MAX_PENDING_REQUESTS = 2_000
MAX_PEERS = 256
MILLI = 1_000


@dataclass(eq=False, slots=True)
class _Pending:
    done: curio.Event = field(default_factory=curio.Event)
    answer: Response | Refusal | Failure | None = None


class PeerLink:
    """A link to another entry, kept up while requests use it."""

    def __init__(self, address: str, identity: Identity, secret: str) -> None:
        self._address = address
        self._identity = identity
        self._secret = secret
        self._link: Link | None = None
        self._connected = curio.Event()
        self._pending: dict[int, _Pending] = {}
        self._next_id = 1
        self._recently_used = True

    async def run(self, timings: LinkTimings) -> None:
        """Keep the link up; return when it is lost and no call used it meanwhile."""
        failures = 0
        while self._recently_used:
            self._recently_used = False
            try:
                async with dial_link(
                    self._address, self._identity, self._secret, timings
                ) as link:
                    failures = 0
                    await self._serve(link)
            except (LinkClosedError, ProtocolError, AuthenticationError) as error:
                failures += 1
                log.info("batch: link to {} lost: {}", self._address, error)
                await curio.sleep(compute_backoff(failures))

    async def call(self, request: WebRequest, timeout: float) -> WebResponse:
        """Forward a request to the peer and return its response.

        :param timeout: seconds to wait for the response, of which at most half are
            spent on waiting for the link.
        :raises RequestError: its outcome is ``not_run`` only if the peer cannot have
            received the request.
        """
        self._recently_used = True
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            raise self._build_error("overloaded", "too many open requests to this peer")
        deadline = time.monotonic() + timeout
        link = await self._wait_for_link(timeout)
        left = max(0.0, deadline - time.monotonic())
        request_id = self._next_id
        self._next_id += 1
        pending = self._pending[request_id] = _Pending()
        try:
            await link.send(_build_request(request_id, request, left))
            await curio.ignore_after(left, pending.done.wait)
        except LinkClosedError:
            raise self._build_error("owner_unreachable", "link closed") from None
        finally:
            del self._pending[request_id]
        return self._read_answer(pending.answer)

    async def _wait_for_link(self, timeout: float) -> Link:
        if self._link is None:
            await curio.ignore_after(timeout / 2, self._connected.wait)
        if self._link is None:
            raise self._build_error("owner_unreachable", "no link to the owner")
        return self._link

    async def _serve(self, link: Link) -> None:
        self._link = link
        await self._connected.set()
        try:
            while True:
                await self._dispatch(await link.receive())
        finally:
            self._link = None
            self._connected.clear()
            for pending in list(self._pending.values()):
                await pending.done.set()

    async def _dispatch(self, message: Message) -> None:
        if not isinstance(message, Response | Refusal | Failure):
            return
        # A response that no caller waits for any more is dropped: request ids are
        # never reused, so it cannot reach another caller.
        pending = self._pending.get(message.request_id)
        if pending is not None:
            pending.answer = message
            await pending.done.set()

    def _read_answer(self, answer: Response | Refusal | Failure | None) -> WebResponse:
        if isinstance(answer, Response):
            return WebResponse(answer.status, answer.headers, answer.body)
        if isinstance(answer, Refusal):
            raise self._build_error(
                answer.code, answer.detail, answer.retry_after_ms / MILLI
            )
        error = self._build_error(
            "owner_lost", "the owner did not return a complete response"
        )
        error.outcome = Outcome.UNKNOWN
        raise error

    def _build_error(
        self, code: str, detail: str, retry_after: float = 1.0
    ) -> RequestError:
        return RequestError(
            detail,
            code=code,
            status=503,
            retry_after=retry_after,
            step="batch.forward",
            peer=self._address,
        )


class Forwarder:
    """Forwards requests to other entries; opens a link when it is first needed."""

    def __init__(self, identity: Identity, secret: str, timings: LinkTimings) -> None:
        self._identity = identity
        self._secret = secret
        self._timings = timings
        self._peers: dict[str, PeerLink] = {}
        self._tasks: dict[str, curio.Task] = {}
        self._closed = False

    async def run(self) -> None:
        """Run until cancelled, then close all links."""
        try:
            await curio.Event().wait()
        finally:
            self._closed = True
            for task in list(self._tasks.values()):
                await task.cancel()

    async def call(
        self, address: str, request: WebRequest, timeout: float
    ) -> WebResponse:
        """Forward a request to the entry at ``ip:port``.

        :raises RequestError: with the outcome as far as it is known.
        """
        peer = self._peers.get(address)
        if peer is None:
            peer = await self._add(address)
        return await peer.call(request, timeout)

    async def _add(self, address: str) -> PeerLink:
        if self._closed or len(self._peers) >= MAX_PEERS:
            raise RequestError(
                "no link to the owner", code="owner_unreachable", status=503
            )
        peer = self._peers[address] = PeerLink(address, self._identity, self._secret)
        self._tasks[address] = await curio.spawn(
            self._run_peer, address, peer, daemon=True
        )
        return peer

    async def _run_peer(self, address: str, peer: PeerLink) -> None:
        try:
            await peer.run(self._timings)
        except Exception as error:
            log.error("batch: link to {} failed: {!r}", address, error)
        finally:
            with suppress(KeyError):
                del self._peers[address]
                del self._tasks[address]


def _build_request(request_id: int, request: WebRequest, timeout: float) -> Request:
    return Request(
        request_id=request_id,
        service=TASKS_SERVICE,
        caller=request.header("pistachiodeal-caller"),
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        budget_ms=int(timeout * MILLI),
    )
