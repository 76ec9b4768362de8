"""Answers queries of jobs and queues, from the leader or else from the store."""

from __future__ import annotations

import curio
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.exceptions import (
    JobWithdrawnError,
    LinkClosedError,
    RequestError,
    StoreError,
)
from pistachiodeal.jobentry.peer_server import PeerServer
from pistachiodeal.jobs.model import JobState, Queue
from pistachiodeal.jobs.progress import read_state
from pistachiodeal.jobs.rows import PROGRESS_TABLE, build_cancel_key
from pistachiodeal.jobs.tables import read_submission
from pistachiodeal.jobs.tombstones import is_tombstone
from pistachiodeal.leader.election import Election
from pistachiodeal.store.row_store import RowStore, read_row
from pistachiodeal.wire.job_messages import JobAnswer, JobNotice, JobQuery

log = Logger("states")

# The leader answers from memory within a few ms; after this time-out the store is read.
QUERY_TIMEOUT_S = 0.4
# A count may be up to two seconds old.
COUNT_MAX_AGE_S = 1.5
RETRY_AFTER_S = 1.0


class JobStates:
    """Finds the states of jobs and the numbers of pending jobs of queues."""

    def __init__(
        self, store: RowStore, peer_server: PeerServer, election: Election
    ) -> None:
        self._store = store
        self._peer_server = peer_server
        self._election = election
        self._waiting: dict[int, curio.Queue] = {}
        self._request_id = 0
        self._counts: dict[str, tuple[float, int]] = {}

    async def handle_answer(self, answer: JobAnswer) -> None:
        """Pass the leader's answer to the query that waits for it."""
        waiting = self._waiting.get(answer.request_id)
        if waiting is not None:
            await waiting.put(answer)

    async def announce(self, key: str) -> None:
        """Notify the leader of a durable row before the change feed does."""
        leadership = self._peer_server.leadership
        if leadership is not None:
            leadership.announce(key)
            return
        link = self._election.link
        if link is None:
            return
        try:
            await link.send(JobNotice(key))
        except LinkClosedError as error:
            log.debug("states: cannot announce {}: {}", key, error)

    async def find_state(self, job_id: str) -> JobState | None:
        """Return a job's state, or None if the job certainly doesn't exist.

        None describes the moment of the read: a submission without an answer may still
        be stored, and a query doesn't prevent it.

        :raises JobWithdrawnError: it was cancelled before it was stored.
        :raises RequestError: neither the leader nor the store answers.
        """
        leadership = self._peer_server.leadership
        state = leadership.find_state(job_id) if leadership else None
        if state is not None:
            return state
        if leadership is None:
            answer = await self._ask(job_id, "")
            if answer is not None and answer.state:
                return JobState(answer.state)
        return await self._read_state(job_id)

    async def exists(self, job_id: str) -> bool:
        """Return whether the store has the job's submission.

        :raises StoreError: the store doesn't answer.
        """
        page = await read_submission(self._store, job_id)
        return any(
            row.key == job_id and not is_tombstone(row.value) for row in page.rows
        )

    async def count_pending(self, queue: Queue) -> int:
        """Return the number of jobs of a queue of which no task has started.

        :raises RequestError: the leader doesn't answer and the last count is too old.
        """
        leadership = self._peer_server.leadership
        if leadership is not None and leadership.loaded:
            return leadership.registry.count_pending(queue.name)
        now = read_boot_clock()
        answer = await self._ask("", queue.name)
        if answer is not None:
            self._counts[queue.name] = (now, answer.pending)
            return answer.pending
        counted_at, count = self._counts.get(queue.name, (0.0, 0))
        if now - counted_at < COUNT_MAX_AGE_S:
            return count
        raise _build_refusal("the leader does not answer")

    async def _ask(self, job_id: str, queue: str) -> JobAnswer | None:
        link = self._election.link
        if link is None:
            return None
        self._request_id += 1
        request_id = self._request_id
        waiting: curio.Queue = curio.Queue()
        self._waiting[request_id] = waiting
        try:
            await link.send(JobQuery(request_id, job_id, queue))
            answer: JobAnswer | None = await curio.ignore_after(
                QUERY_TIMEOUT_S, waiting.get
            )
            return answer
        except LinkClosedError:
            return None
        finally:
            del self._waiting[request_id]

    async def _read_state(self, job_id: str) -> JobState | None:
        try:
            page = await read_submission(self._store, job_id)
            values = {row.key: row.value for row in page.rows}
            if job_id not in values:
                return None
            if is_tombstone(values[job_id]):
                raise JobWithdrawnError(job_id, step="jobs.state")
            progress = await read_row(self._store, PROGRESS_TABLE, job_id)
        except StoreError as error:
            raise _build_refusal(str(error)) from None
        state = JobState.QUEUED
        if progress.rows:
            state = read_state(progress.rows[0].value)
        if build_cancel_key(job_id) in values and not state.final:
            return JobState.CANCELLED
        return state


def _build_refusal(detail: str) -> RequestError:
    return RequestError(
        detail,
        code="state_unknown",
        status=503,
        retry_after=RETRY_AFTER_S,
        step="jobs.state",
    )
