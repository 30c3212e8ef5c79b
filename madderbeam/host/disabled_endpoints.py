"""Endpoints that were taken out by hand, by their ids: until they are put back, also over processes."""

from __future__ import annotations

import json
import logging

from madderbeam.ports import Disk

FILE = "bans"
MOST = 64  # at once
LONGEST = 128  # characters of an id
RESERVED = 2 * 512 * -(-MOST * (LONGEST + 4) // 512)  # bytes on disk: the file and the next one
log = logging.getLogger(__name__)


class TooManyDisabledError(Exception):
    """No further endpoint can be taken out."""


class DisabledEndpoints:
    """The set of ids, and its file in the folder that lasts."""

    def __init__(self, disk: Disk, folder: str) -> None:
        self.disk, self.path = disk, f"{folder}/{FILE}"
        self.ids = self._read()

    def _read(self) -> dict[str, None]:
        try:
            ids = json.loads(self.disk.read(self.path))
            if not isinstance(ids, list) or not all(isinstance(i, str) for i in ids):
                raise ValueError("must be a list of ids")
        except FileNotFoundError:
            return {}
        except (OSError, ValueError) as error:
            log.error("%s: can't be used, no endpoint is out by hand: %s", self.path, error)
            return {}
        return dict.fromkeys(ids)

    def __contains__(self, uid: object) -> bool:
        return uid in self.ids

    def add(self, uid: str) -> None:
        """Take one out, at once. OSError if it would not outlast the process, TooMany if it can't be."""
        if uid not in self.ids and (len(self.ids) >= MOST or len(uid) > LONGEST):
            raise TooManyDisabledError(
                f"at most {MOST} endpoints can be out by hand, with ids of {LONGEST} characters"
            )
        self.ids[uid] = None
        self._write()

    def remove(self, uid: str) -> None:
        """Put one back. OSError if it would be out again in the next process."""
        if uid in self.ids:
            del self.ids[uid]
            self._write()

    def _write(self) -> None:
        """Whole or not at all: a part of it would put endpoints back."""
        data, fresh = json.dumps(list(self.ids)).encode(), f"{self.path}.new"
        file = self.disk.open(fresh, empty=True)
        try:
            if file.append(data) != len(data):
                raise OSError("the disk is full")
        finally:
            file.close()
        self.disk.rename(fresh, self.path)
