"""Parsing of ``ip:port`` addresses."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535


def is_address(value: str) -> bool:
    """Return whether a text is a valid IPv4 ``ip:port``."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) <= MAX_PORT


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``.

    :raises ValueError: the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
