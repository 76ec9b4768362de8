"""Callers that send requests at a steady rate through a load balancer."""

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
class SentRequest:
    """One request and the outcome that its caller received.

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
        """Return whether the caller got no answer from a runner."""
        return self.outcome != ANSWERED


class Balancer:
    """Health-checks the entries.

    An entry is removed after two failed checks in a row, and used again after one
    that succeeds.
    """

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

    def is_healthy(self, address: str) -> bool:
        """Return whether requests may go to an entry."""
        return self._failed[address] < CHECKS_FAILED

    def choose(self, turn: int) -> str:
        """Return the entry for this turn; of all entries if none is healthy."""
        usable = [address for address in self._addresses if self.is_healthy(address)]
        usable = usable or self._addresses
        return usable[turn % len(usable)]

    def stop(self) -> None:
        """Stop the health checks."""
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
            connection.request("GET", "/-/status")  # 401 counts as healthy
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
        return True


@dataclass
class RequestLog:
    """The requests of a load in the order in which they ended.

    :ivar skipped: sending times that callers missed.
    """

    sent: list[SentRequest] = field(default_factory=list)
    skipped: int = 0


class Caller:
    """Sends requests of randomly chosen kinds on a keep-alive connection."""

    def __init__(
        self, number: int, service: str, balancer: Balancer, request_log: RequestLog
    ) -> None:
        self._number = number
        self._service = service
        self._balancer = balancer
        self._request_log = request_log
        self._turn = number
        self._random = random.Random(number)
        self._address = ""
        self._connection: http.client.HTTPConnection | None = None

    def run(self, stop: threading.Event) -> None:
        """Send at the fixed rate until stopped; missed sending times are skipped."""
        period = 1.0 / RATE_PER_CALLER
        due = time.monotonic() + period * self._number / CALLERS
        count = 0
        while not stop.wait(max(0.0, due - time.monotonic())):
            self._send(count)
            count += 1
            due += period
            late = int(max(0.0, time.monotonic() - due) / period)
            self._request_log.skipped += late
            due += late * period
        self._disconnect()

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
            self._disconnect()
            outcome, code = BROKEN, type(error).__name__
        now = time.monotonic()
        self._request_log.sent.append(
            SentRequest(case, kind, sent_at, now, outcome, code)
        )

    def _exchange(self, method: str, headers: dict[str, str]) -> tuple[str, str]:
        connection = self._connect()
        body = None if method == "GET" else headers["x-case"]
        target = f"/{self._service}/{headers['x-case']}"
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        content = response.read()
        if response.getheader("connection") == "close":
            self._disconnect()
        if response.getheader("content-type") != "application/problem+json":
            return ANSWERED, ""
        problem = json.loads(content)
        return str(problem["outcome"]), str(problem["code"])

    def _connect(self) -> http.client.HTTPConnection:
        """Return the open connection, or one to the entry that the balancer chooses."""
        if self._connection is not None and self._is_usable():
            return self._connection
        self._disconnect()
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
        """Return whether the entry is healthy and has not closed the connection."""
        assert self._connection is not None
        if not self._balancer.is_healthy(self._address):
            return False
        readable, _, _ = select.select([self._connection.sock], [], [], 0)
        return not readable

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


class Load:
    """Runs all callers at once until stopped."""

    def __init__(self, balancer: Balancer, service: str) -> None:
        self.request_log = RequestLog()
        self._stop = threading.Event()
        self._threads = []
        for number in range(CALLERS):
            caller = Caller(number, service, balancer, self.request_log)
            run = threading.Thread(target=caller.run, args=(self._stop,), daemon=True)
            self._threads.append(run)
            run.start()

    def stop(self) -> RequestLog:
        """End the load after the requests in flight; return its requests."""
        self._stop.set()
        for thread in self._threads:
            thread.join(3 * TIMEOUT_S)
        return self.request_log
