"""Plays the days of a plan with the users' bench, each way in a clone of its own."""

from __future__ import annotations

import shutil
import subprocess
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from bench.compare.plan import Plan, Play, list_plays

REPOSITORY = Path(__file__).parents[2]
REPORTS = "reports"
CLONES = "clones"


@dataclass(slots=True)
class Player:
    """Plays days and keeps their reports.

    :param bench: the bench's command.
    :param sites: directory of the site files.
    :param results: directory for clones and reports; a play that has a report there is
        not repeated.
    """

    plan: Plan
    bench: Path
    sites: Path
    results: Path
    _locks: dict[str, threading.Lock] = field(init=False)

    def __post_init__(self) -> None:
        # The bench builds the clone for each play, so a clone plays one at a time.
        self._locks = {way: threading.Lock() for way in self.plan.ways}

    def play_all(self, jobs: int) -> int:
        """Play all days that have no report yet; return how many failed.

        :param jobs: how many days are played at a time.
        """
        (self.results / REPORTS).mkdir(parents=True, exist_ok=True)
        for way, commit in self.plan.ways.items():
            prepare_clone(self.results / CLONES / way, commit)
        plays = list(list_plays(self.plan))
        missing = [one for one in plays if not self._find_report(one).exists()]
        print(f"{len(plays)} plays, {len(plays) - len(missing)} of them done before")
        with ThreadPoolExecutor(jobs) as pool:
            results = list(pool.map(self._play, missing))
        for way in self.plan.ways:
            collect_journal(self.results / CLONES / way, REPOSITORY)
        return results.count(False)

    def _play(self, play: Play) -> bool:
        report = self._find_report(play)
        written = report.with_suffix(".part")
        with self._locks[play.way]:
            began_at = time.monotonic()
            done = subprocess.run(
                self._build_command(play, written),
                cwd=self.results / CLONES / play.way,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                check=False,
            )
        report.with_suffix(".txt").write_text(done.stdout)
        took_s = time.monotonic() - began_at
        if not written.exists():
            print(f"{play.title} {play.seed} {play.way}: failed, {took_s:.0f} s")
            return False
        written.rename(report)
        print(f"{play.title} {play.seed} {play.way}: done, {took_s:.0f} s", flush=True)
        return True

    def _build_command(self, play: Play, report: Path) -> list[str]:
        own_day = REPOSITORY / play.day
        day = str(own_day) if own_day.exists() else play.day
        command = [str(self.bench), "run", str(self.sites / play.site), day]
        command += ["--seed", str(play.seed), "--report", str(report)]
        command += ["--why", f"comparison, way {play.way}"]
        return command + ["--small"] * self.plan.small

    def _find_report(self, play: Play) -> Path:
        return self.results / REPORTS / play.report_name


def prepare_clone(path: Path, commit: str) -> None:
    """Clone the repository, unless it is there, and check a commit out."""
    if not path.exists():
        command = ["git", "clone", "--quiet", str(REPOSITORY), str(path)]
        subprocess.run(command, check=True)
    checkout = ["git", "checkout", "--quiet", "--detach", commit]
    subprocess.run(checkout, cwd=path, check=True)


def collect_journal(clone: Path, repository: Path) -> None:
    """Copy the journal entries that a clone's plays left into the repository."""
    for source in (clone / "journal").rglob("*"):
        copy = repository / source.relative_to(clone)
        if source.is_file() and not copy.exists():
            copy.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, copy)
