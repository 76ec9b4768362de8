"""Starts the real programs and the stand-ins as processes on loopback."""

from tests.harness.calls import Reply, call
from tests.harness.cluster import Cluster, run_cluster
from tests.harness.processes import Process, ProcessEndedError
from tests.harness.waiting import NotReachedError, wait_until

__all__ = [
    "Cluster",
    "NotReachedError",
    "Process",
    "ProcessEndedError",
    "Reply",
    "call",
    "run_cluster",
    "wait_until",
]
