"""The journal: which messages were accepted, and the state of each, in a folder that survives the process.

Append-only records in segments, each with a length and a checksum, written before the effect that depends on
them. The records of one dispatch cycle are written together, and their effects follow. Written records
survive SIGKILL without a sync. Compaction copies the live records of a mostly dead segment to the newest one,
in small steps between dispatch cycles, and removes its file.
"""

from __future__ import annotations

import contextlib
import functools
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import islice, repeat
from typing import Any

from madderbeam.journal import space_budget
from madderbeam.journal.damage import Kind, Meaning, SuspectMessages
from madderbeam.journal.expiring_set import ENTRY_OVERHEAD_BYTES, ExpiringSet
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.records import frame, rounded_to_blocks
from madderbeam.journal.recovery import MIGRATED_SEGMENT, FolderContents, read_folder, remove_format_1
from madderbeam.journal.segments import JournalFullError, Segment, SegmentFiles, header_record, segment_name
from madderbeam.journal.steady_clock import SteadyClock, boot_id
from madderbeam.journal.zone_ids import UNKNOWN_ZONE_ID
from madderbeam.ports import Clock, Disk

MAX_KNOWN_DAMAGED_FILES = 32  # that a header lists: any further one makes messages suspect at each start
ID_RETENTION_S = 2.0  # the id of a completed message is known so long past its deadline
KEY_RETENTION_MARGIN_S = 2.0  # an idempotency key is known so long past its window
MAX_UNWRITTEN_RECORDS = 256  # records whose loss is harmless that wait until the disk accepts writes again
COMPACTION_RETRY_S = 0.5  # pause of compaction after a disk error
COMPACTION_STEP_PAUSE_S = 0.001  # between two steps: dispatch cycles go first
EXPIRY_INTERVAL_S, MAX_EXPIRED_PER_PASS = 1.0, 200
log = logging.getLogger(__name__)


@dataclass(slots=True)
class StagedRecord:
    """A record that is to be written, and its callbacks; `on_written` is given its segment's number."""

    record: list[Any]
    data: bytes
    on_written: Callable[[int], None]
    on_failed: Callable[[OSError], None] | None  # None: its loss is harmless, and the write is retried later
    is_failure_logged: bool = False
    segment_number: int = 0  # once it is written: a later part of its batch may be in another segment


def _do_nothing() -> None:
    return


