"""Parses the document of an operator (decoded TOML or JSON) into a change, and collects all its errors."""

from __future__ import annotations

import difflib
from collections.abc import Iterable, Mapping
from typing import Any

from madderbeam.changes import errors
from madderbeam.changes.fields import ENDPOINT, LIMITS, NAME_PATTERN, REQUIRED, SECTIONS, Field, InvalidValue
from madderbeam.changes.values import Change, Key, Op

SECTION_TABLES = {"classes": "class", "tenants": "tenant", "kinds": "kind"}
REMOVABLE_TABLES = {**SECTION_TABLES, "pools": "pool", "names": "name"}
ACCEPTABLE_CODES = tuple(kind.code for kind in (errors.NothingReady, errors.Orphans, errors.LittleLeft))
DOCUMENT_KEYS = (
    "name",
    "base",
    "accept",
    "trial_ms",
    "add",
    "edit",
    "drain",
    "remove",
    *SECTION_TABLES,
    "limits",
    "pools",
    "names",
    "routes",
    "quota",
    "without",
)
TRIAL_MS = Field("whole", 1_000, 3_600_000)
DESTINATION_FIELD = ENDPOINT["dest"]


def short_list(words: Iterable[str], max_words: int = 8) -> str:
    """Join the sorted words with commas: at most `max_words`, then "and N more"; "none" if there are none."""
    sorted_words = sorted(words)
    return (
        ", ".join(sorted_words[:max_words])
        + (f" and {len(sorted_words) - max_words} more" if len(sorted_words) > max_words else "")
        or "none"
    )


def suggestion(word: str, known: Iterable[str]) -> str:
    """Return a hint at the closest known word, or an empty string."""
    matches = difflib.get_close_matches(word, list(known), 1, 0.6)
    return f"; did you mean {matches[0]}?" if matches else ""


