"""Values in nginx's syntax: times, addresses, variables. Pure; ValueError in one line for what nginx would
refuse."""

from __future__ import annotations

import re
from collections.abc import Mapping
from urllib.parse import urlsplit

UNITS = {
    "ms": 1,
    "s": 1000,
    "": 1000,
    "m": 60_000,
    "h": 3_600_000,
    "d": 86_400_000,
    "w": 604_800_000,
    "M": 2_592_000_000,
    "y": 31_536_000_000,
}
TIME = re.compile(r"(\d+)(ms|[smhdwMy]?)\s*")
VARIABLE = re.compile(r"\$(?:\{(\w+)\}|(\w+))")
HOST = re.compile(r"[A-Za-z0-9_]([A-Za-z0-9._-]*[A-Za-z0-9_])?\.?")


def milliseconds(text: str) -> int:
    """'10s', '1m 30s', '500ms', '10' (seconds), as nginx's "Configuration file measurement units" has it."""
    at, whole = 0, 0
    while at < len(text):
        found = TIME.match(text, at)
        if not found:
            raise ValueError(f"{text!r} is no time")
        whole += int(found[1]) * UNITS[found[2]]
        at = found.end()
    if not text:
        raise ValueError("'' is no time")
    return whole


def number(text: str, least: int = 0) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9 or int(text) < least:
        raise ValueError(f"{text!r} is no whole number from {least} on")
    return int(text)


def address(text: str, port: int = 80) -> tuple[str, int]:
    """HOST, HOST:PORT, [V6] or [V6]:PORT as (host, port); IPv6 without brackets."""
    if text.startswith("["):
        host, closed, rest = text[1:].partition("]")
        if not closed or not re.fullmatch(r"[0-9A-Fa-f:.]+", host):
            raise ValueError(f"{text!r} is no address")
    else:
        host, colon, rest = text.partition(":")
        rest = colon + rest
        if not HOST.fullmatch(host):
            raise ValueError(f"{text!r} is no address")
    if rest and not rest.startswith(":"):
        raise ValueError(f"{text!r} is no address")
    found = number(rest[1:], 1) if rest else port
    if found > 65_535:
        raise ValueError(f"{text!r} has no such port")
    return host.rstrip("."), found


def joined(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def is_name(host: str) -> bool:
    """Whether it has to be looked up."""
    return ":" not in host and not re.fullmatch(r"\d+(\.\d+){3}", host)


def filled(text: str, constants: Mapping[str, str]) -> str | None:
    """The text with its variables filled in; None if one of them is not a constant."""
    unknown = [m for m in VARIABLE.finditer(text) if (m[1] or m[2]) not in constants]
    if unknown:
        return None
    return VARIABLE.sub(lambda m: constants[m[1] or m[2]], text)


def variables(text: str) -> list[str]:
    return [m[1] or m[2] for m in VARIABLE.finditer(text)]


def proxied(url: str) -> tuple[str, str, int | None, str | None]:
    """The parts of a proxy_pass: scheme, host, port, URI (None if there is none at all)."""
    parts = urlsplit(url)
    if parts.scheme not in ("http", "https"):
        raise ValueError(f"{url!r}: must begin with http:// or https://")
    if parts.netloc.startswith("unix:"):
        return "unix", parts.netloc, None, parts.path or None
    port = address(parts.netloc)[1] if re.search(r":\d+$", parts.netloc) else None
    host = parts.netloc[: -len(f":{port}")] if port else parts.netloc
    if not host:
        raise ValueError(f"{url!r} has no host")
    uri = url[len(parts.scheme) + 3 + len(parts.netloc) :]
    return parts.scheme, host, port, uri or None
