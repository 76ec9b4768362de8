"""Amounts of CPU, memory and accelerators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of a worker's resources.

    :param cpu_milli: CPU, in thousandths of a core.
    :param memory_mib: memory, in MiB.
    :param accelerators: number of accelerators.
    """

    cpu_milli: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def fits(self, room: Resources) -> bool:
        """Return whether this amount fits into ``room``."""
        return (
            self.cpu_milli <= room.cpu_milli
            and self.memory_mib <= room.memory_mib
            and self.accelerators <= room.accelerators
        )

    def fits_beside(self, used: Resources, whole: Resources) -> bool:
        """Return whether this amount and ``used`` together fit into ``whole``.

        Resources of which this amount is zero are not compared.
        """
        return (
            (not self.cpu_milli or self.cpu_milli + used.cpu_milli <= whole.cpu_milli)
            and (
                not self.memory_mib
                or self.memory_mib + used.memory_mib <= whole.memory_mib
            )
            and (
                not self.accelerators
                or self.accelerators + used.accelerators <= whole.accelerators
            )
        )

    def elementwise_max(self, other: Resources) -> Resources:
        """Return the maximum of both amounts for each resource."""
        return Resources(
            max(self.cpu_milli, other.cpu_milli),
            max(self.memory_mib, other.memory_mib),
            max(self.accelerators, other.accelerators),
        )
