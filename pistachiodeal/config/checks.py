"""Checks of settings that involve several fields or need code."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel
from pydantic_core import PydanticUndefined

from pistachiodeal.addresses import is_address
from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.config.entry import EntrySettings

MISSING = object()


@dataclass(frozen=True, slots=True)
class Check:
    """A condition on some fields.

    :param paths: the fields; a fault is reported under the first one.
    :param holds: gets the values of the fields in this order.
    :param fault: message when the condition does not hold.
    """

    paths: tuple[str, ...]
    holds: Callable[..., bool]
    fault: str


def _is_address_or_empty(value: str) -> bool:
    return not value or is_address(value)


def _are_addresses(values: list[str]) -> bool:
    return all(is_address(value) for value in values)


def _are_distinct(values: list[str]) -> bool:
    return len(set(values)) == len(values)


def _is_host(value: str) -> bool:
    try:
        ipaddress.IPv4Address(value)
    except ValueError:
        return False
    return True


def _ports_differ(host: str, port: int, other_host: str, other_port: int) -> bool:
    return port == 0 or (host, port) != (other_host, other_port)


NOT_AN_ADDRESS = "is not ip:port"
NOT_A_HOST = "is not an IPv4 address"

SHARED_CHECKS = (
    Check(
        ("link.silent_s", "link.ping_s"),
        lambda silent, ping: silent > 2 * ping,
        "must be over twice link.ping_s, or one late ping ends a healthy link",
    ),
    Check(("statsd.address",), _is_address_or_empty, NOT_AN_ADDRESS),
)

ENTRY_CHECKS = (
    *SHARED_CHECKS,
    Check(
        ("requests.max_deadline_ms", "requests.deadline_ms"),
        lambda longest, default: longest >= default,
        "must not be under requests.deadline_ms",
    ),
    Check(
        ("batch.owner_lease_s", "batch.beat_s"),
        lambda lease, beat: lease > 3 * beat,
        "must be over three times batch.beat_s, or one lost heartbeat moves partitions",
    ),
    Check(
        ("batch.owner_lease_s", "store.timeout_s"),
        lambda lease, timeout: lease > timeout,
        "must be over store.timeout_s, or one slow call moves partitions",
    ),
    Check(
        ("http.port", "http.host", "internal.port", "internal.host"),
        lambda port, host, other_port, other_host: _ports_differ(
            host, port, other_host, other_port
        ),
        "is the same as internal.port on the same host",
    ),
    Check(
        ("quotas",),
        lambda quotas: all(cores >= 0 for cores in quotas.values()),
        "has a team with a negative number of cores",
    ),
    Check(("http.host",), _is_host, NOT_A_HOST),
    Check(("internal.host",), _is_host, NOT_A_HOST),
    Check(("internal.advertise",), _is_address_or_empty, NOT_AN_ADDRESS),
    Check(("store.table",), is_address, NOT_AN_ADDRESS),
    Check(("store.objects",), is_address, NOT_AN_ADDRESS),
)

AGENT_CHECKS = (
    *SHARED_CHECKS,
    Check(
        ("guard.low", "guard.high"),
        lambda low, high: low < high,
        "must be under guard.high, or throttling flaps",
    ),
    Check(
        ("report_s", "link.silent_s"),
        lambda report, silent: report < silent,
        "must be under link.silent_s",
    ),
    Check(("entries",), _are_addresses, "has an item that is not ip:port"),
    Check(("entries",), _are_distinct, "names an entry twice"),
    Check(("announce.host",), _is_host, NOT_A_HOST),
    Check(("runtime.worker",), is_address, NOT_AN_ADDRESS),
    Check(("runtime.objects",), is_address, NOT_AN_ADDRESS),
)

CHECKS: dict[type[BaseModel], tuple[Check, ...]] = {
    EntrySettings: ENTRY_CHECKS,
    AgentSettings: AGENT_CHECKS,
}


def find_conflicts(
    model: type[BaseModel], document: Any, faulty: frozenset[str]
) -> list[str]:
    """Return the failed checks of a model, each as ``path: fault``.

    :param document: the settings as read, which need not be valid.
    :param faulty: paths of fields that are invalid by themselves; checks on them
        or on sections that contain them are skipped.
    """
    conflicts = []
    for check in CHECKS.get(model, ()):
        if any(_is_faulty(path, faulty) for path in check.paths):
            continue
        values = [read_value(model, document, path) for path in check.paths]
        if MISSING in values or check.holds(*values):
            continue
        conflicts.append(f"{check.paths[0]}: {check.fault}")
    return conflicts


def _is_faulty(path: str, faulty: frozenset[str]) -> bool:
    return any(
        path == fault or path.startswith(f"{fault}.") or fault.startswith(f"{path}.")
        for fault in faulty
    )


def read_value(model: type[BaseModel], document: Any, path: str) -> Any:
    """Return a field's value from the document, or its default.

    :data:`MISSING` is returned when there is neither.
    """
    name, _, rest = path.partition(".")
    if not isinstance(document, dict):
        return MISSING
    field = model.model_fields[name]
    if name not in document:
        return _read_default(field.get_default(call_default_factory=True), rest)
    if not rest:
        return document[name]
    section = field.annotation
    assert isinstance(section, type) and issubclass(section, BaseModel)
    return read_value(section, document[name], rest)


def _read_default(default: Any, rest: str) -> Any:
    if default is PydanticUndefined:
        return MISSING
    return getattr(default, rest) if rest else default
