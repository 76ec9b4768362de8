"""Invalid requests, configurations and settings get a clear error and no effect."""

from __future__ import annotations

import json
import os
import time
from types import SimpleNamespace

import curio
import orjson
import pytest

from pistachiodeal import events
from pistachiodeal.config.deployment import LimitSettings, load_deployment
from pistachiodeal.events import BUFFER_BYTES, LINES_PER_S, EventLog
from pistachiodeal.exceptions import ProtocolError, RequestError, SettingsError
from pistachiodeal.jobentry.api import CallerApi
from pistachiodeal.jobentry.configuration import ConfigurationWatcher
from pistachiodeal.jobentry.configuration_copy import ConfigurationCopy
from pistachiodeal.jobs.model import JobState
from pistachiodeal.platform.callers import parse_job
from pistachiodeal.platform.configuration import decode_configuration
from pistachiodeal.platform.runner import decode_heartbeat
from pistachiodeal.store.row_store import RowStore, RowWrite, Transaction
from pistachiodeal.web.messages import WebRequest
from tests.standins.job_cluster import QUEUE, create_quiet_log, run_cluster
from tests.standins.rows import MemoryRows, RowsState

JOB_ID = "00000000000000aa"
OTHER_ID = "00000000000000bb"
HEADERS = (("host", "host"), ("deadline-ms", "3000"))
BODY = orjson.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 100, "mem_mb": 10}]})
ROUTE = {
    "name": "q",
    "host": "host",
    "path_prefix": "/q/",
    "service": "svc",
    "attempts": 2,
}


def write_configuration(state: RowsState, value: bytes) -> None:
    """Write the operator's configuration."""
    state.apply(Transaction((), (RowWrite("op", "config", value),)))


def build_configuration(version: int, routes: list[dict]) -> bytes:
    return orjson.dumps({"version": version, "routes": routes, "services": []})


async def watch_alone(store: RowStore, events: EventLog) -> ConfigurationCopy:
    """Return a copy of the configuration that no other entry feeds."""

    async def ask_nobody(address: str, version: int) -> None:
        return None

    copy = ConfigurationCopy(events)
    watcher = ConfigurationWatcher(store, copy, events, ask_nobody, list)
    await curio.spawn(watcher.run, daemon=True)
    await curio.spawn(watcher.check, daemon=True)
    return copy


async def ask(api: CallerApi, method: str, path: str, body: bytes = b"") -> int:
    """Return the status of the response, whether raised or returned."""
    try:
        return (await api.handle(WebRequest(method, path, HEADERS, body))).status
    except RequestError as error:
        return error.status


def test_callers_get_a_clear_answer_to_each_bad_request():
    async def main():
        async with run_cluster() as cluster:
            entry = cluster.entries[0]
            events = create_quiet_log()
            configuration = await watch_alone(entry.store, events)
            api = CallerApi(
                configuration,
                entry.acceptance,
                entry.states,
                events,
                row_bytes=2_000,
                limits=LimitSettings(),
            )
            assert await ask(api, "POST", f"/q/{JOB_ID}", BODY) == 503
            write_configuration(cluster.state, build_configuration(3, [ROUTE]))
            while configuration.current is None:
                await curio.sleep(0.01)
            large = orjson.dumps({"spec": "x" * 3_000, "steps": [{"count": 1}]})
            assert await ask(api, "POST", f"/none/{JOB_ID}", BODY) == 404
            assert await ask(api, "POST", f"/q/{JOB_ID}", b"{") == 400
            assert await ask(api, "POST", "/q/short", BODY) == 400
            assert await ask(api, "POST", f"/q/{JOB_ID}", large) == 413
            assert await ask(api, "PUT", f"/q/{JOB_ID}", BODY) == 405
            assert await ask(api, "GET", f"/q/{JOB_ID}") == 410
            assert await ask(api, "DELETE", "/q/short") == 410
            assert ("jobs", JOB_ID) not in cluster.state.rows
            assert await ask(api, "POST", f"/q/{JOB_ID}", BODY) == 200
            assert await ask(api, "POST", f"/q/{JOB_ID}", BODY) == 200
            assert await ask(api, "GET", f"/q/{JOB_ID}") == 200
            assert await ask(api, "GET", "/q/") == 200
            assert await ask(api, "GET", f"/q/{OTHER_ID}") == 410
            assert await ask(api, "DELETE", f"/q/{OTHER_ID}") == 410
            assert await ask(api, "DELETE", f"/q/{OTHER_ID}") == 410
            assert await ask(api, "POST", f"/q/{OTHER_ID}", BODY) == 409
            assert await ask(api, "GET", f"/q/{OTHER_ID}") == 410

    curio.run(main)


@pytest.mark.parametrize("name", [JOB_ID + "/cancel", "x" * 16, "", JOB_ID + "0"])
def test_a_name_that_is_no_job_id_is_no_job(name: str):
    """Guards against a cancellation's row that is shown, or cancelled, as a job."""

    async def main():
        async with run_cluster(entries=1) as cluster:
            entry, events = cluster.entries[0], create_quiet_log()
            write_configuration(cluster.state, build_configuration(3, [ROUTE]))
            api = CallerApi(
                await watch_alone(entry.store, events),
                entry.acceptance,
                entry.states,
                events,
                row_bytes=2_000,
                limits=LimitSettings(),
            )
            while await ask(api, "POST", f"/q/{JOB_ID}", BODY) != 200:
                await curio.sleep(0.01)
            assert await ask(api, "DELETE", f"/q/{JOB_ID}") == 200
            rows = {key for table, key in cluster.state.rows if table == "jobs"}
            assert await ask(api, "DELETE", f"/q/{name}") == 410
            if name:
                assert await ask(api, "GET", f"/q/{name}") == 410
            assert {key for table, key in cluster.state.rows if table == "jobs"} == rows

    curio.run(main)


