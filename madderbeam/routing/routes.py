"""Matches a name (of a destination or a class) or a path to a route, with nginx's precedence.

The precedence is that of the public documentation, ngx_http_core_module, directive `location`: an exact match
ends the search; else the longest prefix is remembered; unless that one is preferential (`^~`), the regular
expressions are tried in the order written, and the first match is used; else the remembered prefix is.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import re2

MAX_PATTERN_CHARS = 1000  # characters
MAX_PATTERN_BYTES = 1 << 20  # memory limit of one compiled pattern


class RouteError(ValueError):
    """An invalid route; the message is one line that names it."""


class Match(Enum):
    """How a route's text is compared with a name; the values are nginx's modifiers."""

    EXACT = "="
    PREFIX = ""
    PREFERENTIAL = "^~"  # a prefix; if it is the longest match, no regular expression is tried
    REGEX = "~"
    REGEX_ANY_CASE = "~*"


REGEXES = (Match.REGEX, Match.REGEX_ANY_CASE)


@dataclass(frozen=True, slots=True)
class Route:
    """Sends the names that match `text` to `pool`.

    Raises RouteError for an empty pool, or an empty text that is not a plain prefix.
    """

    match: Match
    text: str
    pool: str

    def __post_init__(self) -> None:
        if not self.pool:
            raise RouteError(f"route {self.text!r}: pool: must be a name")
        if not self.text and self.match is not Match.PREFIX:
            raise RouteError("route: text: may be empty for a plain prefix only")


class RouteMatcher:
    """Compiled routes.

    The cost of a lookup grows with the number of distinct prefix lengths and of regular expressions, not with
    the other routes. Each expression takes time linear in the name (RE2), so none can stall the event loop.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        """Compile the routes; RouteError for a duplicate, or a pattern that RE2 can't run."""
        self.exact: dict[str, Route] = {}
        self.prefixes: dict[str, Route] = {}
        self.patterns: list[tuple[Any, Route]] = []
        for route in routes:
            if route.match in REGEXES:
                self.patterns.append((compiled(route), route))
                continue
            table = self.exact if route.match is Match.EXACT else self.prefixes
            if route.text in table:
                raise RouteError(
                    f"route {route.text!r}: text: stands twice, for the pools "
                    f"{table[route.text].pool!r} and {route.pool!r}"
                )
            table[route.text] = route
        self.lengths = sorted({len(text) for text in self.prefixes}, reverse=True)

    def find(self, name: str) -> Route | None:
        """Return the route that the name matches, None if there is none."""
        if route := self.exact.get(name):
            return route
        prefix = self._longest(name)
        if prefix is not None and prefix.match is Match.PREFERENTIAL:
            return prefix
        for pattern, route in self.patterns:
            if pattern.search(name):
                return route
        return prefix

    def _longest(self, name: str) -> Route | None:
        for length in self.lengths:
            if length <= len(name) and (route := self.prefixes.get(name[:length])):
                return route
        return None


def compiled(route: Route) -> Any:
    """Return the compiled expression of a route; RouteError if RE2 can't run it."""
    if len(route.text) > MAX_PATTERN_CHARS:
        raise RouteError(
            f"route {route.text[:40]!r}...: text: must be {MAX_PATTERN_CHARS} characters at most"
        )
    options = re2.Options()
    options.case_sensitive = route.match is Match.REGEX
    options.max_mem = MAX_PATTERN_BYTES
    options.log_errors = False
    try:
        return re2.compile(route.text, options)
    except re2.error as error:
        reason = error.args[0].decode() if isinstance(error.args[0], bytes) else str(error)
        raise RouteError(
            f"route {route.text!r}: text: must be an expression of RE2 (no look-around, no "
            f"references back): {reason}"
        ) from None
