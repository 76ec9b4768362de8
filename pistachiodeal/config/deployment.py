"""Settings of the two programs that run jobs on the users' platform.

They are checked by hand: importing the models of the other programs' settings takes
processor time at each start and memory in each process, on every VM.
"""

from __future__ import annotations

from dataclasses import MISSING, dataclass, field, fields, is_dataclass
from pathlib import Path
from typing import Any, get_type_hints

import orjson

from pistachiodeal.exceptions import SettingsError


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Where the process listens.

    :param callers: ``ip:port`` for callers, empty on an agent.
    :param readiness: ``ip:port`` for the balancer's health check.
    :param runners: ``ip:port`` for heartbeats of runners.
    :param metrics_port: serves counters and histograms as text; 0 for none.
    """

    callers: str = ""
    readiness: str = ""
    runners: str = ""
    metrics_port: int = 0


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The platform's store.

    :param address: ``ip:port``.
    :param row_bytes: largest row that it takes.
    """

    address: str
    row_bytes: int = 65_536


def _between(default: Any, least: float, most: float) -> Any:
    """Return a field whose value has to lie within a range."""
    return field(default=default, metadata={"least": least, "most": most})


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Times that the deployment promises or demands.

    :param longest_lease_ms: the runner cuts longer leases to this.
    :param closing_ms: nothing starts in a data centre later than this after the
        operator has closed it.
    :param grace_s: seconds between the signal to stop and the kill.
    :param stop_ms: a stopped task ends within this.
    :param restore_ms: a task goes on from its saved progress after this.
    :param remote_factor: tasks far from their data take this many times as long.
    :param kept_s: a final state can be asked for this long.
    :param interference_ms: a serving task may be over its aim for this long.
    """

    longest_lease_ms: int = _between(10_000, 1_000, 3_600_000)
    closing_ms: int = _between(5_000, 2_000, 3_600_000)
    grace_s: float = _between(6.0, 1.0, 3_600.0)
    stop_ms: int = _between(1_000, 0, 60_000)
    restore_ms: int = _between(250, 0, 60_000)
    remote_factor: float = _between(1.5, 1.0, 1_000.0)
    kept_s: float = _between(120.0, 0.0, 604_800.0)
    interference_ms: int = _between(4_000, 500, 600_000)

    @property
    def move_s(self) -> float:
        """Return for how long a task is not at work when it is stopped and moved."""
        return (self.stop_ms + self.restore_ms) / 1000


@dataclass(frozen=True, slots=True)
class ProcessorSettings:
    """What the VM's processor gives one process.

    :param share: of a core.
    :param speed: how many times as fast as a usual core that core is.
    """

    share: float = 1.0
    speed: float = 1.0

    @property
    def cores(self) -> float:
        """Return how many usual cores that is."""
        return self.share * self.speed


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """Settings of an entry or agent.

    :param node: the VM's name.
    :param host: the VM's IP address.
    :param data_centre: where it is.
    :param peer_ports: first and last port for links between our processes.
    :param seed_peers: addresses on VMs that may run an entry; only their hosts count.
    :param peer_secret: proves to each other that two processes belong together.
    :param runner: ``ip:port`` of the runner beside an agent.
    :param advice: ``ip:port`` of the service that chooses workers, or empty.
    :param memory_mib: the process may not use more, MiB.
    :param processor: what the VM's processor gives this process.
    :param link_mbps: bandwidth of the VM's link, Mbit/s.
    """

    node: str
    host: str
    data_centre: str
    peer_ports: tuple[int, ...]
    peer_secret: str
    listen: ListenSettings
    store: StoreSettings
    seed_peers: tuple[str, ...] = ()
    runner: str = ""
    advice: str = ""
    memory_mib: int = 0
    processor: ProcessorSettings = field(default_factory=ProcessorSettings)
    link_mbps: float = 1_000.0
    limits: LimitSettings = field(default_factory=LimitSettings)

    @property
    def peer_address(self) -> str:
        """Return where an entry accepts links."""
        return f"{self.host}:{self.peer_ports[0]}"


def load_deployment(path: str) -> DeploymentSettings:
    """Return the settings in a JSON file.

    :raises SettingsError: lists all faults, one a line.
    """
    try:
        document = orjson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise SettingsError(str(error), step="settings.load", peer=path) from None
    faults: list[str] = []
    settings = _build(DeploymentSettings, document, "", faults)
    if not faults and not settings.peer_ports:
        faults.append("peer_ports: names no port")
    if faults:
        raise SettingsError("\n".join(faults), step="settings.load", peer=path)
    return settings


def _build(cls: Any, document: Any, path: str, faults: list[str]) -> Any:
    if not isinstance(document, dict):
        faults.append(f"{path or '(top)'}: is not an object")
        return None
    values: dict[str, Any] = {}
    hints = get_type_hints(cls)
    for item in fields(cls):
        name = f"{path}.{item.name}" if path else item.name
        value = document.get(item.name)
        if value is None:
            _demand(item, name, faults)
            continue
        values[item.name] = _convert(hints[item.name], value, name, faults)
        _check_range(item, values[item.name], name, faults)
    return None if faults else cls(**values)


def _check_range(item: Any, value: Any, name: str, faults: list[str]) -> None:
    if not item.metadata or type(value) not in (int, float):
        return
    least, most = item.metadata["least"], item.metadata["most"]
    if not least <= value <= most:
        faults.append(f"{name}: is {value}, not from {least} to {most}")


def _demand(item: Any, name: str, faults: list[str]) -> None:
    if item.default is MISSING and item.default_factory is MISSING:
        faults.append(f"{name}: is missing")


def _convert(hint: Any, value: Any, name: str, faults: list[str]) -> Any:
    if is_dataclass(hint):
        return _build(hint, value, name, faults)
    if hint in (tuple[int, ...], tuple[str, ...]):
        item = int if hint == tuple[int, ...] else str
        if isinstance(value, list) and all(isinstance(one, item) for one in value):
            return tuple(value)
        faults.append(f"{name}: is not a list of {item.__name__}")
        return None
    if hint is float and isinstance(value, int):
        return float(value)
    if not isinstance(value, hint) or isinstance(value, bool):
        faults.append(f"{name}: is not of type {hint.__name__}")
    return value
