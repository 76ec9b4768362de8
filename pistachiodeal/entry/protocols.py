"""Interface of the batch service that the entry process depends on."""

from __future__ import annotations

from typing import Any, Protocol

from pistachiodeal.batch.protocols import WorkerSession
from pistachiodeal.web.messages import WebRequest, WebResponse
from pistachiodeal.wire.messages import Directory, Refusal, Report, Request, Response
from pistachiodeal.wire.task_messages import StartRefused, TaskEnded


class TaskService(Protocol):
    """Owns this entry's partitions of the task queue."""

    async def run(self) -> None:
        """Run until cancelled."""

    async def drain(self) -> None:
        """Hand over the partitions and acquire no new ones."""

    async def handle(self, request: WebRequest) -> WebResponse:
        """Answer a caller's request about tasks."""

    async def handle_forwarded(self, request: Request) -> Response | Refusal:
        """Answer a request that another entry forwarded."""

    def session_opened(self, session: WorkerSession) -> None:
        """Handle a new link of an agent."""

    def session_closed(self, session: WorkerSession) -> None:
        """Handle the end of an agent's link, or its replacement by a newer one."""

    async def receive(
        self, session: WorkerSession, message: Report | StartRefused | TaskEnded
    ) -> None:
        """Handle an agent's message about tasks."""

    def directory(self) -> Directory:
        """Return the known entries and owners of partitions."""

    def status(self) -> dict[str, Any]:
        """Return the batch part of the status document."""
