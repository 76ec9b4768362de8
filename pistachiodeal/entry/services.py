"""What an entry keeps for each service: its profile in force and retry budget."""

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
    """Looks up services; one is known when assigned a profile, or announced."""

    def __init__(
        self, keeper: ProfileManager, targets: TargetTable, clock: Callable[[], float]
    ) -> None:
        self._keeper = keeper
        self._targets = targets
        self._clock = clock
        self._budgets: dict[str, RetryBudget] = {}

    def find_profile(self, service: str) -> Profile:
        """Return the profile in force for a service.

        :raises RequestError: 404, or 503 while this entry can't know yet.
        """
        policy = self._keeper.policy(service)
        if policy is not None and policy.profile is not None:
            return policy.profile
        if self._targets.find(service):
            return UNASSIGNED
        if self._keeper.version == 0 and self._keeper.failing:
            # Started in a store outage and not yet told by an agent: a 404 would
            # make callers drop work for a service that exists.
            raise self.build_no_runner(service)
        raise RequestError(
            f"no service {service[:80]!r}",
            code="unknown_service",
            status=404,
            step=STEP,
        )

    def find_budget(self, service: str, profile: Profile) -> RetryBudget:
        """Return a known service's retry budget, at its profile's share."""
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
