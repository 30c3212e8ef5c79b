"""What the federation's machines must not forget: a map on disk, written before what depends on it."""

from __future__ import annotations

import errno
import logging
import os
from collections.abc import Iterable
from typing import Any

from madderbeam.host import atomic_file
from madderbeam.journal.records import FRAME, MAX_RECORD_BYTES, frame, parse
from madderbeam.ports import Disk, File

LEAST = 1 << 16  # bytes under which the file is not written anew
GROWN = 4  # it is once it has this many times the bytes of what still counts
LIMIT = 1 << 25  # bytes of the file: a record that would pass it is not taken
log = logging.getLogger(__name__)


class Kept:
    """(kind, key) -> value, all values msgpack's. A row of records, the last one of a key counts; what was
    written outlasts SIGKILL, with `sync` also a loss of power.

    A tail that a kill tore is cut off: nothing that stood behind it was carried out. Any other damage makes
    `damaged` true: what was said may have been forgotten, so that its owner must not vote.
    """

    def __init__(self, disk: Disk, folder: str, sync: bool = False) -> None:
        """OSError if the folder can't be used."""
        self.disk, self.path, self.sync = disk, f"{folder}/kept", sync
        self.map: dict[tuple[str, str], Any] = {}
        self.damaged = False
        if not disk.is_folder(folder):
            disk.make_folder(folder)
        self.file, self.size = self._open()
        self.live = self._live()

    def _open(self) -> tuple[File, int]:
        try:
            data = self.disk.read(self.path)
        except FileNotFoundError:
            data = b""
        records, end = parse(data)
        for record in records:
            self._effect(record)
        file = self.disk.open(self.path)
        if end < len(data):
            self.damaged = not _torn(data[end:])
            log.log(
                logging.ERROR if self.damaged else logging.WARNING,
                "%s: %d bytes at its end are %s",
                self.path,
                len(data) - end,
                "damaged" if self.damaged else "torn, cut off",
            )
            if self.damaged:  # to be looked at; the map goes on in a file of its own
                file.close()
                self.disk.rename(self.path, self.path + ".damaged")
                file = self.disk.open(self.path, empty=True)
                rows = self._rows()
                file.append(rows)
                return file, len(rows)
            file.truncate(end)
        return file, end

    def _effect(self, record: list[Any]) -> None:
        if len(record) == 4 and record[0] == "keep":
            kind, key, value = str(record[1]), str(record[2]), record[3]
            if value is None:
                self.map.pop((kind, key), None)
            else:
                self.map[kind, key] = value

    def write(self, rows: Iterable[tuple[str, str, Any]]) -> None:
        """Keep these, all or none; a value of None forgets its key. OSError if the disk takes them not."""
        records: list[list[Any]] = [["keep", kind, key, value] for kind, key, value in rows]
        data = b"".join(map(frame, records))
        if self.size + len(data) > LIMIT:
            self._anew()
        if self.size + len(data) > LIMIT:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        try:
            if self.file.append(data) != len(data):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            if self.sync:
                self.file.sync()
        except OSError:
            self.file.truncate(self.size)
            raise
        self.size += len(data)
        for record in records:
            self._effect(record)
        if self.size > max(LEAST, GROWN * self.live):
            self._anew()

    def _rows(self) -> bytes:
        return b"".join(frame(["keep", kind, key, value]) for (kind, key), value in self.map.items())

    def _live(self) -> int:
        return len(self._rows()) if self.size > LEAST else self.size

    def _anew(self) -> None:
        """Write only what still counts. A disk that does not take it leaves the file as it was."""
        data = self._rows()
        self.live = len(data)
        try:
            atomic_file.replace(self.disk, self.path, data)
            file = self.disk.open(self.path)
        except OSError as error:
            log.error("%s is not made smaller: %s", self.path, error)
            return
        self.file.close()
        self.file, self.size = file, len(data)

    def close(self) -> None:
        self.file.close()


def _torn(rest: bytes) -> bool:
    """Whether this may be the beginning of a record that was being written."""
    if len(rest) < FRAME.size:
        return True
    size, _ = FRAME.unpack_from(rest)
    return 0 < size <= MAX_RECORD_BYTES and len(rest) < FRAME.size + size
