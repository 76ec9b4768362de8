"""Dependencies that all partitions of an entry share."""

from __future__ import annotations

from dataclasses import dataclass

from pistachiodeal.batch.membership import Membership
from pistachiodeal.batch.protocols import ProfileLookup, ProfileRefresh
from pistachiodeal.batch.workers import WorkerTable
from pistachiodeal.clock import Clock
from pistachiodeal.config.entry import EntrySettings
from pistachiodeal.histograms import Histograms
from pistachiodeal.learning.health import WorkerHealth
from pistachiodeal.learning.sizes import SizeModel
from pistachiodeal.metrics import Metrics
from pistachiodeal.model.policies import Profile
from pistachiodeal.store.protocols import ObjectStore, Table

DEFAULT_PROFILE = Profile(name="default", latency_critical=False)


@dataclass(frozen=True, slots=True)
class BatchContext:
    """The components of an entry that every partition server uses."""

    settings: EntrySettings
    table: Table
    objects: ObjectStore
    membership: Membership
    workers: WorkerTable
    sizes: SizeModel
    health: WorkerHealth
    profile_of: ProfileLookup
    refresh_profiles: ProfileRefresh
    metrics: Metrics
    histograms: Histograms
    clock: Clock

    def find_profile(self, name: str) -> Profile:
        """Return a profile, or the default profile if it has been removed."""
        return self.profile_of(name) or DEFAULT_PROFILE
