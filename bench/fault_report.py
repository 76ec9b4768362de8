"""Figures of one fault, and the table of all."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from bench.fault_load import ANSWERED, KINDS, Sent

Figures = dict[str, Any]

AIM = 1.1
BIN_S = 1.0
NUMBERS = re.compile(r"\b\d[\w.:-]*")
LOG_LINE = re.compile(r"^\S+Z (\w+)\s+(.*)$")
LOG_KINDS = 40


def describe_requests(
    sent: Sequence[Sent], fault_at: float, healed_at: float, end: float
) -> Figures:
    """Return how callers fared, from the fault to the end of the load."""
    after = [one for one in sent if one.ended_at >= fault_at]
    failed = [one for one in after if one.failed]
    calm = [one for one in sent if one.ended_at < fault_at]
    return {
        "requests": len(after),
        "failed": len(failed),
        "failed_in_calm": sum(one.failed for one in calm),
        "served_again_s": find_recovery(after, fault_at, end),
        "last_failure_s": max(
            (round(max(0.0, one.sent_at - fault_at), 2) for one in failed),
            default=None,
        ),
        "longest_gap_s": find_gap(after, fault_at),
        "by_outcome": count_outcomes(failed),
        "by_code": dict(Counter(f"{one.outcome} {one.code}" for one in failed)),
        "latency_ms": {
            "calm": compute_latency(calm),
            "during": compute_latency([s for s in after if s.sent_at < healed_at]),
            "after": compute_latency([s for s in after if s.sent_at >= healed_at]),
        },
    }


def find_recovery(sent: Sequence[Sent], fault_at: float, end: float) -> float | None:
    """Return the beginning of the first second in which no request failed.

    Requests count in the second in which they were sent, those in flight at the
    fault in the first. None if there is no such second.
    """
    bins = range(int((end - fault_at) / BIN_S))
    bad = {int((one.sent_at - fault_at) / BIN_S) for one in sent if one.failed}
    seen = {int((one.sent_at - fault_at) / BIN_S) for one in sent}
    return next((number * BIN_S for number in bins if number in seen - bad), None)


def find_gap(sent: Sequence[Sent], fault_at: float) -> float:
    """Return the longest time without an answer to any caller, seconds."""
    ends = sorted(one.ended_at for one in sent if not one.failed)
    times = [fault_at, *ends]
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    return round(max(gaps, default=0.0), 3)


def count_outcomes(failed: Iterable[Sent]) -> dict[str, dict[str, int]]:
    """Return the number of failed requests for each kind and outcome."""
    counts: dict[str, Counter[str]] = {kind: Counter() for kind in KINDS}
    for one in failed:
        counts[one.kind][one.outcome] += 1
    return {kind: dict(counter) for kind, counter in counts.items() if counter}


def compute_latency(sent: Iterable[Sent]) -> dict[str, float]:
    """Return percentiles of the answered requests, milliseconds."""
    times = sorted(s.ended_at - s.sent_at for s in sent if s.outcome == ANSWERED)
    if not times:
        return {}

    def pick(share: float) -> float:
        return round(1000 * times[min(len(times) - 1, int(share * len(times)))], 1)

    return {"p50": pick(0.5), "p99": pick(0.99), "max": pick(1.0)}


def describe_executions(
    sent: Sequence[Sent], starts: Sequence[Mapping[str, Any]], fault_at: float
) -> Figures:
    """Return amplification, and where runners and callers contradict each other.

    :param starts: the runners' records of begun executions.
    """
    runs = Counter(str(start["case"]) for start in starts)
    after = [one for one in sent if one.ended_at >= fault_at]
    executed = sum(runs[one.case] for one in after)
    unsafe = [one for one in after if one.kind.startswith("POST")]
    return {
        "executions": executed,
        "amplification": round(executed / max(1, len(after)), 4),
        "most_of_one": max((runs[one.case] for one in after), default=0),
        "repeated": sum(runs[one.case] > 1 for one in after),
        "unsafe_repeated": sum(runs[one.case] > 1 for one in unsafe),
        "not_run_but_ran": sum(
            one.outcome == "not_run" and runs[one.case] > 0 for one in after
        ),
        "answered_but_not_run": sum(
            one.outcome == ANSWERED and runs[one.case] == 0 for one in after
        ),
    }


def describe_table(
    marks: Sequence[tuple[float, Mapping[str, int]]],
    commits: Sequence[Mapping[str, Any]],
) -> Figures:
    """Return commits and reads (scans too) a second between the marks.

    :param commits: the table's own record, for the busiest second.
    """
    rates: Figures = {}
    names = ("calm", "during", "after")
    for name, (at, counts), (until, later) in zip(
        names, marks, marks[1:], strict=False
    ):
        seconds = max(until - at, 1e-6)
        reads = sum(later[key] - counts[key] for key in ("reads", "scans"))
        bins = Counter(
            int(one["at"] - at) for one in commits if at <= one["at"] < until
        )
        rates[name] = {
            "seconds": round(seconds, 2),
            "commits_per_s": round((later["commits"] - counts["commits"]) / seconds, 1),
            "busiest_second": max(bins.values(), default=0),
            "reads_per_s": round(reads / seconds, 1),
        }
    return rates


def shorten_log(text: str) -> dict[str, int]:
    """Return the lines of a log with numbers left out, and how often each came."""
    counts: Counter[str] = Counter()
    for line in text.splitlines():
        if found := LOG_LINE.match(line):
            counts[f"{found[1]} {NUMBERS.sub('N', found[2])}"] += 1
    return dict(counts.most_common(LOG_KINDS))


def print_table(results: Sequence[Figures]) -> None:
    """Print one line for each fault."""
    print(
        f"{'fault':21} {'again':>6} {'last':>6} {'gap':>6} {'sent':>5} {'fail':>5} "
        f"{'not_run':>7} {'unkn':>5} {'ran':>4} {'brok':>5} {'ampl':>6} {'hand':>6} "
        f"{'commits/s':>15} {'reads/s':>15} {'p99 ms':>14} "
        f"{'tasks':>9} {'2x':>3} {'lost':>4} {'calm s':>6} {'hit p50/max':>12}"
    )
    for result in results:
        print(_format_row(result))
    bad = [r["fault"] for r in results if r["amplification"] > AIM]
    print(f"amplification over {AIM}: {', '.join(bad) or 'none'}")


def _format_row(result: Figures) -> str:
    requests, tasks = result["requests"], result["tasks"]
    outcomes: Counter[str] = Counter()
    for counts in requests["by_outcome"].values():
        outcomes.update(counts)
    table = result["table"].values()
    commits = "/".join(f"{phase['commits_per_s']:.0f}" for phase in table)
    reads = "/".join(f"{phase['reads_per_s']:.0f}" for phase in table)
    tails = "/".join(f"{p.get('p99', 0):.0f}" for p in requests["latency_ms"].values())
    finished = f"{tasks['finished']}/{tasks['submitted']}"
    calm = tasks["calm_s"].get("p50", 0.0)
    hit = f"{tasks['hit_s'].get('p50', 0):.1f}/{tasks['hit_s'].get('max', 0):.1f}"
    return (
        f"{result['fault']:21} {_show(requests['served_again_s']):>6} "
        f"{_show(requests['last_failure_s']):>6} {requests['longest_gap_s']:6.2f} "
        f"{requests['requests']:5d} {requests['failed']:5d} "
        f"{outcomes['not_run']:7d} {outcomes['unknown']:5d} {outcomes['ran']:4d} "
        f"{outcomes['broken']:5d} {result['amplification']:6.3f} "
        f"{result['handed_over']:6.3f} {commits:>15} {reads:>15} {tails:>14} "
        f"{finished:>9} {tasks['doubled']:3d} {tasks['lost']:4d} {calm:6.1f} {hit:>12}"
    )


def _show(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f}"
