"""Which grants renew the lease of a run on this worker."""

from __future__ import annotations

import pytest

from pistachiodeal.agent.run_records import Phase, RunRecord
from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.task_messages import LeaseGrant

EPOCH, PARTITION, BEAT = 5, 2, 7


def build_run(phase: Phase = Phase.RUNNING) -> RunRecord:
    return RunRecord(
        "t", 1, PARTITION, EPOCH, "kind", Resources(), phase, 0.0, 1.0, from_beat=BEAT
    )


def build_grant(epoch: int = EPOCH, partition: int = PARTITION) -> LeaseGrant:
    return LeaseGrant(partition, epoch, 1_000)


def test_a_grant_of_the_owner_renews_a_run():
    """Grants of a later owner, which has adopted the run, count too."""
    assert build_run().accepts(build_grant(), BEAT)
    assert build_run().accepts(build_grant(EPOCH + 1), BEAT + 1)


def test_a_grant_of_an_earlier_owner_renews_nothing():
    """Guards against a task that runs on two workers.

    A new owner starts the task here under a higher epoch and counts the lease from
    its own grants. The earlier owner, unaware of it, continues to grant; a grant of
    an epoch below the run's own must not count.
    """
    assert not build_run().accepts(build_grant(EPOCH - 1), BEAT)


def test_a_grant_for_another_partition_renews_nothing():
    """Guards against a run that outlives its owner's lease: of two owners with runs on
    the worker one fails, and the grants of the other count for all runs.
    """
    assert not build_run().accepts(build_grant(partition=PARTITION + 1), BEAT)


def test_a_grant_for_a_report_that_did_not_name_the_run_renews_nothing():
    """Guards against a run that continues after its owner gave it up: the owner
    answers a report from before the run's start, and that grant counts for the run.
    """
    assert not build_run().accepts(build_grant(), BEAT - 1)


@pytest.mark.parametrize(
    "phase", [Phase.STARTING, Phase.UNCERTAIN, Phase.STOPPING, Phase.ENDED]
)
def test_only_a_run_that_is_known_to_run_is_renewed(phase: Phase):
    """Guards against a start whose outcome stays unknown forever: its response is
    lost and its lease renewed, but the worker refuses it only after the lease ended.
    """
    assert not build_run(phase).accepts(build_grant(), BEAT)
