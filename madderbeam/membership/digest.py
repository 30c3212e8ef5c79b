"""64-bit digest of all that a member knows: two members with equal digests need not exchange their state."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from madderbeam.membership.values import GossipEntry, Incarnation, MemberId


def member_digest(member: MemberId, incarnation: Incarnation, refutation: int) -> int:
    """Digest of a live member as 64 bits; the digests of a set are combined by exclusive or."""
    return _hash_64(member.site, member.name, incarnation.start, incarnation.nonce, refutation)


def entry_digest(entry: GossipEntry) -> int:
    """Digest of a gossip entry's key and version as 64 bits; the body follows from these."""
    return _hash_64(entry.owner.site, entry.owner.name, entry.key, entry.version)


def combine(digests: Iterable[int]) -> int:
    """The exclusive or of the given digests."""
    combined = 0
    for digest in digests:
        combined ^= digest
    return combined


def _hash_64(*fields: str | int) -> int:
    return int.from_bytes(blake2b(repr(fields).encode(), digest_size=8).digest(), "big")
