"""Steps for callers' requests, checked against the runners' own records."""

from __future__ import annotations

import hashlib
import http.client
import json
import socket
import threading
import time

from pytest_bdd import parsers, then, when

from tests.harness import call
from tests.harness.waiting import wait_until
from tests.scenarios.load import Load
from tests.scenarios.steps.deployment import TASK_LEASE_S
from tests.scenarios.world import SERVICE, SentRequest, World

SEND = (
    r'"(?P<name>\w+)" is sent as (?P<method>[A-Z]+) "(?P<target>[^"]+)"'
    r'(?: with key "(?P<key>\w+)")?'
    r"(?: (?:with|and) a deadline of (?P<deadline>\d+) ms)?"
    r'(?: through "(?P<entry>\w+)")?'
    r"(?P<how> in the background| until it runs| until the store answers)?"
)
RETRIES = 200
RETRY_PAUSE_S = 0.1
GRACE_S = 3.0
HALF = 20_000
PROBLEM = "application/problem+json"


@when(parsers.re(SEND))
def send(
    world: World,
    name: str,
    method: str,
    target: str,
    key: str,
    deadline: str,
    entry: str,
    how: str,
) -> None:
    headers = {"idempotency_key": key} if key else {}
    if deadline:
        headers["pistachiodeal_deadline_ms"] = deadline
    for _ in range(RETRIES):
        sent = world.send(name, method, target, entry or world.entries[0], **headers)
        if how == " in the background":
            return
        sent.finish()
        if not must_retry(sent, how):
            return
        time.sleep(RETRY_PAUSE_S)


def must_retry(sent: SentRequest, how: str | None) -> bool:
    """Return whether a caller would retry with the same key."""
    if not how:
        return False
    reply = sent.answer()
    if how == " until the store answers":
        return reply.status == 503
    return reply.outcome == "not_run" or reply.status == 409


@when(
    parsers.parse(
        'key "{key}" is sent again as POST "{target}" '
        "through every entry, {count:d} times"
    )
)
def send_again(world: World, key: str, target: str, count: int) -> None:
    how = " until the store answers"
    for number in range(count * len(world.entries)):
        entry = world.entries[number % len(world.entries)]
        send(world, f"repeat_{key}_{number}", "POST", target, key, "", entry, how)


@then(
    parsers.re(
        r'every repeat of "(?P<key>\w+)" ends with '
        r'(?P<kind>outcome|the answer of) "(?P<wanted>\w+)"'
    )
)
def check_repeats(world: World, key: str, kind: str, wanted: str) -> None:
    names = [name for name in world.sent if name.startswith(f"repeat_{key}_")]
    assert names
    check = check_outcome if kind == "outcome" else check_same_answer
    for name in names:
        check(world, name, wanted)


@when(parsers.parse('the runners have started "{name}"'))
def wait_started(world: World, name: str) -> None:
    wait_until(lambda: world.executions(case=name), f"{name} begins")


@then(parsers.parse('"{name}" ends with outcome "{outcome}"'))
def check_outcome(world: World, name: str, outcome: str) -> None:
    reply = world.sent[name].answer()
    assert reply.headers.get("content-type") == PROBLEM, reply
    assert reply.outcome == outcome, reply


@then(parsers.parse('"{name}" ends with status {status:d}'))
def check_status(world: World, name: str, status: int) -> None:
    reply = world.sent[name].answer()
    assert reply.status == status, reply


@then(
    parsers.parse(
        '"{name}" sent as GET "{target}" through "{entry}" ends with status 200'
    )
)
def send_and_check(world: World, name: str, target: str, entry: str) -> None:
    reply = world.send(name, "GET", target, entry).answer()
    assert reply.status == 200, reply


@then(parsers.parse('"{name}" ends with the answer of "{other}"'))
def check_same_answer(world: World, name: str, other: str) -> None:
    one, two = world.sent[name].answer(), world.sent[other].answer()
    assert (one.status, one.body) == (two.status, two.body)


@then(parsers.parse('"{name}" got no answer'))
def check_no_answer(world: World, name: str) -> None:
    world.sent[name].finish()
    assert world.sent[name].reply is None


