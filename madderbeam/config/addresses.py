"""Addresses as they are written: their form, and which two listeners can't both be had."""

from __future__ import annotations

import ipaddress


def split_address(text: str) -> tuple[str, int] | None:
    """HOST:PORT or [HOST]:PORT; None if it is neither."""
    host, colon, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return None
    ascii_port = port.isascii() and port.isdigit() and len(port) <= 5
    if not colon or not host or not ascii_port or not 1 <= int(port) <= 65_535:
        return None
    if any(c.isspace() or c in "/@" for c in host):
        return None
    return host, int(port)


def places(host: str) -> set[str]:
    """What a listening host takes, in one form: 'any4', 'any6' or addresses."""
    if host == "localhost":
        return {"127.0.0.1", "::1"}
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return {host}
    if isinstance(address, ipaddress.IPv6Address) and address.ipv4_mapped:
        address = address.ipv4_mapped
    if address.is_unspecified:  # [::] takes IPv4 connections too where the system has it so
        return {"any4"} if address.version == 4 else {"any6", "any4"}
    return {str(address)}


def clash(one: set[str], other: set[str]) -> bool:
    """Whether two listeners on the same port can't both be had."""
    if one & other:
        return True
    for mine, theirs in ((one, other), (other, one)):
        for text in mine:
            if ("any4" in theirs and ":" not in text) or ("any6" in theirs and ":" in text):
                return True
    return False
