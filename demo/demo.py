"""Runs the whole system on this machine and kills an agent under load.

Starts stand-ins for the platform, two entries and three workers with an agent
and runners each; defines profiles with the operators' command line; sends
interactive requests and submits batch tasks while one agent is killed and
restarted. The exit status is 0 only if all checks pass against the records that
runners and workers write themselves.
"""

from __future__ import annotations

import json
import os
import shlex
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any

from demo.checks import (
    check_availability,
    check_capacity,
    check_requests,
    check_tasks,
)
from demo.load import Case, run_callers
from tests.harness import Cluster, run_cluster, wait_until
from tests.harness.documents import TOKEN

ROOT = Path(__file__).resolve().parents[1]
PROFILES = ROOT / "examples" / "lisovna" / "profiles"
ENTRIES = ("entry-1", "entry-2")
WORKERS = ("press-01", "press-02", "press-03")
SERVICES = {"order-desk": "quote-check", "matrix-tracking": "matrix-entry"}
CALLS = (
    ("counter", "order-desk", "GET"),
    ("record-shop", "order-desk", "GET"),
    ("archive", "order-desk", "GET"),
    ("press-hall", "matrix-tracking", "POST"),
    ("stamper-store", "matrix-tracking", "POST"),
)
TASKS = 12
TASK_RUN_S = 6.0
RUN_EVENTS = {"start": 1, "end": -1}
CASES_BEFORE = 200
CASES_AFTER = 200


class Demo:
    """The cluster, and the operator's actions on it."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    @property
    def entries(self) -> list[str]:
        """Return the entries' HTTP addresses."""
        return [self._cluster[name].address("http") for name in ENTRIES]

    def operate(self, *arguments: str) -> str:
        """Run the operators' command line; return what it prints."""
        environment = {
            **os.environ,
            "PISTACHIODEAL_ENTRY": ",".join(self.entries),
            "PISTACHIODEAL_TOKEN": TOKEN,
        }
        command = [sys.executable, "-m", "pistachiodeal.commands.cli", *arguments]
        print(f"$ {shlex.join(['pistachiodeal', *arguments])}", flush=True)
        done = subprocess.run(
            command, cwd=ROOT, env=environment, stdout=subprocess.PIPE, check=True
        )
        return done.stdout.decode()

    def start(self) -> None:
        """Start all processes."""
        cluster = self._cluster
        cluster.start_table()
        cluster.start_objects()
        for name in ENTRIES:
            cluster.start_entry(name)
        for name in WORKERS:
            worker = cluster.start_worker(name)
            self._start_agent(name, worker)
            for service in SERVICES:
                agent = cluster[f"agent-{name}"]
                cluster.start_runner(service, agent, f"{service}-{name}")

    def define(self) -> None:
        """Define the example profiles and assign the services."""
        for path in sorted(PROFILES.glob("*.json")):
            file = str(path.relative_to(ROOT))
            print(self.operate("profile", "define", path.stem, "--file", file))
        for service, profile in SERVICES.items():
            print(self.operate("service", "assign", service, profile))

    def wait_ready(self) -> None:
        """Wait until each entry answers for each service through each agent."""
        for entry in self.entries:
            wait_until(partial(self._is_ready, entry), f"{entry} is ready")

    def submit(self) -> list[str]:
        """Submit the tasks; return their ids."""
        ids = []
        for number in range(TASKS):
            payload = json.dumps({"run_s": TASK_RUN_S, "result": f"plan {number}"})
            arguments = ["--kind", "test-pressing", "--team", "press-hall"]
            arguments += ["--profile", "test-pressing", "--payload", payload]
            printed = self.operate("task", "submit", *arguments, "--json")
            ids.append(str(json.loads(printed)["id"]))
        return ids

    def kill_agent(self) -> None:
        """Kill an agent while its worker runs tasks, then restart it."""
        name = wait_until(self._find_busy_worker, "a worker has tasks")
        print(f"killing the agent of {name}", flush=True)
        self._cluster[f"agent-{name}"].kill()
        for entry in self.entries:
            wait_until(partial(self._has_lost, entry, name), f"{entry} has noticed it")
        print(f"starting the agent of {name} again", flush=True)
        self._start_agent(name, self._cluster[f"worker-{name}"])

    def wait_tasks(self, ids: Sequence[str]) -> list[dict[str, Any]]:
        """Wait until all tasks have ended; return them."""
        entry = self._cluster[ENTRIES[0]]
        return [
            {"task_id": task_id, **self._cluster.wait_task(entry, task_id)}
            for task_id in ids
        ]

    def find_faults(
        self, cases: Sequence[Case], tasks: Sequence[dict[str, Any]]
    ) -> list[str]:
        """Compare callers' outcomes with the records of runners and workers."""
        runners = [f"{service}-{name}" for service in SERVICES for name in WORKERS]
        executions = self._cluster.read_events(*runners)
        runs = self._cluster.read_events(*(f"worker-{name}" for name in WORKERS))
        return [
            *check_requests(cases, executions),
            *check_availability(cases, unknown_limit=len(CALLS)),
            *check_tasks(tasks, runs),
            *check_capacity(runs),
        ]

    def _start_agent(self, name: str, worker: Any) -> None:
        entries = [self._cluster[entry] for entry in ENTRIES]
        self._cluster.start_agent(name, worker, entries)

    def _is_ready(self, entry: str) -> bool:
        if self._list_workers(entry) != set(WORKERS):
            return False
        return all(
            self._cluster.http(entry_process, "GET", f"/{service}/ready").status == 200
            for entry_process in (self._cluster[name] for name in ENTRIES)
            for service in SERVICES
        )

    def _find_busy_worker(self) -> str | None:
        """Return the worker that runs the most tasks, or None if none runs any."""
        running: Counter[str] = Counter()
        for name in WORKERS:
            for event in self._cluster.read_events(f"worker-{name}"):
                running[name] += RUN_EVENTS.get(event["event"], 0)
        name, count = running.most_common(1)[0] if running else ("", 0)
        return name if count > 0 else None

    def _has_lost(self, entry: str, worker: str) -> bool:
        return worker not in self._list_workers(entry)

    def _list_workers(self, entry: str) -> set[str]:
        reply = self._cluster.operate(entry, "GET", "/-/status")
        return {agent["worker"] for agent in reply.document()["agents"]}


