"""Settings of the two programs that run jobs on the users' platform.

They are validated by hand, without pydantic: importing the models of the other
programs' settings costs CPU time at each start and memory in each process, on
every VM.
"""

from __future__ import annotations

from dataclasses import MISSING, dataclass, field, fields, is_dataclass
from pathlib import Path
from typing import Any, get_type_hints

import orjson

from pistachiodeal.exceptions import SettingsError


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Addresses on which the process listens.

    :param callers: ``ip:port`` for callers, empty on an agent.
    :param readiness: ``ip:port`` for the load balancer's health check.
    :param runners: ``ip:port`` for heartbeats of runners.
    :param metrics_port: serves counters and histograms as text; 0 disables it.
    """

    callers: str = ""
    readiness: str = ""
    runners: str = ""
    metrics_port: int = 0


DEFAULT_ROW_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The platform's store.

    :param address: ``ip:port``.
    :param row_bytes: largest row that it accepts, bytes.
    """

    address: str
    row_bytes: int = DEFAULT_ROW_BYTES


def _ranged_field(default: Any, least: float, most: float) -> Any:
    """Return a data class field whose value has to be within a range."""
    return field(default=default, metadata={"least": least, "most": most})


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Time limits that the deployment guarantees or requires.

    :param longest_lease_ms: the runner shortens longer leases to this, ms.
    :param configuration_ms: a change of the configuration is in force this long after
        its acknowledgement, ms.
    :param configuration_delay_ms: how much later a change may be in force while the
        store doesn't serve all VMs, ms.
    :param closing_ms: no task starts in a data centre later than this after the
        operator closed it, ms.
    :param grace_s: time between the stop signal and the kill, s.
    :param stop_ms: a stopped task ends within this, ms.
    :param restore_ms: time until a task resumes from its saved progress, ms.
    :param remote_factor: tasks far from their data take this many times as long.
    :param kept_s: how long a final state can be queried, s.
    :param interference_ms: how long a serving task may exceed its latency
        objective, ms.
    """

    longest_lease_ms: int = _ranged_field(10_000, 1_000, 3_600_000)
    configuration_ms: int = _ranged_field(2_000, 100, 3_600_000)
    configuration_delay_ms: int = _ranged_field(5_000, 0, 3_600_000)
    closing_ms: int = _ranged_field(5_000, 2_000, 3_600_000)
    grace_s: float = _ranged_field(6.0, 1.0, 3_600.0)
    stop_ms: int = _ranged_field(1_000, 0, 60_000)
    restore_ms: int = _ranged_field(250, 0, 60_000)
    remote_factor: float = _ranged_field(1.5, 1.0, 1_000.0)
    kept_s: float = _ranged_field(120.0, 0.0, 604_800.0)
    interference_ms: int = _ranged_field(4_000, 500, 600_000)

    @property
    def configuration_s(self) -> float:
        """Return how old a confirmed configuration may be at most, in seconds."""
        return self.configuration_ms / 1000

    @property
    def configuration_outage_s(self) -> float:
        """Return the same for a time in which the store doesn't serve all VMs."""
        return (self.configuration_ms + self.configuration_delay_ms) / 1000

    @property
    def move_s(self) -> float:
        """Return how long a task pauses when it is stopped and moved, in seconds."""
        return (self.stop_ms + self.restore_ms) / 1000


@dataclass(frozen=True, slots=True)
class FeatureSettings:
    """Scheduling features that a deployment enables; each is off by default.

    :param admission: whether entries reject jobs that can't be completed while they are
        worth anything.
    :param yielding: whether runs of jobs that can't meet any deadline are stopped for
        jobs that can.
    :param fair_shares: whether each queue and job size keeps a share of the capacity
        under lasting overload.
    :param worker_speeds: whether the measured speed of workers is used for placement.
    :param load_forecasts: whether filling tasks are placed by the forecast load of
        serving tasks.
    """

    admission: bool = False
    yielding: bool = False
    fair_shares: bool = False
    worker_speeds: bool = False
    load_forecasts: bool = False


NO_FEATURES = FeatureSettings()
DEFAULT_LINK_MBPS = 1_000.0


@dataclass(frozen=True, slots=True)
class ProcessorSettings:
    """CPU capacity of one process.

    :param share: share of a core that the process gets.
    :param speed: speed of that core relative to a standard core.
    """

    share: float = 1.0
    speed: float = 1.0

    @property
    def cores(self) -> float:
        """Return the capacity in standard cores."""
        return self.share * self.speed


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """Settings of an entry or agent.

    :param node: the VM's name.
    :param host: the VM's IP address.
    :param data_centre: the VM's data centre.
    :param peer_ports: first and last port for links between entries and agents.
    :param seed_peers: addresses on VMs that may run an entry; ports are ignored.
    :param peer_secret: shared secret with which entries and agents authenticate.
    :param runner: ``ip:port`` of the runner on an agent's VM.
    :param advice: ``ip:port`` of the service that chooses workers, or empty.
    :param memory_mib: memory limit of the process, MiB.
    :param processor: CPU capacity of the process.
    :param link_mbps: bandwidth of the VM's network link, Mbit/s.
    :param features: optional scheduling features.
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
    link_mbps: float = DEFAULT_LINK_MBPS
    limits: LimitSettings = field(default_factory=LimitSettings)
    features: FeatureSettings = field(default_factory=FeatureSettings)

    @property
    def peer_address(self) -> str:
        """Return the address on which an entry accepts links."""
        return f"{self.host}:{self.peer_ports[0]}"


def load_deployment(path: str) -> DeploymentSettings:
    """Return the settings in a JSON file.

    :raises SettingsError: lists all faults, one per line.
    """
    try:
        document = orjson.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise SettingsError(str(error), step="settings.load", peer=path) from None
    faults: list[str] = []
    settings = _build(DeploymentSettings, document, "", faults)
    if not faults and not settings.peer_ports:
        faults.append("peer_ports: is an empty list")
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
            _check_required(item, name, faults)
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


def _check_required(item: Any, name: str, faults: list[str]) -> None:
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
    # A bool is an instance of int, but not a valid number.
    if type(value) is not hint:
        faults.append(f"{name}: is not of type {hint.__name__}")
    return value
