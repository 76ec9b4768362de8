"""Handles callers' requests: submit, query and cancel jobs, count pending jobs."""

from __future__ import annotations

import time

from pistachiodeal.config.deployment import LimitSettings
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import (
    JobWithdrawnError,
    Outcome,
    RequestError,
    StoreError,
)
from pistachiodeal.jobentry.acceptance import Acceptance
from pistachiodeal.jobentry.admission import AdmissionGate
from pistachiodeal.jobentry.cancelling import JobCanceller
from pistachiodeal.jobentry.configuration_copy import ConfigurationCopy
from pistachiodeal.jobentry.states import JobStates
from pistachiodeal.jobs.model import Queue
from pistachiodeal.jobs.rows import encode_job
from pistachiodeal.platform.callers import (
    build_pending_response,
    build_state_response,
    is_job_id,
    parse_job,
    read_budget_s,
    read_host,
)
from pistachiodeal.web.messages import WebRequest, WebResponse, build_json

RETRY_AFTER_S = 1.0


class CallerApi:
    """Handles callers' requests.

    They are decided by this process's copy of the configuration, of which a newer
    version may exist, see :attr:`ConfigurationCopy.age_s`. "Not found" is final for a
    caller, so only a copy that was confirmed recently says it. A copy that is older
    than even a disturbed store allows decides nothing.

    :param row_bytes: maximum size of a row in the store, bytes.
    :param admission: decides whether a job is accepted, None to accept every job.
    """

    def __init__(
        self,
        configuration: ConfigurationCopy,
        acceptance: Acceptance,
        states: JobStates,
        events: EventLog,
        *,
        row_bytes: int,
        limits: LimitSettings,
        admission: AdmissionGate | None = None,
    ) -> None:
        self._configuration = configuration
        self._acceptance = acceptance
        self._states = states
        self._canceller = JobCanceller(acceptance, states, events)
        self._row_bytes = row_bytes
        self._limits = limits
        self._admission = admission
        self._events = events
        self._stats = events.stats

    async def handle(self, request: WebRequest) -> WebResponse:
        """Handle one request and record its outcome."""
        began = time.monotonic()
        try:
            response = await self._route(request)
        except RequestError as error:
            self._events.emit(
                "request.failed",
                method=request.method,
                path=request.path,
                status=error.status,
                code=error.code,
                outcome=str(error.outcome),
                detail=error.detail,
                **self._describe_configuration(),
                took_ms=int((time.monotonic() - began) * 1000),
            )
            self._stats.count(f"request_{error.status}")
            raise
        self._stats.count(f"request_{response.status}")
        self._stats.time(f"request_{request.method.lower()}", time.monotonic() - began)
        return response

    async def _route(self, request: WebRequest) -> WebResponse:
        configuration = self._configuration.current
        if configuration is None:
            raise RequestError(
                "the configuration is not loaded yet",
                code="starting",
                status=503,
                retry_after=RETRY_AFTER_S,
                step="jobs.route",
            )
        age_s = self._configuration.age_s
        if age_s > self._limits.configuration_outage_s:
            raise _build_stale(configuration.version, age_s)
        queue = self._configuration.find(read_host(request), request.path)
        if queue is None and age_s > self._limits.configuration_s:
            raise _build_stale(configuration.version, age_s)
        if queue is None:
            raise RequestError(
                f"configuration version {configuration.version} has no such queue",
                code="unknown_queue",
                status=404,
                step="jobs.route",
            )
        job_id = request.path.removeprefix(queue.prefix)
        if request.method == "POST":
            return await self._submit(queue, job_id, request)
        if request.method == "DELETE":
            return await self._cancel(job_id, request)
        if request.method != "GET":
            raise RequestError(
                "use POST, GET or DELETE",
                code="method_not_allowed",
                status=405,
                step="jobs",
            )
        if not job_id:
            return build_pending_response(await self._states.count_pending(queue))
        return await self._answer_state(job_id)

    async def _answer_state(self, job_id: str) -> WebResponse:
        if not is_job_id(job_id):
            return self._build_unknown(job_id, "state")
        try:
            state = await self._states.find_state(job_id)
        except JobWithdrawnError:
            state = None
        if state is None:
            return self._build_unknown(job_id, "state")
        return build_state_response(state)

    async def _submit(
        self, queue: Queue, job_id: str, request: WebRequest
    ) -> WebResponse:
        job = parse_job(queue, job_id, request.body)
        value = encode_job(job)
        if len(value) > self._row_bytes:
            raise RequestError(
                f"the row of the job has more than {self._row_bytes} bytes",
                code="job_too_large",
                status=413,
                step="jobs",
            )
        began = time.monotonic()
        budget_s = read_budget_s(request)
        if self._admission is None:
            await self._acceptance.insert(job_id, value, budget_s)
        else:
            await self._admission.submit(job, value, budget_s)
        await self._states.announce(job_id)
        self._events.emit(
            "job.accepted",
            job=job_id,
            queue=queue.name,
            steps=[(step.count, step.size.cpu_milli, step.image) for step in job.steps],
            **self._describe_configuration(),
            took_ms=int((time.monotonic() - began) * 1000),
        )
        return build_json(200, {})

    async def _cancel(self, job_id: str, request: WebRequest) -> WebResponse:
        if not is_job_id(job_id):
            return self._build_unknown(job_id, "cancel")
        try:
            known = await self._canceller.cancel(job_id, read_budget_s(request))
        except StoreError as error:
            raise RequestError(
                str(error),
                code="store_unavailable",
                status=503,
                outcome=Outcome.NOT_RUN,
                retry_after=RETRY_AFTER_S,
                step="jobs.cancel",
            ) from None
        if not known:
            return self._build_unknown(job_id, "cancel")
        self._events.emit(
            "job.cancel_accepted", job=job_id, **self._describe_configuration()
        )
        return build_json(200, {})

    def _describe_configuration(self) -> dict[str, int]:
        """Return the log fields that tell by which configuration was decided."""
        return {
            "configuration": self._configuration.version,
            "configuration_age_ms": int(self._configuration.age_s * 1000),
        }

    def _build_unknown(self, job_id: str, asked: str) -> WebResponse:
        self._events.emit("job.unknown", job=job_id, asked=asked)
        return build_json(410, {})


def _build_stale(version: int, age_s: float) -> RequestError:
    return RequestError(
        f"configuration version {version} was confirmed {age_s:.1f} s ago; "
        "there may be a newer one",
        code="configuration_stale",
        status=503,
        retry_after=RETRY_AFTER_S,
        step="jobs.route",
    )
