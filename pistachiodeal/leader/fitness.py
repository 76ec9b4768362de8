"""Rates how suitable a process is as the leader, by the resources of its VM."""

from __future__ import annotations

# The minimum for a leader. With less, the leader of some dozens of workers would make
# its decisions too late for short jobs.
MIN_CORES = 0.35
MIN_LINK_MBPS = 50.0
# A leader below the minimum hands over to a follower whose fitness is at least this
# many times its own. With a lower ratio, leadership and with it 160 agents would move
# for little gain.
HANDOVER_FITNESS_RATIO = 1.5
# A process with at least this share of the last leader's fitness campaigns at once.
CAMPAIGN_FITNESS_RATIO = 0.8


def compute_fitness(cores: float, link_mbps: float) -> float:
    """Return the resources of a process as a multiple of the leader's minimum.

    The scarcer of the two resources counts.
    """
    return min(cores / MIN_CORES, link_mbps / MIN_LINK_MBPS)


def is_below_minimum(fitness: float) -> bool:
    """Tell whether a process has less than the minimum for a leader."""
    return fitness < 1.0


def should_defer_to_fitter(fitness: float, last_leader_fitness: float) -> bool:
    """Tell whether a clearly fitter entry is probably running.

    The fitness of the last leader indicates what the other entries have, since a leader
    below the minimum hands over to a fitter one when the deployment is stable. Without
    this comparison, a deployment of only small entries would wait for a large one that
    doesn't exist, and be without a leader for 1 s after each loss.

    :param fitness: of this process.
    :param last_leader_fitness: 0 if it isn't known.
    """
    if last_leader_fitness <= 0:
        return is_below_minimum(fitness)
    return fitness < CAMPAIGN_FITNESS_RATIO * last_leader_fitness
