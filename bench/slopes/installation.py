"""An installation of any size, worked out from the kept slopes."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.entry.pushing import DIRECTORY_RESEND_S

# The size of the aim (docs/dev-guide/aim.md).
WORKERS = 28_000
RUNNERS = 150_000
BATCH = 250_000
STARTS = 18_000
TEAMS = 79
CHANGES = 61_000 / 86_400
# Choices that the aim leaves open.
SERVICES = 4_000
LOOK_AHEAD = 64
MEASURED_REPORT_S = 0.5
# Sizes of one message, as the run `messages` names them.
RENEW_BYTES = 29
PING_BYTES = 16
PING_S = 0.5
EVENTS_OF_START = 3
# The run `rows` by rate of starts spread them over so many partitions.
MEASURED_PARTITIONS = 4
SNAPSHOT_ROWS = 200
KEPT_RECORDS = 10_000

Row = tuple[str, float]


@dataclass(frozen=True, slots=True)
class Slopes:
    """The kept results."""

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

    :param teams: teams of which many tasks wait at each entry.
    :param directory_s: how often a directory is sent that nothing has changed;
        changes come on top and are not modelled.
    :param group_ms: wait before each journal row.
    :param rounds: rounds of placement in each second that look at the queue.
    :param lean: reports name services only to an agent's chosen entries, and only
        there is room for tasks; runs go to their owner as today.
    """

    entries: int
    partitions: int = 8
    workers: int = WORKERS
    tasks: float = BATCH / WORKERS
    report_s: float = 0.5
    directory_s: float = DIRECTORY_RESEND_S
    group_ms: float = 5.0
    beat_s: float = 2.0
    rounds: float = 10.0
    entry_links: int = 3
    teams: int = TEAMS
    lean: bool = False

    @property
    def owned(self) -> float:
        """Return the owners' links of an agent, those it chose itself left out."""
        owners = min(self.entries, self.partitions)
        held = owners * (1 - (1 - 1 / owners) ** self.tasks)
        return held * (1 - self.chosen / self.entries)

    @property
    def chosen(self) -> int:
        """Return the links that an agent chooses itself."""
        return min(self.entry_links, self.entries)

    @property
    def links(self) -> float:
        """Return the links of an agent."""
        return self.chosen + self.owned

    @property
    def rate(self) -> float:
        """Return the reports of a link against those that were measured."""
        return MEASURED_REPORT_S / self.report_s

    @property
    def scale(self) -> float:
        """Return the workers against those of the aim."""
        return self.workers / WORKERS


def build_present(entries: int) -> Plan:
    """Return the aim's size with the settings of today."""
    return Plan(entries, partitions=min(8 * entries, 4_096))


def build_changed(entries: int) -> Plan:
    """Return the same with what scale.md would change first."""
    return Plan(
        entries,
        partitions=min(4 * entries, 4_096),
        report_s=2.0,
        directory_s=600.0,
        rounds=1.0,
        lean=True,
    )


def work_out_entry(slopes: Slopes, plan: Plan) -> list[Row]:
    """Return an average entry's milliseconds of processor time in each second."""
    links = plan.workers * plan.links / plan.entries
    link = slopes.find("entry-links", "entry cpu by links") * plan.rate
    task = slopes.find("entry-running", "entry cpu by running tasks") * plan.rate
    start = slopes.find("entry-starts", "entry cpu of starts")
    return [
        ("partitions", plan.partitions),
        ("links", links),
        ("base", slopes.base("entry-links", "entry cpu by links")),
        ("reports, 4 services each", link * links),
        ("renewals", task * plan.tasks * plan.workers / plan.entries),
        ("starts", start * STARTS * plan.scale / plan.entries),
        ("placement rounds", _work_out_rounds(slopes, plan, links)),
        ("membership", _work_out_membership(slopes, plan)),
        ("snapshots", _work_out_snapshots(slopes, plan)),
        ("directory", _work_out_directory(slopes, plan)[1] * links),
        ("profiles", _work_out_profiles(slopes)),
    ]


def _work_out_rounds(slopes: Slopes, plan: Plan, links: float) -> float:
    by_worker = slopes.find("placement", "cpu of a round, no room", "worker")
    by_task = slopes.find("placement", "cpu of a round, no room", "waiting")
    if not plan.teams:
        return 0.0
    return plan.rounds * (by_worker * links + by_task * plan.teams * LOOK_AHEAD)


