"""The durable records of changes, as rows for `Persist`, and how a restart restores the state from them.

    base   GEN/n     one part of the snapshot that the `change` records apply to
    base   ""        [generation, last record, part count, version, canary versions]: names the valid parts
                     and is written after them
    change N         [versions whose canary period it ends, the newest version, rows committed by it]: the
                     committed snapshot is the base with all records above its last record applied in order
    trial  VERSION   an active change in its canary period, with its rows before and after
    back   VERSION   the operations that roll back this version, and the id of its change; newest versions
    staged ID        a staged change, waiting for approval (false) or to be activated (true)
    past   N         an outcome
    drain  UID       wall time in ms at which the drain began
    file   ""        [digest, N, rows in which the file's snapshot differs from the one committed by record N]

Each record is valid by itself, so a crash between any two leaves a consistent state: a canary that a `change`
record names has ended; parts of another generation, and `change` records up to the base's last one, are
obsolete.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from madderbeam.changes.canary import Canary
from madderbeam.changes.values import SECTION_NAMES, Change, Endpoint, Key, Op, Snapshot, empty_snapshot

RecordMap = Mapping[tuple[str, str], Any]
Row = list[Any]
ROWS_PER_PART = 500  # rows in one part of the base


@dataclass(frozen=True)
class RollbackRecord:
    """The operations that roll back a version. `is_irreversible`: the version ended a canary by rollback or
    applied drains, and can't be rolled back itself; later changes still conflict with the rows it touched."""

    id: str
    ops: Mapping[Key, Op]
    is_irreversible: bool = False


@dataclass(frozen=True)
class StagedChange:
    """A staged change: waits to be activated if `is_approved` is set, else for approval."""

    change: Change
    is_approved: bool
    sequence: int


@dataclass(frozen=True)
class Outcome:
    """How a change ended.

    `result`: "kept" (committed), "undone" (rolled back), "refused" (invalid, or its record could not be
    written) or "dropped" (withdrawn by an operator before it was active).
    """

    id: str
    version: int
    result: str
    reason: str
    recorded_at_ms: int


@dataclass
class RestoredState:
    """The state read from the records. `snapshot`: committed rows; `version`: the newest ever active."""

    snapshot: Snapshot = field(default_factory=empty_snapshot)
    version: int = 0
    generation: int = 0  # of the base; 0 if there is none
    base_record: int = 0  # the last record that the base includes
    last_record: int = 0  # the newest `change` record
    part_count: int = 0  # of the base
    canaries: list[Canary] = field(default_factory=list)
    staged: list[StagedChange] = field(default_factory=list)
    outcomes: dict[int, Outcome] = field(default_factory=dict)
    rollbacks: dict[int, RollbackRecord] = field(default_factory=dict)
    drain_began_at_ms: dict[str, int] = field(default_factory=dict)  # wall time by uid
    processed_file: tuple[str, Snapshot] | None = None


# Rows


def changed_rows(old: Snapshot, new: Snapshot) -> dict[Key, Any]:
    """Return the rows of `new` that differ from `old`, None for removed ones, without section `fixed`."""
    return {
        (section, name): new.get((section, name))
        for section in SECTION_NAMES
        if section != "fixed"
        for name in old.sections[section].differing_keys(new.sections[section])
    }


def encode_rows(rows: Mapping[Key, Any]) -> Row:
    """Encode rows for a record; `decode_rows` reverses it."""
    return [[section, name, encode_value(row)] for (section, name), row in rows.items()]


def decode_rows(rows: Row) -> dict[Key, Any]:
    """Return the rows that `encode_rows` encoded."""
    return {(section, name): decode_value(section, row) for section, name, row in rows}


def encode_value(value: Any) -> Any:
    """Encode one row: an endpoint becomes a list of its fields in a fixed order."""
    if isinstance(value, Endpoint):
        return [
            value.uid,
            value.dest,
            value.address,
            value.per_s,
            value.zone,
            value.kind,
            value.state,
            value.topic,
            list(value.topics),
        ]
    return list(value) if isinstance(value, tuple) else value


def decode_value(section: str, value: Any) -> Any:
    """Return the row that `encode_value` encoded."""
    if section == "endpoint" and isinstance(value, list):
        uid, dest, address, per_s, zone, kind, state, topic, topics = value
        return Endpoint(uid, dest, address, per_s, zone, kind, state, topic, tuple(topics))
    return value


def encode_ops(ops: Mapping[Key, Op]) -> Row:
    """Encode operations for a record; `decode_ops` reverses it."""
    return [
        [
            section,
            name,
            op.kind,
            {field: encode_value(field_value) for field, field_value in op.row.items()}
            if isinstance(op.row, dict)
            else encode_value(op.row),
        ]
        for (section, name), op in ops.items()
    ]


def decode_ops(rows: Row) -> dict[Key, Op]:
    """Return the operations that `encode_ops` encoded."""
    ops: dict[Key, Op] = {}
    for section, name, kind, row in rows:
        if section == "endpoint" and isinstance(row, dict):
            row = {
                field: tuple(field_value) if field == "topics" else field_value
                for field, field_value in row.items()
            }
        ops[str(section), str(name)] = Op(str(kind), decode_value(section, row))
    return ops


