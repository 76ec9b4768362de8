"""The deployment under test: two entries, three workers, and platform stand-ins."""

from __future__ import annotations

import re
import socket
import threading
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from pistachiodeal.batch.ownership import choose_preferred_owner
from pistachiodeal.config.agent import AgentSettings, RuntimeSettings
from pistachiodeal.config.common import LinkSettings, StoreSettings
from pistachiodeal.config.entry import BatchSettings, EntrySettings
from tests.harness import Cluster, Process, wait_until
from tests.harness.cluster import get_address

SERVICE = "orders"
PROFILE = "counter"
BATCH_PROFILE = "batch"
ENTRIES = ("e1", "e2")
WORKERS = ("w1", "w2", "w3")
SLOTS = 8
WORK_S = 0.01
QUICK_TASK_LEASE_S = 2.0
PARTITIONS = BatchSettings().partitions  # both entries own some
COUNTER_LINE = re.compile(r"^([^.]+)\.(.+):(-?\d+)\|c$")
MAX_DATAGRAM_BYTES = 65_536
POLL_S = 0.2


class StatsdSink:
    """Sums the counters that entries and agents send; they survive a killed process."""

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.settimeout(POLL_S)
        self._counts: Counter[str] = Counter()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        """Return the address of the sink."""
        return f"127.0.0.1:{self._socket.getsockname()[1]}"

    def counts(self) -> Counter[str]:
        """Return the counters summed over all processes, by name."""
        return Counter(self._counts)

    def close(self) -> None:
        """Stop receiving."""
        self._stop.set()
        self._thread.join()
        self._socket.close()

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except TimeoutError:
                continue
            for line in data.decode().splitlines():
                if found := COUNTER_LINE.match(line):
                    self._counts[found[2]] += int(found[3])


@dataclass(frozen=True, slots=True)
class Timings:
    """Time settings of the deployment.

    :param quick: use the short times of the tests instead of the product's defaults.
    :param silent_s: overrides ``link.silent_s``; pings are four times as frequent.
    :param task_lease_s: overrides the profile's default.
    """

    quick: bool = False
    silent_s: float | None = None
    task_lease_s: float | None = None


