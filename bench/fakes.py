"""A simulated worker: interference per task kind, delayed usage data, out of memory.

The simulated interference differs from the learned model on purpose: it grows faster
than linearly with the share of the worker that a kind uses, and with the load of the
service.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Generator
from dataclasses import dataclass, field
from itertools import count
from math import ceil, exp, log

import numpy as np

from bench.shapes import SLOTS, Deployment, Kind, Service
from pistachiodeal.model.resources import Resources

HARM_EXPONENT = 1.2
RESUME_S = 3.0  # work repeated after an eviction
WAVE_SHARE = 0.7
MEMORY_GROWS_S = 5.0
USAGE_LAG_S = 1.5
_WINDOW_S = 5.0


@dataclass(slots=True)
class FakeTask:
    """A batch task; ``done_s`` is work in seconds at full speed."""

    task_id: str
    kind: Kind
    started_at: float = 0.0
    share: float = 1.0
    evictions: int = 0
    done_s: float = 0.0
    checkpoint_s: float = 0.0
    reserved: Resources = field(default_factory=Resources)

    @property
    def cores(self) -> float:
        """Cores in use at the present throttle."""
        return self.kind.true.cpu_milli / 1000 * self.share


class FakeRunner:
    """A service's slots on one worker, served first come, first served."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.slowdown = 1.0
        self.load = 0.0
        self.mean_s = service.mean_s
        self._busy_s = 0.0
        self._free_at = [0.0] * SLOTS
        self._log_mean = log(service.mean_s) - service.sigma**2 / 2
        self._starts: deque[float] = deque(maxlen=1000)
        self._recent: deque[tuple[float, float, float]] = deque(maxlen=2000)

    def wait(self, now: float) -> float:
        """Return the actual wait for a slot, seconds."""
        return max(0.0, min(self._free_at) - now)

    def estimate_wait(self, now: float) -> float:
        """Return the wait, seconds, as the agent estimates it at admission."""
        if min(self._free_at) <= now:
            return 0.0
        return (self.queued(now) + 1) * self.mean_s / SLOTS

    def serve(self, now: float, normal: float) -> float:
        """Serve a request; return the time at which it ends.

        :param normal: a standard normal sample that determines its duration.
        """
        slot = self._free_at.index(min(self._free_at))
        start = max(now, self._free_at[slot])
        alone_s = exp(self._log_mean + self.service.sigma * normal)
        took_s = alone_s * self.slowdown
        end = start + took_s
        self._free_at[slot] = end
        self._busy_s += took_s
        self.mean_s += 0.1 * (took_s - self.mean_s)
        self._recent.append((end, end - now, took_s))
        if start > now:
            self._starts.append(start)
        return end

    def close_step(self, step_s: float) -> None:
        """Compute the load of the step that ends."""
        self.load = min(1.0, self._busy_s / (step_s * SLOTS))
        self._busy_s = 0.0

    def busy(self, now: float) -> int:
        """Return the number of slots in use."""
        return sum(1 for free in self._free_at if free > now)

    def queued(self, now: float) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(1 for start in self._starts if start > now)

    def measure(self, now: float) -> tuple[float, float]:
        """Return what an agent measures over the last ``_WINDOW_S`` seconds.

        :return: 99th percentile of latency, and mean time without waiting.
        """
        start = now - _WINDOW_S
        ended = [
            (total, took) for end, total, took in self._recent if start < end <= now
        ]
        if not ended:
            return 0.0, 0.0
        totals = sorted(total for total, _ in ended)
        mean_s = sum(took for _, took in ended) / len(ended)
        return totals[ceil(0.99 * len(totals)) - 1], mean_s


def _has_runner(index: int, service: Service, deployment: Deployment) -> bool:
    """Return whether a worker has a runner; runners are spread evenly over workers."""
    return index * service.runners % deployment.workers < service.runners


