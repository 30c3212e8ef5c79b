"""The snapshot that a change makes, what differs between two, and the change that undoes one."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from typing import Any

from madderbeam.changes import errors
from madderbeam.changes.document import like, some
from madderbeam.changes.fields import NEEDED, SECTIONS
from madderbeam.changes.values import DRAINING, NUMBERED, READY, Change, Endpoint, Key, Op, Snapshot, blank

NAMES = frozenset(f.name for f in fields(Endpoint))


@dataclass
class Made:
    """The snapshot that a change would make; what is wrong with it."""

    snapshot: Snapshot
    wrong: list[errors.ChangeError]


def made(snapshot: Snapshot, ops: Mapping[Key, Op], version: int) -> Made:
    """All mistakes are found in one go; a row that has one stays as it was."""
    rows: dict[Key, Any] = {}
    wrong: list[errors.ChangeError] = []
    numbers: dict[str, int] = {}
    for key, op in ops.items():
        try:
            if key[0] == "endpoint":
                rows[key] = _endpoint(snapshot, key, op)
            elif key[0] in NUMBERED:
                rows[key] = _numbered(snapshot, key, op, numbers)
            else:
                rows[key] = _plain(snapshot, key, op)
        except errors.ChangeError as error:
            wrong.append(error)
    return Made(snapshot.with_rows(rows, version), wrong)


def _unknown(snapshot: Snapshot, key: Key) -> errors.Unknown:
    known = snapshot.names(key[0])
    return errors.Unknown(f"{key[0]} {key[1]}", f"is not there{like(key[1], known)}", some(known))


def _endpoint(snapshot: Snapshot, key: Key, op: Op) -> Endpoint | None:
    row: Endpoint | None = snapshot.get(key)
    if op.what == "put":
        return op.row
    if op.what == "add":
        if row is not None:
            raise errors.Exists(f"endpoint {key[1]}", "is there already", "a uid of its own")
        return Endpoint(**{k: v for k, v in op.row.items() if k in NAMES})
    if row is None:
        raise _unknown(snapshot, key)
    if op.what == "remove":
        return None
    return row.drained() if op.what == "drain" else replace(row, **op.row)


def _numbered(snapshot: Snapshot, key: Key, op: Op, numbers: dict[str, int]) -> dict[str, Any]:
    section, name = key
    old = snapshot.get(key)
    there = snapshot.present(key)
    if op.what == "remove":
        if there is None:
            raise _unknown(snapshot, key)
        return {**old, "retired": True}
    given = op.row
    if op.what == "edit":
        lacks = [
            n
            for n, f in SECTIONS[section].items()
            if f.default is NEEDED and n not in given and there is None
        ]
        if lacks:
            allowed = SECTIONS[section][lacks[0]].allowed
            raise errors.Unreadable(f"{section} {name}.{lacks[0]}", "lacks, and there is none yet", allowed)
        apart = given.get("routes_apart", there and there.get("routes_apart"))
        if there is not None and apart != there.get("routes_apart"):
            raise errors.NeedsRestart(f"kind {name}.routes_apart", "changes", str(there["routes_apart"]))
        start = there or {n: f.default for n, f in SECTIONS[section].items()}
        given = {**start, **given}
    if old is not None:
        number = old["number"]
    else:
        if section not in numbers:
            numbers[section] = 1 + max((r["number"] for r in snapshot.sections[section].values()), default=-1)
        number = numbers[section]
        numbers[section] += 1
    return {**public(given), "number": number, "retired": False}


def _plain(snapshot: Snapshot, key: Key, op: Op) -> Any:
    if op.what == "remove":
        if snapshot.get(key) is None:
            raise _unknown(snapshot, key)
        return None
    return op.row


def public(row: Mapping[str, Any]) -> dict[str, Any]:
    """A numbered row without what the courier keeps beside it."""
    return {k: v for k, v in row.items() if k not in ("number", "retired")}


def shown(snapshot: Snapshot, key: Key) -> Any:
    """A row as it counts between two snapshots: numbers are each one's own."""
    row = snapshot.present(key)
    return public(row) if row is not None and key[0] in NUMBERED else row


def difference(old: Snapshot, new: Snapshot) -> dict[Key, Op]:
    """What is to be done to `old` so that it is as `new`; what only a restart changes is left out."""
    found: dict[Key, Op] = {}
    for section in old.sections:
        if section == "fixed":
            continue
        for name in old.sections[section].differing(new.sections[section]):
            key = (section, name)
            mine, its = shown(old, key), shown(new, key)
            if mine != its:
                found[key] = Op("remove") if its is None else Op("put", its)
    return found


# Undoing


@dataclass(frozen=True)
class Inverse:
    """What undoes a change: what it restores, and what not, in words."""

    ops: Mapping[Key, Op]
    restores: tuple[str, ...]
    leaves: tuple[str, ...]


def inverse(before: Snapshot, after: Snapshot) -> Inverse:
    """What makes `before` of `after` again, as far as that can be."""
    ops = difference(after, before)
    restores, leaves = [], []
    for key, op in sorted(ops.items(), key=lambda item: item[0]):
        old, new = before.present(key), after.present(key)
        restores.append(f"{key[0]} {key[1]}" + (" goes again" if op.what == "remove" else " as it was"))
        if key[0] == "endpoint" and old is not None and old.state == READY:
            if new is None:
                leaves.append(
                    f"endpoint {key[1]} was taken away: it comes back cold, and its connections "
                    "are opened anew; if it has shut it is not there"
                )
            elif new.state == DRAINING:
                leaves.append(
                    f"endpoint {key[1]} was told to drain: the drain holds for its time, then it "
                    "comes back cold; if it has shut it is not there"
                )
        elif key[0] in NUMBERED and op.what == "remove":
            leaves.append(f"{key[0]} {key[1]}: messages that were taken on under it keep its terms")
        elif key == ("whole", "quota"):
            leaves.append("quotas: what was counted stays counted")
    leaves.append("messages that have ended since stay ended")
    return Inverse(ops, tuple(restores), tuple(leaves))


def inverse_of(before: Mapping[Key, Any], after: Mapping[Key, Any]) -> Inverse:
    """The same of rows; None stands for one that is not there."""
    nothing = blank()
    return inverse(nothing.with_rows(before, 0), nothing.with_rows(after, 0))


def undoing(change_id: str, version: int, base: int, ops: Mapping[Key, Op]) -> Change:
    """The change that undoes a version."""
    return Change(change_id, base, ops, source="undo", undoes=version)
