"""Reads CPU time, memory and load of processes and of the machine."""

from __future__ import annotations

import gc
import os
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

NANO = 1e9


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a single-threaded process, seconds."""
    text = Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / NANO


def read_memory_kib(pid: int) -> int:
    """Return the resident memory of a process, KiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise ValueError(f"no VmRSS in the status of process {pid}")


def read_load() -> list[float]:
    """Return the load average of the machine over 1, 5 and 15 minutes."""
    return [round(value, 2) for value in os.getloadavg()]


@dataclass(slots=True)
class CpuTime:
    """CPU time of this process in a ``with`` block, seconds."""

    cpu_s: float = 0.0


@contextmanager
def measure_cpu() -> Iterator[CpuTime]:
    """Measure the CPU time that this process uses in a ``with`` block.

    Garbage is collected first, so that earlier garbage does not count.
    """
    gc.collect()
    spent = CpuTime()
    before = time.process_time()
    try:
        yield spent
    finally:
        spent.cpu_s = time.process_time() - before


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """CPU time and memory of a process in an interval."""

    wall_s: float
    cpu_s: float
    memory_kib: int

    @property
    def cpu_ms_per_s(self) -> float:
        """Return milliseconds of CPU time per second."""
        return 1000 * self.cpu_s / self.wall_s


def measure_process(pid: int, seconds: float) -> ProcessUsage:
    """Measure a process over an interval."""
    started, before = time.monotonic(), read_cpu_s(pid)
    time.sleep(seconds)
    wall = time.monotonic() - started
    return ProcessUsage(wall, read_cpu_s(pid) - before, read_memory_kib(pid))
