"""Whether a snapshot holds by itself, and whether a change may be made in a courier as it is now.

`whole` has every rule of the estate's model that concerns more than one value (config/check.py and
config/partners.py hold the same at render time). `live` has what only the running courier can tell.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from madderbeam.changes import errors
from madderbeam.changes.document import some
from madderbeam.changes.values import READY, Change, Endpoint, Facts, Key, Settings, Snapshot

MOST = {"class": 64, "tenant": 1_000, "kind": 64, "endpoint": 100_000, "pool": 10_000, "name": 10_000}
WINDOW_SHARE = 0.75  # calls to one destination stay under this share of the slots
HELD_BYTES = 700  # of disk that one held message takes at least


def whole(snapshot: Snapshot, touched: Iterable[Key] = ()) -> list[errors.ChangeError]:
    """All that is wrong with a snapshot. `touched`: the rows that are told of where two of them clash."""
    found: list[errors.ChangeError] = []
    keys = frozenset(touched)
    for rule in (_sizes, _classes, _tenants, _limits, _routing, _quota):
        found += rule(snapshot)
    return [*found, *_endpoints(snapshot, keys)]


def _sizes(snapshot: Snapshot) -> Iterator[errors.ChangeError]:
    for section, most in MOST.items():
        if len(snapshot.sections[section]) > most:
            yield errors.TooMany(
                section, f"{len(snapshot.sections[section])} with those taken away", f"at most {most}"
            )


def _endpoints(snapshot: Snapshot, touched: frozenset[Key]) -> Iterator[errors.ChangeError]:
    kinds: dict[int, Endpoint] = {}
    places: dict[str, Endpoint] = {}
    known = frozenset(snapshot.names("kind"))
    for row in snapshot.endpoints.values():
        at = f"endpoint {row.uid}"
        if row.kind not in known:
            yield errors.Unknown(f"{at}.kind", f"no kind {row.kind!r}", some(known))
        first = kinds.setdefault(row.dest, row)
        if first.kind != row.kind:
            mine, other = _told(first, row, touched)
            yield errors.Broken(
                f"endpoint {mine.uid}.kind",
                f"{mine.kind!r} where {other.uid} of the same destination {row.dest} is of {other.kind!r}",
                "one kind a destination",
            )
        if row.state != READY:
            continue
        last = places.setdefault(row.address, row)
        if last is not row:
            mine, other = _told(last, row, touched)
            yield errors.Broken(
                f"endpoint {mine.uid}.address",
                f"{other.uid} has the endpoint {row.address}",
                "one endpoint in service an address",
            )


def _told(a: Endpoint, b: Endpoint, touched: frozenset[Key]) -> tuple[Endpoint, Endpoint]:
    """Which of two is to be told: the one that the change touches."""
    return (a, b) if ("endpoint", a.uid) in touched and ("endpoint", b.uid) not in touched else (b, a)


def _classes(snapshot: Snapshot) -> Iterator[errors.ChangeError]:
    names = snapshot.names("class")
    if not names:
        yield errors.Broken("classes", "none is left", "at least one")
    for name in names:
        row = snapshot.get(("class", name))
        if row["deadline_ms"] < row["wanted_ms"]:
            yield errors.Broken(
                f"class {name}.deadline_ms",
                f"{row['deadline_ms']} is under wanted_ms {row['wanted_ms']}",
                "at least wanted_ms",
            )
        if row["repeat"] == "keyed" and not row["key_window_ms"]:
            yield errors.Broken(
                f"class {name}.key_window_ms",
                "lacks, and the class is keyed",
                "a whole number from 1 to 86400000",
            )
        if row["repeat"] != "keyed" and row["key_window_ms"]:
            yield errors.Broken(
                f"class {name}.key_window_ms",
                f"the class is {row['repeat']}, not keyed",
                "only where repeat is keyed",
            )


def _tenants(snapshot: Snapshot) -> Iterator[errors.ChangeError]:
    shares = sum(snapshot.get(("tenant", name))["share"] for name in snapshot.names("tenant"))
    if shares > 1 + 1e-9:
        yield errors.Broken("tenants", f"shares add up to {shares:.1%}", "at most 100%")


def _limits(snapshot: Snapshot) -> Iterator[errors.ChangeError]:
    limit: Mapping[str, Any] = dict(snapshot.sections["limit"].items())
    fixed: Mapping[str, Any] = dict(snapshot.sections["fixed"].items())
    base, cap = limit.get("retry_base_ms", 0), limit.get("retry_cap_ms", 0)
    if cap < base:
        yield errors.Broken(
            "limits.retry_cap_ms", f"{cap} is under retry_base_ms {base}", "at least retry_base_ms"
        )
    most = max(1, int(WINDOW_SHARE * fixed.get("slots", 1 << 20)))
    if limit.get("window", 1) > most:
        yield errors.Broken(
            "limits.window",
            f"{limit['window']} is over three quarters of {fixed['slots']} slots",
            f"a whole number from 1 to {most}",
        )
    room = int(fixed.get("disk_bytes", 1 << 60) / HELD_BYTES)
    if limit.get("max_held", 0) > room:
        yield errors.Broken(
            "limits.max_held",
            f"{limit['max_held']} is more than the disk's limit has room for",
            f"at most {room}, with bodies of no size",
        )


def routing(snapshot: Snapshot) -> dict[str, Any] | None:
    """Pools, routes and names in routing's form; None where there are none."""
    pools = dict(snapshot.sections["pool"].items())
    names = dict(snapshot.sections["name"].items())
    routes = snapshot.get(("whole", "routes"))
    if not pools and not names and not routes:
        return None
    return {"form": 1, "pools": pools, "names": names, "routes": list(routes or ())}


