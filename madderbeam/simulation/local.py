"""A sidecar's surroundings: the partner list's file, and the program that reads the feed of finals."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from madderbeam.config.rendered import seal
from madderbeam.simulation.agent import Agent
from madderbeam.simulation.checker import Life
from madderbeam.simulation.kernel import Kernel
from madderbeam.simulation.pools import routing

FOLDER = "/files"
LIST, CONFIG, FEED = f"{FOLDER}/n.partners.json", f"{FOLDER}/n.json", f"{FOLDER}/finals.jsonl"
FEED_MB = 0.02  # small enough that it is set aside in most runs
HALF_US = 120_000  # a file that is half written is made whole after this
READ_US = 1_000_000  # a list that has stood in its file for so long is told


class ListKeeper(Agent):
    """Replaces the list's file where an agent would push a change. It counts as told when the courier has
    read it, and READ_US after it stood there whole at the latest."""

    def __init__(self, kernel: Kernel, name: str, files: dict[str, bytearray]) -> None:
        super().__init__(kernel, name, ("nowhere", 0))
        self.files = files  # the machine's, by path
        self.written: dict[bytes, tuple[int, list[dict[str, Any]]]] = {}  # version by content
        self.told_version = self.versions = 0
        self.half = False  # its file is half written now

    def content(self) -> bytes:
        targets = list(self.targets.values())
        listed: dict[str, Any] = {"form": 1, "all": True, "targets": targets}
        if self.kernel.script.pools:
            listed["routing"] = routing(targets, self.kernel.script.seed)
        data = json.dumps(seal(listed)).encode()
        self.versions += 1
        self.written[data] = (self.versions, targets)
        return data

    def learn(self, entry: dict[str, Any]) -> None:
        """The list has changed: its file is replaced, half of it first where lines come spoilt."""
        self._note(entry)
        if self.silent:
            self.missed = True
        else:
            self.replace()

    def _note(self, entry: dict[str, Any]) -> None:
        self.rev += 1
        if entry["state"] == "terminated":
            self.targets.pop(entry["uid"], None)
        else:
            self.targets[entry["uid"]] = entry

    def replace(self) -> None:
        """The file holds what is known now."""
        if self.spoilt and self.chance.random() < self.spoilt:
            data = self.content()
            self.files[LIST] = bytearray(data[: len(data) // 2])
            self.half = True
            self.kernel.after(HALF_US, self._whole)
        else:
            self._whole()

    def _whole(self) -> None:
        data = self.content()
        self.files[LIST] = bytearray(data)
        self.half = False
        self.kernel.after(READ_US, self.read, data)

    def quiet(self, on: bool) -> None:
        """Nobody writes the file for a while."""
        self.silent = on
        if not on and self.missed:
            self.missed = False
            self.replace()

    def read(self, data: bytes) -> None:
        """The courier has read the file, or had the time for it."""
        version, targets = self.written.get(data, (0, []))
        if version > self.told_version:
            self.told_version = version
            self.kernel.note(self.courier, "list", states=[[t["uid"], t["state"]] for t in targets])
            self.wrote(targets, True)


class FeedReader:
    """The program that follows the finals, as they are written."""

    def __init__(self, kernel: Kernel, files: dict[str, bytearray], life: Callable[[], Life]) -> None:
        self.kernel, self.files, self.life = kernel, files, life  # the machine's
        self.file: bytearray | None = None
        self.at = 0  # bytes of it that were read
        self.tail = b""

    def read(self, known: bool) -> None:
        """What is new in the feed; known: its courier lives and knows that it is written."""
        file = self.files.get(FEED)
        if file is None:
            return
        if file is not self.file:  # the one before was read to its end as it was written
            self.file, self.at, self.tail = file, 0, b""
        whole, newline, self.tail = (self.tail + bytes(file[self.at :])).rpartition(b"\n")
        self.at = len(file)
        for text in (whole + newline).splitlines():
            try:
                line = json.loads(text)
            except ValueError:
                continue  # torn by a kill
            self._final(line, known)

    def _final(self, line: dict[str, Any], known: bool) -> None:
        kernel, life = self.kernel, self.life()
        kernel.note(life.courier, "notice", id=line["id"], status=line["status"])
        notice = kernel.checker.notice(
            life, line["id"], line["status"], kernel.now_us, line.get("again_ms", 0)
        )
        if notice is not None:
            notice.arrived_us = kernel.now_us
            if known:
                notice.told_us = kernel.now_us
            kernel.ended(line["id"], line["status"], line.get("again_ms", 0))