def test_an_older_or_unreadable_configuration_changes_nothing():
    """A removed queue reappeared: a delayed read returned an older version.

    Older and malformed versions were applied, too.
    """

    async def main():
        state = RowsState()
        configuration = await watch_alone(MemoryRows(state), create_quiet_log())
        write_configuration(state, build_configuration(5, [ROUTE]))
        await curio.sleep(0.05)
        for value in (build_configuration(4, []), b"{", b"[]"):
            write_configuration(state, value)
            await curio.sleep(0.05)
            assert configuration.current is not None
            assert configuration.current.version == 5
            assert configuration.find("host", "/q/x") is not None
        write_configuration(state, build_configuration(9, []))
        await curio.sleep(0.05)
        assert configuration.find("host", "/q/x") is None

    curio.run(main)


@pytest.mark.parametrize(
    "steps",
    [
        [],
        [{"count": 0}],
        [{"count": 1, "start_after": [0]}],
        [{"count": 1, "start_after": [5]}],
        [{"cpu": 5}],
        [{"count": "many"}],
        [{"count": 20_000}],
        "none",
    ],
)
def test_a_malformed_job_is_refused(steps):
    with pytest.raises(RequestError) as refused:
        parse_job(QUEUE, JOB_ID, orjson.dumps({"spec": "x", "steps": steps}))
    assert refused.value.status == 400


@pytest.mark.parametrize("body", [b"", b"[]", b'{"service":"s"}', b"null"])
def test_a_malformed_heartbeat_is_refused(body):
    with pytest.raises(ProtocolError):
        decode_heartbeat("/api/Instances.Heartbeat/i-1", body)


@pytest.mark.parametrize("value", [b"", b"{}", b'{"version":1,"routes":[{}]}'])
def test_a_malformed_configuration_is_no_configuration(value):
    with pytest.raises(ProtocolError):
        decode_configuration(value)


def test_all_errors_in_the_settings_are_reported_at_once(tmp_path):
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps({"node": 5, "listen": {}, "store": {"address": 1}}))
    with pytest.raises(SettingsError) as error:
        load_deployment(str(path))
    faults = error.value.detail.splitlines()
    assert any(fault.startswith("node:") for fault in faults)
    assert any(fault.startswith("host:") for fault in faults)
    assert any(fault.startswith("store.address:") for fault in faults)


def test_a_log_that_nobody_reads_never_blocks_and_counts_what_it_drops():
    """A process blocked, or logged nothing more, once its reader had paused.

    With pipe and buffer full, the write blocked, or a full buffer was never flushed.
    """
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = EventLog(writer, "test")
    for number in range(2 * LINES_PER_S):
        log.emit("filler", number=number, text="x" * 1_000)
    assert log.dropped > 0
    os.set_blocking(reader, False)
    data = b""
    # The next second's allowance admits lines again; each also flushes the buffer.
    time.sleep(1.0)
    while b"again" not in data:
        log.emit("again")
        try:
            data += os.read(reader, 2 * BUFFER_BYTES)
        except BlockingIOError:
            time.sleep(0.01)
    assert len(data) > BUFFER_BYTES
    assert log.dropped == 0
    os.close(reader)
    log.emit("nobody reads")
    os.close(writer)


def test_final_states_are_final():
    assert {state for state in JobState if state.final} == {
        JobState.COMPLETED,
        JobState.FAILED,
        JobState.CANCELLED,
    }


def test_events_are_counted_and_timed_also_when_their_lines_are_dropped():
    log = create_quiet_log()
    for _ in range(LINES_PER_S + 10):
        log.emit("run.place", waited_ms=30)
    text = log.stats.format()
    assert f"run_place {LINES_PER_S + 10}\n" in text
    assert f'run_place_waited_ms_bucket{{le="50"}} {LINES_PER_S + 10}\n' in text
    assert 'run_place_waited_ms_bucket{le="20"} 0\n' in text


def test_a_flood_of_one_event_costs_no_line_of_another(monkeypatch):
    """The leader's decisions during a burst were missing from the log.

    All events shared one allowance per second, which another event had used up.
    """
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    # Allowances are reset every second, also in the middle of a flood.
    monkeypatch.setattr(events, "time", SimpleNamespace(time=lambda: 5.0))
    log = EventLog(writer, "test")
    data = b""
    log.emit("begin")
    for number in range(2 * LINES_PER_S):
        log.emit("flood", number=number)
        if number % 100 == 0 and number < LINES_PER_S:
            data += os.read(reader, BUFFER_BYTES)
    log.emit("run.place", task="t")
    data += os.read(reader, BUFFER_BYTES)
    lines = [json.loads(line) for line in data.splitlines()]
    os.close(reader)
    os.close(writer)
    assert [record["task"] for record in lines if record["event"] == "run.place"] == [
        "t"
    ]
    dropped = [record["events"] for record in lines if record["event"] == "log.dropped"]
    assert dropped == [{"flood": LINES_PER_S}]
