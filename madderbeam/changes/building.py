"""Builds the snapshot that a change results in, the difference of two snapshots, and rollback changes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from typing import Any

from madderbeam.changes import errors
from madderbeam.changes.document import short_list, suggestion
from madderbeam.changes.fields import REQUIRED, SECTIONS
from madderbeam.changes.values import (
    DRAINING,
    NUMBERED_SECTIONS,
    READY,
    Change,
    Endpoint,
    Key,
    Op,
    Snapshot,
    empty_snapshot,
)

ENDPOINT_FIELDS = frozenset(f.name for f in fields(Endpoint))


@dataclass
class BuildResult:
    """The snapshot that a change results in, and the errors found while building it."""

    snapshot: Snapshot
    found_errors: list[errors.ChangeError]


def build(snapshot: Snapshot, ops: Mapping[Key, Op], version: int) -> BuildResult:
    """Apply operations to a snapshot. Collects all errors; a row with an error stays as it was."""
    rows: dict[Key, Any] = {}
    found_errors: list[errors.ChangeError] = []
    next_numbers: dict[str, int] = {}
    for key, op in ops.items():
        try:
            if key[0] == "endpoint":
                rows[key] = _build_endpoint(snapshot, key, op)
            elif key[0] in NUMBERED_SECTIONS:
                rows[key] = _build_numbered(snapshot, key, op, next_numbers)
            else:
                rows[key] = _build_plain(snapshot, key, op)
        except errors.ChangeError as error:
            found_errors.append(error)
    return BuildResult(snapshot.with_rows(rows, version), found_errors)


def _unknown_row(snapshot: Snapshot, key: Key) -> errors.Unknown:
    known = snapshot.active_names(key[0])
    return errors.Unknown(f"{key[0]} {key[1]}", f"is not there{suggestion(key[1], known)}", short_list(known))


def _build_endpoint(snapshot: Snapshot, key: Key, op: Op) -> Endpoint | None:
    row: Endpoint | None = snapshot.get(key)
    if op.kind == "put":
        return op.row
    if op.kind == "add":
        if row is not None:
            raise errors.Exists(f"endpoint {key[1]}", "is there already", "a uid of its own")
        return Endpoint(**{k: v for k, v in op.row.items() if k in ENDPOINT_FIELDS})
    if row is None:
        raise _unknown_row(snapshot, key)
    if op.kind == "remove":
        return None
    return row.as_draining() if op.kind == "drain" else replace(row, **op.row)


def _build_numbered(snapshot: Snapshot, key: Key, op: Op, next_numbers: dict[str, int]) -> dict[str, Any]:
    section, name = key
    old = snapshot.get(key)
    active = snapshot.get_active(key)
    if op.kind == "remove":
        if active is None:
            raise _unknown_row(snapshot, key)
        return {**old, "retired": True}
    fields_given = op.row
    if op.kind == "edit":
        missing = [
            field_name
            for field_name, field in SECTIONS[section].items()
            if field.default is REQUIRED and field_name not in fields_given and active is None
        ]
        if missing:
            allowed = SECTIONS[section][missing[0]].allowed
            raise errors.Unreadable(f"{section} {name}.{missing[0]}", "lacks, and there is none yet", allowed)
        apart = fields_given.get("routes_apart", active and active.get("routes_apart"))
        if active is not None and apart != active.get("routes_apart"):
            raise errors.NeedsRestart(f"kind {name}.routes_apart", "changes", str(active["routes_apart"]))
        base_fields = active or {field_name: field.default for field_name, field in SECTIONS[section].items()}
        fields_given = {**base_fields, **fields_given}
    if old is not None:
        number = old["number"]
    else:
        if section not in next_numbers:
            next_numbers[section] = 1 + max(
                (row["number"] for row in snapshot.sections[section].values()), default=-1
            )
        number = next_numbers[section]
        next_numbers[section] += 1
    return {**without_number(fields_given), "number": number, "retired": False}


def _build_plain(snapshot: Snapshot, key: Key, op: Op) -> Any:
    if op.kind == "remove":
        if snapshot.get(key) is None:
            raise _unknown_row(snapshot, key)
        return None
    return op.row


def without_number(row: Mapping[str, Any]) -> dict[str, Any]:
    """Return a numbered row without its number and retired flag."""
    return {k: v for k, v in row.items() if k not in ("number", "retired")}


def comparable_row(snapshot: Snapshot, key: Key) -> Any:
    """Return a row for comparing snapshots: without its number, which each snapshot assigns itself."""
    row = snapshot.get_active(key)
    return without_number(row) if row is not None and key[0] in NUMBERED_SECTIONS else row


def difference(old: Snapshot, new: Snapshot) -> dict[Key, Op]:
    """Return the operations that turn `old` into `new`, without the `fixed` section."""
    ops: dict[Key, Op] = {}
    for section in old.sections:
        if section == "fixed":
            continue
        for name in old.sections[section].differing_keys(new.sections[section]):
            key = (section, name)
            old_row, new_row = comparable_row(old, key), comparable_row(new, key)
            if old_row != new_row:
                ops[key] = Op("remove") if new_row is None else Op("put", new_row)
    return ops


# Rollback


@dataclass(frozen=True)
class Inverse:
    """The operations that roll back a change, and descriptions of what they restore and what they can't."""

    ops: Mapping[Key, Op]
    restores: tuple[str, ...]
    not_restored: tuple[str, ...]


def inverse(before: Snapshot, after: Snapshot) -> Inverse:
    """Return what turns `after` back into `before`, as far as possible."""
    ops = difference(after, before)
    restores, not_restored = [], []
    for key, op in sorted(ops.items(), key=lambda item: item[0]):
        old, new = before.get_active(key), after.get_active(key)
        restores.append(f"{key[0]} {key[1]}" + (" goes again" if op.kind == "remove" else " as it was"))
        if key[0] == "endpoint" and old is not None and old.state == READY:
            if new is None:
                not_restored.append(
                    f"endpoint {key[1]} was taken away: it comes back cold, and its connections "
                    "are opened anew; if it has shut it is not there"
                )
            elif new.state == DRAINING:
                not_restored.append(
                    f"endpoint {key[1]} was told to drain: the drain holds for its time, then it "
                    "comes back cold; if it has shut it is not there"
                )
        elif key[0] in NUMBERED_SECTIONS and op.kind == "remove":
            not_restored.append(f"{key[0]} {key[1]}: messages that were taken on under it keep its terms")
        elif key == ("whole", "quota"):
            not_restored.append("quotas: what was counted stays counted")
    not_restored.append("messages that have ended since stay ended")
    return Inverse(ops, tuple(restores), tuple(not_restored))


def inverse_of_rows(before: Mapping[Key, Any], after: Mapping[Key, Any]) -> Inverse:
    """Return the inverse of a set of row changes; None stands for an absent row."""
    empty = empty_snapshot()
    return inverse(empty.with_rows(before, 0), empty.with_rows(after, 0))


def rollback_change(change_id: str, version: int, base_version: int, ops: Mapping[Key, Op]) -> Change:
    """Return the change that rolls back a version."""
    return Change(change_id, base_version, ops, source="undo", rolls_back_version=version)
