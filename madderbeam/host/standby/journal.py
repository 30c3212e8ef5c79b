"""The journal of a courier that has a standby: it tells what it writes, and what follows from a record waits.

The journal itself knows nothing of it: its disk tells of each write and removal, and `take`, `attempt` and
`final` hand their `done` to the room, which calls it when the standby has the record. Effects are at once
those of the journal: only what is said to the outside waits.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from madderbeam.journal.journal import Journal, _do_nothing, _raise
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.journal.segments import UnconfirmedError, segment_number
from madderbeam.ports import Clock, Disk, File, Lock
from madderbeam.replication.values import Sort

FINAL_S = 0.2  # past its message's time a notice waits no more: then it tells that nothing is promised
AppendListener = Callable[[int, int, bytes], None]  # segment, offset, bytes


class ReplicationGate(Protocol):
    """Who decides what may follow from a record."""

    def ask(self, sort: Sort, go: Callable[[], None], deny: Callable[[], None], until: float) -> None:
        """Call one of both once it is decided. `until`: of a final, how long it may wait."""
        ...

    def may_attempt(self) -> bool:
        """Whether an attempt would be let go, as things stand: else its record is spared."""
        ...

    def appended(self, segment: int, at: int, data: bytes) -> None: ...

    def dropped(self, segment: int) -> None: ...


class _File:
    """A segment that tells what was written to it, once that is whole or will not be cut off any more."""

    def __init__(self, file: File, segment: int, size: int, told: AppendListener) -> None:
        self.file, self.segment, self.size, self.told = file, segment, size, told
        self.part = b""  # of a record that the disk did not take whole

    def append(self, data: bytes) -> int:
        written = self.file.append(data)
        if written == len(data):
            at, self.size = self.size, self.size + written
            self.told(self.segment, at, data)
        else:
            self.part = data[:written]
        return written

    def truncate(self, size: int) -> None:
        self.file.truncate(size)
        self.size, self.part = size, b""

    def sync(self) -> None:
        self.file.sync()

    def close(self) -> None:
        if self.part:  # it stands there for good
            self.told(self.segment, self.size, self.part)
        self.file.close()


class ReportingDisk:
    """A disk that tells of each write to a journal's segments and of their removal."""

    def __init__(self, disk: Disk, folder: str) -> None:
        self.disk, self.prefix = disk, f"{folder}/"
        self.appended: AppendListener | None = None
        self.dropped: Callable[[int], None] | None = None
        self.read, self.stamp, self.rename, self.names = disk.read, disk.stamp, disk.rename, disk.names
        self.is_folder, self.make_folder = disk.is_folder, disk.make_folder

    def _segment(self, path: str) -> int:
        return segment_number(path.removeprefix(self.prefix)) if path.startswith(self.prefix) else 0

    def open(self, path: str, *, empty: bool = False) -> File:
        file, segment = self.disk.open(path, empty=empty), self._segment(path)
        if not segment:
            return file
        return _File(file, segment, 0 if empty else self.disk.stamp(path)[1], self._appended)

    def _appended(self, segment: int, at: int, data: bytes) -> None:
        if self.appended is not None:
            self.appended(segment, at, data)

    def unlink(self, path: str) -> None:
        self.disk.unlink(path)
        if (segment := self._segment(path)) and self.dropped is not None:
            self.dropped(segment)

    def lock(self, path: str) -> Lock:
        return self.disk.lock(path)


