"""Endpoints disabled by an operator, by id, stored so that they stay disabled across restarts."""

from __future__ import annotations

import json
import logging
from collections.abc import Iterable

from madderbeam.host import atomic_file
from madderbeam.ports import Disk

FILE = "bans"
MAX_DISABLED = 64  # at the same time
MAX_ID_CHARACTERS = 128
READ_TRIES = 3  # of a file with a read error: it would enable endpoints
# Disk space for the file and its replacement, each rounded up to whole blocks of 512 bytes.
RESERVED_BYTES = 2 * 512 * -(-MAX_DISABLED * (MAX_ID_CHARACTERS + 4) // 512)
log = logging.getLogger(__name__)


class TooManyDisabledError(Exception):
    """No further endpoint can be disabled."""


class DisabledEndpoints:
    """The set of disabled endpoint ids and its file in the courier's state folder."""

    def __init__(self, disk: Disk, folder: str) -> None:
        self.disk, self.path = disk, f"{folder}/{FILE}"
        self.ids = self._read()

    def _read(self) -> dict[str, None]:
        try:
            ids = json.loads(atomic_file.read(self.disk, self.path, READ_TRIES))
            if not isinstance(ids, list) or not all(isinstance(uid, str) for uid in ids):
                raise ValueError("must be a list of ids")
        except FileNotFoundError:
            return {}
        except (OSError, ValueError) as error:
            log.error("%s: unreadable, no endpoint is disabled: %s", self.path, error)
            return {}
        return dict.fromkeys(ids)

    def __contains__(self, uid: object) -> bool:
        return uid in self.ids

    def add(self, uid: str) -> None:
        """Disable an endpoint at once.

        OSError if it could not be stored, so that it holds in this process only; TooManyDisabledError if the
        limits don't allow it.
        """
        if uid not in self.ids and (len(self.ids) >= MAX_DISABLED or len(uid) > MAX_ID_CHARACTERS):
            raise TooManyDisabledError(
                f"at most {MAX_DISABLED} endpoints can be out by hand, "
                f"with ids of {MAX_ID_CHARACTERS} characters"
            )
        self.ids[uid] = None
        self._write()

    def adopt(self, ids: Iterable[str]) -> None:
        """Take over what the process before this one had in force, which it may have failed to store."""
        if self.ids.keys() == (adopted := dict.fromkeys(ids)).keys():
            return
        self.ids = adopted
        try:
            self._write()
        except OSError as error:
            log.error("the list of disabled endpoints could not be stored: %s", error)

    def remove(self, uid: str) -> None:
        """Enable an endpoint. OSError if that could not be stored: the next process disables it again."""
        if uid in self.ids:
            del self.ids[uid]
            self._write()

    def _write(self) -> None:
        """Write the file atomically: a partial one would enable endpoints."""
        atomic_file.replace(self.disk, self.path, json.dumps(list(self.ids)).encode())
