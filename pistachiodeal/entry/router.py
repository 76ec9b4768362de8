"""Routes HTTP requests to the operator API, the batch service or a service."""

from __future__ import annotations

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pistachiodeal.entry.dispatch import Dispatcher
from pistachiodeal.entry.protocols import TaskService
from pistachiodeal.exceptions import RequestError
from pistachiodeal.histograms import Histograms
from pistachiodeal.profiles.api import ProfileApi
from pistachiodeal.web.messages import WebRequest, WebResponse, build_json

OPERATORS = "-"
TASKS = "tasks"
HEALTH = "/-/health"
STATUS = "/-/status"
HISTOGRAMS = "/-/histograms"
PROFILE_PARTS = frozenset(("profiles", "services"))
BEARER = "bearer "
STEP = "entry.front"
OK = 200
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class RouterComponents:
    """The handlers that requests are routed to.

    :param read_status: builds the status document.
    :param is_draining: returns whether this process is shutting down.
    """

    operator_token: str
    dispatcher: Dispatcher
    batch: TaskService
    profiles: ProfileApi
    histograms: Histograms
    read_status: Callable[[], dict[str, Any]]
    is_draining: Callable[[], bool]


class HttpRouter:
    """Routes requests by the first segment of the path."""

    def __init__(self, components: RouterComponents) -> None:
        self._token = components.operator_token.encode()
        self._dispatcher = components.dispatcher
        self._batch = components.batch
        self._profiles = components.profiles
        self._histograms = components.histograms
        self._read_status = components.read_status
        self._is_draining = components.is_draining

    async def handle(self, request: WebRequest) -> WebResponse:
        """Answer one request.

        :raises RequestError: the web server turns it into a problem document.
        """
        path = request.path
        if not path.startswith("/"):
            raise RequestError(
                "the target is no path",
                code="bad_target",
                status=400,
                step=STEP,
            )
        first = path[1:].partition("/")[0]
        if first == OPERATORS:
            return await self._handle_operator(request)
        if first == TASKS:
            return await self._batch.handle(request)
        return await self._dispatcher.handle(first, request)

    async def _handle_operator(self, request: WebRequest) -> WebResponse:
        path = request.path
        if path == HEALTH:
            return self._answer_health()
        self._check_token(request)
        if path.removeprefix("/-/").partition("/")[0] in PROFILE_PARTS:
            return await self._profiles.handle(request)
        if path not in (STATUS, HISTOGRAMS):
            raise RequestError(
                f"no operators' page {path[:80]!r}",
                code="not_found",
                status=404,
                step=STEP,
            )
        if request.method not in ("GET", "HEAD"):
            raise RequestError(
                "only GET", code="method_not_allowed", status=405, step=STEP
            )
        if path == STATUS:
            return build_json(OK, self._read_status())
        return build_json(OK, await self._histograms.collect_document())

    def _answer_health(self) -> WebResponse:
        """Answer the load balancer's health check, which needs no token."""
        if self._is_draining():
            return build_json(UNAVAILABLE, {"health": "draining"})
        return build_json(OK, {"health": "ok"})

    def _check_token(self, request: WebRequest) -> None:
        given = request.header("authorization")
        scheme, token = given[: len(BEARER)], given[len(BEARER) :]
        # compare_digest runs in constant time; with == a token could be guessed
        # byte by byte from the response times.
        matches = hmac.compare_digest(token.encode(), self._token)
        if scheme.lower() != BEARER or not matches:
            raise RequestError(
                "a bearer token of an operator is needed",
                code="unauthenticated",
                status=401,
                step=STEP,
            )


def create_router(components: RouterComponents) -> HttpRouter:
    """Return the router of an entry's HTTP port."""
    return HttpRouter(components)
