"""Starts the project's programs as on a small site, beside the stand-ins.

The figures are those of the site ``lisovna-zahorie``; settings are made from the
templates of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins import Record, Runner, SentJob, SlowLink, Store, call

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 117.0
ROOT = Path(__file__).resolve().parent.parent
ZONES = ("hala-a", "hala-b", "hala-c")
SERVICE = "huvo11a"
HOST = "nony24.example"
BEAT_S = 1.5
PLACEHOLDER = re.compile(r"\{\{([a-z_.]+)\|json\}\}")
CAPACITY = {"cpu": 16_000, "mem_mb": 64_000, "gpu": 0}
BOUNDS = {
    "config_apply_ms": 2000,
    "max_stretch_ms": 5000,
    "grace_s": 6,
    "stop_ms": 400,
    "restore_ms": 250,
    "remote_factor": 1.5,
    "status_s": 120,
    "max_hold_ms": 10000,
    "interference_ms": 4000,
}
ENTRY_LIMITS = {
    "memory_mb": 300,
    "cpu_share": 0.537,
    "cores": 2,
    "link_mbps": 1000.0,
}
PORTS = {"front": 8161, "ready": 8167, "control": 8166, "app": 8165}
PEERS = [7720, 7735]
ROW_BYTES = 65536


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill a template of the deploy file in, as DEPLOY.md says."""

    def replace(match: re.Match[str]) -> str:
        value: Any = fields
        for name in match.group(1).split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return json.dumps(value)

    return PLACEHOLDER.sub(replace, template)


