"""News that each member's parts spread: the highest version of a key counts, and all of it has an end."""

from __future__ import annotations

from madderbeam.membership.digest import rumour_digest
from madderbeam.membership.member_table import MemberTable
from madderbeam.membership.messages import KEY_MOST, rumour_row
from madderbeam.membership.packed_size import packed_size
from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.values import RUMOUR_MOST, GossipEntry, MemberId

Key = tuple[MemberId, str]


class GossipEntries:
    """Bounded in number, by owner and in all, and in bytes."""

    def __init__(self, settings: MembershipSettings, table: MemberTable) -> None:
        self.settings, self.table = settings, table
        self.held: dict[Key, GossipEntry] = {}
        self.sizes: dict[Key, int] = {}
        self.each: dict[MemberId, int] = {}
        self.bytes = 0
        self.digest = 0
        self.full: MemberId | None = None  # whose rumour found no room

    def hear(self, now_us: int, rumour: GossipEntry) -> bool:
        """True if it is new. One whose owner is not known, or is over for long, is not taken."""
        key = (rumour.owner, rumour.key)
        known = self.held.get(key)
        if (known is not None and known.version >= rumour.version) or self._over(now_us, rumour):
            return False
        size = packed_size(rumour_row(rumour))
        more = size - self.sizes.get(key, 0)
        settings = self.settings
        if self.bytes + more > settings.rumour_bytes_most or (
            known is None
            and (
                len(self.held) >= settings.rumours_most
                or self.each.get(rumour.owner, 0) >= settings.rumours_each
            )
        ):
            self.full = rumour.owner
            return False
        self.held[key], self.sizes[key] = rumour, size
        self.bytes += more
        self.digest ^= rumour_digest(rumour) ^ (rumour_digest(known) if known else 0)
        if known is None:
            self.each[rumour.owner] = self.each.get(rumour.owner, 0) + 1
        return True

    def why_not(self, rumour: GossipEntry) -> str:
        """ "" if it is within the bounds of one rumour."""
        if not 1 <= len(rumour.key) <= KEY_MOST:
            return f"its key has {len(rumour.key)} characters: allowed are 1 to {KEY_MOST}"
        if len(rumour.body) > RUMOUR_MOST:
            return f"its body has {len(rumour.body)} bytes: allowed are {RUMOUR_MOST}"
        return ""

    def _over(self, now_us: int, rumour: GossipEntry) -> bool:
        if rumour.owner == self.table.me:
            return False
        owner = self.table.members.get(rumour.owner)
        if owner is None:
            return True
        keep = min(rumour.keep_us, self.settings.rumour_keep_most_us)
        return not owner.live and now_us - owner.since_us >= keep

    def sweep(self, now_us: int) -> list[GossipEntry]:
        """Let go of what has ended."""
        ended = [r for r in self.held.values() if self._over(now_us, r)]
        for rumour in ended:
            key = (rumour.owner, rumour.key)
            del self.held[key]
            self.bytes -= self.sizes.pop(key)
            self.digest ^= rumour_digest(rumour)
            self.each[rumour.owner] -= 1
            if not self.each[rumour.owner]:
                del self.each[rumour.owner]
        return ended
