"""Converts a courier's configuration to a snapshot and back."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from madderbeam.changes.machine import active_snapshot as newest
from madderbeam.changes.records import RestoredState, restore
from madderbeam.changes.validation import routing_config
from madderbeam.changes.values import DRAINING, Endpoint, Key, Snapshot, empty_snapshot
from madderbeam.config.platform import Config
from madderbeam.host.federation.durable_map import DurableMap
from madderbeam.policy.settings import DestinationKind, Idempotency, MessageClass, Settings, Tenant
from madderbeam.ports import Ports

IDEMPOTENCY_BY_NAME = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.WITH_KEY,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
NAME_BY_IDEMPOTENCY = {idempotency: name for name, idempotency in IDEMPOTENCY_BY_NAME.items()}
# (setting of the `fixed` section, sections that come from the file at each start if that setting is on).
# validation.restart_errors rejects changes of these while the courier runs. Of `whole` only `quota` is meant.
RESTART_SECTIONS = (("kafka", ("class", "tenant")), ("share", ("whole",)))
FIRST_VERSION = 1  # of the snapshot of the file, if there are no records


def state_folder(config: Config) -> str:
    """Return the folder of the records, outside the journal's, whose size limit is for the journal alone."""
    return config.state.rstrip("/") + "-changes"


def open_store(config: Config, ports: Ports) -> DurableMap:
    """Open the store of the records; raises OSError if the folder can't be used."""
    return DurableMap(ports.disk, state_folder(config), bool(config.sidecar and config.sidecar.sync))


# File to snapshot


def snapshot_of(config: Config) -> Snapshot:
    """Return the snapshot of a courier's file."""
    rows: dict[Key, Any] = {}
    settings = config.settings
    for index, message_class in enumerate(settings.classes):
        rows["class", message_class.name] = {
            "wanted_ms": message_class.latency_objective_us // 1000,
            "deadline_ms": message_class.deadline_us // 1000,
            "repeat": NAME_BY_IDEMPOTENCY[message_class.idempotency],
            "key_window_ms": message_class.key_window_us // 1000,
            "key_scope": message_class.key_scope,
            "worth": message_class.priority_weight,
            "late_share": message_class.late_value_share,
            "ordered": message_class.ordered,
            "number": index,
            "retired": False,
        }
    for index, tenant in enumerate(settings.tenants):
        rows["tenant", tenant.name] = {
            "share": tenant.quota_share,
            "per_s": tenant.quota_per_s,
            "number": index,
            "retired": False,
        }
    for index, kind in enumerate(settings.kinds):
        rows["kind", kind.name] = {
            "bundle": kind.max_batch,
            "routes_apart": kind.limits_per_endpoint,
            "number": index,
            "retired": False,
        }
    for target in config.known["targets"]:
        row = endpoint_of(target)
        rows["endpoint", row.uid] = row
    routing = config.known.get("routing") or {}
    rows |= {("pool", str(number)): pool for number, pool in routing.get("pools", {}).items()}
    rows |= {("name", name): number for name, number in routing.get("names", {}).items()}
    if routing.get("routes"):
        rows["whole", "routes"] = routing["routes"]
    if config.quota:
        rows["whole", "quota"] = config.quota
    rows |= {("limit", name): value for name, value in _limit_rows(settings).items()}
    return empty_snapshot().with_rows(rows | restart_only_rows(config), FIRST_VERSION)


def restart_only_rows(config: Config) -> dict[Key, Any]:
    """Return the `fixed` section: settings that only a restart changes and that validation refers to.

    `slots`: attempts in flight at most; `disk_bytes`: the size limit of the journal; `kafka`: the courier
    serves Kafka clients; `share`: the couriers of the site share limits and findings.
    """
    values: dict[str, Any] = {"slots": config.settings.max_in_flight, "disk_bytes": config.disk_bytes}
    if config.kafka is not None:
        values["kafka"] = True
    if config.federation is not None and config.federation.share:
        values["share"] = True
    return {("fixed", name): value for name, value in values.items()}


