"""All that a partner list says of itself: partners, their pools, routes."""

from __future__ import annotations

from madderbeam.config import model as m
from madderbeam.config.addresses import split_address
from madderbeam.config.report import Report, like, some
from madderbeam.config.source import Key, Source


def _partners(partners: m.Partners, source: Source, report: Report) -> None:
    numbers: dict[int, str] = {}
    names: set[str] = set()
    owners: dict[tuple[str, int], str] = {}
    numbered = source.numbers(("partner",), len(partners.partner))
    for index, partner in zip(numbered, partners.partner, strict=False):
        at: Key = ("partner", index)
        if partner.name in names:
            report.add(source, (*at, "name"), f"{partner.name!r} stands twice", "each once")
        names.add(partner.name)
        if partner.number in numbers:
            report.add(
                source,
                (*at, "number"),
                f"{numbers[partner.number]} has number {partner.number}",
                "a number of its own",
            )
        numbers.setdefault(partner.number, partner.name)
        if partner.kind not in partners.kinds:
            report.add(
                source,
                (*at, "kind"),
                f"no kind {partner.kind!r}",
                some(partners.kinds),
                like(partner.kind, partners.kinds),
            )
        for n, endpoint in enumerate(partner.endpoints):
            text = endpoint if isinstance(endpoint, str) else endpoint.address
            address = split_address(text)
            here = (*at, "endpoints", n)
            if address is None:
                report.add(source, here, f"can't be {text!r}", "HOST:PORT with a port from 1 to 65535")
            elif owner := owners.get(address):
                mine = "this partner" if owner == partner.name else owner
                report.add(source, here, f"{mine} has the endpoint {text} already", "one partner an endpoint")
            else:
                owners[address] = partner.name


def partner_list(partners: m.Partners, source: Source, report: Report) -> None:
    """All that a partner list says of itself."""
    _partners(partners, source, report)
    _pools(partners, source, report)
    if partners.route:
        _routes(partners, source, report)


def _pools(partners: m.Partners, source: Source, report: Report) -> None:
    """What can't be together in a pool."""
    numbered = source.numbers(("partner",), len(partners.partner))
    for index, partner in zip(numbered, partners.partner, strict=False):
        at: Key = ("partner", index)
        tables = [(n, e) for n, e in enumerate(partner.endpoints) if isinstance(e, m.Endpoint)]
        method = partner.pool.method if partner.pool else "round_robin"
        for n, e in tables:
            here = (*at, "endpoints", n)
            if method not in ("round_robin", "least_conn"):
                for name in ("backup", "slow_start_ms"):
                    if getattr(e, name):
                        report.add(
                            source,
                            here,
                            f"{name} does not go with the method {method}",
                            "with round_robin and least_conn only",
                        )
            if e.backup and e.down:
                report.add(source, here, "backup and down", "one of them")
            if (e.fail_timeout_ms or e.slow_start_ms) and not e.max_fails:
                report.add(
                    source,
                    here,
                    "fail_timeout_ms or slow_start_ms without max_fails",
                    "max_fails from 1 to 1000 beside them",
                )
        if len(tables) == len(partner.endpoints) and all(e.down for _, e in tables):
            report.add(source, at, "all of its endpoints are down", "one that is not, at least")


def _routes(partners: m.Partners, source: Source, report: Report) -> None:
    """Routes lead somewhere, stand once, and their expressions can be run."""
    numbered = source.numbers(("route",), len(partners.route))
    names = [p.name for p in partners.partner]
    seen: dict[tuple[object, ...], int] = {}
    for index, route in zip(numbered, partners.route, strict=False):
        at: Key = ("route", index)
        if route.partner and route.partner not in names:
            report.add(
                source,
                (*at, "partner"),
                f"no partner {route.partner!r}",
                some(names),
                like(route.partner, names),
            )
        try:
            text = _compiles(route)
        except ImportError:
            report.add(source, at, "routes need the extra `routing`", "pip install 'madderbeam[routing]'")
            return
        if text:
            report.add(source, (*at, "text"), text, "as nginx's locations; expressions of RE2")
        if route.match not in ("~", "~*"):
            key = (route.on, tuple(route.host), route.match == "=", route.text)
            if key in seen:
                report.add(source, at, f"matches as route[{seen[key]}] does", "each once")
            seen.setdefault(key, index)
        if route.host and route.on != "path":
            report.add(source, (*at, "host"), f"a route on {route.on} has no host", 'with on = "path" only')
        if route.on == "path" and route.match not in ("~", "~*") and not route.text.startswith("/"):
            report.add(source, (*at, "text"), f"{route.text!r} is no path", "text that begins with /")


def _compiles(route: m.Route) -> str:
    """What is wrong with a route by itself, '' if nothing is."""
    from madderbeam.routing.host_matcher import HostError, HostMatcher
    from madderbeam.routing.routes import Match, Route, RouteError, RouteMatcher

    try:
        HostMatcher([route.host])
        RouteMatcher([Route(Match(route.match), route.text, "p")])
    except HostError as error:
        return str(error)
    except RouteError as error:
        return str(error).partition(": text: ")[2] or str(error)
    return ""
