"""What the machine keeps, as rows for `Persist`, and what a restart makes of them.

    base   GEN/n     a part of the snapshot that the records below build on
    base   ""        [gen, chain, parts, version, versions on trial]: which parts count; written behind them
    change N         [versions of trials that are over by it, the newest version, rows that are kept from then
                     on]: what is kept is the base with all of these above its chain, in their order
    trial  VERSION   a change that is in force on trial, with its rows before and after
    back   VERSION   what undoes it, and whose it was; of the newest versions
    staged ID        a change that waits: for a word (go false) or its turn
    past   N         an outcome
    drain  UID       wall ms at which it was heard
    file   ""        [digest, N, rows that the file's snapshot has otherwise than what was kept after N]

Each record stands by itself, so that a kill between any two leaves a whole state: a trial that a `change`
names is over, parts of another gen and changes up to the base's chain are left-overs.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from madderbeam.changes.trial import Trial
from madderbeam.changes.values import SECTION_NAMES, Change, Endpoint, Key, Op, Snapshot, blank

Kept = Mapping[tuple[str, str], Any]
Row = list[Any]
EACH = 500  # rows of one part


@dataclass(frozen=True)
class Back:
    """What undoes a version. `dead`: it was an undone trial's end, which nobody undoes; what it touched
    counts as touched."""

    id: str
    ops: Mapping[Key, Op]
    dead: bool = False


@dataclass(frozen=True)
class Staged:
    """A change that waits; `go`: for its turn, else for a word."""

    change: Change
    go: bool
    order: int


@dataclass(frozen=True)
class Outcome:
    """What became of a change. `what`: kept, undone, refused, dropped."""

    id: str
    version: int
    what: str
    why: str
    at_ms: int


@dataclass
class Restored:
    """What the records say. `snapshot`: what is kept; `version`: the newest that was ever in force."""

    snapshot: Snapshot = field(default_factory=blank)
    version: int = 0
    gen: int = 0  # of the base, 0: there is none
    base: int = 0  # its chain
    chain: int = 0  # the newest record of what is kept
    parts: int = 0  # of the base
    trials: list[Trial] = field(default_factory=list)
    staged: list[Staged] = field(default_factory=list)
    past: dict[int, Outcome] = field(default_factory=dict)
    back: dict[int, Back] = field(default_factory=dict)
    drains: dict[str, int] = field(default_factory=dict)  # wall ms
    file: tuple[str, Snapshot] | None = None


# Rows


def raw_difference(old: Snapshot, new: Snapshot) -> dict[Key, Any]:
    """Rows that are otherwise, numbers and all; None for one that is gone. What is `fixed` is not kept."""
    return {
        (section, name): new.get((section, name))
        for section in SECTION_NAMES
        if section != "fixed"
        for name in old.sections[section].differing(new.sections[section])
    }


def rows_row(rows: Mapping[Key, Any]) -> Row:
    return [[section, name, to_row(row)] for (section, name), row in rows.items()]


def rows_from(rows: Row) -> dict[Key, Any]:
    return {(section, name): from_row(section, row) for section, name, row in rows}


def to_row(value: Any) -> Any:
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


def from_row(section: str, value: Any) -> Any:
    if section == "endpoint" and isinstance(value, list):
        uid, dest, address, per_s, zone, kind, state, topic, topics = value
        return Endpoint(uid, dest, address, per_s, zone, kind, state, topic, tuple(topics))
    return value


def ops_row(ops: Mapping[Key, Op]) -> Row:
    return [
        [
            section,
            name,
            op.what,
            {k: to_row(v) for k, v in op.row.items()} if isinstance(op.row, dict) else to_row(op.row),
        ]
        for (section, name), op in ops.items()
    ]


def ops_from(rows: Row) -> dict[Key, Op]:
    found: dict[Key, Op] = {}
    for section, name, what, row in rows:
        if section == "endpoint" and isinstance(row, dict):
            row = {k: tuple(v) if k == "topics" else v for k, v in row.items()}
        found[str(section), str(name)] = Op(str(what), from_row(section, row))
    return found


def change_row(c: Change) -> Row:
    return [c.id, c.base, ops_row(c.ops), sorted(c.accept), c.source, c.trial_ms, c.undoes]


def change_from(row: Row) -> Change:
    ident, base, ops, accept, source, trial_ms, undoes = row
    return Change(str(ident), int(base), ops_from(ops), frozenset(accept), str(source), trial_ms, int(undoes))


def trial_row(t: Trial) -> Row:
    return [change_row(t.change), t.at_ms, rows_row(t.before), rows_row(t.after)]


def base_rows(
    snapshot: Snapshot, gen: int, chain: int, version: int, trials: Iterable[int]
) -> Iterable[tuple[str, str, Any]]:
    """All of a snapshot, the record that makes it count last."""
    rows: list[Row] = [
        [section, name, to_row(row)]
        for section in SECTION_NAMES
        if section != "fixed"
        for name, row in snapshot.sections[section].items()
    ]
    parts = [rows[at : at + EACH] for at in range(0, len(rows), EACH)]
    yield from (("base", f"{gen}/{n}", part) for n, part in enumerate(parts))
    yield "base", "", [gen, chain, len(parts), version, list(trials)]


# Restoring


def restore(kept: Kept) -> Restored | None:
    """None if there is no whole base: nothing was ever kept here."""
    head = kept.get(("base", ""))
    if head is None:
        return None
    gen, chain, parts, version, trials = head
    found: dict[Key, Any] = {}
    for n in range(parts):
        part = kept.get(("base", f"{gen}/{n}"))
        if part is None:
            return None
        found |= rows_from(part)
    r = Restored(blank().with_rows(found, version), version, gen, chain, chain, parts)
    filed = kept.get(("file", ""))
    over = {int(k) for kind, k in kept if kind == "trial" and int(k) <= version} - set(trials)
    records = sorted((int(k), v) for (kind, k), v in kept.items() if kind == "change" and int(k) > chain)
    for number, (versions, newest, rows) in [(chain, ((), version, [])), *records]:
        over.update(versions)
        r.chain, r.version = number, max(r.version, newest)
        r.snapshot = r.snapshot.with_rows(rows_from(rows), r.version)
        if filed is not None and filed[1] == number:
            r.file = (filed[0], r.snapshot.with_rows(rows_from(filed[2]), r.version))
    _rest(kept, r, over)
    return r


def _rest(kept: Kept, r: Restored, over: set[int]) -> None:
    for (kind, key), value in kept.items():
        if kind == "trial" and int(key) not in over:
            change, at_ms, before, after = value
            r.trials.append(
                Trial(change_from(change), int(key), rows_from(before), rows_from(after), 0, 0, int(at_ms))
            )
            r.version = max(r.version, int(key))
        elif kind == "staged":
            r.staged.append(Staged(change_from(value[0]), bool(value[1]), int(value[2])))
        elif kind == "past":
            r.past[int(key)] = Outcome(*value)
        elif kind == "back":
            r.back[int(key)] = Back(str(value[0]), ops_from(value[1]), bool(value[2]))
        elif kind == "drain":
            r.drains[key] = int(value)
    r.trials.sort(key=lambda t: t.version)
    known = {o.id for o in r.past.values()} | {t.id for t in r.trials}
    r.staged = sorted((s for s in r.staged if s.change.id not in known), key=lambda s: s.order)


def leftovers(kept: Kept, r: Restored) -> list[tuple[str, str]]:
    """Records that say nothing any more."""
    parts = [k for k in kept if k[0] == "base" and k[1] and not k[1].startswith(f"{r.gen}/")]
    trials = {str(t.version) for t in r.trials}
    parts += [k for k in kept if k[0] == "trial" and k[1] not in trials]
    return parts + [k for k in kept if k[0] == "change" and int(k[1]) <= r.base]
