"""A successor loads what its predecessor has learned about interference."""

from __future__ import annotations

import curio
import pytest

from pistachiodeal.exceptions import FencedError, ProtocolError
from pistachiodeal.leader.commits import (
    CONTROL_TABLE,
    LEADER_KEY,
    FencedWriter,
    LeaderTerm,
)
from pistachiodeal.leader.learned_state import (
    LEARNED_STATE_KEY,
    SAVE_INTERVAL_S,
    LearnedState,
    LearnedStatePersister,
    decode_learned_state,
    encode_learned_state,
)
from pistachiodeal.scheduling.durations import DurationFit, DurationModel
from pistachiodeal.scheduling.interference import (
    DEFAULT_INTERFERENCE,
    InterferenceModel,
    PairEstimate,
)
from pistachiodeal.store.row_store import RowWrite, Transaction
from tests.standins.job_cluster import create_quiet_log
from tests.standins.rows import MemoryRows, RowsState

SLOW_PAIR = PairEstimate("harsh", "s", 1.4, 0.05)


async def start_term(store: MemoryRows, epoch: int) -> FencedWriter:
    """Write the leader's row for a new epoch; return the writer of that leader."""
    write = RowWrite(CONTROL_TABLE, LEADER_KEY, str(epoch).encode())
    result = await store.commit(Transaction((), (write,)))
    return FencedWriter(
        store, LeaderTerm(epoch, result.version, 0.0, 0.0), create_quiet_log()
    )


async def lead_for(store: MemoryRows, epoch: int, model: InterferenceModel) -> None:
    """Persist the state of one leader for slightly longer than one save interval."""
    writer = await start_term(store, epoch)
    persister = LearnedStatePersister(
        store, writer, model, DurationModel(), create_quiet_log()
    )
    await curio.ignore_after(SAVE_INTERVAL_S + 0.3, persister.run)


def test_a_successor_loads_the_learned_state():
    """Guards against serving tasks over their target after each change of the leader.

    A leader learns that a pair of images interferes and is replaced, but what it
    learned was only in its memory.
    """
    store = MemoryRows(RowsState())
    first, second = InterferenceModel(), InterferenceModel()
    first.adopt([SLOW_PAIR])

    async def main() -> None:
        await lead_for(store, 1, first)
        await lead_for(store, 2, second)

    curio.run(main)
    assert second.get_interference("harsh", "s") == pytest.approx(1.4)
    assert second.get_interference("harsh", "other") == DEFAULT_INTERFERENCE


def test_a_replaced_leader_saves_no_learned_state():
    store = MemoryRows(RowsState())
    model = InterferenceModel()
    model.adopt([SLOW_PAIR])

    async def main() -> None:
        writer = await start_term(store, 1)
        await start_term(store, 2)
        persister = LearnedStatePersister(
            store, writer, model, DurationModel(), create_quiet_log()
        )
        with pytest.raises(FencedError):
            await curio.timeout_after(SAVE_INTERVAL_S + 1.0, persister.run)
        page = await store.read(
            CONTROL_TABLE, LEARNED_STATE_KEY, LEARNED_STATE_KEY + "\0", 1
        )
        assert not page.rows

    curio.run(main)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{}x",
        b"[[1]]",
        b'{"pairs":[["f","s","x",0.1]],"durations":{}}',
        b'{"pairs":[],"durations":{"q":[1]}}',
        b'{"pairs":[],"durations":{"q":["x",1,1,1,1]}}',
    ],
)
def test_a_malformed_learned_state_is_refused(value):
    with pytest.raises(ProtocolError):
        decode_learned_state(value)


def test_own_observations_take_precedence_over_loaded_ones():
    model = InterferenceModel()
    model.adopt([SLOW_PAIR])
    model.adopt([PairEstimate("harsh", "s", 0.1, 0.05)])
    assert model.get_interference("harsh", "s") == pytest.approx(1.4)


def test_the_learned_state_survives_encoding():
    fit = DurationFit(3.0, 1.5, -0.5, 2.0, -0.25)
    learned = LearnedState([SLOW_PAIR], {"queue": fit})
    assert decode_learned_state(encode_learned_state(learned)) == learned
