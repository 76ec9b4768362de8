"""Signals reach a curio task, and the earlier handlers come back."""

from __future__ import annotations

import os
import signal

import curio

from pistachiodeal.signals import watch_signals


def test_every_signal_is_handed_out_in_order() -> None:
    async def main() -> list[int]:
        with watch_signals() as watch:
            os.kill(os.getpid(), signal.SIGTERM)
            first = await watch.wait()
            os.kill(os.getpid(), signal.SIGINT)
            return [first, await watch.wait()]

    earlier = signal.getsignal(signal.SIGTERM)
    assert curio.run(main) == [signal.SIGTERM, signal.SIGINT]
    assert signal.getsignal(signal.SIGTERM) is earlier
