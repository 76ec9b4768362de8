"""A planned stop of an entry process completes within its grace period."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import curio
import pytest

from tests.soak.deployment import GRACE_S, Deployment, Node
from tests.standins.rows import StoreFaults

READY_S = 10.0
SEED = 11


def has_logged(node: Node, folder: Path, event: str) -> bool:
    """Return whether a process has logged an event."""
    return f'"event":"{event}"' in (folder / f"{node.name}.out").read_text()


async def wait_for_log(node: Node, folder: Path, event: str) -> None:
    async with curio.timeout_after(READY_S):
        while not has_logged(node, folder, event):
            await curio.sleep(0.05)


@contextmanager
def send_part_of_a_request(address: str) -> Iterator[None]:
    """Hold a connection open on which a request is never completed."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(b"POST /soak/00000000000000aa HTTP/1.1\r\nHost: x\r\n")
        yield


@pytest.mark.parametrize(
    "faults",
    [
        StoreFaults(),
        StoreFaults(silent=True),
        StoreFaults(slow_s=0.4, transaction_s=0.3),
    ],
    ids=["calm", "silent", "slow"],
)
def test_a_leader_that_is_stopped_ends_in_time(tmp_path: Path, faults: StoreFaults):
    """Guards against processes that are killed at the end of their grace period, which
    aborts their callers' requests.

    The leader is stopped while the store is slow or silent. Writing its row first and
    draining its callers' connections only afterwards would take too long.
    """

    async def main() -> float:
        deployment = Deployment(2, 0, tmp_path, SEED)
        try:
            await deployment.start()
            leader, follower = deployment.entries
            await wait_for_log(leader, tmp_path, "configuration.applied")
            async with curio.timeout_after(READY_S):
                while not has_logged(leader, tmp_path, "leader.loaded"):
                    if has_logged(follower, tmp_path, "leader.loaded"):
                        leader, follower = follower, leader
                    await curio.sleep(0.05)
            await wait_for_log(follower, tmp_path, "leader.followed")
            deployment.state.faults = faults
            await curio.sleep(0.5)
            assert leader.process is not None
            front = deployment.list_caller_addresses()[deployment.entries.index(leader)]
            with send_part_of_a_request(front):
                leader.process.terminate()
                stopped_at = time.monotonic()
                while leader.up:
                    await curio.sleep(0.02)
                return time.monotonic() - stopped_at
        finally:
            deployment.stop()

    assert curio.run(main) < GRACE_S
