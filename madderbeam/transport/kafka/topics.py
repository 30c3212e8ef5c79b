"""From a record on a topic to a message: class, destination, id, key, deadline. Pure.

A topic is a class, or CLASS.DESTINATION with the destination's number; the topic `any` leaves the class to a
header. What the topic does not say stands in headers of the record: `class`, `dest` (number), `to`, `path`,
`tenant`, `deadline-ms`, `key`, `id`, `again`. docs/operators/kafka.md has their defaults.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from madderbeam.policy.settings import Idempotency, MessageClass
from madderbeam.transport.kafka.records import Batch, Record
from madderbeam.transport.put_request import WORD, BadRequest, Put, order_key

ANY = "any"
MOST_BODY = 1 << 16
HEADERS = ("class", "dest", "to", "path", "tenant", "deadline-ms", "key", "id", "again")


@dataclass(frozen=True, slots=True)
class Topic:
    """What a topic's name says; '' and -1 where it leaves that to the headers."""

    name: str
    cls: str
    dest: int


def topic(name: str, classes: Mapping[str, MessageClass]) -> Topic | None:
    """None if there is no such topic."""
    if name == ANY:
        return Topic(name, "", -1)
    if name in classes:
        return Topic(name, name, -1)
    cls, dot, dest = name.rpartition(".")
    if dot and cls in classes and dest.isascii() and dest.isdigit() and len(dest) < 11:
        return Topic(name, cls, int(dest))
    return None


def put(
    where: Topic,
    partition: int,
    batch: Batch,
    n: int,
    record: Record,
    classes: Mapping[str, MessageClass],
    tenant: str,
    fresh: str,
) -> Put:
    """The message of the batch's n-th record; BadRequest tells what of it can't be used.

    `tenant`: of the connection. `fresh`: an id that nobody has. A record of an idempotent producer has its id
    by what its producer, epoch and sequence are, so that the same one is known again, after a restart as
    well.
    """
    given = _headers(record)
    name = where.cls or given.get("class", "")
    cls = classes.get(name)
    if cls is None:
        raise BadRequest("class: no such class")
    if where.dest >= 0 and any(h in given for h in ("dest", "to", "path")):
        raise BadRequest("dest: the topic says it already")
    dest = where.dest if where.dest >= 0 else _number(given, "dest", -1)
    ident = given.get("id") or (
        identity(where.name, partition, batch, n) if batch.producer_id >= 0 else fresh
    )
    key = given.get("key", "")
    if cls.idempotency is Idempotency.WITH_KEY and not key:
        key = ident  # of an idempotent producer the same whenever it comes again
    for label, text in (("id", ident), ("key", key)):
        if text and not WORD.fullmatch(text.encode()):
            raise BadRequest(f"{label}: must be printable characters")
    body = record.value or b""
    if len(body) > MOST_BODY:
        raise BadRequest(f"body: must be {MOST_BODY} bytes at most")
    order = order_key(record.key) if record.key and cls.ordered else 0
    life = _number(given, "deadline-ms", cls.deadline_us // 1000)
    return Put(
        ident,
        order,
        name,
        given.get("tenant") or tenant or None,
        life,
        dest,
        key,
        given.get("again") == "1",
        body,
        given.get("to", ""),
        given.get("path", ""),
    )


def identity(name: str, partition: int, batch: Batch, n: int) -> str:
    """The id of an idempotent producer's record."""
    text = f"{name} {partition} {batch.producer_id} {batch.epoch} {batch.sequence + n}"
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def _headers(record: Record) -> dict[str, str]:
    found: dict[str, str] = {}
    for name, value in record.headers:
        if name not in HEADERS:
            continue
        if name in found:
            raise BadRequest(f"{name}: stands twice")
        try:
            found[name] = (value or b"").decode()
        except UnicodeDecodeError:
            raise BadRequest(f"{name}: must be UTF-8") from None
    return found


def _number(given: Mapping[str, str], name: str, default: int) -> int:
    text = given.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        raise BadRequest(f"{name}: must be a whole number")
    return int(text)
