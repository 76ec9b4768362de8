"""Callers of the demo: threads that call the entries and record every answer."""

from __future__ import annotations

import hashlib
import http.client
import itertools
import threading
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from tests.harness import Reply, call

DEADLINE_MS = 2000


@dataclass(frozen=True, slots=True)
class Case:
    """One request and the outcome that its caller received.

    :param outcome: ``ran``, ``not_run`` or ``unknown``.
    :param own: whether the answer belongs to this request.
    """

    name: str
    service: str
    method: str
    status: int
    outcome: str
    own: bool


class Callers:
    """Calls the entries in turn, from several threads, until stopped."""

    def __init__(self, entries: Sequence[str]) -> None:
        self._entries = entries
        self._numbers = itertools.count(1)
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._cases: list[Case] = []

    @property
    def cases(self) -> tuple[Case, ...]:
        """Return all requests that have been answered or have failed so far."""
        with self._lock:
            return tuple(self._cases)

    def run(self, caller: str, service: str, method: str) -> None:
        """Send one request after the other until stopped."""
        while not self._stopped.is_set():
            case = self._call(caller, service, method, next(self._numbers))
            with self._lock:
                self._cases.append(case)

    def stop(self) -> None:
        """Stop each thread after its current request."""
        self._stopped.set()

    def _call(self, caller: str, service: str, method: str, number: int) -> Case:
        name = f"case-{number}"
        body = f"{service} {number}".encode() if method == "POST" else b""
        headers = {
            "pistachiodeal-caller": caller,
            "pistachiodeal-deadline-ms": str(DEADLINE_MS),
            "x-case": name,
        }
        if method == "POST":
            headers["idempotency-key"] = name
        entry = self._entries[number % len(self._entries)]
        target = f"/{service}/items/{number}"
        try:
            reply = call(entry, method, target, headers, body or None)
        except (OSError, http.client.HTTPException):
            return Case(name, service, method, 0, "unknown", own=True)
        own = reply.status != 200 or is_own_answer(reply, name, body)
        return Case(name, service, method, reply.status, reply.outcome, own)


def is_own_answer(reply: Reply, name: str, body: bytes) -> bool:
    """Return whether an answer holds the case and digest of this request."""
    document = reply.document()
    digest = hashlib.sha256(body).hexdigest()
    return bool(document["case"] == name and document["sha"] == digest)


@contextmanager
def run_callers(
    entries: Sequence[str], calls: Sequence[tuple[str, str, str]]
) -> Iterator[Callers]:
    """Run a thread for each (caller, service, method) until the end of the block."""
    callers = Callers(entries)
    threads = [threading.Thread(target=callers.run, args=call) for call in calls]
    for thread in threads:
        thread.start()
    try:
        yield callers
    finally:
        callers.stop()
        for thread in threads:
            thread.join()