@then(parsers.parse('"{name}" has a Retry-After header'))
def check_retry_after(world: World, name: str) -> None:
    reply = world.sent[name].answer()
    assert int(reply.headers["retry-after"]) >= 1, reply


@then(parsers.parse('the runners never saw "{name}"'))
def check_never_ran(world: World, name: str) -> None:
    assert world.executions(case=name) == []


@then(parsers.parse('the runners of "{worker}" ran "{name}" {count:d} times'))
def check_ran_at(world: World, worker: str, name: str, count: int) -> None:
    runner = f"{SERVICE}-{worker}"
    assert len(world.executions(case=name, runner=runner)) == count


@then(parsers.parse('the runners ran "{name}" once'))
def check_ran_once(world: World, name: str) -> None:
    assert len(world.executions(case=name)) == 1


@then(parsers.parse('the runners ran key "{key}" once'))
def check_key_ran_once(world: World, key: str) -> None:
    assert len(world.executions(key=key)) == 1


@then(parsers.parse('the runners never saw key "{key}"'))
def check_key_never_ran(world: World, key: str) -> None:
    assert world.executions(key=key) == []


@when(
    parsers.parse(
        '{count:d} callers send POST "{target}" with key "{key}" '
        "through all entries at once"
    )
)
def send_same_key(world: World, count: int, target: str, key: str) -> None:
    for number in range(count):
        entry = world.entries[number % len(world.entries)]
        world.send(f"same-{number}", "POST", target, entry, idempotency_key=key)
    # Wait for all answers, or the check would miss a first run that starts slowly, and
    # a second run that must not happen.
    for sent in world.sent.values():
        sent.answer()


@then("at least one of them got status 200")
def check_one_answered(world: World) -> None:
    replies = [sent.answer() for sent in world.sent.values()]
    assert any(reply.status == 200 for reply in replies), replies


@then('the others got the same answer or outcome "unknown"')
def check_others(world: World) -> None:
    replies = [sent.answer() for sent in world.sent.values()]
    bodies = {reply.body for reply in replies if reply.status == 200}
    assert len(bodies) == 1
    rest = {reply.outcome for reply in replies if reply.status != 200}
    assert rest <= {"unknown"}, replies


@when(
    parsers.parse("{count:d} callers send requests of mixed length through all entries")
)
def send_mixed(world: World, count: int) -> None:
    start_load(world)
    assert world.load is not None
    tally = world.load.tally
    wait_until(lambda: tally.complete + len(tally.problems) >= count, "answers")


@when("callers send requests through all entries without pause")
def start_load(world: World) -> None:
    addresses = [world.address(name) for name in world.entries]
    world.load = Load(addresses)
    tally = world.load.tally
    wait_until(lambda: tally.complete > 20, "the load is answered")


@when(parsers.parse("the load ends after {count:d} more answers"))
def end_load(world: World, count: int) -> None:
    assert world.load is not None
    before = world.load.tally.complete
    wait_until(lambda: world.load.tally.complete > before + count, "more answers")
    world.load.stop()


@then("every caller got the whole answer to their own request")
def check_load(world: World) -> None:
    tally = stop_load(world)
    assert tally.problems == []


@then("every caller got the whole answer to their own request, or a problem")
def check_load_or_problem(world: World) -> None:
    stop_load(world)


def stop_load(world: World):
    assert world.load is not None
    tally = world.load.stop()
    assert tally.failures == []
    assert tally.complete > 20
    return tally


@then("requests are answered again")
def check_answered_again(world: World) -> None:
    entry = world.cluster[world.entries[0]]
    world.cluster.wait_reply(entry, f"/{SERVICE}/again")


@then(parsers.parse("{count:d} requests are answered without a failure"))
def check_many(world: World, count: int) -> None:
    for number in range(count):
        reply = call(world.address(world.entries[0]), "GET", f"/{SERVICE}/{number}")
        assert reply.status == 200, reply


@then("requests are answered without a failure until every lease has run out")
def check_during_outage(world: World) -> None:
    # Leases count from the agents' last renewed reports, so all of them have expired
    # after an owner's lease and a task's lease from now.
    end = time.monotonic() + TASK_LEASE_S + GRACE_S
    number = 0
    while time.monotonic() < end:
        number += 1
        entry = world.entries[number % len(world.entries)]
        reply = call(world.address(entry), "GET", f"/{SERVICE}/{number}")
        assert reply.status == 200, reply


