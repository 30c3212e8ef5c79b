"""Where there is no platform: a partner list from a file that is watched, finals to one that is read."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from typing import Any

from madderbeam.config.platform import partner_list
from madderbeam.config.rendered import Unfit
from madderbeam.ports import Address, Disk, File
from madderbeam.transport.discovery import Backoff

LOOK_S = 0.5  # the list's file is looked at so often
log = logging.getLogger(__name__)


class ListFile:
    """Follows a partner list that is replaced as a whole; one that can't be used leaves the old in force."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, disk: Disk, path: str, told: Callable[[dict[str, Any]], object]
    ) -> None:
        self.loop, self.disk, self.path, self.told = loop, disk, path, told
        self.stamp: tuple[int, ...] = ()
        self.digest = ""
        self.timer: asyncio.TimerHandle | None = None

    def open(self) -> None:
        """Look now and from now on."""
        self.stop()
        self.look()
        self.timer = self.loop.call_later(LOOK_S, self.open)

    def look(self) -> None:
        """Read the file if it has changed."""
        try:
            stamp = self.disk.stamp(self.path)
            if stamp == self.stamp:
                return
            data = self.disk.read(self.path)
            change = partner_list(data, self.path)
        except (OSError, Unfit) as error:
            log.error("the partner list stays as it was: %s", error)
            return
        self.stamp = stamp
        digest = json.loads(data)["digest"]
        if digest != self.digest:
            self.digest = digest
            log.info("partner list %s: %d endpoints", digest, len(change["targets"]))
            self.told(change)

    def move(self, address: Address) -> None:
        """There is no discovery that could move."""

    def stop(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class Feed:
    """Finals as JSON lines in a file, for the program to read.

    A line is in the file before its message is over here, so each comes at least once; one that a courier
    wrote just before it died comes again. The file only ever grows, so that a reader may follow it: what a
    disk took in part is continued where it broke off, and behind a line that a kill tore a new one begins
    (a reader passes over what is no JSON). At its limit the file is renamed to `.1`, in place of the one
    before, and a new one is begun: a reader that keeps the old one open reads it to its end.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        disk: Disk,
        path: str,
        limit: int,
        chance: random.Random,
        accepted: Callable[[list[int]], None],
    ) -> None:
        self.loop, self.disk, self.path, self.limit, self.accepted = loop, disk, path, limit, accepted
        self.backoff = Backoff(chance, 0.2)
        self.waiting: dict[int, bytes] = {}
        self.begun: list[int] = []  # whose lines are being written
        self.rest = b""  # of these, what is not written yet
        self.timer: asyncio.Handle | None = None
        self.file: File | None = None
        self.size = 0
        self.batch = b""  # what is being written, whole
        self.wrote: Callable[[bytes], None] = lambda data: None  # told of lines that are in the file
        self.renames: Callable[[], None] = lambda: None  # and that it is about to be set aside

    def add(self, number: int, ident: str, status: str, again_ms: int) -> None:
        """A message has ended so; it is told in the same turn of the loop, with all others that end in it."""
        line: dict[str, Any] = {"id": ident, "status": status}
        if again_ms:
            line["again_ms"] = again_ms
        self.waiting[number] = json.dumps(line, separators=(",", ":")).encode() + b"\n"
        if self.timer is None:
            self.timer = self.loop.call_soon(self._write)

    def _write(self) -> None:
        self.timer = None
        try:
            while self.rest or self.waiting:
                self._batch()
        except OSError as error:
            log.error("the feed of finals: %s", error)
            self.timer = self.loop.call_later(self.backoff.next(), self._write)
            return
        self.backoff.reset()

    def _batch(self) -> None:
        """Write all that waits, or go on with what was written in part."""
        if not self.rest:
            data = b"".join(self.waiting.values())
            self._room(len(data))
            self.begun, self.rest, self.batch = list(self.waiting), data, data
            self.waiting.clear()
        assert self.file is not None
        while self.rest:  # a disk that takes a part may take the rest at once; one that is full raises
            written = self.file.append(self.rest)
            self.size += written
            self.rest = self.rest[written:]
        begun, self.begun = self.begun, []
        self.wrote(self.batch)
        self.accepted(begun)

    def _room(self, more: int) -> None:
        """The file is open, and a new one where it would pass its limit."""
        if self.file is not None and self.size and self.size + more > self.limit:
            self.file.close()
            self.file = None
            self.renames()
            self.disk.rename(self.path, self.path + ".1")
        if self.file is None:
            file = self.disk.open(self.path)
            data = self.disk.read(self.path)
            self.size = len(data)
            if data and not data.endswith(b"\n"):
                self.size += file.append(b"\n")
            self.file = file

    def move(self, address: Address) -> None:
        """There is no discovery that could move."""

    def stop(self) -> None:
        """Stop writing and close the file; lines that are not written yet are not."""
        if self.timer is not None:
            self.timer.cancel()
        if self.file is not None:
            self.file.close()
            self.file = None
