"""From what an operator writes (TOML or JSON, as plain data) to a change, with all of its mistakes."""

from __future__ import annotations

import difflib
from collections.abc import Iterable, Mapping
from typing import Any

from madderbeam.changes import errors
from madderbeam.changes.fields import ENDPOINT, LIMITS, NAME, NEEDED, SECTIONS, Field, Wrong
from madderbeam.changes.values import Change, Key, Op

TABLES = {"classes": "class", "tenants": "tenant", "kinds": "kind"}
WITHOUT = {**TABLES, "pools": "pool", "names": "name"}
LIVE = tuple(kind.code for kind in (errors.NothingReady, errors.Orphans, errors.LittleLeft))
KNOWN = (
    "name",
    "base",
    "accept",
    "trial_ms",
    "add",
    "edit",
    "drain",
    "remove",
    *TABLES,
    "limits",
    "pools",
    "names",
    "routes",
    "quota",
    "without",
)
TRIAL_MS = Field("whole", 1_000, 3_600_000)
DEST = ENDPOINT["dest"]


def some(words: Iterable[str], most: int = 8) -> str:
    """A short list of words."""
    found = sorted(words)
    return ", ".join(found[:most]) + (f" and {len(found) - most} more" if len(found) > most else "") or "none"


def like(word: str, known: Iterable[str]) -> str:
    """A hint at the word that was probably meant, or nothing."""
    found = difflib.get_close_matches(word, list(known), 1, 0.6)
    return f"; did you mean {found[0]}?" if found else ""


class _Reader:
    """One document: what it asks for, and what is wrong with it."""

    def __init__(self, raw: Mapping[str, Any]) -> None:
        self.raw = raw
        self.ops: dict[Key, Op] = {}
        self.wrong: list[errors.ChangeError] = []

    def no(self, path: str, wrong: str, allowed: str) -> None:
        self.wrong.append(errors.Unreadable(path, wrong, allowed))

    def op(self, key: Key, op: Op, path: str) -> None:
        if key in self.ops:
            self.no(path, f"{key[0]} {key[1]!r} is named twice", "each once in one change")
        self.ops[key] = op

    def value(self, field: Field, value: Any, path: str) -> Any:
        try:
            return field.read(value)
        except Wrong as error:
            self.no(path, str(error), error.allowed)
            return None

    def row(self, fields: Mapping[str, Field], raw: Any, path: str) -> dict[str, Any] | None:
        """Fields of a row as they are given; None if it is no table."""
        if not isinstance(raw, dict):
            self.no(path, f"can't be {raw!r:.80}", f"a table of {some(fields, 40)}")
            return None
        found = {}
        for name, value in raw.items():
            if name not in fields:
                self.no(f"{path}.{name}", f"no such field{like(name, fields)}", some(fields, 40))
            elif (read := self.value(fields[name], value, f"{path}.{name}")) is not None:
                found[name] = read
        return found

    def rows(self, name: str) -> Iterable[tuple[str, Any]]:
        """The elements of a list, each with its path."""
        found = self.raw.get(name, [])
        if not isinstance(found, list):
            self.no(name, f"can't be {found!r:.80}", "a list")
            found = []
        return ((f"{name}[{n}]", row) for n, row in enumerate(found))

    def table(self, name: str) -> dict[str, Any]:
        found = self.raw.get(name, {})
        if not isinstance(found, dict):
            self.no(name, f"can't be {found!r:.80}", "a table")
            return {}
        return found

    # The parts

    def endpoints(self) -> None:
        for path, raw in self.rows("add"):
            row = self.row(ENDPOINT, raw, path)
            if row is None:
                continue
            for name, field in ENDPOINT.items():
                if name not in raw and field.default is NEEDED:
                    self.no(f"{path}.{name}", "lacks", field.allowed)
            if "uid" in row:
                self.op(("endpoint", row["uid"]), Op("add", row), path)
        for path, raw in self.rows("edit"):
            row = self.row(ENDPOINT, raw, path)
            if row is None:
                continue
            if "uid" not in raw:
                self.no(f"{path}.uid", "lacks", ENDPOINT["uid"].allowed)
            elif "uid" in row:
                self.op(("endpoint", row["uid"]), Op("edit", row), path)
        for what in ("drain", "remove"):
            for path, uid in self.rows(what):
                if self.value(ENDPOINT["uid"], uid, path) is not None:
                    self.op(("endpoint", uid), Op(what), path)

    def named(self) -> None:
        for table, section in TABLES.items():
            for name, raw in self.table(table).items():
                path = f"{table}.{name}"
                if not NAME.fullmatch(name):
                    self.no(path, f"can't be {name!r:.80}", Field("name").allowed)
                elif (row := self.row(SECTIONS[section], raw, path)) is not None:
                    self.op((section, name), Op("edit", row), path)
        for name, value in (self.row(LIMITS, self.table("limits"), "limits") or {}).items():
            self.op(("limit", name), Op("put", value), f"limits.{name}")

    def routing(self) -> None:
        for number, raw in self.table("pools").items():
            if not number.isdigit() or not isinstance(raw, dict):
                self.no(f"pools.{number}", f"can't be {raw!r:.80}", "a pool's table under its destination")
            else:
                self.op(("pool", number), Op("put", raw), f"pools.{number}")
        for name, number in self.table("names").items():
            if self.value(DEST, number, f"names.{name}") is not None:
                self.op(("name", name), Op("put", number), f"names.{name}")
        if "routes" in self.raw:
            routes = [row for _, row in self.rows("routes")]
            self.op(("whole", "routes"), Op("put", routes), "routes")
        if "quota" in self.raw:
            quota = self.table("quota")
            self.op(("whole", "quota"), Op("put", quota) if quota else Op("remove"), "quota")

    def without(self) -> None:
        for table, names in self.table("without").items():
            path = f"without.{table}"
            if table not in WITHOUT:
                self.no(path, f"no such list{like(table, WITHOUT)}", some(WITHOUT))
            elif not isinstance(names, list) or not all(isinstance(n, str) for n in names):
                self.no(path, f"can't be {names!r:.80}", "a list of names")
            else:
                for name in names:
                    self.op((WITHOUT[table], name), Op("remove"), path)

    def change(self) -> Change | None:
        for name in self.raw:
            if name not in KNOWN:
                self.no(name, f"no such part{like(name, KNOWN)}", some(KNOWN, 40))
        ident = self.value(Field("name"), self.raw.get("name"), "name")
        base = self.value(Field("whole", 0, 1 << 53), self.raw.get("base"), "base")
        trial = self.raw.get("trial_ms")
        if trial is not None:
            trial = self.value(TRIAL_MS, trial, "trial_ms")
        accept = {code for path, code in self.rows("accept") if self._code(path, code)}
        self.endpoints()
        self.named()
        self.routing()
        self.without()
        if not self.ops and not self.wrong:
            self.no("add", "the change does nothing", "at least one of " + some(KNOWN[4:], 40))
        if self.wrong:
            return None
        return Change(ident, base, self.ops, frozenset(accept), "operator", trial)

    def _code(self, path: str, code: Any) -> bool:
        if code in LIVE:
            return True
        self.no(path, f"can't be {code!r:.80}", some(LIVE))
        return False


def read(raw: Any) -> tuple[Change | None, list[errors.ChangeError]]:
    """The change, None if it has a mistake; and all mistakes."""
    if not isinstance(raw, dict):
        return None, [errors.Unreadable("change", f"can't be {raw!r:.80}", "a table of " + some(KNOWN, 40))]
    reader = _Reader(raw)
    change = reader.change()
    return change, reader.wrong
