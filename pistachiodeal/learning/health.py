"""Quarantines workers that fail tasks which succeed elsewhere, and probes them.

A worker that fails every task immediately looks idle and attracts more and more tasks
(a black hole). It is compared with other workers: a kind that fails everywhere is no
evidence against a worker.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

_FAILURES = 3
_PROBE_S = 30.0
_PROBE_MAX_S = 600.0
_WORKER_LIMIT = 5_000
_KIND_LIMIT = 5_000


@dataclass(slots=True)
class _Kind:
    """Up to two workers on which a kind of task last succeeded."""

    successes: list[str]

    def succeeded_elsewhere(self, worker: str) -> bool:
        """Tell whether another worker finished a task of this kind."""
        return any(name != worker for name in self.successes)


@dataclass(slots=True)
class _Worker:
    """A worker's failures since its last success, and its probes in quarantine."""

    blamed: int = 0
    quarantined: bool = False
    pause_s: float = _PROBE_S
    probe_at: float = 0.0


class WorkerHealth:
    """Decides which workers may be given tasks."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[str, _Kind] = OrderedDict()
        self._workers: OrderedDict[str, _Worker] = OrderedDict()

    def record(self, worker: str, kind: str, ok: bool, now: float) -> None:
        """Record how a task ended, unless it was stopped."""
        state = self._worker(worker)
        seen = self._kind(kind)
        if ok:
            if worker not in seen.successes:
                seen.successes = [*seen.successes[-1:], worker]
            self._workers.pop(worker, None)
            return
        if not seen.succeeded_elsewhere(worker):
            return
        state.blamed += 1
        if state.quarantined:
            state.pause_s = min(2 * state.pause_s, _PROBE_MAX_S)
            state.probe_at = now + state.pause_s
        elif state.blamed >= _FAILURES:
            state.quarantined = True
            state.probe_at = now + state.pause_s

    def usable(self, worker: str, now: float) -> bool:
        """Tell whether the worker may get a task now.

        For a quarantined worker, True grants a probe to a single task and the next one
        follows only after the pause, so call this just before placing.
        """
        state = self._workers.get(worker)
        if state is None or not state.quarantined:
            return True
        if now < state.probe_at:
            return False
        state.probe_at = now + state.pause_s
        return True

    def quarantined(self, now: float) -> tuple[str, ...]:
        """Return the workers in quarantine."""
        return tuple(sorted(w for w, s in self._workers.items() if s.quarantined))

    def _worker(self, name: str) -> _Worker:
        state = self._workers.setdefault(name, _Worker())
        self._workers.move_to_end(name)
        if len(self._workers) > _WORKER_LIMIT:
            self._workers.popitem(last=False)
        return state

    def _kind(self, name: str) -> _Kind:
        kind = self._kinds.setdefault(name, _Kind([]))
        self._kinds.move_to_end(name)
        if len(self._kinds) > _KIND_LIMIT:
            self._kinds.popitem(last=False)
        return kind


def create_worker_health() -> WorkerHealth:
    """Create a tracker in which every worker is usable."""
    return WorkerHealth()
