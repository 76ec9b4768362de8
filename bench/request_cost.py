"""Measures what one interactive request costs: ``python -m bench.request_cost``.

Rounds of the floor (:mod:`bench.floor_programs`), of the real programs and of
direct calls to the runner alternate, so that other load on the machine affects
all three alike. The table goes to standard output, all figures to
``bench/results/request_cost.json``.
"""

from __future__ import annotations

import argparse
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from bench.request_load import (
    Callers,
    Cost,
    build_request,
    read_cost,
    read_memory_kib,
)
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.config.entry import EntrySettings
from pistachiodeal.web.listener import bind_listener
from tests.harness import Cluster, run_cluster
from tests.harness.cluster import Peer, get_address
from tests.harness.processes import Process

RESULT = Path(__file__).parent / "results" / "request_cost.json"
SERVICE = "orders"
TARGET = f"/{SERVICE}/1?work_s=0"
SLOTS = 16
WARM_UP = 300
BODY = b"x" * 4096
CASES = {"get_1": (1, b""), "get_8": (8, b""), "post_4k_8": (8, BODY)}
ROLES = ("entry", "agent")
MICROSECONDS = 1e6
IDLE_S = 10.0
SETTLE_S = 3.0
# The harness shortens the times; idle figures are measured with the defaults.
ENTRY_DEFAULTS = ("link", "batch", "profile_poll_s")
AGENT_DEFAULTS = ("link", "report_s")


@dataclass(slots=True)
class Route:
    """One route from callers to the runner, with its measurements."""

    address: str
    processes: Mapping[str, Process]
    costs: dict[str, Cost] = field(default_factory=dict)
    rounds: dict[str, list[float]] = field(default_factory=dict)
    latencies: list[float] = field(default_factory=list)
    seconds: float = 0.0

    def measure(self, connections: int, body: bytes, count: int) -> None:
        """Run one round: a warm-up, then ``count`` measured requests."""
        callers = Callers(self.address, connections, build_request(TARGET, body))
        try:
            callers.run(WARM_UP)
            before = {role: read_cost(p.pid) for role, p in self.processes.items()}
            started = time.monotonic()
            self.latencies += callers.run(count)
            self.seconds += time.monotonic() - started
            for role, process in self.processes.items():
                cost = read_cost(process.pid) - before[role]
                self.costs[role] = self.costs.get(role, Cost(0, 0)) + cost
                per_request = cost.total_s / count * MICROSECONDS
                self.rounds.setdefault(role, []).append(per_request)
        finally:
            callers.close()

    def clear(self) -> None:
        """Discard the measurements."""
        self.costs.clear()
        self.rounds.clear()
        self.latencies.clear()
        self.seconds = 0.0


def read_defaults(model: Any, names: tuple[str, ...]) -> dict[str, Any]:
    """Return the defaults of the named settings."""
    found = {name: model.model_fields[name].default for name in names}
    return {
        name: value.model_dump() if hasattr(value, "model_dump") else value
        for name, value in found.items()
    }


def find_free_port() -> int:
    """Return a port that is free at present."""
    with bind_listener("127.0.0.1", 0) as listener:
        return int(listener.getsockname()[1])


def start_programs(cluster: Cluster, relayed: bool) -> dict[str, Process]:
    """Start the stand-ins, an entry, an agent and a runner.

    :param relayed: put a relay that counts bytes into each connection.
    """
    relays: dict[str, Process] = {}

    def add_relay(name: str, peer: Peer, label: str = "port") -> Peer:
        if not relayed:
            return peer
        relays[name] = cluster.start_relay(peer, label, name=f"relay-{name}")
        return relays[name]

    table = add_relay("entry_table", cluster.start_table())
    objects = cluster.start_objects()
    runtime = add_relay("agent_runtime", cluster.start_worker("w1"))
    settings = read_defaults(EntrySettings, ENTRY_DEFAULTS)
    if relayed:
        # Agents connect to the address that an entry advertises. It has to be the
        # relay's, so the relay starts before the entry.
        port = find_free_port()
        internal = add_relay("agent_entry", f"127.0.0.1:{port}")
        settings["internal"] = {"port": port, "advertise": get_address(internal)}
    entry = cluster.start_entry(
        "entry", table=table, objects=add_relay("entry_objects", objects), **settings
    )
    agent = cluster.start_agent(
        "w1",
        worker=runtime,
        entries=[relays.get("agent_entry", entry)],
        objects=add_relay("agent_objects", objects),
        **read_defaults(AgentSettings, AGENT_DEFAULTS),
    )
    announce = add_relay("runner_agent", agent, "announce")
    runner = cluster.start_runner(SERVICE, announce, "runner", slots=SLOTS, work_s=0)
    cluster.wait_reply(entry, TARGET)
    return {"entry": entry, "agent": agent, "runner": runner, **relays}


