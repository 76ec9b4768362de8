"""Which grants renew the lease of a run that an agent holds."""

from __future__ import annotations

import pytest

from pistachiodeal.agent.held_runs import HeldRun, Phase
from pistachiodeal.model.resources import Resources
from pistachiodeal.wire.task_messages import LeaseGrant

EPOCH, PARTITION, BEAT = 5, 2, 7


def build_run(phase: Phase = Phase.RUNNING) -> HeldRun:
    return HeldRun(
        "t", 1, PARTITION, EPOCH, "kind", Resources(), phase, 0.0, 1.0, from_beat=BEAT
    )


def build_grant(epoch: int = EPOCH, partition: int = PARTITION) -> LeaseGrant:
    return LeaseGrant(partition, epoch, 1_000)


def test_a_grant_of_the_owner_renews_a_run():
    """A later owner has adopted the run, so its grants count too."""
    assert build_run().accepts(build_grant(), BEAT)
    assert build_run().accepts(build_grant(EPOCH + 1), BEAT + 1)


def test_a_grant_of_an_earlier_owner_renews_nothing():
    """Symptom: a task runs in two places.

    Sequence: an owner is replaced; its successor starts the task here under a higher
    epoch, and counts its lease from its own grants. The old owner, which has not heard
    of it, goes on granting. Cause: the run took a grant of an epoch below its own.
    """
    assert not build_run().accepts(build_grant(EPOCH - 1), BEAT)


def test_a_grant_for_another_partition_renews_nothing():
    """Symptom: a run outlives its owner's lease. Sequence: the agent holds runs of two
    owners, and one of them is gone. Cause: the other one's grants counted for all.
    """
    assert not build_run().accepts(build_grant(partition=PARTITION + 1), BEAT)


def test_a_grant_for_a_report_that_did_not_name_the_run_renews_nothing():
    """Symptom: a run that its owner has given up goes on. Sequence: the owner answers
    a report from before the run was started. Cause: any grant counted for it.
    """
    assert not build_run().accepts(build_grant(), BEAT - 1)


@pytest.mark.parametrize(
    "phase", [Phase.STARTING, Phase.UNCERTAIN, Phase.STOPPING, Phase.ENDED]
)
def test_only_a_run_that_is_known_to_run_is_renewed(phase: Phase):
    """Symptom: the fate of a start stays unknown for ever. Sequence: its answer is
    lost, and its lease renewed. Cause: the worker refuses it only past its lease.
    """
    assert not build_run(phase).accepts(build_grant(), BEAT)
