"""Counts how many concurrent changes are refused, by what their version is compared to.

``pytest tests/unit/test_profiles_race.py -s`` prints the figures that are quoted in
docs/design/ecros.md. The changes are drawn from a fixed seed; nothing is timed.
"""

import random
from dataclasses import dataclass, field

import curio
import pytest

from pistachiodeal.exceptions import RequestError
from pistachiodeal.model.policies import Profile
from pistachiodeal.profiles.changes import (
    AssignService,
    Change,
    Precondition,
    PutProfile,
    RetireProfile,
    build_mismatch,
)
from pistachiodeal.profiles.document import ProfileDocument
from pistachiodeal.profiles.store import ProfileStore, create_profile_store
from tests.unit.fake_table import FakeTable

ROUNDS = 500


@dataclass
class WholeDocument:
    """The baseline: a change is refused if anything in the document has changed."""

    change: Change
    seen: int

    def apply(self, document: ProfileDocument, raced: bool) -> ProfileDocument:
        if document.version != self.seen:
            raise build_mismatch(document.version)
        return self.change.apply(document, raced)


@dataclass
class Tally:
    changes: int = 0
    lost: dict[str, int] = field(default_factory=dict)


def draw_change(rng: random.Random, document: ProfileDocument, items: int) -> Change:
    """Draw a change that would be accepted without concurrent changes."""
    name = f"p{rng.randrange(items)}"
    service = f"s{rng.randrange(items)}"
    item = document.profiles.get(name)
    seen = Precondition(versions=(item.version,)) if item else Precondition(absent=True)
    if item and not document.services_using(name) and rng.random() < 0.5:
        return RetireProfile(name, seen)
    if item and rng.random() < 0.5:
        held = document.services.get(service)
        versions = (held.version,) if held else None
        precondition = Precondition(absent=held is None, versions=versions)
        return AssignService(service, name, precondition)
    return PutProfile(Profile(name=name, promised_ms=rng.randrange(1, 999)), seen)


async def try_change(store: ProfileStore, change: Change, tally: Tally) -> None:
    tally.changes += 1
    try:
        await store.change(change)
    except RequestError as error:
        tally.lost[error.code] = tally.lost.get(error.code, 0) + 1


async def race(items: int, whole: bool) -> Tally:
    rng = random.Random(items)
    tally = Tally()
    store = create_profile_store(FakeTable(), pause_s=0)
    for number in range(items):
        await store.change(PutProfile(Profile(name=f"p{number}")))
    for _ in range(ROUNDS):
        document = (await store.read()).document
        tasks = []
        for _ in range(2):
            change = draw_change(rng, document, items)
            if whole:
                change = WholeDocument(change, document.version)
            tasks.append(await curio.spawn(try_change, store, change, tally))
        for task in tasks:
            await task.join()
    return tally


@pytest.mark.parametrize("items", [4, 20, 100])
def test_changes_of_other_items_do_not_lose(items):
    whole = curio.run(race, items, True)
    each = curio.run(race, items, False)
    for name, tally in (("whole document", whole), ("each item", each)):
        lost = sum(tally.lost.values())
        print(
            f"{items:4} items, {name:14}: {lost:4} of {tally.changes} lost", tally.lost
        )
    # Compared with the whole document, one of the two changes always loses.
    assert sum(whole.lost.values()) == ROUNDS
    assert sum(each.lost.values()) * items < 2 * 2 * ROUNDS
