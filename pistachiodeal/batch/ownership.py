"""Which partitions this entry should own, and the writes that change owners.

Winners are chosen by rendezvous hashing (Thaler and Ravishankar, "Using
name-based mappings to increase hit rates"): an entry that comes or goes moves
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
from pistachiodeal.exceptions import StoreError, StoreUnavailableError
from pistachiodeal.store.protocols import ABSENT, Table, Write

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
    """What to do in this round.

    :param take: partitions to take over, with the row seen there.
    :param hand_over: own partitions to release for another entry.
    """

    take: tuple[tuple[int, OwnerRow | None], ...]
    hand_over: tuple[int, ...]


class OwnershipPlanner:
    """Decides take-overs and hand-overs from what membership saw."""

    def __init__(self, membership: Membership, partitions: int) -> None:
        self._membership = membership
        self._partitions = partitions
        self._handover_waits: dict[int, tuple[str, int]] = {}

    def plan(self, held: Mapping[int, int]) -> OwnershipPlan:
        """Return this round's changes.

        :param held: partitions that this process serves, with their epochs.
        """
        live = self._membership.live_entries()
        me = self._membership.own_row.node
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
                p for p in held if self._should_hand_over(p, preferred_owners[p], me)
            ),
        )

    def _may_take_over(self, partition: int, preferred_owner: str) -> bool:
        me = self._membership.own_row
        row = self._membership.owners.get(partition)
        # A row that names this very process, which doesn't serve the partition:
        # reading it failed, its tasks crashed, or a take-over that was given up
        # landed late. The others see a live owner, so nobody else would take it,
        # whoever the winner is; it is handed over from here.
        if row is not None and (row.node, row.incarnation) == (
            me.node,
            me.incarnation,
        ):
            return True
        if preferred_owner != me.node:
            return False
        return row is None or not row.node or self._membership.is_dead(row)

    def _should_hand_over(self, partition: int, preferred_owner: str, me: str) -> bool:
        if preferred_owner == me:
            self._handover_waits.pop(partition, None)
            return False
        # An entry that comes and goes would otherwise pull its partitions back
        # and forth, and each move makes the new owner read the whole journal.
        last, rounds = self._handover_waits.get(partition, (preferred_owner, 0))
        rounds = rounds + 1 if last == preferred_owner else 1
        self._handover_waits[partition] = (preferred_owner, rounds)
        if rounds < HANDOVER_ROUNDS:
            return False
        del self._handover_waits[partition]
        return True


class OwnershipWriter:
    """Takes and releases partitions by compare-and-swap on their rows."""

    def __init__(self, table: Table, membership: Membership, clock: Clock) -> None:
        self._table = table
        self._membership = membership
        self._clock = clock

    async def take(self, partition: int, seen: OwnerRow | None) -> OwnerRow | None:
        """Take a partition over; None when another entry was faster.

        :raises StoreError: not known, or not done; the next round shows.
        """
        me = self._membership.own_row
        row = OwnerRow(
            partition=partition,
            node=me.node,
            incarnation=me.incarnation,
            address=me.address,
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
        """Give a partition back, so that its next owner need not wait.

        :raises StoreError: not known, or not done; the owner's lease runs out then.
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
            if found is None or parse_owner(found).nonce != row.nonce or not row.nonce:
                raise
            return found.version
        return result.versions[key] if result.committed else None
