"""Takes in what others say of releases, members called off and tables in force, on disk where it binds."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from hashlib import blake2b
from typing import Any

from madderbeam.federation.switchover.messages import LEASE_MOST_US
from madderbeam.federation.switchover.moves import version
from madderbeam.federation.switchover.ownership_registry import MemberStanding, OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import ActionBuffer
from madderbeam.federation.switchover.release_records import (
    NUMBER_MOST,
    ReleaseRecord,
    flag,
    listed,
    member_of,
    number,
    of_body,
    of_row,
    revived,
)
from madderbeam.federation.table import MAX_MEMBERS
from madderbeam.federation.values import Release
from madderbeam.membership.values import Disseminate, GossipEntry, Incarnation, LogLine, MemberId


class ReleaseLearning:
    """`wall_ms(now_us)`: Unix time in milliseconds."""

    def __init__(
        self,
        book: OwnershipRegistry,
        out: ActionBuffer,
        life: Incarnation,
        wall_ms: Callable[[int], int],
        keep_us: int,
    ) -> None:
        self.book, self.out, self.life, self.wall_ms, self.keep_us = book, out, life, wall_ms, keep_us
        self.said: dict[MemberId, int] = {}  # called off by a word that was spoken here

    def start(self, records: Mapping[tuple[str, str], Any]) -> None:
        """What is on disk, less the time that it has lain there."""
        now_us = self.out.now_us
        for (kind, key), value in sorted(records.items()):
            if kind == "heard":
                self.book.learn(revived(value, now_us, self.wall_ms(now_us)))
            elif kind == "release":
                self.book.own[int(key)] = revived(value, now_us, self.wall_ms(now_us))
            elif kind == "off":
                self.off_written(value)

    def release(self, release: Release, how: str) -> None:
        """Someone's release, or what stands for it; `how`: handed.HOWS."""
        key = f"{release.dest}/{release.member}"
        on_its_way = self.out.writes.value("heard", key)
        if not self.book.wants(release):
            return
        if on_its_way is not None and of_row(on_its_way).release.table_number >= release.table_number:
            return
        now_us = self.out.now_us
        lies = ReleaseRecord(self.book.joined(release, now_us), now_us, self.wall_ms(now_us), how)
        self.out.write("heard", key, lies.row())

    def heard(self, rumour: GossipEntry) -> MemberId | None:
        """Returns who told that it has another table in force."""
        try:
            if not rumour.body:
                return None
            if rumour.key.startswith("release/"):
                release = of_body(rumour.body)
                if release.member == rumour.owner:
                    self.release(release, "release")
            elif rumour.key.startswith("off/"):
                row, table = listed(json.loads(rumour.body), "off", 2)
                self.off(member_of(row, "off"), number(table, "off.table", NUMBER_MOST), mine=False)
            elif rumour.key == "force":
                return self._stands(rumour)
        except ValueError as error:
            self.out.do(LogLine(f"rumour {rumour.key} of {rumour.owner} is not understood: {error}"))
        return None

    def off(self, member: MemberId, table: int, mine: bool) -> None:
        """An operator's word; `mine`: spoken here."""
        known = {m for t in self.book.ledger.history for s in t.sites for m in t.members(s)}
        known |= {m for owed in self.book.ledger.debts.values() for m in owed}
        value = [[member.site, member.name], table, mine]
        on_its_way = self.out.writes.value("off", str(member))
        if mine and member not in known:
            self.out.do(LogLine(f"{member} is no member that the tables since {self._oldest()} name"))
            return
        news = table > self.book.words.get(member, 0) or (mine and member not in self.said)
        if news and member in known and on_its_way != value and len(self.book.words) < MAX_MEMBERS:
            self.out.write("off", str(member), value)

    def off_written(self, value: Any) -> MemberId:
        row, table, mine = value
        member = member_of(row, "off")
        self.book.words[member] = max(table, self.book.words.get(member, 0))
        if mine:
            self.said[member] = table
            self.tell_off(member)
        return member

    def tell_off(self, member: MemberId) -> None:
        table = self.said[member]
        packed = json.dumps([[member.site, member.name], table], separators=(",", ":")).encode()
        self.out.do(Disseminate(_off_key(member), version(table, self.life, 0), packed, self.keep_us))

    def forget(self) -> None:
        """What no table needs any more."""
        for dest, member in self.book.over(self.out.now_us):
            self.book.forget(dest, member)
            self.out.forget("heard", f"{dest}/{member}")
        settled = self.book.settled() if self.book.words else 0
        for member, table in list(self.book.words.items()):
            if table < min(self.book.ledger.number, settled):
                del self.book.words[member]
                self.out.forget("off", str(member))
                if self.said.pop(member, None) is not None:
                    self.out.do(Disseminate(_off_key(member), version(table, self.life, 1), b""))

    def _stands(self, rumour: GossipEntry) -> MemberId:
        table, settled, lease_us = listed(json.loads(rumour.body), "force", 3)
        standing = MemberStanding(
            number(table, "force.number", NUMBER_MOST),
            flag(settled, "force.settled"),
            number(lease_us, "force.lease_us", LEASE_MOST_US),
        )
        self.book.stand(rumour.owner, standing)
        return rumour.owner

    def _oldest(self) -> int:
        return self.book.ledger.history[0].number


def standing_body(standing: MemberStanding) -> bytes:
    return json.dumps([standing.number, standing.settled, standing.lease_us], separators=(",", ":")).encode()


def _off_key(member: MemberId) -> str:
    return f"off/{blake2b(str(member).encode(), digest_size=8).hexdigest()}"
