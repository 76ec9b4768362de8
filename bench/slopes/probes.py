"""Readings of processes and of a machine that is shared with others."""

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
    """Return the processor time of a process of one thread, seconds."""
    text = Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / NANO


def read_memory_kib(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise ValueError(f"no memory of process {pid}")


def read_load() -> list[float]:
    """Return how busy the machine is, over 1, 5 and 15 minutes."""
    return [round(value, 2) for value in os.getloadavg()]


@dataclass(slots=True)
class Spent:
    """Processor time of this process in a block, seconds."""

    cpu_s: float = 0.0


@contextmanager
def watch_cpu() -> Iterator[Spent]:
    """Measure the processor time that this process takes for a block."""
    gc.collect()
    spent = Spent()
    before = time.process_time()
    try:
        yield spent
    finally:
        spent.cpu_s = time.process_time() - before


@dataclass(frozen=True, slots=True)
class Window:
    """What a process took in a stretch of time."""

    wall_s: float
    cpu_s: float
    memory_kib: int

    @property
    def cpu_ms_per_s(self) -> float:
        """Return milliseconds of processor time in each second."""
        return 1000 * self.cpu_s / self.wall_s


def watch_process(pid: int, seconds: float) -> Window:
    """Watch a process for a while."""
    started, before = time.monotonic(), read_cpu_s(pid)
    time.sleep(seconds)
    wall = time.monotonic() - started
    return Window(wall, read_cpu_s(pid) - before, read_memory_kib(pid))
