"""One number for all that a member knows: two members with one digest need not tell each other anything."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from madderbeam.membership.values import GossipEntry, Incarnation, MemberId


def member_digest(member: MemberId, life: Incarnation, word: int) -> int:
    """Of a live member, as 64 bits; the digests of a set are put together by exclusive or."""
    return _bits(member.site, member.name, life.start, life.nonce, word)


def rumour_digest(rumour: GossipEntry) -> int:
    return _bits(rumour.owner.site, rumour.owner.name, rumour.key, rumour.version)


def together(parts: Iterable[int]) -> int:
    whole = 0
    for part in parts:
        whole ^= part
    return whole


def _bits(*fields: str | int) -> int:
    return int.from_bytes(blake2b(repr(fields).encode(), digest_size=8).digest(), "big")
