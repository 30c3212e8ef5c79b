"""Small files that are replaced whole, or left as they were."""

from __future__ import annotations

import errno
import os

from madderbeam.ports import Disk


def replace(disk: Disk, path: str, data: bytes) -> None:
    """Write the file anew; OSError, and the old one stays, if the disk does not take all of it."""
    fresh = path + ".new"
    file = disk.open(fresh, empty=True)
    try:
        if file.append(data) != len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
    finally:
        file.close()
    disk.rename(fresh, path)
