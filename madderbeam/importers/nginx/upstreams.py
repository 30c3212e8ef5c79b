"""Interprets upstream blocks as partners with their servers and the pool's method."""

from __future__ import annotations

import re

from madderbeam.importers.nginx.model import Found, Partner, Server
from madderbeam.importers.nginx.tree import Directive, Wrong
from madderbeam.importers.nginx.values import address, is_name, joined, milliseconds, number
from madderbeam.importers.nginx.verdicts import Ledger

HASH_ON = {"request_id": "id", "http_idempotency_key": "key", "http_x_request_id": "id"}
METHODS_WITHOUT_BACKUP = (
    "hash",
    "consistent_hash",
    "random",
    "random_two",
)  # nginx allows no backup with them
OWN_RULES = "connections are kept by the courier's own rules"


class Upstreams:
    """Interprets the upstream blocks of one http block, in file order."""

    def __init__(self, found: Found, ledger: Ledger, wrong: list[Wrong]) -> None:
        self.found, self.ledger, self.wrong = found, ledger, wrong
        self.owners: dict[str, str] = {}  # key of the partner by endpoint address
        self.same: dict[str, str] = {}  # key of the partner by the name of an upstream that duplicates it
        self.names: set[str] = set()

    def read(self, block: Directive) -> None:
        """Interpret one upstream block."""
        ledger = self.ledger
        if len(block.args) != 1:
            self._refuse(block, "upstream needs one name")
            ledger.leave_all(block, "has no name")
            return
        name = block.args[0]
        if name in self.names:
            self._refuse(block, f"upstream {name!r} stands twice")
        self.names.add(name)
        partner = Partner(self._name(name), block)
        ledger.imported(block)
        shared = block.last("zone") is not None
        for child in block.block or ():
            if child.name == "server":
                self._server(child, partner, shared)
            else:
                self._option(child, partner)
        self._finish(name, partner)

    def partner(self, upstream: str) -> Partner | None:
        """Return the partner of an upstream; None if none of its servers was imported."""
        return self.found.partners.get(self.same.get(upstream, upstream))

    def direct(self, host: str, port: int, at: Directive) -> Partner | None:
        """Return the partner of an address in a proxy_pass; None if a larger pool has the address."""
        where = joined(host, port)
        if where in self.owners:
            owner = self.found.partners[self.owners[where]]
            return owner if len(owner.servers) == 1 else None
        partner = Partner(self._name(f"{host}-{port}"), at, [Server(where)])
        self.owners[where] = self._add(where, partner)
        return partner

    def _add(self, key: str, partner: Partner) -> str:
        self.found.partners[key] = partner
        return key

    def _name(self, text: str) -> str:
        """Return a unique partner name; characters that an estate doesn't allow are replaced by dashes."""
        plain = re.sub(r"[^A-Za-z0-9._-]", "-", text)[:48].strip("-._") or "upstream"
        taken = {p.name for p in self.found.partners.values()}
        name, n = plain, 2
        while name in taken:
            name, n = f"{plain}-{n}", n + 1
        return name

    def _refuse(self, at: Directive, text: str) -> None:
        self.wrong.append(Wrong(at.file, at.line, text))

    def _server(self, at: Directive, partner: Partner, shared: bool) -> None:
        ledger = self.ledger
        if not at.args:
            self._refuse(at, "server needs an address")
            ledger.left(at, "has no address")
            return
        if at.args[0].startswith("unix:"):
            ledger.left(at, "a Unix socket: endpoints are HOST:PORT")
            return
        try:
            host, port = address(at.args[0])
            server = Server(joined(host, port))
            for word in at.args[1:]:
                self._parameter(word, server, at, shared)
        except ValueError as error:
            self._refuse(at, f"server: {error}")
            ledger.left(at, str(error))
            return
        if is_name(host):
            ledger.changed(
                at,
                "the system looks the name up as the courier connects; several addresses of it are "
                "one endpoint",
            )
        if server.address in (s.address for s in partner.servers):
            ledger.left(at, "the same address stands in this upstream already")
            return
        partner.servers.append(server)
        ledger.imported(at)

    def _parameter(self, word: str, server: Server, at: Directive, shared: bool) -> None:
        key, equals, value = word.partition("=")
        ledger = self.ledger
        if word == "backup":
            server.backup = True
        elif word == "down":
            server.down = True
        elif word == "drain":
            server.drain = True
            ledger.changed(at, "drain: it is terminating, and gets nothing more (there are no sessions)")
        elif word == "resolve" or (key in ("service", "route", "id") and equals):
            ledger.changed(at, f"{key}: has no meaning here")
        elif key == "weight" and equals:
            server.weight = number(value, 1)
        elif key == "max_conns" and equals:
            server.max_conns = number(value)
            if shared and server.max_conns:
                ledger.changed(at, "max_conns: each courier counts its own calls, there is no zone")
        elif key == "max_fails" and equals:
            server.max_fails = number(value)
        elif key == "fail_timeout" and equals:
            server.fail_timeout_ms = max(1, milliseconds(value))
        elif key == "slow_start" and equals:
            server.slow_start_ms = milliseconds(value)
        else:
            raise ValueError(f"no such parameter: {word!r}")

    def _option(self, at: Directive, partner: Partner) -> None:
        ledger, words = self.ledger, at.args
        if at.name == "least_conn":
            partner.method = "least_conn"
            ledger.imported(at)
        elif at.name == "least_time":
            partner.method = "least_conn"
            ledger.changed(at, "least_conn: the time of answers is the decision module's matter")
        elif at.name == "ip_hash":
            partner.method, partner.hash_on = "hash", "tenant"
            ledger.changed(at, "by the tenant of a message: its sender's address is not known")
        elif at.name == "hash" and words:
            partner.method = "consistent_hash" if "consistent" in words[1:] else "hash"
            partner.hash_on = HASH_ON.get(words[0].strip("${}"), "tenant")
            if words[0].strip("${}") not in HASH_ON:
                ledger.changed(at, f"by the tenant of a message in place of {words[0]}")
            ledger.imported(at)
        elif at.name == "random":
            partner.method = "random_two" if words[:1] == ("two",) else "random"
            ledger.imported(at)
            if len(words) > 1 and words[1] != "least_conn":
                ledger.changed(at, f"least_conn in place of {words[1]}")
        elif at.name in ("keepalive", "keepalive_time", "keepalive_requests"):
            ledger.changed(at, OWN_RULES)
        elif at.name == "keepalive_timeout":
            self._keepalive_timeout(at)
        elif at.name == "zone":
            ledger.changed(at, "a courier is one process: nothing is shared")

    def _keepalive_timeout(self, at: Directive) -> None:
        try:
            self.found.idle_ms.append(milliseconds(at.args[0] if at.args else ""))
        except ValueError as error:
            self._refuse(at, f"keepalive_timeout: {error}")
        self.ledger.imported(at)
        if len(set(self.found.idle_ms)) > 1:
            self.ledger.changed(at, "the least of all holds for the courier")

    def _finish(self, name: str, partner: Partner) -> None:
        """Add an upstream's partner, unless it duplicates another or has no usable server."""
        ledger, block = self.ledger, partner.at
        if partner.method in METHODS_WITHOUT_BACKUP and any(
            s.backup or s.slow_start_ms for s in partner.servers
        ):
            self._refuse(
                block, f"backup and slow_start can't be used with {partner.method.replace('_', ' ')}"
            )
        rows = {s.address: s for s in partner.servers}
        owners = {self.owners[a] for a in rows if a in self.owners}
        for owner in owners:
            other = self.found.partners[owner]
            if other.servers == partner.servers and (other.method, other.hash_on) == (
                partner.method,
                partner.hash_on,
            ):
                self.same[name] = owner
                ledger.changed(
                    block, f"is the same partner as {other.name}: waits and outages are theirs together"
                )
                return
        for child in block.children("server"):
            where = self._where(child)
            if where in rows and where in self.owners:
                ledger.left(
                    child,
                    f"is an endpoint of {self.found.partners[self.owners[where]].name} already: an "
                    "endpoint belongs to one partner, whose waits and limits it shares",
                )
                partner.servers = [s for s in partner.servers if s.address != where]
        if not partner.servers:
            ledger.changed(block, "no server of it was imported: there is no such partner")
            return
        if all(s.down for s in partner.servers):
            ledger.changed(block, "all its servers are down: there is no such partner")
            return
        self._add(name, partner)
        self.owners.update(dict.fromkeys((s.address for s in partner.servers), name))

    @staticmethod
    def _where(at: Directive) -> str:
        try:
            return joined(*address(at.args[0])) if at.args else ""
        except ValueError:
            return ""
