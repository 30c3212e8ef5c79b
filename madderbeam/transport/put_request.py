"""MSG.PUT: its arguments as a message, or what is wrong with them."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

MAX_FIELDS = 32  # of one message; ten have a meaning
WORD = re.compile(rb"[\x21-\x7e]{1,256}")


class BadRequest(ValueError):
    """What is wrong with a request, for its -ERR."""


@dataclass(frozen=True)
class Put:
    """A message as it is handed in."""

    id: str
    order: int  # what messages of an ordered class share, 0 if nothing
    cls: str
    tenant: str | None
    life_ms: int
    dest: int
    key: str
    resubmitted: bool
    body: bytes
    to: str = ""  # the destination's name, or a path that a route leads on from, where `dest` lacks (-1)
    path: str = ""
    topic: str = ""  # in place of a destination: all who subscribed to it
    relayed: bool = False  # handed in by a relay, not by a client


def _number(fields: dict[str, str], name: str) -> int:
    value = fields.get(name, "")
    if not value.isascii() or not value.isdigit() or len(value) > 12:
        raise BadRequest(f"{name}: must be a whole number")
    return int(value)


def order_key(text: bytes) -> int:
    """Any text as a number that is the same after a restart; zeros stand for none."""
    if not text.strip(b"0"):
        return 0
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def parse_put(args: list[bytes]) -> Put:
    """The arguments of MSG.PUT."""
    if len(args) != 4:
        raise BadRequest("wrong number of arguments for 'MSG.PUT', must be key, id, fields and body")
    order, ident, named, body = args
    if not WORD.fullmatch(ident):
        raise BadRequest("id: must be 1 to 256 printable characters")
    if len(named.split(b",", MAX_FIELDS)) > MAX_FIELDS:  # stops at the bound, however many there are
        raise BadRequest(f"fields: must be {MAX_FIELDS} at most")
    try:
        fields = dict(pair.split("=", 1) for pair in named.decode().split(",") if pair)
    except ValueError:
        raise BadRequest("fields: must be name=value, with commas between") from None
    key = fields.get("k", "")
    if key and not WORD.fullmatch(key.encode()):
        raise BadRequest("k: must be 1 to 256 printable characters")
    if "c" not in fields:
        raise BadRequest("c: lacks, must name a class")
    dest = _number(fields, "dest") if "dest" in fields else -1
    return Put(
        ident.decode(),
        order_key(order),
        fields["c"],
        fields.get("t"),
        _number(fields, "d"),
        dest,
        key,
        fields.get("r") == "1",
        body,
        fields.get("to", ""),
        fields.get("path", ""),
        fields.get("topic", ""),
    )
