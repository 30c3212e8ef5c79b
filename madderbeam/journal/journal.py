"""The journal in the folder that lasts: what the courier has taken on, and how far each message has come.

Append-only records in segments, each with length and checksum, written before the thing that they make true.
The records of one turn go in one write: what they make true follows it. What was written outlasts SIGKILL
with no sync. Compaction copies what still lives of a mostly dead segment to the newest one, in small steps
between turns, and removes its file.
"""

from __future__ import annotations

import contextlib
import functools
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import islice
from typing import Any

from madderbeam.journal import space_budget
from madderbeam.journal.damage import Kind, Meaning, SuspectMessages
from madderbeam.journal.expiring_set import MEMO, ExpiringSet
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.records import blocks, frame
from madderbeam.journal.recovery import FIRST, FolderContents, forget_old, read
from madderbeam.journal.segments import JournalFullError, Segment, SegmentFiles, header, name
from madderbeam.journal.steady_clock import SteadyClock, boot_id
from madderbeam.ports import Clock, Disk

KNOWN = 32  # damaged files that a header names at most: more are doubted anew at each start
OVER_S = 2.0  # how long the id of a message that is over is known past its time
KEYS_S = 2.0  # and an idempotency key past its window
UNWRITTEN = 256  # records whose loss does no harm that wait for a disk which takes them
REST_S = 0.5  # compaction rests for so long where the disk does not take it
PAUSE_S = 0.001  # between two steps of compaction: turns come first
EXPIRE_S, EXPIRE_MOST = 1.0, 200  # what is remembered is looked through so often, so many of it at a time
log = logging.getLogger(__name__)


@dataclass(slots=True)
class StagedRecord:
    """A record that is to be written, and what follows from it."""

    record: list[Any]
    data: bytes
    done: Callable[[], None]
    failed: Callable[[OSError], None] | None  # None: its loss does no harm, it is tried again later
    late: bool = False  # it has failed, and was logged


def _nothing() -> None:
    return


