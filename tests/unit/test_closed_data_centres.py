"""Nothing is started in a data centre that the operator has closed."""

from __future__ import annotations

import curio

from pistachiodeal.jobs.model import JobState
from tests.standins.job_cluster import JobCluster, build_job, run_cluster

# A closing is in force within this.
IN_FORCE_S = 1.0


def list_starts(cluster: JobCluster, worker: str) -> list[str]:
    """Return the tasks that a worker has begun, over all its incarnations."""
    begun = cluster.witness.begun
    names = [name for name in begun if name.startswith(f"{worker}-")]
    return [task for name in names for task in begun[name]]


def test_nothing_starts_in_a_closed_data_centre():
    """Guards against starts on the workers of a data centre after its closing."""

    async def main():
        async with run_cluster() as cluster:
            first = build_job(1)
            await cluster.entries[1].submit(first)
            await cluster.wait_for_state(first, JobState.COMPLETED)
            cluster.close("dc-0")
            await curio.sleep(IN_FORCE_S)
            before = len(list_starts(cluster, "w0"))
            second = build_job(2, count=6)
            await cluster.entries[1].submit(second)
            await cluster.wait_for_state(second, JobState.COMPLETED)
            assert len(list_starts(cluster, "w0")) == before
            assert cluster.witness.broken == []

    curio.run(main)
