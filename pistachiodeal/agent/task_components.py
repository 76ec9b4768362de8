"""Creates and connects the components that run batch tasks."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.agent.keyed_executor import KeyedExecutor
from pistachiodeal.agent.leases import LeaseRenewer, LeaseTracker, RejectedAttempts
from pistachiodeal.agent.ledger import Ledger
from pistachiodeal.agent.outbox import Outbox, OwnerRoute, create_outbox
from pistachiodeal.agent.owner_messages import OwnerMessageHandler
from pistachiodeal.agent.run_records import RunRecordTable
from pistachiodeal.agent.starting import RunStarter
from pistachiodeal.agent.termination import RunTerminator
from pistachiodeal.agent.watching import RunWatcher
from pistachiodeal.clock import Clock
from pistachiodeal.config.agent import RuntimeSettings
from pistachiodeal.metrics import Metrics
from pistachiodeal.store.protocols import ObjectStore, WorkerRuntime

MAX_WAITING_ACTIONS = 4096


@dataclass(frozen=True, slots=True)
class TaskComponents:
    """The components of a task manager, which share one table of runs."""

    table: RunRecordTable
    lease_tracker: LeaseTracker
    outbox: Outbox
    executor: KeyedExecutor
    terminator: RunTerminator
    renewer: LeaseRenewer
    watcher: RunWatcher
    messages: OwnerMessageHandler


def create_task_components(
    runtime: WorkerRuntime,
    objects: ObjectStore,
    route: OwnerRoute,
    ledger: Ledger,
    *,
    settings: RuntimeSettings,
    metrics: Metrics,
    clock: Clock,
) -> TaskComponents:
    """Create the components around an empty table of runs."""
    table = RunRecordTable(ledger)
    lease_tracker = LeaseTracker()
    rejected_attempts = RejectedAttempts()
    outbox = create_outbox(route, objects, clock)
    executor = KeyedExecutor(MAX_WAITING_ACTIONS)
    terminator = RunTerminator(
        runtime=runtime,
        objects=objects,
        table=table,
        outbox=outbox,
        metrics=metrics,
        clock=clock,
    )
    starter = RunStarter(
        runtime=runtime,
        objects=objects,
        table=table,
        lease_tracker=lease_tracker,
        rejected_attempts=rejected_attempts,
        outbox=outbox,
        clock=clock,
    )
    renewer = LeaseRenewer(
        runtime, lease_tracker, table.runs, retry_s=settings.poll_s, clock=clock
    )
    watcher = RunWatcher(
        runtime=runtime,
        table=table,
        lease_tracker=lease_tracker,
        rejected_attempts=rejected_attempts,
        starter=starter,
        terminator=terminator,
        executor=executor,
        settings=settings,
        clock=clock,
    )
    messages = OwnerMessageHandler(
        table=table,
        lease_tracker=lease_tracker,
        rejected_attempts=rejected_attempts,
        outbox=outbox,
        executor=executor,
        starter=starter,
        terminator=terminator,
        renewer=renewer,
        metrics=metrics,
    )
    return TaskComponents(
        table, lease_tracker, outbox, executor, terminator, renewer, watcher, messages
    )
