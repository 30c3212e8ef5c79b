"""The marker of the newest segment: an empty file whose name has the segment's number.

Without it, a newest segment that was emptied or removed may look like one that a killed process had just
created. The marker follows the segment's header: it never names a segment whose header may be incomplete, and
it may lag behind, for example after an earlier version of the courier has used the folder.
"""

from __future__ import annotations

import contextlib
import logging
import re
from collections.abc import Iterable

from madderbeam.ports import Disk

MARKER_NAME = re.compile(r"newest-(\d{8,})\.marker")
log = logging.getLogger(__name__)


def marker_name(number: int) -> str:
    """The file name of the marker that names this segment."""
    return f"newest-{number:08d}.marker"


def marked_number(names: Iterable[str]) -> int:
    """The number of the segment that the folder's marker names, 0 if there is no marker."""
    matches = (MARKER_NAME.fullmatch(name) for name in names)
    return max((int(match[1]) for match in matches if match), default=0)


def remove_marker(disk: Disk, folder: str) -> None:
    """Remove the folder's marker, since its segments are no longer those that it was written beside."""
    for name in disk.names(folder):
        if MARKER_NAME.fullmatch(name):
            disk.unlink(f"{folder}/{name}")


class NewestMarker:
    """Moves the marker of one folder forward."""

    def __init__(self, disk: Disk, folder: str) -> None:
        self.disk, self.folder = disk, folder
        self.number = 0  # of the segment that the marker names; 0: the folder has no marker
        with contextlib.suppress(OSError):
            self.number = marked_number(disk.names(folder))

    def advance(self, number: int) -> None:
        """Name segment `number`, whose header has been written. An error is logged: the marker lags then."""
        if number <= self.number:
            return
        try:
            if self.number:
                self.disk.rename(self._path(self.number), self._path(number))
            else:
                self.disk.open(self._path(number), empty=True).close()
        except OSError as error:
            log.warning("journal: segment %d is not marked as the newest: %s", number, error)
            return
        self.number = number

    def _path(self, number: int) -> str:
        return f"{self.folder}/{marker_name(number)}"
