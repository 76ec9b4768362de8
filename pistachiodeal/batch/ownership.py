"""Decides which partitions this entry should own and writes changes of ownership.

The preferred owner is chosen by rendezvous hashing (Thaler and Ravishankar, "Using
name-based mappings to increase hit rates"): an entry that joins or leaves moves
only its own share of the partitions.
"""

from __future__ import annotations

import secrets
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

import xxhash
from logbook import Logger

from pistachiodeal.batch.keys import partition_key
from pistachiodeal.batch.membership import Membership
from pistachiodeal.batch.rows import OwnerRow, build_owner_value, parse_owner
from pistachiodeal.clock import Clock
from pistachiodeal.exceptions import (
    ProtocolError,
    StoreError,
    StoreUnavailableError,
)
from pistachiodeal.store.protocols import ABSENT, Row, Table, Write

log = Logger("batch")

MIN_TAKEOVERS = 4
TAKEOVER_ROUNDS = 8
HANDOVER_ROUNDS = 5


def choose_preferred_owner(partition: int, nodes: Iterable[str]) -> str:
    """Return the node that should own a partition."""
    return max(nodes, key=lambda node: _compute_weight(partition, node), default="")


def _compute_weight(partition: int, node: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{partition}/{node}".encode()), node


@dataclass(frozen=True, slots=True)
class OwnershipPlan:
    """The ownership changes of a round.

    :param take_over: partitions to take over, with the owner row as last read.
    :param hand_over: owned partitions to release for another entry.
    """

    take_over: tuple[tuple[int, OwnerRow | None], ...]
    hand_over: tuple[int, ...]


class OwnershipPlanner:
    """Decides take-overs and hand-overs from the rows that membership has read."""

    def __init__(self, membership: Membership, partitions: int) -> None:
        self._membership = membership
        self._partitions = partitions
        self._handover_waits: dict[int, tuple[str, int]] = {}

    def plan(self, held: Mapping[int, int]) -> OwnershipPlan:
        """Return the changes of this round.

        :param held: partitions that this process holds, with their epochs.
        """
        live = self._membership.live_entries()
        own_node = self._membership.own_row.node
        preferred_owners = {
            p: choose_preferred_owner(p, live) for p in range(self._partitions)
        }
        takeovers = [
            p
            for p in preferred_owners
            if p not in held and self._may_take_over(p, preferred_owners[p])
        ]
        share = -(-self._partitions // len(live))
        limit = max(MIN_TAKEOVERS, -(-share // TAKEOVER_ROUNDS))
        owners = self._membership.owners
        return OwnershipPlan(
            tuple((p, owners.get(p)) for p in takeovers[:limit]),
            tuple(
                p
                for p in held
                if self._should_hand_over(p, preferred_owners[p], own_node)
            ),
        )

    def _may_take_over(self, partition: int, preferred_owner: str) -> bool:
        own_row = self._membership.own_row
        row = self._membership.owners.get(partition)
        # The row names this very process, which does not serve the partition: reading
        # it failed, its curio tasks crashed, or a take-over that was given up took
        # effect late. The other entries see a live owner, so none of them takes the
        # partition, whoever is preferred. This entry takes it and hands it over.
        if row is not None and (row.node, row.incarnation) == (
            own_row.node,
            own_row.incarnation,
        ):
            return True
        if preferred_owner != own_row.node:
            return False
        return row is None or not row.node or self._membership.is_dead(row)

    def _should_hand_over(
        self, partition: int, preferred_owner: str, own_node: str
    ) -> bool:
        if preferred_owner == own_node:
            self._handover_waits.pop(partition, None)
            return False
        # An entry that joins and leaves repeatedly would otherwise move its partitions
        # back and forth, and each move makes the new owner read the whole journal.
        last, rounds = self._handover_waits.get(partition, (preferred_owner, 0))
        rounds = rounds + 1 if last == preferred_owner else 1
        self._handover_waits[partition] = (preferred_owner, rounds)
        if rounds < HANDOVER_ROUNDS:
            return False
        del self._handover_waits[partition]
        return True


class OwnershipWriter:
    """Acquires and releases partitions by compare-and-swap on their rows."""

    def __init__(self, table: Table, membership: Membership, clock: Clock) -> None:
        self._table = table
        self._membership = membership
        self._clock = clock

    async def acquire(self, partition: int, seen: OwnerRow | None) -> OwnerRow | None:
        """Take over a partition; return None if another entry changed its row first.

        :raises StoreError: the take-over failed or its outcome is unknown; the next
            round reads the row again.
        """
        own_row = self._membership.own_row
        row = OwnerRow(
            partition=partition,
            node=own_row.node,
            incarnation=own_row.incarnation,
            address=own_row.address,
            epoch=seen.epoch + 1 if seen else 1,
            nonce=secrets.token_hex(8),
        )
        sent_at = self._clock()
        version = await self._swap(row, seen.version if seen else ABSENT)
        if version is None:
            return None
        row = replace(row, version=version)
        self._membership.record_owned(row, sent_at)
        return row

    async def release(self, row: OwnerRow) -> None:
        """Release a partition so that its next owner does not have to wait.

        :raises StoreError: the release failed or its outcome is unknown; the next
            owner then waits until the owner lease expires.
        """
        self._membership.record_released(row.partition)
        free = replace(row, node="", address="", incarnation=0, nonce="")
        await self._swap(free, row.version)

    async def _swap(self, row: OwnerRow, expect: int) -> int | None:
        key = partition_key(row.partition)
        write = Write(key, build_owner_value(row), expect=expect)
        try:
            result = await self._table.commit([write])
        except StoreUnavailableError:
            raise
        except StoreError:
            found = (await self._table.read([key])).get(key)
            if found is None or not row.nonce or not _has_nonce(found, row.nonce):
                raise
            return found.version
        return result.versions[key] if result.committed else None


def _has_nonce(row: Row, nonce: str) -> bool:
    try:
        return parse_owner(row).nonce == nonce
    except ProtocolError:
        # Another writer has replaced the row.
        return False
