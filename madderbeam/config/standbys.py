"""What an estate says of standbys: mistakes, and the courier's part of it."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from madderbeam.config import model as m
from madderbeam.config.addresses import split_address
from madderbeam.config.report import Report
from madderbeam.config.source import Key, Source

ADDRESS = "HOST:PORT with a port from 1 to 65535"


def standby(told: m.Standby, folder: Path) -> dict[str, Any]:
    """As the courier is told of it."""
    return {**told.model_dump(), "key_file": os.path.realpath(folder / told.key_file)}


def standbys(
    estate: m.Estate, apps: list[tuple[m.Application, Key]], folder: Path, source: Source, report: Report
) -> None:
    """Tell all mistakes but those of listening addresses."""
    for app, at in apps:
        if app.standby is not None:
            _one(app, app.standby, (*at, "standby"), estate, folder, source, report)


def _one(
    app: m.Application,
    told: m.Standby,
    at: Key,
    estate: m.Estate,
    folder: Path,
    source: Source,
    report: Report,
) -> None:
    if told.to is None and told.listen is None:
        report.add(
            source,
            at,
            "neither to nor listen is there",
            "to (where its standby is), listen (where it is one), or both",
        )
    if told.to is not None and split_address(told.to) is None:
        report.add(source, (*at, "to"), f"can't be {told.to!r}", ADDRESS)
    if told.takeover == "lease" and (told.mode, told.silent) != ("before", "refuse"):
        report.add(
            source,
            (*at, "takeover"),
            "with a lease an owner that goes on alone would be two",
            "lease with mode before and silent refuse, or person",
        )
    if estate.federation is not None:
        report.add(
            source,
            at,
            "a member of a federation has no standby: others take its streams over",
            "standby without [federation]",
        )
    if estate.changes is not None:
        report.add(
            source, at, "changes of a running courier do not reach its standby", "standby without [changes]"
        )
    if app.control is None:
        report.warn(
            source,
            at,
            f"{app.name} has no second address (control): nobody can promote it or see "
            "how far its standby is",
        )
    path = folder / told.key_file
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            text = file.read(1 << 16)
    except OSError as error:
        report.add(
            source, (*at, "key_file"), f"{path}: cannot be read: {error.strerror}", "a file of lines NAME HEX"
        )
        return
    from madderbeam.replication.errors import KeyUnfit
    from madderbeam.replication.keys import parse_keys

    try:
        parse_keys(text, str(path))
    except KeyUnfit as error:
        report.add(source, (*at, "key_file"), error.what, "lines NAME HEX, 32 to 256 hex digits")
