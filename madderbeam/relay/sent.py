"""Where unsafe entries were sent, on disk before they go: after a restart they go there, or nowhere."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from madderbeam.membership.values import MemberId, Persist, Row
from madderbeam.relay.legs import Leg
from madderbeam.relay.outlet import Outlet
from madderbeam.relay.values import Effect

SENT = "sent"  # the records' kind; a value: site, member, its start, until (wall ms), end of the leg or None
RECENT = 512  # records let go of that are told anew when one was not written


class Sent:
    """Records are let go of `kept_us` after their publication's end: its journal has that by then."""

    def __init__(
        self,
        out: Outlet,
        wall_ms: Callable[[int], int],
        kept_us: int,
        records: Mapping[tuple[str, str], Any],
    ) -> None:
        self.out, self.wall_ms, self.kept_us = out, wall_ms, kept_us
        self.found: dict[str, Row] = {key: value for (kind, key), value in records.items() if kind == SENT}
        self.forgotten: deque[str] = deque(maxlen=RECENT)

    def sites(self) -> dict[str, str]:
        """By publication, after a start: the last site that it may be at. One for a single destination goes
        to no other while it may be there, whatever table is in force by now."""
        return {name: site for name, _, site in (key.rpartition("|") for key in self.found)}

    def begin(self) -> None:
        """What no publication asks for in its time is let go of."""
        for key, value in self.found.items():
            left_us = max(0, value[3] - self.wall_ms(self.out.now)) * 1000
            self.out.alarms.set(f"unsent:{key}", self.out.now + left_us + self.kept_us)

    def pin(self, leg: Leg, relay: MemberId | None) -> Row | None:
        """After a restart: where it may have arrived, and its end as `write` got it."""
        kept = self.found.pop(leg.key, None)
        if kept is not None:
            leg.relay, leg.start, leg.pinned, leg.tries = MemberId(kept[0], kept[1]), kept[2], True, 1
            self.out.alarms.drop(f"unsent:{leg.key}")
            end: Row | None = kept[4]
            return end
        if relay is not None and leg.publication.effect is Effect.UNSAFE:
            leg.relay, leg.pinned, leg.tries = relay, True, 1
        return None

    def write(self, leg: Leg, end: Row | None = None) -> None:
        """Before an unsafe entry goes out; or that it is over at its site and others are not."""
        if leg.relay is not None:
            until_ms = self.wall_ms(leg.publication.until_us)
            value = [leg.relay.site, leg.relay.name, leg.start, until_ms, end]
            self.out.bound.append(Persist(SENT, leg.key, value))

    def over(self, leg: Leg) -> None:
        """Its publication has ended."""
        if leg.tries and leg.publication.effect is Effect.UNSAFE:
            self.out.alarms.set(f"unsent:{leg.key}", self.out.now + self.kept_us)

    def forget(self, key: str) -> None:
        self.found.pop(key, None)
        self.forgotten.append(key)
        self.out.bound.append(Persist(SENT, key, None))

    def unwritten(self, retry_us: int) -> None:
        """Some of what was let go of lately may still be on disk."""
        for key in self.forgotten:
            self.out.alarms.set(f"unsent:{key}", self.out.now + retry_us)
