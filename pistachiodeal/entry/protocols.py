"""What the entry process needs of the service that holds the batch tasks."""

from __future__ import annotations

from typing import Any, Protocol

from pistachiodeal.batch.protocols import WorkerSession
from pistachiodeal.web.messages import WebRequest, WebResponse
from pistachiodeal.wire.messages import Directory, Refusal, Report, Request, Response
from pistachiodeal.wire.task_messages import StartRefused, TaskEnded


class TaskService(Protocol):
    """Holds this entry's partitions of the task queue."""

    async def run(self) -> None:
        """Work until cancelled."""

    async def drain(self) -> None:
        """Hand the partitions over and take no new ones."""

    async def handle(self, request: WebRequest) -> WebResponse:
        """Answer a caller's request about tasks."""

    async def handle_forwarded(self, request: Request) -> Response | Refusal:
        """Answer a request that another entry handed on."""

    def session_opened(self, session: WorkerSession) -> None:
        """Note a new link of an agent."""

    def session_closed(self, session: WorkerSession) -> None:
        """Note the end of an agent's link, or that a newer one replaces it."""

    async def receive(
        self, session: WorkerSession, message: Report | StartRefused | TaskEnded
    ) -> None:
        """Take an agent's message about tasks."""

    def directory(self) -> Directory:
        """Return the entries and the partitions' owners as known now."""

    def status(self) -> dict[str, Any]:
        """Return figures for operators."""
