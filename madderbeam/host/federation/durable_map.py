"""A durable map for the state of state machines, kept as an append-only file of records."""

from __future__ import annotations

import errno
import logging
import os
from collections.abc import Iterable
from typing import Any

from madderbeam.host import atomic_file
from madderbeam.journal.records import MAX_RECORD_BYTES, RECORD_HEADER, frame, parse
from madderbeam.ports import Disk, File

MIN_COMPACTED_BYTES = 1 << 16  # smaller files are not compacted
COMPACTION_RATIO = 4  # compacts at this ratio of file size to live bytes
MAX_FILE_BYTES = 1 << 25  # writes that would exceed this file size fail
log = logging.getLogger(__name__)


class DurableMap:
    """Maps (kind, key) to a value that msgpack can encode; the last record of a key counts.

    Written records survive SIGKILL, and with `sync` also a power failure. A tail torn by a kill is truncated:
    no action that depends on the torn record was performed. Any other damage sets `damaged`: promises made to
    other members may be lost, so the owner of the map must not vote.
    """

    def __init__(self, disk: Disk, folder: str, sync: bool = False) -> None:
        """Create the folder if necessary and read the file. OSError if the folder can't be used."""
        self.disk, self.path, self.sync = disk, f"{folder}/kept", sync
        self.map: dict[tuple[str, str], Any] = {}
        self.damaged = False
        if not disk.is_folder(folder):
            disk.make_folder(folder)
        self.file, self.size_bytes = self._open()
        self.live_bytes = self._count_live_bytes()

    def _open(self) -> tuple[File, int]:
        try:
            data = self.disk.read(self.path)
        except FileNotFoundError:
            data = b""
        records, end = parse(data)
        for record in records:
            self._apply(record)
        file = self.disk.open(self.path)
        if end < len(data):
            self.damaged = not _is_torn(data[end:])
            log.log(
                logging.ERROR if self.damaged else logging.WARNING,
                "%s: the last %d bytes are %s",
                self.path,
                len(data) - end,
                "damaged" if self.damaged else "a torn record; truncated",
            )
            if self.damaged:
                # the damaged file is set aside for inspection; a new one is begun
                file.close()
                self.disk.rename(self.path, self.path + ".damaged")
                file = self.disk.open(self.path, empty=True)
                rows = self._encoded_rows()
                file.append(rows)
                return file, len(rows)
            file.truncate(end)
        return file, end

    def _apply(self, record: list[Any]) -> None:
        if len(record) == 4 and record[0] == "keep":
            kind, key, value = str(record[1]), str(record[2]), record[3]
            if value is None:
                self.map.pop((kind, key), None)
            else:
                self.map[kind, key] = value

    def write(self, rows: Iterable[tuple[str, str, Any]]) -> None:
        """Write all rows or none; a value of None removes its key. OSError if the write fails."""
        records: list[list[Any]] = [["keep", kind, key, value] for kind, key, value in rows]
        data = b"".join(map(frame, records))
        if self.size_bytes + len(data) > MAX_FILE_BYTES:
            self._compact()
        if self.size_bytes + len(data) > MAX_FILE_BYTES:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        try:
            if self.file.append(data) != len(data):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            if self.sync:
                self.file.sync()
        except OSError:
            self.file.truncate(self.size_bytes)
            raise
        self.size_bytes += len(data)
        for record in records:
            self._apply(record)
        if self.size_bytes > max(MIN_COMPACTED_BYTES, COMPACTION_RATIO * self.live_bytes):
            self._compact()

    def _encoded_rows(self) -> bytes:
        return b"".join(frame(["keep", kind, key, value]) for (kind, key), value in self.map.items())

    def _count_live_bytes(self) -> int:
        return len(self._encoded_rows()) if self.size_bytes > MIN_COMPACTED_BYTES else self.size_bytes

    def _compact(self) -> None:
        """Rewrite the file with the live records only; on a disk error the file stays as it is."""
        data = self._encoded_rows()
        self.live_bytes = len(data)
        try:
            atomic_file.replace(self.disk, self.path, data)
            file = self.disk.open(self.path)
        except OSError as error:
            log.error("%s: compaction failed: %s", self.path, error)
            return
        self.file.close()
        self.file, self.size_bytes = file, len(data)

    def close(self) -> None:
        """Close the file."""
        self.file.close()


def _is_torn(rest: bytes) -> bool:
    """Whether `rest` may be the beginning of a record whose write was interrupted."""
    if len(rest) < RECORD_HEADER.size:
        return True
    size, _ = RECORD_HEADER.unpack_from(rest)
    return 0 < size <= MAX_RECORD_BYTES and len(rest) < RECORD_HEADER.size + size
