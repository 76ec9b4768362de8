"""Cost of parts of an entry, run in this process.

Covers placement rounds, membership, documents, claims and messages.
"""

from __future__ import annotations

from collections.abc import Iterator

import curio
import orjson

from bench.slopes.fitting import Slope, fit_line
from bench.slopes.memory import MemoryObjects, MemoryTable
from bench.slopes.probes import measure_cpu
from bench.slopes.service import Agents, Session, build_service, submit_all
from pistachiodeal.batch.keys import ENTRY_PREFIX, partition_key
from pistachiodeal.batch.membership import Membership
from pistachiodeal.batch.ownership import choose_preferred_owner
from pistachiodeal.batch.rows import EntryRow
from pistachiodeal.claims.manager import Claimed, ClaimManager, create_claim_manager
from pistachiodeal.model.policies import Profile
from pistachiodeal.model.resources import Resources
from pistachiodeal.profiles.document import (
    ProfileDocument,
    ProfileItem,
    ServiceItem,
    encode_document,
)
from pistachiodeal.profiles.manager import create_profile_manager
from pistachiodeal.profiles.store import DOCUMENT_KEY, VERSION_KEY
from pistachiodeal.web.messages import WebResponse
from pistachiodeal.wire.codec import (
    LENGTH_BYTES,
    decode_message,
    encode_message,
    parse_length,
)
from pistachiodeal.wire.messages import (
    Directory,
    EntryAddress,
    Message,
    PartitionOwner,
    Ping,
    Policies,
    PolicyPart,
    Report,
    ServiceLoad,
)
from pistachiodeal.wire.task_messages import (
    LeaseGrant,
    Renew,
    Start,
    TaskAck,
    TaskEnded,
    TaskRef,
)

WORKERS = (500, 1_000, 2_000, 4_000, 8_000)
WAITING = (500, 1_000, 2_000, 4_000)
ENTRIES = (25, 50, 100, 200)
PARTITIONS = (32, 64, 128, 256, 512)
SERVICES = (250, 500, 1_000, 2_000, 4_000)
CLAIMS = (500, 1_000, 2_000, 4_000)
MESSAGES = (500, 1_000, 2_000, 4_000)
REPORT_SIZES = (0, 8, 16, 32, 64)
ASSIGNMENT_SIZES = ((8, 32), (25, 64), (50, 64), (100, 64), (100, 128))
ROUNDS = 20
SIZE = Resources(1_000, 1_000, 0)

Points = list[tuple[float, float]]


def measure_placement() -> list[Slope]:
    """Measure a placement round by linked workers and waiting tasks.

    Workers have either no free resources or too little for a task.
    """
    full, little = Resources(), Resources(1_000, 500, 0)
    by_worker = [
        (n, curio.run(_measure_placement_rounds, n, 79, full)) for n in WORKERS
    ]
    by_partly_full = [
        (n, curio.run(_measure_placement_rounds, n, 79, little)) for n in WORKERS
    ]
    by_task = [(n, curio.run(_measure_placement_rounds, 50, n, full)) for n in WAITING]
    return [
        fit_line("cpu of a round, no room", "worker", "ms", by_worker),
        fit_line("cpu of a round, too little room", "worker", "ms", by_partly_full),
        fit_line("cpu of a round, no room", "waiting task", "ms", by_task),
    ]


async def _measure_placement_rounds(workers: int, tasks: int, free: Resources) -> float:
    service = build_service(MemoryTable(), MemoryObjects())
    await service._partition_manager.run_once()
    agents = Agents(service)
    for number in range(workers):
        session = Session(agents, number)
        service.session_opened(session)
        await session.report_once(free)
    await submit_all(service, tasks)
    with measure_cpu() as spent:
        for _ in range(ROUNDS):
            await service._placement_loop.run_once()
    for task in service._partition_manager._tasks.values():
        await task.cancel()
    return 1000 * spent.cpu_s / ROUNDS


