"""The profile and the retry budget of each service."""

from __future__ import annotations

from collections.abc import Callable

from pistachiodeal.entry.targets import TargetTable
from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.model.policies import Profile
from pistachiodeal.profiles.manager import ProfileManager
from pistachiodeal.routing.budget import RetryBudget, create_retry_budget

UNASSIGNED = Profile(name="unassigned")
STEP = "entry.route"
NO_RUNNER_RETRY_S = 1.0
BUDGET_LIMIT = 10_000


class ServiceTable:
    """Looks up services that have a profile or an announced runner."""

    def __init__(
        self, profiles: ProfileManager, targets: TargetTable, clock: Callable[[], float]
    ) -> None:
        self._profiles = profiles
        self._targets = targets
        self._clock = clock
        self._budgets: dict[str, RetryBudget] = {}

    def find_profile(self, service: str) -> Profile:
        """Return the current profile of a service.

        :raises RequestError: 404, or 503 while no profiles are loaded.
        """
        policy = self._profiles.policy(service)
        if policy is not None and policy.profile is not None:
            return policy.profile
        if self._targets.find(service):
            return UNASSIGNED
        if self._profiles.version == 0 and self._profiles.failing:
            # The entry started during a store outage, and no agent has reported
            # yet: a 404 would make callers drop work for an existing service.
            raise self.build_no_runner(service)
        raise RequestError(
            f"no service {service[:80]!r}",
            code="unknown_service",
            status=404,
            step=STEP,
        )

    def find_budget(self, service: str, profile: Profile) -> RetryBudget:
        """Return a service's retry budget with the share of its profile."""
        budget = self._budgets.get(service)
        if budget is None:
            if len(self._budgets) >= BUDGET_LIMIT:
                self._budgets.clear()
            budget = create_retry_budget(profile.retry_share, self._clock)
            self._budgets[service] = budget
        elif budget.share != profile.retry_share:
            budget.share = profile.retry_share
        return budget

    def build_no_runner(self, service: str) -> RequestError:
        """Return the error for a service without a runner."""
        return RequestError(
            f"no runner of {service[:80]!r} is announced",
            code="no_runner",
            status=503,
            outcome=Outcome.NOT_RUN,
            retry_after=NO_RUNNER_RETRY_S,
            step=STEP,
        )
