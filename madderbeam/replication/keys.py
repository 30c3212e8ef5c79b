"""Mutual authentication by shared keys; the nonces prevent the replay of a proof.

A key file has lines `NAME HEX`. The primary authenticates with its first key; the standby accepts any key of
its own file. To rotate keys, append the new key on both sides, then move it to the top at the primary, then
remove the old one.
"""

from __future__ import annotations

import hmac
import re
from collections.abc import Mapping

import msgpack

from madderbeam.membership.values import Row
from madderbeam.replication.errors import KeyUnfit, NotProven

NONCE_BYTES = 16
KEY_LINE = re.compile(r"([A-Za-z0-9._-]{1,64})\s+([0-9A-Fa-f]{32,256})")
MAX_KEYS = 16
Keys = Mapping[str, bytes]


def parse_keys(text: str, displayed_path: str) -> dict[str, bytes]:
    """Keys by name, in the file's order; KeyUnfit names the invalid line. `displayed_path` is for errors."""
    keys_by_name: dict[str, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        match = KEY_LINE.fullmatch(line)
        if match is None or len(match[2]) % 2 or match[1] in keys_by_name:
            raise KeyUnfit(
                f"{displayed_path}: line {number}: must be NAME HEX with a name that is not used yet"
            )
        keys_by_name[match[1]] = bytes.fromhex(match[2])
    if not 0 < len(keys_by_name) <= MAX_KEYS:
        raise KeyUnfit(f"{displayed_path}: holds {len(keys_by_name)} keys; allowed: 1 to {MAX_KEYS}")
    return keys_by_name


def compute_proof(key: bytes, role: str, challenge: bytes, nonce: bytes, channel: str, row: Row) -> bytes:
    """The HMAC by which a side (`role`: owner or standby) proves its key and authenticates a row."""
    return hmac.digest(key, msgpack.packb([role, challenge, nonce, channel, row]), "sha256")


def verify_proof(
    keys: Keys,
    name: object,
    role: str,
    challenge: bytes,
    nonce: bytes,
    channel: str,
    row: Row,
    received: object,
) -> None:
    """Raise NotProven unless `received` is the proof by the key of this name."""
    key = keys.get(name) if isinstance(name, str) else None
    if key is None:
        raise NotProven(f"unknown key {name!r:.80}")
    if not isinstance(received, bytes) or not hmac.compare_digest(
        received, compute_proof(key, role, challenge, nonce, channel, row)
    ):
        raise NotProven(f"the proof by key {name!r:.80} is invalid")
