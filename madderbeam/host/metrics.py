"""What is counted for those who run the courier: from the start of the process, where it becomes true."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

SUCCEEDED, DECLINED, ABORTED = "succeeded", "declined", "aborted"
PREFIX = "app"


class Metrics:
    """Counts of ends by class, and of messages written whole to endpoints."""

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = tuple(classes)
        self.ends = {what: [0] * len(self.classes) for what in (SUCCEEDED, DECLINED, ABORTED)}
        self.forwards = 0
        self.reloads = {True: 0, False: 0}  # SIGHUPs, by whether the file could be used

    def ended(self, what: str, cls: int) -> None:
        """A message of this class has ended; of one that the settings have no more none are counted."""
        if cls < len(self.classes):
            self.ends[what][cls] += 1

    def forwarded(self, messages: int) -> None:
        """So many were written whole to an endpoint."""
        self.forwards += messages

    def reloaded(self, applied: bool) -> None:
        """A SIGHUP was followed, or its file could not be used."""
        self.reloads[applied] += 1

    def lines(
        self,
        outstanding: int,
        discovered: int,
        ejected: int,
        damage: int,
        more: Mapping[str, int] | None = None,
    ) -> str:
        """All figures, one name=value a line; `more`: of features that are on."""
        rows = [
            (f"{what}.{name}", count)
            for what, counts in self.ends.items()
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
