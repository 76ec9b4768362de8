"""Callers that send requests continuously and check each answer."""

from __future__ import annotations

import hashlib
import http.client
import json
import random
import threading
from dataclasses import dataclass, field

from tests.harness.calls import Reply

CALLERS = 8
TIMEOUT_S = 15.0
DEADLINE_MS = "5000"
SIZES = (0, 10, 1_000, 50_000)


@dataclass
class Tally:
    """Results of the requests of a load.

    :ivar complete: number of complete and correct answers.
    :ivar problems: requests answered with another status than 200.
    :ivar failures: requests with a broken connection or a wrong answer.
    """

    complete: int = 0
    problems: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)


class Caller:
    """Sends requests on a keep-alive connection, as callers do.

    If the entry closed the connection while it was idle, or refuses it before a byte of
    the request was sent, a connection to the next entry replaces it, as the load
    balancer in front does.
    """

    def __init__(self, number: int, addresses: list[str], tally: Tally) -> None:
        self._number = number
        self._addresses = addresses
        self._tally = tally
        self._next_entry = number
        self._random = random.Random(number)
        self._connection: http.client.HTTPConnection | None = None

    def send(self, count: int) -> None:
        """Send one request and check its answer."""
        case = f"caller-{self._number}-{count}"
        body = case.encode() * self._random.randint(0, 50)
        size = self._random.choice(SIZES)
        method = self._random.choice(("GET", "PUT", "POST"))
        target = f"/orders/{case}?size={size}&work_s={self._random.random() / 50:.4f}"
        headers = {"x-case": case, "pistachiodeal-deadline-ms": DEADLINE_MS}
        try:
            reply = self._exchange(method, target, headers, body)
        except (OSError, http.client.HTTPException) as error:
            self._tally.failures.append(f"{case}: {error!r}")
            self._drop()
            return
        self._check(case, body, size, reply)

    def _exchange(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Reply:
        connection = self._connect()
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        content = response.read()
        names = {name.lower(): value for name, value in response.getheaders()}
        if names.get("connection") == "close":
            self._drop()
        return Reply(response.status, names, content)

    def _connect(self) -> http.client.HTTPConnection:
        if self._connection is not None:
            return self._connection
        for _ in range(50 * len(self._addresses)):
            self._next_entry += 1
            address = self._addresses[self._next_entry % len(self._addresses)]
            connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
            try:
                connection.connect()
            except ConnectionRefusedError:
                threading.Event().wait(0.02)
                continue
            self._connection = connection
            return connection
        raise OSError("no entry accepts connections")

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _check(self, case: str, body: bytes, size: int, reply: Reply) -> None:
        if reply.status != 200:
            self._tally.problems.append(f"{case}: {reply.status} {reply.body!r}")
            return
        document = json.loads(reply.body)
        expected = hashlib.sha256(body).hexdigest()
        if document["case"] != case or document["sha"] != expected:
            self._tally.failures.append(f"{case}: answer to another request {document}")
        elif len(reply.body) < size:
            self._tally.failures.append(f"{case}: {len(reply.body)} of {size} bytes")
        else:
            self._tally.complete += 1


class Load:
    """Several concurrent callers, until they are stopped."""

    def __init__(self, addresses: list[str], callers: int = CALLERS) -> None:
        self.tally = Tally()
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number, addresses), daemon=True)
            for number in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> Tally:
        """Stop after the requests in flight, and return the tally."""
        self._stop.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S * 2)
        return self.tally

    def _run(self, number: int, addresses: list[str]) -> None:
        caller = Caller(number, addresses, self.tally)
        count = 0
        while not self._stop.is_set():
            count += 1
            caller.send(count)
