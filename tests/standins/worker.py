"""Stand-in for the platform's worker runtime; its tasks make progress with time alone.

The payload is JSON: ``{"run_s": 0.5, "fail": false, "result": "...", "use":
{"cpu_milli": 500}, "never_checkpoint": false}``. ``GET /record`` and the record
file show each interval in which a task ran, by the host's monotonic clock.
"""

from __future__ import annotations

import json
from base64 import b64decode
from collections import deque
from dataclasses import asdict, dataclass
from typing import Any

import curio

from tests.standins import base

SWEEP_S = 0.02
SAMPLE_S = 0.1
SAMPLES = 3_000
AMOUNTS = ("cpu_milli", "memory_mib", "accelerators")
RUNNING = "running"

Amounts = dict[str, int]


@dataclass(slots=True)
class Interval:
    """When an attempt ran, how it ended, and its progress."""

    task_id: str
    attempt: int
    start: float
    progress_from: float
    worker: str
    end: float | None = None
    ended: str = ""
    progress_to: float | None = None
    event: str = "start"


@dataclass(slots=True)
class TaskRun:
    """One attempt of a task."""

    interval: Interval
    task_id: str
    attempt: int
    kind: str
    size: Amounts
    tag: str
    lease_until: float
    work: dict[str, Any]
    progress: float
    advanced_at: float
    started_at: float
    state: str = RUNNING
    result: str = ""
    throttle: float = 1.0

    def advance(self, at: float) -> str:
        """Advance the run to ``at``, at most to the lease's end; return its state."""
        if self.state != RUNNING:
            return self.state
        until = min(at, self.lease_until)
        speed = self.throttle / max(float(self.work.get("run_s", 0.5)), 1e-6)
        gained = max(0.0, until - self.advanced_at) * speed
        if self.progress + gained >= 1.0:
            until = self.advanced_at + (1.0 - self.progress) / speed
            self._end("failed" if self.work.get("fail") else "finished", until, 1.0)
        elif at >= self.lease_until:
            self._end("expired", max(until, self.advanced_at), self.progress + gained)
        else:
            self.progress += gained
            self.advanced_at = until
        return self.state

    def stop(self, at: float) -> None:
        """Stop the run, unless it has ended by itself before."""
        if self.advance(at) == RUNNING:
            self._end("stopped", at, self.progress)

    def _end(self, state: str, at: float, progress: float) -> None:
        self.state, self.advanced_at, self.progress = state, at, min(progress, 1.0)
        if state in ("finished", "failed"):
            self.result = str(self.work.get("result", state))

    def describe(self) -> dict[str, Any]:
        """Return the run as ``/runs`` and ``/stop`` show it."""
        names = ("task_id", "attempt", "kind", "size", "state", "result", "started_at")
        shown = {name: getattr(self, name) for name in names}
        return {**shown, "throttle": self.throttle, "tag": self.tag}


