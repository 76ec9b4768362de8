"""Compares runs: table, JSON files and a plot of tail latency over time."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import fmean
from typing import Any

from bench.policies import NO_BATCH, ORACLE, OURS, POLICIES
from bench.simulation import BIN_S

EVICT_NEWEST = "evict-newest"
MAX_TAIL_RATIO = 1.1
MIN_THROUGHPUT_SHARE = 0.9
MAX_EVICTION_RATIO = 0.25

Result = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Row:
    """One policy in one deployment and shape, over all seeds.

    :param p99_ms: mean over seeds, for the service that batch work slowed most.
    :param tail: ratio of its p99 to that of the same seed without batch work, mean
        over seeds; ``tail_worst`` is the largest.
    :param throughput: batch work as a share of the oracle's, mean over seeds;
        ``throughput_least`` is the smallest.
    :param evictions: over all seeds; ``killed`` counts tasks that ran out of memory.
    """

    deployment: str
    shape: str
    policy: str
    service: str
    p99_ms: float
    tail: float
    tail_worst: float
    late: float
    refused: float
    lost: float
    avoidable: int
    throughput: float
    throughput_least: float
    evictions: int
    throttles: int
    killed: int
    over_memory_s: float


@dataclass(frozen=True, slots=True)
class Aim:
    """One aim, and whether the product's row meets it over all seeds."""

    deployment: str
    shape: str
    name: str
    measured: float
    aim: float
    met: bool


def build_rows(results: Sequence[Result]) -> list[Row]:
    """Return the table's rows in the order of the policies."""
    rows = []
    for deployment, shape in _unique((r["deployment"], r["shape"]) for r in results):
        group = [
            r for r in results if (r["deployment"], r["shape"]) == (deployment, shape)
        ]
        no_batch = {r["seed"]: r for r in group if r["policy"] == NO_BATCH}
        oracle = {r["seed"]: r for r in group if r["policy"] == ORACLE}
        for policy in POLICIES:
            runs = [r for r in group if r["policy"] == policy.name]
            if runs:
                rows.append(_build_row(runs, no_batch, oracle))
    return rows


def _build_row(
    runs: Sequence[Result], no_batch: Mapping[int, Result], oracle: Mapping[int, Result]
) -> Row:
    first = runs[0]

    def ratios(service: str) -> list[float]:
        return [
            run["services"][service]["p99_s"]
            / no_batch[run["seed"]]["services"][service]["p99_s"]
            for run in runs
        ]

    service = max(first["services"], key=lambda name: fmean(ratios(name)))
    figures = [run["services"][service] for run in runs]
    batch = [run["batch"] for run in runs]
    throughputs = [
        run["batch"]["work"] / oracle[run["seed"]]["batch"]["work"] for run in runs
    ]
    service_figures = [f for run in runs for f in run["services"].values()]
    requests = sum(f["requests"] for f in service_figures)
    return Row(
        first["deployment"],
        first["shape"],
        first["policy"],
        service,
        p99_ms=1000 * fmean(f["p99_s"] for f in figures),
        tail=fmean(ratios(service)),
        tail_worst=max(ratios(service)),
        late=sum(f["late"] for f in service_figures) / requests,
        refused=sum(f["refused"] for f in service_figures) / requests,
        lost=sum(f["lost"] for f in service_figures) / requests,
        avoidable=sum(f["avoidable"] for f in service_figures),
        throughput=fmean(throughputs),
        throughput_least=min(throughputs),
        evictions=sum(b["evictions"] for b in batch),
        throttles=sum(b["throttles"] for b in batch),
        killed=sum(b["killed"] for b in batch),
        over_memory_s=sum(b["over_memory_s"] for b in batch),
    )


def check_aims(rows: Sequence[Row]) -> list[Aim]:
    """Return each aim for the product's rows, met or not."""
    aims = []
    table = {(row.deployment, row.shape, row.policy): row for row in rows}
    for (deployment, shape, policy), row in table.items():
        if policy != OURS:
            continue
        newest = table[deployment, shape, EVICT_NEWEST].evictions
        eviction_ratio = row.evictions / newest if newest else float(row.evictions > 0)
        values = (
            ("worst p99 / alone", row.tail_worst, MAX_TAIL_RATIO, True),
            ("least work / oracle", row.throughput_least, MIN_THROUGHPUT_SHARE, False),
            ("evictions / evict-newest", eviction_ratio, MAX_EVICTION_RATIO, True),
            ("refused late, not at once", float(row.avoidable), 0.0, True),
        )
        for name, measured, aim, below in values:
            met = measured <= aim if below else measured >= aim
            aims.append(Aim(deployment, shape, name, measured, aim, met))
    return aims


