"""Parsing of ``ip:port`` addresses."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def is_address(value: str) -> bool:
    """Return whether a text is an IPv4 ``ip:port`` to which one can connect."""
    host, _, port = value.rpartition(":")
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        return False
    # isdecimal() is also true for digits of other scripts.
    if not (port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS):
        return False
    return 0 < int(port) <= MAX_PORT


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``.

    :raises ValueError: the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
