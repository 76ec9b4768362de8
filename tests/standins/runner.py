"""Stand-in for a runner, a process of a service that answers HTTP requests.

The query of a request controls the response: ``work_s`` (seconds of work), ``size``
(bytes of the body), ``status``, ``die=1`` (close the connection in mid-body).
"""

from __future__ import annotations

import hashlib
import http.client
import json
from argparse import Namespace
from typing import Any

import curio

from pistachiodeal.signals import SignalWatch, watch_signals
from tests.standins import base

ANNOUNCE_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
STOP_POLL_S = 0.01


class RunnerStandIn(base.StandIn):
    """Answers any request, and records each execution and its request."""

    def __init__(self, options: Namespace, record: base.Record) -> None:
        super().__init__(record)
        self._options = options
        self._next_execution = base.create_counter()
        self._counts = {"executions": 0, "most_in_flight": 0, "over_slots": 0}
        self.in_flight = 0

    def operation(self, call: base.Call) -> str:
        """Return the call's method as its operation."""
        return call.method.lower()

    async def handle(self, operation: str, call: base.Call) -> base.Answer:
        """Execute a request."""
        execution = self._next_execution()
        self._note(call, "start", execution)
        self._enter()
        try:
            work_s = float(call.query.get("work_s", self._options.work_s))
            await curio.sleep(work_s)
        finally:
            self.in_flight -= 1
        self._note(call, "end", execution)
        return self._build_answer(call, execution)

    def build_record(self) -> dict[str, Any]:
        """Return counts and the log of executions."""
        return {**self._counts, "in_flight": self.in_flight, **super().build_record()}

    def _enter(self) -> None:
        self.in_flight += 1
        counts = self._counts
        counts["executions"] += 1
        counts["most_in_flight"] = max(counts["most_in_flight"], self.in_flight)
        counts["over_slots"] += self.in_flight > self._options.slots

    def _note(self, call: base.Call, event: str, execution: int) -> None:
        self.record.note(
            event=event,
            at=base.now(),
            runner=self._options.name,
            execution=execution,
            case=call.headers.get("x-case", ""),
            method=call.method,
            target=call.path,
            key=call.headers.get("idempotency-key", ""),
        )

    def _build_answer(self, call: base.Call, execution: int) -> base.Answer:
        document = {
            "case": call.headers.get("x-case", ""),
            "sha": hashlib.sha256(call.body).hexdigest(),
            "method": call.method,
            "target": call.path,
            "runner": self._options.name,
            "execution": execution,
        }
        size = int(call.query.get("size", "0"))
        body = json.dumps(document).encode().ljust(size)
        cut = len(body) // 2 if call.query.get("die") else None
        return base.Answer(int(call.query.get("status", "200")), body, cut=cut)


def send_word(options: Namespace, method: str, port: int) -> None:
    """Announce the runner to its agent (PUT), or withdraw it (DELETE)."""
    document = {
        "service": options.service,
        "address": f"{base.HOST}:{port}",
        "slots": options.slots,
        "cpu_milli": options.cpu_milli,
        "memory_mib": options.memory_mib,
    }
    body = json.dumps(document) if method == "PUT" else ""
    agent = http.client.HTTPConnection(options.agent, timeout=ANNOUNCE_TIMEOUT_S)
    headers = {"content-type": "application/json"}
    try:
        agent.request(method, f"/runners/{options.name}", body, headers)
        agent.getresponse().read()
    except (OSError, http.client.HTTPException):
        return  # the next announcement, a second later, repeats it
    finally:
        agent.close()


async def announce_forever(options: Namespace, port: int) -> None:
    """Announce the runner once a second."""
    while True:
        await curio.run_in_thread(send_word, options, "PUT", port)
        await curio.sleep(ANNOUNCE_S)


async def run_runner(options: Namespace, signals: SignalWatch) -> None:
    """Serve until SIGTERM, then withdraw and finish the requests in flight."""
    runner = RunnerStandIn(options, base.Record(options.record_file))
    sock = base.open_port(options.port)
    port = sock.getsockname()[1]
    await curio.spawn(base.serve, runner, sock, daemon=True)
    announcing = await curio.spawn(announce_forever, options, port, daemon=True)
    await signals.wait()
    await announcing.cancel()
    await curio.run_in_thread(send_word, options, "DELETE", port)
    while runner.in_flight:
        await curio.sleep(STOP_POLL_S)


def main() -> None:
    """Run the stand-in."""
    parser = base.create_parser("runner")
    parser.add_argument("--service", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--agent", required=True, help="ip:port")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--cpu-milli", type=int, default=1000)
    parser.add_argument("--memory-mib", type=int, default=1000)
    parser.add_argument("--work-s", type=float, default=0.005)
    options = parser.parse_args()
    with watch_signals() as signals:
        curio.run(run_runner(options, signals))


if __name__ == "__main__":
    main()
