"""The verdict on every directive: imported, imported with a changed meaning, or not imported."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from madderbeam.importers.nginx.tree import Directive


class Verdict(Enum):
    """The verdict on a directive, by increasing severity; the most severe of several applies."""

    IMPORTED = "imported"
    CHANGED = "changed"
    LEFT = "not imported"


SEVERITY_ORDER = list(Verdict)


@dataclass
class Row:
    """The verdict on one directive; `why` says how its meaning changed, or why it was not imported."""

    directive: Directive
    verdict: Verdict
    why: list[str]

    def __str__(self) -> str:
        why = f": {'; '.join(self.why)}" if self.why else ""
        return (
            f"{self.directive.file}:{self.directive.line}: {self.verdict.value}: {self.directive.text}{why}"
        )


class Ledger:
    """Holds the verdict on each directive, by its identity."""

    def __init__(self) -> None:
        self.rows: dict[int, Row] = {}

    def judge(self, directive: Directive, verdict: Verdict, why: str = "") -> None:
        """Record a verdict on a directive: the most severe verdict applies, and all reasons are kept."""
        row = self.rows.setdefault(id(directive), Row(directive, verdict, []))
        if SEVERITY_ORDER.index(verdict) > SEVERITY_ORDER.index(row.verdict):
            row.verdict = verdict
        if why and why not in row.why:
            row.why.append(why)

    def imported(self, directive: Directive) -> None:
        """Record that the directive was imported unchanged."""
        self.judge(directive, Verdict.IMPORTED)

    def changed(self, directive: Directive, how: str) -> None:
        """Record that the directive was imported with a changed meaning."""
        self.judge(directive, Verdict.CHANGED, how)

    def left(self, directive: Directive, why: str) -> None:
        """Record that the directive was not imported."""
        self.judge(directive, Verdict.LEFT, why)

    def leave_all(self, directive: Directive, why: str) -> None:
        """Record that a block and everything nested in it was not imported."""
        self.left(directive, why)
        for inner in directive.block or ():
            self.leave_all(inner, f"stands in `{directive.name}`")

    def judged(self, directive: Directive) -> bool:
        """Whether the directive has a verdict."""
        return id(directive) in self.rows

    def count(self) -> Counter[Verdict]:
        """Return the number of directives by verdict."""
        return Counter(row.verdict for row in self.rows.values())

    def lines(self, directives: Iterable[Directive]) -> list[str]:
        """Return the report line of each directive, in the given order; each must have a verdict."""
        return [str(self.rows[id(d)]) for d in directives]
