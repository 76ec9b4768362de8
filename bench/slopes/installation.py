"""Estimates the cost of an installation of any size from the stored slopes."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.entry.pushing import DIRECTORY_RESEND_S

# The intended size of an installation (docs/dev-guide/aim.md).
WORKERS = 28_000
RUNNERS = 150_000
BATCH_TASKS = 250_000
STARTS_PER_S = 18_000
TEAMS = 79
PROFILE_CHANGES_PER_S = 61_000 / 86_400
# Assumptions about what that page leaves open.
SERVICES = 4_000
SCANNED_TASKS_PER_TEAM = 64
MEASURED_REPORT_S = 0.5
# Sizes of one message, from the measurement `messages`.
RENEW_BYTES = 29
PING_BYTES = 16
PING_S = 0.5
EVENTS_PER_START = 3
# The measurement `rows` spreads starts over this number of partitions.
MEASURED_PARTITIONS = 4
SNAPSHOT_ROWS = 200
MAX_ENDED_RECORDS = 10_000

Row = tuple[str, float]


@dataclass(frozen=True, slots=True)
class Slopes:
    """The stored results of all measurements."""

    runs: dict[str, dict]

    def find(self, run: str, name: str, x: str = "") -> float:
        """Return a slope."""
        return float(self._find(run, name, x)["slope"])

    def base(self, run: str, name: str, x: str = "") -> float:
        """Return an intercept."""
        return float(self._find(run, name, x)["intercept"])

    def _find(self, run: str, name: str, x: str) -> dict:
        for slope in self.runs[run]["slopes"]:
            if slope["name"] == name and slope["x"].startswith(x):
                return slope
        raise KeyError(f"{run}: {name}")


@dataclass(frozen=True, slots=True)
class Plan:
    """An installation; the defaults are those of the settings.

    :param teams: teams that have many waiting tasks at each entry.
    :param directory_s: seconds between two sends of an unchanged directory; the
        sends after changes come on top and are not modelled.
    :param group_ms: wait before each journal row, milliseconds.
    :param rounds: placement rounds per second that scan the queue.
    :param selective_reports: reports list services and offer free resources only to
        the entries that an agent chose itself; owners get the runs as at present.
    """

    entries: int
    partitions: int = 8
    workers: int = WORKERS
    tasks: float = BATCH_TASKS / WORKERS
    report_s: float = 0.5
    directory_s: float = DIRECTORY_RESEND_S
    group_ms: float = 5.0
    beat_s: float = 2.0
    rounds: float = 10.0
    entry_links: int = 3
    teams: int = TEAMS
    selective_reports: bool = False

    @property
    def owner_links(self) -> float:
        """Return an agent's links to partition owners that it did not choose itself."""
        owners = min(self.entries, self.partitions)
        held = owners * (1 - (1 - 1 / owners) ** self.tasks)
        return held * (1 - self.chosen_links / self.entries)

    @property
    def chosen_links(self) -> int:
        """Return the number of links to entries that an agent chooses itself."""
        return min(self.entry_links, self.entries)

    @property
    def links(self) -> float:
        """Return the number of links of an agent."""
        return self.chosen_links + self.owner_links

    @property
    def report_rate_ratio(self) -> float:
        """Return the report rate of a link relative to the measured one."""
        return MEASURED_REPORT_S / self.report_s

    @property
    def scale(self) -> float:
        """Return the number of workers relative to the intended size."""
        return self.workers / WORKERS


def build_current(entries: int) -> Plan:
    """Return an installation of the intended size with the current settings."""
    return Plan(entries, partitions=min(8 * entries, 4_096))


def build_proposed(entries: int) -> Plan:
    """Return the same installation with the changes that scale.md proposes first."""
    return Plan(
        entries,
        partitions=min(4 * entries, 4_096),
        report_s=2.0,
        directory_s=600.0,
        rounds=1.0,
        selective_reports=True,
    )


def estimate_entry(slopes: Slopes, plan: Plan) -> list[Row]:
    """Return the CPU time of an average entry, milliseconds per second.

    The first two rows are counts of partitions and links.
    """
    links = plan.workers * plan.links / plan.entries
    link = slopes.find("entry-links", "entry cpu by links") * plan.report_rate_ratio
    task = (
        slopes.find("entry-running", "entry cpu by running tasks")
        * plan.report_rate_ratio
    )
    start = slopes.find("entry-starts", "entry cpu of starts")
    return [
        ("partitions", plan.partitions),
        ("links", links),
        ("base", slopes.base("entry-links", "entry cpu by links")),
        ("reports, 4 services each", link * links),
        ("renewals", task * plan.tasks * plan.workers / plan.entries),
        ("starts", start * STARTS_PER_S * plan.scale / plan.entries),
        ("placement rounds", _estimate_placement(slopes, plan, links)),
        ("membership", _estimate_membership(slopes, plan)),
        ("snapshots", _estimate_snapshots(slopes, plan)),
        ("directory", _estimate_directory(slopes, plan)[1] * links),
        ("profiles", _estimate_profiles(slopes)),
    ]


