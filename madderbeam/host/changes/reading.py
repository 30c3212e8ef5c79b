"""A courier's configuration as a snapshot, and the other way round."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from madderbeam.changes.check import routing
from madderbeam.changes.machine import in_force as newest
from madderbeam.changes.records import Restored, restore
from madderbeam.changes.values import DRAINING, Endpoint, Key, Snapshot, blank
from madderbeam.config.platform import Config
from madderbeam.host.federation.durable_map import DurableMap
from madderbeam.policy.settings import DestinationKind, Idempotency, MessageClass, Settings, Tenant
from madderbeam.ports import Ports

REPEAT = {"safe": Idempotency.IDEMPOTENT, "keyed": Idempotency.WITH_KEY, "unsafe": Idempotency.NON_IDEMPOTENT}
NAMED = {effect: name for name, effect in REPEAT.items()}
BOUND = (("kafka", ("class", "tenant")), ("share", ("whole",)))  # what is fixed with it: see check.bound
FIRST = 1  # the version that a courier's file makes where nothing was kept


def folder(config: Config) -> str:
    """Where a courier keeps its versions: beside the journal's folder, whose limit is the journal's."""
    return config.state.rstrip("/") + "-changes"


def opened(config: Config, ports: Ports) -> DurableMap:
    """OSError if the folder can't be used."""
    return DurableMap(ports.disk, folder(config), bool(config.sidecar and config.sidecar.sync))


# From a file to a snapshot


def snapshot_of(config: Config) -> Snapshot:
    """What the file says."""
    rows: dict[Key, Any] = {}
    s = config.settings
    for n, c in enumerate(s.classes):
        rows["class", c.name] = {
            "wanted_ms": c.latency_objective_us // 1000,
            "deadline_ms": c.deadline_us // 1000,
            "repeat": NAMED[c.idempotency],
            "key_window_ms": c.key_window_us // 1000,
            "key_scope": c.key_scope,
            "worth": c.priority_weight,
            "late_share": c.late_value_share,
            "ordered": c.ordered,
            "number": n,
            "retired": False,
        }
    for n, t in enumerate(s.tenants):
        rows["tenant", t.name] = {
            "share": t.quota_share,
            "per_s": t.quota_per_s,
            "number": n,
            "retired": False,
        }
    for n, k in enumerate(s.kinds):
        rows["kind", k.name] = {
            "bundle": k.max_batch,
            "routes_apart": k.limits_per_endpoint,
            "number": n,
            "retired": False,
        }
    for target in config.known["targets"]:
        row = endpoint_of(target)
        rows["endpoint", row.uid] = row
    raw = config.known.get("routing") or {}
    rows |= {("pool", str(number)): pool for number, pool in raw.get("pools", {}).items()}
    rows |= {("name", name): number for name, number in raw.get("names", {}).items()}
    if raw.get("routes"):
        rows["whole", "routes"] = raw["routes"]
    if config.quota:
        rows["whole", "quota"] = config.quota
    rows |= {("limit", name): value for name, value in _limits(s).items()}
    return blank().with_rows(rows | fixed_of(config), FIRST)


def fixed_of(config: Config) -> dict[Key, Any]:
    """What only a restart changes, where rules need it."""
    found: dict[str, Any] = {"slots": config.settings.max_in_flight, "disk_bytes": config.disk_bytes}
    if config.kafka is not None:
        found["kafka"] = True
    if config.federation is not None and config.federation.share:
        found["share"] = True
    return {("fixed", name): value for name, value in found.items()}


def file_rows(config: Config, kept: Snapshot) -> dict[Key, Any]:
    """Rows that are the file's alone: what is fixed, and what this courier can't change while it runs, which
    counts from a start on whatever was kept."""
    fixed = fixed_of(config)
    bound = [s for mark, section in BOUND if ("fixed", mark) in fixed for s in section]
    if not bound:
        return fixed
    whole = snapshot_of(config)
    keys = {
        (s, name)
        for s in bound
        for side in (kept, whole)
        for name in side.sections[s]
        if (s != "whole" or name == "quota")
    }
    return fixed | {key: whole.get(key) for key in keys}


