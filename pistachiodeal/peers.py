"""Shared by entries and agents: seed peers, link timings and the metrics page."""

from __future__ import annotations

import random
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from logbook import Logger

from pistachiodeal.config.deployment import DeploymentSettings
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import PistachiodealError
from pistachiodeal.leader.directory import Directory
from pistachiodeal.stats import Stats
from pistachiodeal.web.messages import WebResponse
from pistachiodeal.wire.configuration_messages import (
    ConfigurationAnswer,
    ConfigurationQuery,
)
from pistachiodeal.wire.identity import Identity
from pistachiodeal.wire.job_messages import LeaderNotice
from pistachiodeal.wire.link import Link, LinkTimings
from pistachiodeal.wire.opening import dial_link

log = Logger("peers")

# A peer that is silent for this long is frozen, gone, or several hundred times slower
# than usual. Replacing a leader too early costs a second of placements.
TIMINGS = LinkTimings(ping_s=0.3, silent_s=1.2, handshake_s=0.8)


@dataclass(frozen=True, slots=True)
class PeerContext:
    """What a process needs to open links to its peers.

    :param address: ``ip:port`` at which this process accepts links.
    """

    identity: Identity
    address: str
    secret: str
    directory: Directory
    events: EventLog
    timings: LinkTimings = TIMINGS


def create_peer_context(
    settings: DeploymentSettings, role: str, events: EventLog
) -> PeerContext:
    """Return the context of a new process."""
    identity = Identity(
        role, settings.node, random.getrandbits(60), settings.data_centre
    )
    return PeerContext(
        identity,
        settings.peer_address,
        settings.peer_secret,
        Directory(list_seed_peers(settings)),
        events,
    )


def list_seed_peers(settings: DeploymentSettings) -> tuple[str, ...]:
    """Return the peer addresses of the seeds; all nodes use the same port."""
    port = settings.peer_ports[0]
    hosts = [seed.rpartition(":")[0] for seed in settings.seed_peers]
    return tuple(f"{host}:{port}" for host in hosts if host)


def dial_peer(peers: PeerContext, address: str) -> AbstractAsyncContextManager[Link]:
    """Open a link to a peer; see :func:`dial_link`."""
    return dial_link(address, peers.identity, peers.secret, peers.timings)


async def query_leader(peers: PeerContext, address: str) -> LeaderNotice | None:
    """Ask an entry for the current leader; None if it doesn't answer."""
    try:
        async with dial_peer(peers, address) as link:
            notice = await link.receive()
    except (PistachiodealError, OSError) as error:
        log.debug("peers: leader query to {} failed: {}", address, error)
        return None
    return notice if isinstance(notice, LeaderNotice) else None


async def query_configuration(
    peers: PeerContext, address: str, version: int
) -> ConfigurationAnswer | None:
    """Ask an entry for its copy of the configuration; None if it doesn't answer.

    :param version: version that this process has, 0 for none.
    """
    try:
        async with dial_peer(peers, address) as link:
            await link.send(ConfigurationQuery(version))
            while True:
                message = await link.receive()
                if isinstance(message, ConfigurationAnswer):
                    peers.directory.update_entry(address)
                    return message
                if isinstance(message, LeaderNotice):
                    peers.directory.apply_notice(message)
    except (PistachiodealError, OSError) as error:
        log.debug("peers: configuration query to {} failed: {}", address, error)
        return None


def build_metrics(stats: Stats) -> WebResponse:
    """Return the measurements of a process as a text response."""
    headers = (("content-type", "text/plain; charset=utf-8"),)
    return WebResponse(200, headers, stats.format().encode())
