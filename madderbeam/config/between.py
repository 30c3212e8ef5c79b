"""Estates that are checked together: those of one federation begin with the same table and classes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from madderbeam.config import model as m
from madderbeam.config.diff import short, walk
from madderbeam.config.report import Loaded
from madderbeam.config.sites import first_table, member
from madderbeam.config.source import Problem


def between(estates: Sequence[tuple[str, Loaded]]) -> list[Problem]:
    """What estates that hold, each with its file's name, say differently of one federation."""
    first: dict[str, tuple[str, Loaded]] = {}
    members: dict[tuple[str, str, str], str] = {}
    found = []
    for file, loaded in estates:
        told = loaded.estate.federation
        if told is None:
            continue
        for app in loaded.applications:
            key = (told.name, told.site, member(app))
            if key in members:
                text = f"{told.site}/{key[2]} is in {members[key]} as well"
                found.append(_problem(file, "application", text, "each member once"))
            members.setdefault(key, file)
        if told.name not in first:
            first[told.name] = file, loaded
            continue
        other, theirs = first[told.name]
        for path, one, two in walk(_common(theirs), _common(loaded)):
            found.append(
                _problem(file, path, f"is {short(two)}, and {short(one)} by {other}", "the same at all sites")
            )
    return found


def _problem(file: str, path: str, wrong: str, allowed: str) -> Problem:
    return Problem(file, 1, path, f"{wrong}; allowed: {allowed}")


def _common(loaded: Loaded) -> dict[str, Any]:
    """What has to be the same at all sites, by the paths that an operator knows."""
    estate, partners = loaded.estate, loaded.partners
    table = first_table(estate, partners).document()
    names = {p.number: p.name for p in partners.partner}
    return {
        "site": table["sites"],
        "partner.site": {names[int(number)]: site for number, site in table["owners"].items()},
        "partner.number": {p.name: p.number for p in partners.partner},
        "partner.topics": {p.name: sorted(p.topics) for p in partners.partner if p.topics},
        "classes": {name: _effect(c) for name, c in estate.classes.items()},
        "tenants": dict.fromkeys(estate.tenants, True),
    }


def _effect(cls: m.MessageClass) -> dict[str, Any]:
    """What one site must know of another's class. Aims and worth may be a site's own."""
    return {
        "repeat": cls.repeat,
        "key_window_ms": cls.key_window_ms,
        "key_scope": cls.key_scope,
        "ordered": cls.ordered,
    }
