"""Validation of settings: all faults are reported at once, each with its path."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.config.entry import EntrySettings
from pistachiodeal.config.load import load_settings
from pistachiodeal.exceptions import SettingsError
from pistachiodeal.model.policies import Profile

EXAMPLES = Path(__file__).parents[2] / "examples"
DEPLOYMENTS = ("lisovna", "hsinyi")
ENTRY: dict[str, Any] = {
    "node": "entry-1",
    "data_centre": "dc-1",
    "secret": "a-secret-of-16-characters",
    "operator_token": "a-token-of-16-characters",
    "store": {"table": "127.0.0.1:7000", "objects": "127.0.0.1:7001"},
}


def find_faults(tmp_path: Path, text: str) -> list[str]:
    path = tmp_path / "settings.json"
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_settings(str(path), EntrySettings)
    return caught.value.detail.splitlines()


def test_every_fault_is_reported_at_once(tmp_path: Path) -> None:
    """Guards against reporting one fault per start of the program.

    The file has an unknown key, a wrong type, a value out of range, an invalid
    address and two pairs of conflicting fields, one in a section with another
    fault. Checks between fields must run even if some fields are invalid.
    """
    document = {
        **ENTRY,
        "nodes": 1,
        "http": {"port": "8080"},
        "link": {"ping_s": 1.5, "handshake_s": 0},
        "store": {"table": "127.0.0.999:7000", "objects": "127.0.0.1:7001"},
        "requests": {"deadline_ms": 90_000},
    }
    faults = find_faults(tmp_path, json.dumps(document))
    paths = sorted(fault.partition(":")[0] for fault in faults)
    assert paths == [
        "http.port",
        "link.handshake_s",
        "link.silent_s",
        "nodes",
        "requests.max_deadline_ms",
        "store.table",
    ]


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ('{"node": "a",\n "log": }', "line 2, column 9"),
        (json.dumps(ENTRY)[:-1] + ', "node": "b"}', "node: is repeated in one object"),
        (json.dumps(ENTRY)[:-1] + ', "drain_s": NaN}', "NaN is not JSON"),
        ("[]", "(top): "),
        ("[" * 100_000, "recursion"),
    ],
)
def test_a_file_without_valid_settings_is_refused(
    tmp_path: Path, text: str, fault: str
) -> None:
    faults = find_faults(tmp_path, text)
    assert any(fault in line for line in faults), faults


def test_conflicting_agent_settings_are_reported(tmp_path: Path) -> None:
    path = tmp_path / "agent.json"
    document = json.loads((EXAMPLES / "lisovna" / "agent.json").read_text())
    document["guard"] = {"low": 0.95}
    document["entries"] = ["127.0.0.1:1", "127.0.0.1:1", "host:2"]
    path.write_text(json.dumps(document))
    with pytest.raises(SettingsError) as caught:
        load_settings(str(path), AgentSettings)
    paths = [line.partition(":")[0] for line in caught.value.detail.splitlines()]
    assert paths == ["guard.low", "entries", "entries"]


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_shipped_examples_load(deployment: str) -> None:
    directory = EXAMPLES / deployment
    entry = load_settings(str(directory / "entry.json"), EntrySettings)
    agent = load_settings(str(directory / "agent.json"), AgentSettings)
    assert entry.secret == agent.secret
    assert entry.data_centre == agent.data_centre
    profiles = [
        Profile.model_validate_json(path.read_bytes(), strict=True)
        for path in sorted((directory / "profiles").glob("*.json"))
    ]
    kinds = {profile.latency_critical for profile in profiles}
    assert kinds == {True, False}
