"""The imported partners, servers and routes, as plain values between parsing and writing."""

from __future__ import annotations

from dataclasses import dataclass, field

from madderbeam.importers.nginx.tree import Directive


@dataclass
class Server:
    """One endpoint, with nginx's defaults."""

    address: str
    weight: int = 1
    backup: bool = False
    down: bool = False
    drain: bool = False
    max_conns: int = 0
    max_fails: int = 1
    fail_timeout_ms: int = 10_000
    slow_start_ms: int = 0


@dataclass
class Partner:
    """One upstream, or one address that a proxy_pass names."""

    name: str
    at: Directive
    servers: list[Server] = field(default_factory=list)
    method: str = "round_robin"
    hash_on: str = ""
    fails_on: list[str] = field(default_factory=lambda: ["error", "timeout", "invalid_header"])
    used: bool = False  # whether a route targets it
    used_as: tuple[str, ...] = ()  # proxy_next_upstream of the first route that targets it


@dataclass
class Route:
    """One location; `partner` is '' if it has no target."""

    match: str
    text: str
    partner: str
    host: tuple[str, ...]
    at: Directive


@dataclass
class Found:
    """All that was imported. Settings of the whole courier are lists: the smallest value applies."""

    partners: dict[str, Partner] = field(default_factory=dict)
    routes: list[Route] = field(default_factory=list)
    attempts: list[int] = field(default_factory=list)
    connect_ms: list[int] = field(default_factory=list)
    idle_ms: list[int] = field(default_factory=list)
