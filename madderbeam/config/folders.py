"""Folders and feeds of an estate: each courier has its own."""

from __future__ import annotations

import os
from pathlib import Path

from madderbeam.config import model as m
from madderbeam.config.addresses import split_address
from madderbeam.config.report import Loaded, Report, where
from madderbeam.config.source import Key, Source


def folders(apps: list[tuple[m.Application, Key]], loaded: Loaded, source: Source, report: Report) -> None:
    seen: dict[str, str] = {}
    feeds: dict[str, str] = {}
    for app, at in apps:
        here = os.path.realpath(loaded.state(app))
        same = here in seen
        for other, name in seen.items():
            if here == other:
                report.add(source, (*at, "state"), f"{name} has the same folder", "a folder of its own")
            elif here.startswith(other + os.sep) or other.startswith(here + os.sep):
                report.add(
                    source, (*at, "state"), f"is nested with the folder of {name}", "a folder of its own"
                )
        seen[here] = app.name
        owner = owner_of(here)
        if owner and owner != app.name:
            report.add(source, (*at, "state"), f"holds the journal of {owner}", "a folder of its own")
        finals = loaded.finals(app)
        if finals.startswith("http://"):
            if split_address(finals[7:].rstrip("/")) is None:
                report.add(
                    source, (*at, "finals"), f"can't be {finals!r}", "http://HOST:PORT or a file's path"
                )
            continue
        feed = os.path.realpath(finals)
        if feed in feeds and not same:  # where the folder is another's, that was told already
            report.add(
                source, where(source, at, "finals"), f"{feeds[feed]} has the same feed", "a feed of its own"
            )
        feeds[feed] = app.name
        if feed.startswith(here + os.sep):
            report.add(
                source,
                where(source, at, "finals"),
                "lies in the state folder, which has a limit",
                "a path outside of it",
            )


def owner_of(folder: str) -> str:
    """The courier whose state a folder holds, '' if none is written there."""
    try:
        return (Path(folder) / "owner").read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError):
        return ""