def print_report(rows: Sequence[Row], aims: Sequence[Aim]) -> None:
    """Print the table and the aims."""
    head = (
        f"{'policy':18} {'worst service':16} {'p99 ms':>7} {'/alone':>6} {'worst':>6} "
        f"{'late%':>6} {'refus%':>6} {'avoid':>6} {'work':>5} {'least':>5} "
        f"{'evict':>6} {'throt':>7} {'oom':>5}"
    )
    for scenario in _unique((row.deployment, row.shape) for row in rows):
        print(f"\n{scenario[0]}, load {scenario[1]}\n{head}")
        for row in rows:
            if (row.deployment, row.shape) != scenario:
                continue
            print(
                f"{row.policy:18} {row.service:16} {row.p99_ms:7.1f} {row.tail:6.2f} "
                f"{row.tail_worst:6.2f} {100 * row.late:6.2f} "
                f"{100 * row.refused:6.2f} {row.avoidable:6d} {row.throughput:5.2f} "
                f"{row.throughput_least:5.2f} {row.evictions:6d} {row.throttles:7d} "
                f"{row.killed:5d}"
            )
    print("\naims (worst seed counts)")
    for aim in aims:
        verdict = "met" if aim.met else "NOT MET"
        print(
            f"{aim.deployment:8} {aim.shape:7} {aim.name:27} "
            f"{aim.measured:7.2f} (aim {aim.aim:.2f}) {verdict}"
        )


def write_results(
    directory: Path,
    results: Sequence[Result],
    rows: Sequence[Row],
    aims: Sequence[Aim],
    arguments: Mapping[str, object],
) -> None:
    """Write one JSON file for each deployment, and one with the aims."""
    directory.mkdir(parents=True, exist_ok=True)
    for deployment in _unique(row.deployment for row in rows):
        document = {
            "arguments": dict(arguments),
            "rows": [asdict(row) for row in rows if row.deployment == deployment],
            "aims": [asdict(aim) for aim in aims if aim.deployment == deployment],
            "runs": [_shorten(r) for r in results if r["deployment"] == deployment],
        }
        text = json.dumps(document, indent=1, sort_keys=True) + "\n"
        (directory / f"{deployment}.json").write_text(text)


def plot_tails(directory: Path, results: Sequence[Result]) -> None:
    """Plot the first service's p99 over time, for the first seed."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    scenarios = _unique((r["deployment"], r["shape"]) for r in results)
    shown = (NO_BATCH, OURS, "no-guard", EVICT_NEWEST, "static-split")
    figure, axes = pyplot.subplots(len(scenarios), 1, figsize=(10, 3 * len(scenarios)))
    for axis, (deployment, shape) in zip(
        axes if len(scenarios) > 1 else [axes], scenarios, strict=True
    ):
        seed = min(r["seed"] for r in results)
        for result in results:
            run_key = (result["deployment"], result["shape"], result["seed"])
            if run_key != (deployment, shape, seed) or result["policy"] not in shown:
                continue
            name = next(iter(result["services"]))
            tail = result["services"][name]["tail_s"]
            times = [BIN_S * index for index in range(len(tail))]
            axis.plot(times, [1000 * t for t in tail], label=result["policy"])
            axis.set_title(f"{deployment}, {shape}: {name}")
        axis.set_ylabel("p99, ms")
        axis.set_yscale("log")
    axis.set_xlabel("time, s")
    axis.legend(loc="upper right", fontsize="small")
    figure.tight_layout()
    figure.savefig(directory / "tails.png", dpi=80)


def _shorten(result: Result) -> Result:
    """Return a result without the tail over time, which only the plot needs."""
    services = {
        name: {key: value for key, value in figures.items() if key != "tail_s"}
        for name, figures in result["services"].items()
    }
    return {**result, "services": services}


def _unique(items: Iterable[Any]) -> list[Any]:
    return list(dict.fromkeys(items))
