"""Which members belong to the site by any table in force, and which have ever confirmed a lease term.

A member that has confirmed one uses its floor while it has no lease, one that has not uses its fixed share.
So a fixed share is reserved for an unreachable member until it is known to have confirmed a term.
"""

from __future__ import annotations

import math
import zlib

from madderbeam.membership.values import MemberId
from madderbeam.shared.lease_messages import MemberBitmap
from madderbeam.shared.lease_settings import LeaseSettings, longest_us
from madderbeam.shared.majority import Members
from madderbeam.shared.values import Limit, SiteMembers


class SiteMembership:
    """Which members there are.

    `member_sets`: by the table in force here, then by each earlier one still in use.
    """

    def __init__(self, settings: LeaseSettings, own_id: MemberId, has_joined: bool) -> None:
        self.settings, self.own_id = settings, own_id
        self.member_sets: tuple[Members, ...] = ()
        self.is_first_table = True
        self.floor_reserved_from_us: int | None = (
            None  # from then on all grantors reserve a floor for this member
        )
        self.current: Members = ()  # by the table in force here
        self.members: Members = ()  # of all sets
        # By member that has confirmed a term ("joined"): the time from which it uses no fixed share.
        self.floor_only_from_us: dict[MemberId, int] = {own_id: 0} if has_joined else {}
        self._retained: dict[
            Members, int
        ] = {}  # sets of replaced tables, with the time until which they count
        self._in_use: tuple[Members, ...] = ()
        self._order_checksum = 0
        self.max_lingers_us = 0  # longest `lingers_us` of all limits, by the slowest clock

    def update(self, now_us: int, site: SiteMembers) -> None:
        """Another table is in force, or a replaced one is no longer in use.

        The members of a replaced table keep counting for the length of a lease, a renewal interval and the
        longest lingering use: terms that they confirmed and leases that they granted may still be valid, and
        resources used under those leases may still be in use.
        """
        self.is_first_table, self.current = site.is_first_table, tuple(sorted(set(site.members)))
        if self.floor_reserved_from_us is None:
            self.floor_reserved_from_us = now_us + self.settings.table_settled_us
        sets = tuple(
            dict.fromkeys(tuple(sorted(set(members))) for members in (site.members, *site.earlier) if members)
        )
        for previous_set in self._in_use:  # `expire` removes those that are still in use
            self._retained[previous_set] = now_us + self.settings.table_settled_us + self.max_lingers_us
        self._in_use = sets
        self.expire(now_us)

    def expire(self, now_us: int) -> None:
        """Remove the sets of replaced tables that no longer count; update what depends on the sets."""
        self._retained = {
            members: until_us
            for members, until_us in self._retained.items()
            if until_us > now_us and members not in self._in_use
        }
        sets = self._in_use + tuple(self._retained)
        if sets != self.member_sets:
            self.member_sets = sets
            self.members = tuple(sorted({member for members in sets for member in members}))
            self.floor_only_from_us = {
                member: from_us
                for member, from_us in self.floor_only_from_us.items()
                if member in self.members or member == self.own_id
            }
            self._order_checksum = zlib.crc32(" ".join(map(str, self.members)).encode())

    def unleased_amount(self, now_us: int, limit: Limit) -> float:
        """The amount that this member uses without a lease, once it knows its site.

        By the first table that is its fixed share, until it has confirmed a term. Otherwise it is a floor:
        the least by any table while members use different ones, and nothing if one of them does not name it.
        By a later table it is 0 after the start for the length of a lease, a renewal interval and
        the limit's lingering use: others may have been granted everything.
        """
        if self.floor_reserved_from_us is None or not all(
            self.own_id in members for members in (self.current, *self.member_sets)
        ):
            return 0.0
        if not self.is_first_table and now_us < self.floor_reserved_from_us + longest_us(
            limit.lingers_us, self.settings.drift_ppm
        ):
            return 0.0
        part = min([limit.fixed, *(limit.total / len(members) for members in self.member_sets)])
        if self.is_first_table and self.own_id not in self.floor_only_from_us:
            return math.floor(part) if limit.in_whole_units else part
        return self._floor(limit, part)

    def _floor(self, limit: Limit, fixed_share: float) -> float:
        """The floor for a fixed share.

        It grows with the share; of whole units it is at least one if the share is.
        """
        floor = fixed_share * self.settings.floor
        return floor if not limit.in_whole_units else float(max(math.floor(floor), fixed_share >= 1))

    def reserved_amount(self, now_us: int, limit: Limit, member: MemberId) -> float:
        """The amount reserved for a member without a lease: the most that it may use by any table."""
        joined = self.has_floor(now_us - longest_us(limit.lingers_us, self.settings.drift_ppm), member)
        most = 0.0
        for members in self.member_sets:
            if member in members:
                part = max(limit.fixed, limit.total / len(members))
                has_fixed = not joined and (self.is_first_table or members != self.current)
                most = max(most, part if has_fixed else self._floor(limit, part))
        return most

    def record_joined(self, now_us: int, member: MemberId) -> None:
        """The member has confirmed a term.

        It may use its fixed share for another lease, for which all members keep reserving it.
        """
        self.floor_only_from_us.setdefault(member, now_us + self.settings.expiry_bound_us)

    def has_floor(self, now_us: int, member: MemberId) -> bool:
        """Whether the member certainly uses no more than its floor without a lease."""
        return now_us >= self.floor_only_from_us.get(member, now_us + 1)

    def joined_bitmap(self, now_us: int) -> MemberBitmap:
        """The members that have floors, as sent to others."""
        bits = 0
        for index, member in enumerate(self.members):
            bits |= self.has_floor(now_us, member) << index
        return MemberBitmap(self._order_checksum, bits.to_bytes(len(self.members) // 8 + 1, "little"))

    def merge_joined(self, now_us: int, bitmap: MemberBitmap) -> None:
        """Merge the set of another member.

        It is ignored if the tables differ; then more is reserved than needed.
        """
        if bitmap.names == self._order_checksum:
            bits = int.from_bytes(bitmap.bits, "little")
            for index, member in enumerate(self.members):
                if bits >> index & 1 and not self.has_floor(now_us, member):
                    self.floor_only_from_us[member] = now_us
