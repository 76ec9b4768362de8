"""Submits, cancels and finds tasks of a partition that is served here."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import curio

from pistachiodeal.batch.append_request import AppendRequest
from pistachiodeal.batch.context import BatchContext
from pistachiodeal.batch.events import CancelAsked, Submitted
from pistachiodeal.batch.partition_server import PartitionServer
from pistachiodeal.batch.protocols import OutgoingMessage
from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.model.tasks import TaskRecord, TaskSpec

MAX_WAITING_BYTES = 32 * 1024 * 1024
MAX_ADMITTING = 10_000
OUTCOME_WAIT_S = 2.0
CANCEL_WAIT_S = 1.0
QUEUE_RETRY_S = 5.0
RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """A durable task; ``created`` is False if the key was already known."""

    record: TaskRecord
    created: bool


class TaskAdmission:
    """Submits and cancels tasks; errors state the outcome as far as it is known."""

    def __init__(self, context: BatchContext) -> None:
        self._context = context
        self._admitting: dict[str, tuple[TaskSpec, AppendRequest]] = {}

    async def submit(self, server: PartitionServer, spec: TaskSpec) -> Admitted:
        """Admit a task and return once it is durable.

        :raises RequestError: with the outcome as far as it is known.
        """
        known = server.state.find(spec.task_id)
        if known is not None:
            if not server.state.matches(known, spec):
                raise _build_key_reused(spec.task_id)
            return Admitted(known, created=False)
        append = await self._join_or_propose(server, spec)
        await self._wait_until_settled(server, append, spec.task_id)
        record = server.state.find(spec.task_id) or TaskRecord(spec)
        self._context.metrics.count("batch.submitted")
        return Admitted(record, created=True)

    async def cancel(self, server: PartitionServer, task_id: str) -> TaskRecord:
        """Cancel a task and return its record, final if it ended in time.

        :raises RequestError: the task is unknown, or the cancellation failed, with
            the outcome as far as it is known.
        """
        under_way = self._admitting.get(task_id)
        if under_way is not None:
            # Its caller may have given up, but the append may still take effect.
            await self._wait_until_settled(server, under_way[1], task_id)
        record = find_task(server, task_id)
        if not record.state.final and not record.cancel_asked:
            await self._request_cancel(server, record)
        if not record.state.final:
            await server.waiters.wait(task_id, CANCEL_WAIT_S)
        return record

    async def _join_or_propose(
        self, server: PartitionServer, spec: TaskSpec
    ) -> AppendRequest:
        under_way = self._admitting.get(spec.task_id)
        if under_way is not None:
            if under_way[0] != spec:
                raise _build_key_reused(spec.task_id)
            return under_way[1]
        self._check_capacity(server, spec)

        def finish(outcome: Outcome) -> Sequence[OutgoingMessage]:
            self._admitting.pop(spec.task_id, None)
            return ()

        append = server.prepare([Submitted(spec)], finish, len(spec.payload))
        if append is None:
            raise _build_unavailable("the partition is being handed over")
        self._admitting[spec.task_id] = (spec, append)
        await server.submit(append)
        return append

    def _check_capacity(self, server: PartitionServer, spec: TaskSpec) -> None:
        if not server.has_authority or server.stalled:
            raise _build_unavailable()
        waiting = server.state.waiting
        limit = self._context.settings.batch.queue_limit
        full = len(waiting) + len(self._admitting) >= limit
        large = waiting.total_bytes + len(spec.payload) > MAX_WAITING_BYTES
        if full or large or len(self._admitting) >= MAX_ADMITTING:
            raise RequestError(
                "too many tasks are waiting",
                code="queue_full",
                status=503,
                retry_after=QUEUE_RETRY_S,
                step="batch.submit",
            )
        workers = self._context.workers
        if workers.startup_complete and not workers.could_fit(spec.declared):
            raise RequestError(
                workers.explain_misfit(spec.declared),
                code="never_fits",
                status=422,
                step="batch.submit",
            )

    async def _request_cancel(
        self, server: PartitionServer, record: TaskRecord
    ) -> None:
        task_id = record.spec.task_id
        if not server.has_authority or server.stalled:
            raise _build_unavailable()

        def finish(outcome: Outcome) -> Sequence[OutgoingMessage]:
            return self._build_stop(server, task_id) if outcome is Outcome.RAN else ()

        append = await server.propose([CancelAsked(task_id)], finish)
        if append is None:
            raise RequestError(
                "another change of this task is in progress",
                code="in_progress",
                status=409,
                retry_after=RETRY_S,
                step="batch.cancel",
            )
        await self._wait_until_settled(server, append, task_id)

    def _build_stop(
        self, server: PartitionServer, task_id: str
    ) -> Sequence[OutgoingMessage]:
        run = server.runs.find(task_id)
        if run is None:
            return ()
        run.stopping = True
        session = self._context.workers.find_session(run.placed.worker)
        if session is None:
            return ()
        stop = server.runs.request_stop(run, session)
        return (OutgoingMessage(session, lambda: stop),)

    async def _wait_until_settled(
        self, server: PartitionServer, append: AppendRequest, task_id: str
    ) -> None:
        await curio.ignore_after(OUTCOME_WAIT_S, append.settled.wait)
        if append.outcome is None and not await server.withdraw(append):
            raise _build_unknown(task_id)
        if append.outcome is Outcome.UNKNOWN:
            raise _build_unknown(task_id)
        if append.outcome is Outcome.NOT_RUN:
            raise _build_unavailable(retry_after=append.retry_after)


def find_task(server: PartitionServer, task_id: str) -> TaskRecord:
    """Return the record of a task.

    :raises RequestError: the task is unknown.
    """
    record = server.state.find(task_id)
    if record is None and not server.has_authority:
        raise _build_unavailable()
    if record is None:
        raise RequestError(
            f"no task {task_id}", code="unknown_task", status=404, step="batch.find"
        )
    return record


def _build_unknown(task_id: str) -> RequestError:
    return RequestError(
        f"unknown whether this took effect: check task {task_id}",
        code="store_uncertain",
        status=503,
        outcome=Outcome.UNKNOWN,
        retry_after=RETRY_S,
        step="batch.append",
    )


def _build_unavailable(
    detail: str = "the table is unavailable", retry_after: float = RETRY_S
) -> RequestError:
    return RequestError(
        detail,
        code="store_unavailable",
        status=503,
        retry_after=retry_after,
        step="batch.append",
    )


def _build_key_reused(task_id: str) -> RequestError:
    return RequestError(
        f"the key was used for task {task_id} with a different request",
        code="key_reused",
        status=422,
        step="batch.submit",
    )