def measure_membership() -> list[Slope]:
    """Measure a read of the rows of entries and partitions, and owner selection."""
    by_entry = [(n, curio.run(_measure_membership_round, n, 0)) for n in ENTRIES]
    by_partition = [(n, curio.run(_measure_membership_round, 0, n)) for n in PARTITIONS]
    products = [(n * p, _measure_owner_choice(n, p)) for n, p in ASSIGNMENT_SIZES]
    return [
        fit_line("cpu of a look", "entry", "ms", [(n, f[0]) for n, f in by_entry]),
        fit_line("bytes of a look", "entry", "B", [(n, f[1]) for n, f in by_entry]),
        fit_line(
            "cpu of a look", "partition", "ms", [(n, f[0]) for n, f in by_partition]
        ),
        fit_line(
            "bytes of a look", "partition", "B", [(n, f[1]) for n, f in by_partition]
        ),
        fit_line("cpu of a plan", "entry times partition", "ms", products),
    ]


async def _measure_membership_round(
    entries: int, partitions: int
) -> tuple[float, float]:
    table = MemoryTable()
    teams = {f"team-{n}": 1_000 * n for n in range(79)}
    for number in range(entries):
        row = _build_entry_row(number)
        fields = {name: getattr(row, name) for name in EntryRow.__slots__}
        table.put(ENTRY_PREFIX + row.node, orjson.dumps({**fields, "team_cpu": teams}))
    for number in range(partitions):
        owner = {
            "partition": number,
            "node": f"entry-{number % 100:03d}",
            "incarnation": 2**61 + number,
            "address": "10.11.12.13:8081",
            "epoch": 12,
            "nonce": "0" * 16,
        }
        table.put(partition_key(number), orjson.dumps(owner))
    membership = Membership(
        table, _build_entry_row(999), owner_lease_s=10, margin_s=1, clock=lambda: 0.0
    )
    await membership.refresh()
    with measure_cpu() as spent:
        for _ in range(ROUNDS):
            await membership.refresh()
    return 1000 * spent.cpu_s / ROUNDS, table.bytes


def _build_entry_row(number: int) -> EntryRow:
    address = "10.11.12.13"
    return EntryRow(
        f"entry-{number:03d}", 2**61, 5, f"{address}:8081", "dc1", f"{address}:8080"
    )


def _measure_owner_choice(entries: int, partitions: int) -> float:
    nodes = [f"entry-{number:03d}" for number in range(entries)]
    with measure_cpu() as spent:
        for _ in range(ROUNDS):
            for partition in range(partitions):
                choose_preferred_owner(partition, nodes)
    return 1000 * spent.cpu_s / ROUNDS


def measure_directory() -> list[Slope]:
    """Measure the directory, which each linked entry sends to every agent."""
    slopes = []
    for x, sizes in (("entry", ENTRIES), ("partition", PARTITIONS)):
        size, cpu = [], []
        for n in sizes:
            found = _build_directory(*((n, 0) if x == "entry" else (0, n)))
            size.append((n, float(len(encode_message(found)))))
            cpu.append((n, _time_message(found, ROUNDS) / ROUNDS))
        slopes.append(fit_line("bytes of a directory", x, "B", size))
        slopes.append(fit_line("cpu to encode and decode a directory", x, "ms", cpu))
    return slopes


def _build_directory(entries: int, partitions: int) -> Directory:
    address = "10.11.12.13:8081"
    return Directory(
        tuple(EntryAddress(f"entry-{n:03d}", address, "dc1") for n in range(entries)),
        tuple(
            PartitionOwner(n, 12, f"entry-{n % 100:03d}", address)
            for n in range(partitions)
        ),
    )


def measure_profiles() -> list[Slope]:
    """Measure one change of a document of n services, ten per profile."""
    found = [(n, curio.run(_measure_profile_change, n)) for n in SERVICES]
    return [
        fit_line(name, "service", unit, [(n, f[i]) for n, f in found])
        for i, (name, unit) in enumerate(
            (
                ("cpu to store a change", "ms"),
                ("cpu of an entry to take a change in", "ms"),
                ("bytes of the document", "B"),
            )
        )
    ]


async def _measure_profile_change(services: int) -> tuple[float, float, float]:
    table = MemoryTable()
    document = _build_document(services)
    table.put(DOCUMENT_KEY, encode_document(document))
    table.put(VERSION_KEY, b"1")
    profile_manager = create_profile_manager(table, 1.0)
    await profile_manager.refresh()
    store_s = refresh_s = 0.0
    for _ in range(ROUNDS):
        with measure_cpu() as spent:
            document = document.put_service("service-0", "profile-1").with_nonce(
                "0" * 16
            )
            value = encode_document(document)
        store_s += spent.cpu_s
        table.put(DOCUMENT_KEY, value)
        table.put(VERSION_KEY, str(document.version).encode())
        with measure_cpu() as spent:
            await profile_manager.refresh()
        refresh_s += spent.cpu_s
    size = float(len(table.rows[DOCUMENT_KEY].value))
    return 1000 * store_s / ROUNDS, 1000 * refresh_s / ROUNDS, size