class Journal:
    """Open messages, outstanding notices, and the ids and keys that are remembered after completion.

    `call_later(seconds, action)` schedules an action on the event loop; without it everything is done at
    once, within the call. `sync`: each batch is synced to the disk, for installations that must survive the
    loss of the machine.
    """

    def __init__(
        self,
        disk: Disk,
        clock: Clock,
        folder: str,
        limit_bytes: int,
        key_window_s: float = 0.0,
        call_later: Callable[[float, Callable[[], None]], Any] | None = None,
        sync: bool = False,
    ) -> None:
        self.disk, self.folder, self.limit_bytes, self.key_retention_s = (
            disk,
            folder,
            limit_bytes,
            key_window_s + KEY_RETENTION_MARGIN_S,
        )
        self.wall = SteadyClock(clock, boot_id(disk))
        self.call_later, self.sync = call_later, sync
        self.pending: dict[int, PendingMessage] = {}
        self.numbers_by_id: dict[str, int] = {}
        self.open_count = 0  # pending messages without an outcome
        self.unattempted_count = 0  # of them those without an attempt
        self.open_keys: dict[str, int] = {}  # of open messages: message number by key
        self.pending_bytes = self.id_and_key_bytes = self.last_number = 0
        # By message number: the segment and the bytes of the newest whole record.
        self.whole_records: dict[int, tuple[int, int]] = {}
        # By message number: all segments that have records of the message.
        self.segments_by_message: dict[int, set[int]] = {}
        # By message number: the ids of completed messages whose "over" record is not written yet.
        self.unwritten_completions: dict[int, str] = {}
        self.completed_ids = ExpiringSet(functools.partial(self._move_live_text, "ids"))
        # Keys, with the time of the first attempt that was possibly executed.
        self.keys = ExpiringSet(functools.partial(self._move_live_text, "keys"))
        # Of keys that several messages came with: each message's first possibly executed attempt, 0 if none.
        # Only the process that made an attempt can learn that it was never executed: this is not recorded.
        self.attempts_by_shared_key: dict[str, dict[int, float]] = {}
        self.staged: list[StagedRecord] = []
        self.staged_bytes = 0
        self.unwritten: deque[StagedRecord] = deque()
        self.in_batch = self.is_flush_scheduled = self.is_compaction_scheduled = False
        self.victim: Segment | None = None
        self.victim_checked_at_bytes = 0  # bytes written when a victim was last looked for
        self.damage_count = 0  # places that were found damaged at the start
        self.suspects: SuspectMessages | None = None
        self.compaction_paused_until = self.expired_at = 0.0
        self.copied_bytes = 0  # of the victim's records so far
        self.files = SegmentFiles(
            disk, folder, limit_bytes, space_budget.segment_bytes(limit_bytes), self._header, sync
        )
        self._restore(read_folder(disk, folder))
        with contextlib.suppress(OSError):
            self.files.ensure_open()

    # Start

    def _header(self, number: int) -> list[Any]:
        if (
            self.suspects
            and not self.suspects.checksums
            and not any(pending_number <= self.suspects.last_number for pending_number in self.pending)
        ):
            self.suspects = None
        sizes, suspects = self.files.sizes_before(number), self.suspects and self.suspects.row()
        return header_record(
            number, self.last_number, self.wall.offset_s, self.wall.boot_id, self.wall(), sizes, suspects
        )

    def _restore(self, contents: FolderContents) -> None:
        if contents.has_format_1 and not contents.segments:
            self._migrate_format_1(contents)
            return
        newest, oldest = 0.0, 0.0
        removal_pending = {
            finding.file for finding in contents.findings if finding.kind is Kind.REMOVAL_PENDING
        }
        damaged = {finding.file for finding in contents.damage}
        intact = [part for part in contents.segments if part.header and part.name not in damaged]
        self.suspects = intact[-1].suspects if intact else None
        for part in contents.segments:
            number = part.number  # looked up once: the property reads the header
            segment = self.files.add_existing(number, part.size, part.name, part.overhead_bytes)
            segment.has_removal_record, segment.is_damaged = (
                part.name in removal_pending,
                part.name in damaged,
            )
            for _, record in part.records:
                newest = max(newest, self._record_time(record))
                oldest = oldest or newest
                self._apply(record, number)
                self._index_record(record, number)
        self.files.used_bytes += contents.ignored_bytes
        # A damaged file is not written to, nor is one that is not the highest.
        if contents.damage and (
            not contents.segments
            or contents.segments[-1].name in damaged
            or contents.segments[-1].number < contents.highest_number
        ):
            self.files.start_new_segment(max(contents.highest_number, self.files.newest))
        elif contents.segments:
            self._truncate_torn_tail(contents.segments[-1].end)
            if contents.segments[-1].header[5:6] != [self.wall.boot_id]:  # the clock's anchor is new
                self.files.start_new_segment()
        if contents.has_format_1:
            remove_format_1(self.disk, self.folder)
        self._advance_clock_to(newest)
        # In the order of acceptance, which ordered classes rely on; compaction's copies have another one.
        self.pending = dict(sorted(self.pending.items()))
        # A completed message whose "over" record was not written may have records in later segments than the
        # one that had its "take" record.
        self.segments_by_message = {
            message_number: places
            for message_number, places in self.segments_by_message.items()
            if message_number in self.pending
        }
        self._log_findings(contents)
        self._mark_suspects(contents, oldest)

    def _log_findings(self, contents: FolderContents) -> None:
        self.damage_count = len(contents.damage)
        for finding in contents.damage:
            log.error("journal: damage: %s", finding)
        for finding in contents.findings:
            if finding.kind.meaning is Meaning.FOREIGN:
                log.warning("journal: ignored: %s", finding)

    def _truncate_torn_tail(self, end: int) -> None:
        """Mark what the process was writing when it died to be cut off before the next record."""
        active = self.files.active
        if end < active.size:
            log.warning("journal: cut off a torn tail of %d bytes", active.size - end)
            self.files.used_bytes -= rounded_to_blocks(active.size) - rounded_to_blocks(end)
            active.size, self.files.may_be_torn = end, True

    def _record_time(self, record: list[Any]) -> float:
        """When a record was written, 0 if it has no time. A header's clock anchor is adopted."""
        if record[0] == "segment":
            self.wall.adopt(record[4], record[5])
            return record[6]
        return record[2] if record[0] in ("try", "over") else 0.0

    def _advance_clock_to(self, newest: float) -> None:
        """Continue from the newest recorded time: a wall clock that was set back between two boots would
        otherwise reopen the windows of keys."""
        if newest > self.wall():
            log.warning("journal: the clock is %.0f s behind the newest record", newest - self.wall())
            self.wall.offset_s += newest - self.wall()

    def _mark_suspects(self, contents: FolderContents, oldest: float) -> None:
        """After damage, treat each open message as possibly executed, since the record of an attempt may be
        lost.

        The damage was found at this start or an earlier one: each header names the suspect messages until
        they are completed. `oldest`: the earliest time of any record.
        """
        known = self.suspects.checksums if self.suspects else {}
        damaged = {finding.file for finding in contents.damage}
        unchanged = {
            number: crc for number, crc in contents.checksums.items() if crc >= 0 and known.get(number) == crc
        }
        if damaged - {segment_name(number) for number in unchanged}:
            since = min(oldest or self.wall(), self.suspects.since if self.suspects else self.wall())
            checksums = dict(sorted(contents.checksums.items())[:MAX_KNOWN_DAMAGED_FILES])
            self.suspects = SuspectMessages(self.last_number, since, checksums)
            if self.files.segments and self.files.active.size:
                self.files.start_new_segment()
            log.error("journal: each of %d open messages is treated as possibly executed", self.open_count)
        elif self.suspects:
            self.suspects = replace(self.suspects, checksums=unchanged)
        if self.suspects:
            self.keys.forget_zones()  # the record of an attempt in another zone may be lost
        for message in self.pending.values():
            if self.suspects and not message.status and message.number <= self.suspects.last_number:
                message.prior_execution_at = (
                    message.prior_execution_at or message.latest_attempt_at or self.suspects.since
                )

    def _migrate_format_1(self, contents: FolderContents) -> None:
        """Write the content of a folder of format 1 to a first segment, all of it, before removing the old
        file."""
        records = contents.format_1_records
        for record in records:
            if record[0] == "clock":
                self.wall.adopt(record[1], record[2])
        newest = max((self._record_time(record) for record in records), default=0.0)
        for record in records:
            if record[0] != "clock":
                self._apply(record, 0)
        self._advance_clock_to(newest)
        self._log_findings(contents)
        self._mark_suspects(
            contents, next((time for record in records if (time := self._record_time(record))), 0.0)
        )
        rows = [
            [
                "known",
                self.last_number,
                {ident: self.completed_ids.expires_at(ident) for ident in self.completed_ids.entries},
                {key: self.keys.time_of(key) for key in self.keys.entries},
            ],
            *(message.record() for message in self.pending.values()),
        ]
        path, temporary_path = self.files.path(1), f"{self.folder}/{MIGRATED_SEGMENT}"
        data = frame(self._header(1)) + b"".join(map(frame, rows))
        file = self.disk.open(temporary_path, empty=True)
        try:
            if file.append(data) != len(data):
                raise JournalFullError("the disk is full")
        finally:
            file.close()
        self.disk.rename(temporary_path, path)
        remove_format_1(self.disk, self.folder)
        self.files.add_existing(1, len(data))
        for row in rows:
            self._apply(row, 1)
            self._index_record(row, 1)
        log.info("journal: migrated a folder of format 1 with %d messages", len(self.pending))

    def close(self) -> None:
        """Write what is staged and close the files."""
        self.commit()
        self.files.close()

    # Batches

    def begin(self) -> None:
        """Start a batch: what is recorded from now on is written by `commit`."""
        self.in_batch = True

    def commit(self) -> None:
        """Write the staged records, one write per segment, then call their callbacks in order."""
        self.in_batch = False
        staged, self.staged, self.staged_bytes = self.staged, [], 0
        if not staged:
            return
        rows = [*self.unwritten, *staged]
        self.unwritten.clear()
        self._expire()
        written, error = 0, None
        while written < len(rows) and error is None:
            part = self._next_write(rows[written:])
            if (error := self._write(part)) is None:
                written += len(part)
        for row in rows[:written]:
            row.on_written(row.segment_number)
        if error is not None and written == len(rows) - 1:
            self._handle_failure(rows[written], error)
        elif error is not None:
            self._write_one_by_one(rows[written:])
        self._check_compaction()

    def _next_write(self, rows: list[StagedRecord]) -> list[StagedRecord]:
        """The first of these records, as many as one segment holds, and at least one. A larger segment could
        not be copied within the headroom."""
        if sum(len(row.data) for row in rows) <= self.files.segment_bytes // 2:  # nearly always true
            return rows
        left = self.files.segment_bytes - self.files.header_bytes
        for count, row in enumerate(rows):
            left -= len(row.data)
            if count and left < 0:
                return rows[:count]
        return rows

    def _write(self, rows: list[StagedRecord]) -> OSError | None:
        """Write these records at once; returns the disk's error, if any."""
        try:
            self.files.append(b"".join(row.data for row in rows), self.compaction_reserve_bytes)
            if self.sync:
                self.files.sync()
        except OSError as error:
            return error
        for row in rows:
            self._note_written(row)
        return None

    def _note_written(self, row: StagedRecord) -> None:
        row.segment_number = self.files.newest
        self._index_record(row.record, row.segment_number)

    def _write_one_by_one(self, rows: list[StagedRecord]) -> None:
        """Write the records of a batch that failed singly, up to the first that fails; those after it fail
        too. Otherwise a "miss" that is retried after a later "try" would void the wrong attempt."""
        error: OSError | None = None
        for row in rows:
            if error is None:
                try:
                    self._require_pending(row.record)
                    self.files.append(row.data, self.compaction_reserve_bytes)
                except OSError as found:
                    # A message that is not accepted leaves no trace, nor does its attempt: others continue.
                    error = None if row.record[0] in ("take", "try") else found
                    self._handle_failure(row, found)
                    continue
                self._note_written(row)
                row.on_written(row.segment_number)
            else:
                self._handle_failure(row, error)

    def _require_pending(self, record: list[Any]) -> None:
        """JournalFullError if this is an attempt of a message whose acceptance failed in the same batch."""
        if record[0] == "try" and any(number not in self.pending for number in record[1]):
            raise JournalFullError("the message was not accepted")

    def _handle_failure(self, row: StagedRecord, error: OSError) -> None:
        if isinstance(error, JournalFullError):
            self.victim_checked_at_bytes = -self.files.segment_bytes  # look for a segment to rewrite at once
        if row.on_failed is not None:
            row.on_failed(error)
            return
        if not row.is_failure_logged:
            row.is_failure_logged = True
            log.error("journal: %s", error)
        self.unwritten.append(row)
        if len(self.unwritten) > MAX_UNWRITTEN_RECORDS:
            self._give_up(self.unwritten.popleft().record)

    def _give_up(self, record: list[Any]) -> None:
        """Drop a record whose loss is harmless: a completed message stays completed in this process only."""
        if record[0] == "over":
            for number in record[1]:
                self.unwritten_completions.pop(number, None)
                self.segments_by_message.pop(number, None)
                self._drop_whole_record(number)

    def _stage(
        self, record: list[Any], done: Callable[[int], None], failed: Callable[[OSError], None] | None
    ) -> None:
        """`done` is called once the record is written, with its segment's number."""
        data = frame(record)
        self.staged_bytes += len(data)
        self.staged.append(StagedRecord(record, data, done, failed))
        if self.in_batch:
            return
        if failed is None and self.call_later is not None:  # with others of this event loop iteration
            if not self.is_flush_scheduled:
                self.is_flush_scheduled = True
                self.call_later(0, self._flush)
            return
        self.commit()

    def _flush(self) -> None:
        self.is_flush_scheduled = False
        if not self.in_batch:
            self.commit()

    # Records

    def accept(
        self,
        message: PendingMessage,
        done: Callable[[], None] = _do_nothing,
        failed: Callable[[OSError], None] | None = None,
    ) -> None:
        """Accept a message: its record is written once `done` is called; until then it is pending already.

        JournalFullError, raised or passed to `failed`, if there is no space for all records up to its
        completion.
        """
        if not self._has_space(message):
            self._start_compaction()
            if not self._has_space(message):
                raise JournalFullError(f"no space for {message.size} bytes")
        record = message.record()
        self._apply(record, 0, message)

        def undo(error: OSError) -> None:
            self._remove_pending(message)
            if failed is None:
                raise error
            failed(error)

        self._stage(record, lambda _: done(), undo)

    def call_when_written(
        self, ident: str, on_written: Callable[[], None], on_lost: Callable[[], None]
    ) -> None:
        """Call `on_written` once the acceptance of this id is durable, `on_lost` if it never will be.

        The id is in `numbers_by_id` or `completed_ids`. Here `on_written` is called at once: the caller
        handles ids whose record is still being written. With a standby it is called once the standby has
        acknowledged the record.
        """
        on_written()

    def attempt(
        self,
        numbers: list[int],
        started_at: float,
        done: Callable[[], None] = _do_nothing,
        failed: Callable[[OSError], None] | None = None,
        zone: int = UNKNOWN_ZONE_ID,
    ) -> None:
        """Record an attempt of these messages before it is sent; it may be sent once `done` is called.

        `zone`: the id of its endpoint's zone, where the message may later be repeated in that zone alone.
        The first attempt has reserved space. For another one, JournalFullError, raised or passed to `failed`,
        if its space may be needed to complete messages.
        """
        record: list[Any] = ["try", numbers, started_at]
        # The record includes the keys: the segment with the "take" record may be removed before it.
        if keys := [
            message.key
            for number in numbers
            if (message := self.pending.get(number)) and self._must_record_key(message.key, zone)
        ]:
            record.append(keys)
        if zone != UNKNOWN_ZONE_ID:
            record += [zone] if keys else [[], zone]
        if not self._has_space_for_retry(numbers):
            self._start_compaction()
            if not self._has_space_for_retry(numbers):
                (failed or _raise)(JournalFullError("no space for another attempt"))
                return
        for number in numbers:
            if (message := self.pending.get(number)) and message.key in self.keys:
                self._note_shared_key_attempt(message, started_at)

        def written(segment_number: int) -> None:
            self._apply(record, segment_number)
            done()

        self._stage(record, written, failed or _raise)

    def _must_record_key(self, key: str, zone: int) -> bool:
        """Whether the record of an attempt includes the key: it is new, or was in another zone before."""
        return bool(key) and (key not in self.keys or self.keys.zone_of(key) not in (zone, UNKNOWN_ZONE_ID))

    def _note_shared_key_attempt(self, message: PendingMessage, started_at: float) -> None:
        """Note an attempt whose key was possibly executed before, if it is the message's first that
        counts."""
        attempts = self.attempts_by_shared_key.get(message.key, {})
        if not message.attempts or not message.possibly_executed_at or message.number in attempts:
            self.attempts_by_shared_key.setdefault(message.key, attempts)[message.number] = (
                attempts.get(message.number) or started_at
            )

    def attempt_not_executed(self, number: int) -> None:
        """Record that the newest attempt was never executed."""
        record: list[Any] = ["miss", number]
        if (message := self.pending.get(number)) and message.key and message.latest_attempt_at:
            attempts = self.attempts_by_shared_key.get(message.key, {})
            if attempts.get(number) == message.latest_attempt_at:
                attempts[number] = 0.0
            # If other messages came with the key, the record includes the first attempt that still counts:
            # the segments with their records may be removed before it. It needs no more space than is
            # reserved: that of the key of one of those messages, since its acceptance.
            is_shared = attempts or self.open_keys.get(message.key, number) != number
            if is_shared and self.keys.time_of(message.key) == message.latest_attempt_at:
                record += [message.key, min(filter(None, attempts.values()), default=0.0)]
        self._record_optional(record)

    def complete(self, number: int) -> None:
        """Record that a message is completed without an outstanding notice: it was delivered, withdrawn, or
        refused before it was accepted."""
        self.complete_all([number])

    def complete_all(self, numbers: list[int]) -> None:
        """Record that the notices of these messages were accepted: they are completed."""
        held = [self.pending[number] for number in numbers if number in self.pending]
        if held:
            ids = {message.id: message.deadline_s + ID_RETENTION_S for message in held}
            self._record_optional(["over", [message.number for message in held], self.wall(), ids])

    def record_outcome(
        self,
        number: int,
        status: str,
        again_ms: int,
        done: Callable[[], None] = _do_nothing,
        failed: Callable[[OSError], None] | None = None,
    ) -> None:
        """Record an outcome whose notice is outstanding; the notice may be sent once `done` is called."""
        record = ["final", number, status, again_ms]

        def written(segment_number: int) -> None:
            self._apply(record, segment_number)
            done()

        self._stage(record, written, failed or _raise)

    def _record_optional(self, record: list[Any]) -> None:
        """Apply a record whose loss is harmless: a restart without it only assumes more attempts or notices.
        If its write fails, it is written, in order, before the next record that succeeds."""
        self._apply(record, 0)
        self._stage(record, lambda _: None, None)

    # The effects of records

    def _apply(self, record: list[Any], segment_number: int, message: PendingMessage | None = None) -> None:
        """Apply a record that was just made or read. `segment_number`: its segment, 0 if not written yet."""
        kind = record[0]
        if kind == "take":
            found = message or PendingMessage(*record[1:])
            self._add_pending(found)
            if found.key and found.possibly_executed_at:  # a copy also records its key
                self._remember_key(found.key, found.possibly_executed_at, segment_number)
        elif kind == "try":
            zone = record[4] if len(record) > 4 else UNKNOWN_ZONE_ID
            for number in record[1]:
                if found := self.pending.get(number):
                    self.unattempted_count -= not found.status and not found.attempts
                    found.prior_execution_at = found.possibly_executed_at
                    found.attempts, found.latest_attempt_at = found.attempts + 1, record[2]
                    if found.key:
                        self._remember_key(found.key, found.possibly_executed_at, segment_number, zone)
            for key in record[3] if len(record) > 3 else ():
                self._remember_key(key, record[2], segment_number, zone)
        elif kind == "miss":
            missed_at = 0.0
            if found := self.pending.get(record[1]):
                missed_at, found.latest_attempt_at = found.latest_attempt_at, 0.0
                if found.prior_execution_at == missed_at:
                    found.prior_execution_at = 0.0
            if len(record) > 2:
                self._replace_first_attempt(record[2], record[3], segment_number)
            elif found and missed_at and self.keys.time_of(found.key) == missed_at:
                self._replace_first_attempt(found.key, 0.0, segment_number)
        elif kind == "final":
            if (found := self.pending.get(record[1])) and not found.status:
                self.set_outcome(found, record[2], record[3])
        elif kind == "over":
            self._apply_over(record, segment_number)
        elif kind == "known":
            self.last_number = max(self.last_number, record[1])
            for ident, expires_at in record[2].items():
                self.completed_ids.add(ident, expires_at, expires_at, segment_number)
            zones = record[4] if len(record) > 4 else repeat(UNKNOWN_ZONE_ID)
            for (key, started_at), zone in zip(record[3].items(), zones, strict=False):
                self.keys.add(key, started_at, started_at + self.key_retention_s, segment_number, zone)
        elif kind == "segment":
            self.last_number = max(self.last_number, record[3])

    def _add_pending(self, message: PendingMessage) -> None:
        if message.number in self.pending:  # a copy, which has the whole state
            self._remove_pending(self.pending[message.number])
        self.pending[message.number], self.numbers_by_id[message.id] = message, message.number
        self.last_number = max(self.last_number, message.number)
        self.pending_bytes += message.size
        self.id_and_key_bytes += self._id_and_key_bytes_of(message)
        if not message.status:
            self.open_count += 1
            self.unattempted_count += not message.attempts
            if message.key:
                self.open_keys[message.key] = message.number

    @staticmethod
    def _id_and_key_bytes_of(message: PendingMessage) -> int:
        return (
            len(message.id)
            + ENTRY_OVERHEAD_BYTES
            + (len(message.key) + ENTRY_OVERHEAD_BYTES if message.key else 0)
        )

    def _remove_pending(self, message: PendingMessage) -> None:
        del self.pending[message.number]
        self.numbers_by_id.pop(message.id, None)
        self._uncount_open(message)
        self.pending_bytes -= message.size
        self.id_and_key_bytes -= self._id_and_key_bytes_of(message)

    def _apply_over(self, record: list[Any], segment_number: int) -> None:
        ids = record[3] if len(record) > 3 else {}
        for number in record[1]:
            if message := self.pending.get(number):
                self._remove_pending(message)
                self.unwritten_completions[number] = message.id
                if message.id not in ids:  # a record of format 1 has no ids
                    self.completed_ids.add(
                        message.id, record[2], message.deadline_s + ID_RETENTION_S, segment_number
                    )
        for ident, expires_at in ids.items():
            self.completed_ids.add(ident, record[2], expires_at, segment_number)

    def set_outcome(self, message: PendingMessage, status: str, again_ms: int) -> None:
        """Set the message's outcome and drop its body: only the notice is outstanding."""
        self._uncount_open(message)
        self.pending_bytes -= len(message.body)
        message.size -= len(message.body)
        message.status, message.retry_after_ms, message.body = status, again_ms, b""

    def _uncount_open(self, message: PendingMessage) -> None:
        """The message is open no longer; to be called before its status is set."""
        if not message.status:
            self.open_count -= 1
            self.unattempted_count -= not message.attempts
            if self.open_keys.get(message.key) == message.number:
                del self.open_keys[message.key]

    def key_possibly_executed_at(self, key: str) -> float:
        """When the first possibly executed attempt with this key was sent, in wall seconds; 0 if none is
        known."""
        started_at = self.keys.time_of(key)
        return started_at if self.wall() - started_at < self.key_retention_s else 0.0

    def key_zone(self, key: str) -> int:
        """Return the id of the zone in which all attempts with this key were that may have been executed.

        UNKNOWN_ZONE_ID if there were none, if they were in several, or if an earlier version recorded them.
        """
        return self.keys.zone_of(key) if self.key_possibly_executed_at(key) else UNKNOWN_ZONE_ID

    def _remember_key(
        self, key: str, started_at: float, segment_number: int, zone: int = UNKNOWN_ZONE_ID
    ) -> None:
        if not self.key_possibly_executed_at(key):
            self.keys.add(key, started_at, started_at + self.key_retention_s, segment_number, zone)
        elif self.keys.zone_of(key) not in (zone, UNKNOWN_ZONE_ID):
            self.keys.add(key, self.keys.time_of(key), self.keys.expires_at(key), segment_number)

    def _replace_first_attempt(self, key: str, started_at: float, segment_number: int) -> None:
        """Make the attempt of `started_at` the first one with the key, 0 if there is none, because the former
        first one was never executed. Until this is written, the older record of the key stands, which is the
        safe side."""
        message = self.pending.get(self.open_keys.get(key, 0))
        if message and message.prior_execution_at and message.prior_execution_at == self.keys.time_of(key):
            message.prior_execution_at = started_at if started_at != message.latest_attempt_at else 0.0
        if started_at:
            self.keys.add(
                key,
                started_at,
                started_at + self.key_retention_s,
                segment_number or self.keys.segment_of(key),
                self.keys.zone_of(key),  # further attempts were in that zone, too
            )
        else:
            self.keys.drop(key)

    def _expire(self) -> None:
        now = self.wall()
        if now - self.expired_at > EXPIRY_INTERVAL_S or self.completed_ids.due or self.keys.due:
            self.expired_at = now
            self.completed_ids.expire(now, MAX_EXPIRED_PER_PASS)
            self.keys.expire(now, MAX_EXPIRED_PER_PASS)
            for key in [key for key in self.attempts_by_shared_key if key not in self.keys]:
                del self.attempts_by_shared_key[key]

    # The segments of records

    def _index_record(self, record: list[Any], number: int) -> None:
        """Note that a record is in this segment: which older records it supersedes, and what is live
        there."""
        kind, segment = record[0], self.files.segments[number]
        if kind == "take":
            self._track_segment(record[1], segment)
            if (message := self.pending.get(record[1])) is not None:
                self._drop_whole_record(record[1])
                self.whole_records[record[1]] = number, message.size
                segment.messages.add(record[1])
                segment.live_bytes += message.size
        elif kind == "try":
            for message_number in record[1]:
                self._track_segment(message_number, segment)
        elif kind in ("miss", "final"):
            self._track_segment(record[1], segment)
            if kind == "miss" and len(record) > 2 and record[3] and self.keys.time_of(record[2]) == record[3]:
                self.keys.move(record[2], number)
        elif kind == "over":
            for message_number in record[1]:
                self._track_segment(message_number, segment)
                self.segments_by_message.pop(message_number, None)
                self._drop_whole_record(message_number)
                ident = self.unwritten_completions.pop(message_number, "")
                self.completed_ids.move(ident, number)

    def _track_segment(self, number: int, segment: Segment) -> None:
        places = self.segments_by_message.get(number)
        if places is None:
            self.segments_by_message[number] = {segment.number}
        elif len(places) > 1 or segment.number not in places:
            segment.supersedes |= places
            segment.supersedes.discard(segment.number)
            places.add(segment.number)

    def _drop_whole_record(self, number: int) -> None:
        """The message's whole record, if any, is no longer live."""
        segment_number, size = self.whole_records.pop(number, (0, 0))
        if segment := self.files.segments.get(segment_number):
            segment.messages.discard(number)
            segment.live_bytes -= size

    def _known_record(self, ids: dict[str, float], keys: dict[str, float]) -> list[Any]:
        """The record of remembered ids and keys; an earlier version ignores the zones of keys."""
        zones = [self.keys.zone_of(key) for key in keys]
        return ["known", self.last_number, ids, keys, *([zones] if any(zones) else [])]

    def _move_live_text(self, set_name: str, text: str, old: int, new: int) -> None:
        """Move a remembered string from one segment to another; `set_name` is "ids" or "keys"."""
        size = len(text) + ENTRY_OVERHEAD_BYTES
        if old and (segment := self.files.segments.get(old)):
            getattr(segment, set_name).pop(text, None)
            segment.live_bytes -= size
        if new and (segment := self.files.segments.get(new)):
            getattr(segment, set_name)[text] = None
            segment.live_bytes += size

    # Space and compaction

    @property
    def compaction_reserve_bytes(self) -> int:
        """Bytes of the limit that are left free for compaction, without which it could free nothing.

        What the current copy has already used of them is not required again, or the record of an outcome
        would not find the space reserved for it.
        """
        return space_budget.headroom(self.limit_bytes) - self.copied_bytes

    @property
    def needed_bytes(self) -> int:
        """Bytes that all pending messages may still need until they are completed."""
        return space_budget.reserved_bytes(
            self.open_count,
            self.unattempted_count,
            len(self.pending) - self.open_count,
            self.id_and_key_bytes,
        )

    def _has_space(self, message: PendingMessage) -> bool:
        """Whether a new message fits, with the reserve for retries of the open ones."""
        more = message.size + space_budget.reserved_bytes(1, 1, 0, self._id_and_key_bytes_of(message))
        needed = self.needed_bytes + (self.open_count + 1) * space_budget.RETRY_RESERVE_BYTES
        return space_budget.admits(
            self.limit_bytes, self.files.used_bytes + rounded_to_blocks(self.staged_bytes), needed, more
        )

    def _has_space_for_retry(self, numbers: list[int]) -> bool:
        """Whether an attempt of these messages fits; always true if it is the first of each."""
        for number in numbers:
            if (message := self.pending.get(number)) is not None and message.attempts:
                break
        else:
            return True
        used = self.files.used_bytes + rounded_to_blocks(self.staged_bytes)
        # The attempt and its "miss" may both record the keys.
        keys = sum(
            2 * (len(message.key) + ENTRY_OVERHEAD_BYTES)
            for number in numbers
            if (message := self.pending.get(number)) and message.key
        )
        return space_budget.admits(
            self.limit_bytes,
            used,
            self.needed_bytes,
            space_budget.TRY_BYTES + 9 * len(numbers) + space_budget.MISS_BYTES + keys,
        )

    def _check_compaction(self) -> None:
        """Look for a segment to rewrite after each eighth of a segment that is written."""
        if self.files.written_bytes - self.victim_checked_at_bytes > self.files.segment_bytes // 8:
            self._start_compaction()

    def _start_compaction(self) -> None:
        self.victim_checked_at_bytes = self.files.written_bytes
        if (
            self.is_compaction_scheduled
            or self._choose_victim() is None
            or self.wall() < self.compaction_paused_until
        ):
            return
        if self.call_later is None:
            while self.step():
                pass
        else:
            self.is_compaction_scheduled = True
            self.call_later(COMPACTION_STEP_PAUSE_S, self._run_compaction)

    def _run_compaction(self) -> None:
        self.is_compaction_scheduled = False
        if not self.in_batch and self.step() and self.call_later is not None:
            self.is_compaction_scheduled = True
            self.call_later(COMPACTION_STEP_PAUSE_S, self._run_compaction)

    def _choose_victim(self) -> Segment | None:
        # A damaged segment is kept for examination as long as there is space.
        is_space_short = space_budget.is_space_short(
            self.limit_bytes, self.files.used_bytes, self.needed_bytes
        )
        usages = [
            space_budget.SegmentUsage(
                segment.number,
                segment.size - segment.overhead_bytes,
                segment.live_bytes,
                any(older in self.files.segments for older in segment.supersedes),
            )
            for segment in self.files.segments.values()
            if segment.number != self.files.newest and (is_space_short or not segment.is_damaged)
        ]
        max_bytes = space_budget.max_copyable_bytes(
            self.limit_bytes, self.files.used_bytes, self.files.header_bytes
        )
        usage = space_budget.choose_victim(
            usages,
            space_budget.max_live_share(self.limit_bytes, self.files.used_bytes, self.needed_bytes),
            max_bytes,
        )
        return self.files.segments[usage.number] if usage else None

    def step(self) -> bool:
        """Do one bounded step of compaction; returns whether there may be more to do."""
        self._expire()
        segment = self.victim
        if segment is None or segment.number not in self.files.segments:
            segment = self.victim = self._choose_victim()
        if segment is None or self.wall() < self.compaction_paused_until:
            return False
        try:
            if segment.is_dead:
                self.files.remove(segment.number)
                self.victim, self.copied_bytes = None, 0
            else:
                self._copy_live_records(segment)
        except OSError as error:
            log.error("journal: compaction paused: %s", error)
            self.compaction_paused_until, self.victim, self.copied_bytes = (
                self.wall() + COMPACTION_RETRY_S,
                None,
                0,
            )
            return False
        return True

    def _copy_live_records(self, segment: Segment) -> None:
        """Copy some of a segment's live records to the newest one.

        Records that are staged or unwritten don't matter: the copy includes their effects, and they are
        written after it and before any later record.
        """
        rows: list[list[Any]] = []
        completed: list[int] = []
        size = 0
        for number in islice(segment.messages, space_budget.STEP_RECORDS):
            if (message := self.pending.get(number)) is None:
                completed.append(number)
                continue
            rows.append(message.record())
            size += message.size
            if size >= space_budget.STEP_BYTES:
                break
        # The ids of messages whose "over" record is not written yet are recorded nowhere else.
        ids = {
            text: self.completed_ids.expires_at(text)
            for number in completed
            if (text := self.unwritten_completions[number]) in self.completed_ids
        }
        keys: dict[str, float] = {}
        if not rows and not completed:
            ids = {
                text: self.completed_ids.expires_at(text)
                for text in islice(segment.ids, space_budget.STEP_RECORDS)
            }
            keys = {text: self.keys.time_of(text) for text in islice(segment.keys, space_budget.STEP_RECORDS)}
        if ids or keys:
            rows.append(self._known_record(ids, keys))
        if rows:
            data = b"".join(map(frame, rows))
            self.files.append(data)
            self.copied_bytes += len(data)
        for row in rows:
            if row[0] == "known":
                self._apply(row, self.files.newest)
            else:
                self._index_record(row, self.files.newest)
        for number in completed:
            self._drop_whole_record(number)


def _raise(error: OSError) -> None:
    raise error
