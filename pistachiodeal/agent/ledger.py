"""The ledger of a worker's reserved resources."""

from __future__ import annotations

from pistachiodeal.model.resources import Resources

NOTHING = Resources()


class Ledger:
    """Reservations by name against a worker's capacity.

    No method awaits. A caller must reserve before its first await: two callers
    that check, await and then reserve would both find the same resources free.
    """

    def __init__(self, capacity: Resources) -> None:
        self._capacity = capacity
        self._free = capacity
        self._sizes: dict[str, Resources] = {}

    @property
    def capacity(self) -> Resources:
        """Return the worker's total capacity."""
        return self._capacity

    @property
    def free(self) -> Resources:
        """Return the unreserved resources; a field is negative if overcommitted."""
        return self._free

    def holds(self, name: str) -> bool:
        """Return whether there is a reservation of this name."""
        return name in self._sizes

    def reserve(self, name: str, size: Resources) -> bool:
        """Reserve ``size``; return False and change nothing if it does not fit.

        An existing reservation of that name is resized if the difference fits.
        """
        if not _is_amount(size):
            return False
        reserved = self._sizes.get(name, NOTHING)
        shrinks = name in self._sizes and size.fits(reserved)
        room = self._free + reserved
        if not shrinks and not (_is_amount(room) and size.fits(room)):
            return False
        self._set(name, size)
        return True

    def reserve_unchecked(self, name: str, size: Resources) -> None:
        """Reserve resources that are already in use, even if they do not fit.

        An existing reservation is only enlarged. If a field of ``free`` becomes
        negative, nothing more is accepted until enough reservations are released.
        """
        self._set(name, size.elementwise_max(self._sizes.get(name, NOTHING)))

    def release(self, name: str) -> None:
        """Release a reservation if it exists."""
        size = self._sizes.pop(name, None)
        if size is not None:
            self._free = self._free + size

    def _set(self, name: str, size: Resources) -> None:
        self.release(name)
        self._sizes[name] = size
        self._free = self._free - size


def create_ledger(capacity: Resources) -> Ledger:
    """Create a ledger without reservations."""
    return Ledger(capacity)


def _is_amount(size: Resources) -> bool:
    return NOTHING.fits(size)