@contextmanager
def open_routes(directory: Path) -> Iterator[dict[str, Route]]:
    """Yield the routes to one runner: floor, real programs and direct calls."""
    floor: list[Process] = []
    with run_cluster(directory) as cluster:
        programs = start_programs(cluster, relayed=False)
        entry, agent, runner = (programs[n] for n in ("entry", "agent", "runner"))
        module = "bench.floor_programs"
        try:
            arguments = ["agent", runner.address()]
            floor.append(Process("floor-agent", module, arguments, directory))
            arguments = ["entry", floor[0].address()]
            floor.append(Process("floor-entry", module, arguments, directory))
            yield {
                "floor": Route(
                    floor[1].address(), {"entry": floor[1], "agent": floor[0]}
                ),
                "through": Route(
                    entry.address("http"), {"entry": entry, "agent": agent}
                ),
                "direct": Route(runner.address(), {}),
            }
        finally:
            for process in floor:
                process.clean_up()


def measure_case(
    routes: Mapping[str, Route], connections: int, body: bytes, options: Any
) -> dict[str, Any]:
    """Measure one kind of load on all routes in turn."""
    for route in routes.values():
        route.clear()
    for _ in range(options.rounds):
        for route in routes.values():
            route.measure(connections, body, options.requests)
    request_count = options.rounds * options.requests
    roles = {role: summarise_role(routes, role, request_count) for role in ROLES}
    both = {
        name: sum(roles[role][f"{name}_us"] for role in ROLES)
        for name in ("floor", "through")
    }
    return {
        "connections": connections,
        "body_bytes": len(body),
        "requests": request_count,
        "through_seconds": routes["through"].seconds,
        "roles": roles,
        "ratio_both": both["through"] / both["floor"],
        "latency_us": summarise_latency(routes),
    }


def summarise_role(
    routes: Mapping[str, Route], role: str, request_count: int
) -> dict[str, float]:
    """Return a role's CPU time per request, in the real program and the floor's."""
    floor, through = (routes[name].costs[role] for name in ("floor", "through"))
    pairs = zip(
        routes["through"].rounds[role], routes["floor"].rounds[role], strict=True
    )
    ratios = [real / least for real, least in pairs]
    return {
        "floor_us": floor.total_s / request_count * MICROSECONDS,
        "through_us": through.total_s / request_count * MICROSECONDS,
        "through_system_us": through.system_s / request_count * MICROSECONDS,
        "ratio": through.total_s / floor.total_s,
        "ratio_least_round": min(ratios),
        "ratio_largest_round": max(ratios),
    }


def summarise_latency(routes: Mapping[str, Route]) -> dict[str, float]:
    """Return latency percentiles of each route, microseconds."""
    found: dict[str, float] = {}
    for name in ("direct", "floor", "through"):
        cuts = statistics.quantiles(routes[name].latencies, n=100)
        found[f"{name}_p50"] = cuts[49] * MICROSECONDS
        found[f"{name}_p99"] = cuts[98] * MICROSECONDS
    for share in ("p50", "p99"):
        found[f"added_{share}"] = found[f"through_{share}"] - found[f"direct_{share}"]
    return found


