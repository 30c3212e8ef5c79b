"""Reading and atomic replacement of small files."""

from __future__ import annotations

import errno
import os

from madderbeam.ports import Disk


def read(disk: Disk, path: str, tries: int) -> bytes:
    """Return the file's content, read again after an error up to `tries` times; OSError if none succeeds."""
    for _ in range(tries - 1):
        try:
            return disk.read(path)
        except FileNotFoundError:
            raise
        except OSError:
            continue
    return disk.read(path)


def replace(disk: Disk, path: str, data: bytes) -> None:
    """Replace the file's content; OSError, with the old content kept, if not all of it could be written."""
    new_path = path + ".new"
    file = disk.open(new_path, empty=True)
    try:
        if file.append(data) != len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
    finally:
        file.close()
    disk.rename(new_path, path)
