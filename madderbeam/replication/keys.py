"""Who may speak: both sides prove a key that they share, and no proof is of use a second time.

A file of keys has lines `NAME HEX`. The first key is the one that an owner proves itself with; a standby
takes any of its own. Rotation: add the new key behind on both, then put it first at the owner, then remove
the old one.
"""

from __future__ import annotations

import hmac
import re
from collections.abc import Mapping

import msgpack

from madderbeam.membership.values import Row
from madderbeam.replication.errors import KeyUnfit, NotProven

NONCE = 16  # bytes
LINE = re.compile(r"([A-Za-z0-9._-]{1,64})\s+([0-9A-Fa-f]{32,256})")
KEYS_MOST = 16
Keys = Mapping[str, bytes]


def read(text: str, shown: str) -> dict[str, bytes]:
    """Keys by name, in the file's order; KeyUnfit names the line."""
    found: dict[str, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        match = LINE.fullmatch(line)
        if match is None or len(match[2]) % 2 or match[1] in found:
            raise KeyUnfit(f"{shown}: line {number}: is no NAME HEX, or a name for the second time")
        found[match[1]] = bytes.fromhex(match[2])
    if not 0 < len(found) <= KEYS_MOST:
        raise KeyUnfit(f"{shown}: holds {len(found)} keys; allowed: 1 to {KEYS_MOST}")
    return found


def proof(key: bytes, whose: str, challenge: bytes, nonce: bytes, channel: str, row: Row) -> bytes:
    """What shows that `whose` side knows the key, and that this is its row."""
    return hmac.digest(key, msgpack.packb([whose, challenge, nonce, channel, row]), "sha256")


def proven(
    keys: Keys, name: object, whose: str, challenge: bytes, nonce: bytes, channel: str, row: Row, told: object
) -> None:
    """NotProven unless `told` is the proof by the key of this name."""
    key = keys.get(name) if isinstance(name, str) else None
    if key is None:
        raise NotProven(f"no key {name!r:.80} here")
    if not isinstance(told, bytes) or not hmac.compare_digest(
        told, proof(key, whose, challenge, nonce, channel, row)
    ):
        raise NotProven(f"the proof by key {name!r:.80} is wrong")
