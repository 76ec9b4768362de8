"""Group commit."""

import curio
import pytest

from pistachiodeal.exceptions import StoreUnavailableError, StoreUncertainError
from pistachiodeal.store.group import GroupCommitter, create_group_committer
from pistachiodeal.store.protocols import ABSENT, CommitResult, Write
from tests.unit.fake_table import FakeTable, Fault


def insert(key: str, value: bytes = b"mine") -> list[Write]:
    return [Write(key, value, ABSENT)]


async def commit_all(committer: GroupCommitter, keys: str) -> list[CommitResult]:
    """Commit one row for each key at the same moment."""
    async with curio.TaskGroup() as group:
        for key in keys:
            await group.spawn(committer.commit, insert(key))
    return group.results


def run_committer(table: FakeTable, main) -> None:
    async def run() -> None:
        committer = create_group_committer(table, group_s=0, group_rows=10, pause_s=0)
        runner = await curio.spawn(committer.run)
        try:
            await main(committer)
        finally:
            await runner.cancel()

    curio.run(run())


def test_one_conflict_fails_its_own_transaction_only():
    """One repeated key failed every request of its batch.

    Three claims share a commit and the row of one exists already; a table commit is
    all or nothing.
    """
    table = FakeTable()
    table.apply(insert("b", b"theirs"))

    async def main(committer: GroupCommitter) -> None:
        results = await commit_all(committer, "abc")
        assert [result.committed for result in results] == [True, False, True]
        assert results[0].versions["a"] == table.rows["a"].version
        assert table.commits == 2

    run_committer(table, main)


@pytest.mark.parametrize("fault", [Fault.LOST, Fault.DROPPED, Fault.DELAYED])
def test_lost_answer_is_settled_by_reading_back(fault):
    """A write that took effect was reported as a conflict.

    The answer to its commit was lost, and the commit sent again conflicted with the
    rows of the first one.
    """
    table = FakeTable()
    table.faults.append(fault)

    async def main(committer: GroupCommitter) -> None:
        results = await commit_all(committer, "ab")
        assert all(result.committed for result in results)
        table.land_delayed()
        assert [table.rows[key].value for key in "ab"] == [b"mine", b"mine"]
        assert results[0].versions["a"] == table.rows["a"].version

    run_committer(table, main)


def test_conflict_after_a_lost_answer_is_read_back_too():
    """A write that took effect was reported as a conflict with itself.

    Its answer was lost, reading back failed, and the commit sent again conflicted with
    the sender's own row.
    """
    table = FakeTable()
    table.faults.append(Fault.LOST)
    table.read_faults.append(Fault.REFUSED)

    async def main(committer: GroupCommitter) -> None:
        assert all(result.committed for result in await commit_all(committer, "ab"))

    run_committer(table, main)


def test_refusal_is_certain_only_before_a_lost_answer():
    """A write that may have taken effect was reported as having none.

    Its answer was lost and the table refused every further call, but the refusal
    covers only the second try.
    """
    table = FakeTable()

    async def main(committer: GroupCommitter) -> None:
        table.faults.append(Fault.REFUSED)
        with pytest.raises(StoreUnavailableError):
            await committer.commit(insert("a"))
        table.faults.extend([Fault.LOST, Fault.REFUSED, Fault.REFUSED])
        table.read_faults.extend([Fault.REFUSED] * 3)
        with pytest.raises(StoreUncertainError):
            await committer.commit(insert("a"))

    run_committer(table, main)


def test_two_writes_of_one_key_take_two_commits():
    table = FakeTable()

    async def main(committer: GroupCommitter) -> None:
        results = await commit_all(committer, "aab")
        assert sorted(result.committed for result in results) == [False, True, True]

    run_committer(table, main)


def test_transaction_that_could_not_be_read_back_is_refused():
    async def main(committer: GroupCommitter) -> None:
        with pytest.raises(ValueError, match="conditional"):
            await committer.submit([Write("a", b"x")])
        with pytest.raises(ValueError, match="no value"):
            await committer.submit([Write("a", None, 1)])

    run_committer(FakeTable(), main)
