"""Settings, events and actions of the primary's and the standby's state machine.

Times are microseconds of the local monotonic clock. Timestamps on the wire are interpreted only by the side
that made them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from madderbeam.membership.values import Row

MAX_CHUNK_BYTES = 1 << 16  # of one block of the stream
SEND_WINDOW_BYTES = 1 << 20  # sent, not acknowledged; data beyond it is read from the files later
MAX_BLOCK_BYTES = 1 << 17  # of a received block
LEASE_MARGIN_US = 100_000  # the standby waits for the lease, the drift and this time


@dataclass(frozen=True)
class Settings:
    """Settings of one side: the primary's govern the stream, the standby's the takeover."""

    mode: str = "before"  # after, before
    silent: str = "refuse"  # refuse, alone
    silent_us: int = 2_000_000  # the other side counts as silent after this long without a message
    max_lag_bytes: int = 8_000_000  # mode after: replies wait if more is unacknowledged
    takeover: str = "person"  # person, lease
    drift_ppm: int = 1_000  # maximum relative drift of the two clocks
    limit_bytes: int = 0  # maximum size of the journal's folder
    settings_digest: str = ""  # digest of the settings that must be equal on both couriers

    @property
    def is_strict(self) -> bool:
        """Whether accepts, unsafe attempts and notices always need the standby's acknowledgement."""
        return self.mode == "before" and self.silent == "refuse"

    def standby_lease_us(self, lease_us: int) -> int:
        """How long the standby waits, in microseconds, for a lease that lasts `lease_us` at the primary."""
        return lease_us + 2 * lease_us * self.drift_ppm // 1_000_000 + LEASE_MARGIN_US


class WaitKind(IntEnum):
    """What waits for the standby's acknowledgement."""

    ACCEPT = 0  # the `+OK` reply to a message
    ATTEMPT = 1  # the first byte of an attempt that must not be repeated
    REPEATABLE_ATTEMPT = 2  # the first byte of an attempt that may be repeated
    OUTCOME = 3  # a notice; past the message's deadline it can only report an unknown outcome


# Events of the primary


@dataclass(frozen=True)
class Appended:
    """The primary's journal wrote `data` to a segment at this offset."""

    segment: int
    offset: int
    data: bytes


@dataclass(frozen=True)
class SegmentRemoved:
    """The primary's journal removed a segment."""

    segment: int


@dataclass(frozen=True)
class AwaitAck:
    """Wait until everything written so far is acknowledged; answered by Proceed or Abort with this token.

    `deadline_us`: until when an OUTCOME may wait.
    """

    token: int
    kind: WaitKind
    deadline_us: int = 0


@dataclass(frozen=True)
class ReadResult:
    """The result of ReadSegment; `data` is None if the file cannot be read now."""

    segment: int
    offset: int
    data: bytes | None


@dataclass(frozen=True)
class DigestResult:
    """The result of ComputeDigest; the digest is -1 if the file cannot be read."""

    segment: int
    size: int
    digest: int


@dataclass(frozen=True)
class ShutdownCompleted:
    """The courier has shut down in an orderly way and writes nothing more."""


# Events of the standby


@dataclass(frozen=True)
class HelloReceived:
    """An authenticated primary has introduced itself on the connection `link`."""

    link: int
    row: Row


@dataclass(frozen=True)
class WriteResult:
    """The result of WriteSegment; after a failure none of its data is in the file."""

    segment: int
    offset: int
    data: bytes
    digest_before: int
    succeeded: bool


@dataclass(frozen=True)
class RemoveResult:
    """The result of RemoveSegment."""

    segment: int


@dataclass(frozen=True)
class Promote:
    """An operator requests promotion."""


# Events of both


@dataclass(frozen=True)
class MessageReceived:
    """A message of the other side has arrived; the primary ignores `link`."""

    channel: str
    row: Row
    link: int = 0


@dataclass(frozen=True)
class ConnectionLost:
    """The connection has ended."""

    link: int = 0


# Actions


@dataclass(frozen=True)
class SendMessage:
    """Send a message, at the standby on the connection `link`."""

    channel: str
    row: Row
    link: int = 0


@dataclass(frozen=True)
class CloseConnection:
    """Close the connection; the primary opens a new one."""

    link: int = 0


@dataclass(frozen=True)
class ReadSegment:
    """Read part of a segment's file; answered by ReadResult."""

    segment: int
    offset: int
    max_bytes: int


@dataclass(frozen=True)
class ComputeDigest:
    """Compute the digest of the first `size` bytes of a segment's file; answered by DigestResult."""

    segment: int
    size: int


@dataclass(frozen=True)
class Proceed:
    """The operation that waited may proceed."""

    token: int


@dataclass(frozen=True)
class Abort:
    """The operation must not happen: it is unknown whether the standby has its record."""

    token: int


@dataclass(frozen=True)
class Stop:
    """If fenced, stop all effects and writes at once; otherwise shut down and post ShutdownCompleted."""

    is_fenced: bool


@dataclass(frozen=True)
class HandoverCompleted:
    """The handover is complete or has timed out: the process may exit."""


@dataclass(frozen=True)
class WriteSegment:
    """Append to a segment of the copy, whose digest was `digest_before`; answered by WriteResult."""

    segment: int
    offset: int
    data: bytes
    digest_before: int


@dataclass(frozen=True)
class RemoveSegment:
    """Remove a segment of the copy; answered by RemoveResult."""

    segment: int


@dataclass(frozen=True)
class TakeOver:
    """Start a courier on the copy.

    `may_lack_records`: each open message counts as possibly executed. If the copy `is_prefix`, an earlier
    state of the primary's journal, then from its newest recorded time on, else from the oldest.
    """

    fence: int
    may_lack_records: bool
    is_prefix: bool