@when(parsers.parse("{count:d} requests are sent at once on one connection"))
def send_pipelined(world: World, count: int) -> None:
    host, _, port = world.address(world.entries[0]).rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        heads = [
            f"GET /orders/p HTTP/1.1\r\nhost: a\r\nx-case: piped-{number}\r\n\r\n"
            for number in range(count)
        ]
        sock.sendall("".join(heads).encode())
        answers = [read_answer(sock) for _ in range(count)]
    world.notes["piped"] = answers


def read_answer(sock: socket.socket) -> dict[str, str]:
    # HTTPResponse reads ahead into the next answer, so read byte by byte.
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        head += sock.recv(1)
    lines = head.decode().lower().split("\r\n")
    lengths = [
        line.split(":")[1] for line in lines if line.startswith("content-length")
    ]
    body = b""
    while len(body) < int(lengths[0]):
        body += sock.recv(1)
    return json.loads(body)


@then("the answers come back whole and in order")
def check_pipelined(world: World) -> None:
    cases = [answer["case"] for answer in world.notes["piped"]]
    assert cases == [f"piped-{number}" for number in range(len(cases))]


@when(parsers.parse('a caller keeps a connection to "{entry}" open'))
def keep_open(world: World, entry: str) -> None:
    connection = http.client.HTTPConnection(world.address(entry), timeout=10)
    connection.request("GET", "/orders/first")
    connection.getresponse().read()
    world.notes["connection"] = connection


@when(parsers.parse('entry "{entry}" accepts no more connections'))
def wait_refused(world: World, entry: str) -> None:
    host, _, port = world.address(entry).rpartition(":")

    def poll() -> bool:
        try:
            socket.create_connection((host, int(port)), timeout=1).close()
        except ConnectionRefusedError:
            return True
        return False

    wait_until(poll, f"{entry} refuses connections")


@then('the caller\'s next request on it is answered with "connection: close"')
def check_kept_open(world: World) -> None:
    connection = world.notes["connection"]
    connection.request("GET", "/orders/second")
    response = connection.getresponse()
    response.read()
    assert response.status == 200
    assert response.getheader("connection") == "close"


@when(parsers.parse('a caller sends half of a request to "{entry}"'))
def send_half(world: World, entry: str) -> None:
    host, _, port = world.address(entry).rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=10)
    head = f"POST /orders/half HTTP/1.1\r\nhost: a\r\ncontent-length: {2 * HALF}\r\n"
    sock.sendall(f"{head}x-case: half\r\nexpect: 100-continue\r\n\r\n".encode())
    go_on = b""
    while not go_on.endswith(b"\r\n\r\n"):
        go_on += sock.recv(1)
    assert go_on.startswith(b"HTTP/1.1 100 "), go_on
    sock.sendall(b"h" * HALF)
    world.notes["half"] = sock


@then("the request is answered once the caller has sent the rest")
def send_rest(world: World) -> None:
    with world.notes["half"] as sock:
        sock.sendall(b"h" * HALF)
        answer = read_answer(sock)
    assert answer["case"] == "half"
    assert answer["sha"] == hashlib.sha256(b"h" * HALF * 2).hexdigest()


@then(parsers.parse('the runners of "{worker}" receive no requests after {limit:d} s'))
def check_receives_nothing(world: World, worker: str, limit: int) -> None:
    left_at = time.monotonic()
    threading.Event().wait(limit + 1.0)
    late = [
        event
        for event in world.executions(runner=f"{SERVICE}-{worker}")
        if event["at"] > left_at + limit
    ]
    assert late == []


@then(parsers.parse('entry "{entry}" drops "{worker}" within {limit:d} s'))
def check_dropped(world: World, entry: str, worker: str, limit: int) -> None:
    def poll() -> bool:
        status = world.cluster.operate(world.cluster[entry], "GET", "/-/status")
        seen = [agent["worker"] for agent in status.document()["agents"]]
        return worker not in seen

    started = time.monotonic()
    wait_until(poll, f"{entry} drops {worker}")
    assert time.monotonic() - started <= limit
