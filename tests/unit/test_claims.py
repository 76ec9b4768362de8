"""Claims on idempotency keys."""

from contextlib import asynccontextmanager

import curio
import pytest

from pistachiodeal.claims.manager import Claimed, Replayed, create_claim_manager
from pistachiodeal.claims.rows import REPLAY_BODY_BYTES
from pistachiodeal.exceptions import Outcome, RequestError
from pistachiodeal.web.messages import WebResponse
from tests.unit.fake_table import FakeTable, Fault

ANSWER = WebResponse(201, (("x", "1"),), b"entered")


@asynccontextmanager
async def run_manager(table, node="e1", **options):
    manager = create_claim_manager(
        table, node=node, group_s=0, group_rows=10, pause_s=0, **options
    )
    runner = await curio.spawn(manager.run)
    try:
        yield manager
    finally:
        await runner.cancel()


async def claim(manager, key="k", fingerprint="f", timeout=5.0):
    return await manager.claim("orders", key, fingerprint, timeout)


async def fail_claim(manager, **options) -> RequestError:
    with pytest.raises(RequestError) as caught:
        await claim(manager, **options)
    return caught.value


async def finish(manager, held, response=ANSWER):
    await manager.record(held, response)
    assert await manager.flush(5.0)


def test_repeat_gets_the_recorded_answer_at_every_entry():
    async def main():
        table = FakeTable()
        async with run_manager(table) as one, run_manager(table, "e2") as two:
            held = await claim(one)
            assert isinstance(held, Claimed)
            assert (await fail_claim(one)).code == "in_progress"
            other = await fail_claim(two)
            assert (other.code, other.status, other.outcome, other.retry_after) == (
                "in_progress",
                409,
                Outcome.UNKNOWN,
                1.0,
            )
            await finish(one, held)
            for manager in (one, two):
                again = await claim(manager)
                assert isinstance(again, Replayed)
                assert again.response.status == ANSWER.status
                assert again.response.body == ANSWER.body
                assert (await fail_claim(manager, fingerprint="g")).code == "key_reused"
            assert one.open == two.open == 0

    curio.run(main)


@pytest.mark.parametrize("fault", [Fault.LOST, Fault.DROPPED, Fault.DELAYED])
def test_one_of_two_entries_wins_a_key(fault):
    """Guards against running a request twice.

    One key arrives through two entries at once, and the store's answer to one of
    their commits is lost. Both entries could then believe they hold the claim.
    """

    async def main():
        table = FakeTable()
        table.faults.append(fault)
        async with run_manager(table) as one, run_manager(table, "e2") as two:
            tasks = [await curio.spawn(claim, manager) for manager in (one, two)]
            for task in tasks:
                await task.wait()
            table.land_delayed()
            assert sorted(task.exception is None for task in tasks) == [False, True]

    curio.run(main)


def test_released_key_may_be_claimed_again():
    async def main():
        table = FakeTable()
        async with run_manager(table) as one, run_manager(table, "e2") as two:
            await one.release(await claim(one))
            assert await one.flush(5.0)
            held = await claim(two)
            assert isinstance(held, Claimed)
            await finish(two, held)
            assert isinstance(await claim(one), Replayed)

    curio.run(main)


@pytest.mark.parametrize("landing", ["before", "after"])
def test_unconfirmed_claim_does_not_run_and_the_key_is_released(landing):
    """Guards against answering ``unknown`` to a retry of a request that never ran.

    The store hangs and the caller gets "not run", but the claim took effect, or
    takes effect after the clean-up has read the row. The claim of the abandoned
    request would then stay in the table.
    """

    async def main():
        table = FakeTable()
        faults = {"before": [Fault.HANGING], "after": [Fault.DELAYED] * 3}[landing]
        table.faults.extend(faults)
        async with run_manager(table) as one, run_manager(table, "e2") as two:
            error = await fail_claim(one, timeout=0.02 if landing == "before" else 5)
            assert (error.code, error.outcome) == ("store_unavailable", Outcome.NOT_RUN)
            assert await one.flush(5.0)
            table.land_delayed()
            assert isinstance(await claim(two), Claimed)

    curio.run(main)


def test_store_down_refuses_at_once_and_unknown_where_the_key_is_taken():
    """Guards against answering "not run" to the retry of a request that ran.

    The key is claimed and its request runs. The retry reaches another entry, whose
    claim conflicts with the row, and then the store fails to read that row.
    """

    async def main():
        table = FakeTable()
        async with run_manager(table) as one, run_manager(table, "e2") as two:
            await claim(one)
            table.read_faults.append(Fault.REFUSED)
            error = await fail_claim(two)
            assert (error.status, error.outcome) == (503, Outcome.UNKNOWN)
            table.down = True
            error = await fail_claim(two, key="other")
            assert (error.status, error.outcome) == (503, Outcome.NOT_RUN)
            assert error.retry_after
            assert two.open == 0

    curio.run(main)


def test_claim_of_a_dead_entry_stays_unknown():
    """Guards against running a request again when its entry died.

    An entry dies after its claim, and the caller retries for minutes. Whether the
    request ran is unknown and stays unknown.
    """

    async def main():
        table = FakeTable()
        now = [0.0]
        async with run_manager(table) as dead:
            await claim(dead)
        async with run_manager(table, "e2", clock=lambda: now[0]) as two:
            assert (await fail_claim(two)).code == "in_progress"
            now[0] = 10_000.0
            error = await fail_claim(two)
            assert (error.code, error.outcome) == ("outcome_unknown", Outcome.UNKNOWN)
            assert error.retry_after is None
        async with run_manager(table) as restarted:
            assert (await fail_claim(restarted)).code == "outcome_unknown"

    curio.run(main)


def test_outcomes_survive_an_outage_and_large_bodies_are_not_kept():
    async def main():
        table = FakeTable()
        async with run_manager(table) as one, run_manager(table, "e2") as two:
            small, large, lost = [await claim(one, key=key) for key in "sld"]
            table.down = True
            await one.record(small, ANSWER)
            await one.record(
                large, WebResponse(200, (), b"x" * (REPLAY_BODY_BYTES + 1))
            )
            await one.mark_unknown(lost)
            assert not await one.flush(0.01)
            table.down = False
            table.faults.append(Fault.LOST)
            assert await one.flush(5.0)
            assert isinstance(await claim(two, key="s"), Replayed)
            error = await fail_claim(two, key="l")
            assert (error.code, error.outcome) == ("answer_not_kept", Outcome.RAN)
            assert (await fail_claim(two, key="d")).code == "outcome_unknown"

    curio.run(main)
