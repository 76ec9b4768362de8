"""One process of a cluster: started, watched by its lines, killed, frozen, ended."""

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
    """A process ended while something was awaited of it."""


class Process:
    """A module run by this interpreter; its output goes to files in ``directory``.

    :ivar name: unique in the cluster; a restart of the same name appends.
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
        """Tell whether the process has not ended (it may be frozen)."""
        return self._child.poll() is None

    @property
    def errors(self) -> str:
        """Return what it wrote on standard error, earlier runs included."""
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
        """Wait until standard error holds ``text``."""
        wait_until(lambda: text in self.errors, f"{self.name} logs {text!r}", limit_s)

    def kill(self) -> None:
        """End it at once (SIGKILL), as a crash does."""
        self.killed_at = time.monotonic()
        self._child.kill()
        self._child.wait()

    def freeze(self) -> None:
        """Stop it where it stands (SIGSTOP), and wait until it stands."""
        os.kill(self.pid, signal.SIGSTOP)
        # The signal only counts once the kernel has stopped every thread.
        os.waitid(os.P_PID, self.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def thaw(self) -> None:
        """Let it go on (SIGCONT)."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Ask it to stop gracefully (SIGTERM); returns at once."""
        self._child.send_signal(signal.SIGTERM)

    def wait_end(self, limit_s: float = LIMIT_S) -> int:
        """Wait until it has ended; return its exit status."""
        return self._child.wait(limit_s)

    def clean_up(self) -> None:
        """End it in whatever state it is."""
        if self.running:
            self.kill()

    def describe_end(self) -> str:
        """Return how it stands, with the last lines of its standard error."""
        lines = "\n".join(self.errors.splitlines()[-TAIL_LINES:])
        return f"{self.name} exit status {self._child.poll()}\n{lines}"

    def _check_running(self, when: str) -> None:
        if not self.running:
            raise ProcessEndedError(f"ended {when}: {self.describe_end()}")
