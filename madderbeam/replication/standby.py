"""The standby's machine: keeps the copy, confirms what its disk has, takes over on a word or a lease's end.

While the owner's lease may run nothing is taken over: each confirmation grants the owner `silent_us` from
when it asked, by its clock, and this side waits that long from when it answered, and the drift of both clocks
more. From a word of promotion on none is granted but to an owner that ends in order.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from typing import Any

from madderbeam.membership.values import LogLine, Persist, Row, SetTimer, TimerDue, WriteFailed
from madderbeam.replication import errors, messages
from madderbeam.replication.values import (
    Close,
    Down,
    Got,
    Hello,
    Promote,
    Remove,
    Removed,
    Say,
    Settings,
    TakeOver,
    Write,
    Wrote,
)

YIELD_US = 8_000_000  # an owner that is asked to end in order is confirmed for so long at most
LOOK_US = 200_000  # a lease's end is looked for so often
FULL_US = 1_000_000  # a disk that was full is tried again after this


class Standby:
    """`sizes`, `digests`: the copy's segments; `kept`: fence, owner ([strict, silent_us] as it told last),
    whole, midway, sure, over (this one has taken over; True while the doubt is not yet in the folder).

    `sure`: in strict mode and with all that ever counted: then nothing is taken for having run that may not
    have. `whole`: the copy had all that the owner held, once.
    """

    def __init__(
        self,
        settings: Settings,
        sizes: Mapping[int, int],
        digests: Mapping[int, int],
        kept: Mapping[tuple[str, str], Any],
    ) -> None:
        self.s = settings
        self.sizes, self.digests = dict(sizes), dict(digests)
        self.fence: int = kept.get(("fence", ""), 0)
        strict, lease = kept.get(("owner", ""), [False, settings.silent_us])
        self.strict, self.lease_us = bool(strict), int(lease)
        self.whole = bool(kept.get(("whole", ""), False))
        self.midway = bool(kept.get(("midway", ""), False))
        self.sure = bool(kept.get(("sure", ""), False))
        self.over: bool | None = kept.get(("over", ""))
        self.link, self.name = 0, ""  # the owner's connection, 0 if there is none
        self.position = self.got = self.stamp = 0
        self.writing = 0  # writes whose outcome is not known yet
        self.granted_at = 0
        self.promoting = self.yielded = False
        self.yield_until = 0
        self.full_until = 0
        self.trouble: errors.StandbyError | None = None

    @property
    def state(self) -> str:
        if self.over is not None:
            return "promoted"
        if self.promoting:
            return "promoting"
        if not self.whole:
            return "catching up" if self.link else "waiting"
        return "following" if self.link else "alone"

    def lease_end(self) -> int:
        """From then on no owner of before does anything, by this clock."""
        return self.granted_at + self.s.standby_lease_us(self.lease_us)

    def start(self, now: int) -> list[Any]:
        """A lease may have been granted a moment before this process began."""
        self.granted_at = now
        if self.over is not None:
            return [TakeOver(self.fence, self.over, not self.midway)]
        return [SetTimer(now + LOOK_US, "look")]

    # Events

    def handle(self, now: int, event: Any) -> list[Any]:
        match event:
            case Got():
                return self._got(now, event) if event.link == self.link else []
            case Wrote():
                return self._wrote(now, event)
            case Hello():
                return self._hello(now, event.link, event.row)
            case Down():
                if event.link == self.link:
                    self.link = 0
                return self._look(now)
            case Removed():
                return self._done(now)
            case Promote():
                return self._promote(now)
            case TimerDue(token="look"):
                if self.over is not None:
                    return []
                # The timer first: what stands behind a record that is not written is dropped.
                return [SetTimer(now + LOOK_US, "look"), *self._look(now)]
            case WriteFailed(kind="over"):  # nothing was done: it is tried again
                self.over = None
                self.fence -= 1
            case WriteFailed():  # nothing was said: the owner comes again
                link, self.link = self.link, 0
                return [Close(link)] if link else []
        return []

    # A connection

    def _hello(self, now: int, link: int, row: Row) -> list[Any]:
        try:
            fence, form, strict, lease_us, limit, name = messages.check("hello", row)
        except messages.Odd as error:
            return [LogLine(f"an owner says what is no message: {error}"), Close(link)]
        if self.over is not None or fence < self.fence:
            return [Say("fenced", [self.fence], link), LogLine(f"{name} is told that it was taken over")]
        if self.promoting and not self.yielded:
            return [Close(link)]  # its lease runs out
        if form != self.s.form or limit > self.s.limit:
            what = (
                "the settings of classes, tenants or partners differ"
                if form != self.s.form
                else (f"the owner's folder may take {limit} bytes, here it is {self.s.limit}")
            )
            self.trouble = errors.Unlike(what)
            return [LogLine("", self.trouble), Say("refused", [errors.Unlike.code, what], link)]
        if now < self.full_until:
            return [Say("full", [], link)]
        return self._followed(link, fence, strict, lease_us, name)

    def _followed(self, link: int, fence: int, strict: bool, lease_us: int, name: str) -> list[Any]:
        before = self.link
        self.link, self.name = link, name
        self.position = self.got = self.stamp = 0
        # One that may go on alone has perhaps done so: what it did is not known here.
        self.sure = self.sure and strict and self.strict
        self.strict, self.lease_us, self.fence = strict, max(lease_us, 1), fence
        rows = [
            Persist("sure", "", self.sure),
            Persist("owner", "", [strict, self.lease_us]),
            Persist("fence", "", fence),
        ]
        copy = [[n, size, self.digests.get(n, 0)] for n, size in sorted(self.sizes.items())]
        again = [Say("yield", [], link)] if self.yielded else []
        return [*([Close(before)] if before else []), *rows, Say("welcome", [copy, self.whole], link), *again]

    # The stream

    def _got(self, now: int, e: Got) -> list[Any]:
        try:
            row = messages.check(e.channel, e.row)
        except messages.Odd as error:
            return self._end(f"the owner says what is no message: {error}")
        if e.channel == "block":
            return self._block(*row)
        if e.channel == "beat":
            self.stamp = max(self.stamp, row[0])
            return self._confirm(now)
        if e.channel == "drop":
            segment, position, out, stamp, fence = row
            if fence != self.fence or segment not in self.sizes:
                return self._gap(f"segment {segment} is to be removed, and is not here")
            self._told(position, out, stamp)
            del self.sizes[segment]
            self.digests.pop(segment, None)
            self.writing += 1
            return [Remove(segment)]
        if e.channel == "midway":
            self.midway, self.sure = True, False
            return [Persist("sure", "", False), Persist("midway", "", True)]
        if e.channel == "whole":
            return self._made_whole(now, *row)
        if e.channel == "released" and self.promoting:
            return self._take_over()
        return []

    def _told(self, position: int, out: int, stamp: int) -> None:
        self.position, self.got = max(self.position, position), max(self.got, out)
        self.stamp = max(self.stamp, stamp)

    def _block(
        self, segment: int, at: int, data: bytes, digest: int, position: int, out: int, stamp: int, fence: int
    ) -> list[Any]:
        have = self.sizes.get(segment, 0)
        if at != have or fence != self.fence or segment < 1:
            return self._gap(f"byte {at} of segment {segment} came, and {have} bytes are here")
        if zlib.crc32(data, self.digests.get(segment, 0)) != digest:
            return self._gap(f"the digest of segment {segment} at byte {at + len(data)} differs")
        before = self.digests.get(segment, 0)
        self.sizes[segment], self.digests[segment] = have + len(data), digest
        self._told(position, out, stamp)
        self.writing += 1
        return [Write(segment, at, data, before)]

    def _gap(self, what: str) -> list[Any]:
        self.trouble = errors.Gap(what)
        return [LogLine("", self.trouble), *self._end("")]

    def _end(self, why: str) -> list[Any]:
        link, self.link = self.link, 0
        return [*([LogLine(why)] if why else []), Close(link)]

    def _wrote(self, now: int, e: Wrote) -> list[Any]:
        if e.ok:
            return self._done(now)
        self.writing = 0
        if e.at < self.sizes.get(e.segment, 0):  # what came behind it in the file is not there either
            self.sizes[e.segment], self.digests[e.segment] = e.at, e.before
        self.trouble = errors.DiskFull(f"{len(e.data)} bytes of segment {e.segment} are not written")
        self.full_until = now + FULL_US
        link = self.link
        return [LogLine("", self.trouble), Say("full", [], link), *self._end("")]

    def _done(self, now: int) -> list[Any]:
        self.writing = max(0, self.writing - 1)
        return self._confirm(now)

    def _made_whole(self, now: int, position: int, out: int, stamp: int) -> list[Any]:
        self._told(position, out, stamp)
        self.whole, self.midway, self.sure, self.trouble = True, False, self.strict, None
        return [
            Persist("whole", "", True),
            Persist("midway", "", False),
            Persist("sure", "", self.sure),
            *self._confirm(now),
        ]

    def _confirm(self, now: int) -> list[Any]:
        """All that came is on the disk. While it takes over nothing is granted, but to one that ends."""
        if self.writing or not self.link or self.over is not None:
            return []
        if self.promoting and not (self.yielded and now < self.yield_until):
            return []
        self.granted_at = now
        return [Say("ack", [self.position, self.got, self.stamp], self.link)]

    # Taking over

    def refusal(self) -> errors.StandbyError | None:
        """Why it can't be promoted."""
        if not self.whole:
            return errors.NeverWhole("the copy never had all that the owner held")
        return None

    def _promote(self, now: int) -> list[Any]:
        if self.over is not None or self.promoting or self.refusal():
            return []
        self.promoting = True
        if self.link:  # its owner may live: it ends in order, and hands over
            self.yielded, self.yield_until = True, now + YIELD_US
            return [LogLine("promoted: the owner is asked to end in order"), Say("yield", [], self.link)]
        return [LogLine("promoted: the owner's lease is waited for"), *self._look(now)]

    def _look(self, now: int) -> list[Any]:
        """Whether the owner's lease is over. An owner that is not strict has none, and may go on: its unsafe
        messages are taken for having run here."""
        if self.over is not None:
            return []
        if not self.promoting and self.s.takeover == "lease" and self.sure and not self.link:
            self.promoting = now >= self.lease_end()
        if not self.promoting or now < self.lease_end():
            return []
        return self._take_over()

    def _take_over(self) -> list[Any]:
        doubt = not self.sure
        self.over, link, self.link = doubt, self.link, 0
        self.fence += 1
        close = [Close(link)] if link else []
        return [
            Persist("over", "", doubt),
            Persist("fence", "", self.fence),
            *close,
            LogLine(
                f"this courier takes over with fence {self.fence}"
                + ("; what may have run is taken for having run" if doubt else "")
            ),
            TakeOver(self.fence, doubt, not self.midway),
        ]
