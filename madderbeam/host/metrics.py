"""Counters for operators, from the start of the process on; an event is counted when it happens."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

SUCCEEDED, DECLINED, ABORTED = "succeeded", "declined", "aborted"
PREFIX = "app"


class Metrics:
    """Counts completed messages by class, and messages written completely to endpoints."""

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = tuple(classes)
        self.completed = {outcome: [0] * len(self.classes) for outcome in (SUCCEEDED, DECLINED, ABORTED)}
        self.forwards = 0
        self.reloads = {True: 0, False: 0}  # SIGHUPs, by whether the file was valid

    def count_completion(self, outcome: str, cls: int) -> None:
        """Count a completed message; one of a class that the settings no longer have is not counted."""
        if cls < len(self.classes):
            self.completed[outcome][cls] += 1

    def count_forwarded(self, messages: int) -> None:
        """Count messages that were written completely to an endpoint."""
        self.forwards += messages

    def count_reload(self, applied: bool) -> None:
        """Count a SIGHUP, by whether its file was valid."""
        self.reloads[applied] += 1

    def render(
        self,
        outstanding: int,
        discovered: int,
        ejected: int,
        damage: int,
        more: Mapping[str, int] | None = None,
    ) -> str:
        """Return all metrics, one name=value a line; `more`: metrics of optional components."""
        rows = [
            (f"{outcome}.{name}", count)
            for outcome, counts in self.completed.items()
            for name, count in zip(self.classes, counts, strict=True)
        ]
        rows += [
            ("forwards", self.forwards),
            ("outstanding", outstanding),
            ("discovered", discovered),
            ("ejected", ejected),
            ("sighup_applied", self.reloads[True]),
            ("sighup_rejected", self.reloads[False]),
            ("journal_damage", damage),
        ]
        rows += (more or {}).items()
        return "".join(f"{PREFIX}.{name}={count}\n" for name, count in rows)