def _work_out_membership(slopes: Slopes, plan: Plan) -> float:
    look = slopes.find("membership", "cpu of a look", "entry") * plan.entries
    look += slopes.find("membership", "cpu of a look", "partition") * plan.partitions
    plans = slopes.find("membership", "cpu of a plan") * plan.entries * plan.partitions
    return (look + plans) / plan.beat_s


def count_rows(slopes: Slopes, plan: Plan) -> float:
    """Return a partition's journal rows in each second, at the peak of starts."""
    rate = STARTS * plan.scale / plan.partitions
    name = "rows of a partition"
    measured = rate * MEASURED_PARTITIONS
    rows = slopes.base("rows", name) + slopes.find("rows", name) * measured
    name = "time between rows of a partition"
    pause = slopes.base("rows", name) + slopes.find("rows", name) * plan.group_ms
    return min(EVENTS_OF_START * rate, rows, 1000 / pause)


def _work_out_snapshots(slopes: Slopes, plan: Plan) -> float:
    folds = count_rows(slopes, plan) / SNAPSHOT_ROWS * plan.partitions / plan.entries
    cost = slopes.find("snapshots", "cpu of a fold", "ended") * KEPT_RECORDS
    running = plan.tasks * plan.workers / plan.partitions
    cost += slopes.find("snapshots", "cpu of a fold", "running") * running
    return folds * cost


def _work_out_directory(slopes: Slopes, plan: Plan) -> tuple[float, float]:
    """Return bytes and milliseconds (of one side) of a link in each second."""
    size = cpu = 0.0
    for x, count in (("entry", plan.entries), ("partition", plan.partitions)):
        size += count * slopes.find("directory", "bytes of a directory", x)
        name = "cpu to encode and decode a directory"
        cpu += count * slopes.find("directory", name, x)
    return size / plan.directory_s, cpu / plan.directory_s / 2


def _work_out_profiles(slopes: Slopes) -> float:
    name = "cpu of an entry to take a change in"
    return min(1.0, CHANGES) * SERVICES * slopes.find("profiles", name)


def work_out_entry_memory(slopes: Slopes, plan: Plan) -> float:
    """Return an average entry's memory, MiB; no tasks wait."""
    links = plan.workers * plan.links / plan.entries
    base = slopes.base("entry-links", "entry memory by links")
    link = slopes.find("entry-links", "entry memory by links")
    task = slopes.find("entry-running", "entry memory by running tasks")
    ended = slopes.find("entry-starts", "entry memory by ended tasks") * KEPT_RECORDS
    base += ended * plan.partitions / plan.entries
    running = plan.tasks * plan.workers / plan.entries
    return (base + link * links + task * running) / 1024


def work_out_agent(slopes: Slopes, plan: Plan) -> list[Row]:
    """Return an average agent's figures."""
    runners = RUNNERS / WORKERS
    size, directory = _work_out_directory(slopes, plan)
    cpu = slopes.base("agent-links", "agent cpu by links")
    cpu += plan.links * slopes.find("agent-links", "agent cpu by links") * plan.rate
    cpu += plan.tasks * slopes.find("agent-tasks", "agent cpu by tasks")
    cpu += runners * slopes.find("agent-runners", "agent cpu by runners")
    # Measured with three links, each of whose reports named every service.
    runner = slopes.find("agent-runners", "agent bytes out by runners") / 3
    told = plan.chosen if plan.lean else plan.links
    sent = plan.links * slopes.find("agent-links", "agent bytes out by links")
    sent += told * runners * runner
    sent += plan.tasks * slopes.find("agent-tasks", "agent bytes out by tasks")
    traffic = [
        ("reports sent, B/s", sent * plan.rate),
        ("renewals received, B/s", RENEW_BYTES * (plan.owned / plan.report_s)),
        ("directories received, B/s", plan.links * size),
        ("pings, B/s", _work_out_pings(plan)),
    ]
    return [
        ("links", plan.links),
        ("cpu without directories, ms/s", cpu),
        ("cpu of directories, ms/s", plan.links * directory),
        *traffic,
        ("bytes in all, B/s", sum(value for _, value in traffic)),
    ]


def _work_out_pings(plan: Plan) -> float:
    """Return bytes of pings both ways, at most.

    An agent's reports stand for its own pings if they are as frequent. Lean:
    owners' links ping at the rate of reports, chosen links as today.
    """
    if not plan.lean:
        sides = 1 if plan.report_s <= PING_S else 2
        return sides * plan.links * PING_BYTES / PING_S
    chosen = 2 * plan.chosen * PING_BYTES / PING_S
    return chosen + plan.owned * PING_BYTES / plan.report_s
