"""Settings files of a cluster's processes, with timings short enough for tests."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

SECRET = "a-secret-that-only-tests-use"
TOKEN = "a-token-that-only-tests-use"

Document = dict[str, Any]

# With fewer partitions, rendezvous hashing assigns all of them to the entry e1.
PARTITIONS = 4
LINK: Document = {"ping_s": 0.2, "silent_s": 1.0, "handshake_s": 1.0}


def merge(base: Mapping[str, Any], overrides: Mapping[str, Any]) -> Document:
    """Return ``base`` with ``overrides``, section by section."""
    merged = dict(base)
    for name, value in overrides.items():
        if isinstance(value, Mapping) and isinstance(merged.get(name), Mapping):
            value = merge(merged[name], value)  # noqa: PLW2901
        merged[name] = value
    return merged


def build_task(payload: Any, **fields: Any) -> Document:
    """Return the body of a task's submission.

    :param payload: the work that the worker's stand-in does, see its module.
    """
    return {
        "kind": "press",
        "team": "press-hall",
        "profile": "batch",
        "cpu_milli": 1_000,
        "memory_mib": 1_000,
        "accelerators": 0,
        "payload": json.dumps(payload),
        "urgent": False,
        **fields,
    }


def build_entry_settings(name: str, table: str, objects: str) -> Document:
    """Return the settings of an entry; port 0 means any free port."""
    return {
        "node": name,
        "data_centre": "dc1",
        "secret": SECRET,
        "operator_token": TOKEN,
        "http": {"port": 0},
        "internal": {"port": 0},
        "store": {"table": table, "objects": objects, "timeout_s": 0.5},
        "link": LINK,
        "batch": {
            "partitions": PARTITIONS,
            "beat_s": 0.3,
            "owner_lease_s": 1.5,
            "margin_s": 0.3,
            "place_s": 0.05,
        },
        "profile_poll_s": 0.3,
        "drain_s": 5.0,
    }


def build_agent_settings(
    worker: str, entries: list[str], runtime: str, objects: str
) -> Document:
    """Return the settings of the agent beside a worker."""
    return {
        "node": f"agent-{worker}",
        "worker": worker,
        "data_centre": "dc1",
        "rack": "rack1",
        "secret": SECRET,
        "entries": entries,
        "report_s": 0.2,
        "announce": {"port": 0},
        "runtime": {
            "worker": runtime,
            "objects": objects,
            "timeout_s": 0.5,
            "poll_s": 0.05,
            "usage_s": 0.2,
        },
        "link": LINK,
        "drain_s": 5.0,
    }
