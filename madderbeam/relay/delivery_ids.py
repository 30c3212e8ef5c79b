"""Ids and keys of deliveries, derived from publication and subscriber: expanding twice gives the same
messages."""

from __future__ import annotations

import hashlib

from madderbeam.relay.values import DeliveryIdempotency, Publication


def _hex(*parts: str) -> str:
    """A hash of 16 hex digits; each part is prefixed with its length, so that different lists never
    coincide."""
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def derived_id(name: str, dest: int) -> str:
    """The id of a publication's delivery to one subscriber: 16 hex digits, as the protocol's ids."""
    return _hex("id", name, str(dest))


def delivery_id(publication: Publication, dest: int) -> str:
    """The id of a delivery: the client's for a publication to a single destination, else `derived_id`."""
    return publication.id if publication.dest >= 0 else derived_id(publication.name, dest)


def delivery_key(publication: Publication, dest: int) -> str:
    """The idempotency key of a delivery; "" unless the class is idempotent with key. It is derived from the
    publication's key if it has one: a client that publishes again with that key under another id gets the
    same derived keys."""
    if publication.idempotency is not DeliveryIdempotency.WITH_KEY:
        return ""
    if publication.dest >= 0:
        return publication.idempotency_key
    if publication.idempotency_key:
        return _hex(
            "key",
            publication.tenant,
            publication.message_class,
            publication.topic,
            publication.idempotency_key,
            str(dest),
        )
    return _hex("name", publication.name, str(dest))


def recorded_delivery_id(name: str, dest: int, single: bool) -> str:
    """The id in the journal of a delivery in a custody record; `single`: the entry had one destination."""
    return name.partition(":")[2] if single else derived_id(name, dest)