class Program:
    """One of the project's programs on a machine of its own."""

    def __init__(
        self, role: str, fields: dict[str, Any], folder: Path, deploy: dict[str, Any]
    ) -> None:
        described = deploy["roles"][role]
        self.node = fields["node"]
        self.command = shlex.split(described["run"])
        self._settings = folder / f"{self.node}.json"
        template = (ROOT / described["template"]).read_text()
        document = json.loads(render(template, fields))
        self._settings.write_text(json.dumps(document))
        self._log = (folder / f"{self.node}.log").open("ab")
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        kept = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        self.process = subprocess.Popen(
            [sys.executable, *self.command[1:]],
            cwd=ROOT,
            env={
                **kept,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PISTACHIODEAL_CONFIG": str(self._settings),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdout=self._log,
            stderr=self._log,
        )

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def end(self) -> None:
        """Kill the process for good."""
        self.kill()
        self._log.close()


class Deployment:
    """Three entries, some workers with an agent each, and the platform."""

    def __init__(
        self,
        record: Record,
        *,
        workers: int,
        routes: list[dict[str, Any]],
        kinds: dict[int, str] | None = None,
        capacity: dict[str, int] | None = None,
        bounds: dict[str, Any] | None = None,
        entry_limits: dict[str, Any] | None = None,
    ) -> None:
        bounds = {**BOUNDS, **(bounds or {})}
        self.record = record
        self.jobs: dict[str, SentJob] = {}
        self.store = Store(record, row_bytes=ROW_BYTES, txn_ms=3.0)
        self.runners: list[Runner] = []
        self.programs: list[Program] = []
        self._routes = routes
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._net = _choose_net()
        self._store_address = f"{self._net}.250:8169"
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        hosts = [f"{self._net}.{10 + number}" for number in range(len(ZONES))]
        seeds = [f"{host}:{PORTS['control']}" for host in hosts]
        self.fronts = [f"{host}:{PORTS['front']}" for host in hosts]
        self.links: list[SlowLink] = []
        self.ready = [f"{host}:{PORTS['ready']}" for host in hosts]
        shared = {
            "port_range": PEERS,
            "seeds": seeds,
            "bounds": bounds,
            "platform": {"address": self._store_address, "row_bytes": ROW_BYTES},
            "advice": "",
        }
        for zone, host in zip(ZONES, hosts, strict=True):
            fields = {
                **shared,
                "node": f"edge-{zone}-1",
                "ip": host,
                "zone": zone,
                "bind_addresses": {
                    name: f"{host}:{PORTS[name]}"
                    for name in ("front", "ready", "control")
                },
                "limits": {**ENTRY_LIMITS, **(entry_limits or {})},
            }
            if fields["limits"]["link_mbps"] < 1000:
                # The machine's link to the store is played by a proxy.
                near = f"{host.rpartition('.')[0]}.{int(host.rpartition('.')[2]) + 100}"
                mbps = fields["limits"]["link_mbps"]
                self.links.append(SlowLink(near, self._store_address, mbps))
                port = self._store_address.rpartition(":")[2]
                fields["platform"] = {
                    "address": f"{near}:{port}",
                    "row_bytes": ROW_BYTES,
                }
            self.programs.append(Program("entry", fields, self._folder, deploy))
        for number in range(workers):
            zone = ZONES[number % len(ZONES)]
            host = f"{self._net}.{30 + number}"
            fields = {
                **shared,
                "node": f"side-{zone}-{1 + number // len(ZONES)}",
                "ip": host,
                "zone": zone,
                "app": f"{host}:{PORTS['app']}",
                "service": SERVICE,
                "bind_addresses": {"control": f"{host}:{PORTS['control']}"},
                "limits": {
                    "memory_mb": 168,
                    "cpu_share": 0.645,
                    "cores": 1,
                    "link_mbps": 1000.0,
                },
            }
            self.programs.append(Program("agent", fields, self._folder, deploy))
            kind = (kinds or {}).get(number, "a")
            self.runners.append(
                Runner(
                    fields["node"],
                    fields["app"],
                    fields["bind_addresses"]["control"],
                    self.jobs,
                    record,
                    zone=zone,
                    service=SERVICE,
                    labels=[kind, f"r{1 + number // 3}"],
                    capacity=capacity or CAPACITY,
                    max_hold_ms=bounds["max_hold_ms"],
                    beat_s=BEAT_S,
                )
            )

    @property
    def folder(self) -> Path:
        """Return the folder with settings and logs."""
        return self._folder

    @property
    def used_share(self) -> float:
        """Return the share of the processor capacity that is in use."""
        up = [runner for runner in self.runners if runner.up]
        runs = [run for runner in up for run in runner.runs.values()]
        used = sum(int(run.step.document.get("cpu", 0)) for run in runs)
        return used / max(1, len(up) * CAPACITY["cpu"])

    async def start(self) -> bool:
        """Start everything; return whether all entries became ready in time."""
        host, _, port = self._store_address.rpartition(":")
        await self.store.server.open(host, int(port))
        for link in self.links:
            await link.open()
        services = [{"name": SERVICE, "rejects_overload": True, "standby": False}]
        self.store.put(
            "op",
            "config",
            {"version": 7, "routes": self._routes, "services": services, "limits": {}},
        )
        for program in self.programs:
            program.start()
        for runner in self.runners:
            await runner.start()
        for _ in range(150):
            answers = [await call(one, "GET", "/api/ready") for one in self.ready]
            if all(answer is not None and answer[0] == 200 for answer in answers):
                # Traffic starts some seconds after the machines do.
                await asyncio.sleep(4.0)
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self) -> None:
        """End everything that was started."""
        for program in self.programs:
            program.end()
        for runner in self.runners:
            await runner.crash()
        for link in self.links:
            await link.close()
        await self.store.server.close()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self._folder, ignore_errors=True)

    def find_leader(self) -> Program:
        """Return the entry that last changed a row under a condition."""
        host = self.store.last_changed_by
        number = int(host.rpartition(".")[2]) % 100 - 10
        return self.programs[number]

    def list_ended(self) -> list[str]:
        """Return the programs whose process has ended by itself."""
        return [
            program.node
            for program in self.programs
            if program.process is None or program.process.poll() is not None
        ]

    async def submit(self, job: SentJob, *, tries: int = 5) -> bool:
        """Hand a job in as a client does; return whether it was accepted."""
        self.jobs[job.job_id] = job
        document = {
            "spec": job.spec,
            "steps": [step.document for step in job.steps],
            **job.extra,
        }
        fronts = random.sample(self.fronts, len(self.fronts))
        for number in range(tries):
            answer = await self._ask(
                fronts[number % len(fronts)], "POST", job, document
            )
            if answer is not None and 200 <= answer[0] < 300:
                job.accepted_at = self.record.now
                return True
            if answer is not None and answer[0] in (400, 404, 413):
                return False
            await asyncio.sleep(0.5)
        return False

    async def cancel(self, job: SentJob, *, tries: int = 5) -> bool:
        """Cancel a job; return whether that was acknowledged."""
        for _ in range(tries):
            answer = await self._ask(random.choice(self.fronts), "DELETE", job)
            if answer is not None and answer[0] in (200, 410):
                return True
            await asyncio.sleep(0.5)
        return False

    async def ask_state(self, job: SentJob) -> str:
        """Return the state that a job is shown in, or what came instead of one."""
        answer = await self._ask(random.choice(self.fronts), "GET", job)
        if answer is None:
            return "no answer"
        job.state = str(answer[1].get("state", answer[0]))
        return job.state

    async def _ask(
        self, front: str, method: str, job: SentJob, document: Any = None
    ) -> tuple[int, dict[str, Any]] | None:
        path = job.prefix + job.job_id
        headers = {"Host": HOST, "Deadline-Ms": "3000"}
        answer = await call(front, method, path, document, headers=headers, timeout=3.2)
        self.record.write(
            "client", method=method, path=path, front=front, answer=answer
        )
        return answer


def build_route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the manifest."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_type": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 250,
        "priority": 0,
        "service": SERVICE,
        "attempts": 2,
        "stretch": 1.5,
        **fields,
    }


def build_job_id() -> str:
    """Return the id of a new job."""
    return os.urandom(8).hex()


def _choose_net() -> str:
    """Return the first three numbers of loopback addresses that nobody uses."""
    while True:
        net = f"127.{random.randrange(20, 240)}.{random.randrange(1, 250)}"
        try:
            with socket.create_server((f"{net}.250", 8169)):
                return net
        except OSError:
            continue


def run_case(play: Callable[[Record], Awaitable[int]], folder: Path) -> int:
    """Play a case within its time, write its record; return the exit status."""
    record = Record(str(folder / "record.txt"))

    async def run() -> int:
        task = asyncio.ensure_future(play(record))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(LONGEST_S):
                return await task
        except (TimeoutError, asyncio.CancelledError):
            print("the case was ended before it was over")
            return NOT_RUN

    try:
        return asyncio.run(run())
    finally:
        record.close()
