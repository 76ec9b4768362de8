"""Plays seeds in simulated time: ``python -m tests.simulation.hunt --seeds 50``."""

from __future__ import annotations

import argparse
import os
import random
import sys
import time
from dataclasses import dataclass

import curio

from tests.simulation.callers import Check, Disturbances
from tests.simulation.clock import SimulatedClock, run_simulated
from tests.simulation.entries import run_deployment
from tests.simulation.faults import FaultDriver
from tests.simulation.network import simulate_network

SETTLED_S = 5.0


@dataclass(frozen=True, slots=True)
class Played:
    """What one seed showed."""

    violations: list[str]
    counts: dict[str, int]
    story: list[str]


def play(seed: int, duration_s: float = 60.0, log: str = os.devnull) -> Played:
    """Play one seed."""

    async def main(clock: SimulatedClock) -> Played:
        rng = random.Random(seed)
        disturbances = Disturbances()
        with simulate_network() as network:
            async with run_deployment(network, rng.randint(2, 5), log) as deployment:
                deployment.configure(clock.now)
                check = Check(deployment, disturbances, clock)
                for entry in deployment.entries:
                    await entry.start()
                    await curio.spawn(check.run, entry, daemon=True)
                await curio.sleep(SETTLED_S)
                driver = FaultDriver(deployment, disturbances, clock, rng)
                await driver.run(duration_s)
                return Played(check.violations, check.counts, driver.story)

    return run_simulated(main, seed)


def main() -> None:
    """Play seeds one after another; the exit status is 1 if any had a violation."""
    parser = argparse.ArgumentParser(prog="tests.simulation.hunt")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=60.0, help="simulated time")
    parser.add_argument("--log", default=os.devnull, help="file for events")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        began = time.perf_counter()
        played = play(seed, options.seconds, options.log)
        took_s = time.perf_counter() - began
        answers = sum(played.counts.values())
        print(
            f"seed {seed}: {answers} answers {played.counts}, "
            f"{len(played.violations)} violations, {took_s:.1f} s",
            flush=True,
        )
        if played.violations:
            failed += 1
            print("\n".join(played.violations[:4]), flush=True)
    print(f"{failed} of {options.seeds} seeds failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