class FakeWorker:
    """A worker with runners and tasks; the scheduler does not see their true sizes."""

    def __init__(self, index: int, deployment: Deployment) -> None:
        self.name = f"w{index}"
        self.rack = f"rack-{index // 3}"
        self.data_centre = f"dc-{index // 3 % 3}"
        self.capacity = deployment.capacity
        self.alive = True
        self.tasks: dict[str, FakeTask] = {}
        self.runners = {
            service.name: FakeRunner(service)
            for service in deployment.services
            if _has_runner(index, service, deployment)
        }
        self.base = deployment.runner_size
        self.over_memory_s = 0.0
        self.noisy_kind = ""  # the kind whose harm is doubled at present

    def reserved(self, now: float) -> Resources:
        """Return the resources that the agent counts as reserved, runners included.

        Delayed usage measurements enlarge reservations that are too small.
        """
        total = self.base
        for task in self.tasks.values():
            seen = self._compute_memory(task, now - USAGE_LAG_S)
            used = Resources(round(task.cores * 1000), seen)
            total += task.reserved.elementwise_max(used)
        return total

    def _compute_memory(self, task: FakeTask, now: float) -> int:
        """Return a task's memory in use, which grows over its first seconds."""
        grown = min(1.0, max(0.0, now - task.started_at) / MEMORY_GROWS_S)
        return round(task.kind.true.memory_mib * grown)

    def shares(self) -> dict[str, float]:
        """Return the share of the worker's cores that each kind uses."""
        cores = self.capacity.cpu_milli / 1000
        shares: dict[str, float] = {}
        for task in self.tasks.values():
            name = task.kind.name
            shares[name] = shares.get(name, 0.0) + task.cores / cores
        return shares

    def harm(self, kind: Kind, service: str) -> float:
        """Return a kind's true harm to a service, doubled for the noisy kind."""
        strength = kind.harm[service]
        return 2.0 * strength if self.noisy_kind == kind.name else strength

    def true_slowdown(self, service: str, shares: dict[str, float]) -> float:
        """Return the factor by which these kinds lengthen a request."""
        kinds = {task.kind.name: task.kind for task in self.tasks.values()}
        excess = 0.0
        for name, share in shares.items():
            excess += self.harm(kinds[name], service) * share**HARM_EXPONENT
        crowding = max(0.0, self._compute_cpu_demand(shares) - 1.0)
        load = self.runners[service].load
        return 1.0 + excess * (0.7 + 0.6 * load) + 2.0 * crowding

    def advance(self, step_s: float) -> list[FakeTask]:
        """Run tasks for one step; return those that finished."""
        shares = self.shares()
        for service, runner in self.runners.items():
            runner.close_step(step_s)
            runner.slowdown = self.true_slowdown(service, shares)
        speed = min(1.0, 1.0 / self._compute_cpu_demand(shares))
        finished = []
        for task in list(self.tasks.values()):
            task.done_s += task.share * speed * step_s
            if task.done_s >= task.kind.run_s:
                finished.append(self.tasks.pop(task.task_id))
        return finished

    def _compute_cpu_demand(self, shares: dict[str, float]) -> float:
        """Return the demanded share of the cores.

        Runners use half of their reservation.
        """
        runners = self.base.cpu_milli / self.capacity.cpu_milli / 2
        return sum(shares.values()) + runners

    def kill_over_memory(self, now: float, step_s: float) -> list[FakeTask]:
        """Kill the newest tasks while memory is short, as an OOM killer does."""
        killed = []
        used = self.base.memory_mib
        used += sum(self._compute_memory(task, now) for task in self.tasks.values())
        if used > self.capacity.memory_mib:
            self.over_memory_s += step_s
        while used > self.capacity.memory_mib and self.tasks:
            newest = max(self.tasks.values(), key=lambda task: task.started_at)
            used -= self._compute_memory(newest, now)
            killed.append(self.tasks.pop(newest.task_id))
        return killed


def generate_tasks(
    deployment: Deployment, rng: np.random.Generator
) -> Generator[FakeTask, bool, None]:
    """Return an endless stream of tasks, mixed by the kinds' weights.

    After ``send(True)``, during a wave, most tasks are of the first kind.
    """
    weights = np.array([kind.weight for kind in deployment.kinds])
    mix = weights / weights.sum()
    wave = False
    for number in count():
        noisy = wave and rng.random() < WAVE_SHARE
        index = 0 if noisy else rng.choice(len(mix), p=mix)
        wave = bool((yield FakeTask(f"t{number}", deployment.kinds[index])))
