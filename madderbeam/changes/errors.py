"""Errors of a change. Each has a stable code, the path of the faulty value, the allowed values and advice for
the operator.

All errors of a change are reported together, one line each, so that one correction fixes them all.
"""

from __future__ import annotations


class ChangeError(Exception):
    """One error. `path`: its place in the change; `allowed`: the values allowed there."""

    code = "change"
    advice = ""

    def __init__(self, path: str, wrong: str, allowed: str) -> None:
        super().__init__(path, wrong, allowed)
        self.path, self.wrong, self.allowed = path, wrong, allowed

    def line(self) -> str:
        """Return the line that is logged and sent to the operator."""
        return f"{self.path}: {self.wrong}; allowed: {self.allowed} ({self.code}: {self.advice})"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, ChangeError) and self.line() == other.line()

    def __hash__(self) -> int:
        return hash(self.line())


# In the document


class Unreadable(ChangeError):
    """An invalid document, field or value."""

    code = "unreadable"
    advice = "correct the field named here and hand the change in again"


class Unknown(ChangeError):
    """The change refers to something that does not exist."""

    code = "unknown"
    advice = "correct the name, or add what is meant in the same change"


class Exists(ChangeError):
    """The change adds something that already exists."""

    code = "exists"
    advice = "edit it in place of adding it, or choose another name"


# In the resulting snapshot


class Broken(ChangeError):
    """The resulting configuration breaks a rule of the model."""

    code = "broken-rule"
    advice = "correct the value named here, or change the others that it does not go with as well"


class NeedsRestart(ChangeError):
    """The change touches a setting that a running courier can't change."""

    code = "needs-restart"
    advice = "put it into the estate's file, render it, and start the courier anew"


class TooMany(ChangeError):
    """More rows in a section than a courier allows."""

    code = "too-many"
    advice = "take away what is not used, or start the courier anew, which forgets what has been taken away"


# In the runtime state


class LiveError(ChangeError):
    """A conflict with the current runtime state. A change that lists the code in `accept` overrides it."""


class NothingReady(LiveError):
    """A destination with pending messages would have no endpoint in service."""

    code = "nothing-ready"
    advice = "add an endpoint first, wait until nothing is held for it, or accept this code in the change"


class Orphans(LiveError):
    """A destination with pending messages would be removed; each of them would complete unsent."""

    code = "orphans"
    advice = "wait until nothing is held for it, or accept this code in the change: they are handed back"


class LittleLeft(LiveError):
    """Too few of a destination's endpoints would remain for its calls in flight."""

    code = "little-left"
    advice = "take away fewer at a time, or accept this code in the change"


# In relation to other changes


class Stale(ChangeError):
    """The rows that the change touches have changed since its base version."""

    code = "stale"
    advice = "look at what is in force now, and write the change anew on that version"


class BuiltUpon(ChangeError):
    """A later change touched the same rows, so a rollback of this one would partly revert that one."""

    code = "built-upon"
    advice = "undo the later ones first, the newest at the beginning"


class Twice(ChangeError):
    """A change with this name already exists."""

    code = "twice"
    advice = "if it is another change give it another name; `change history` tells what became of the first"


class Full(ChangeError):
    """The queue of staged changes is full."""

    code = "queue-full"
    advice = "wait until one is kept or undone, or drop one with `change undo NAME`"


class NotKept(ChangeError):
    """The record could not be written to disk, so the change is not active."""

    code = "not-kept"
    advice = "make room on the disk beside the state folder and hand the change in again"
