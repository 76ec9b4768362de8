"""Operators race over a table that loses and delays answers."""

import curio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.model.policies import Profile
from pistachiodeal.profiles.cache import create_policy_cache
from pistachiodeal.profiles.changes import (
    AssignService,
    Precondition,
    PutProfile,
    RemoveService,
    RetireProfile,
)
from pistachiodeal.profiles.document import decode_document
from pistachiodeal.profiles.manager import create_profile_manager
from pistachiodeal.profiles.store import DOCUMENT_KEY, create_profile_store
from tests.unit.fake_table import FakeTable, Fault

NAMES = st.sampled_from(["p", "q"])
SERVICES = st.sampled_from(["s", "t"])
KINDS = st.sampled_from(["put", "put", "retire", "assign", "assign", "remove"])
CHANGES = st.lists(st.tuples(KINDS, NAMES, SERVICES), min_size=1, max_size=3)
FAULTS = st.sampled_from([fault for fault in Fault if fault is not Fault.HANGING])


class Profiles(RuleBasedStateMachine):
    """Versions never go back; an accepted change is in, a refused one is not."""

    def __init__(self) -> None:
        super().__init__()
        self.table = FakeTable()
        self.keepers = [create_profile_manager(self.table, 1.0) for _ in range(2)]
        self.agent = create_policy_cache()
        self.told = []  # parts that were sent at some time, which may come late
        self.highest = [{}, {}, {}]
        self.accepted = {}  # document version -> value that it brought
        self.not_run = set()
        self.count = 0

    def build_change(self, kind, name, service):
        self.count += 1
        document = self.keepers[0].document
        seen = document.profiles.get(name)
        if kind == "put":
            known = (seen.version,) if seen else None
            profile = Profile(name=name, promised_ms=self.count)
            return PutProfile(profile, Precondition(versions=known)), self.count
        if kind == "retire":
            precondition = Precondition(versions=(seen.version if seen else 1,))
            return RetireProfile(name, precondition), None
        if kind == "assign":
            return AssignService(service, name), (service, name)
        return RemoveService(service), None

    async def change(self, change, value):
        clock = iter(range(1_000)).__next__
        store = create_profile_store(self.table, pause_s=0, change_s=12, clock=clock)
        try:
            accepted = await store.change(change)
        except RequestError as error:
            if error.outcome is Outcome.NOT_RUN and isinstance(value, int):
                self.not_run.add(value)
            return
        assert accepted.version not in self.accepted
        self.accepted[accepted.version] = value
        self.keepers[0].apply_document(accepted.document)

    @rule(changes=CHANGES, faults=st.lists(FAULTS, max_size=6))
    def change_at_once(self, changes, faults):
        async def main():
            self.table.faults.extend(faults)
            built = [self.build_change(*one) for one in changes]
            tasks = [await curio.spawn(self.change, *one) for one in built]
            for task in tasks:
                await task.join()
            self.table.faults.clear()

        curio.run(main)

    @rule()
    def land_delayed(self):
        self.table.land_delayed()

    @rule(which=st.integers(0, 1))
    def poll(self, which):
        curio.run(self.keepers[which].refresh)

    @rule(which=st.integers(0, 1))
    def restart(self, which):
        self.keepers[which] = create_profile_manager(self.table, 1.0)
        self.highest[which] = {}

    @rule(which=st.integers(0, 1))
    def push_to_agent(self, which):
        self.told.append(self.keepers[which].parts(["s", "t"]))
        self.agent.merge(self.told[-1])

    @rule(which=st.integers(0, 1), data=st.data())
    def hear_late(self, which, data):
        """Some peer tells what was in force at some time."""
        if self.told:
            parts = data.draw(st.sampled_from(self.told))
            self.keepers[which].merge(parts)
            self.agent.merge(parts)

    @invariant()
    def versions_never_go_back(self):
        caches = [*(keeper._cache for keeper in self.keepers), self.agent]
        for cache, highest in zip(caches, self.highest, strict=True):
            for service in ("s", "t"):
                assert cache.version(service) >= highest.get(service, 0)
                highest[service] = cache.version(service)

    @invariant()
    def table_tells_the_same(self):
        rows = [row for row in self.table.log if row.key == DOCUMENT_KEY]
        documents = [decode_document(row.value) for row in rows]
        assert [one.version for one in documents] == list(range(1, len(rows) + 1))
        brought = set()
        for document in documents:
            for item in document.profiles.values():
                brought.add(item.settings["promised_ms"])
            for item in document.services.values():
                assert item.profile in document.profiles
        assert not brought & self.not_run
        for version, value in self.accepted.items():
            document = documents[version - 1]
            if isinstance(value, int):
                items = document.profiles.values()
                found = {one.settings["promised_ms"]: one.version for one in items}
                assert found[value] == version
            elif value is not None:
                item = document.services[value[0]]
                assert (item.version, item.profile) == (version, value[1])

    def teardown(self):
        self.table.land_delayed()
        for keeper in self.keepers:
            curio.run(keeper.refresh)
            document = keeper.document
            for service in ("s", "t"):
                held = keeper.policy(service)
                wanted = document.services.get(service)
                assert (held is None) == (wanted is None)
                if held is not None:
                    assert held == document.build_policy(service)


TestProfiles = Profiles.TestCase
TestProfiles.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=20
)
