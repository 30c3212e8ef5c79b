"""What of the courier a run reaches: its lines and branches, and what followed on what for each message,
courier and endpoint. Needs the package coverage (extra `lab`)."""

from __future__ import annotations

import ast
from collections.abc import Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from madderbeam.simulation.kernel import Report
from madderbeam.simulation.mutants import PACKAGES, ROOT
from madderbeam.simulation.runs import play
from madderbeam.simulation.script import Script

Line = tuple[str, int]  # of a module, by its path below the package
Feature = tuple[Any, ...]
ASIDE = ("log", "script", "checker", "client")  # whose lines tell of nobody's state
KINDS = ("call", "answer", "left", "notice", "says", "put", "knows")  # of the trace, that tell of messages


@dataclass(frozen=True)
class Reached:
    """One run and what it reached."""

    script: Script
    report: Report
    lines: frozenset[Line]
    features: frozenset[Feature]  # branches as (path, from, to), and pairs of events

    @property
    def cost(self) -> int:
        """Steps of the run: time of the machine would differ from one search to the next."""
        return max(1, self.report.steps)


def reached(script: Script, paired: bool = False) -> Reached:
    """Play a script and see what it reaches; `paired`: pairs of events as well, which needs its trace."""
    import coverage

    folders = [str(ROOT / package) for package in PACKAGES]
    measured = coverage.Coverage(branch=True, source=folders, data_file=None, config_file=False)
    measured.start()
    try:
        report = play(script, trace=paired)
    finally:
        measured.stop()
    data = measured.get_data()
    lines: set[Line] = set()
    features: set[Feature] = set()
    for name in data.measured_files():
        path = Path(name).relative_to(ROOT).as_posix()
        lines.update((path, line) for line in data.lines(name) or ())
        features.update((path, a, b) for a, b in data.arcs(name) or ())
    if paired:
        features |= pairs(report.trace)
        report = replace(report, trace=[])
    return Reached(script, report, frozenset(lines), frozenset(features))


def pairs(trace: Iterable[str]) -> set[Feature]:
    """What followed on what: of each message, each courier and each endpoint, by kinds of event."""
    last: dict[str, str] = {}
    found: set[Feature] = set()
    for text in trace:
        _, _, who, what, *rest = text.split(" ")
        fields = dict(part.split("=", 1) for part in rest if "=" in part)
        kind = what + fields.get("status", "") + fields.get("outcome", "") + fields.get("line", "")[:3]
        names = [who] if what not in KINDS and who not in ASIDE else []
        if what in KINDS:
            ids = fields.get("ids") or fields.get("id", "")
            names += [f"message {ident}" for ident in ids.strip("[]").replace("'", "").split(",")]
            if uid := fields.get("uid"):
                names.append(uid)
        for name in names:
            if name in last:
                found.add(("pair", name.split(" ")[0][:1], last[name], kind))
            last[name] = kind
    return found


def headers(source: str) -> dict[int, range]:
    """For each line of a module those of the statement that it is part of; of one with a body, its head."""
    found: dict[int, range] = {}
    for node in ast.walk(ast.parse(source)):  # outer ones first: inner ones take their lines over
        if isinstance(node, ast.stmt):
            body = getattr(node, "body", None)
            end = body[0].lineno - 1 if isinstance(body, list) and body else node.end_lineno or node.lineno
            own = range(node.lineno, max(node.lineno, end) + 1)
            found.update(dict.fromkeys(own, own))
    return found