@dataclass
class Deployment:
    """The processes of the deployment and how to restart them."""

    cluster: Cluster
    sink: StatsdSink
    timings: Timings
    relays: dict[str, Process] = field(default_factory=dict)

    @property
    def addresses(self) -> list[str]:
        """Return the HTTP addresses of the entries."""
        return [get_address(self.cluster[name], "http") for name in ENTRIES]

    def start(self, relays: str) -> None:
        """Start all processes and wait until callers are served.

        :param relays: what is reached through relays, ``table`` or ``entries``.
        """
        self.cluster.start_table()
        self.cluster.start_objects()
        for name in ENTRIES:
            self._start_relays(name, relays)
            self.start_entry(name)
        for worker in WORKERS:
            self.cluster.start_worker(worker)
            self.start_agent(worker)
            self.start_runner(worker)
        self._define_profiles()
        self.wait_served()
        self._wait_partitions()

    def start_entry(self, name: str) -> None:
        """Start or restart an entry."""
        overrides = self._entry_overrides(name)
        table = self.relays.get(f"table-{name}")
        self.cluster.start_entry(name, table, **overrides)

    def start_agent(self, worker: str) -> None:
        """Start or restart a worker's agent."""
        entries = [self.relays.get(name, self.cluster[name]) for name in ENTRIES]
        runtime = self.cluster[f"worker-{worker}"]
        overrides = self._agent_overrides(worker)
        self.cluster.start_agent(worker, runtime, entries, **overrides)

    def start_runner(self, worker: str) -> None:
        """Start or restart a worker's runner."""
        agent = self.cluster[f"agent-{worker}"]
        name = f"{SERVICE}-{worker}"
        self.cluster.start_runner(SERVICE, agent, name, slots=SLOTS, work_s=WORK_S)

    def wait_served(self) -> None:
        """Wait until each entry lists all workers with their runners."""
        for name in ENTRIES:
            wait_until(partial(self._sees_all, name), f"{name} sees all workers")

    def read_status(self, name: str) -> dict[str, Any]:
        """Return an entry's status document."""
        reply = self.cluster.operate(self.cluster[name], "GET", "/-/status")
        return dict(reply.document())

    def read_histograms(self, name: str) -> list[dict[str, Any]]:
        """Return an entry's histograms, one for each caller and service."""
        reply = self.cluster.operate(self.cluster[name], "GET", "/-/histograms")
        return list(reply.document()["histograms"])

    def read_table(self) -> dict[str, int]:
        """Return the number of commits, reads and scans that the table has executed."""
        record = self.cluster.record(self.cluster["table"])
        return {name: record[name] for name in ("commits", "reads", "scans")}

    def _sees_all(self, name: str) -> bool:
        agents = self.read_status(name)["agents"]
        return sum(bool(agent["services"]) for agent in agents) >= len(WORKERS)

    def _wait_partitions(self) -> None:
        """Wait until each partition is at its preferred owner.

        The entry that starts first owns all partitions at first and hands some over
        later; a handover would disturb the baseline measurement.
        """

        def is_distributed() -> bool:
            owned = {name: self._list_owned(name) for name in ENTRIES}
            return all(
                str(partition) in owned[choose_preferred_owner(partition, ENTRIES)]
                for partition in range(PARTITIONS)
            )

        wait_until(
            is_distributed, "each partition is owned by its preferred entry", 60.0
        )

    def _list_owned(self, name: str) -> set[str]:
        return set(self.read_status(name)["batch"]["partitions"])

    def _define_profiles(self) -> None:
        entry = self.cluster[ENTRIES[0]]
        self.cluster.define_profile(entry, PROFILE)
        fields: dict[str, Any] = {"latency_critical": False}
        if self.timings.quick:
            fields["task_lease_s"] = QUICK_TASK_LEASE_S
        if self.timings.task_lease_s is not None:
            fields["task_lease_s"] = self.timings.task_lease_s
        self.cluster.define_profile(entry, BATCH_PROFILE, **fields)
        self.cluster.assign(entry, SERVICE, PROFILE)

    def _start_relays(self, name: str, relays: str) -> None:
        if relays == "table":
            relay = self.cluster.start_relay(
                self.cluster["table"], name=f"relay-table-{name}"
            )
            self.relays[f"table-{name}"] = relay
        if relays == "entries":
            # The entry advertises the relay's address to its peers, so the
            # relay has to start first, which needs the entry's port.
            entry = self.cluster.start_entry(name, **self._entry_overrides(name))
            relay = self.cluster.start_relay(
                entry, "internal", name=f"relay-entry-{name}"
            )
            self.relays[name] = relay
            entry.kill()

    def _entry_overrides(self, name: str) -> dict[str, Any]:
        overrides: dict[str, Any] = {"statsd": self._build_statsd(name)}
        if name in self.relays:
            overrides["internal"] = {"advertise": get_address(self.relays[name])}
        if self.timings.quick:
            overrides["batch"] = {"partitions": PARTITIONS}
        else:
            overrides |= build_entry_defaults()
        return overrides | self._build_link()

    def _agent_overrides(self, worker: str) -> dict[str, Any]:
        overrides: dict[str, Any] = {"statsd": self._build_statsd(f"agent-{worker}")}
        if not self.timings.quick:
            overrides |= build_agent_defaults()
        return overrides | self._build_link()

    def _build_link(self) -> dict[str, Any]:
        silent_s = self.timings.silent_s
        if silent_s is None:
            return {}
        link = LinkSettings(ping_s=silent_s / 4, silent_s=silent_s)
        return {"link": link.model_dump()}

    def _build_statsd(self, node: str) -> dict[str, str]:
        return {"address": self.sink.address, "prefix": node}


def build_entry_defaults() -> dict[str, Any]:
    """Return an entry's default times, which replace the harness's short ones."""
    fields = EntrySettings.model_fields
    return {
        "store": {"timeout_s": StoreSettings.model_fields["timeout_s"].default},
        "link": LinkSettings().model_dump(),
        "batch": BatchSettings().model_dump(),
        "profile_poll_s": fields["profile_poll_s"].default,
        "drain_s": fields["drain_s"].default,
    }


def build_agent_defaults() -> dict[str, Any]:
    """Return an agent's default times, which replace the harness's short ones."""
    fields = AgentSettings.model_fields
    names = ("timeout_s", "poll_s", "usage_s")
    runtime = {name: RuntimeSettings.model_fields[name].default for name in names}
    return {
        "report_s": fields["report_s"].default,
        "runtime": runtime,
        "link": LinkSettings().model_dump(),
        "drain_s": fields["drain_s"].default,
    }
