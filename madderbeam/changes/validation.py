"""Validates a snapshot by itself, and a change against the state of the running courier.

`validate` has every rule of the estate's model that spans several values (config/check.py and
config/partners.py check the same rules at render time). `runtime_errors` checks the runtime state.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from madderbeam.changes import errors
from madderbeam.changes.document import short_list
from madderbeam.changes.values import READY, Change, Endpoint, Key, RuntimeState, Settings, Snapshot

MAX_ROWS = {"class": 64, "tenant": 1_000, "kind": 64, "endpoint": 100_000, "pool": 10_000, "name": 10_000}
MAX_WINDOW_SHARE = 0.75  # of the call slots, for one destination
MIN_PENDING_MESSAGE_BYTES = 700  # on disk


def validate(snapshot: Snapshot, touched: Iterable[Key] = ()) -> list[errors.ChangeError]:
    """Return all errors of a snapshot. `touched`: rows that an error names first if two rows conflict."""
    found_errors: list[errors.ChangeError] = []
    touched_keys = frozenset(touched)
    for rule in (_check_sizes, _check_classes, _check_tenants, _check_limits, _check_routing, _check_quota):
        found_errors += rule(snapshot)
    return [*found_errors, *_check_endpoints(snapshot, touched_keys)]


def _check_sizes(snapshot: Snapshot) -> Iterator[errors.ChangeError]:
    for section, max_rows in MAX_ROWS.items():
        if len(snapshot.sections[section]) > max_rows:
            yield errors.TooMany(
                section, f"{len(snapshot.sections[section])} with those taken away", f"at most {max_rows}"
            )


def _check_endpoints(snapshot: Snapshot, touched: frozenset[Key]) -> Iterator[errors.ChangeError]:
    first_by_dest: dict[int, Endpoint] = {}
    first_by_address: dict[str, Endpoint] = {}
    known_kinds = frozenset(snapshot.active_names("kind"))
    for row in snapshot.endpoints.values():
        path = f"endpoint {row.uid}"
        if row.kind not in known_kinds:
            yield errors.Unknown(f"{path}.kind", f"no kind {row.kind!r}", short_list(known_kinds))
        same_dest = first_by_dest.setdefault(row.dest, row)
        if same_dest.kind != row.kind:
            reported, other = _reported_first(same_dest, row, touched)
            yield errors.Broken(
                f"endpoint {reported.uid}.kind",
                f"{reported.kind!r} where {other.uid} of the same destination {row.dest} "
                f"is of {other.kind!r}",
                "one kind a destination",
            )
        if row.state != READY:
            continue
        same_address = first_by_address.setdefault(row.address, row)
        if same_address is not row:
            reported, other = _reported_first(same_address, row, touched)
            yield errors.Broken(
                f"endpoint {reported.uid}.address",
                f"{other.uid} has the endpoint {row.address}",
                "one endpoint in service an address",
            )


def _reported_first(first: Endpoint, second: Endpoint, touched: frozenset[Key]) -> tuple[Endpoint, Endpoint]:
    """Return both rows, first the one that the error names: the one that the change touches."""
    return (
        (first, second)
        if ("endpoint", first.uid) in touched and ("endpoint", second.uid) not in touched
        else (second, first)
    )


def _check_classes(snapshot: Snapshot) -> Iterator[errors.ChangeError]:
    names = snapshot.active_names("class")
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


def _check_tenants(snapshot: Snapshot) -> Iterator[errors.ChangeError]:
    total_share = sum(snapshot.get(("tenant", name))["share"] for name in snapshot.active_names("tenant"))
    if total_share > 1 + 1e-9:
        yield errors.Broken("tenants", f"shares add up to {total_share:.1%}", "at most 100%")


def _check_limits(snapshot: Snapshot) -> Iterator[errors.ChangeError]:
    limits: Mapping[str, Any] = dict(snapshot.sections["limit"].items())
    fixed: Mapping[str, Any] = dict(snapshot.sections["fixed"].items())
    retry_base_ms, retry_cap_ms = limits.get("retry_base_ms", 0), limits.get("retry_cap_ms", 0)
    if retry_cap_ms < retry_base_ms:
        yield errors.Broken(
            "limits.retry_cap_ms",
            f"{retry_cap_ms} is under retry_base_ms {retry_base_ms}",
            "at least retry_base_ms",
        )
    max_window = max(1, int(MAX_WINDOW_SHARE * fixed.get("slots", 1 << 20)))
    if limits.get("window", 1) > max_window:
        yield errors.Broken(
            "limits.window",
            f"{limits['window']} is over three quarters of {fixed['slots']} slots",
            f"a whole number from 1 to {max_window}",
        )
    max_pending = int(fixed.get("disk_bytes", 1 << 60) / MIN_PENDING_MESSAGE_BYTES)
    if limits.get("max_held", 0) > max_pending:
        yield errors.Broken(
            "limits.max_held",
            f"{limits['max_held']} is more than the disk's limit has room for",
            f"at most {max_pending}, with bodies of no size",
        )


def routing_config(snapshot: Snapshot) -> dict[str, Any] | None:
    """Return pools, routes and names in the format of the routing package; None if there are none."""
    pools = dict(snapshot.sections["pool"].items())
    names = dict(snapshot.sections["name"].items())
    routes = snapshot.get(("whole", "routes"))
    if not pools and not names and not routes:
        return None
    return {"form": 1, "pools": pools, "names": names, "routes": list(routes or ())}


def _check_routing(snapshot: Snapshot) -> Iterator[errors.ChangeError]:
    config = routing_config(snapshot)
    if config is None:
        return
    try:
        from madderbeam.routing.router import Router, RoutingError
    except ImportError:
        yield errors.NeedsRestart(
            "routes", "routes and pools need the extra `routing`", "pip install 'madderbeam[routing]'"
        )
        return
    try:
        Router(0).configure(config)
    except (RoutingError, ValueError, TypeError, KeyError, AttributeError) as error:
        path, _, reason = str(error).partition(": ")
        yield errors.Broken(path, reason or str(error), "see the page on routing")
    dests = {row.dest for row in snapshot.endpoints.values()}
    for name, number in snapshot.sections["name"].items():
        if number not in dests:
            yield errors.Broken(
                f"names.{name}", f"no endpoint is of destination {number}", short_list(map(str, dests))
            )


def _check_quota(snapshot: Snapshot) -> Iterator[errors.ChangeError]:
    config = snapshot.get(("whole", "quota"))
    if not config:
        return
    from madderbeam.quota.admission import QuotaAdmission, QuotaError

    try:
        QuotaAdmission(config, 0, random.Random(0), 1)
        nodes = list(config["nodes"])
    except QuotaError as error:
        yield errors.Broken("quota", str(error).removeprefix("quota: "), "a tree that adds up")
        return
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        yield errors.Broken("quota", f"can't be used: {error!r}", "a table with form, couriers and nodes")
        return
    for number, node in enumerate(nodes):
        for table, section in (("tenants", "tenant"), ("classes", "class")):
            known = snapshot.active_names(section)
            for name in node.get(table, ()):
                if name not in known:
                    yield errors.Unknown(
                        f"quota.nodes[{number}].{table}", f"no {section} {name!r}", short_list(known)
                    )


def restart_errors(snapshot: Snapshot, change: Change) -> Iterator[errors.ChangeError]:
    """Yield errors for settings that this courier can't change while it runs."""
    if snapshot.get(("fixed", "kafka")):
        for section, name in change.ops:
            if section in ("class", "tenant"):
                yield errors.NeedsRestart(
                    f"{section} {name}",
                    "Kafka clients have been told the classes and tenants",
                    "a courier with no Kafka front",
                )
    if snapshot.get(("fixed", "share")) and ("whole", "quota") in change.ops:
        yield errors.NeedsRestart("quota", "the site's couriers share it", "a courier that shares nothing")


