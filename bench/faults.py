"""Measure the system under each fault: ``python -m bench.faults``."""

from __future__ import annotations

import argparse
import json
import os
import platform
import subprocess
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from bench.fault_cases import CASES, Case
from bench.fault_deployment import (
    ENTRIES,
    SERVICE,
    WORKERS,
    Deployment,
    StatsdSink,
    Timings,
)
from bench.fault_load import CALLERS, RATE_PER_CALLER, Balancer, Load
from bench.fault_report import (
    Figures,
    describe_executions,
    describe_requests,
    describe_table,
    print_table,
    shorten_log,
)
from bench.fault_tasks import PERIOD_S, RUN_S, TaskFeeder, describe_tasks
from pistachiodeal.histograms import DIGITS, HIGHEST_US, LOWEST_US, PERCENTILES
from tests.harness import Cluster, run_cluster

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "bench" / "results" / "faults.json"
WARM_UP_S = 5.0
BASELINE_S = 8.0
AFTER_S = 12.0
QUICK_BASELINE_S = 4.0
QUICK_AFTER_S = 6.0


def run_case(case: Case, timings: Timings, logs: str) -> Figures:
    """Measure one fault on a deployment of its own."""
    with tempfile.TemporaryDirectory() as scratch:
        directory = Path(scratch)
        if logs:
            directory = Path(logs) / case.name.replace(" ", "-")
            # mkdir fails if the directory exists: records are appended to, so those
            # of an earlier run would be counted too.
            directory.mkdir(parents=True)
        sink = StatsdSink()
        try:
            with run_cluster(directory) as cluster:
                deployment = Deployment(cluster, sink, timings)
                deployment.start(case.relays)
                return measure(deployment, case)
        finally:
            sink.close()


def measure(deployment: Deployment, case: Case) -> Figures:
    """Put load on the deployment, inject the fault and return the figures."""
    quick = deployment.timings.quick
    balancer = Balancer(deployment.addresses)
    load = Load(balancer, SERVICE)
    feeder = TaskFeeder(balancer, deployment.addresses)
    time.sleep(WARM_UP_S)
    samples = [read_sample(deployment)]
    time.sleep(QUICK_BASELINE_S if quick else BASELINE_S)
    logs_before = read_logs(deployment.cluster)
    samples.append(read_sample(deployment))
    counts_before = deployment.sink.counts()
    histogram_before = read_histogram(deployment)
    fault_at = time.monotonic()
    case.inject(deployment)
    time.sleep(max(0.0, fault_at + case.get_duration(quick) - time.monotonic()))
    recovered_at = time.monotonic()
    if case.recover is not None:
        case.recover(deployment)
    samples.append(read_sample(deployment))
    time.sleep(QUICK_AFTER_S if quick else AFTER_S)
    end = time.monotonic()
    request_log = load.stop()
    samples.append(read_sample(deployment))
    counts = deployment.sink.counts() - counts_before
    feeder.stop()
    feeder.wait_ends(case.drain_s)
    balancer.stop()
    sent = list(request_log.sent)
    executions = describe_executions(sent, read_starts(deployment.cluster), fault_at)
    requests = describe_requests(sent, fault_at, recovered_at, end)
    retries = counts["entry.retries"]
    return {
        "fault": case.name,
        "held_s": round(recovered_at - fault_at, 2),
        "requests": requests,
        "skipped": request_log.skipped,
        **executions,
        "retries": retries,
        "handed_over": round(1 + retries / max(1, requests["requests"]), 4),
        "table": describe_table(samples, deployment.cluster.read_events("table")),
        "tasks": describe_tasks(
            feeder.tasks, read_runs(deployment.cluster), samples[0][0], fault_at
        ),
        "histogram_us": {"calm": histogram_before, "end": read_histogram(deployment)},
        "counters": dict(sorted(counts.items())),
        "status": read_counts(deployment),
        "logs": read_new_logs(deployment.cluster, logs_before),
    }


def read_sample(deployment: Deployment) -> tuple[float, dict[str, int]]:
    """Return the current time and the table's counts."""
    counts = deployment.read_table()
    return time.monotonic(), counts


def read_starts(cluster: Cluster) -> list[dict[str, Any]]:
    """Return the executions that the runners started."""
    events = cluster.read_events(*(f"{SERVICE}-{worker}" for worker in WORKERS))
    return [event for event in events if event["event"] == "start"]


def read_runs(cluster: Cluster) -> list[dict[str, Any]]:
    """Return the records of runs that the workers wrote."""
    return cluster.read_events(*(f"worker-{worker}" for worker in WORKERS))


