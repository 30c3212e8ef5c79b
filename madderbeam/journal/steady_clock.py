"""Wall time that does not step, over processes of one boot."""

from __future__ import annotations

from madderbeam.ports import Clock, Disk

BOOT = "/proc/sys/kernel/random/boot_id"  # the monotonic clock goes on over processes while this is the same


class SteadyClock:
    """Wall time that does not step: where it stood once, carried on by the monotonic clock.

    Deadlines and key windows are kept in it, so that a step of the system's wall clock neither ends a message
    early nor keeps it past its time. Its anchor is journaled: on the same boot of the machine the next
    process goes on from there. After a reboot, or where the system does not tell, it starts from the wall
    clock anew, but never before the newest time that the journal knows of: windows err on the careful side.
    """

    def __init__(self, clock: Clock, boot: str) -> None:
        self.clock, self.boot, self.monotonic_us = clock, boot, clock.monotonic_us
        self.base = clock.wall() - clock.monotonic_us() / 1e6

    def __call__(self) -> float:
        """Unix time in seconds."""
        return self.base + self.monotonic_us() / 1e6

    def monotonic(self, at: float) -> int:
        """The monotonic clock's microseconds at this Unix time; negative before its zero."""
        return int((at - self.base) * 1e6)

    def adopt(self, base: float, boot: str) -> None:
        """Go on from an anchor, if it is of this boot."""
        if boot and boot == self.boot:
            self.base = base


def boot_id(disk: Disk) -> str:
    """What names this boot of the machine, '' where the system does not tell."""
    try:
        return disk.read(BOOT).decode("ascii", "replace").strip()
    except OSError:
        return ""
