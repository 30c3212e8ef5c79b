"""The journal of a courier that has a standby: effects outside the process wait until a record is replicated.

The base class is unaware of replication: its disk reports each write and removal, and `accept`, `attempt` and
`record_outcome` pass their `done` to the replication gate, which calls it once the standby has the record.
The state in memory changes at once, as without a standby.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from madderbeam.journal.journal import Journal, _do_nothing, _raise
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.segments import UnconfirmedError, segment_number
from madderbeam.journal.zone_ids import UNKNOWN_ZONE_ID
from madderbeam.ports import Clock, Disk, File, Lock
from madderbeam.replication.values import WaitKind

NOTICE_MARGIN_S = 0.2  # after the message's deadline, then its notice reports an unknown outcome
AppendListener = Callable[[int, int, bytes], None]  # segment, offset, bytes


class ReplicationGate(Protocol):
    """Reports journal writes for replication and decides when operations may proceed."""

    def await_ack(
        self, kind: WaitKind, proceed: Callable[[], None], abort: Callable[[], None], deadline_s: float
    ) -> None:
        """Call `proceed` or `abort` once decided. `deadline_s`: until when an outcome may wait, else 0."""
        ...

    def may_attempt(self) -> bool:
        """Whether an attempt may be begun now; if not, its record need not be written."""
        ...

    def on_appended(self, segment: int, offset: int, data: bytes) -> None:
        """Data was written to a segment at an offset."""
        ...

    def on_removed(self, segment: int) -> None:
        """A segment was removed."""
        ...


class _File:
    """A segment's file that reports each write once it is complete or can no longer be truncated."""

    def __init__(self, file: File, segment: int, size: int, on_appended: AppendListener) -> None:
        self.file, self.segment, self.size, self.on_appended = file, segment, size, on_appended
        self.partial_write = b""  # the written part of a record that the disk did not accept completely

    def append(self, data: bytes) -> int:
        written = self.file.append(data)
        if written == len(data):
            offset, self.size = self.size, self.size + written
            self.on_appended(self.segment, offset, data)
        else:
            self.partial_write = data[:written]
        return written

    def truncate(self, size: int) -> None:
        self.file.truncate(size)
        self.size, self.partial_write = size, b""

    def sync(self) -> None:
        self.file.sync()

    def close(self) -> None:
        if self.partial_write:  # it can no longer be truncated
            self.on_appended(self.segment, self.size, self.partial_write)
        self.file.close()


class ReportingDisk:
    """A disk that reports writes to a journal's segments and their removal; other files pass unreported."""

    def __init__(self, disk: Disk, folder: str) -> None:
        self.disk, self.prefix = disk, f"{folder}/"
        self.on_appended: AppendListener | None = None
        self.on_removed: Callable[[int], None] | None = None
        self.read, self.stamp, self.rename, self.names = disk.read, disk.stamp, disk.rename, disk.names
        self.read_part = disk.read_part
        self.is_folder, self.make_folder = disk.is_folder, disk.make_folder

    def _segment(self, path: str) -> int:
        return segment_number(path.removeprefix(self.prefix)) if path.startswith(self.prefix) else 0

    def open(self, path: str, *, empty: bool = False) -> File:
        """Open a file; a segment's reports its writes."""
        file, segment = self.disk.open(path, empty=empty), self._segment(path)
        if not segment:
            return file
        return _File(file, segment, 0 if empty else self.disk.stamp(path)[1], self._report_appended)

    def _report_appended(self, segment: int, offset: int, data: bytes) -> None:
        if self.on_appended is not None:
            self.on_appended(segment, offset, data)

    def unlink(self, path: str) -> None:
        """Remove a file and report the removal of a segment."""
        self.disk.unlink(path)
        if (segment := self._segment(path)) and self.on_removed is not None:
            self.on_removed(segment)

    def lock(self, path: str) -> Lock:
        """Lock a file, as the underlying disk does."""
        return self.disk.lock(path)


