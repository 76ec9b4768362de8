"""Entries of other writers, left one after the other beside running processes."""

from __future__ import annotations

import json
import random
import time
from pathlib import Path
from typing import Any

import curio

from pistachiodeal.web.client import CallError, create_client
from tests.soak.callers import Callers
from tests.soak.deployment import Deployment
from tests.soak.driver import START_S
from tests.standins.rows import RowsState, StoredRow

JOB_S = 12.0
POLL_S = 0.1
DEEP: Any = []
for _ in range(900):
    DEEP = [DEEP]
LEADER = {"epoch": 90, "node": "e", "address": "127.0.0.1:9", "nonce": 1}
LESSONS = {"pairs": [["f", "s", 1e300, 1e300]], "durations": {"q": [1e-300] * 5}}
ODD_ROWS = [
    ("jobs", f"{0xF1:016x}", b"\xff"),
    ("jobs", f"{0xF2:016x}", json.dumps({"steps": DEEP}).encode()),
    ("jobs", f"{0xF3:016x}/cancel", b"[]"),
    ("jobs", "\u00e9" * 90, b"{}"),
    ("progress", f"{0xF4:016x}", json.dumps({"state": DEEP}).encode()),
    ("op", "config", json.dumps({"version": 1e300, "routes": []}).encode()),
    ("op", "config", json.dumps({"version": DEEP, "routes": DEEP}).encode()),
    ("op", "evacuate/" + "\u00e9" * 90, b""),
    # Each of these is followed by a load, since another entry has to lead.
    ("control", "lessons", json.dumps(LESSONS).encode()),
    *(
        ("control", "leader", json.dumps({**LEADER, "address": address}).encode())
        for address in ("127.0.0.1:99999", "a\0b:1", "0.0.0.0:1", "e" * 70 + ":1")
    ),
    ("control", "leader", json.dumps({**LEADER, "epoch": 2**32}).encode()),
    ("control", "leader", json.dumps({**LEADER, "node": DEEP}).encode()),
]
ODD_FIELDS = [
    ("born", DEEP),
    ("seq", 2**64 - 1),
    ("labels", ["x"] * 10_000),
    ("capacity", {"cpu": 2**63, "mem_mb": 1, "gpu": 2**40}),
    ("service", "s" * 100_000),
    ("state", DEEP),
]


def write(state: RowsState, table: str, key: str, value: bytes) -> None:
    state.version += 1
    row = StoredRow(key, value, state.version)
    state.rows[table, key] = row
    state.changes.append((table, row))


async def send_odd_heartbeat(address: str, field: str, value: Any) -> int:
    """Send an agent a heartbeat; return the status of its answer, 0 for none."""
    document = {
        "born": 1,
        "service": "svc",
        "address": "127.0.0.1:99999",
        "state": "ready",
        "seq": 1,
        "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 0},
        "labels": [],
        field: value,
    }
    client = create_client(address, connections=1)
    try:
        path = "/api/Instances.Heartbeat/i-odd"
        body = json.dumps(document).encode()
        return (await client.call("POST", path, body=body, timeout=1.0)).status
    except CallError:
        return 0
    finally:
        await client.close()


async def complete_job(callers: Callers, number: int) -> bool:
    """Submit a job; tell whether it was completed in time."""
    await callers.submit(number)
    job = callers.jobs[f"{number:016x}"]
    until = time.monotonic() + JOB_S
    while time.monotonic() < until:
        if job.accepted_at and await callers.poll_state(job):
            return job.state in ("completed", "cancelled")
        await curio.sleep(POLL_S)
    return False


def test_a_job_is_done_after_each_odd_entry(tmp_path: Path):
    """Guards against processes that one odd entry ends, or that stop following."""

    async def main() -> None:
        deployment = Deployment(2, 2, tmp_path, 7)
        callers = Callers(
            deployment.list_caller_addresses(), deployment.checker, random.Random(7)
        )
        try:
            await deployment.start()
            await curio.sleep(START_S)
            processes = [node.process for node in deployment.nodes]
            number = 1
            assert await complete_job(callers, number)
            for table, key, value in ODD_ROWS:
                write(deployment.state, table, key, value)
                number += 1
                assert await complete_job(callers, number), (table, key, value[:80])
            for field, value in ODD_FIELDS:
                for address in deployment.list_agent_addresses():
                    assert await send_odd_heartbeat(address, field, value) == 400, field
                number += 1
                assert await complete_job(callers, number), field
            assert [node.process for node in deployment.nodes] == processes
            assert all(node.up for node in deployment.nodes)
            callers.check_end()
        finally:
            deployment.stop()
        assert callers.violations == callers.checker.violations == []

    curio.run(main)
