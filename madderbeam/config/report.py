"""What a check finds, and the words in which it is told."""

from __future__ import annotations

import difflib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from madderbeam.config import model as m
from madderbeam.config.source import Key, Problem, Source


@dataclass(frozen=True)
class Loaded:
    """An estate that holds, with where each application's settings stand."""

    folder: Path
    estate: m.Estate
    partners: m.Partners
    applications: tuple[m.Application, ...]  # with the defaults filled in

    def state(self, app: m.Application) -> Path:
        return self.folder / app.state

    def finals(self, app: m.Application) -> str:
        """The feed's path, or http://HOST:PORT."""
        if app.finals is not None and app.finals.startswith("http://"):
            return app.finals
        if app.finals is not None:
            return str(self.folder / app.finals)
        return str(self.state(app).with_name(self.state(app).name + "-finals.jsonl"))


@dataclass
class Report:
    """What a check found."""

    problems: list[Problem] = field(default_factory=list)
    loaded: Loaded | None = None
    warnings: list[Problem] = field(default_factory=list)  # what may be meant so

    def warn(self, source: Source, path: Key, text: str) -> None:
        self.warnings.append(source.problem(path, f"warning: {text}"))

    def add(self, source: Source, path: Key, wrong: str, allowed: str, hint: str = "") -> None:
        text = f"{wrong}; allowed: {allowed}" + (f"; did you mean {hint}?" if hint else "")
        self.problems.append(source.problem(path, text))


def like(word: str, known: Iterable[str]) -> str:
    """The known word that was probably meant, or nothing."""
    return next(iter(difflib.get_close_matches(word, list(known), 1, 0.6)), "")


def some(words: Iterable[str], most: int = 8) -> str:
    """A short list of words."""
    words = sorted(words)
    return ", ".join(words[:most]) + (f" and {len(words) - most} more" if len(words) > most else "") or "none"


def where(source: Source, app: Key, name: str) -> Key:
    """Where an application's setting was written."""
    if (*app, name) in source.lines:
        return (*app, name)
    if ("defaults", name) in source.lines:
        return ("defaults", name)
    return app


def named(
    words: Sequence[str], known: Iterable[str], what: str, at: Key, source: Source, report: Report
) -> None:
    known = list(known)
    seen: set[str] = set()
    for number, word in enumerate(words):
        if word not in known:
            report.add(source, (*at, number), f"no {what} {word!r}", some(known), like(word, known))
        elif word in seen:
            report.add(source, (*at, number), f"{word!r} stands twice", "each once")
        seen.add(word)