# Runtime state


def _ready_counts(snapshot: Snapshot) -> tuple[dict[int, int], set[int]]:
    """Return the count of endpoints in service by destination, and all destinations."""
    ready_by_dest: dict[int, int] = {}
    dests = set()
    for row in snapshot.endpoints.values():
        dests.add(row.dest)
        if row.state == READY:
            ready_by_dest[row.dest] = ready_by_dest.get(row.dest, 0) + 1
    return ready_by_dest, dests


def runtime_errors(
    before: Snapshot, after: Snapshot, change: Change, runtime_state: RuntimeState, settings: Settings
) -> list[errors.LiveError]:
    """Return the conflicts with the runtime state, without those that the change accepts."""
    return [
        error
        for error in _all_runtime_errors(before, after, change, runtime_state, settings)
        if error.code not in change.accepted_codes
    ]


def _all_runtime_errors(
    before: Snapshot, after: Snapshot, change: Change, runtime_state: RuntimeState, settings: Settings
) -> Iterator[errors.LiveError]:
    touched_dests = {
        row.dest
        for key in change.keys
        if key[0] == "endpoint"
        for row in (before.get(key), after.get(key))
        if row is not None
    }
    if not touched_dests:
        return
    ready_before, _ = _ready_counts(before)
    ready_after, dests = _ready_counts(after)
    for dest in sorted(touched_dests):
        pending, in_flight = runtime_state.pending.get(dest, 0), runtime_state.in_flight.get(dest, 0)
        if dest not in dests and (pending or in_flight):
            yield errors.Orphans(
                f"destination {dest}",
                f"would go with {pending} messages held and {in_flight} calls out",
                "a destination for which nothing is held",
            )
        elif (
            dest in dests and not ready_after.get(dest) and ready_before.get(dest) and (pending or in_flight)
        ):
            yield errors.NothingReady(
                f"destination {dest}",
                f"no endpoint would be in service, with {pending} messages held and {in_flight} calls out",
                "one in service, at least",
            )
        elif in_flight and ready_after.get(dest, 0) < settings.left_share * min(
            ready_before.get(dest, 0), in_flight
        ):
            yield errors.LittleLeft(
                f"destination {dest}",
                f"{ready_after.get(dest, 0)} of {ready_before[dest]} endpoints would be in service, "
                f"with {in_flight} calls out",
                f"at least {settings.left_share:.0%} of them",
            )