def _routing(snapshot: Snapshot) -> Iterator[errors.ChangeError]:
    raw = routing(snapshot)
    if raw is None:
        return
    try:
        from madderbeam.routing.router import Router, RoutingError
    except ImportError:
        yield errors.NeedsRestart(
            "routes", "routes and pools need the extra `routing`", "pip install 'madderbeam[routing]'"
        )
        return
    try:
        Router(0).configure(raw)
    except (RoutingError, ValueError, TypeError, KeyError, AttributeError) as error:
        path, _, what = str(error).partition(": ")
        yield errors.Broken(path, what or str(error), "see the page on routing")
    dests = {row.dest for row in snapshot.endpoints.values()}
    for name, number in snapshot.sections["name"].items():
        if number not in dests:
            yield errors.Broken(
                f"names.{name}", f"no endpoint is of destination {number}", some(map(str, dests))
            )


def _quota(snapshot: Snapshot) -> Iterator[errors.ChangeError]:
    raw = snapshot.get(("whole", "quota"))
    if not raw:
        return
    from madderbeam.quota.admission import QuotaAdmission, QuotaError

    try:
        QuotaAdmission(raw, 0, random.Random(0), 1)
        nodes = list(raw["nodes"])
    except QuotaError as error:
        yield errors.Broken("quota", str(error).removeprefix("quota: "), "a tree that adds up")
        return
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        yield errors.Broken("quota", f"can't be used: {error!r}", "a table with form, couriers and nodes")
        return
    for n, node in enumerate(nodes):
        for what, section in (("tenants", "tenant"), ("classes", "class")):
            known = snapshot.names(section)
            for name in node.get(what, ()):
                if name not in known:
                    yield errors.Unknown(f"quota.nodes[{n}].{what}", f"no {section} {name!r}", some(known))


def bound(on: Snapshot, change: Change) -> Iterator[errors.ChangeError]:
    """What this courier can't change while it runs."""
    if on.get(("fixed", "kafka")):
        for section, name in change.ops:
            if section in ("class", "tenant"):
                yield errors.NeedsRestart(
                    f"{section} {name}",
                    "Kafka clients have been told the classes and tenants",
                    "a courier with no Kafka front",
                )
    if on.get(("fixed", "share")) and ("whole", "quota") in change.ops:
        yield errors.NeedsRestart("quota", "the site's couriers share it", "a courier that shares nothing")


# What only the running courier knows


def _serving(snapshot: Snapshot) -> tuple[dict[int, int], set[int]]:
    """Endpoints in service by destination, and all destinations."""
    ready: dict[int, int] = {}
    dests = set()
    for row in snapshot.endpoints.values():
        dests.add(row.dest)
        if row.state == READY:
            ready[row.dest] = ready.get(row.dest, 0) + 1
    return ready, dests


def live(
    before: Snapshot, after: Snapshot, change: Change, facts: Facts, settings: Settings
) -> list[errors.LiveError]:
    """What stands against the change now, but for what its author has accepted."""
    return [e for e in _live(before, after, change, facts, settings) if e.code not in change.accept]


def _live(
    before: Snapshot, after: Snapshot, change: Change, facts: Facts, settings: Settings
) -> Iterator[errors.LiveError]:
    touched = {
        row.dest
        for key in change.keys
        if key[0] == "endpoint"
        for row in (before.get(key), after.get(key))
        if row is not None
    }
    if not touched:
        return
    had, _ = _serving(before)
    has, dests = _serving(after)
    for dest in sorted(touched):
        held, out = facts.held.get(dest, 0), facts.out.get(dest, 0)
        if dest not in dests and (held or out):
            yield errors.Orphans(
                f"destination {dest}",
                f"would go with {held} messages held and {out} calls out",
                "a destination for which nothing is held",
            )
        elif dest in dests and not has.get(dest) and had.get(dest) and (held or out):
            yield errors.NothingReady(
                f"destination {dest}",
                f"no endpoint would be in service, with {held} messages held and {out} calls out",
                "one in service, at least",
            )
        elif out and has.get(dest, 0) < settings.left_share * min(had.get(dest, 0), out):
            yield errors.LittleLeft(
                f"destination {dest}",
                f"{has.get(dest, 0)} of {had[dest]} endpoints would be in service, with {out} calls out",
                f"at least {settings.left_share:.0%} of them",
            )
