"""A cluster of real programs and stand-ins on loopback."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from tests.harness import documents
from tests.harness.calls import Reply, call, call_json
from tests.harness.ports import reserve_port
from tests.harness.processes import Process
from tests.harness.waiting import LIMIT_S, NotReachedError, wait_until

Peer = Process | str
RELAY = "tests.standins.relay"
FINAL_STATES = ("finished", "failed", "cancelled")


class Cluster:
    """Starts processes by name; starting a name again restarts that process.

    A peer is given as a process or as an address ``ip:port``, for example that of a
    relay in front of the process.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._processes: dict[str, Process] = {}
        self._replaced: list[Process] = []
        self._ports: dict[tuple[str, str], int] = {}

    def __getitem__(self, name: str) -> Process:
        """Return the process of this name."""
        return self._processes[name]

    @property
    def processes(self) -> tuple[Process, ...]:
        """Return all processes, including those that a restart has replaced."""
        return (*self._replaced, *self._processes.values())

    def start_table(self) -> Process:
        """Start the table service."""
        return self._start_stand_in("table", "table", [])

    def start_objects(self) -> Process:
        """Start the object store."""
        return self._start_stand_in("objects", "objects", [])

    def start_worker(
        self,
        name: str,
        cpu_milli: int = 16_000,
        memory_mib: int = 60_000,
        accelerators: int = 0,
    ) -> Process:
        """Start a worker's runtime; the process is named ``worker-{name}``."""
        arguments = ["--worker", name, "--cpu-milli", str(cpu_milli)]
        arguments += ["--memory-mib", str(memory_mib)]
        arguments += ["--accelerators", str(accelerators)]
        return self._start_stand_in(f"worker-{name}", "worker", arguments)

    def start_runner(
        self,
        service: str,
        agent: Peer,
        name: str = "",
        *,
        slots: int = 8,
        work_s: float = 0.005,
        cpu_milli: int = 1_000,
        memory_mib: int = 1_000,
    ) -> Process:
        """Start a runner of a service that announces itself to an agent."""
        count = sum(key.startswith(f"{service}-") for key in self._processes)
        name = name or f"{service}-{count + 1}"
        arguments = ["--service", service, "--name", name]
        arguments += ["--agent", get_address(agent, "announce")]
        arguments += ["--slots", str(slots), "--work-s", str(work_s)]
        arguments += ["--cpu-milli", str(cpu_milli), "--memory-mib", str(memory_mib)]
        return self._start_stand_in(name, "runner", arguments)

    def start_relay(self, to: Peer, label: str = "port", name: str = "") -> Process:
        """Start a relay to a peer; it listens on its port labelled ``port``.

        :param label: port of the peer to relay to, if the peer has several.
        """
        count = sum(key.startswith("relay-") for key in self._processes)
        arguments = ["--to", get_address(to, label)]
        return self._start_stand_in(name or f"relay-{count + 1}", "relay", arguments)

    def start_entry(
        self,
        name: str,
        table: Peer | None = None,
        objects: Peer | None = None,
        **overrides: Any,
    ) -> Process:
        """Start an entry; a restart keeps its ports.

        :param overrides: settings to change by section, for example ``batch={...}``.
        """
        document = documents.build_entry_settings(
            name,
            get_address(table or self["table"]),
            get_address(objects or self["objects"]),
        )
        for label in ("http", "internal"):
            document[label]["port"] = self._find_port(name, label)
        document = documents.merge(document, overrides)
        process = self._start_program(name, "pistachiodeal.entry.cli", document)
        self._wait_ports(process, "http", "internal")
        return process

    def start_agent(
        self,
        name: str,
        worker: Peer,
        entries: Sequence[Peer],
        objects: Peer | None = None,
        node: str = "",
        **overrides: Any,
    ) -> Process:
        """Start the agent of the worker ``name``; the process is ``agent-{name}``.

        :param node: its node name, if another agent of this worker is running.
        """
        document = documents.build_agent_settings(
            name,
            [get_address(entry, "internal") for entry in entries],
            get_address(worker),
            get_address(objects or self["objects"]),
        )
        node = document["node"] = node or document["node"]
        document["announce"]["port"] = self._find_port(node, "announce")
        document = documents.merge(document, overrides)
        process = self._start_program(node, "pistachiodeal.agent.cli", document)
        self._wait_ports(process, "announce")
        return process

    def http(
        self,
        entry: Peer,
        method: str,
        target: str,
        headers: Mapping[str, str] | None = None,
        body: bytes | str | None = None,
    ) -> Reply:
        """Send an entry a request as a caller does."""
        return call(get_address(entry, "http"), method, target, headers, body)

    def wait_reply(self, entry: Peer, target: str, status: int = 200) -> Reply:
        """Repeat a request until the entry responds with this status."""

        def poll() -> Reply | None:
            reply = self.http(entry, "GET", target)
            return reply if reply.status == status else None

        return wait_until(poll, f"GET {target} gives {status}")

    def operate(
        self,
        entry: Peer,
        method: str,
        target: str,
        document: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Send an entry a request with the operator token."""
        token = {"authorization": f"Bearer {documents.TOKEN}", **(headers or {})}
        return call_json(get_address(entry, "http"), method, target, document, token)

    def define_profile(self, entry: Peer, name: str, **fields: Any) -> Reply:
        """Create or replace the profile with this name."""
        return self._put(entry, f"/-/profiles/{name}", {"name": name, **fields})

    def assign(self, entry: Peer, service: str, profile: str) -> Reply:
        """Assign a service to a profile."""
        return self._put(entry, f"/-/services/{service}", {"profile": profile})

    def submit_task(
        self, entry: Peer, key: str = "", payload: Any = None, **fields: Any
    ) -> Reply:
        """Submit a task, with half a second of work by default."""
        work = {"run_s": 0.5} if payload is None else payload
        document = documents.build_task(work, **fields)
        headers = {"idempotency-key": key} if key else {}
        address = get_address(entry, "http")
        return call_json(address, "POST", "/tasks", document, headers)

    def wait_task(
        self, entry: Peer, task_id: str, limit_s: float = LIMIT_S
    ) -> dict[str, Any]:
        """Wait until a task is in a final state; return the entry's status document."""
        last: Reply | None = None

        def poll() -> dict[str, Any] | None:
            nonlocal last
            last = self.http(entry, "GET", f"/tasks/{task_id}")
            shown = last.document() if last.status == 200 else {}
            return shown if shown.get("state") in FINAL_STATES else None

        try:
            return wait_until(poll, f"task {task_id} ends", limit_s)
        except NotReachedError as error:
            raise NotReachedError(f"{error}, {last}") from None

    def faults(self, process: Process, **switches: Any) -> None:
        """Set the fault switches of a stand-in."""
        self._control(process, "/faults", switches, "port")

    def set_relay(
        self,
        process: Process,
        mode: str,
        existing_only: bool = False,
        oldest: int | None = None,
    ) -> None:
        """Set the mode of a relay, or of its oldest connections."""
        asked = {"mode": mode, "existing_only": existing_only, "oldest": oldest}
        self._control(process, "/mode", asked, "control")

    def record(self, process: Process, label: str = "port") -> dict[str, Any]:
        """Return the record of a stand-in; a relay has it at label ``control``."""
        reply = call(process.address(label), "GET", "/record")
        return dict(reply.document())

    def read_events(self, *names: str) -> list[dict[str, Any]]:
        """Return the events in the record files of stand-ins, including killed ones."""
        events: list[dict[str, Any]] = []
        for name in names:
            with self._record_path(name).open() as lines:
                events += [json.loads(line) for line in lines if line.endswith("\n")]
        return events

    def clean_up(self) -> None:
        """End every process that was started."""
        for process in reversed(self.processes):
            process.clean_up()

    def describe(self) -> str:
        """Return exit status and last log lines of each process, for a failed test."""
        return "\n\n".join(process.describe_end() for process in self.processes)

    def _put(self, entry: Peer, target: str, document: Any) -> Reply:
        found = self.operate(entry, "GET", target)
        tag = found.headers.get("etag", "")
        condition = {"if-match": tag} if found.status == 200 else {"if-none-match": "*"}
        return self.operate(entry, "PUT", target, document, condition)

    def _control(
        self, process: Process, target: str, document: Any, label: str
    ) -> None:
        reply = call_json(process.address(label), "POST", target, document)
        assert reply.status == 200, reply

    def _start_stand_in(
        self, name: str, module: str, arguments: Sequence[str]
    ) -> Process:
        port = str(self._find_port(name, "port"))
        common = ["--port", port, "--record-file", str(self._record_path(name))]
        process = self._start(name, f"tests.standins.{module}", [*common, *arguments])
        self._wait_ports(process, "port")
        return process

    def _start_program(self, name: str, module: str, document: Any) -> Process:
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(document, indent=2))
        return self._start(name, module, ["--settings", str(path)])

    def _start(self, name: str, module: str, arguments: Sequence[str]) -> Process:
        if name in self._processes:
            earlier = self._processes.pop(name)
            assert not earlier.running, f"{name} runs already"
            self._replaced.append(earlier)
        process = Process(name, module, arguments, self._directory)
        self._processes[name] = process
        return process

    def _find_port(self, name: str, label: str) -> int:
        """Return the port of a process, which stays the same after a restart."""
        if (name, label) not in self._ports:
            self._ports[name, label] = reserve_port()
        return self._ports[name, label]

    def _wait_ports(self, process: Process, *labels: str) -> None:
        for label in labels:
            process.wait_port(label)

    def _record_path(self, name: str) -> Path:
        return self._directory / f"{name}.record"


def get_address(peer: Peer, label: str = "port") -> str:
    """Return the address of a peer; a relay always gives its ``port``."""
    if isinstance(peer, str):
        return peer
    return peer.address("port" if peer.module == RELAY else label)


@contextmanager
def run_cluster(directory: Path) -> Iterator[Cluster]:
    """Yield an empty cluster; kill all its processes at the end of the block."""
    cluster = Cluster(directory)
    try:
        yield cluster
    except BaseException:
        print(cluster.describe())
        raise
    finally:
        cluster.clean_up()
