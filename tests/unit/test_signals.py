"""Signals reach a curio task, and the previous handlers are restored."""

from __future__ import annotations

import os
import signal

import curio

from pistachiodeal.signals import watch_signals


def test_signals_are_returned_in_order() -> None:
    async def main() -> list[int]:
        with watch_signals() as watch:
            os.kill(os.getpid(), signal.SIGTERM)
            first = await watch.wait()
            os.kill(os.getpid(), signal.SIGINT)
            return [first, await watch.wait()]

    earlier = signal.getsignal(signal.SIGTERM)
    assert curio.run(main) == [signal.SIGTERM, signal.SIGINT]
    assert signal.getsignal(signal.SIGTERM) is earlier