def measure_idle(directory: Path, seconds: float) -> dict[str, Any]:
    """Return the CPU, memory and traffic of an idle entry and agent."""
    with run_cluster(directory) as cluster:
        programs = start_programs(cluster, relayed=True)
        time.sleep(SETTLE_S)
        relays = [name for name in programs if name.partition("_")[2]]
        before = {role: read_cost(programs[role].pid) for role in ROLES}
        bytes_before = {n: cluster.record(programs[n], "control") for n in relays}
        started = time.monotonic()
        time.sleep(seconds)
        spent = time.monotonic() - started
        result: dict[str, Any] = {"seconds": spent, "bytes_per_s": {}}
        for role in ROLES:
            cost = read_cost(programs[role].pid) - before[role]
            result[role] = {
                "cpu_percent_of_a_core": cost.total_s / spent * 100,
                "memory_mib": read_memory_kib(programs[role].pid) / 1024,
            }
        for name in relays:
            count = cluster.record(programs[name], "control")["bytes"]
            moved = count - bytes_before[name]["bytes"]
            result["bytes_per_s"][name] = moved / spent
        return result


def add_background(result: dict[str, Any]) -> None:
    """Add the part of a request's cost that a role also uses while idle.

    The floor has no reports, heartbeats and polls. At a low request rate they add
    noticeably to the cost per request, although no request causes them.
    """
    for case in result["cases"].values():
        for role, row in case["roles"].items():
            share = result["idle"][role]["cpu_percent_of_a_core"] / 100
            background_s = share * case["through_seconds"] / case["requests"]
            row["background_us"] = background_s * MICROSECONDS
            own = row["through_us"] - row["background_us"]
            row["ratio_without_background"] = own / row["floor_us"]


def print_table(result: Mapping[str, Any]) -> None:
    """Print the figures as text."""
    print(f"load of the machine: {result['load_before']} to {result['load_after']}")
    for name, case in result["cases"].items():
        for role, row in case["roles"].items():
            print(
                f"{name:10} {role:6} floor {row['floor_us']:6.0f} us"
                f"  through {row['through_us']:6.0f} us"
                f"  (system {row['through_system_us']:4.0f})"
                f"  ratio {row['ratio']:.2f}"
                f"  rounds {row['ratio_least_round']:.2f}"
                f" to {row['ratio_largest_round']:.2f}"
                f"  background {row.get('background_us', 0.0):.0f} us"
                f"  ratio without it {row.get('ratio_without_background', 0.0):.2f}"
            )
        print(f"{name:10} both   ratio {case['ratio_both']:.2f}")
        row = case["latency_us"]
        print(
            f"{name:10} latency direct p50 {row['direct_p50']:.0f}"
            f" p99 {row['direct_p99']:.0f} us, through p50 {row['through_p50']:.0f}"
            f" p99 {row['through_p99']:.0f} us, added p50 {row['added_p50']:.0f}"
            f" p99 {row['added_p99']:.0f} us"
        )
    for key, value in result.get("idle", {}).items():
        print(f"idle {key}: {value}")


def parse_options() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="bench.request_cost", description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=2000, help="in a round")
    parser.add_argument("--idle-s", type=float, default=IDLE_S, help="0 leaves it out")
    parser.add_argument("--case", choices=CASES, action="append")
    parser.add_argument("--out", type=Path, default=RESULT)
    return parser.parse_args()


def main() -> int:
    """Measure all cases; print the figures and write them as JSON."""
    options = parse_options()
    result: dict[str, Any] = {
        "rounds": options.rounds,
        "processors": os.cpu_count(),
        "load_before": os.getloadavg(),
        "cases": {},
    }
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        with open_routes(directory) as routes:
            for case in options.case or CASES:
                connections, body = CASES[case]
                result["cases"][case] = measure_case(routes, connections, body, options)
    if options.idle_s > 0:
        with tempfile.TemporaryDirectory() as name:
            result["idle"] = measure_idle(Path(name), options.idle_s)
        add_background(result)
    result["load_after"] = os.getloadavg()
    print_table(result)
    options.out.parent.mkdir(exist_ok=True)
    options.out.write_bytes(orjson.dumps(result, option=orjson.OPT_INDENT_2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
