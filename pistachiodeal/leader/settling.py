"""When a new leader knows enough workers to decide."""

from __future__ import annotations

from pistachiodeal.leader.workers import Fleet

# Decisions made before most agents are there would crowd the first workers. So a new
# leader waits until all workers that have runs are listed, or no further one has come
# for a moment, and no longer than this: it is what agents take to attach after
# everything was down.
SETTLE_S = 0.6
QUIET_S = 0.15


class Settling:
    """Watches workers come until a new leader may decide."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._awaited: set[str] = set()
        self._began_at = 0.0
        self._listed = 0
        self._listed_at = 0.0
        self._done = False

    @property
    def done(self) -> bool:
        """Tell whether enough workers were known when last asked."""
        return self._done

    def begin(self, awaited: set[str], now: float) -> None:
        """Wait from now on.

        :param awaited: nodes that have runs by the rows.
        :param now: seconds of the boot clock.
        """
        self._awaited, self._began_at = awaited, now

    def is_done(self, now: float) -> bool:
        """Tell whether enough workers are known for decisions."""
        if not self._done:
            waited = now - self._began_at > SETTLE_S
            quiet = self._have_all_come(now)
            self._done = waited or quiet or self._are_awaited_listed()
        return self._done

    def _have_all_come(self, now: float) -> bool:
        """Tell whether workers are listed, and no further one for a moment."""
        listed = sum(worker.schedulable for worker in self._fleet.workers.values())
        if listed != self._listed:
            self._listed, self._listed_at = listed, now
        return listed > 0 and now - self._listed_at > QUIET_S

    def _are_awaited_listed(self) -> bool:
        if not self._awaited:
            return False
        workers = [self._fleet.workers.get(node) for node in self._awaited]
        return all(
            worker is not None and worker.listed and worker.attachment is not None
            for worker in workers
        )