def file_only_rows(config: Config, active: Snapshot) -> dict[Key, Any]:
    """Return the rows that always come from the file: the `fixed` section and what this courier can't change
    while it runs. They take effect at a start, whatever was committed."""
    fixed_values = restart_only_rows(config)
    sections = [
        section
        for fixed_name, section_names in RESTART_SECTIONS
        if ("fixed", fixed_name) in fixed_values
        for section in section_names
    ]
    if not sections:
        return fixed_values
    file_snapshot = snapshot_of(config)
    keys = {
        (section, name)
        for section in sections
        for side in (active, file_snapshot)
        for name in side.sections[section]
        if (section != "whole" or name == "quota")
    }
    return fixed_values | {key: file_snapshot.get(key) for key in keys}


def endpoint_of(target: Mapping[str, Any]) -> Endpoint:
    """Return the endpoint of a discovery target, as a rendered partner list has it."""
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


def _limit_rows(settings: Settings) -> dict[str, int]:
    return {
        "max_held": settings.max_pending,
        "attempts": min(settings.attempts_per_message, settings.max_attempts),
        "retry_base_ms": settings.backoff_base_us // 1000,
        "retry_cap_ms": settings.backoff_cap_us // 1000,
        "max_wait_ms": settings.max_retry_after_us // 1000,
        "window": settings.destination_window or max(1, int(0.75 * settings.max_in_flight)),
    }


# Snapshot to configuration


def target_of(row: Endpoint, state: str = "") -> dict[str, Any]:
    """Return the discovery target of an endpoint."""
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
    """Return the base settings updated from a snapshot, in which retired rows keep their numbers."""

    def numbered(section: str) -> list[tuple[str, Mapping[str, Any]]]:
        return sorted(snapshot.sections[section].items(), key=lambda item: item[1]["number"])

    limits: Mapping[str, int] = dict(snapshot.sections["limit"].items())
    return replace(
        base,
        classes=tuple(
            MessageClass(
                name,
                message_class["wanted_ms"] * 1000,
                message_class["deadline_ms"] * 1000,
                IDEMPOTENCY_BY_NAME[message_class["repeat"]],
                message_class["worth"],
                message_class["late_share"],
                message_class["key_scope"],
                message_class["key_window_ms"] * 1000,
                message_class["ordered"],
            )
            for name, message_class in numbered("class")
        ),
        tenants=tuple(Tenant(name, tenant["share"], tenant["per_s"]) for name, tenant in numbered("tenant")),
        kinds=tuple(
            DestinationKind(name, kind["routes_apart"], kind["bundle"]) for name, kind in numbered("kind")
        ),
        max_pending=limits["max_held"],
        attempts_per_message=limits["attempts"],
        max_attempts=limits["attempts"],
        backoff_base_us=limits["retry_base_ms"] * 1000,
        backoff_cap_us=limits["retry_cap_ms"] * 1000,
        max_retry_after_us=limits["max_wait_ms"] * 1000,
        destination_window=limits["window"],
    )


def zones_of(base: tuple[str, ...], snapshot: Snapshot) -> tuple[str, ...]:
    """Return the zones by number: those of `base`, then the new ones in sorted order."""
    return base + tuple(sorted({row.zone for row in snapshot.endpoints.values()} - set(base)))


def in_force(config: Config, ports: Ports) -> Config:
    """Return the file's configuration, updated with the last active snapshot if there are records."""
    store = open_store(config, ports)
    try:
        restored = restore(store.map)
    finally:
        store.close()
    return config if restored is None else config_of(config, restored)


def config_of(config: Config, restored: RestoredState) -> Config:
    """Return a configuration with the restored snapshot. Endpoints with a recorded drain are draining."""
    snapshot = newest(restored)
    snapshot = snapshot.with_rows(file_only_rows(config, snapshot), snapshot.version)
    targets = [
        target_of(row, DRAINING if uid in restored.drain_began_at_ms else "")
        for uid, row in snapshot.endpoints.items()
    ]
    routing = routing_config(snapshot)
    return replace(
        config,
        settings=settings_of(config.settings, snapshot),
        zones=zones_of(config.zones, snapshot),
        quota=snapshot.get(("whole", "quota")) or None,
        known={"rev": 0, "targets": targets, **({"routing": routing} if routing else {})},
    )
