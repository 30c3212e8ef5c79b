"""Writes the imported partners and routes as an estate: estate.toml and partners.toml."""

from __future__ import annotations

from typing import Any

import tomlkit
from tomlkit.items import AoT, InlineTable, Table

from madderbeam.importers.nginx.model import Found, Partner, Route, Server

CALLS_PER_S = 1000.0  # rate limit of each partner; nginx configures none
MESSAGE_CLASS = "message"
HEAD_COMMENT = """\
nginx tells nothing of these: set them to what is true.
[classes]: how long a message may take, and what a repeat does (nginx repeats no POST that may have run).
listen: where the program hands messages in, over RESP2. per_s, in partners.toml: what a partner takes."""


def estate(found: Found, name: str, listen: str) -> str:
    """Return estate.toml, with one application that reaches all partners."""
    document = tomlkit.document()
    for line in HEAD_COMMENT.splitlines():
        document.add(tomlkit.comment(line))
    document.add(tomlkit.nl())
    document["partner_list"] = "partners.toml"
    document["classes"] = {MESSAGE_CLASS: {"wanted_ms": 2000, "deadline_ms": 10_000, "repeat": "unsafe"}}
    application: dict[str, Any] = {
        "name": name,
        "listen": listen,
        "state": f"state/{name}",
        "classes": [MESSAGE_CLASS],
    }
    if found.attempts:
        application["attempts"] = min(found.attempts)
    if found.connect_ms:
        application["connect_timeout_ms"] = min(found.connect_ms)
    if found.idle_ms:
        application["connection_idle_ms"] = min(3_600_000, max(100, min(found.idle_ms)))
    rows = tomlkit.aot()
    rows.append(tomlkit.item(application))
    document["application"] = rows
    return tomlkit.dumps(document)


def partners(found: Found) -> str:
    """Return partners.toml: partners in file order, routes in nginx's order, each with its file and line."""
    document = tomlkit.document()
    rows: AoT = tomlkit.aot()
    for number, partner in enumerate(found.partners.values(), 1):
        rows.append(_partner(partner, number))
    document["partner"] = rows
    if found.routes:
        routes: AoT = tomlkit.aot()
        for route in found.routes:
            routes.append(_route(route))
        document["route"] = routes
    return tomlkit.dumps(document)


def _partner(partner: Partner, number: int) -> Table:
    row = tomlkit.table()
    row.add(tomlkit.comment(f"{partner.at.file}:{partner.at.line}"))
    row["name"], row["number"], row["per_s"] = partner.name, number, CALLS_PER_S
    endpoints = tomlkit.array()
    endpoints.multiline(True)
    for server in partner.servers:
        endpoints.append(_endpoint(server))
    row["endpoints"] = endpoints
    pool: InlineTable = tomlkit.inline_table()
    pool["method"] = partner.method
    if partner.hash_on:
        pool["hash_on"] = partner.hash_on
    pool["fails_on"] = partner.fails_on
    row["pool"] = pool
    return row


def _endpoint(server: Server) -> InlineTable:
    """Return one endpoint; nginx's defaults that differ from the courier's are written out."""
    table = tomlkit.inline_table()
    table["address"] = server.address
    if server.drain:
        table["state"] = "terminating"
    if server.weight != 1:
        table["weight"] = server.weight
    for flag in ("backup", "down"):
        if getattr(server, flag) and not (flag == "backup" and server.down):
            table[flag] = True
    if server.max_conns:
        table["max_conns"] = server.max_conns
    if server.max_fails:
        table["max_fails"] = min(server.max_fails, 1000)
        table["fail_timeout_ms"] = min(server.fail_timeout_ms, 86_400_000)
        if server.slow_start_ms:
            table["slow_start_ms"] = min(server.slow_start_ms, 86_400_000)
    return table


def _route(route: Route) -> Table:
    row = tomlkit.table()
    row.add(tomlkit.comment(f"{route.at.file}:{route.at.line}"))
    row["on"], row["match"], row["text"] = "path", route.match, route.text
    if route.host:
        row["host"] = list(route.host)
    row["partner"] = route.partner
    return row
