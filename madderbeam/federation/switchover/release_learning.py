"""Collects what others announce of releases, decommissioned members and tables in force.

Releases and declarations are written to disk before they count.

Record kinds: "heard" is another member's release, "release" one of this member's own, "off" an operator's
declaration that a member is decommissioned. Gossip keys: "release/DESTINATION", "off/HASH OF THE MEMBER", and
"force" for the number of the table in force at a member. A release's source "told" is a reply to a query.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from hashlib import blake2b
from typing import Any

from madderbeam.federation.switchover.messages import MAX_LEASE_US
from madderbeam.federation.switchover.moves import gossip_version
from madderbeam.federation.switchover.ownership_registry import MemberStanding, OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import ActionBuffer
from madderbeam.federation.switchover.release_records import (
    MAX_TABLE_NUMBER,
    ReleaseRecord,
    read_flag,
    read_list,
    read_member,
    read_number,
    record_from_row,
    release_from_gossip,
    restored,
)
from madderbeam.federation.table import MAX_MEMBERS
from madderbeam.federation.values import Release
from madderbeam.membership.values import Disseminate, GossipEntry, Incarnation, LogLine, MemberId


class ReleaseLearning:
    """Fills the registry from gossip entries, replies and operators. `wall_ms(now_us)` returns Unix time
    in ms.
    """

    def __init__(
        self,
        registry: OwnershipRegistry,
        actions: ActionBuffer,
        incarnation: Incarnation,
        wall_ms: Callable[[int], int],
        keep_us: int,
    ) -> None:
        self.registry, self.actions, self.incarnation, self.wall_ms, self.keep_us = (
            registry,
            actions,
            incarnation,
            wall_ms,
            keep_us,
        )
        # Declarations made at this member: the table number by decommissioned member.
        self.declared_here: dict[MemberId, int] = {}

    def start(self, records: Mapping[tuple[str, str], Any]) -> None:
        """Load the records on disk; spans are shortened by the time that has passed."""
        now_us = self.actions.now_us
        for (kind, key), value in sorted(records.items()):
            if kind == "heard":
                self.registry.add_record(restored(value, now_us, self.wall_ms(now_us)))
            elif kind == "release":
                self.registry.own_releases[int(key)] = restored(value, now_us, self.wall_ms(now_us))
            elif kind == "off":
                self.on_decommission_written(value)

    def add_release(self, release: Release, source: str) -> None:
        """Write a member's release, or what counts as one, if it is needed; `source` is one of SOURCES."""
        key = f"{release.dest}/{release.member}"
        pending_row = self.actions.writes.pending_value("heard", key)
        if not self.registry.needs(release):
            return
        if (
            pending_row is not None
            and record_from_row(pending_row).release.table_number >= release.table_number
        ):
            return
        now_us = self.actions.now_us
        record = ReleaseRecord(
            self.registry.merged_with_known(release, now_us), now_us, self.wall_ms(now_us), source
        )
        self.actions.write("heard", key, record.row())

    def on_gossip(self, entry: GossipEntry) -> MemberId | None:
        """Process a gossip entry. Returns its owner if it announced another table in force."""
        try:
            if not entry.body:
                return None
            if entry.key.startswith("release/"):
                release = release_from_gossip(entry.body)
                if release.member == entry.owner:
                    self.add_release(release, "release")
            elif entry.key.startswith("off/"):
                member_row, number = read_list(json.loads(entry.body), "off", 2)
                self.decommission(
                    read_member(member_row, "off"),
                    read_number(number, "off.table", MAX_TABLE_NUMBER),
                    is_declared_here=False,
                )
            elif entry.key == "force":
                return self._read_standing(entry)
        except ValueError as error:
            self.actions.add(LogLine(f"gossip entry {entry.key} from {entry.owner} is malformed: {error}"))
        return None

    def decommission(self, member: MemberId, number: int, is_declared_here: bool) -> None:
        """Record an operator's declaration that `member` is decommissioned, as of table `number`.

        `is_declared_here`: the declaration was made at this member, which then disseminates it.
        """
        known_members = {
            known_member
            for table in self.registry.ledger.history
            for site in table.sites
            for known_member in table.members(site)
        }
        known_members |= {
            known_member
            for outstanding in self.registry.ledger.outstanding.values()
            for known_member in outstanding
        }
        value = [[member.site, member.name], number, is_declared_here]
        pending_value = self.actions.writes.pending_value("off", str(member))
        if is_declared_here and member not in known_members:
            self.actions.add(
                LogLine(f"cannot decommission {member}: no table since {self._oldest_number()} lists it")
            )
            return
        is_new = number > self.registry.decommissioned_up_to.get(member, 0) or (
            is_declared_here and member not in self.declared_here
        )
        if (
            is_new
            and member in known_members
            and pending_value != value
            and len(self.registry.decommissioned_up_to) < MAX_MEMBERS
        ):
            self.actions.write("off", str(member), value)

    def on_decommission_written(self, value: Any) -> MemberId:
        """A declaration is on disk. Returns its member."""
        row, number, is_declared_here = value
        member = read_member(row, "off")
        self.registry.decommissioned_up_to[member] = max(
            number, self.registry.decommissioned_up_to.get(member, 0)
        )
        if is_declared_here:
            self.declared_here[member] = number
            self.announce_decommissioned(member)
        return member

    def announce_decommissioned(self, member: MemberId) -> None:
        """Disseminate the declaration that `member` is decommissioned, which was made at this member."""
        number = self.declared_here[member]
        body = json.dumps([[member.site, member.name], number], separators=(",", ":")).encode()
        self.actions.add(
            Disseminate(
                _decommissioned_key(member),
                gossip_version(number, self.incarnation, revision=0),
                body,
                self.keep_us,
            )
        )

    def remove_expired(self) -> None:
        """Remove releases and declarations that no table needs any more."""
        for dest, member in self.registry.expired_records(self.actions.now_us):
            self.registry.remove_record(dest, member)
            self.actions.remove_record("heard", f"{dest}/{member}")
        settled_number = self.registry.settled_number() if self.registry.decommissioned_up_to else 0
        for member, number in list(self.registry.decommissioned_up_to.items()):
            if number < min(self.registry.ledger.number, settled_number):
                del self.registry.decommissioned_up_to[member]
                self.actions.remove_record("off", str(member))
                if self.declared_here.pop(member, None) is not None:
                    self.actions.add(
                        Disseminate(
                            _decommissioned_key(member),
                            gossip_version(number, self.incarnation, revision=1),
                            b"",
                        )
                    )

    def _read_standing(self, entry: GossipEntry) -> MemberId:
        number, is_settled, lease_us = read_list(json.loads(entry.body), "force", 3)
        standing = MemberStanding(
            read_number(number, "force.number", MAX_TABLE_NUMBER),
            read_flag(is_settled, "force.settled"),
            read_number(lease_us, "force.lease_us", MAX_LEASE_US),
        )
        self.registry.set_standing(entry.owner, standing)
        return entry.owner

    def _oldest_number(self) -> int:
        return self.registry.ledger.history[0].number


def standing_body(standing: MemberStanding) -> bytes:
    """A member's announcement as the body of a gossip entry."""
    return json.dumps(
        [standing.number, standing.is_settled, standing.lease_us], separators=(",", ":")
    ).encode()


def _decommissioned_key(member: MemberId) -> str:
    """The gossip key of a declaration; the member is hashed, since a key's length is bounded."""
    return f"off/{blake2b(str(member).encode(), digest_size=8).hexdigest()}"
