"""Computes the figures of one fault and prints the table of all faults."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from bench.fault_load import ANSWERED, KINDS, SentRequest

Figures = dict[str, Any]

MAX_AMPLIFICATION = 1.1
BIN_S = 1.0
NUMBER = re.compile(r"\b\d[\w.:-]*")
LOG_LINE = re.compile(r"^\S+Z (\w+)\s+(.*)$")
MAX_LOG_KINDS = 40


def describe_requests(
    sent: Sequence[SentRequest], fault_at: float, recovered_at: float, end: float
) -> Figures:
    """Return outcomes and latencies of requests, from the fault to the load's end."""
    after = [request for request in sent if request.ended_at >= fault_at]
    failed = [request for request in after if request.failed]
    baseline = [request for request in sent if request.ended_at < fault_at]
    return {
        "requests": len(after),
        "failed": len(failed),
        "failed_in_calm": sum(request.failed for request in baseline),
        "served_again_s": find_recovery(after, fault_at, end),
        "last_failure_s": max(
            (round(max(0.0, request.sent_at - fault_at), 2) for request in failed),
            default=None,
        ),
        "longest_gap_s": find_gap(after, fault_at),
        "by_outcome": count_outcomes(failed),
        "by_code": dict(
            Counter(f"{request.outcome} {request.code}" for request in failed)
        ),
        "latency_ms": {
            "calm": compute_latency(baseline),
            "during": compute_latency([s for s in after if s.sent_at < recovered_at]),
            "after": compute_latency([s for s in after if s.sent_at >= recovered_at]),
        },
    }


def find_recovery(
    sent: Sequence[SentRequest], fault_at: float, end: float
) -> float | None:
    """Return the start of the first second in which no request failed.

    A request counts in the second in which it was sent, one in flight at the fault
    in the first. None if there is no such second.
    """
    bins = range(int((end - fault_at) / BIN_S))
    bad = {
        int((request.sent_at - fault_at) / BIN_S) for request in sent if request.failed
    }
    seen = {int((request.sent_at - fault_at) / BIN_S) for request in sent}
    return next((number * BIN_S for number in bins if number in seen - bad), None)


def find_gap(sent: Sequence[SentRequest], fault_at: float) -> float:
    """Return the longest time without an answer to any caller, seconds."""
    ends = sorted(request.ended_at for request in sent if not request.failed)
    times = [fault_at, *ends]
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    return round(max(gaps, default=0.0), 3)


def count_outcomes(failed: Iterable[SentRequest]) -> dict[str, dict[str, int]]:
    """Return the number of failed requests for each kind and outcome."""
    counts: dict[str, Counter[str]] = {kind: Counter() for kind in KINDS}
    for request in failed:
        counts[request.kind][request.outcome] += 1
    return {kind: dict(counter) for kind, counter in counts.items() if counter}


def compute_latency(sent: Iterable[SentRequest]) -> dict[str, float]:
    """Return percentiles of the answered requests, milliseconds."""
    times = sorted(s.ended_at - s.sent_at for s in sent if s.outcome == ANSWERED)
    if not times:
        return {}

    def pick(share: float) -> float:
        return round(1000 * times[min(len(times) - 1, int(share * len(times)))], 1)

    return {"p50": pick(0.5), "p99": pick(0.99), "max": pick(1.0)}


def describe_executions(
    sent: Sequence[SentRequest], starts: Sequence[Mapping[str, Any]], fault_at: float
) -> Figures:
    """Return executions per request, and contradictions of runners and callers.

    :param starts: the runners' records of started executions.
    """
    runs = Counter(str(start["case"]) for start in starts)
    after = [request for request in sent if request.ended_at >= fault_at]
    executed = sum(runs[request.case] for request in after)
    unsafe = [request for request in after if request.kind.startswith("POST")]
    return {
        "executions": executed,
        "amplification": round(executed / max(1, len(after)), 4),
        "most_of_one": max((runs[request.case] for request in after), default=0),
        "repeated": sum(runs[request.case] > 1 for request in after),
        "unsafe_repeated": sum(runs[request.case] > 1 for request in unsafe),
        "not_run_but_ran": sum(
            request.outcome == "not_run" and runs[request.case] > 0 for request in after
        ),
        "answered_but_not_run": sum(
            request.outcome == ANSWERED and runs[request.case] == 0 for request in after
        ),
    }


def describe_table(
    samples: Sequence[tuple[float, Mapping[str, int]]],
    commits: Sequence[Mapping[str, Any]],
) -> Figures:
    """Return commits and reads (with scans) per second between the samples.

    :param commits: the table's record of commits, for the busiest second.
    """
    rates: Figures = {}
    names = ("calm", "during", "after")
    for name, (at, counts), (until, later) in zip(
        names, samples, samples[1:], strict=False
    ):
        seconds = max(until - at, 1e-6)
        reads = sum(later[key] - counts[key] for key in ("reads", "scans"))
        bins = Counter(
            int(commit["at"] - at) for commit in commits if at <= commit["at"] < until
        )
        rates[name] = {
            "seconds": round(seconds, 2),
            "commits_per_s": round((later["commits"] - counts["commits"]) / seconds, 1),
            "busiest_second": max(bins.values(), default=0),
            "reads_per_s": round(reads / seconds, 1),
        }
    return rates


def shorten_log(text: str) -> dict[str, int]:
    """Return log lines with their numbers replaced, and how often each occurs."""
    counts: Counter[str] = Counter()
    for line in text.splitlines():
        if found := LOG_LINE.match(line):
            counts[f"{found[1]} {NUMBER.sub('N', found[2])}"] += 1
    return dict(counts.most_common(MAX_LOG_KINDS))


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
    bad = [r["fault"] for r in results if r["amplification"] > MAX_AMPLIFICATION]
    print(f"amplification over {MAX_AMPLIFICATION}: {', '.join(bad) or 'none'}")


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
    baseline = tasks["calm_s"].get("p50", 0.0)
    affected = f"{tasks['hit_s'].get('p50', 0):.1f}/{tasks['hit_s'].get('max', 0):.1f}"
    return (
        f"{result['fault']:21} "
        f"{_format_optional(requests['served_again_s']):>6} "
        f"{_format_optional(requests['last_failure_s']):>6} "
        f"{requests['longest_gap_s']:6.2f} "
        f"{requests['requests']:5d} {requests['failed']:5d} "
        f"{outcomes['not_run']:7d} {outcomes['unknown']:5d} {outcomes['ran']:4d} "
        f"{outcomes['broken']:5d} {result['amplification']:6.3f} "
        f"{result['handed_over']:6.3f} {commits:>15} {reads:>15} {tails:>14} "
        f"{finished:>9} {tasks['doubled']:3d} {tasks['lost']:4d} "
        f"{baseline:6.1f} {affected:>12}"
    )


def _format_optional(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f}"
