"""server and location blocks: routes by host and path."""

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

ALWAYS = ("error", "timeout", "invalid_header")  # failures, whatever proxy_next_upstream says
STATUS = {
    "http_500": "http_500",
    "http_502": "http_500",
    "http_504": "http_500",
    "http_503": "overload",
    "http_429": "overload",
}
MODIFIERS = ("=", "^~", "~*", "~")
MOST_ATTEMPTS = 12
PASSES = ("proxy_pass", "fastcgi_pass", "uwsgi_pass", "scgi_pass", "memcached_pass", "grpc_pass")


@dataclass(frozen=True)
class Scope:
    """What the directives around say for calls: as nginx's blocks inherit it."""

    next_upstream: tuple[str, ...] = ("error", "timeout")
    constants: Mapping[str, str] | None = None

    def set(self, name: str, value: str) -> Scope:
        return replace(self, constants={**(self.constants or {}), name: value})


class Servers:
    """Reads the server blocks of one http block."""

    def __init__(self, found: Found, upstreams: Upstreams, ledger: Ledger, wrong: list[Wrong]) -> None:
        self.found, self.upstreams, self.ledger, self.wrong = found, upstreams, ledger, wrong
        self.named: set[str] = set()  # by server_name

    # What blocks inherit

    def scope(self, block: Directive, outer: Scope) -> Scope:
        """The block's own directives on calls are read, each once; what holds within it."""
        inner = outer
        for at in block.block or ():
            if at.name == "proxy_next_upstream":
                self._next(at)
                inner = replace(inner, next_upstream=at.args)
            elif at.name == "proxy_next_upstream_tries":
                self._tries(at)
            elif at.name == "proxy_connect_timeout":
                self._connect(at)
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
        """A map or split_clients that says one value whatever comes."""
        rows = [row for row in at.block or () if row.name not in ("hostnames", "volatile", "include")]
        always = rows[0].name in ("default", "*") if len(rows) == 1 else False
        value = filled(rows[0].args[0], scope.constants or {}) if always and rows[0].args else None
        if value is None or len(at.args) != 2:
            self.ledger.leave_all(at, "its value depends on the request")
            return scope
        for each in at.walk():
            self.ledger.imported(each)
        return scope.set(at.args[1].lstrip("$"), value)

    def _next(self, at: Directive) -> None:
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

    def _tries(self, at: Directive) -> None:
        self.ledger.imported(at)
        try:
            tries = number(at.args[0] if at.args else "")
        except ValueError as error:
            self._refuse(at, f"proxy_next_upstream_tries: {error}")
            return
        if not 0 < tries <= MOST_ATTEMPTS:
            self.ledger.changed(at, f"a message has {MOST_ATTEMPTS} attempts at most")
        self.found.attempts.append(min(tries or MOST_ATTEMPTS, MOST_ATTEMPTS))
        if len(set(self.found.attempts)) > 1:
            self.ledger.changed(at, "the least of all holds for the courier")

    def _connect(self, at: Directive) -> None:
        self.ledger.imported(at)
        try:
            wait = milliseconds(at.args[0] if at.args else "")
        except ValueError as error:
            self._refuse(at, f"proxy_connect_timeout: {error}")
            return
        if not 10 <= wait <= 60_000:
            self.ledger.changed(at, "it is 10 ms to 60 s")
        self.found.connect_ms.append(min(60_000, max(10, wait)))
        if len(set(self.found.connect_ms)) > 1:
            self.ledger.changed(at, "the least of all holds for the courier")

    def _refuse(self, at: Directive, text: str) -> None:
        self.wrong.append(Wrong(at.file, at.line, text))

    # Servers

    def read(self, blocks: list[Directive], scope: Scope) -> None:
        """All server blocks; the first, or the one that says default_server, takes hosts that no other
        names."""
        names = [self._names(block) for block in blocks]
        default = next(
            (
                n
                for n, block in enumerate(blocks)
                if any("default_server" in x.args or "default" in x.args for x in block.children("listen"))
            ),
            0,
        )
        for n, (block, own) in enumerate(zip(blocks, names, strict=True)):
            self.ledger.imported(block)
            for at in block.children("listen"):
                self.ledger.changed(at, "clients hand messages in at the application's address")
            hosts = (*own, ANY) if n == default and ANY not in own else tuple(own)
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
                if not self._twice(at, name):
                    found.append(name)
        return found

    # Locations

    def _twice(self, at: Directive, name: str) -> bool:
        """Whether an earlier server has the name already."""
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
        """`outer`: modifier and text of the location around."""
        ledger = self.ledger
        how, text = _matched(at.args)
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
            how = "^~"  # the search in it ends before the expressions of the server
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
            and _matched(r.at.args)[1] != text
        ]
        for route in redirect:  # an exact location is what nginx's page advises against the redirect
            self.found.routes.remove(route)
            same.remove(route)
        if same:
            self._refuse(at, f"location {text!r} stands twice")
            return
        self.found.routes.append(Route(how, text, target, hosts, at))
        passes = any(at.children(name) for name in PASSES)  # also one that was not imported
        if passes and how in ("", "^~") and len(text) > 1 and text.endswith("/"):
            exact = [
                r for r in self.found.routes if r.host == hosts and r.match == "=" and r.text == text[:-1]
            ]
            if not exact:  # nginx answers with a redirect there
                self.found.routes.append(Route("=", text[:-1], "", hosts, at))

    def _target(self, at: Directive, scope: Scope) -> str:
        """The partner's name, '' if the location leads nowhere."""
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
        partner = self._passed(passes[0], scope)
        if partner is None:
            self.ledger.changed(at, "its proxy_pass was not imported: its paths lead nowhere")
            return ""
        self._used(partner, passes[0], scope)
        return partner.name

    def _passed(self, at: Directive, scope: Scope) -> Partner | None:
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

    def _used(self, partner: Partner, at: Directive, scope: Scope) -> None:
        """A route leads there: what counts as a failure is the partner's from now on."""
        if partner.used:
            if set(partner.used_as) != set(scope.next_upstream):
                self.ledger.changed(
                    at, f"proxy_next_upstream is that of the first location that leads to {partner.name}"
                )
            return
        partner.used, partner.used_as = True, scope.next_upstream
        more = [STATUS[word] for word in scope.next_upstream if word in STATUS]
        partner.fails_on = list(dict.fromkeys([*ALWAYS, *more]))


def _matched(args: tuple[str, ...]) -> tuple[str, str]:
    """A location's modifier and text; they may be written as one word."""
    if len(args) == 2 and args[0] in MODIFIERS:
        return args[0], args[1]
    if len(args) != 1:
        return "", ""
    for how in MODIFIERS:
        if args[0].startswith(how) and len(args[0]) > len(how):
            return how, args[0][len(how) :]
    return "", args[0]
