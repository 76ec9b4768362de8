"""Determines when a new leader knows enough workers to start planning."""

from __future__ import annotations

from pistachiodeal.leader.workers import Fleet

# Decisions made before most agents are attached would overload the first workers. So a
# new leader waits until all workers that have runs are listed, or no further worker was
# listed for NO_NEW_WORKER_S. It waits at most for MAX_WAIT_S, the time that agents need
# to attach after a complete restart.
MAX_WAIT_S = 0.6
NO_NEW_WORKER_S = 0.15


class StartupWait:
    """Observes the workers until a new leader may start planning."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._awaited: set[str] = set()
        self._began_at = 0.0
        self._listed = 0
        self._listed_at = 0.0
        self._done = False

    @property
    def done(self) -> bool:
        """Tell whether the wait had ended at the last call of :meth:`is_done`."""
        return self._done

    def begin(self, awaited: set[str], now: float) -> None:
        """Start waiting.

        :param awaited: nodes that have runs according to the stored rows.
        :param now: boot clock, seconds.
        """
        self._awaited, self._began_at = awaited, now

    def is_done(self, now: float) -> bool:
        """Tell whether enough workers are known to start planning."""
        if not self._done:
            timed_out = now - self._began_at > MAX_WAIT_S
            no_new_worker = self._have_workers_stopped_arriving(now)
            self._done = (
                timed_out or no_new_worker or self._are_awaited_workers_listed()
            )
        return self._done

    def _have_workers_stopped_arriving(self, now: float) -> bool:
        """Tell whether workers are listed, and none was added for a while."""
        listed = sum(worker.schedulable for worker in self._fleet.workers.values())
        if listed != self._listed:
            self._listed, self._listed_at = listed, now
        return listed > 0 and now - self._listed_at > NO_NEW_WORKER_S

    def _are_awaited_workers_listed(self) -> bool:
        if not self._awaited:
            return False
        workers = [self._fleet.workers.get(node) for node in self._awaited]
        return all(
            worker is not None and worker.listed and worker.attachment is not None
            for worker in workers
        )
