"""Claims of idempotency keys."""

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
async def run_keeper(table, node="e1", **options):
    keeper = create_claim_manager(
        table, node=node, group_s=0, group_rows=10, pause_s=0, **options
    )
    runner = await curio.spawn(keeper.run)
    try:
        yield keeper
    finally:
        await runner.cancel()


async def claim(keeper, key="k", fingerprint="f", timeout=5.0):
    return await keeper.claim("orders", key, fingerprint, timeout)


async def fail_claim(keeper, **options) -> RequestError:
    with pytest.raises(RequestError) as caught:
        await claim(keeper, **options)
    return caught.value


async def finish(keeper, held, response=ANSWER):
    await keeper.record(held, response)
    assert await keeper.flush(5.0)


def test_repeat_gets_the_recorded_answer_at_every_entry():
    async def main():
        table = FakeTable()
        async with run_keeper(table) as one, run_keeper(table, "e2") as two:
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
            for keeper in (one, two):
                again = await claim(keeper)
                assert isinstance(again, Replayed)
                assert again.response.status == ANSWER.status
                assert again.response.body == ANSWER.body
                assert (await fail_claim(keeper, fingerprint="g")).code == "key_reused"
            assert one.open == two.open == 0

    curio.run(main)


@pytest.mark.parametrize("fault", [Fault.LOST, Fault.DROPPED, Fault.DELAYED])
def test_one_of_two_entries_wins_a_key(fault):
    """Symptom: a matrix entry is counted twice.

    Sequence: one key arrives through two entries at once; a store answer is lost.
    Cause: each entry believes that it holds the claim.
    """

    async def main():
        table = FakeTable()
        table.faults.append(fault)
        async with run_keeper(table) as one, run_keeper(table, "e2") as two:
            tasks = [await curio.spawn(claim, keeper) for keeper in (one, two)]
            for task in tasks:
                await task.wait()
            table.land_delayed()
            assert sorted(task.exception is None for task in tasks) == [False, True]

    curio.run(main)


def test_released_key_may_be_claimed_anew():
    async def main():
        table = FakeTable()
        async with run_keeper(table) as one, run_keeper(table, "e2") as two:
            await one.release(await claim(one))
            assert await one.flush(5.0)
            held = await claim(two)
            assert isinstance(held, Claimed)
            await finish(two, held)
            assert isinstance(await claim(one), Replayed)

    curio.run(main)


@pytest.mark.parametrize("landing", ["before", "after"])
def test_unconfirmed_claim_is_not_run_and_the_key_comes_free(landing):
    """Symptom: a retry is told ``unknown`` of a request that never ran.

    Sequence: the store hangs; the caller is told "not run"; the claim is in
    force, or lands after the clean-up has looked for it.
    Cause: the claim of a request that was given up stays in the table.
    """

    async def main():
        table = FakeTable()
        faults = {"before": [Fault.HANGING], "after": [Fault.DELAYED] * 3}[landing]
        table.faults.extend(faults)
        async with run_keeper(table) as one, run_keeper(table, "e2") as two:
            error = await fail_claim(one, timeout=0.02 if landing == "before" else 5)
            assert (error.code, error.outcome) == ("store_unavailable", Outcome.NOT_RUN)
            assert await one.flush(5.0)
            table.land_delayed()
            assert isinstance(await claim(two), Claimed)

    curio.run(main)


def test_store_down_refuses_at_once_and_unknown_where_the_key_is_taken():
    """Symptom: the retry of a request that ran is told "not run".

    Sequence: key claimed and run; retry elsewhere; the store fails in between.
    Cause: the claim met a row, and the row could not be read.
    """

    async def main():
        table = FakeTable()
        async with run_keeper(table) as one, run_keeper(table, "e2") as two:
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
    """Symptom: a reply letter goes out twice.

    Sequence: an entry dies after its claim; the caller asks again, for minutes.
    Cause: nobody knows whether the request ran.
    """

    async def main():
        table = FakeTable()
        now = [0.0]
        async with run_keeper(table) as dead:
            await claim(dead)
        async with run_keeper(table, "e2", clock=lambda: now[0]) as two:
            assert (await fail_claim(two)).code == "in_progress"
            now[0] = 10_000.0
            error = await fail_claim(two)
            assert (error.code, error.outcome) == ("outcome_unknown", Outcome.UNKNOWN)
            assert error.retry_after is None
        async with run_keeper(table) as restarted:
            assert (await fail_claim(restarted)).code == "outcome_unknown"

    curio.run(main)


def test_outcomes_survive_an_outage_and_large_bodies_are_not_kept():
    async def main():
        table = FakeTable()
        async with run_keeper(table) as one, run_keeper(table, "e2") as two:
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
