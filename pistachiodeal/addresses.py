"""Addresses as settings and peers write them: ``ip:port``."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535


def is_address(value: str) -> bool:
    """Tell whether a text is ``ip:port`` with numbers that exist."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) <= MAX_PORT


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``.

    :raises ValueError: the port is no number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
