"""One process of a cluster: starts it, reads its output, sends it signals."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from tests.harness.waiting import LIMIT_S, wait_until

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TAIL_LINES = 30


class ProcessEndedError(AssertionError):
    """A process ended while the test waited for its output."""


class Process:
    """A module run by this interpreter; its output goes to files in ``directory``.

    :ivar name: unique in the cluster; a restart appends to the same error file.
    :ivar killed_at: when it was killed, on the host's monotonic clock.
    """

    def __init__(
        self, name: str, module: str, arguments: Sequence[str], directory: Path
    ) -> None:
        self.name = name
        self.module = module
        self.killed_at: float | None = None
        self._out = directory / f"{name}.out"
        self._err = directory / f"{name}.err"
        self._out.write_text("")
        command = [sys.executable, "-m", module, *arguments]
        with self._out.open("ab") as out, self._err.open("ab") as err:
            self._child = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=out, stderr=err
            )

    @property
    def pid(self) -> int:
        """Return the process's id."""
        return self._child.pid

    @property
    def running(self) -> bool:
        """Return whether the process has not ended (it may be frozen)."""
        return self._child.poll() is None

    @property
    def errors(self) -> str:
        """Return its standard error, including that of earlier runs."""
        return self._err.read_text(errors="replace")

    def wait_port(self, label: str = "port") -> int:
        """Return the port that the process prints on a line ``label N``."""
        pattern = re.compile(rf"^{label} (\d+)\n", re.MULTILINE)

        def poll() -> int | None:
            found = pattern.search(self._out.read_text())
            if found is None:
                self._check_running(f"before it printed its {label}")
            return int(found[1]) if found else None

        return wait_until(poll, f"{self.name} prints its {label}")

    def address(self, label: str = "port") -> str:
        """Return ``ip:port`` for the port printed with ``label``."""
        return f"{HOST}:{self.wait_port(label)}"

    def wait_log(self, text: str, limit_s: float = LIMIT_S) -> None:
        """Wait until standard error contains ``text``."""
        wait_until(lambda: text in self.errors, f"{self.name} logs {text!r}", limit_s)

    def kill(self) -> None:
        """Kill it with SIGKILL, like a crash."""
        self.killed_at = time.monotonic()
        self._child.kill()
        self._child.wait()

    def freeze(self) -> None:
        """Suspend it with SIGSTOP, and wait until it is suspended."""
        os.kill(self.pid, signal.SIGSTOP)
        # SIGSTOP takes effect only when the kernel has stopped every thread.
        os.waitid(os.P_PID, self.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def thaw(self) -> None:
        """Resume it with SIGCONT."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop with SIGTERM, without waiting for it."""
        self._child.send_signal(signal.SIGTERM)

    def wait_end(self, limit_s: float = LIMIT_S) -> int:
        """Wait until it has ended, and return its exit status."""
        return self._child.wait(limit_s)

    def clean_up(self) -> None:
        """Kill it if it is still running or frozen."""
        if self.running:
            self.kill()

    def describe_end(self) -> str:
        """Return its exit status and the last lines of its standard error."""
        lines = "\n".join(self.errors.splitlines()[-TAIL_LINES:])
        return f"{self.name} exit status {self._child.poll()}\n{lines}"

    def _check_running(self, when: str) -> None:
        if not self.running:
            raise ProcessEndedError(f"ended {when}: {self.describe_end()}")
