"""Callers at a steady rate, with a balancer in front, and a note of each request."""

from __future__ import annotations

import http.client
import json
import random
import select
import threading
import time
from dataclasses import dataclass, field

CALLERS = 32
RATE_PER_CALLER = 4.0
TIMEOUT_S = 3.0
CHECK_S = 0.5
CHECK_TIMEOUT_S = 0.5
CHECKS_FAILED = 2
CONNECT_PAUSE_S = 0.02
ANSWERED = "answered"
BROKEN = "broken"
KINDS = ("GET", "PUT", "POST", "POST+key")


@dataclass(frozen=True, slots=True)
class Sent:
    """One request and what its caller was told.

    :param outcome: ``answered``, ``not_run``, ``ran``, ``unknown`` or ``broken``
        (the connection ended, or gave no answer in time).
    """

    case: str
    kind: str
    sent_at: float
    ended_at: float
    outcome: str
    code: str = ""

    @property
    def failed(self) -> bool:
        """Tell whether the caller got no answer of a runner."""
        return self.outcome != ANSWERED


class Balancer:
    """Knows which entries answer: out after two checks in a row, in after one."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._failed = dict.fromkeys(addresses, 0)
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(address,), daemon=True)
            for address in addresses
        ]
        for thread in self._threads:
            thread.start()

    def is_in(self, address: str) -> bool:
        """Tell whether requests may go to an entry."""
        return self._failed[address] < CHECKS_FAILED

    def choose(self, turn: int) -> str:
        """Return the entry for this turn, any when none is in."""
        usable = [one for one in self._addresses if self.is_in(one)]
        usable = usable or self._addresses
        return usable[turn % len(usable)]

    def stop(self) -> None:
        """End the checks."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _watch(self, address: str) -> None:
        while not self._stop.wait(CHECK_S):
            if self._check(address):
                self._failed[address] = 0
            else:
                self._failed[address] += 1

    def _check(self, address: str) -> bool:
        connection = http.client.HTTPConnection(address, timeout=CHECK_TIMEOUT_S)
        try:
            connection.request("GET", "/-/status")  # 401 is an answer
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
        return True


@dataclass
class Tally:
    """The requests of a load, in the order of their ends."""

    sent: list[Sent] = field(default_factory=list)
    skipped: int = 0


class Caller:
    """Sends requests of all kinds at random on a kept-alive connection."""

    def __init__(
        self, number: int, service: str, balancer: Balancer, tally: Tally
    ) -> None:
        self._number = number
        self._service = service
        self._balancer = balancer
        self._tally = tally
        self._turn = number
        self._random = random.Random(number)
        self._address = ""
        self._connection: http.client.HTTPConnection | None = None

    def run(self, stop: threading.Event) -> None:
        """Send at the rate until stopped; a slot that was missed is skipped."""
        period = 1.0 / RATE_PER_CALLER
        due = time.monotonic() + period * self._number / CALLERS
        count = 0
        while not stop.wait(max(0.0, due - time.monotonic())):
            self._send(count)
            count += 1
            due += period
            late = int(max(0.0, time.monotonic() - due) / period)
            self._tally.skipped += late
            due += late * period
        self._drop()

    def _send(self, count: int) -> None:
        kind = self._random.choice(KINDS)
        case = f"c{self._number}-{count}"
        headers = {"x-case": case, "pistachiodeal-caller": f"caller-{self._number}"}
        if kind == "POST+key":
            headers["idempotency-key"] = case
        sent_at = time.monotonic()
        try:
            outcome, code = self._exchange(kind.partition("+")[0], headers)
        except (OSError, http.client.HTTPException) as error:
            self._drop()
            outcome, code = BROKEN, type(error).__name__
        now = time.monotonic()
        self._tally.sent.append(Sent(case, kind, sent_at, now, outcome, code))

    def _exchange(self, method: str, headers: dict[str, str]) -> tuple[str, str]:
        connection = self._connect()
        body = None if method == "GET" else headers["x-case"]
        target = f"/{self._service}/{headers['x-case']}"
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        content = response.read()
        if response.getheader("connection") == "close":
            self._drop()
        if response.getheader("content-type") != "application/problem+json":
            return ANSWERED, ""
        problem = json.loads(content)
        return str(problem["outcome"]), str(problem["code"])

    def _connect(self) -> http.client.HTTPConnection:
        """Return the open connection, or one to the entry that the balancer names."""
        if self._connection is not None and self._is_usable():
            return self._connection
        self._drop()
        until = time.monotonic() + TIMEOUT_S
        while True:
            self._turn += 1
            self._address = self._balancer.choose(self._turn)
            connection = http.client.HTTPConnection(self._address, timeout=TIMEOUT_S)
            try:
                connection.connect()
            except ConnectionRefusedError:
                if time.monotonic() > until:
                    raise
                time.sleep(CONNECT_PAUSE_S)
                continue
            self._connection = connection
            return connection

    def _is_usable(self) -> bool:
        """Tell whether the entry is in and has not closed the connection."""
        assert self._connection is not None
        if not self._balancer.is_in(self._address):
            return False
        readable, _, _ = select.select([self._connection.sock], [], [], 0)
        return not readable

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


class Load:
    """All callers at once, until stopped."""

    def __init__(self, balancer: Balancer, service: str) -> None:
        self.tally = Tally()
        self._stop = threading.Event()
        self._threads = []
        for number in range(CALLERS):
            caller = Caller(number, service, balancer, self.tally)
            run = threading.Thread(target=caller.run, args=(self._stop,), daemon=True)
            self._threads.append(run)
            run.start()

    def stop(self) -> Tally:
        """End the load after the requests in flight; return its tally."""
        self._stop.set()
        for thread in self._threads:
            thread.join(3 * TIMEOUT_S)
        return self.tally
