"""Errors that nobody foresaw cost the entry, message or peer that causes them."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import replace
from unittest import mock

import curio
import pytest

from pistachiodeal.jobagent import leader_link
from pistachiodeal.jobagent.executor import Executor
from pistachiodeal.jobagent.leader_link import LeaderLink
from pistachiodeal.jobagent.ledger import AgentLedger
from pistachiodeal.jobagent.signals import AgentSignals
from pistachiodeal.jobs.progress import encode_progress
from pistachiodeal.jobs.record import build_record
from pistachiodeal.jobs.rows import JOBS_TABLE, PROGRESS_TABLE, encode_job
from pistachiodeal.leader.feed import (
    ANNOUNCED_READ_DELAY_S,
    FAILED_ROW_RETRIES,
    JobFeed,
)
from pistachiodeal.leader.loader import JobLoader
from pistachiodeal.leader.registry import JobRegistry
from pistachiodeal.peers import PeerContext
from pistachiodeal.store.row_store import RowWrite, Transaction
from pistachiodeal.wire.identity import AGENT_ROLE, Identity
from tests.simulation.clock import run_simulated
from tests.standins.job_cluster import build_job, create_quiet_log
from tests.standins.rows import MemoryRows, RowsState
from tests.unit.test_failed_ends import count
from tests.unit.test_odd_addresses import SECRET, Directory

JOB_ID = f"{1:016x}"


def write(state: RowsState, table: str, key: str, value: bytes) -> None:
    state.apply(Transaction((), (RowWrite(table, key, value),)))


async def ignore() -> None:
    """Plan nothing."""


def test_a_row_whose_handling_fails_is_read_again_and_hides_no_other():
    """Guards against jobs that wait for ever behind or after an unforeseen error."""

    async def main(clock) -> None:
        state, events = RowsState(), create_quiet_log()
        registry = JobRegistry(events)
        feed = JobFeed(MemoryRows(state), registry, events, registry.cancel, ignore)
        jobs = [build_job(number) for number in (1, 2)]
        for job in jobs:
            write(state, JOBS_TABLE, job.job_id, encode_job(job))
        add, failures = registry.add, []

        def fail(job, *arguments):
            if job.job_id == JOB_ID and len(failures) < FAILED_ROW_RETRIES:
                failures.append(job)
                raise RuntimeError("unforeseen")
            add(job, *arguments)

        following = await curio.spawn(feed.follow)
        with mock.patch.object(registry, "add", side_effect=fail):
            for _ in range(FAILED_ROW_RETRIES + 1):
                await curio.sleep(ANNOUNCED_READ_DELAY_S + 0.1)
                assert jobs[1].job_id in registry.records
                await feed.check_announced()
        assert JOB_ID in registry.records
        assert count(events, "row_failed") == FAILED_ROW_RETRIES
        await following.cancel()

    run_simulated(main)


@pytest.mark.parametrize("unforeseen", [False, True])
def test_a_job_that_could_not_be_restored_is_not_run_from_its_submission(
    unforeseen: bool,
):
    """Guards against tasks that run twice after their progress could not be read.

    The feed reads the submission again after a loss of the history.
    """

    async def main(clock) -> None:
        state, events = RowsState(), create_quiet_log()
        broken, sound = build_job(1), build_job(2)
        for job in (broken, sound):
            write(state, JOBS_TABLE, job.job_id, encode_job(job))
        value = encode_progress(build_record(broken)) if unforeseen else b"\xff"
        write(state, PROGRESS_TABLE, broken.job_id, value)
        registry = JobRegistry(events)
        feed = JobFeed(MemoryRows(state), registry, events, registry.cancel, ignore)
        loader = JobLoader(
            MemoryRows(state), registry, feed, registry.cancel, events, link_mbps=1e3
        )
        error = RuntimeError("unforeseen") if unforeseen else None
        target = "pistachiodeal.leader.loader.apply_progress"
        if error is not None:
            with mock.patch(target, side_effect=error):
                await loader.load()
        else:
            await loader.load()
        rows = [state.rows[JOBS_TABLE, job.job_id] for job in (broken, sound)]
        feed._apply_rows(rows)
        assert set(registry.records) == {sound.job_id}
        # Its id may be used again once its rows are gone.
        feed._apply_rows([replace(rows[0], version=99)])
        assert broken.job_id in registry.records

    run_simulated(main)


def test_an_agent_survives_an_unforeseen_error_of_a_peer():
    """Guards against an agent that ends since one entry makes it fail."""
    dialled = []

    @asynccontextmanager
    async def fail(peers, address):
        dialled.append(address)
        raise KeyError("unforeseen")
        yield

    async def main() -> bool:
        events, signals = create_quiet_log(), AgentSignals()
        peers = PeerContext(
            Identity(AGENT_ROLE, "a", 1, "dc"),
            "",
            SECRET,
            Directory(("10.0.0.1:1", "10.0.0.2:1")),
            events,
        )
        ledger = AgentLedger(events)
        executor = Executor(ledger, None, events, signals)
        link = LeaderLink(MemoryRows(RowsState()), peers, ledger, executor, signals)
        with mock.patch.object(leader_link, "dial_peer", fail):
            task = await curio.spawn(link.run, daemon=True)
            await curio.sleep(0.3)
            alive = not task.terminated
            await task.cancel()
        assert count(events, "leader_failed") == len(dialled)
        return alive

    assert curio.run(main)
    assert set(dialled) == {"10.0.0.1:1", "10.0.0.2:1"} and len(dialled) > 2
