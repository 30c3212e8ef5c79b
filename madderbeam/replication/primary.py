"""The primary's state machine: streams the journal and decides when operations may proceed.

`handle(now_us, event)` returns actions, to be performed in order. In strict mode (mode before, silent refuse)
no accept, unsafe attempt or notice proceeds without the standby's acknowledgement. An acknowledgement also
grants a lease of `silent_us`, counted on this clock from when it was requested: a courier that was paused or
cut off finds its lease expired.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.membership.values import LogLine, Persist, Row, SetTimer, TimerDue, WriteFailed
from madderbeam.replication import errors, messages
from madderbeam.replication.cursor import Cursor, describe_excess
from madderbeam.replication.values import (
    MAX_CHUNK_BYTES,
    SEND_WINDOW_BYTES,
    Abort,
    Appended,
    AwaitAck,
    CloseConnection,
    ComputeDigest,
    ConnectionLost,
    DigestResult,
    HandoverCompleted,
    MessageReceived,
    Proceed,
    ReadResult,
    ReadSegment,
    SegmentRemoved,
    SendMessage,
    Settings,
    ShutdownCompleted,
    Stop,
    WaitKind,
)
from madderbeam.replication.wait_queue import PendingWait, WaitQueue

HEARTBEATS_PER_SILENCE = 4  # sent per `silent_us`
MAX_HANDOVER_US = 3_000_000  # a shutdown waits at most this long for the last acknowledgement


class Primary:
    """The primary's side of one replication pair.

    `sizes`: the journal's segments at the start; `records`: the durable records (fence, fenced, agreed).

    `state`: down (not connected), checking (comparing the copy), stream (catching up), live (sending data as
    it is written), apart (the copy is no earlier state of this folder), fenced.
    """

    def __init__(
        self, settings: Settings, name: str, sizes: Mapping[int, int], records: Mapping[tuple[str, str], Any]
    ) -> None:
        self.settings, self.name = settings, name
        self.sizes = dict(sizes)
        self.fence: int = records.get(("fence", ""), 1)
        # the fence of the courier that took over, 0: none
        self.fenced_by: int = records.get(("fenced", ""), 0)
        # The standby may still assume strict mode: it applies until the standby received a weaker setting.
        self.agreed_strict = bool(records.get(("agreed", ""), False))
        self.state = "fenced" if self.fenced_by else "down"
        self.cursor = Cursor(self.sizes, {}, {})
        self.copy_segments: dict[int, tuple[int, int]] = {}
        self.is_reading = self.is_midway = False
        self.position = self.acked_position = 0  # file operations here; those acknowledged
        self.sent_bytes = self.acked_bytes = 0  # on this connection
        self.lease_until_us = self.last_received_us = 0
        self.runs_without_standby = False  # operations proceed without acknowledgements
        self.is_shutting_down = self.has_connected = False
        self.last_error: errors.StandbyError | None = None
        self.wait_queue = WaitQueue()
        self.disconnected_lag_bytes = 0  # the known lag without a connection
        self.lag_since_us = 0  # when the oldest unacknowledged data was written

    # Queries

    @property
    def is_strict(self) -> bool:
        """Whether strict mode applies, by the settings or as last agreed with the standby."""
        return self.settings.is_strict or self.agreed_strict

    def has_lease(self, now_us: int) -> bool:
        """Whether the standby's lease is valid."""
        return now_us < self.lease_until_us

    def may_start_work(self, now_us: int) -> bool:
        """Whether messages may be accepted and attempts begun now."""
        if self.state == "fenced":
            return False
        return not self.is_strict or (self.has_lease(now_us) and self.state == "live")

    def needs_no_ack(self, kind: WaitKind) -> bool:
        """Whether an operation of this kind needs no acknowledgement now."""
        if self.state == "fenced" or self.is_strict:
            return False
        if self.runs_without_standby or (
            self.settings.mode == "after" and self.lag_bytes <= self.settings.max_lag_bytes
        ):
            return True
        return kind is WaitKind.REPEATABLE_ATTEMPT

    @property
    def is_ready(self) -> bool:
        """Whether work may begin: the standby is in sync and has granted a lease, or work has to continue
        without it."""
        if self.is_strict:
            return self.in_sync and self.lease_until_us > 0
        return self.has_connected or self.runs_without_standby

    @property
    def in_sync(self) -> bool:
        """Whether the standby has acknowledged everything written so far."""
        return self.state == "live" and self.acked_position >= self.position

    @property
    def lag_bytes(self) -> int:
        """Bytes that the standby has not acknowledged."""
        if self.state == "live":
            return self.sent_bytes - self.acked_bytes
        return (
            self.sent_bytes - self.acked_bytes + self.cursor.missing_bytes()
            if self.state == "stream"
            else self.disconnected_lag_bytes
        )

    def lag_us(self, now_us: int) -> int:
        """Age of the oldest unacknowledged data, 0 if in sync."""
        return 0 if self.in_sync or not self.position else max(0, now_us - self.lag_since_us)

    def hello_row(self) -> Row:
        """The row of the `hello` message on a new connection."""
        return [
            self.fence,
            self.settings.settings_digest,
            self.settings.is_strict,
            self.settings.silent_us,
            self.settings.limit_bytes,
            self.name,
        ]

    # Events

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """Process an event; returns the actions to perform, in order."""
        match event:
            case Appended():
                return self._on_appended(now_us, event)
            case AwaitAck():
                return self._on_await_ack(now_us, event)
            case MessageReceived():
                return self._on_message(now_us, event)
            case ReadResult():
                return self._on_read_result(now_us, event)
            case SegmentRemoved():
                return self._on_segment_removed(now_us, event.segment)
            case DigestResult():
                return self._on_digest(now_us, event)
            case TimerDue():
                return self._on_timer(now_us, event.token)
            case ConnectionLost():
                return self._on_connection_lost()
            case ShutdownCompleted():
                self.is_shutting_down = True
                return [*self._hand_over(now_us), SetTimer(now_us + MAX_HANDOVER_US, "leave")]
            case WriteFailed(kind="fenced"):  # the fence still holds in this process
                return [] if self.is_shutting_down else [Stop(True)]
        return []

    def start(self, now_us: int) -> list[Any]:
        """Start the timers; returns the first actions."""
        self.last_received_us = now_us
        if self.state == "fenced":
            return [Stop(True)]
        return [
            SetTimer(now_us + self._heartbeat_us, "beat"),
            SetTimer(now_us + self.settings.silent_us, "waits"),
        ]

    @property
    def _heartbeat_us(self) -> int:
        return self.settings.silent_us // HEARTBEATS_PER_SILENCE

    # Journal writes

    def _on_appended(self, now_us: int, event: Appended) -> list[Any]:
        if self.acked_position >= self.position:
            self.lag_since_us = now_us
        self.sizes[event.segment] = event.offset + len(event.data)
        self.position += 1
        if self.state != "live":
            self.disconnected_lag_bytes += len(event.data)
            return []
        if (
            self.cursor.sent.get(event.segment, 0) != event.offset
            or self.sent_bytes - self.acked_bytes + len(event.data) > SEND_WINDOW_BYTES
        ):
            self.state = "stream"  # read from the file once the send window allows
            return self._send_missing(now_us)
        last_index = len(event.data) - 1
        return [
            self._send_block(
                now_us,
                event.segment,
                event.offset + chunk_start,
                event.data[chunk_start : chunk_start + MAX_CHUNK_BYTES],
                self.position if chunk_start + MAX_CHUNK_BYTES > last_index else self.position - 1,
            )
            for chunk_start in range(0, len(event.data), MAX_CHUNK_BYTES)
        ]

    def _on_segment_removed(self, now_us: int, segment: int) -> list[Any]:
        self.sizes.pop(segment, None)
        if self.acked_position >= self.position:
            self.lag_since_us = now_us
        self.position += 1
        if self.state == "live":
            return [self._send_removal(now_us, segment)]
        if self.state == "stream" and not self.is_midway and not self.cursor.is_prefix:
            self.is_midway = True
            return [SendMessage("midway", [])]
        return []

    def _send_block(self, now_us: int, segment: int, offset: int, data: bytes, position: int) -> SendMessage:
        self.sent_bytes += len(data)
        digest = self.cursor.record_sent(segment, data)
        return SendMessage(
            "block", [segment, offset, data, digest, position, self.sent_bytes, now_us, self.fence]
        )

    def _send_removal(self, now_us: int, segment: int) -> SendMessage:
        self.cursor.record_removed(segment)
        return SendMessage("drop", [segment, self.position, self.sent_bytes, now_us, self.fence])

    # Waiting operations

    def _on_await_ack(self, now_us: int, event: AwaitAck) -> list[Any]:
        if self.state == "fenced":
            return [] if event.kind is WaitKind.OUTCOME else [Abort(event.token)]
        if self.needs_no_ack(event.kind):
            return [Proceed(event.token)]
        if event.kind is WaitKind.REPEATABLE_ATTEMPT:
            return [Proceed(event.token) if self.has_lease(now_us) else Abort(event.token)]
        due_us = (
            max(event.deadline_us, now_us)
            if event.kind is WaitKind.OUTCOME
            else now_us + self.settings.silent_us
        )
        self.wait_queue.add(event, self.position, due_us)
        decided = self._decide_acknowledged(now_us)
        return [*decided, *self._next_wait_timer()]

    def _next_wait_timer(self) -> list[Any]:
        due_us = self.wait_queue.next_due_us()
        return [] if due_us is None else [SetTimer(due_us, "waits")]

    def _decide_acknowledged(self, now_us: int) -> list[Any]:
        """Decide the acknowledged operations; in strict mode they proceed only within the lease."""
        return [self._decide(now_us, wait) for wait in self.wait_queue.pop_acknowledged(self.acked_position)]

    def _decide(self, now_us: int, wait: PendingWait) -> Any:
        if self.is_strict and wait.kind is not WaitKind.OUTCOME and not self.has_lease(now_us):
            return Abort(wait.token)
        return Proceed(wait.token)

    def _decide_overdue(self, now_us: int) -> list[Any]:
        """Decide the operations whose acknowledgement did not arrive in time."""
        due = self.wait_queue.pop_due(now_us)
        is_silent = now_us - self.last_received_us >= self.settings.silent_us
        if (
            not self.is_strict
            and self.settings.silent == "alone"
            and (due or (is_silent and not self.is_ready))
        ):
            return [*(Proceed(wait.token) for wait in due), *self._continue_without_standby()]
        # Also an outcome: the standby may have taken over and sent a message that is reported as unsent here.
        actions: list[Any] = [Abort(wait.token) for wait in due]
        if is_silent and self.last_error is None:
            self.last_error = errors.Silent(f"no word for {self.settings.silent_us / 1e6:g} s")
            actions.append(LogLine("", self.last_error))
        return actions

    def _continue_without_standby(self) -> list[Any]:
        if self.runs_without_standby:
            return []
        self.runs_without_standby = True
        self.last_error = self.last_error or errors.Silent("no word in time; this courier goes on alone")
        return [LogLine("", self.last_error), *(Proceed(wait.token) for wait in self.wait_queue.pop_all())]

    # Messages of the standby

    def _on_message(self, now_us: int, event: MessageReceived) -> list[Any]:
        try:
            row = messages.check(event.channel, event.row)
        except messages.InvalidMessage as error:
            return [LogLine(f"invalid message from the standby: {error}"), CloseConnection()]
        if self.state == "fenced":
            return []
        if event.channel == "ack":
            return self._on_ack(now_us, *row)
        if event.channel == "welcome":
            return self._on_welcome(now_us, row[0])
        if event.channel == "fenced":
            return self._on_fenced(row[0])
        if event.channel == "refused":
            errors_by_code = {error.code: error for error in errors.ALL}
            return self._stop_replicating(errors_by_code.get(row[0], errors.StandbyError)(row[1]))
        if event.channel == "full":
            self.last_error = errors.DiskFull("it says that its disk is full")
            return [LogLine("", self.last_error), CloseConnection()]
        if event.channel == "yield":
            return [
                LogLine("the standby is being promoted: shutting down and handing over"),
                Stop(False),
            ]
        return []

    def _on_fenced(self, fence: int) -> list[Any]:
        self.state, self.fenced_by = "fenced", fence
        self.lease_until_us = 0
        self.last_error = errors.Fenced(
            f"the standby took over, with fence {fence}; this one has {self.fence}"
        )
        aborted = [
            Abort(wait.token) for wait in self.wait_queue.pop_all() if wait.kind is not WaitKind.OUTCOME
        ]
        return [LogLine("", self.last_error), *aborted, Persist("fenced", "", fence), Stop(True)]

    def _stop_replicating(self, error: errors.StandbyError) -> list[Any]:
        """Stop replicating until an operator resolves the error."""
        is_known = type(self.last_error) is type(error)
        self.state, self.last_error = "apart", error
        return [*([] if is_known else [LogLine("", error)]), CloseConnection()]

    def _on_welcome(self, now_us: int, copy_rows: list[list[int]]) -> list[Any]:
        copy_segments = {segment: (size, digest) for segment, size, digest in copy_rows}
        self.has_connected = True
        if excess := describe_excess(
            self.sizes, {segment: size for segment, (size, _) in copy_segments.items()}
        ):
            return self._stop_replicating(errors.Ahead(excess))
        self.state, self.sent_bytes, self.acked_bytes = "checking", 0, 0
        self.copy_segments, self.is_reading, self.is_midway = copy_segments, False, False
        self.cursor = Cursor(self.sizes, {}, {})
        return self._compare_next_segment(now_us)

    def _compare_next_segment(self, now_us: int) -> list[Any]:
        """Compare the copy's next segment with this journal; after the last one begin the stream."""
        for segment in sorted(self.copy_segments):
            if segment in self.sizes and self.copy_segments[segment][0] and segment not in self.cursor.sent:
                return [ComputeDigest(segment, self.copy_segments[segment][0])]
        sent_sizes = {segment: size for segment, (size, _) in self.copy_segments.items()}
        self.cursor = Cursor(
            self.sizes, sent_sizes, {segment: digest for segment, (_, digest) in self.copy_segments.items()}
        )
        self.state, self.is_midway = "stream", not self.cursor.is_prefix
        return [*([SendMessage("midway", [])] if self.is_midway else []), *self._send_missing(now_us)]

    def _on_digest(self, now_us: int, event: DigestResult) -> list[Any]:
        if self.state != "checking" or event.segment not in self.copy_segments:
            return []
        if event.digest < 0 and event.segment in self.sizes:  # it cannot be read now
            return [CloseConnection()]
        size, digest = self.copy_segments[event.segment]
        if event.size == size and event.digest != digest and event.segment in self.sizes:
            return self._stop_replicating(
                errors.Diverged(f"the first {size} bytes of segment {event.segment} differ")
            )
        self.cursor.sent[event.segment] = size
        return self._compare_next_segment(now_us)

    def _on_connection_lost(self) -> list[Any]:
        self.disconnected_lag_bytes = self.lag_bytes
        if self.state not in ("fenced", "apart"):
            self.state = "down"
        self.cursor = Cursor(self.sizes, {}, {})
        self.is_reading = False
        return []

    # Stream

    def _send_missing(self, now_us: int) -> list[Any]:
        """Send missing data, one part at a time; once none is missing, go live."""
        if (
            self.state != "stream"
            or self.is_reading
            or self.sent_bytes - self.acked_bytes + MAX_CHUNK_BYTES > SEND_WINDOW_BYTES
        ):
            return []
        missing_part = self.cursor.next_missing()
        if missing_part is not None:
            self.is_reading = True
            return [ReadSegment(*missing_part)]
        self.state, self.is_midway = "live", False
        removals = [self._send_removal(now_us, segment) for segment in self.cursor.removed_segments()]
        return [*removals, SendMessage("whole", [self.position, self.sent_bytes, now_us])]

    def _on_read_result(self, now_us: int, event: ReadResult) -> list[Any]:
        if not self.is_reading or self.state != "stream":
            return []
        self.is_reading = False
        if event.data is None and event.segment in self.sizes:
            return [LogLine(f"segment {event.segment} cannot be read"), CloseConnection()]
        if (
            not event.data
            or event.segment not in self.sizes
            or self.cursor.sent.get(event.segment, 0) != event.offset
        ):
            return self._send_missing(now_us)
        return [
            self._send_block(now_us, event.segment, event.offset, event.data, self.acked_position),
            *self._send_missing(now_us),
        ]

    def _on_ack(self, now_us: int, position: int, acked_bytes: int, stamp: int) -> list[Any]:
        if stamp > now_us or acked_bytes > self.sent_bytes or position > self.position:
            return [LogLine("the standby acknowledges data that was not sent"), CloseConnection()]
        self.last_received_us = now_us
        self.acked_bytes = max(self.acked_bytes, acked_bytes)
        if self.state in ("live", "stream"):
            self.acked_position = max(self.acked_position, position)
            self.lease_until_us = max(self.lease_until_us, stamp + self.settings.silent_us)
        agreed = self._agree_on_strictness(stamp)
        if self.in_sync and (self.runs_without_standby or self.last_error):
            self.runs_without_standby, self.last_error = False, None
            return [*agreed, LogLine("the standby is in sync"), *self._decide_acknowledged(now_us)]
        return [
            *agreed,
            *self._decide_acknowledged(now_us),
            *self._send_missing(now_us),
            *self._hand_over(now_us),
        ]

    def _agree_on_strictness(self, stamp: int) -> list[Any]:
        """Go by the current setting once an acknowledgement tells that the standby has recorded it.

        One without a stamp comes from a standby that does not know yet whether this is its primary.
        """
        if not stamp or self.state not in ("live", "stream") or self.agreed_strict == self.settings.is_strict:
            return []
        self.agreed_strict = self.settings.is_strict
        return [Persist("agreed", "", self.settings.is_strict)]

    # Timers

    def _on_timer(self, now_us: int, token: str) -> list[Any]:
        if token == "waits":
            return [*self._decide_overdue(now_us), *self._next_wait_timer()]
        if token == "beat":
            if self.state == "fenced":
                return []
            next_heartbeat = SetTimer(now_us + self._heartbeat_us, "beat")
            decided = (
                self._decide_overdue(now_us)
                if now_us - self.last_received_us >= self.settings.silent_us
                else []
            )
            return [SendMessage("beat", [now_us]), *decided, next_heartbeat]
        if token == "leave":
            return [HandoverCompleted()]
        return []

    # Shutdown

    def _hand_over(self, now_us: int) -> list[Any]:
        """Fence this courier and release the messages to the standby, once the copy has everything."""
        if not self.is_shutting_down or not self.in_sync or self.state == "fenced":
            return []
        self.state, self.fenced_by = "fenced", self.fence + 1
        self.lease_until_us = 0
        return [Persist("fenced", "", self.fence + 1), SendMessage("released", []), HandoverCompleted()]