class WorkerStandIn(base.StandIn):
    """One worker: capacity, sessions, leases and runs."""

    def __init__(self, worker: str, capacity: Amounts, record: base.Record) -> None:
        super().__init__(record)
        self._worker = worker
        self._capacity = capacity
        self._session = 0
        self._runs: dict[tuple[str, int], TaskRun] = {}
        self._intervals: list[Interval] = []
        self._over_capacity: list[dict[str, Any]] = []
        self._fenced = 0
        self._samples: deque[tuple[float, list[dict[str, Any]]]] = deque(maxlen=SAMPLES)

    async def handle(self, operation: str, call: base.Call) -> base.Answer:
        """Execute a call."""
        self._sweep()
        if operation == "attach":
            # A restarted worker must not reuse a session from before its restart.
            self._session = max(self._session + 1, int(base.now() * 1e6))
            return base.answer_json(
                {"session": self._session, "capacity": self._capacity}
            )
        if call.headers.get("session") != str(self._session):
            self._fenced += 1
            return base.answer_error(409, "worker_fenced")
        operations = {
            "start": self._start,
            "renew": self._renew,
            "checkpoint": self._checkpoint,
            "throttle": self._throttle,
            "stop": self._stop,
            "forget": self._forget,
            "runs": self._list_runs,
            "usage": self._list_usage,
        }
        if operation not in operations:
            return base.answer_error(404, "no_such_operation")
        return operations[operation](call.document())

    def build_record(self) -> dict[str, Any]:
        """Return all intervals, and the starts over capacity and fenced calls."""
        self._sweep()
        return {
            "worker": self._worker,
            "capacity": self._capacity,
            "session": self._session,
            "fenced": self._fenced,
            "over_capacity": self._over_capacity,
            "intervals": [asdict(interval) for interval in self._intervals],
        }

    async def sweep_forever(self) -> None:
        """Enforce leases and sample usage, also while no calls arrive."""
        while True:
            self._sweep()
            self._take_sample(base.now())
            await curio.sleep(SWEEP_S)

    def _sweep(self) -> None:
        at = base.now()
        for run in self._runs.values():
            if run.advance(at) != RUNNING and run.interval.end is None:
                self._close_interval(run)

    def _close_interval(self, run: TaskRun) -> None:
        interval = run.interval
        interval.event, interval.end = "end", run.advanced_at
        interval.ended, interval.progress_to = run.state, run.progress
        self.record.note(**asdict(interval))

    def _take_sample(self, at: float) -> None:
        if self._samples and at - self._samples[-1][0] < SAMPLE_S:
            return
        used = [
            {"subject": run.task_id, "at": at, "used": self._measure(run)}
            for run in self._running()
        ]
        self._samples.append((at, used))

    def _measure(self, run: TaskRun) -> Amounts:
        used = {**run.size, **run.work.get("use", {})}
        return {**used, "cpu_milli": int(used.get("cpu_milli", 0) * run.throttle)}

    def _running(self) -> list[TaskRun]:
        return [run for run in self._runs.values() if run.state == RUNNING]

    def _find(self, task_id: str) -> TaskRun | None:
        runs = [run for (known, _), run in self._runs.items() if known == task_id]
        return max(runs, key=lambda run: run.attempt, default=None)

    def _start(self, asked: dict[str, Any]) -> base.Answer:
        at = base.now()
        key = (asked["task_id"], asked["attempt"])
        if key in self._runs:
            return base.answer_json({})
        if any(run.task_id == key[0] for run in self._running()):
            return base.answer_error(409, "task_runs")
        if asked["lease_until"] <= at:
            return base.answer_error(409, "lease_over")
        if not self._has_room(asked["size"]):
            self._over_capacity.append({"at": at, "task_id": key[0]})
            self.record.note(event="over_capacity", worker=self._worker, at=at)
            return base.answer_error(409, "over_capacity")
        self._add_run(key, asked, at)
        return base.answer_json({})

    def _add_run(self, key: tuple[str, int], asked: dict[str, Any], at: float) -> None:
        work = parse_work(asked["payload"])
        if self.faults.fail_all:
            work = {**work, "run_s": 0.01, "fail": True, "result": "worker broken"}
        progress = parse_checkpoint(asked.get("checkpoint"))
        interval = Interval(*key, at, progress, self._worker)
        self._intervals.append(interval)
        self.record.note(**asdict(interval))
        self._runs[key] = TaskRun(
            interval,
            key[0],
            key[1],
            asked["kind"],
            asked["size"],
            asked.get("tag", ""),
            asked["lease_until"],
            work,
            progress,
            advanced_at=at,
            started_at=at,
        )

    def _has_room(self, size: Amounts) -> bool:
        return all(
            sum(run.size.get(name, 0) for run in self._running()) + size.get(name, 0)
            <= self._capacity[name]
            for name in AMOUNTS
        )

    def _renew(self, asked: dict[str, Any]) -> base.Answer:
        for run in self._running():
            until = asked["leases"].get(run.task_id, 0.0)
            run.lease_until = max(run.lease_until, until)
        return base.answer_json({})

    def _checkpoint(self, asked: dict[str, Any]) -> base.Answer:
        run = self._find(asked["task_id"])
        if run is None or run.state != RUNNING:
            return base.answer_error(404, "unknown_run")
        if run.work.get("never_checkpoint"):
            return base.answer_error(409, "no_checkpoint")
        return base.Answer(200, json.dumps({"progress": run.progress}).encode())

    def _throttle(self, asked: dict[str, Any]) -> base.Answer:
        run = self._find(asked["task_id"])
        if run is None or run.state != RUNNING:
            return base.answer_error(404, "unknown_run")
        run.throttle = min(1.0, max(0.0, float(asked["share"])))
        return base.answer_json({})

    def _stop(self, asked: dict[str, Any]) -> base.Answer:
        run = self._find(asked["task_id"])
        if run is None:
            return base.answer_error(404, "unknown_run")
        run.stop(base.now())
        self._sweep()
        return base.answer_json(run.describe())

    def _forget(self, asked: dict[str, Any]) -> base.Answer:
        run = self._runs.get((asked["task_id"], asked["attempt"]))
        if run and run.state == RUNNING:
            return base.answer_error(409, "task_runs")
        self._runs.pop((asked["task_id"], asked["attempt"]), None)
        return base.answer_json({})

    def _list_runs(self, _asked: dict[str, Any]) -> base.Answer:
        return base.answer_json(
            {"runs": [run.describe() for run in self._runs.values()]}
        )

    def _list_usage(self, _asked: dict[str, Any]) -> base.Answer:
        newest = base.now() - self.faults.usage_lag_s
        for at, samples in reversed(self._samples):
            if at <= newest:
                return base.answer_json({"samples": samples})
        return base.answer_json({"samples": []})


def parse_work(payload: str) -> dict[str, Any]:
    """Return the work that a payload describes; other text means the defaults."""
    try:
        work = json.loads(payload)
    except ValueError:
        return {}
    return work if isinstance(work, dict) else {}


def parse_checkpoint(text: str | None) -> float:
    """Return the progress in a checkpoint, or 0 without one."""
    return float(json.loads(b64decode(text))["progress"]) if text else 0.0


async def run_worker(stand_in: WorkerStandIn, port: int) -> None:
    """Serve calls and enforce leases until cancelled."""
    await curio.spawn(stand_in.sweep_forever, daemon=True)
    await base.run_stand_in(stand_in, port)


def main() -> None:
    """Run the stand-in."""
    parser = base.create_parser("worker")
    parser.add_argument("--worker", required=True)
    for name, default in zip(AMOUNTS, (16_000, 60_000, 0), strict=True):
        parser.add_argument(f"--{name.replace('_', '-')}", type=int, default=default)
    options = parser.parse_args()
    capacity = {name: getattr(options, name) for name in AMOUNTS}
    stand_in = WorkerStandIn(options.worker, capacity, base.Record(options.record_file))
    curio.run(run_worker(stand_in, options.port))


if __name__ == "__main__":
    main()
