"""The ledger of what a worker has given away."""

from __future__ import annotations

from pistachiodeal.model.resources import Resources

NOTHING = Resources()


class Ledger:
    """Reservations by name against a worker's capacity.

    No method awaits. A caller reserves before its first await, because two
    that check first and write after an await both find the same room free.
    """

    def __init__(self, capacity: Resources) -> None:
        self._capacity = capacity
        self._free = capacity
        self._sizes: dict[str, Resources] = {}

    @property
    def capacity(self) -> Resources:
        """Return what the worker has in all."""
        return self._capacity

    @property
    def free(self) -> Resources:
        """Return what is left; a field is negative when too much was found running."""
        return self._free

    def holds(self, name: str) -> bool:
        """Tell whether there is a reservation of this name."""
        return name in self._sizes

    def reserve(self, name: str, size: Resources) -> bool:
        """Reserve ``size``, or return False and leave everything as it was.

        A name that is held already is resized if there is room for the rest.
        """
        if not _is_amount(size):
            return False
        held = self._sizes.get(name, NOTHING)
        shrinks = name in self._sizes and size.fits(held)
        room = self._free + held
        if not shrinks and not (_is_amount(room) and size.fits(room)):
            return False
        self._set(name, size)
        return True

    def adopt(self, name: str, size: Resources) -> None:
        """Count what runs already, room or not.

        A reservation is only enlarged by this. When it takes a field of
        ``free`` below zero nothing more is accepted until enough has ended.
        """
        self._set(name, size.elementwise_max(self._sizes.get(name, NOTHING)))

    def release(self, name: str) -> None:
        """Give a reservation back, if there is one."""
        size = self._sizes.pop(name, None)
        if size is not None:
            self._free = self._free + size

    def _set(self, name: str, size: Resources) -> None:
        self.release(name)
        self._sizes[name] = size
        self._free = self._free - size


def create_ledger(capacity: Resources) -> Ledger:
    """Make a ledger in which nothing is reserved."""
    return Ledger(capacity)


def _is_amount(size: Resources) -> bool:
    return NOTHING.fits(size)