class _Reader:
    """Parses one document: collects its operations and errors."""

    def __init__(self, raw: Mapping[str, Any]) -> None:
        self.raw = raw
        self.ops: dict[Key, Op] = {}
        self.errors: list[errors.ChangeError] = []

    def add_error(self, path: str, problem: str, allowed: str) -> None:
        """Record an error at a path of the document."""
        self.errors.append(errors.Unreadable(path, problem, allowed))

    def add_op(self, key: Key, op: Op, path: str) -> None:
        """Record an operation; it is an error to name a row twice."""
        if key in self.ops:
            self.add_error(path, f"{key[0]} {key[1]!r} is named twice", "each once in one change")
        self.ops[key] = op

    def read_value(self, field: Field, value: Any, path: str) -> Any:
        """Return the converted value, None after recording an error if it is invalid."""
        try:
            return field.read(value)
        except InvalidValue as error:
            self.add_error(path, str(error), error.allowed)
            return None

    def read_row(self, fields: Mapping[str, Field], raw: Any, path: str) -> dict[str, Any] | None:
        """Return the valid fields of a row; None if it is not a table."""
        if not isinstance(raw, dict):
            self.add_error(path, f"can't be {raw!r:.80}", f"a table of {short_list(fields, 40)}")
            return None
        row = {}
        for name, value in raw.items():
            if name not in fields:
                self.add_error(
                    f"{path}.{name}", f"no such field{suggestion(name, fields)}", short_list(fields, 40)
                )
            elif (field_value := self.read_value(fields[name], value, f"{path}.{name}")) is not None:
                row[name] = field_value
        return row

    def read_list(self, name: str) -> Iterable[tuple[str, Any]]:
        """Return the elements of a list, each with its path."""
        elements = self.raw.get(name, [])
        if not isinstance(elements, list):
            self.add_error(name, f"can't be {elements!r:.80}", "a list")
            elements = []
        return ((f"{name}[{index}]", row) for index, row in enumerate(elements))

    def read_table(self, name: str) -> dict[str, Any]:
        """Return a table of the document, empty if it is absent or invalid."""
        table = self.raw.get(name, {})
        if not isinstance(table, dict):
            self.add_error(name, f"can't be {table!r:.80}", "a table")
            return {}
        return table

    # Sections

    def read_endpoints(self) -> None:
        """Read the lists add, edit, drain and remove."""
        for path, raw in self.read_list("add"):
            row = self.read_row(ENDPOINT, raw, path)
            if row is None:
                continue
            for name, field in ENDPOINT.items():
                if name not in raw and field.default is REQUIRED:
                    self.add_error(f"{path}.{name}", "lacks", field.allowed)
            if "uid" in row:
                self.add_op(("endpoint", row["uid"]), Op("add", row), path)
        for path, raw in self.read_list("edit"):
            row = self.read_row(ENDPOINT, raw, path)
            if row is None:
                continue
            if "uid" not in raw:
                self.add_error(f"{path}.uid", "lacks", ENDPOINT["uid"].allowed)
            elif "uid" in row:
                self.add_op(("endpoint", row["uid"]), Op("edit", row), path)
        for kind in ("drain", "remove"):
            for path, uid in self.read_list(kind):
                if self.read_value(ENDPOINT["uid"], uid, path) is not None:
                    self.add_op(("endpoint", uid), Op(kind), path)

    def read_named_sections(self) -> None:
        """Read classes, tenants, kinds and limits."""
        for table, section in SECTION_TABLES.items():
            for name, raw in self.read_table(table).items():
                path = f"{table}.{name}"
                if not NAME_PATTERN.fullmatch(name):
                    self.add_error(path, f"can't be {name!r:.80}", Field("name").allowed)
                elif (row := self.read_row(SECTIONS[section], raw, path)) is not None:
                    self.add_op((section, name), Op("edit", row), path)
        for name, value in (self.read_row(LIMITS, self.read_table("limits"), "limits") or {}).items():
            self.add_op(("limit", name), Op("put", value), f"limits.{name}")

    def read_routing(self) -> None:
        """Read pools, names, routes and the quota tree."""
        for number, raw in self.read_table("pools").items():
            if not number.isdigit() or not isinstance(raw, dict):
                self.add_error(
                    f"pools.{number}", f"can't be {raw!r:.80}", "a pool's table under its destination"
                )
            else:
                self.add_op(("pool", number), Op("put", raw), f"pools.{number}")
        for name, number in self.read_table("names").items():
            if self.read_value(DESTINATION_FIELD, number, f"names.{name}") is not None:
                self.add_op(("name", name), Op("put", number), f"names.{name}")
        if "routes" in self.raw:
            routes = [row for _, row in self.read_list("routes")]
            self.add_op(("whole", "routes"), Op("put", routes), "routes")
        if "quota" in self.raw:
            quota = self.read_table("quota")
            self.add_op(("whole", "quota"), Op("put", quota) if quota else Op("remove"), "quota")

    def read_removals(self) -> None:
        """Read the table `without`, which lists names to remove."""
        for table, names in self.read_table("without").items():
            path = f"without.{table}"
            if table not in REMOVABLE_TABLES:
                self.add_error(
                    path, f"no such list{suggestion(table, REMOVABLE_TABLES)}", short_list(REMOVABLE_TABLES)
                )
            elif not isinstance(names, list) or not all(isinstance(name_given, str) for name_given in names):
                self.add_error(path, f"can't be {names!r:.80}", "a list of names")
            else:
                for name in names:
                    self.add_op((REMOVABLE_TABLES[table], name), Op("remove"), path)

    def read_change(self) -> Change | None:
        """Read the whole document; returns None if it has errors."""
        for name in self.raw:
            if name not in DOCUMENT_KEYS:
                self.add_error(
                    name, f"no such part{suggestion(name, DOCUMENT_KEYS)}", short_list(DOCUMENT_KEYS, 40)
                )
        change_id = self.read_value(Field("name"), self.raw.get("name"), "name")
        base_version = self.read_value(Field("whole", 0, 1 << 53), self.raw.get("base"), "base")
        trial_ms = self.raw.get("trial_ms")
        if trial_ms is not None:
            trial_ms = self.read_value(TRIAL_MS, trial_ms, "trial_ms")
        accepted_codes = {
            code for path, code in self.read_list("accept") if self._is_acceptable_code(path, code)
        }
        self.read_endpoints()
        self.read_named_sections()
        self.read_routing()
        self.read_removals()
        if not self.ops and not self.errors:
            self.add_error(
                "add", "the change does nothing", "at least one of " + short_list(DOCUMENT_KEYS[4:], 40)
            )
        if self.errors:
            return None
        return Change(change_id, base_version, self.ops, frozenset(accepted_codes), "operator", trial_ms)

    def _is_acceptable_code(self, path: str, code: Any) -> bool:
        if code in ACCEPTABLE_CODES:
            return True
        self.add_error(path, f"can't be {code!r:.80}", short_list(ACCEPTABLE_CODES))
        return False


def parse(raw: Any) -> tuple[Change | None, list[errors.ChangeError]]:
    """Return the change, None if the document has errors, and all errors."""
    if not isinstance(raw, dict):
        return None, [
            errors.Unreadable(
                "change", f"can't be {raw!r:.80}", "a table of " + short_list(DOCUMENT_KEYS, 40)
            )
        ]
    reader = _Reader(raw)
    change = reader.read_change()
    return change, reader.errors
