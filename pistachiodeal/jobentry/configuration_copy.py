"""A process's copy of the operator's configuration, and how old the copy is."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import ProtocolError
from pistachiodeal.jobs.model import Queue, find_queue
from pistachiodeal.platform.configuration import Configuration, decode_configuration
from pistachiodeal.wire.configuration_messages import (
    ConfigurationAnswer,
    ConfigurationQuery,
)

# A copy that no read has confirmed for this long is reported as stale.
STALE_AFTER_S = 1.5
STORE = "store"


class ConfigurationCopy:
    """The highest version of the configuration that this process has seen.

    Whatever order answers come in, only a higher version replaces it. One that can't be
    read counts as seen, and the version before it stays in force.
    """

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._current: Configuration | None = None
        self._value = b""
        self._by_name: dict[str, Queue] = {}
        self._confirmed_at = read_boot_clock()
        self._stale = False

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, or None before the first is read."""
        return self._current

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first is read."""
        return self._current.version if self._current is not None else 0

    @property
    def age_s(self) -> float:
        """Return how long ago the last read that was answered began, seconds.

        A version that was written since then may be missing here.
        """
        return read_boot_clock() - self._confirmed_at

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue that a request's host and path select."""
        if self._current is None:
            return None
        return find_queue(self._current.queues, host, path)

    def refresh(self, queue: Queue) -> Queue:
        """Return the queue of the same name from the newest configuration."""
        return self._by_name.get(queue.name, queue)

    def answer(self, query: ConfigurationQuery) -> ConfigurationAnswer:
        """Return the copy as an answer to another entry."""
        value = self._value if self.version > query.version else b""
        return ConfigurationAnswer(self.version, value, int(self.age_s * 1000))

    def apply(self, value: bytes, source: str) -> None:
        """Apply the value of the row, unless it is unreadable or not newer.

        :param source: :data:`STORE`, or the address of the entry that it comes from.
        """
        if value == self._value:
            return
        try:
            found = decode_configuration(value)
        except ProtocolError as error:
            self._events.emit(
                "configuration.unreadable", cause=str(error), source=source
            )
            return
        was = self.version
        if self._current is not None and found.version <= was:
            return
        queues = (*found.queues, *self._keep_unreadable(found))
        self._current = replace(found, queues=queues)
        self._value = value
        self._by_name = {queue.name: queue for queue in queues}
        self._events.emit(
            "configuration.applied",
            version=found.version,
            was=was,
            source=source,
            queues=len(queues),
        )

    def confirm(self, read_at: float) -> None:
        """Record that the copy was up to date at a time.

        :param read_at: when the read that confirms it began, boot clock.
        """
        age_s = self.age_s
        self._confirmed_at = max(self._confirmed_at, read_at)
        self._events.stats.time("configuration_age", age_s)
        if self._stale and self.age_s < STALE_AFTER_S:
            self._stale = False
            self._events.emit(
                "configuration.confirmed",
                version=self.version,
                away_ms=int(age_s * 1000),
            )

    def retract(self, read_at: float) -> None:
        """Take back later confirmations, since the store may have been silent.

        :param read_at: when the last read that certainly confirms it began, boot clock.
        """
        self._confirmed_at = min(self._confirmed_at, read_at)

    def report_age(self) -> None:
        """Report the copy once if it has become stale."""
        if self._stale or self.age_s <= STALE_AFTER_S:
            return
        self._stale = True
        self._events.emit(
            "configuration.stale", version=self.version, age_ms=int(self.age_s * 1000)
        )

    def _keep_unreadable(self, found: Configuration) -> Iterator[Queue]:
        """Yield what the version in force has for queues that can't be read."""
        for queue in found.unreadable:
            kept = self._by_name.get(queue.name)
            self._events.emit(
                "configuration.queue_unreadable",
                version=found.version,
                queue=queue.name,
                cause=queue.cause,
                kept=kept is not None,
            )
            if kept is not None:
                yield kept
