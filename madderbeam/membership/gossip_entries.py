"""Store of the disseminated gossip entries: the highest version of a key wins, and every entry expires."""

from __future__ import annotations

from madderbeam.membership.digest import rumour_digest
from madderbeam.membership.member_table import MemberTable
from madderbeam.membership.messages import KEY_MOST, rumour_row
from madderbeam.membership.packed_size import packed_size
from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.values import RUMOUR_MOST, GossipEntry, MemberId

Key = tuple[MemberId, str]


class GossipEntries:
    """Holds entries, bounded in number (per owner and in total) and in bytes."""

    def __init__(self, settings: MembershipSettings, table: MemberTable) -> None:
        self.settings, self.table = settings, table
        self.held: dict[Key, GossipEntry] = {}
        self.sizes: dict[Key, int] = {}
        self.each: dict[MemberId, int] = {}
        self.bytes = 0
        self.digest = 0
        self.full: MemberId | None = None  # owner of an entry that was rejected for lack of space

    def hear(self, now_us: int, entry: GossipEntry) -> bool:
        """Store the entry; True if it is new.

        An entry whose owner is unknown, or has been dead for longer than the entry's retention, is ignored.
        """
        key = (entry.owner, entry.key)
        known = self.held.get(key)
        if (known is not None and known.version >= entry.version) or self._over(now_us, entry):
            return False
        size = packed_size(rumour_row(entry))
        added_bytes = size - self.sizes.get(key, 0)
        settings = self.settings
        if self.bytes + added_bytes > settings.rumour_bytes_most or (
            known is None
            and (
                len(self.held) >= settings.rumours_most
                or self.each.get(entry.owner, 0) >= settings.rumours_each
            )
        ):
            self.full = entry.owner
            return False
        self.held[key], self.sizes[key] = entry, size
        self.bytes += added_bytes
        self.digest ^= rumour_digest(entry) ^ (rumour_digest(known) if known else 0)
        if known is None:
            self.each[entry.owner] = self.each.get(entry.owner, 0) + 1
        return True

    def why_not(self, entry: GossipEntry) -> str:
        """Why the entry exceeds the limits of a single entry; "" if it does not."""
        if not 1 <= len(entry.key) <= KEY_MOST:
            return f"its key has {len(entry.key)} characters: allowed are 1 to {KEY_MOST}"
        if len(entry.body) > RUMOUR_MOST:
            return f"its body has {len(entry.body)} bytes: allowed are {RUMOUR_MOST}"
        return ""

    def _over(self, now_us: int, entry: GossipEntry) -> bool:
        if entry.owner == self.table.me:
            return False
        owner = self.table.members.get(entry.owner)
        if owner is None:
            return True
        retain_us = min(entry.keep_us, self.settings.rumour_keep_most_us)
        return not owner.live and now_us - owner.since_us >= retain_us

    def sweep(self, now_us: int) -> list[GossipEntry]:
        """Remove and return the expired entries."""
        expired = [candidate for candidate in self.held.values() if self._over(now_us, candidate)]
        for entry in expired:
            key = (entry.owner, entry.key)
            del self.held[key]
            self.bytes -= self.sizes.pop(key)
            self.digest ^= rumour_digest(entry)
            self.each[entry.owner] -= 1
            if not self.each[entry.owner]:
                del self.each[entry.owner]
        return expired