def _estimate_placement(slopes: Slopes, plan: Plan, links: float) -> float:
    by_worker = slopes.find("placement", "cpu of a round, no room", "worker")
    by_task = slopes.find("placement", "cpu of a round, no room", "waiting")
    if not plan.teams:
        return 0.0
    return plan.rounds * (
        by_worker * links + by_task * plan.teams * SCANNED_TASKS_PER_TEAM
    )


def _estimate_membership(slopes: Slopes, plan: Plan) -> float:
    look = slopes.find("membership", "cpu of a look", "entry") * plan.entries
    look += slopes.find("membership", "cpu of a look", "partition") * plan.partitions
    plans = slopes.find("membership", "cpu of a plan") * plan.entries * plan.partitions
    return (look + plans) / plan.beat_s


def estimate_journal_rows(slopes: Slopes, plan: Plan) -> float:
    """Return a partition's journal rows per second at the peak of starts."""
    rate = STARTS_PER_S * plan.scale / plan.partitions
    name = "rows of a partition"
    measured = rate * MEASURED_PARTITIONS
    rows = slopes.base("rows", name) + slopes.find("rows", name) * measured
    name = "time between rows of a partition"
    pause = slopes.base("rows", name) + slopes.find("rows", name) * plan.group_ms
    return min(EVENTS_PER_START * rate, rows, 1000 / pause)


def _estimate_snapshots(slopes: Slopes, plan: Plan) -> float:
    snapshots_per_s = (
        estimate_journal_rows(slopes, plan)
        / SNAPSHOT_ROWS
        * plan.partitions
        / plan.entries
    )
    cost = slopes.find("snapshots", "cpu of a fold", "ended") * MAX_ENDED_RECORDS
    running = plan.tasks * plan.workers / plan.partitions
    cost += slopes.find("snapshots", "cpu of a fold", "running") * running
    return snapshots_per_s * cost


def _estimate_directory(slopes: Slopes, plan: Plan) -> tuple[float, float]:
    """Return a link's bytes and milliseconds of one side's CPU time per second."""
    size = cpu = 0.0
    for x, count in (("entry", plan.entries), ("partition", plan.partitions)):
        size += count * slopes.find("directory", "bytes of a directory", x)
        name = "cpu to encode and decode a directory"
        cpu += count * slopes.find("directory", name, x)
    return size / plan.directory_s, cpu / plan.directory_s / 2


def _estimate_profiles(slopes: Slopes) -> float:
    name = "cpu of an entry to take a change in"
    return min(1.0, PROFILE_CHANGES_PER_S) * SERVICES * slopes.find("profiles", name)


def estimate_entry_memory(slopes: Slopes, plan: Plan) -> float:
    """Return the memory of an average entry without waiting tasks, MiB."""
    links = plan.workers * plan.links / plan.entries
    base = slopes.base("entry-links", "entry memory by links")
    link = slopes.find("entry-links", "entry memory by links")
    task = slopes.find("entry-running", "entry memory by running tasks")
    ended = (
        slopes.find("entry-starts", "entry memory by ended tasks") * MAX_ENDED_RECORDS
    )
    base += ended * plan.partitions / plan.entries
    running = plan.tasks * plan.workers / plan.entries
    return (base + link * links + task * running) / 1024


def estimate_agent(slopes: Slopes, plan: Plan) -> list[Row]:
    """Return the links, CPU time and traffic of an average agent."""
    runners = RUNNERS / WORKERS
    size, directory = _estimate_directory(slopes, plan)
    cpu = slopes.base("agent-links", "agent cpu by links")
    cpu += (
        plan.links
        * slopes.find("agent-links", "agent cpu by links")
        * plan.report_rate_ratio
    )
    cpu += plan.tasks * slopes.find("agent-tasks", "agent cpu by tasks")
    cpu += runners * slopes.find("agent-runners", "agent cpu by runners")
    # Measured with three links; the reports on each listed every service.
    runner = slopes.find("agent-runners", "agent bytes out by runners") / 3
    reported_links = plan.chosen_links if plan.selective_reports else plan.links
    sent = plan.links * slopes.find("agent-links", "agent bytes out by links")
    sent += reported_links * runners * runner
    sent += plan.tasks * slopes.find("agent-tasks", "agent bytes out by tasks")
    traffic = [
        ("reports sent, B/s", sent * plan.report_rate_ratio),
        ("renewals received, B/s", RENEW_BYTES * (plan.owner_links / plan.report_s)),
        ("directories received, B/s", plan.links * size),
        ("pings, B/s", _estimate_pings(plan)),
    ]
    return [
        ("links", plan.links),
        ("cpu without directories, ms/s", cpu),
        ("cpu of directories, ms/s", plan.links * directory),
        *traffic,
        ("bytes in all, B/s", sum(value for _, value in traffic)),
    ]


def _estimate_pings(plan: Plan) -> float:
    """Return an upper bound of the bytes of pings in both directions per second.

    Reports replace an agent's own pings if they are at least as frequent. With
    ``selective_reports``, links to owners ping at the rate of reports, and links to
    chosen entries at the present rate.
    """
    if not plan.selective_reports:
        sides = 1 if plan.report_s <= PING_S else 2
        return sides * plan.links * PING_BYTES / PING_S
    chosen = 2 * plan.chosen_links * PING_BYTES / PING_S
    return chosen + plan.owner_links * PING_BYTES / plan.report_s
