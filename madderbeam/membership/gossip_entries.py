"""Store of the disseminated gossip entries: the highest version of a key wins, and every entry expires."""

from __future__ import annotations

from madderbeam.membership.digest import entry_digest
from madderbeam.membership.member_table import MemberTable
from madderbeam.membership.messages import MAX_KEY_CHARS, entry_row
from madderbeam.membership.packed_size import packed_size
from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.values import MAX_ENTRY_BODY_BYTES, GossipEntry, MemberId

Key = tuple[MemberId, str]


class GossipEntries:
    """Holds entries, bounded in number (per owner and in total) and in bytes."""

    def __init__(self, settings: MembershipSettings, table: MemberTable) -> None:
        self.settings, self.table = settings, table
        self.entries: dict[Key, GossipEntry] = {}
        self.sizes_bytes: dict[Key, int] = {}
        self.count_by_owner: dict[MemberId, int] = {}
        self.total_bytes = 0
        self.digest = 0
        self.rejected_owner: MemberId | None = None  # owner of an entry that was rejected for lack of space

    def add(self, now_us: int, entry: GossipEntry) -> bool:
        """Store the entry; True if it is new.

        An entry whose owner is unknown, or has been dead for longer than the entry's retention, is ignored.
        """
        key = (entry.owner, entry.key)
        known = self.entries.get(key)
        if (known is not None and known.version >= entry.version) or self._is_expired(now_us, entry):
            return False
        size = packed_size(entry_row(entry))
        added_bytes = size - self.sizes_bytes.get(key, 0)
        settings = self.settings
        if self.total_bytes + added_bytes > settings.max_entries_bytes or (
            known is None
            and (
                len(self.entries) >= settings.max_entries
                or self.count_by_owner.get(entry.owner, 0) >= settings.max_entries_per_owner
            )
        ):
            self.rejected_owner = entry.owner
            return False
        self.entries[key], self.sizes_bytes[key] = entry, size
        self.total_bytes += added_bytes
        self.digest ^= entry_digest(entry) ^ (entry_digest(known) if known else 0)
        if known is None:
            self.count_by_owner[entry.owner] = self.count_by_owner.get(entry.owner, 0) + 1
        return True

    def limit_violation(self, entry: GossipEntry) -> str:
        """Why the entry exceeds the limits of a single entry; "" if it does not."""
        if not 1 <= len(entry.key) <= MAX_KEY_CHARS:
            return f"its key has {len(entry.key)} characters: allowed are 1 to {MAX_KEY_CHARS}"
        if len(entry.body) > MAX_ENTRY_BODY_BYTES:
            return f"its body has {len(entry.body)} bytes: allowed are {MAX_ENTRY_BODY_BYTES}"
        return ""

    def _is_expired(self, now_us: int, entry: GossipEntry) -> bool:
        if entry.owner == self.table.local_id:
            return False
        owner = self.table.members.get(entry.owner)
        if owner is None:
            return True
        retain_us = min(entry.keep_us, self.settings.max_entry_retention_us)
        return not owner.is_live and now_us - owner.since_us >= retain_us

    def remove_expired(self, now_us: int) -> list[GossipEntry]:
        """Remove and return the expired entries."""
        expired = [candidate for candidate in self.entries.values() if self._is_expired(now_us, candidate)]
        for entry in expired:
            key = (entry.owner, entry.key)
            del self.entries[key]
            self.total_bytes -= self.sizes_bytes.pop(key)
            self.digest ^= entry_digest(entry)
            self.count_by_owner[entry.owner] -= 1
            if not self.count_by_owner[entry.owner]:
                del self.count_by_owner[entry.owner]
        return expired
