"""A planned stop of an entry, as a process, ends within its grace period."""

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
    """Tell whether a process has written an event."""
    return f'"event":"{event}"' in (folder / f"{node.name}.out").read_text()


async def wait_for_log(node: Node, folder: Path, event: str) -> None:
    async with curio.timeout_after(READY_S):
        while not has_logged(node, folder, event):
            await curio.sleep(0.05)


@contextmanager
def send_part_of_a_request(address: str) -> Iterator[None]:
    """Hold a connection open on which the rest of a request never comes."""
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
    """Symptom: processes are still there at the end of their grace period, are killed,
    and cut their callers off.

    Sequence: the leader is stopped while the store is slow or silent; it writes its row
    first, and drains its callers' connections after that. Cause: one after the other.
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
