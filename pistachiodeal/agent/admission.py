"""Admission control: whether a request is accepted, and when to retry if not."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from pistachiodeal.agent.queueing import PendingRequest, ServiceQueue
from pistachiodeal.agent.runners import RunnerTable
from pistachiodeal.metrics import Metrics
from pistachiodeal.model.policies import Profile, ServicePolicy
from pistachiodeal.wire.messages import Refusal, ServiceLoad

MIN_RETRY_AFTER_S = 0.05
NO_RUNNER_RETRY_S = 1.0
DEFAULT_PROFILE = Profile(name="default")


class PolicySource(Protocol):
    """Looks up the policies of services."""

    def policy(self, service: str) -> ServicePolicy | None:
        """Return the policy in force, None if it is unknown."""


class RequestAdmission:
    """Admits requests by the runners' free slots and the length of the queue."""

    def __init__(
        self,
        runners: RunnerTable,
        policies: PolicySource,
        metrics: Metrics,
        window_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.draining = False
        self._runners = runners
        self._policies = policies
        self._metrics = metrics
        self._window_s = window_s
        self._clock = clock
        self._queues: dict[str, ServiceQueue] = {}

    @property
    def queues(self) -> dict[str, ServiceQueue]:
        """Return the queues by service, of services that have or just had runners."""
        return self._queues

    def get_queue(self, service: str) -> ServiceQueue:
        """Return the queue of a service, creating it if there is none."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ServiceQueue(self._window_s, self._clock)
        return queue

    def get_profile(self, service: str) -> Profile:
        """Return the service's profile, the default one if it is unknown."""
        policy = self._policies.policy(service)
        return (policy and policy.profile) or DEFAULT_PROFILE

    def count_slots(self, service: str) -> int:
        """Return the total number of slots of the service's usable runners."""
        runners = self._runners.list_runners(service)
        return sum(runner.announcement.slots for runner in runners if runner.usable)

    def find_refusal(self, pending: PendingRequest) -> Refusal | None:
        """Return a refusal if the request cannot be accepted, otherwise None."""
        code = self._find_refusal_code(pending)
        return self.build_refusal(pending, code) if code else None

    def build_refusal(self, pending: PendingRequest, code: str) -> Refusal:
        """Return a refusal that says after what time a retry makes sense."""
        self._metrics.count(f"agent.refusals.{code}")
        service = pending.request.service
        return Refusal(
            pending.request.request_id,
            code,
            f"handed to no runner of {service}",
            round(self._estimate_retry(service, code) * 1000),
        )

    def build_load(self, service: str) -> ServiceLoad:
        """Return the slots, queue length and mean latency of one service."""
        runners = self._runners.list_runners(service)
        queue = self._queues.get(service)
        mean = queue.service_time.mean if queue is not None else 0.0
        return ServiceLoad(
            service=service,
            slots=self.count_slots(service),
            busy=sum(runner.busy for runner in runners),
            queued=len(queue) if queue is not None else 0,
            latency_us=round(mean * 1_000_000),
        )

    def _find_refusal_code(self, pending: PendingRequest) -> str:
        """Return the code of a refusal, empty if the request can be accepted."""
        if self.draining:
            return "draining"
        service = pending.request.service
        runners = self._runners.list_runners(service)
        if not any(runner.usable for runner in runners):
            return "no_runner"
        if any(runner.has_room for runner in runners):
            return ""
        queue = self.get_queue(service)
        if len(queue) >= self.get_profile(service).queue_limit * len(runners):
            return "queue_full"
        ahead = queue.count_ahead(pending)
        wait = queue.estimate_wait(ahead, self.count_slots(service))
        return "no_slot_in_time" if self._clock() + wait > pending.refuse_at else ""

    def _estimate_retry(self, service: str, code: str) -> float:
        if code in ("draining", "no_runner"):
            return NO_RUNNER_RETRY_S
        queue = self.get_queue(service)
        wait = queue.estimate_wait(len(queue), self.count_slots(service))
        return max(wait, MIN_RETRY_AFTER_S)
