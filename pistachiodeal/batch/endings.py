"""Messages by which agents end or refuse attempts, and their acknowledgements."""

from __future__ import annotations

from collections.abc import Sequence

from logbook import Logger

from pistachiodeal.batch.context import HostContext
from pistachiodeal.batch.decisions import decide_end, decide_refusal, is_current
from pistachiodeal.batch.host import PartitionHost
from pistachiodeal.batch.protocols import Outgoing, WorkerSession
from pistachiodeal.exceptions import Outcome
from pistachiodeal.model.resources import Resources
from pistachiodeal.model.tasks import TaskRecord
from pistachiodeal.store.protocols import RunState
from pistachiodeal.wire.task_messages import StartRefused, TaskAck, TaskEnded

log = Logger("batch")


class EndHandler:
    """Journals the ends of attempts; acknowledges only what is durable."""

    def __init__(self, context: HostContext) -> None:
        self._context = context

    async def end(
        self, host: PartitionHost, session: WorkerSession, ended: TaskEnded
    ) -> None:
        """Take an agent's :class:`TaskEnded`, which it repeats until acknowledged."""
        if not host.serving or host.is_locked(ended.task_id):
            return
        record = host.state.find(ended.task_id)
        if record is None or not is_current(record, ended.attempt, session.worker):
            await self._acknowledge_old(host, record, session, ended)
            return
        profile = self._context.find_profile(record.spec.profile)
        event = decide_end(record, ended, profile.max_attempts)
        if event is None:
            log.error("batch: unknown state {} from {}", ended.state, session.node)
            return

        run = host.runs.find(ended.task_id)
        size = run.placed.size if run else record.spec.declared
        if run is not None:
            host.runs.note_end_heard(run)

        def finish(outcome: Outcome) -> Sequence[Outgoing]:
            if outcome is not Outcome.RAN:
                return ()
            self._learn(record, session.worker, ended, size)
            ack = TaskAck(ended.task_id, ended.attempt)
            return (Outgoing(session, lambda: ack),)

        await host.propose([event], finish, len(ended.result))

    async def refuse(
        self, host: PartitionHost, session: WorkerSession, refused: StartRefused
    ) -> None:
        """Requeue an attempt that its agent never started."""
        self._context.workers.note_refused(session.worker)
        self._context.metrics.count("batch.refused")
        record = host.state.find(refused.task_id)
        if not is_current(record, refused.attempt, session.worker):
            return
        event = decide_refusal(refused)
        # A refusal is not repeated. Where it can't be journaled now, it is kept as
        # "over for certain"; otherwise the task would wait until its lease is over.
        run = host.runs.find(refused.task_id)
        if run is not None:
            host.runs.note_unsent(run)
        await host.propose([event])

    async def _acknowledge_old(
        self,
        host: PartitionHost,
        record: TaskRecord | None,
        session: WorkerSession,
        ended: TaskEnded,
    ) -> None:
        ack = Outgoing(session, lambda: TaskAck(ended.task_id, ended.attempt))
        if record is not None and (
            record.state.final or ended.attempt < record.attempt
        ):
            await host.emit(ack)
            return
        # An owner that was replaced in a freeze doesn't know of tasks and attempts
        # that came later. If it acknowledged those, the agent would forget a result
        # that nobody recorded. An empty row shows whether it is still the owner.
        if record is None:
            await host.propose(
                [], lambda outcome: (ack,) if outcome is Outcome.RAN else ()
            )

    def _learn(
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