def read_counts(deployment: Deployment) -> dict[str, dict[str, int]]:
    """Return the counters in the entries' status, counted since each start."""
    return {
        name: deployment.read_status(name)["counts"]
        for name in ENTRIES
        if deployment.cluster[name].running
    }


def read_histogram(deployment: Deployment) -> dict[str, int]:
    """Return latency percentiles of all callers from the entries' histograms."""
    whole = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for name in ENTRIES:
        if deployment.cluster[name].running:
            for row in deployment.read_histograms(name):
                whole.add(HdrHistogram.decode(row["encoded"]))
    values = whole.get_percentile_to_value_dict(list(PERCENTILES.values()))
    shown = {name: int(values[share]) for name, share in PERCENTILES.items()}
    return {"count": whole.get_total_count(), **shown, "max": whole.get_max_value()}


def read_logs(cluster: Cluster) -> dict[str, str]:
    """Return the log output of entries and agents so far."""
    names = [*ENTRIES, *(f"agent-{worker}" for worker in WORKERS)]
    return {name: cluster[name].errors for name in names}


def read_new_logs(cluster: Cluster, before: dict[str, str]) -> dict[str, Any]:
    """Return the log lines written after ``before``, shortened and counted."""
    new: dict[str, Counter[str]] = {"entry": Counter(), "agent": Counter()}
    for name, text in read_logs(cluster).items():
        program = "entry" if name in ENTRIES else "agent"
        new[program].update(shorten_log(text[len(before[name]) :]))
    return {program: dict(counts) for program, counts in new.items()}


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="bench.faults", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="short times, as in tests")
    parser.add_argument("--silent-s", type=float, help="in place of link.silent_s")
    parser.add_argument("--task-lease-s", type=float, help="the batch profile's")
    parser.add_argument("--only", nargs="*", default=[], help="names of faults")
    parser.add_argument("--jobs", type=int, default=1, help="deployments at once")
    parser.add_argument("--results", type=Path, default=RESULTS)
    parser.add_argument("--logs", default="", help="directory to keep all logs in")
    return parser.parse_args()


def main() -> int:
    """Measure the faults; the exit status is 1 if one could not be measured."""
    arguments = parse_arguments()
    timings = Timings(arguments.quick, arguments.silent_s, arguments.task_lease_s)
    names = arguments.only or [case.name for case in CASES]
    results: list[Figures] = []
    failed: dict[str, str] = {}
    with ProcessPoolExecutor(arguments.jobs) as pool:
        runs = {
            name: pool.submit(run_named, name, timings, arguments.logs)
            for name in names
        }
        for name, run in runs.items():
            try:
                results.append(run.result())
            except Exception as error:
                failed[name] = repr(error)
            print(f"{name}: {failed.get(name, 'measured')}", file=sys.stderr)
    print_table(results)
    for name, reason in failed.items():
        print(f"{name}: not measured, {reason}")
    document = {
        "conditions": describe_conditions(arguments),
        "results": results,
        "not_measured": failed,
        "not_run": [case.name for case in CASES if case.name not in names],
    }
    arguments.results.write_text(json.dumps(document, indent=1) + "\n")
    return 1 if failed else 0


def run_named(name: str, timings: Timings, logs: str) -> Figures:
    """Measure the fault of this name; runs in a process of the pool."""
    case = next(case for case in CASES if case.name == name)
    return run_case(case, timings, logs)


def read_revision() -> str:
    """Return the commit that is checked out, marked if the tree has changes."""
    command = ["git", "describe", "--always", "--abbrev=10", "--dirty"]
    return subprocess.run(
        command, capture_output=True, text=True, check=False, cwd=ROOT
    ).stdout.strip()


def describe_conditions(arguments: argparse.Namespace) -> Figures:
    """Return the conditions that the figures depend on."""
    return {
        "revision": read_revision(),
        "timings": "short" if arguments.quick else "default",
        "silent_s": arguments.silent_s,
        "task_lease_s": arguments.task_lease_s,
        "jobs": arguments.jobs,
        "entries": len(ENTRIES),
        "workers": len(WORKERS),
        "requests_per_s": CALLERS * RATE_PER_CALLER,
        "task_every_s": PERIOD_S,
        "task_run_s": RUN_S,
        "cores": os.cpu_count(),
        "load_average": [round(value, 1) for value in os.getloadavg()],
        "python": platform.python_version(),
    }


if __name__ == "__main__":
    sys.exit(main())