def encode_change(change: Change) -> Row:
    """Encode a change for a record; `decode_change` reverses it."""
    return [
        change.id,
        change.base_version,
        encode_ops(change.ops),
        sorted(change.accepted_codes),
        change.source,
        change.trial_ms,
        change.rolls_back_version,
    ]


def decode_change(row: Row) -> Change:
    """Return the change that `encode_change` encoded."""
    change_id, base_version, op_rows, accepted_codes, source, trial_ms, rolls_back_version = row
    return Change(
        str(change_id),
        int(base_version),
        decode_ops(op_rows),
        frozenset(accepted_codes),
        str(source),
        trial_ms,
        int(rolls_back_version),
    )


def encode_canary(canary: Canary) -> Row:
    """Encode a canary for its `trial` record."""
    return [
        encode_change(canary.change),
        canary.started_at_ms,
        encode_rows(canary.before),
        encode_rows(canary.after),
    ]


def base_records(
    snapshot: Snapshot, generation: int, last_record: int, version: int, canary_versions: Iterable[int]
) -> Iterable[tuple[str, str, Any]]:
    """Yield the records of a whole snapshot; the record that makes the parts valid comes last."""
    rows: list[Row] = [
        [section, name, encode_value(row)]
        for section in SECTION_NAMES
        if section != "fixed"
        for name, row in snapshot.sections[section].items()
    ]
    parts = [rows[start : start + ROWS_PER_PART] for start in range(0, len(rows), ROWS_PER_PART)]
    yield from (("base", f"{generation}/{number}", part) for number, part in enumerate(parts))
    yield "base", "", [generation, last_record, len(parts), version, list(canary_versions)]


# Restoring


def restore(records: RecordMap) -> RestoredState | None:
    """Return the state that the records describe, or None if there is no complete base record."""
    base_record = records.get(("base", ""))
    if base_record is None:
        return None
    generation, last_record, part_count, version, canary_versions = base_record
    base_snapshot_rows: dict[Key, Any] = {}
    for part_number in range(part_count):
        part = records.get(("base", f"{generation}/{part_number}"))
        if part is None:
            return None
        base_snapshot_rows |= decode_rows(part)
    restored = RestoredState(
        empty_snapshot().with_rows(base_snapshot_rows, version),
        version,
        generation,
        last_record,
        last_record,
        part_count,
    )
    file_record = records.get(("file", ""))
    ended_versions = {int(key) for kind, key in records if kind == "trial" and int(key) <= version} - set(
        canary_versions
    )
    change_records = sorted(
        (int(key), value)
        for (kind, key), value in records.items()
        if kind == "change" and int(key) > last_record
    )
    for number, (versions, newest, rows) in [(last_record, ((), version, [])), *change_records]:
        ended_versions.update(versions)
        restored.last_record, restored.version = number, max(restored.version, newest)
        restored.snapshot = restored.snapshot.with_rows(decode_rows(rows), restored.version)
        if file_record is not None and file_record[1] == number:
            restored.processed_file = (
                file_record[0],
                restored.snapshot.with_rows(decode_rows(file_record[2]), restored.version),
            )
    _restore_others(records, restored, ended_versions)
    return restored


def _restore_others(records: RecordMap, restored: RestoredState, ended_versions: set[int]) -> None:
    for (kind, key), value in records.items():
        if kind == "trial" and int(key) not in ended_versions:
            change, at_ms, before, after = value
            restored.canaries.append(
                Canary(
                    decode_change(change), int(key), decode_rows(before), decode_rows(after), 0, 0, int(at_ms)
                )
            )
            restored.version = max(restored.version, int(key))
        elif kind == "staged":
            restored.staged.append(StagedChange(decode_change(value[0]), bool(value[1]), int(value[2])))
        elif kind == "past":
            restored.outcomes[int(key)] = Outcome(*value)
        elif kind == "back":
            restored.rollbacks[int(key)] = RollbackRecord(str(value[0]), decode_ops(value[1]), bool(value[2]))
        elif kind == "drain":
            restored.drain_began_at_ms[key] = int(value)
    restored.canaries.sort(key=lambda canary: canary.version)
    known_ids = {outcome.id for outcome in restored.outcomes.values()} | {
        canary.id for canary in restored.canaries
    }
    restored.staged = sorted(
        (staged for staged in restored.staged if staged.change.id not in known_ids),
        key=lambda staged: staged.sequence,
    )


def obsolete_records(records: RecordMap, restored: RestoredState) -> list[tuple[str, str]]:
    """Return the keys of records that newer records supersede."""
    obsolete = [
        key
        for key in records
        if key[0] == "base" and key[1] and not key[1].startswith(f"{restored.generation}/")
    ]
    canary_versions = {str(canary.version) for canary in restored.canaries}
    obsolete += [key for key in records if key[0] == "trial" and key[1] not in canary_versions]
    return obsolete + [key for key in records if key[0] == "change" and int(key[1]) <= restored.base_record]
