"""The recipients of a publication: local destinations and other sites at its origin, destinations at a
relay."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from madderbeam.federation.errors import NoOwner
from madderbeam.membership.values import MemberId
from madderbeam.relay.delivery_ids import delivery_id, delivery_key
from madderbeam.relay.values import DeliveryIdempotency, Publication

MAX_TABLES = 8  # an entry grouped by an older one is rejected

Owners = Mapping[int, str]  # destination -> site, by one table
Subscribers = Callable[[str], Iterable[int]]  # topic -> destinations of this site's subscribers


@dataclass(frozen=True)
class Group:
    """The destinations that this site serves, and the other sites, which get one entry each."""

    dests: tuple[int, ...]
    sites: tuple[str, ...]


def group(
    publication: Publication, site: str, owners: Owners, subscribers: Subscribers, sites: Iterable[str]
) -> Group:
    """Groups a publication's destinations by the table that it names: `owners` is that table's, `sites` are
    those that announced the topic. Raises NoOwner for a destination that no site serves."""
    if publication.dest < 0:
        other_sites = tuple(sorted(set(sites) - {site}))
        return Group(expand(publication, site, owners, subscribers), other_sites)
    owner = owners.get(publication.dest)
    if owner is None:
        raise NoOwner(f"destination {publication.dest} has no owner in table {publication.table_number}")
    return Group((publication.dest,), ()) if owner == site else Group((), (owner,))


def expand(publication: Publication, site: str, owners: Owners, subscribers: Subscribers) -> tuple[int, ...]:
    """The destinations of an entry that this site owns by the table that the entry names; `owners` is that
    table's."""
    candidates = (publication.dest,) if publication.dest >= 0 else subscribers(publication.topic)
    return tuple(sorted({dest for dest in candidates if owners.get(dest) == site}))


class Tables:
    """The owners by the last tables, so that an entry is expanded by the table that it was grouped by."""

    def __init__(self, site: str, subscribers: Subscribers, max_tables: int = MAX_TABLES) -> None:
        self.site, self.subscribers, self.max_tables = site, subscribers, max_tables
        self.owners_by_table: dict[int, Owners] = {}

    def put(self, number: int, owners: Owners) -> None:
        """Adds a table that is now in force, and drops the oldest beyond `max_tables`."""
        self.owners_by_table[number] = owners
        for old_number in sorted(self.owners_by_table)[: -self.max_tables]:
            del self.owners_by_table[old_number]

    def expand(self, publication: Publication) -> tuple[int, ...] | None:
        """The destinations of an entry; None if its table is not known yet or no longer stored."""
        owners = self.owners_by_table.get(publication.table_number)
        return None if owners is None else expand(publication, self.site, owners, self.subscribers)

    def moved(self, dests: Iterable[int], table_number: int) -> dict[int, str]:
        """Those of `dests` that another site owns by table `table_number`, with that site: they are
        forwarded."""
        owners = self.owners_by_table[table_number]
        new_owners = {dest: owners.get(dest, "") for dest in dests}
        return {dest: site for dest, site in new_owners.items() if site and site != self.site}


def forwarded_entry(publication: Publication, dest: int, relay: MemberId, table_number: int) -> Publication:
    """The entry for one destination by which a relay forwards a delivery that its site no longer owns. It
    keeps the delivery's id and key, so that it is the same message on whatever path it arrives."""
    key = delivery_key(publication, dest) if publication.idempotency is DeliveryIdempotency.WITH_KEY else ""
    return replace(
        publication,
        id=delivery_id(publication, dest),
        idempotency_key=key,
        origin=relay,
        topic="",
        dest=dest,
        table_number=table_number,
    )
