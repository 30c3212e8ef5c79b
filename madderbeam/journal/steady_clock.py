"""Wall time that does not step, across processes of one boot."""

from __future__ import annotations

from madderbeam.ports import Clock, Disk

# While this file's content is the same, the monotonic clock continues across processes.
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


class SteadyClock:
    """Wall time that does not step: the wall clock read once, advanced by the monotonic clock.

    Deadlines and key windows use it, so that a step of the system's wall clock neither ends a message early
    nor keeps it past its deadline. The anchor (`offset_s`) is journaled: on the same boot of the machine the
    next process continues from it. After a reboot, or if the system has no boot id, the clock starts from
    the wall clock again, but never before the newest time in the journal: a window may close late, not early.
    """

    def __init__(self, clock: Clock, boot: str) -> None:
        self.clock, self.boot_id, self.monotonic_us = clock, boot, clock.monotonic_us
        self.offset_s = clock.wall() - clock.monotonic_us() / 1e6

    def __call__(self) -> float:
        """Unix time in seconds."""
        return self.offset_s + self.monotonic_us() / 1e6

    def monotonic_us_at(self, at: float) -> int:
        """The monotonic clock's microseconds at this Unix time; negative before its zero."""
        return int((at - self.offset_s) * 1e6)

    def adopt(self, offset_s: float, boot: str) -> None:
        """Continue from a journaled anchor, if it is of this boot."""
        if boot and boot == self.boot_id:
            self.offset_s = offset_s


def boot_id(disk: Disk) -> str:
    """The id of the machine's current boot, '' if the system has none."""
    try:
        return disk.read(BOOT_ID_PATH).decode("ascii", "replace").strip()
    except OSError:
        return ""
