"""Simulates fleets of many seeds, outside the test suite.

Run it with ``python -m tests.standins.paced_hunt --first 1 --seeds 50``. A seed draws
the interference estimates, the time over target that the deployment allows and the
faults.
"""

from __future__ import annotations

import argparse
import random
import sys

import curio

from tests.standins.paced_fleet import (
    FleetFaults,
    PacedFleet,
    draw_estimates,
    draw_loads,
)

INTERFERENCE_S = (4.0, 4.5, 5.0)
WRONG_BELIEFS = (None, 0.2, 0.4, 0.7)


def build_fleet(seed: int) -> tuple[PacedFleet, float]:
    """Return a fleet, and for how many seconds its tasks may be over their target."""
    rng = random.Random(seed)
    interference_s = rng.choice(INTERFERENCE_S)
    wrong = rng.choice(WRONG_BELIEFS)
    loads = draw_loads(rng, rng.uniform(0.2, 0.8))
    faults = FleetFaults(
        late=rng.choice((0.0, 0.05)),
        lost=rng.choice((0.0, 0.05)),
        slowdowns=rng.choice((0.0, 0.02)),
        agent_restarts=rng.choice((0.0, 0.02)),
    )
    fleet = PacedFleet(
        seed,
        loads=loads,
        estimates=None if wrong is None else draw_estimates(loads, rng, wrong),
        interference_s=interference_s,
        faults=faults,
    )
    return fleet, interference_s


def main() -> None:
    """Simulate seeds one after another; the exit status is 1 if any of them failed."""
    parser = argparse.ArgumentParser(prog="tests.standins.paced_hunt")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=600.0)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        fleet, interference_s = build_fleet(seed)
        curio.run(fleet.simulate, options.seconds)
        exceeded = fleet.longest_over_s >= interference_s
        failed += exceeded
        print(
            f"seed {seed}: over the target for {fleet.longest_over_s:.2f} s of "
            f"{interference_s} s allowed, {fleet.over_share:.4f} of the time; "
            f"{fleet.work_done:.2f} tasks of filling work per worker"
            + (", limit exceeded" if exceeded else ""),
            flush=True,
        )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
