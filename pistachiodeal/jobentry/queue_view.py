"""Answers ``GET /queues`` on the metrics listener."""

from __future__ import annotations

from collections.abc import Callable

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.jobentry.peer_server import PeerServer
from pistachiodeal.jobs.queue_report import QueueReport, encode_report
from pistachiodeal.leader.directory import Directory
from pistachiodeal.leader.queue_reporter import report_summary
from pistachiodeal.scheduling.admission import LoadSummary
from pistachiodeal.web.messages import WebResponse

QUEUES_PATH = "/queues"


class QueueView:
    """Reports what this entry knows of the queues.

    :param find_summary: returns the newest summary received from a leader.
    """

    def __init__(
        self,
        peer_server: PeerServer,
        directory: Directory,
        find_summary: Callable[[], LoadSummary | None],
    ) -> None:
        self._peer_server = peer_server
        self._directory = directory
        self._find_summary = find_summary

    def answer(self) -> WebResponse:
        """Return the report as a response."""
        headers = (("content-type", "application/json"),)
        return WebResponse(200, headers, encode_report(self.build(read_boot_clock())))

    def build(self, now: float) -> QueueReport:
        """Return the report.

        :param now: seconds of the boot clock.
        """
        leader = self._directory.leader
        leadership = self._peer_server.leadership
        # A leader that is still loading knows only some of the jobs.
        if leadership is not None and leadership.loaded:
            return leadership.queue_reporter.build(leadership.epoch, leader, now)
        return report_summary(self._find_summary(), leader, now)
