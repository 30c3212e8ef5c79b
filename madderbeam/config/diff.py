"""What differs in meaning between two estates, and what it takes to bring it into force. Pure."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

LIVE = "live"  # the running courier takes it up by itself
RESTART = "restart"  # its courier has to be started anew


@dataclass(frozen=True)
class Change:
    """One value that differs; None stands for one that is not there."""

    courier: str
    path: str
    old: Any
    new: Any
    needs: str

    def __str__(self) -> str:
        return f"{self.courier}: {self.path}: {short(self.old)} -> {short(self.new)} ({self.needs})"


def short(value: Any) -> str:
    """A value as it is told in one line."""
    return "none" if value is None else json.dumps(value, ensure_ascii=False)[:120]


def differences(old: dict[str, dict[str, Any]], new: dict[str, dict[str, Any]]) -> list[Change]:
    """The changes from one set of rendered files, by name, to another."""
    changes = []
    for name in sorted(set(old) | set(new)):
        courier, listed = (
            (name.removesuffix(".partners.json"), True)
            if name.endswith(".partners.json")
            else (name.removesuffix(".json"), False)
        )
        if courier == "manifest":
            continue
        if name not in old or name not in new:
            if not listed:
                here = name in new
                changes.append(
                    Change(courier, "", None if here else "runs", "runs" if here else None, RESTART)
                )
            continue
        before, after = _meaning(old[name], listed), _meaning(new[name], listed)
        for path, a, b in walk(before, after, ""):
            changes.append(Change(courier, path, a, b, LIVE if listed else RESTART))
    return changes


def _meaning(file: dict[str, Any], listed: bool) -> dict[str, Any]:
    """A file without what stands for itself only: its digest, and the order of what has names."""
    rest = {k: v for k, v in file.items() if k not in ("digest", "form")}
    if listed:
        routing = {"routing": rest["routing"]} if "routing" in rest else {}
        return {t["uid"]: t for t in rest.get("targets", [])} | routing
    settings = dict(rest.get("settings", {}))
    for name in ("classes", "tenants"):
        settings[name] = {row["name"]: row for row in settings.get(name, [])}
    return {**rest, "settings": settings}


def walk(old: Any, new: Any, path: str = "") -> Iterator[tuple[str, Any, Any]]:
    """Each value that differs, with its path and what it is on either side (None: not there)."""
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(set(old) | set(new)):
            yield from walk(old.get(key), new.get(key), f"{path}.{key}" if path else str(key))
    elif old != new:
        yield path, old, new


def touched(changes: list[Change]) -> set[str]:
    """The couriers that have to be started anew."""
    return {c.courier for c in changes if c.needs == RESTART}