class ReplicatedJournal(Journal):
    """A journal that asks the replication gate before an operation takes effect outside the process."""

    gate: ReplicationGate | None = None
    repeatable_classes: frozenset[int] = frozenset()  # class indices whose attempts may be repeated
    key_windows_s: Mapping[int, float] = {}  # by class index, from the first possibly executed attempt
    is_fenced = False  # another courier has taken over: nothing is written any more

    def __init__(self, disk: Disk, clock: Clock, folder: str, *options: Any) -> None:
        self.reporting_disk = ReportingDisk(disk, folder)
        self.unacknowledged_accepts: set[int] = set()  # numbers; the standby has not acknowledged these yet
        self.deferred_callbacks: dict[str, list[tuple[Callable[[], None], Callable[[], None]]]] = {}
        super().__init__(self.reporting_disk, clock, folder, *options)

    def attach(
        self, gate: ReplicationGate, repeatable_classes: frozenset[int], key_windows_s: Mapping[int, float]
    ) -> None:
        """Begin to replicate through this gate; until then the journal works without a standby.

        `repeatable_classes`: class indices whose attempts may be repeated. `key_windows_s`: by class index,
        how long after the first attempt a call with the same key may be repeated.
        """
        self.gate, self.repeatable_classes, self.key_windows_s = gate, repeatable_classes, key_windows_s
        self.reporting_disk.on_appended, self.reporting_disk.on_removed = gate.on_appended, gate.on_removed

    def fence(self) -> None:
        """Discard staged records and write nothing from now on."""
        self.is_fenced = True
        self.staged, self.staged_bytes = [], 0
        self.unwritten.clear()

    def commit(self) -> None:
        """Write the staged records, none once fenced."""
        if self.is_fenced:
            self.staged = []
        super().commit()

    def step(self) -> bool:
        """Perform a compaction step, none once fenced."""
        return not self.is_fenced and super().step()

    def accept(
        self,
        message: PendingMessage,
        done: Callable[[], None] = _do_nothing,
        failed: Callable[[OSError], None] | None = None,
    ) -> None:
        """Accept a message; `done` is called once the standby has its record.

        `failed` gets UnconfirmedError if the standby does not acknowledge: the record may survive.
        """
        gate = self.gate
        if gate is None:
            super().accept(message, done, failed)
            return

        def acknowledged() -> None:
            self.unacknowledged_accepts.discard(message.number)
            done()
            for on_written, _ in self.deferred_callbacks.pop(message.id, ()):
                on_written()

        def not_acknowledged() -> None:
            self.unacknowledged_accepts.discard(message.number)
            (failed or _raise)(UnconfirmedError("the standby does not confirm it"))
            for _, on_lost in self.deferred_callbacks.pop(message.id, ()):
                on_lost()

        def write_failed(error: OSError) -> None:
            self.unacknowledged_accepts.discard(message.number)
            (failed or _raise)(error)
            for _, on_lost in self.deferred_callbacks.pop(message.id, ()):
                on_lost()

        self.unacknowledged_accepts.add(message.number)
        try:
            super().accept(
                message,
                lambda: gate.await_ack(WaitKind.ACCEPT, acknowledged, not_acknowledged, message.deadline_s),
                write_failed,
            )
        except OSError:
            self.unacknowledged_accepts.discard(message.number)
            raise

    def call_when_written(
        self, ident: str, on_written: Callable[[], None], on_lost: Callable[[], None]
    ) -> None:
        """Call `on_written` once the standby has acknowledged the acceptance of the message with this id.

        Calls `on_lost` instead if the write fails or the standby does not acknowledge it.
        """
        if self.numbers_by_id.get(ident) in self.unacknowledged_accepts:
            self.deferred_callbacks.setdefault(ident, []).append((on_written, on_lost))
        else:
            on_written()

    def attempt(
        self,
        numbers: list[int],
        started_at: float,
        done: Callable[[], None] = _do_nothing,
        failed: Callable[[OSError], None] | None = None,
        zone: int = UNKNOWN_ZONE_ID,
    ) -> None:
        """Record an attempt; `done` is called once it may be sent.

        An attempt that may be repeated, of messages whose acceptance is acknowledged, need not wait for the
        standby. `failed` gets UnconfirmedError if the attempt must not be sent.
        """
        gate = self.gate
        if gate is None:
            super().attempt(numbers, started_at, done, failed, zone)
            return
        if not gate.may_attempt():
            (failed or _raise)(UnconfirmedError("the standby is silent"))
            return
        messages = [self.pending.get(number) for number in numbers]
        is_repeatable = all(
            message is None
            or (
                message.class_index in self.repeatable_classes
                and message.number not in self.unacknowledged_accepts
            )
            for message in messages
        )

        window_end_s = min(
            (
                message.possibly_executed_at + self.key_windows_s[message.class_index]
                for message in messages
                if message is not None
                and message.class_index in self.key_windows_s
                and message.possibly_executed_at
            ),
            default=0.0,
        )

        def abort(reason: str = "the standby does not confirm it") -> None:
            for number in numbers:
                self.attempt_not_executed(number)
            (failed or _raise)(UnconfirmedError(reason))

        def proceed() -> None:
            if window_end_s and self.wall() >= window_end_s:
                abort("the window of an idempotency key passed while waiting for the standby")
            else:
                done()

        kind = WaitKind.REPEATABLE_ATTEMPT if is_repeatable else WaitKind.ATTEMPT
        super().attempt(numbers, started_at, lambda: gate.await_ack(kind, proceed, abort, 0.0), failed, zone)

    def record_outcome(
        self,
        number: int,
        status: str,
        again_ms: int,
        done: Callable[[], None] = _do_nothing,
        failed: Callable[[OSError], None] | None = None,
    ) -> None:
        """Record an outcome; its notice may be sent once `done` is called.

        `failed` gets UnconfirmedError if the standby does not acknowledge it in time.
        """
        gate, message = self.gate, self.pending.get(number)
        if gate is None or message is None:
            super().record_outcome(number, status, again_ms, done, failed)
            return
        deadline_s = message.deadline_s + NOTICE_MARGIN_S

        def abort() -> None:
            (failed or _raise)(UnconfirmedError("the standby does not acknowledge the outcome"))

        super().record_outcome(
            number,
            status,
            again_ms,
            lambda: gate.await_ack(WaitKind.OUTCOME, done, abort, deadline_s),
            failed,
        )
