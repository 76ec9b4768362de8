"""Learns the actual sizes and run times of tasks, by team and kind.

Reservations follow past usage with a margin, as in Autopilot (Rzadca et al.,
"Autopilot: Workload Autoscaling at Google"): a high quantile of recent usage for
processors, and close to the peak for memory, since a task with too little memory is
killed while one with too little processor time is only late.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from math import ceil

from pistachiodeal.model.resources import Resources

NOTHING = Resources()
_SAMPLES = 50
_CPU_QUANTILE = 0.9
_CPU_MARGIN = 1.1
_MEMORY_MARGIN = 1.15
_RUN_GAIN = 0.2


@dataclass(slots=True)
class _Learnt:
    """Recent usage of one team's kind of task, including margins."""

    uses: deque[Resources] = field(default_factory=lambda: deque(maxlen=_SAMPLES))
    run_s: float | None = None


class SizeModel:
    """Estimates the resources that tasks of each team and kind use."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._learnt: OrderedDict[tuple[str, str], _Learnt] = OrderedDict()

    def observe(
        self,
        team: str,
        kind: str,
        used: Resources,
        run_s: float,
        reserved: Resources = NOTHING,
    ) -> None:
        """Update the estimates with a run that ended.

        :param used: largest measured usage, empty if none was measured.
        :param run_s: length of the run, seconds.
        :param reserved: resources that were reserved for the run.
        """
        learnt = self._learnt.get((team, kind))
        if learnt is None:
            learnt = self._learnt[team, kind] = _Learnt()
        self._learnt.move_to_end((team, kind))
        if len(self._learnt) > self._limit:
            self._learnt.popitem(last=False)
        if used != NOTHING:
            learnt.uses.append(_add_margin(used, reserved))
        if run_s > 0:
            old = run_s if learnt.run_s is None else learnt.run_s
            learnt.run_s = old + _RUN_GAIN * (run_s - old)

    def reserve(self, team: str, kind: str, declared: Resources) -> Resources:
        """Return the larger of the declared and the learnt size.

        :param declared: what the task asks for; accelerators are never learnt.
        """
        learnt = self._learnt.get((team, kind))
        if learnt is None or not learnt.uses:
            return declared
        cpus = sorted(use.cpu_milli for use in learnt.uses)
        cpu = cpus[min(len(cpus) - 1, int(_CPU_QUANTILE * len(cpus)))]
        memory = max(use.memory_mib for use in learnt.uses)
        return declared.elementwise_max(Resources(cpu, memory, 0))

    def run_s(self, team: str, kind: str) -> float | None:
        """Return the usual length of a run in seconds, None if never seen."""
        learnt = self._learnt.get((team, kind))
        return None if learnt is None else learnt.run_s


def _add_margin(used: Resources, reserved: Resources) -> Resources:
    # The reservation of a task that uses all it gets would grow by the margin with each
    # run, until it fits no worker and its whole kind waits for ever. So the margin is
    # capped at the reservation; only usage above it makes the kind larger.
    padded = Resources(
        ceil(used.cpu_milli * _CPU_MARGIN), ceil(used.memory_mib * _MEMORY_MARGIN), 0
    )
    if reserved == NOTHING:
        return padded
    return Resources(
        _choose_amount(used.cpu_milli, padded.cpu_milli, reserved.cpu_milli),
        _choose_amount(used.memory_mib, padded.memory_mib, reserved.memory_mib),
        0,
    )


def _choose_amount(used: int, padded: int, reserved: int) -> int:
    return padded if used > reserved else min(padded, reserved)


def create_size_model(limit: int = 10_000) -> SizeModel:
    """Create a model that keeps at most ``limit`` pairs of team and kind."""
    return SizeModel(limit)