class ReplicatedJournal(Journal):
    """A journal whose room decides when what its records make true may be said."""

    room: ReplicationGate | None = None
    safe: frozenset[int] = frozenset()  # classes whose attempts may be repeated
    windows: Mapping[int, float] = {}  # of keyed classes, in seconds from the first attempt that may have run
    fenced = False  # another courier has taken over: nothing more is written

    def __init__(self, disk: Disk, clock: Clock, folder: str, *more: Any) -> None:
        self.watched = ReportingDisk(disk, folder)
        self.taking: set[int] = set()  # messages whose `+OK` waits
        self.told_later: dict[str, list[tuple[Callable[[], None], Callable[[], None]]]] = {}
        super().__init__(self.watched, clock, folder, *more)

    def attach(self, room: ReplicationGate, safe: frozenset[int], windows: Mapping[int, float]) -> None:
        self.room, self.safe, self.windows = room, safe, windows
        self.watched.appended, self.watched.dropped = room.appended, room.dropped

    def fence(self) -> None:
        """Nothing more is written, also not what is staged."""
        self.fenced = True
        self.staged, self.staged_bytes = [], 0
        self.unwritten.clear()

    def commit(self) -> None:
        if self.fenced:
            self.staged = []
        super().commit()

    def step(self) -> bool:
        return not self.fenced and super().step()

    def accept(
        self,
        m: PendingMessage,
        done: Callable[[], None] = _do_nothing,
        failed: Callable[[OSError], None] | None = None,
    ) -> None:
        room = self.room
        if room is None:
            super().accept(m, done, failed)
            return

        def sure() -> None:
            self.taking.discard(m.number)
            done()
            for told, _ in self.told_later.pop(m.id, ()):
                told()

        def unsure() -> None:
            self.taking.discard(m.number)
            (failed or _raise)(UnconfirmedError("the standby does not confirm it"))
            for _, lost in self.told_later.pop(m.id, ()):
                lost()

        def refused(error: OSError) -> None:
            self.taking.discard(m.number)
            (failed or _raise)(error)
            for _, lost in self.told_later.pop(m.id, ()):
                lost()

        self.taking.add(m.number)
        try:
            super().accept(m, lambda: room.ask(Sort.TAKE, sure, unsure, m.deadline_s), refused)
        except OSError:
            self.taking.discard(m.number)
            raise

    def call_when_written(self, ident: str, told: Callable[[], None], lost: Callable[[], None]) -> None:
        if self.numbers_by_id.get(ident) in self.taking:
            self.told_later.setdefault(ident, []).append((told, lost))
        else:
            told()

    def attempt(
        self,
        numbers: list[int],
        at: float,
        done: Callable[[], None] = _do_nothing,
        failed: Callable[[OSError], None] | None = None,
    ) -> None:
        room = self.room
        if room is None:
            super().attempt(numbers, at, done, failed)
            return
        if not room.may_attempt():
            (failed or _raise)(UnconfirmedError("the standby is silent"))
            return
        held = [self.pending.get(n) for n in numbers]
        light = all(m is None or (m.class_index in self.safe and m.number not in self.taking) for m in held)

        closes = min(
            (
                m.possibly_executed_at + self.windows[m.class_index]
                for m in held
                if m is not None and m.class_index in self.windows and m.possibly_executed_at
            ),
            default=0.0,
        )

        def deny(why: str = "the standby does not confirm it") -> None:
            for n in numbers:
                self.attempt_not_executed(n)
            (failed or _raise)(UnconfirmedError(why))

        def go() -> None:
            if closes and self.wall() >= closes:
                deny("the window of a key has passed while the standby was waited for")
            else:
                done()

        sort = Sort.LIGHT if light else Sort.ATTEMPT
        super().attempt(numbers, at, lambda: room.ask(sort, go, deny, 0.0), failed)

    def record_outcome(
        self,
        number: int,
        status: str,
        again_ms: int,
        done: Callable[[], None] = _do_nothing,
        failed: Callable[[OSError], None] | None = None,
    ) -> None:
        room, m = self.room, self.pending.get(number)
        if room is None or m is None:
            super().record_outcome(number, status, again_ms, done, failed)
            return
        until = m.deadline_s + FINAL_S

        def deny() -> None:
            (failed or _raise)(UnconfirmedError("the standby does not confirm an end"))

        super().record_outcome(
            number, status, again_ms, lambda: room.ask(Sort.FINAL, done, deny, until), failed
        )
