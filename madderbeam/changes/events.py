"""The events that the state machine takes and the actions that it returns. Records, timers and log lines are
those that all state machines share (membership/values.py)."""

from __future__ import annotations

from dataclasses import dataclass

from madderbeam.changes.values import Change, RuntimeState, Snapshot

# Events


@dataclass(frozen=True)
class ChangeSubmitted:
    """A change was submitted: staged until approved, or if `is_approved`, applied as soon as possible."""

    change: Change
    runtime_state: RuntimeState
    is_approved: bool = True


@dataclass(frozen=True)
class ChangeApproved:
    """A staged change may be applied."""

    id: str
    runtime_state: RuntimeState


@dataclass(frozen=True)
class ChangeDropped:
    """A staged change was withdrawn."""

    id: str


@dataclass(frozen=True)
class RollbackRequested:
    """An operator rolls back a change in its canary period."""

    id: str
    reason: str


@dataclass(frozen=True)
class RuntimeStateReported:
    """The runtime state that an action requested."""

    runtime_state: RuntimeState


@dataclass(frozen=True)
class FileProcessed:
    """This file was submitted, or rejected for good: it is read again only after it has changed."""

    digest: str
    snapshot: Snapshot


@dataclass(frozen=True)
class ApplyFailed:
    """The courier failed to apply a version."""

    version: int
    reason: str


# Actions


@dataclass(frozen=True)
class RequestRuntimeState:
    """Request the runtime state."""


@dataclass(frozen=True)
class Apply:
    """Activate a snapshot between two dispatch cycles. `still_draining`: ids in service there whose earlier
    drain has not expired; `slow_starting`: ids that recover with slow start; `starts_canary`: a canary period
    begins."""

    before: Snapshot
    after: Snapshot
    still_draining: frozenset[str] = frozenset()
    slow_starting: frozenset[str] = frozenset()
    starts_canary: bool = False


@dataclass(frozen=True)
class Readmit:
    """The drains of these endpoints have expired: they recover with slow start."""

    uids: tuple[str, ...]


@dataclass(frozen=True)
class ChangeCompleted:
    """A change has ended, with its outcome."""

    id: str
    result: str
    reason: str
