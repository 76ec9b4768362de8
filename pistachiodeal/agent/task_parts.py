"""Creates and connects the components that run batch tasks."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.agent.eviction import RunEnder
from pistachiodeal.agent.held_runs import HeldRunTable
from pistachiodeal.agent.leases import BarredAttempts, LeaseBook, Renewer
from pistachiodeal.agent.ledger import Ledger
from pistachiodeal.agent.outbox import Outbox, OwnerRoute, create_outbox
from pistachiodeal.agent.owner_messages import OwnerMessages
from pistachiodeal.agent.serial import SerialWork
from pistachiodeal.agent.starting import RunStarter
from pistachiodeal.agent.watching import RunWatcher
from pistachiodeal.clock import Clock
from pistachiodeal.config.agent import RuntimeSettings
from pistachiodeal.metrics import Metrics
from pistachiodeal.store.protocols import ObjectStore, WorkerRuntime

WORK_LIMIT = 4096


@dataclass(frozen=True, slots=True)
class TaskParts:
    """The components of a task manager, which share one table of runs."""

    table: HeldRunTable
    book: LeaseBook
    outbox: Outbox
    work: SerialWork
    ender: RunEnder
    renewer: Renewer
    watcher: RunWatcher
    messages: OwnerMessages


def create_task_parts(
    runtime: WorkerRuntime,
    objects: ObjectStore,
    route: OwnerRoute,
    ledger: Ledger,
    *,
    settings: RuntimeSettings,
    metrics: Metrics,
    clock: Clock,
) -> TaskParts:
    """Create the components around an empty table of runs."""
    table = HeldRunTable(ledger)
    book = LeaseBook()
    barred = BarredAttempts()
    outbox = create_outbox(route, objects, clock)
    work = SerialWork(WORK_LIMIT)
    ender = RunEnder(
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
        book=book,
        barred=barred,
        outbox=outbox,
        clock=clock,
    )
    renewer = Renewer(runtime, book, table.runs, retry_s=settings.poll_s, clock=clock)
    watcher = RunWatcher(
        runtime=runtime,
        table=table,
        book=book,
        barred=barred,
        starter=starter,
        ender=ender,
        work=work,
        settings=settings,
        clock=clock,
    )
    messages = OwnerMessages(
        table=table,
        book=book,
        barred=barred,
        outbox=outbox,
        work=work,
        starter=starter,
        ender=ender,
        renewer=renewer,
        metrics=metrics,
    )
    return TaskParts(table, book, outbox, work, ender, renewer, watcher, messages)
