"""Matches a host name to a group of names, with the precedence of nginx's server names.

The precedence (ngx_http_core_module, `server_name`, and "Server names") is: the exact name; the longest
wildcard name that starts with an asterisk; the longest that ends with one; the first matching regular
expression (`~`) in the order written; else the default. A name that starts with a dot matches the domain
itself and its subdomains. Here the default is the group that contains "*"; there may be none.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

ANY = "*"


class HostError(ValueError):
    """An invalid host name pattern; the message is one line."""


class HostMatcher:
    """Compiled groups of names; a lookup costs the labels of the host plus the regular expressions."""

    def __init__(self, groups: Sequence[Sequence[str]]) -> None:
        """Compile the groups; a name that is in two groups belongs to the first, as in nginx.

        Raises HostError for an expression that RE2 rejects, or a wildcard within a name.
        """
        self.exact: dict[str, int] = {}
        self.leading: dict[str, int] = {}  # ".example.org" for *.example.org
        self.trailing: dict[str, int] = {}  # "www." for www.*
        self.patterns: list[tuple[Any, int]] = []
        self.default = -1
        for group, names in enumerate(groups):
            for name in names:
                self._add(name, group)

    def _add(self, name: str, group: int) -> None:
        if name == ANY:
            self.default = group if self.default < 0 else self.default
        elif name.startswith("~"):
            from madderbeam.routing.routes import Match, Route, RouteError, compiled

            try:
                self.patterns.append((compiled(Route(Match.REGEX, name[1:], "any")), group))
            except RouteError as error:
                raise HostError(f"host {name!r}: {error}") from None
        else:
            name = name.lower()
            plain = name.removeprefix("*").removesuffix("*")
            if not plain or "*" in plain:
                raise HostError(f"host {name!r}: an asterisk may stand at one end only, beside a dot")
            if name.startswith("*.") and not name.endswith("*"):
                self.leading.setdefault(name[1:], group)
            elif name.endswith(".*") and not name.startswith("*"):
                self.trailing.setdefault(name[:-1], group)
            elif "*" in name:
                raise HostError(f"host {name!r}: an asterisk may stand at one end only, beside a dot")
            elif name.startswith("."):
                self.exact.setdefault(name[1:], group)
                self.leading.setdefault(name, group)
            else:
                self.exact.setdefault(name, group)

    def find(self, host: str) -> int:
        """Return the index of the group that the host belongs to, -1 if there is none."""
        host = host.lower().rstrip(".")
        if host in self.exact:
            return self.exact[host]
        labels = host.split(".")
        for split in range(1, len(labels)):
            if (found := self.leading.get("." + ".".join(labels[split:]))) is not None:
                return found
        for split in range(len(labels) - 1, 0, -1):
            if (found := self.trailing.get(".".join(labels[:split]) + ".")) is not None:
                return found
        for pattern, group in self.patterns:
            if pattern.search(host):
                return group
        return self.default