def endpoint_of(target: Mapping[str, Any]) -> Endpoint:
    """From discovery's form, as a rendered list has it."""
    return Endpoint(
        str(target["uid"]),
        int(target["pod_group"]),
        str(target["endpoint"]),
        float(target.get("capacity_hint") or 0),
        str(target.get("az") or "here"),
        str(target.get("model") or "plain"),
        str(target["state"]),
        str(target.get("topic") or ""),
        tuple(map(str, target.get("topics") or ())),
    )


def _limits(s: Settings) -> dict[str, int]:
    return {
        "max_held": s.max_pending,
        "attempts": min(s.attempts_per_message, s.max_attempts),
        "retry_base_ms": s.backoff_base_us // 1000,
        "retry_cap_ms": s.backoff_cap_us // 1000,
        "max_wait_ms": s.max_retry_after_us // 1000,
        "window": s.destination_window or max(1, int(0.75 * s.max_in_flight)),
    }


# From a snapshot to what a courier runs on


def target_of(row: Endpoint, state: str = "") -> dict[str, Any]:
    """In discovery's form."""
    return {
        "uid": row.uid,
        "endpoint": row.address,
        "az": row.zone,
        "model": row.kind,
        "pod_group": row.dest,
        "state": state or row.state,
        "capacity_hint": row.per_s,
        "boot_ms": 0,
        **({"topic": row.topic} if row.topic else {}),
        **({"topics": list(row.topics)} if row.topics else {}),
    }


def settings_of(base: Settings, snapshot: Snapshot) -> Settings:
    """The base with what the snapshot says. A class, tenant or kind that was taken away keeps its number."""

    def numbered(section: str) -> list[tuple[str, Mapping[str, Any]]]:
        return sorted(snapshot.sections[section].items(), key=lambda item: item[1]["number"])

    limit: Mapping[str, int] = dict(snapshot.sections["limit"].items())
    return replace(
        base,
        classes=tuple(
            MessageClass(
                name,
                c["wanted_ms"] * 1000,
                c["deadline_ms"] * 1000,
                REPEAT[c["repeat"]],
                c["worth"],
                c["late_share"],
                c["key_scope"],
                c["key_window_ms"] * 1000,
                c["ordered"],
            )
            for name, c in numbered("class")
        ),
        tenants=tuple(Tenant(name, t["share"], t["per_s"]) for name, t in numbered("tenant")),
        kinds=tuple(DestinationKind(name, k["routes_apart"], k["bundle"]) for name, k in numbered("kind")),
        max_pending=limit["max_held"],
        attempts_per_message=limit["attempts"],
        max_attempts=limit["attempts"],
        backoff_base_us=limit["retry_base_ms"] * 1000,
        backoff_cap_us=limit["retry_cap_ms"] * 1000,
        max_retry_after_us=limit["max_wait_ms"] * 1000,
        destination_window=limit["window"],
    )


def zones_of(base: tuple[str, ...], snapshot: Snapshot) -> tuple[str, ...]:
    """Those that have a number keep it."""
    return base + tuple(sorted({row.zone for row in snapshot.endpoints.values()} - set(base)))


def in_force(config: Config, ports: Ports) -> Config:
    """The file's configuration with what was last in force here, if anything was ever kept."""
    kept = opened(config, ports)
    try:
        restored = restore(kept.map)
    finally:
        kept.close()
    return config if restored is None else config_of(config, restored)


def config_of(config: Config, restored: Restored) -> Config:
    """An endpoint whose drain was heard is listed as draining; it comes in once that is over."""
    snapshot = newest(restored)
    snapshot = snapshot.with_rows(file_rows(config, snapshot), snapshot.version)
    targets = [
        target_of(row, DRAINING if uid in restored.drains else "") for uid, row in snapshot.endpoints.items()
    ]
    raw = routing(snapshot)
    return replace(
        config,
        settings=settings_of(config.settings, snapshot),
        zones=zones_of(config.zones, snapshot),
        quota=snapshot.get(("whole", "quota")) or None,
        known={"rev": 0, "targets": targets, **({"routing": raw} if raw else {})},
    )
