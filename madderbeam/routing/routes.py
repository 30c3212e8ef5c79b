"""From a name (a destination's, a class's, a path header's) to a route, in nginx's order of matches.

The order is that of the public documentation, ngx_http_core_module, directive `location`: an exact match ends
the search; else the longest prefix is remembered; unless that one is preferential (`^~`), regular expressions
are tried as they were written, and the first that matches counts; else the remembered prefix does.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import re2

LONGEST_PATTERN = 1000  # characters
PATTERN_BYTES = 1 << 20  # of memory that one compiled pattern may take


class RouteError(ValueError):
    """A route that can't be used; one line that names it."""


class Match(Enum):
    """How a route's text is held against a name; the values are nginx's modifiers."""

    EXACT = "="
    PREFIX = ""
    PREFERENTIAL = "^~"  # a prefix: where it is the longest, no regular expression is tried
    REGEX = "~"
    REGEX_ANY_CASE = "~*"


REGEXES = (Match.REGEX, Match.REGEX_ANY_CASE)


@dataclass(frozen=True, slots=True)
class Route:
    """What matches `text` in this way goes to `pool`. RouteError for an empty pool, or an empty text that
    is not a prefix."""

    match: Match
    text: str
    pool: str

    def __post_init__(self) -> None:
        if not self.pool:
            raise RouteError(f"route {self.text!r}: pool: must be a name")
        if not self.text and self.match is not Match.PREFIX:
            raise RouteError("route: text: may be empty for a plain prefix only")


class Routes:
    """Routes, compiled once. A look-up's cost grows with the prefixes' different lengths and with the regular
    expressions, not with the other routes; each expression takes time linear in the name (RE2), so that none
    can hang the loop."""

    def __init__(self, routes: Iterable[Route]) -> None:
        """RouteError for two that match alike, and for a pattern that RE2 can't run in linear time."""
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
        """The route that the name takes, None if it has none."""
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
    """The expression of a route; RouteError if RE2 can't run it."""
    if len(route.text) > LONGEST_PATTERN:
        raise RouteError(f"route {route.text[:40]!r}...: text: must be {LONGEST_PATTERN} characters at most")
    options = re2.Options()
    options.case_sensitive = route.match is Match.REGEX
    options.max_mem = PATTERN_BYTES
    options.log_errors = False
    try:
        return re2.compile(route.text, options)
    except re2.error as error:
        why = error.args[0].decode() if isinstance(error.args[0], bytes) else str(error)
        raise RouteError(
            f"route {route.text!r}: text: must be an expression of RE2 (no look-around, no "
            f"references back): {why}"
        ) from None