def _build_document(services: int) -> ProfileDocument:
    names = [f"profile-{n}" for n in range(max(2, services // 10))]
    profiles = {
        name: ProfileItem(1, Profile(name=name).model_dump(mode="json"))
        for name in names
    }
    assignments = {
        f"service-{n}": ServiceItem(1, names[n % len(names)]) for n in range(services)
    }
    return ProfileDocument(1, profiles, assignments)


def measure_claims() -> list[Slope]:
    """Measure claims and the recording of their answers, with 200 callers at once."""
    found = [(n, curio.run(_run_claims, n)) for n in CLAIMS]
    return [
        fit_line(name, "claim", unit, [(n, f[i]) for n, f in found])
        for i, (name, unit) in enumerate(
            (
                ("cpu of claims", "ms"),
                ("commits of claims", "commits"),
                ("bytes of claims", "B"),
            )
        )
    ]


async def _run_claims(count: int) -> tuple[float, float, float]:
    table = MemoryTable(0.005)
    claim_manager = create_claim_manager(
        table, node="e1", group_s=0.005, group_rows=100
    )
    running = await curio.spawn(claim_manager.run, daemon=True)
    numbers = iter(range(count))
    with measure_cpu() as spent:
        async with curio.TaskGroup() as group:
            for _ in range(200):
                await group.spawn(_claim_next, claim_manager, numbers)
        await claim_manager.flush(30.0)
    await running.cancel()
    return 1000 * spent.cpu_s, table.commits, table.bytes


async def _claim_next(claim_manager: ClaimManager, numbers: Iterator[int]) -> None:
    for number in numbers:
        claim = await claim_manager.claim("orders", f"caller/{number}", "f" * 32, 5.0)
        assert isinstance(claim, Claimed)
        await claim_manager.record(claim, WebResponse(200, (), b"x" * 100))


def measure_messages() -> list[Slope]:
    """Measure the size of reports, and the CPU time to encode and decode messages."""
    slopes = [
        fit_line(
            f"bytes of a report by {x}s",
            x,
            "B",
            [(n, float(len(encode_message(build(n))))) for n in REPORT_SIZES],
        )
        for x, build in (("service", _build_loads), ("run", _build_refs))
    ]
    name = "0001-" + "a" * 32
    start = Start(name, 1, 1, 1, 1, 60_000, "press", "batch", SIZE, "x" * 100, "", 0, 0)
    messages_by_title: dict[str, Message] = {
        "Report of 5 services and 9 runs": Report(
            2**40, False, SIZE, SIZE, _build_loads(5).services, _build_refs(9).tasks
        ),
        "Ping": Ping(),
        "Renew": Renew(2**40, (LeaseGrant(1, 1, 60_000),)),
        "Start": start,
        "TaskEnded": TaskEnded(name, 1, "finished", "done", "", SIZE, 500),
        "TaskAck": TaskAck(name, 1),
        "Policies of 1": Policies(
            (PolicyPart("service-1", 5, Profile(name="batch").model_dump_json()),)
        ),
    }
    for title, message in messages_by_title.items():
        points: Points = [(n, _time_message(message, n)) for n in MESSAGES]
        size = len(encode_message(message))
        slopes.append(
            fit_line(
                f"cpu to encode and decode {title} ({size} B)", "message", "ms", points
            )
        )
    return slopes


def _build_loads(count: int) -> Report:
    loads = tuple(ServiceLoad(f"service-{n}", 8, 3, 0, 5_000) for n in range(count))
    return Report(2**40, False, SIZE, SIZE, loads, ())


def _build_refs(count: int) -> Report:
    refs = tuple(TaskRef(f"0001-{n:032x}", 1, 1) for n in range(count))
    return Report(2**40, False, SIZE, SIZE, (), refs)


def _time_message(message: Message, count: int) -> float:
    with measure_cpu() as spent:
        for _ in range(count):
            frame = encode_message(message)
            decode_message(frame[LENGTH_BYTES:], parse_length(frame[:LENGTH_BYTES])[1])
    return 1000 * spent.cpu_s