def print_cases(cases: Sequence[Case]) -> None:
    """Print the number of requests by service, method and outcome."""
    counts = Counter((case.service, case.method, case.outcome) for case in cases)
    for (service, method, outcome), count in sorted(counts.items()):
        print(f"{service:16} {method:5} {outcome:8} {count}")


def print_tasks(tasks: Sequence[dict[str, Any]]) -> None:
    """Print the final state of each task."""
    for task in tasks:
        print(
            f"{task['task_id']}: {task['state']}, attempt {task['attempt']}, "
            f"result {task['result']!r}"
        )


def run_demo(demo: Demo) -> list[str]:
    """Run the demo; return the faults found."""
    demo.start()
    demo.define()
    demo.wait_ready()
    with run_callers(demo.entries, CALLS) as callers:
        ids = demo.submit()
        wait_until(lambda: len(callers.cases) >= CASES_BEFORE, "requests are answered")
        demo.kill_agent()
        tasks = demo.wait_tasks(ids)
        goal = len(callers.cases) + CASES_AFTER
        wait_until(lambda: len(callers.cases) >= goal, "requests go on")
    print("\nRequests and their outcomes")
    print_cases(callers.cases)
    print("\nHistograms of each class")
    print(demo.operate("histograms", "--by", "service"))
    print("Histograms of each caller and class")
    print(demo.operate("histograms"))
    print("Final state of each task")
    print_tasks(tasks)
    return demo.find_faults(callers.cases, tasks)


def main() -> int:
    """Run the demo and return the exit status."""
    with tempfile.TemporaryDirectory(prefix="pistachiodeal-demo-") as directory:
        with run_cluster(Path(directory)) as cluster:
            faults = run_demo(Demo(cluster))
    for fault in faults:
        print(f"check failed: {fault}")
    print("the demo passed" if not faults else f"{len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
