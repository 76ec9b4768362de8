"""The operators' command line against scripted entries."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import pytest

from pistachiodeal import exit_codes
from pistachiodeal.commands.cli import main
from pistachiodeal.histograms import create_histograms
from pistachiodeal.model.policies import Profile

LOST = object()  # read the request, then close the connection without an answer


@dataclass
class FakeEntry:
    """Gives scripted answers (status, headers, document) and records the requests."""

    answers: list[Any] = field(default_factory=list)
    requests: list[tuple[str, str, dict[str, str], Any]] = field(default_factory=list)
    address: str = ""


def create_handler(entry: FakeEntry) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *args: Any) -> None:
            pass

        def answer(self) -> None:
            body = self.rfile.read(int(self.headers.get("content-length") or 0))
            headers = {name.lower(): value for name, value in self.headers.items()}
            document = json.loads(body) if body else None
            entry.requests.append((self.command, self.path, headers, document))
            answer = entry.answers.pop(0)
            if answer is LOST:
                self.close_connection = True
                return
            status, more, reply = answer
            data = json.dumps(reply).encode()
            self.send_response(status)
            for name, value in {**more, "content-length": str(len(data))}.items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_PUT = do_POST = do_DELETE = answer  # noqa: N815

    return Handler


@pytest.fixture
def entries(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[FakeEntry]]:
    fakes = [FakeEntry(), FakeEntry()]
    servers = []
    for fake in fakes:
        server = ThreadingHTTPServer(("127.0.0.1", 0), create_handler(fake))
        fake.address = f"127.0.0.1:{server.server_port}"
        threading.Thread(target=server.serve_forever, daemon=True).start()
        servers.append(server)
    monkeypatch.setenv("PISTACHIODEAL_ENTRY", ",".join(f.address for f in fakes))
    monkeypatch.setenv("PISTACHIODEAL_TOKEN", "token-from-environment")
    yield fakes
    for server in servers:
        server.shutdown()
        server.server_close()


def show_profile(version: int) -> tuple[int, dict[str, str], dict[str, Any]]:
    document = {
        "name": "desk",
        "version": version,
        "profile": Profile(name="desk", promised_ms=300).model_dump(),
        "services": [],
    }
    return 200, {"etag": f'"{version}"'}, document


def test_a_revision_whose_answer_was_lost_is_not_sent_again(
    entries: list[FakeEntry], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against reporting a conflict with the operator's own change.

    The first entry applies the revision and dies before it answers. If the command
    then sent it to the second entry with the same If-Match, that would refuse it.
    """
    entries[0].answers = [show_profile(7), LOST]
    status = main(["profile", "revise", "desk", "--urgency", "4"])
    assert status == exit_codes.UNREACHABLE
    assert "outcome unknown" in capsys.readouterr().err
    assert entries[1].requests == []


def test_a_revision_keeps_other_fields_and_sends_the_version_it_read(
    entries: list[FakeEntry], capsys: pytest.CaptureFixture[str]
) -> None:
    lost_race = {"code": "precondition_failed", "detail": "it changed at version 9"}
    entries[0].answers = [show_profile(7), (412, {}, lost_race)]
    status = main(["profile", "revise", "desk", "--no-evict-batch", "--json"])
    method, path, headers, document = entries[0].requests[1]
    assert (method, path) == ("PUT", "/-/profiles/desk")
    assert headers["if-match"] == '"7"'
    assert headers["authorization"] == "Bearer token-from-environment"
    assert document["promised_ms"] == 300
    assert document["evict_batch"] is False
    assert status == exit_codes.CONFLICT
    assert "version 9" in json.loads(capsys.readouterr().err)["detail"]


def test_a_submission_whose_answer_was_lost_keeps_its_key(
    entries: list[FakeEntry], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against one command that creates two tasks.

    The first entry accepts the task and dies before it answers; the command submits
    it to the second entry, and must use the same key again.
    """
    entries[0].answers = [LOST]
    entries[1].answers = [(201, {}, {"id": "0001-a", "state": "queued"})]
    arguments = ["--kind", "press", "--team", "hall", "--profile", "batch"]
    assert main(["task", "submit", *arguments]) == exit_codes.OK
    keys = {entry.requests[0][2]["idempotency-key"] for entry in entries}
    assert len(keys) == 1
    assert "id: 0001-a" in capsys.readouterr().out


def test_the_next_entry_is_called_when_one_is_draining(
    entries: list[FakeEntry], capsys: pytest.CaptureFixture[str]
) -> None:
    gone = (503, {"retry-after": "1"}, {"code": "draining", "outcome": "not_run"})
    entries[0].answers = [gone]
    entries[1].answers = [(200, {}, {"service": "orders", "version": 3})]
    assert main(["service", "assign", "orders", "desk"]) == exit_codes.OK
    assert "version 3" in capsys.readouterr().out


def test_wrong_fields_are_reported_at_once_and_nothing_is_sent(
    entries: list[FakeEntry], capsys: pytest.CaptureFixture[str]
) -> None:
    arguments = ["--promised-ms", "0", "--percentile", "100", "--share", "-1"]
    status = main(["profile", "define", "Desk", *arguments])
    assert status == exit_codes.BAD_USAGE
    assert len(capsys.readouterr().err.splitlines()) == 5
    assert entries[0].requests == []


@pytest.mark.parametrize(
    ("http_status", "exit_status"),
    [(401, exit_codes.UNAUTHENTICATED), (404, exit_codes.NOT_FOUND), (500, 1)],
)
def test_an_unsuccessful_answer_has_its_exit_status(
    entries: list[FakeEntry], http_status: int, exit_status: int
) -> None:
    entries[0].answers = [(http_status, {}, {"detail": "no"})]
    assert main(["profile", "show", "desk"]) == exit_status


def test_histograms_of_all_entries_are_added(
    entries: list[FakeEntry], capsys: pytest.CaptureFixture[str]
) -> None:
    for entry, caller in zip(entries, ("shop", "archive"), strict=True):
        histograms = create_histograms()
        histograms.record(caller, "orders", 0.01)
        entry.answers = [(200, {}, histograms.build_document())]
    assert main(["histograms", "--by", "service", "--json"]) == exit_codes.OK
    (row,) = json.loads(capsys.readouterr().out)["histograms"]
    assert (row["caller"], row["service"], row["count"]) == ("*", "orders", 2)
