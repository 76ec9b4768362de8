"""Chooses the run to evict when throttling was not enough."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from pistachiodeal.control.views import RunView

_BASE_COST = 0.1


def choose_victim(
    now: float, runs: Sequence[RunView], harm_s: Mapping[str, float]
) -> RunView | None:
    """Return the run with the largest latency saved for the cost of its eviction.

    :param harm_s: latency in seconds that each suspected kind costs; runs of
        other kinds are not evicted.
    """
    cpu: dict[str, float] = {}
    for run in runs:
        cpu[run.kind] = cpu.get(run.kind, 0.0) + _compute_cpu_milli(run)
    allowed = [run for run in runs if run.kind in harm_s and _is_evictable(run, now)]

    def value(run: RunView) -> tuple[float, float]:
        part = _compute_cpu_milli(run) / cpu[run.kind]
        cost = (_BASE_COST + run.eviction_cost) * (1 + run.evictions)
        return harm_s[run.kind] * part / cost, run.started_at

    return max(allowed, key=value, default=None)


def _is_evictable(run: RunView, now: float) -> bool:
    """Tell whether the run's profile allows an eviction now."""
    ran_s = now - run.started_at
    return ran_s >= run.min_run_s and run.evictions < run.max_evictions


def _compute_cpu_milli(run: RunView) -> float:
    """Return the processor time that a run may use now, never 0."""
    return max(run.size.cpu_milli, 1) * max(run.share, 1e-6)
