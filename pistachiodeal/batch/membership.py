"""Tracks which entries are alive and until when this one may act as an owner."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import asdict, dataclass

import orjson
from logbook import Logger

from pistachiodeal.batch.keys import (
    ENTRY_PREFIX,
    PARTITION_PREFIX,
    parse_partition_key,
)
from pistachiodeal.batch.rows import EntryRow, OwnerRow, parse_entry, parse_owner
from pistachiodeal.clock import Clock
from pistachiodeal.exceptions import ProtocolError, StoreError
from pistachiodeal.malformed import shorten
from pistachiodeal.store.protocols import Row, Table, Write

log = Logger("batch")

SCAN_ROWS = 1_000
# Unreadable rows that are remembered, so that each is logged once.
MAX_UNREADABLE = 1_000


@dataclass(slots=True)
class _Observation:
    """When the row of another entry was last seen to change.

    :param stamp: incarnation and heartbeat number in the row.
    :param changed_at: when the change was seen, monotonic clock, seconds.
    :param started_at: when this incarnation was first seen, same clock.
    """

    stamp: tuple[int, int]
    changed_at: float
    started_at: float


class Membership:
    """Sends the heartbeats of this entry and tracks those of the others.

    Only the monotonic clock of this process is used. Another entry counts as dead
    when its row has not changed for the owner lease plus the margin *as seen here*.
    The authority of this entry counts from the moment a heartbeat was *sent*.
    """

    def __init__(
        self,
        table: Table,
        own_row: EntryRow,
        *,
        owner_lease_s: float,
        margin_s: float,
        clock: Clock,
    ) -> None:
        self._table = table
        self._own_row = own_row
        self._heartbeat_number = 0
        self._lease_s = owner_lease_s
        self._dead_after_s = owner_lease_s + margin_s
        self._clock = clock
        self._lease_until = float("-inf")
        self._read_at = float("-inf")
        self._verified: dict[int, tuple[int, float]] = {}
        self._observations: dict[str, _Observation] = {}
        self._absent_since: dict[str, float] = {}
        self._entries: dict[str, EntryRow] = {}
        self._owners: dict[int, OwnerRow] = {}
        self._unreadable: dict[str, int] = {}

    @property
    def own_row(self) -> EntryRow:
        """Return the row of this entry."""
        return self._own_row

    @property
    def owners(self) -> Mapping[int, OwnerRow]:
        """Return the owners of the partitions as last read."""
        return self._owners

    def find_owner(self, partition: int) -> OwnerRow | None:
        """Return the owner of a partition as last read."""
        return self._owners.get(partition)

    def authority_until(self) -> float:
        """Return when this entry's authority ends unless it sends another heartbeat.

        :returns: monotonic clock, seconds.
        """
        return self._lease_until

    def has_authority(self, partition: int, epoch: int) -> bool:
        """Return whether leases for this partition may be granted now.

        A heartbeat alone is not enough: an entry that others considered dead and
        that then resumes its heartbeats would keep granting leases for partitions
        that others have taken over.
        """
        known, until = self._verified.get(partition, (0, 0.0))
        return known == epoch and self._clock() < min(until, self._lease_until)

    def record_owned(self, row: OwnerRow, sent_at: float) -> None:
        """Record that the table named this entry the owner at ``sent_at`` or later."""
        self._owners[row.partition] = row
        self._verified[row.partition] = (row.epoch, sent_at + self._lease_s)

    def record_released(self, partition: int) -> None:
        """Record that this entry no longer owns a partition."""
        self._verified.pop(partition, None)

    def live_entries(self) -> dict[str, EntryRow]:
        """Return the live entries, including this one."""
        live = {
            node: row
            for node, row in self._entries.items()
            if self._read_at - self._observations[node].changed_at < self._dead_after_s
        }
        live[self._own_row.node] = self._own_row
        return live

    def is_dead(self, row: OwnerRow) -> bool:
        """Return whether the owner of a partition has definitely lost its authority."""
        if row.node == self._own_row.node:
            return row.incarnation != self._own_row.incarnation
        # Measured up to the last read, not up to now: a store outage or a freeze of
        # this process would otherwise make every other entry look dead.
        observation = self._observations.get(row.node)
        if observation is not None:
            # The row of a restarted node keeps changing although the owner, an earlier
            # process of the same name, is gone. Without this check only the new
            # process would take its partitions, and only those that it should own.
            replaced = observation.stamp[0] != row.incarnation
            since = observation.started_at if replaced else observation.changed_at
            return self._read_at - since >= self._dead_after_s
        since = self._absent_since.setdefault(row.node, self._read_at)
        return self._read_at - since >= self._dead_after_s

    async def send_heartbeat(self, team_cpu: dict[str, int]) -> None:
        """Write the row of this entry.

        :raises StoreError: the heartbeat does not count, even if it took effect.
        """
        self._heartbeat_number += 1
        fields = asdict(self._own_row) | {
            "beat": self._heartbeat_number,
            "team_cpu": team_cpu,
        }
        row = EntryRow(**fields)
        sent_at = self._clock()
        value = orjson.dumps(asdict(row))
        await self._table.commit([Write(ENTRY_PREFIX + row.node, value)])
        self._own_row = row
        self._lease_until = sent_at + self._lease_s

    async def refresh(self) -> None:
        """Read the rows of entries and partitions.

        :raises StoreError: the rows read before stay in use.
        """
        sent_at = self._clock()
        entries = await self._scan(ENTRY_PREFIX)
        self._update_entries(entries, sent_at)
        sent_at = self._clock()
        owners = await self._scan(PARTITION_PREFIX)
        self._update_owners(owners, sent_at)

    async def deregister(self) -> None:
        """Delete the row of this entry so that no other entry waits for it."""
        self._lease_until = float("-inf")
        try:
            await self._table.commit([Write(ENTRY_PREFIX + self._own_row.node)])
        except StoreError as error:
            log.notice("batch: row of this entry not deleted: {}", error)

    async def _scan(self, prefix: str) -> list[Row]:
        rows: list[Row] = []
        while True:
            after = rows[-1].key if rows else ""
            page = await self._table.scan(prefix, after, SCAN_ROWS)
            rows.extend(page)
            if len(page) < SCAN_ROWS:
                return rows

    def _update_entries(self, rows: list[Row], sent_at: float) -> None:
        now = self._clock()
        self._read_at = sent_at
        found: dict[str, EntryRow] = {}
        for row in rows:
            try:
                entry = parse_entry(row)
            except ProtocolError as error:
                self._report_unreadable(row, error)
                continue
            if entry.node == self._own_row.node:
                continue
            found[entry.node] = entry
            stamp = (entry.incarnation, entry.beat)
            observation = self._observations.get(entry.node)
            if observation is None or observation.stamp[0] != entry.incarnation:
                self._observations[entry.node] = _Observation(stamp, now, now)
            elif observation.stamp != stamp:
                observation.stamp = stamp
                observation.changed_at = now
        for node in self._entries.keys() - found.keys():
            self._absent_since[node] = sent_at
            del self._observations[node]
        for node in found.keys() & self._absent_since.keys():
            del self._absent_since[node]
        self._entries = found

    def _update_owners(self, rows: list[Row], sent_at: float) -> None:
        owners: dict[int, OwnerRow] = {}
        for row in rows:
            try:
                owner = parse_owner(row)
            except ProtocolError as error:
                self._report_unreadable(row, error)
                vacant = self._build_vacant(row)
                if vacant is None:
                    continue
                owner = vacant
            owners[owner.partition] = owner
            mine = (owner.node, owner.incarnation)
            if mine == (self._own_row.node, self._own_row.incarnation):
                self._verified[owner.partition] = (
                    owner.epoch,
                    sent_at + self._lease_s,
                )
            else:
                self._verified.pop(owner.partition, None)
        self._owners = owners
        named = {owner.node for owner in owners.values()}
        self._absent_since = {n: t for n, t in self._absent_since.items() if n in named}

    def _build_vacant(self, row: Row) -> OwnerRow | None:
        """Treat a partition row that can't be read as one without an owner.

        Otherwise no entry could ever own the partition again. Agents follow no lower
        epoch than they have seen, which a process that has just started doesn't know;
        the time of day is above all that were counted.
        """
        partition = parse_partition_key(row.key)
        if partition is None:
            return None
        known = self._owners.get(partition)
        epoch = known.epoch if known is not None else int(time.time())
        return OwnerRow(partition, "", 0, "", epoch, "", row.version)

    def _report_unreadable(self, row: Row, error: ProtocolError) -> None:
        """Log once that a version of a row can't be used."""
        if self._unreadable.get(row.key) == row.version:
            return
        while len(self._unreadable) >= MAX_UNREADABLE:
            del self._unreadable[next(iter(self._unreadable))]
        self._unreadable[row.key] = row.version
        log.warning("batch: row {} can't be used: {}", shorten(row.key), error)
