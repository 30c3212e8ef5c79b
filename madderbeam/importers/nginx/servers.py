"""Interprets server and location blocks as routes by host and path."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from madderbeam.importers.nginx.model import Found, Partner, Route
from madderbeam.importers.nginx.tree import Directive, Wrong
from madderbeam.importers.nginx.upstreams import Upstreams
from madderbeam.importers.nginx.values import address, filled, milliseconds, number, proxied
from madderbeam.importers.nginx.verdicts import Ledger
from madderbeam.routing.host_matcher import ANY, HostError, HostMatcher
from madderbeam.routing.routes import Match, RouteError, compiled
from madderbeam.routing.routes import Route as Pattern

ALWAYS = ("error", "timeout", "invalid_header")  # failures regardless of proxy_next_upstream
FAILURE_OF_STATUS = {
    "http_500": "http_500",
    "http_502": "http_500",
    "http_504": "http_500",
    "http_503": "overload",
    "http_429": "overload",
}
MODIFIERS = ("=", "^~", "~*", "~")
MAX_ATTEMPTS = 12
PASSES = ("proxy_pass", "fastcgi_pass", "uwsgi_pass", "scgi_pass", "memcached_pass", "grpc_pass")


@dataclass(frozen=True)
class Scope:
    """Settings for calls that a block inherits from the enclosing blocks."""

    next_upstream: tuple[str, ...] = ("error", "timeout")
    constants: Mapping[str, str] | None = None

    def set(self, name: str, value: str) -> Scope:
        """Return a copy with this constant set."""
        return replace(self, constants={**(self.constants or {}), name: value})


class Servers:
    """Interprets the server blocks of one http block."""

    def __init__(self, found: Found, upstreams: Upstreams, ledger: Ledger, wrong: list[Wrong]) -> None:
        self.found, self.upstreams, self.ledger, self.wrong = found, upstreams, ledger, wrong
        self.named: set[str] = set()  # server names so far, in lower case

    # Inherited settings

    def scope(self, block: Directive, outer: Scope) -> Scope:
        """Interpret the block's own directives for calls; return the settings that apply within it."""
        inner = outer
        for at in block.block or ():
            if at.name == "proxy_next_upstream":
                self._next_upstream(at)
                inner = replace(inner, next_upstream=at.args)
            elif at.name == "proxy_next_upstream_tries":
                self._next_upstream_tries(at)
            elif at.name == "proxy_connect_timeout":
                self._connect_timeout(at)
            elif at.name in ("map", "split_clients"):
                inner = self._constant(at, inner)
            elif at.name == "set" and len(at.args) == 2:
                value = filled(at.args[1], inner.constants or {})
                if value is not None:
                    inner = inner.set(at.args[0].lstrip("$"), value)
                    self.ledger.imported(at)
                else:
                    self.ledger.left(at, "its value depends on the request")
        return inner

    def _constant(self, at: Directive, scope: Scope) -> Scope:
        """Interpret a map or split_clients, which is imported if it has one value for every request."""
        rows = [row for row in at.block or () if row.name not in ("hostnames", "volatile", "include")]
        always = rows[0].name in ("default", "*") if len(rows) == 1 else False
        value = filled(rows[0].args[0], scope.constants or {}) if always and rows[0].args else None
        if value is None or len(at.args) != 2:
            self.ledger.leave_all(at, "its value depends on the request")
            return scope
        for each in at.walk():
            self.ledger.imported(each)
        return scope.set(at.args[1].lstrip("$"), value)

    def _next_upstream(self, at: Directive) -> None:
        self.ledger.imported(at)
        how = {
            "off": "a failed call is tried again as its class allows",
            "non_idempotent": "not carried over: what may have run is repeated only as its class allows",
            "http_403": "never counts as a failure",
            "http_404": "never counts as a failure",
            "http_502": "counts as http_500",
            "http_504": "counts as http_500",
            "http_503": "an overload is not tried elsewhere: the message is handed back",
            "http_429": "an overload is not tried elsewhere: the message is handed back",
        }
        for word in at.args:
            if word in how:
                self.ledger.changed(at, f"{word}: {how[word]}")
            elif word not in (*ALWAYS, "http_500"):
                self._refuse(at, f"proxy_next_upstream: no such case: {word!r}")

    def _next_upstream_tries(self, at: Directive) -> None:
        self.ledger.imported(at)
        try:
            attempts = number(at.args[0] if at.args else "")
        except ValueError as error:
            self._refuse(at, f"proxy_next_upstream_tries: {error}")
            return
        if not 0 < attempts <= MAX_ATTEMPTS:
            self.ledger.changed(at, f"a message has {MAX_ATTEMPTS} attempts at most")
        self.found.attempts.append(min(attempts or MAX_ATTEMPTS, MAX_ATTEMPTS))
        if len(set(self.found.attempts)) > 1:
            self.ledger.changed(at, "the least of all holds for the courier")

    def _connect_timeout(self, at: Directive) -> None:
        self.ledger.imported(at)
        try:
            timeout_ms = milliseconds(at.args[0] if at.args else "")
        except ValueError as error:
            self._refuse(at, f"proxy_connect_timeout: {error}")
            return
        if not 10 <= timeout_ms <= 60_000:
            self.ledger.changed(at, "it is 10 ms to 60 s")
        self.found.connect_ms.append(min(60_000, max(10, timeout_ms)))
        if len(set(self.found.connect_ms)) > 1:
            self.ledger.changed(at, "the least of all holds for the courier")

    def _refuse(self, at: Directive, text: str) -> None:
        self.wrong.append(Wrong(at.file, at.line, text))

    # Servers

    def read(self, blocks: list[Directive], scope: Scope) -> None:
        """Interpret all server blocks; the default server, or the first, takes all other hosts."""
        names = [self._names(block) for block in blocks]
        default = next(
            (
                index
                for index, block in enumerate(blocks)
                if any("default_server" in x.args or "default" in x.args for x in block.children("listen"))
            ),
            0,
        )
        for index, (block, own_names) in enumerate(zip(blocks, names, strict=True)):
            self.ledger.imported(block)
            for at in block.children("listen"):
                self.ledger.changed(at, "clients hand messages in at the application's address")
            hosts = (*own_names, ANY) if index == default and ANY not in own_names else tuple(own_names)
            if len(blocks) == 1:
                hosts = ()
            elif not hosts:
                self.ledger.changed(
                    block, "has no name of its own and is not the default: no message gets there"
                )
            before = len(self.found.routes)
            inner = self.scope(block, scope)
            if block.children("return"):
                self.ledger.changed(block, "answers with `return`: its paths lead nowhere")
                self.found.routes.append(Route("", "/", "", hosts, block))
                for at in block.children("location"):
                    self.ledger.leave_all(at, "the server answers with `return` ahead of any location")
            else:
                self._locations(block, inner, hosts, None)
            if not hosts and len(blocks) > 1:
                del self.found.routes[before:]

    def _names(self, block: Directive) -> list[str]:
        found: list[str] = []
        for at in block.children("server_name"):
            self.ledger.imported(at)
            for name in at.args:
                if name in ("", "_") or name.startswith("$"):
                    self.ledger.changed(at, f"{name!r} is no host that a message could name")
                    continue
                try:
                    HostMatcher([[name]])
                except HostError as error:
                    self.ledger.left(at, str(error))
                    continue
                if not self._is_duplicate(at, name):
                    found.append(name)
        return found

    # Locations

    def _is_duplicate(self, at: Directive, name: str) -> bool:
        """Whether an earlier server has the name; if not, the name is recorded."""
        if name.lower() not in self.named:
            self.named.add(name.lower())
            return False
        self.ledger.changed(
            at, f"{name!r} is an earlier server's already, perhaps at another port: that counts"
        )
        return True

    def _locations(
        self, block: Directive, scope: Scope, hosts: tuple[str, ...], outer: tuple[str, str] | None
    ) -> None:
        for at in block.children("location"):
            self._location(at, scope, hosts, outer)

    def _location(
        self, at: Directive, scope: Scope, hosts: tuple[str, ...], outer: tuple[str, str] | None
    ) -> None:
        """Interpret a location; `outer` is the modifier and text of the enclosing one."""
        ledger = self.ledger
        how, text = _modifier_and_text(at.args)
        if not text:
            self._refuse(at, "location needs a text")
            ledger.leave_all(at, "has no text")
            return
        why = ""
        if text.startswith("@") and not how:
            why = "a named location: only try_files and error_page lead there"
        elif outer and outer[0] in ("~", "~*"):
            why = "stands in a location by expression, which a route can't"
        elif outer and how in ("~", "~*"):
            why = "an expression that holds within another location only, which a route can't say"
        elif outer and (outer[0] == "=" or not text.startswith(outer[1])):
            self._refuse(at, f"location {text!r} is outside of {outer[1]!r}")
            why = "is outside of the location around it"
        elif how in ("~", "~*"):
            try:
                compiled(Pattern(Match(how), text, "any"))
            except RouteError as error:
                why = str(error).partition(": text: ")[2]
        elif not text.startswith("/"):
            why = "no path begins so"
        if why:
            ledger.leave_all(at, why)
            return
        ledger.imported(at)
        inner = self.scope(at, scope)
        target = self._target(at, inner)
        if outer and outer[0] == "^~" and not how:
            how = "^~"  # nginx doesn't try the server's expressions after a match within a ^~ location
        self._add(at, how, text, target, hosts)
        self._locations(at, inner, hosts, (how, text))

    def _add(self, at: Directive, how: str, text: str, target: str, hosts: tuple[str, ...]) -> None:
        same = [
            r
            for r in self.found.routes
            if r.host == hosts
            and r.text == text
            and how not in ("~", "~*")
            and (r.match == "=") == (how == "=")
            and r.match not in ("~", "~*")
        ]
        redirect = [
            r
            for r in same
            if r.at is not at
            and r.partner == ""
            and r.match == "="
            and how == "="
            and _modifier_and_text(r.at.args)[1] != text
        ]
        for route in redirect:  # nginx's documentation advises an exact location to avoid the redirect
            self.found.routes.remove(route)
            same.remove(route)
        if same:
            self._refuse(at, f"location {text!r} stands twice")
            return
        self.found.routes.append(Route(how, text, target, hosts, at))
        passes = any(at.children(name) for name in PASSES)  # including one that was not imported
        if passes and how in ("", "^~") and len(text) > 1 and text.endswith("/"):
            exact = [
                r for r in self.found.routes if r.host == hosts and r.match == "=" and r.text == text[:-1]
            ]
            if not exact:  # nginx redirects this path, so it has no target
                self.found.routes.append(Route("=", text[:-1], "", hosts, at))

    def _target(self, at: Directive, scope: Scope) -> str:
        """Return the name of the location's partner; '' if it has none."""
        passes = at.children("proxy_pass")
        if len(passes) > 1:
            self._refuse(passes[1], "proxy_pass stands twice")
        if not passes:
            self.ledger.changed(
                at, "has no proxy_pass: its paths lead nowhere, and messages for them are turned down"
            )
            return ""
        if at.children("return"):
            self.ledger.left(passes[0], "`return` answers before it")
            self.ledger.changed(at, "answers with `return`: its paths lead nowhere")
            return ""
        partner = self._proxied_partner(passes[0], scope)
        if partner is None:
            self.ledger.changed(at, "its proxy_pass was not imported: its paths lead nowhere")
            return ""
        self._mark_used(partner, passes[0], scope)
        return partner.name

    def _proxied_partner(self, at: Directive, scope: Scope) -> Partner | None:
        ledger = self.ledger
        if len(at.args) != 1:
            self._refuse(at, "proxy_pass needs one URL")
            ledger.left(at, "has no URL")
            return None
        url = filled(at.args[0], scope.constants or {})
        if url is None:
            ledger.left(at, "its variables depend on the request")
            return None
        try:
            scheme, host, port, uri = proxied(url)
        except ValueError as error:
            self._refuse(at, f"proxy_pass: {error}")
            ledger.left(at, str(error))
            return None
        if scheme != "http":
            ledger.left(
                at,
                "a Unix socket: endpoints are HOST:PORT"
                if scheme == "unix"
                else "https: partners are called over plain TCP",
            )
            return None
        if port is None and host in self.upstreams.names:
            partner = self.upstreams.partner(host)
            if partner is None:
                ledger.left(at, f"upstream {host!r} has no server that was imported")
        else:
            try:
                where = address(f"{host}:{port}" if port else host)
            except ValueError as error:
                self._refuse(at, f"proxy_pass: {error}")
                ledger.left(at, str(error))
                return None
            partner = self.upstreams.direct(*where, at)
            if partner is None:
                ledger.left(at, "its address is one of several of another partner")
        if partner is None:
            return None
        ledger.imported(at)
        if uri is not None:
            ledger.changed(at, f"the path is not rewritten to {uri!r}: calls go to /events")
        if at.args[0] != url:
            ledger.changed(at, f"its variables are constant: {url}")
        return partner

    def _mark_used(self, partner: Partner, at: Directive, scope: Scope) -> None:
        """Set the partner's failure conditions from the first route that targets it."""
        if partner.used:
            if set(partner.used_as) != set(scope.next_upstream):
                self.ledger.changed(
                    at, f"proxy_next_upstream is that of the first location that leads to {partner.name}"
                )
            return
        partner.used, partner.used_as = True, scope.next_upstream
        more = [FAILURE_OF_STATUS[word] for word in scope.next_upstream if word in FAILURE_OF_STATUS]
        partner.fails_on = list(dict.fromkeys([*ALWAYS, *more]))


def _modifier_and_text(args: tuple[str, ...]) -> tuple[str, str]:
    """Return a location's modifier and text, which may be written as one word; ('', '') if invalid."""
    if len(args) == 2 and args[0] in MODIFIERS:
        return args[0], args[1]
    if len(args) != 1:
        return "", ""
    for how in MODIFIERS:
        if args[0].startswith(how) and len(args[0]) > len(how):
            return how, args[0][len(how) :]
    return "", args[0]
