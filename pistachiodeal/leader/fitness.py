"""How fit a process is to lead, by what its VM gives it."""

from __future__ import annotations

# A process below these is weak: as the leader of some dozens of workers it would decide
# too late for short jobs.
LEAST_CORES = 0.35
LEAST_MBPS = 50.0
# A weak leader makes way for a follower that is this much fitter. A lower factor would
# move the lead, and 160 agents with it, for little.
HANDOVER_FITNESS_RATIO = 1.5
# A process that is nearly as fit as the last leader needn't wait for a better one.
NEARLY_AS_FIT = 0.8


def compute_fitness(cores: float, link_mbps: float) -> float:
    """Return how many times the least that a leader needs a process has."""
    return min(cores / LEAST_CORES, link_mbps / LEAST_MBPS)


def is_below_minimum(fitness: float) -> bool:
    """Tell whether a process had better leave the lead to others."""
    return fitness < 1.0


def may_wait_for_fitter(fitness: float, last: float) -> bool:
    """Tell whether an entry may well be up that is clearly fitter.

    The last leader shows what there is: a weak one makes way for a fitter one while all
    is calm. Where all entries are small, each would else wait for a strong one that
    isn't there: 1 s without a leader after each loss.

    :param last: fitness of the last leader, 0 if it isn't known.
    """
    if last <= 0:
        return is_below_minimum(fitness)
    return fitness < NEARLY_AS_FIT * last
