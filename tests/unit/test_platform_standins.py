"""Behaviour of the runner and relay stand-ins that scenarios rely on."""

from __future__ import annotations

import hashlib
import http.client
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from pistachiodeal.config.agent import AgentSettings
from pistachiodeal.config.entry import EntrySettings
from tests.harness import Cluster, call, run_cluster, wait_until
from tests.harness.documents import build_agent_settings, build_entry_settings

UNUSED_ADDRESS = "127.0.0.1:1"


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    with run_cluster(tmp_path) as running:
        yield running


def ask_kept_alive(link: http.client.HTTPConnection) -> None:
    link.request("GET", "/record")
    link.getresponse().read()


def test_runner_answers_with_the_case_of_the_request(cluster: Cluster) -> None:
    runner = cluster.start_runner("orders", UNUSED_ADDRESS)
    address = runner.address()
    headers = {"x-case": "c-1", "idempotency-key": "k"}
    reply = call(address, "POST", "/orders/quote?size=5000", headers, b"two LPs")
    assert len(reply.body) == 5000
    document = reply.document()
    assert document["case"] == "c-1"
    assert document["sha"] == hashlib.sha256(b"two LPs").hexdigest()
    start, end = cluster.record(runner)["log"]
    assert (start["key"], end["event"], end["execution"]) == ("k", "end", 1)
    with pytest.raises(http.client.IncompleteRead):
        call(address, "GET", "/orders/quote?size=5000&die=1")


def test_runner_finishes_what_is_in_flight_on_sigterm(cluster: Cluster) -> None:
    runner = cluster.start_runner("orders", UNUSED_ADDRESS)
    address = runner.address()
    replies = []
    thread = threading.Thread(
        target=lambda: replies.append(call(address, "GET", "/orders?work_s=1"))
    )
    thread.start()
    wait_until(lambda: cluster.record(runner)["in_flight"], "the request to start")
    runner.terminate()
    thread.join()
    assert replies[0].status == 200
    assert runner.wait_end() == 0


def test_relay_loses_existing_connections_only(cluster: Cluster) -> None:
    table = cluster.start_table()
    relay = cluster.start_relay(table)
    link = http.client.HTTPConnection(relay.address(), timeout=10)
    ask_kept_alive(link)
    cluster.set_relay(relay, "silent", existing_only=True)
    link.request("GET", "/record")
    wait_until(
        lambda: cluster.record(relay, "control")["lost_bytes"], "bytes to vanish"
    )
    assert call(relay.address(), "GET", "/record").status == 200
    cluster.set_relay(relay, "refuse")
    with pytest.raises(ConnectionError):
        link.getresponse()
    link.close()
    with pytest.raises(ConnectionRefusedError):
        call(relay.address(), "GET", "/record")
    cluster.set_relay(relay, "pass")
    assert call(relay.address(), "GET", "/record").status == 200


def test_settings_of_the_harness_are_valid() -> None:
    EntrySettings.model_validate(
        build_entry_settings("e1", UNUSED_ADDRESS, UNUSED_ADDRESS)
    )
    AgentSettings.model_validate(
        build_agent_settings("w1", [UNUSED_ADDRESS], UNUSED_ADDRESS, UNUSED_ADDRESS)
    )
