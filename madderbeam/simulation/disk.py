"""A simulated disk: what was written outlasts the process; calls fail, fall short and are cut by script."""

from __future__ import annotations

import errno
import os
import random
import zlib
from collections.abc import Callable

from madderbeam.simulation.loop import Killed

BLOCK = 512


def fail(code: int) -> OSError:
    return OSError(code, os.strerror(code))


class Faults:
    """What is wrong with a disk now; changed by the script while the run goes on."""

    def __init__(self) -> None:
        self.full = False  # someone else's files took the room: no call gets a further byte
        self.eio = 0.0  # share of calls that fail
        self.short = 0.0  # share of writes that fall short


class SimDisk:
    """The files of one courier, by path. `limit` is the platform's; `operation` may kill the process."""

    def __init__(self, chance: random.Random, operation: Callable[[str], bool]) -> None:
        self.files: dict[str, bytearray] = {}
        self.folders: set[str] = {"/state"}
        self.faults = Faults()
        self.spared: set[str] = set()  # files on another disk, which has no faults but short writes
        self.chance = chance
        self.operation = operation  # called before each call; True: the process dies amid it
        self.wrote: Callable[[str, bytes], None] = lambda path, data: None  # sees each whole write
        self.was_read: Callable[[str, bytes], None] = lambda path, data: None
        self.most = 0  # bytes in whole blocks, the most ever under /state

    def used(self) -> int:
        return sum(
            -(-len(data) // BLOCK) * BLOCK for path, data in self.files.items() if path.startswith("/state/")
        )

    def call(self, name: str, path: str = "") -> None:
        if self.operation(name):
            raise Killed
        if self.faults.eio and path not in self.spared and self.chance.random() < self.faults.eio:
            raise fail(errno.EIO)

    def open(self, path: str, *, empty: bool = False) -> SimFile:
        self.call("open", path)
        if path not in self.files:
            if self.faults.full and path not in self.spared:
                raise fail(errno.ENOSPC)
            self.files[path] = bytearray()
        if empty:
            self.files[path] = bytearray()
        return SimFile(self, path)

    def read(self, path: str) -> bytes:
        if path not in self.files:
            raise fail(errno.ENOENT)
        self.was_read(path, data := bytes(self.files[path]))
        return data

    def read_part(self, path: str, position: int, size_bytes: int) -> bytes:
        return self.read(path)[position : position + size_bytes]

    def stamp(self, path: str) -> tuple[int, ...]:
        if path not in self.files:
            raise fail(errno.ENOENT)
        return (zlib.crc32(self.files[path]), len(self.files[path]))

    def rename(self, old: str, new: str) -> None:
        self.call("rename", old)
        self.files[new] = self.files.pop(old)

    def unlink(self, path: str) -> None:
        self.call("unlink")
        self.files.pop(path, None)

    def names(self, path: str) -> list[str]:
        inside = [p[len(path) + 1 :] for p in self.files if p.startswith(path + "/")]
        return [name for name in inside if "/" not in name]

    def is_folder(self, path: str) -> bool:
        return path in self.folders

    def make_folder(self, path: str) -> None:
        self.folders.add(path)

    def lock(self, path: str) -> SimLock:
        return SimLock()


class SimLock:
    """Each simulated machine has one courier: nobody else wants it."""

    def close(self) -> None:
        return


class SimFile:
    """An open file; it follows its data through a rename."""

    def __init__(self, disk: SimDisk, path: str) -> None:
        self.disk, self.path, self.data = disk, path, disk.files[path]

    def append(self, data: bytes) -> int:
        disk, faults = self.disk, self.disk.faults
        if disk.operation("append"):
            self.data += data[: disk.chance.randrange(len(data) + 1)]  # a torn record
            raise Killed
        spared = self.path in disk.spared
        if faults.eio and not spared and disk.chance.random() < faults.eio:
            raise fail(errno.EIO)
        if faults.full and not spared:
            raise fail(errno.ENOSPC)
        if faults.short and len(data) > 1 and disk.chance.random() < faults.short:
            data = data[: disk.chance.randrange(1, len(data))]
        self.data += data
        disk.most = max(disk.most, disk.used())
        disk.wrote(self.path, data)
        return len(data)

    def truncate(self, size: int) -> None:
        self.disk.call("truncate")
        del self.data[size:]

    def sync(self) -> None:
        self.disk.call("sync", self.path)

    def close(self) -> None:
        return