class Journal:
    """Open messages, owed notices and what is remembered of those that are over.

    `later(seconds, action)` calls an action from the loop; without it all is done at once, within the call.
    `sync`: each group is synced to the disk, for installations where the machine's loss counts.
    """

    def __init__(
        self,
        disk: Disk,
        clock: Clock,
        folder: str,
        limit_bytes: int,
        key_window_s: float = 0.0,
        later: Callable[[float, Callable[[], None]], Any] | None = None,
        sync: bool = False,
    ) -> None:
        self.disk, self.folder, self.limit, self.key_s = disk, folder, limit_bytes, key_window_s + KEYS_S
        self.wall = SteadyClock(clock, boot_id(disk))
        self.later, self.sync = later, sync
        self.held: dict[int, PendingMessage] = {}
        self.ids: dict[str, int] = {}
        self.open = 0  # messages held whose end is still owed
        self.untried = 0  # of them those with no attempt yet
        self.open_keys: dict[str, int] = {}  # theirs
        self.open_bytes = self.names = self.last = 0
        self.homes: dict[int, tuple[int, int]] = {}  # of messages: newest whole record, its bytes
        self.places: dict[int, set[int]] = {}  # of messages: all segments that have records of them
        self.ending: dict[int, str] = {}  # ids of messages that are over, until that is written
        self.over = ExpiringSet(functools.partial(self._moved, "ids"))
        # Keys, by when the first attempt with one that may have run was sent.
        self.keys = ExpiringSet(functools.partial(self._moved, "keys"))
        # Of keys that further messages came with: the first attempt of each that may have run, 0 if none.
        # Proofs that an attempt never ran come in its own process alone, so no record tells these.
        self.further: dict[str, dict[int, float]] = {}
        self.staged: list[StagedRecord] = []
        self.staged_bytes = 0
        self.unwritten: deque[StagedRecord] = deque()
        self.grouping = self.flushing = self.compacting = False
        self.victim: Segment | None = None
        self.checked_at = 0  # bytes written when it was last looked for one
        self.damage = 0  # places that were found damaged at the start
        self.doubt: SuspectMessages | None = None
        self.rests_until = self.expired_at = 0.0
        self.copied = 0  # bytes of its records so far
        self.files = SegmentFiles(
            disk, folder, limit_bytes, space_budget.segment_bytes(limit_bytes), self._header
        )
        self._restore(read(disk, folder))
        with contextlib.suppress(OSError):
            self.files.ready()

    # Start

    def _header(self, number: int) -> list[Any]:
        if self.doubt and not self.doubt.known and not any(n <= self.doubt.last for n in self.held):
            self.doubt = None
        listed, doubt = self.files.listed(number), self.doubt and self.doubt.row()
        return header(number, self.last, self.wall.base, self.wall.boot, self.wall(), listed, doubt)

    def _restore(self, found: FolderContents) -> None:
        if found.has_old and not found.parts:
            self._take_over(found)
            return
        newest, oldest = 0.0, 0.0
        left = {f.file for f in found.findings if f.kind is Kind.LEFT}
        damaged = {f.file for f in found.damage}
        sound = [p for p in found.parts if p.header and p.name not in damaged]
        self.doubt = sound[-1].doubt if sound else None
        for part in found.parts:
            told = part.told  # looked up once: it is read from the header
            segment = self.files.found(told, part.size, part.name, part.fixed)
            segment.gone, segment.damaged = part.name in left, part.name in damaged
            for _, record in part.records:
                newest = max(newest, self._time(record))
                oldest = oldest or newest
                self._effect(record, told)
                self._place(record, told)
        self.files.used += found.others
        # A damaged file is not written to, nor is one behind which another stands.
        if found.damage and (
            not found.parts or found.parts[-1].name in damaged or found.parts[-1].told < found.highest
        ):
            self.files.fresh(max(found.highest, self.files.newest))
        elif found.parts:
            self._torn_tail(found.parts[-1].end)
            if found.parts[-1].header[5:6] != [self.wall.boot]:  # of another boot: the clock's anchor is new
                self.files.fresh()
        if found.has_old:
            forget_old(self.disk, self.folder)
        self._not_before(newest)
        # In the order in which they were taken on, which is not that of copies: ordered classes keep to it.
        self.held = dict(sorted(self.held.items()))
        # Records of one that is over, which was not written, outlast the segment that took it on.
        self.places = {n: places for n, places in self.places.items() if n in self.held}
        self._tell(found)
        self._careful(found, oldest)

    def _tell(self, found: FolderContents) -> None:
        self.damage = len(found.damage)
        for finding in found.damage:
            log.error("journal: damage: %s", finding)
        for finding in found.findings:
            if finding.kind.meaning is Meaning.FOREIGN:
                log.warning("journal: left alone: %s", finding)

    def _torn_tail(self, end: int) -> None:
        """What was being written as the process died is cut off before the next record."""
        active = self.files.active
        if end < active.size:
            log.warning("journal: cut off a torn tail of %d bytes", active.size - end)
            self.files.used -= blocks(active.size) - blocks(end)
            active.size, self.files.torn = end, True

    def _time(self, record: list[Any]) -> float:
        """When a record was written, 0 if it does not tell; its clock is adopted."""
        if record[0] == "segment":
            self.wall.adopt(record[4], record[5])
            return record[6]
        return record[2] if record[0] in ("try", "over") else 0.0

    def _not_before(self, newest: float) -> None:
        """A wall clock that was set back between two boots would open windows of keys again: time goes on
        from the newest that was recorded."""
        if newest > self.wall():
            log.warning("journal: the clock is %.0f s behind the newest record", newest - self.wall())
            self.wall.base += newest - self.wall()

    def _careful(self, found: FolderContents, oldest: float) -> None:
        """A record was lost, perhaps an attempt of any message of that time, found at this start or an
        earlier one: each header tells so until they are over. `oldest`: the earliest time of any record."""
        before = self.doubt.known if self.doubt else {}
        told = {f.file for f in found.damage}
        known = {n: digest for n, digest in found.digests.items() if digest >= 0 and before.get(n) == digest}
        if told - {name(n) for n in known}:
            since = min(oldest or self.wall(), self.doubt.since if self.doubt else self.wall())
            kept = dict(sorted(found.digests.items())[:KNOWN])
            self.doubt = SuspectMessages(self.last, since, kept)
            if self.files.all and self.files.active.size:
                self.files.fresh()
            log.error("journal: each of %d open messages is taken for one that may have run", self.open)
        elif self.doubt:
            self.doubt = replace(self.doubt, known=known)
        for m in self.held.values():
            if self.doubt and not m.status and m.number <= self.doubt.last:
                m.ran_at = m.ran_at or m.trying_at or self.doubt.since

    def _take_over(self, found: FolderContents) -> None:
        """A folder of format 1: its content goes to a first segment, whole, before the old file goes."""
        records = found.old
        for record in records:
            if record[0] == "clock":
                self.wall.adopt(record[1], record[2])
        newest = max((self._time(r) for r in records), default=0.0)
        for record in records:
            if record[0] != "clock":
                self._effect(record, 0)
        self._not_before(newest)
        self._tell(found)
        self._careful(found, next((t for r in records if (t := self._time(r))), 0.0))
        rows = [
            [
                "known",
                self.last,
                {t: self.over.expires(t) for t in self.over.known},
                {t: self.keys.at(t) for t in self.keys.known},
            ],
            *(m.record() for m in self.held.values()),
        ]
        path, fresh = self.files.path(1), f"{self.folder}/{FIRST}"
        data = frame(self._header(1)) + b"".join(map(frame, rows))
        file = self.disk.open(fresh, empty=True)
        try:
            if file.append(data) != len(data):
                raise JournalFullError("the disk is full")
        finally:
            file.close()
        self.disk.rename(fresh, path)
        forget_old(self.disk, self.folder)
        self.files.found(1, len(data))
        for row in rows:
            self._effect(row, 1)
            self._place(row, 1)
        log.info("journal: a folder of format 1 was taken over, %d messages", len(self.held))

    def close(self) -> None:
        self.commit()
        self.files.close()

    # Groups

    def begin(self) -> None:
        """A turn begins: what is recorded in it is written by `commit`."""
        self.grouping = True

    def commit(self) -> None:
        """Write what is staged, one piece a segment, then let what follows from it happen, in its order."""
        self.grouping = False
        staged, self.staged, self.staged_bytes = self.staged, [], 0
        if not staged:
            return
        rows = [*self.unwritten, *staged]
        self.unwritten.clear()
        self._expire()
        written, error = 0, None
        while written < len(rows) and error is None:
            part = self._part(rows[written:])
            if (error := self._written(part)) is None:
                written += len(part)
        for row in rows[:written]:
            row.done()
        if error is not None and written == len(rows) - 1:
            self._failed(rows[written], error)
        elif error is not None:
            self._one_by_one(rows[written:])
        self._compact()

    def _part(self, rows: list[StagedRecord]) -> list[StagedRecord]:
        """The first of these, as many as one segment holds, and one at least: a larger segment could not be
        copied beside itself."""
        if sum(len(row.data) for row in rows) <= self.files.full // 2:  # as nearly always
            return rows
        left = self.files.full - self.files.head
        for n, row in enumerate(rows):
            left -= len(row.data)
            if n and left < 0:
                return rows[:n]
        return rows

    def _written(self, rows: list[StagedRecord]) -> OSError | None:
        """Write these in one piece; what kept the disk from it, if anything did."""
        try:
            self.files.append(b"".join(row.data for row in rows), self.spare)
            if self.sync:
                self.files.sync()
        except OSError as error:
            return error
        number = self.files.newest
        for row in rows:
            self._place(row.record, number)
        return None

    def _one_by_one(self, rows: list[StagedRecord]) -> None:
        """The group did not fit: each by itself, up to the first that fails. Those behind it fail too: a
        "miss" that came behind a later "try" would say that the wrong attempt never ran."""
        error: OSError | None = None
        for row in rows:
            if error is None:
                try:
                    self._of_one_held(row.record)
                    self.files.append(row.data, self.spare)
                except OSError as found:
                    # A message that is not taken on leaves no trace, nor does its attempt: others go on.
                    error = None if row.record[0] in ("take", "try") else found
                    self._failed(row, found)
                    continue
                self._place(row.record, self.files.newest)
                row.done()
            else:
                self._failed(row, error)

    def _of_one_held(self, record: list[Any]) -> None:
        """An attempt of a message that was to be taken on in the same group, and was not, is not made."""
        if record[0] == "try" and any(n not in self.held for n in record[1]):
            raise JournalFullError("the message was not taken on")

    def _failed(self, row: StagedRecord, error: OSError) -> None:
        if isinstance(error, JournalFullError):
            self.checked_at = -self.files.full  # look for a segment to rewrite at once
        if row.failed is not None:
            row.failed(error)
            return
        if not row.late:
            row.late = True
            log.error("journal: %s", error)
        self.unwritten.append(row)
        if len(self.unwritten) > UNWRITTEN:
            self._forget(self.unwritten.popleft().record)

    def _forget(self, record: list[Any]) -> None:
        """A record of no harm is given up: what is over stays so for this process only."""
        if record[0] == "over":
            for number in record[1]:
                self.ending.pop(number, None)
                self.places.pop(number, None)
                self._homeless(number)

    def _stage(
        self, record: list[Any], done: Callable[[], None], failed: Callable[[OSError], None] | None
    ) -> None:
        data = frame(record)
        self.staged_bytes += len(data)
        self.staged.append(StagedRecord(record, data, done, failed))
        if self.grouping:
            return
        if failed is None and self.later is not None:  # with what else comes in this look at sockets
            if not self.flushing:
                self.flushing = True
                self.later(0, self._flush)
            return
        self.commit()

    def _flush(self) -> None:
        self.flushing = False
        if not self.grouping:
            self.commit()

    # Records

    def take(
        self,
        m: PendingMessage,
        done: Callable[[], None] = _nothing,
        failed: Callable[[OSError], None] | None = None,
    ) -> None:
        """The message is taken on once `done` is called; until then it counts as held. JournalFull, at once
        or to `failed`, if there is no room for it to come to its end."""
        if not self._room(m):
            self._look()
            if not self._room(m):
                raise JournalFullError(f"no room for {m.size} bytes")
        record = m.record()
        self._effect(record, 0, m)

        def undone(error: OSError) -> None:
            self._remove(m)
            if failed is None:
                raise error
            failed(error)

        self._stage(record, done, undone)

    def known(self, ident: str, told: Callable[[], None], lost: Callable[[], None]) -> None:
        """One with this id is held or was: call `told` once that is sure, `lost` if it never will be."""
        told()

    def attempt(
        self,
        numbers: list[int],
        at: float,
        done: Callable[[], None] = _nothing,
        failed: Callable[[OSError], None] | None = None,
    ) -> None:
        """An attempt of these is about to be written, once `done` is called. The first one has room; for
        another one JournalFull, to `failed` or at once, if it would take room that ends may need."""
        record: list[Any] = ["try", numbers, at]
        # The record tells keys by itself: the one that took the message on may go before it.
        if keys := [m.key for n in numbers if (m := self.held.get(n)) and m.key and m.key not in self.keys]:
            record.append(keys)
        if not self._room_again(numbers):
            self._look()
            if not self._room_again(numbers):
                (failed or _raise)(JournalFullError("no room for another attempt"))
                return
        for n in numbers:
            if (m := self.held.get(n)) and m.key in self.keys:
                self._further(m, at)

        def written() -> None:
            self._effect(record, self.files.newest)
            done()

        self._stage(record, written, failed or _raise)

    def _further(self, m: PendingMessage, at: float) -> None:
        """An attempt of a message whose key may have run, which counts where no other of its own does."""
        known = self.further.get(m.key, {})
        if not m.tries or not m.may_have_run_at or m.number in known:
            self.further.setdefault(m.key, known)[m.number] = known.get(m.number) or at

    def missed(self, number: int) -> None:
        """The newest attempt has proved that it never ran."""
        record: list[Any] = ["miss", number]
        if (m := self.held.get(number)) and m.key and m.trying_at:
            further = self.further.get(m.key, {})
            if further.get(number) == m.trying_at:
                further[number] = 0.0
            # Others came with its key, and the record tells by itself what that comes to now: theirs may go
            # before it. Room: the key's, kept for one of those as it was taken on, which needs none.
            others = further or self.open_keys.get(m.key, number) != number
            if others and self.keys.at(m.key) == m.trying_at:
                record += [m.key, min(filter(None, further.values()), default=0.0)]
        self._note(record)

    def done(self, number: int) -> None:
        """Delivered, withdrawn, or refused before it was taken on: nothing more is owed."""
        self.told([number])

    def told(self, numbers: list[int]) -> None:
        """Notices were accepted."""
        held = [self.held[n] for n in numbers if n in self.held]
        if held:
            ids = {m.id: m.until + OVER_S for m in held}
            self._note(["over", [m.number for m in held], self.wall(), ids])

    def final(
        self,
        number: int,
        status: str,
        again_ms: int,
        done: Callable[[], None] = _nothing,
        failed: Callable[[OSError], None] | None = None,
    ) -> None:
        """A notice is owed; it may be sent once `done` is called."""
        record = ["final", number, status, again_ms]

        def written() -> None:
            self._effect(record, self.files.newest)
            done()

        self._stage(record, written, failed or _raise)

    def _note(self, record: list[Any]) -> None:
        """A record whose loss does no harm, since a restart then takes the more careful view. What the disk
        does not take now is written, in its order, before the next record that it takes."""
        self._effect(record, 0)
        self._stage(record, _nothing, None)

    # What records say

    def _effect(self, record: list[Any], home: int, m: PendingMessage | None = None) -> None:
        """What a record makes true, whichever way it came."""
        kind = record[0]
        if kind == "take":
            found = m or PendingMessage(*record[1:])
            self._hold(found)
            if found.key and found.may_have_run_at:  # a copy tells of its key as well
                self._remember_key(found.key, found.may_have_run_at, home)
        elif kind == "try":
            for number in record[1]:
                if found := self.held.get(number):
                    self.untried -= not found.status and not found.tries
                    found.ran_at = found.may_have_run_at
                    found.tries, found.trying_at = found.tries + 1, record[2]
                    if found.key:
                        self._remember_key(found.key, found.may_have_run_at, home)
            for key in record[3] if len(record) > 3 else ():
                self._remember_key(key, record[2], home)
        elif kind == "miss":
            missed = 0.0
            if found := self.held.get(record[1]):
                missed, found.trying_at = found.trying_at, 0.0
                if found.ran_at == missed:
                    found.ran_at = 0.0
            if len(record) > 2:
                self._first_ran(record[2], record[3], home)
            elif found and missed and self.keys.at(found.key) == missed:
                self._first_ran(found.key, 0.0, home)
        elif kind == "final":
            if (found := self.held.get(record[1])) and not found.status:
                self.end(found, record[2], record[3])
        elif kind == "over":
            self._over(record, home)
        elif kind == "known":
            self.last = max(self.last, record[1])
            for ident, expires in record[2].items():
                self.over.add(ident, expires, expires, home)
            for key, at in record[3].items():
                self.keys.add(key, at, at + self.key_s, home)
        elif kind == "segment":
            self.last = max(self.last, record[3])

    def _hold(self, m: PendingMessage) -> None:
        if m.number in self.held:  # a copy: it tells the whole state
            self._remove(self.held[m.number])
        self.held[m.number], self.ids[m.id] = m, m.number
        self.last = max(self.last, m.number)
        self.open_bytes += m.size
        self.names += self._name_bytes(m)
        if not m.status:
            self.open += 1
            self.untried += not m.tries
            if m.key:
                self.open_keys[m.key] = m.number

    @staticmethod
    def _name_bytes(m: PendingMessage) -> int:
        return len(m.id) + MEMO + (len(m.key) + MEMO if m.key else 0)

    def _remove(self, m: PendingMessage) -> None:
        del self.held[m.number]
        self.ids.pop(m.id, None)
        self._ended(m)
        self.open_bytes -= m.size
        self.names -= self._name_bytes(m)

    def _over(self, record: list[Any], home: int) -> None:
        ids = record[3] if len(record) > 3 else {}
        for number in record[1]:
            if m := self.held.get(number):
                self._remove(m)
                self.ending[number] = m.id
                if m.id not in ids:  # format 1 tells none
                    self.over.add(m.id, record[2], m.until + OVER_S, home)
        for ident, expires in ids.items():
            self.over.add(ident, record[2], expires, home)

    def end(self, m: PendingMessage, status: str, again_ms: int) -> None:
        """Only the notice is owed from now on."""
        self._ended(m)
        self.open_bytes -= len(m.body)
        m.size -= len(m.body)
        m.status, m.again_ms, m.body = status, again_ms, b""

    def _ended(self, m: PendingMessage) -> None:
        """Its end is owed no more; before its status is set."""
        if not m.status:
            self.open -= 1
            self.untried -= not m.tries
            if self.open_keys.get(m.key) == m.number:
                del self.open_keys[m.key]

    def key_ran_at(self, key: str) -> float:
        """When the first attempt with this key that may have run was sent, 0 if none is known."""
        at = self.keys.at(key)
        return at if self.wall() - at < self.key_s else 0.0

    def _remember_key(self, key: str, at: float, home: int) -> None:
        if not self.key_ran_at(key):
            self.keys.add(key, at, at + self.key_s, home)

    def _first_ran(self, key: str, at: float, home: int) -> None:
        """What counted as the first attempt with a key never ran: that of `at` is now, 0 if there is none.
        Until this is written, the older record tells of the key: it is the more careful."""
        m = self.held.get(self.open_keys.get(key, 0))
        if m and m.ran_at and m.ran_at == self.keys.at(key):
            m.ran_at = at if at != m.trying_at else 0.0
        if at:
            self.keys.add(key, at, at + self.key_s, home or self.keys.home(key))
        else:
            self.keys.drop(key)

    def _expire(self) -> None:
        now = self.wall()
        if now - self.expired_at > EXPIRE_S or self.over.due or self.keys.due:
            self.expired_at = now
            self.over.expire(now, EXPIRE_MOST)
            self.keys.expire(now, EXPIRE_MOST)
            for key in [key for key in self.further if key not in self.keys]:
                del self.further[key]

    # Where records are

    def _place(self, record: list[Any], number: int) -> None:
        """A record stands in this segment now: what it makes void, and what lives there."""
        kind, segment = record[0], self.files.all[number]
        if kind == "take":
            self._touch(record[1], segment)
            if (m := self.held.get(record[1])) is not None:
                self._homeless(record[1])
                self.homes[record[1]] = number, m.size
                segment.messages.add(record[1])
                segment.live += m.size
        elif kind == "try":
            for n in record[1]:
                self._touch(n, segment)
        elif kind in ("miss", "final"):
            self._touch(record[1], segment)
            if kind == "miss" and len(record) > 2 and record[3] and self.keys.at(record[2]) == record[3]:
                self.keys.move(record[2], number)
        elif kind == "over":
            for n in record[1]:
                self._touch(n, segment)
                self.places.pop(n, None)
                self._homeless(n)
                ident = self.ending.pop(n, "")
                self.over.move(ident, number)

    def _touch(self, n: int, segment: Segment) -> None:
        places = self.places.get(n)
        if places is None:
            self.places[n] = {segment.number}
        elif len(places) > 1 or segment.number not in places:
            segment.voids |= places
            segment.voids.discard(segment.number)
            places.add(segment.number)

    def _homeless(self, n: int) -> None:
        """The message has no whole record any more that counts."""
        home, size = self.homes.pop(n, (0, 0))
        if segment := self.files.all.get(home):
            segment.messages.discard(n)
            segment.live -= size

    def _moved(self, what: str, text: str, old: int, new: int) -> None:
        """An id or key is told by another segment from now on."""
        size = len(text) + MEMO
        if old and (segment := self.files.all.get(old)):
            getattr(segment, what).discard(text)
            segment.live -= size
        if new and (segment := self.files.all.get(new)):
            getattr(segment, what).add(text)
            segment.live += size

    # Room and compaction

    @property
    def spare(self) -> int:
        """Bytes that are left free for compaction, which could not free anything else: what a copy that goes
        on has taken of them is not asked for a second time, or an end would not find the room kept for it."""
        return space_budget.headroom(self.limit) - self.copied

    @property
    def needed(self) -> int:
        """Bytes that all that was taken on may still need."""
        return space_budget.reserve(self.open, self.untried, len(self.held) - self.open, self.names)

    def _room(self, m: PendingMessage) -> bool:
        """For a new message, beside some further attempts of those that are open."""
        more = m.size + space_budget.reserve(1, 1, 0, self._name_bytes(m))
        needed = self.needed + (self.open + 1) * space_budget.AGAIN
        return space_budget.admits(self.limit, self.files.used + blocks(self.staged_bytes), needed, more)

    def _room_again(self, numbers: list[int]) -> bool:
        """For an attempt of these, where not each one's first."""
        for n in numbers:
            if (m := self.held.get(n)) is not None and m.tries:
                break
        else:
            return True
        used = self.files.used + blocks(self.staged_bytes)
        # Their keys may be told anew by the attempt, and by what it comes to.
        keys = sum(2 * (len(m.key) + MEMO) for n in numbers if (m := self.held.get(n)) and m.key)
        return space_budget.admits(
            self.limit, used, self.needed, space_budget.TRY + 9 * len(numbers) + space_budget.MISS + keys
        )

    def _compact(self) -> None:
        """Look whether a segment is worth rewriting, now and then, and where room is short."""
        if self.files.written - self.checked_at > self.files.full // 8:
            self._look()

    def _look(self) -> None:
        self.checked_at = self.files.written
        if self.compacting or self._choose() is None or self.wall() < self.rests_until:
            return
        if self.later is None:
            while self.step():
                pass
        else:
            self.compacting = True
            self.later(PAUSE_S, self._run)

    def _run(self) -> None:
        self.compacting = False
        if not self.grouping and self.step() and self.later is not None:
            self.compacting = True
            self.later(PAUSE_S, self._run)

    def _choose(self) -> Segment | None:
        # A damaged one stays to be looked at for as long as there is room.
        short = space_budget.crowded(self.limit, self.files.used, self.needed)
        views = [
            space_budget.SegmentUsage(
                s.number, s.size - s.fixed, s.live, any(v in self.files.all for v in s.voids)
            )
            for s in self.files.all.values()
            if s.number != self.files.newest and (short or not s.damaged)
        ]
        most = space_budget.copyable(self.limit, self.files.used, self.files.head)
        view = space_budget.victim(views, space_budget.bound(self.limit, self.files.used, self.needed), most)
        return self.files.all[view.number] if view else None

    def step(self) -> bool:
        """One bounded step of compaction; whether there may be more to do."""
        self._expire()
        segment = self.victim
        if segment is None or segment.number not in self.files.all:
            segment = self.victim = self._choose()
        if segment is None or self.wall() < self.rests_until:
            return False
        try:
            if segment.dead:
                self.files.drop(segment.number)
                self.victim, self.copied = None, 0
            else:
                self._copy(segment)
        except OSError as error:
            log.error("journal: compaction rests: %s", error)
            self.rests_until, self.victim, self.copied = self.wall() + REST_S, None, 0
            return False
        return True

    def _copy(self, segment: Segment) -> None:
        """Write a part of what lives in a segment to the newest one. What is staged or waits for the disk
        does not matter: a copy tells its effect, and it comes behind the copy, before any later record."""
        rows: list[list[Any]] = []
        over: list[int] = []
        size = 0
        for n in islice(segment.messages, space_budget.STEP_RECORDS):
            if (m := self.held.get(n)) is None:
                over.append(n)
                continue
            rows.append(m.record())
            size += m.size
            if size >= space_budget.STEP_BYTES:
                break
        # Of those that are over, which is not written yet, nothing else would tell the ids.
        ids = {t: self.over.expires(t) for n in over if (t := self.ending[n]) in self.over}
        keys: dict[str, float] = {}
        if not rows and not over:
            ids = {t: self.over.expires(t) for t in islice(segment.ids, space_budget.STEP_RECORDS)}
            keys = {t: self.keys.at(t) for t in islice(segment.keys, space_budget.STEP_RECORDS)}
        if ids or keys:
            rows.append(["known", self.last, ids, keys])
        if rows:
            data = b"".join(map(frame, rows))
            self.files.append(data)
            self.copied += len(data)
        for row in rows:
            if row[0] == "known":
                self._effect(row, self.files.newest)
            else:
                self._place(row, self.files.newest)
        for n in over:
            self._homeless(n)


def _raise(error: OSError) -> None:
    raise error
