"""Handles the messages by which agents report ended or refused attempts."""

from __future__ import annotations

from collections.abc import Sequence

from logbook import Logger

from pistachiodeal.batch.context import BatchContext
from pistachiodeal.batch.decisions import decide_end, decide_refusal, is_current
from pistachiodeal.batch.partition_server import PartitionServer
from pistachiodeal.batch.protocols import OutgoingMessage, WorkerSession
from pistachiodeal.exceptions import Outcome
from pistachiodeal.model.resources import Resources
from pistachiodeal.model.tasks import TaskRecord
from pistachiodeal.store.protocols import RunState
from pistachiodeal.wire.task_messages import StartRefused, TaskAck, TaskEnded

log = Logger("batch")


class AttemptEndHandler:
    """Journals the ends of attempts and acknowledges them once they are durable."""

    def __init__(self, context: BatchContext) -> None:
        self._context = context

    async def handle_ended(
        self, server: PartitionServer, session: WorkerSession, ended: TaskEnded
    ) -> None:
        """Handle a :class:`TaskEnded`, which agents repeat until acknowledged."""
        if not server.serving or server.is_locked(ended.task_id):
            return
        record = server.state.find(ended.task_id)
        if record is None or not is_current(record, ended.attempt, session.worker):
            await self._acknowledge_stale(server, record, session, ended)
            return
        profile = self._context.find_profile(record.spec.profile)
        event = decide_end(record, ended, profile.max_attempts)
        if event is None:
            log.error(
                "batch: unknown run state {} reported by {}", ended.state, session.node
            )
            return

        run = server.runs.find(ended.task_id)
        size = run.placed.size if run else record.spec.declared
        if run is not None:
            server.runs.record_end_reported(run)

        def finish(outcome: Outcome) -> Sequence[OutgoingMessage]:
            if outcome is not Outcome.RAN:
                return ()
            self._update_models(record, session.worker, ended, size)
            ack = TaskAck(ended.task_id, ended.attempt)
            return (OutgoingMessage(session, lambda: ack),)

        await server.propose([event], finish, len(ended.result))

    async def handle_refused(
        self, server: PartitionServer, session: WorkerSession, refused: StartRefused
    ) -> None:
        """Requeue an attempt that its agent never started."""
        self._context.workers.record_refusal(session.worker)
        self._context.metrics.count("batch.refused")
        record = server.state.find(refused.task_id)
        if not is_current(record, refused.attempt, session.worker):
            return
        event = decide_refusal(refused)
        # Agents do not repeat a refusal. The run is marked as never started, so that
        # it is requeued even if the refusal cannot be journaled now; otherwise the
        # task would wait until its lease expires.
        run = server.runs.find(refused.task_id)
        if run is not None:
            server.runs.mark_unsent(run)
        await server.propose([event])

    async def _acknowledge_stale(
        self,
        server: PartitionServer,
        record: TaskRecord | None,
        session: WorkerSession,
        ended: TaskEnded,
    ) -> None:
        ack = OutgoingMessage(session, lambda: TaskAck(ended.task_id, ended.attempt))
        if record is not None and (
            record.state.final or ended.attempt < record.attempt
        ):
            await server.enqueue_message(ack)
            return
        # An owner that was replaced while its process was frozen does not know tasks
        # and attempts that came later. If it acknowledged their ends, the agent would
        # discard a result that nobody recorded. Committing an empty row shows whether
        # this entry is still the owner.
        if record is None:
            await server.propose(
                [], lambda outcome: (ack,) if outcome is Outcome.RAN else ()
            )

    def _update_models(
        self, record: TaskRecord, worker: str, ended: TaskEnded, size: Resources
    ) -> None:
        context = self._context
        spec = record.spec
        context.metrics.count(f"batch.ended.{ended.state}")
        if ended.state not in (RunState.FINISHED, RunState.FAILED):
            return
        succeeded = ended.state == RunState.FINISHED
        context.health.record(worker, spec.kind, succeeded, context.clock())
        if succeeded:
            run_s = ended.run_ms / 1000
            context.sizes.observe(spec.team, spec.kind, ended.used, run_s, size)
