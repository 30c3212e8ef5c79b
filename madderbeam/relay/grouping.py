"""Who a publication goes to: own destinations and other sites at its origin, destinations at the relay."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from madderbeam.federation.errors import NoOwner
from madderbeam.membership.values import MemberId
from madderbeam.relay.derive import delivery_id, delivery_key
from madderbeam.relay.values import Effect, Publication

TABLES_KEPT = 8  # an entry that names an older one is not taken

Owners = Mapping[int, str]  # destination -> site, by one table
Subscribers = Callable[[str], Iterable[int]]  # topic -> destinations that this site knows


@dataclass(frozen=True)
class Group:
    """Destinations that this site serves, and the other sites that get one entry each."""

    dests: tuple[int, ...]
    sites: tuple[str, ...]


def group(
    publication: Publication, site: str, owners: Owners, subscribers: Subscribers, sites: Iterable[str]
) -> Group:
    """By the table that the publication names: `owners` is that table's, `sites` have the topic as they told.
    Raises NoOwner for a destination that nobody serves."""
    if publication.dest < 0:
        others = tuple(sorted(set(sites) - {site}))
        return Group(expand(publication, site, owners, subscribers), others)
    owner = owners.get(publication.dest)
    if owner is None:
        raise NoOwner(f"destination {publication.dest} has no owner in table {publication.table}")
    return Group((publication.dest,), ()) if owner == site else Group((), (owner,))


def expand(publication: Publication, site: str, owners: Owners, subscribers: Subscribers) -> tuple[int, ...]:
    """The destinations that this site owns by the table that the entry names (`owners` is that table's)."""
    wanted = (publication.dest,) if publication.dest >= 0 else subscribers(publication.topic)
    return tuple(sorted({dest for dest in wanted if owners.get(dest) == site}))


class Tables:
    """The owners by the last tables, so that an entry is expanded by the one it was grouped by."""

    def __init__(self, site: str, subscribers: Subscribers, most: int = TABLES_KEPT) -> None:
        self.site, self.subscribers, self.most = site, subscribers, most
        self.kept: dict[int, Owners] = {}

    def put(self, number: int, owners: Owners) -> None:
        """A table is in force from now on."""
        self.kept[number] = owners
        for old in sorted(self.kept)[: -self.most]:
            del self.kept[old]

    def expand(self, publication: Publication) -> tuple[int, ...] | None:
        """None: the table is not known yet, or is older than the last ones."""
        owners = self.kept.get(publication.table)
        return None if owners is None else expand(publication, self.site, owners, self.subscribers)

    def moved(self, dests: Iterable[int], now: int) -> dict[int, str]:
        """Those of them that another site owns by table `now`, with that site: sent on as entries of one."""
        owners = self.kept[now]
        found = {dest: owners.get(dest, "") for dest in dests}
        return {dest: site for dest, site in found.items() if site and site != self.site}


def onward(publication: Publication, dest: int, relay: MemberId, table: int) -> Publication:
    """The entry of one by which a relay sends on what is not its site's any more: the delivery's own id and
    key, so that it is the same message by whatever way it comes."""
    key = delivery_key(publication, dest) if publication.effect is Effect.KEYED else ""
    return replace(
        publication,
        id=delivery_id(publication, dest),
        key=key,
        origin=relay,
        topic="",
        dest=dest,
        table=table,
    )
