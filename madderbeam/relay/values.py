"""The values of relayed streams: publications, delivery outcomes, and the events and actions of both ends.

The relay's state machines also take the events MemberChanged, GossipReceived, LinkUp, LinkDown,
MessageReceived, TimerDue and WriteFailed, and return the actions Persist, SetTimer, LogLine, SendMessage and
Disseminate (membership/values.py)."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum
from functools import cached_property

from madderbeam.membership.values import MemberId


class DeliveryIdempotency(Enum):
    """Whether a second delivery does harm; the values are those on the wire and in records."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class Result(IntEnum):
    """The outcome of a delivery. Only DELIVERED is a success; the numbers are those on the wire."""

    DELIVERED = 0
    FAILED = 1  # possibly executed
    REFUSED = 2  # never executed
    UNKNOWN = 3  # the outcome was lost with a process


@dataclass(frozen=True)
class Publication:
    """One message for all subscribers of `topic`, or for the one destination `dest` that another site serves
    (`topic` is then ""). `id` is the client's and identifies the publication together with `origin`.
    `deadline_us` is by this process's monotonic clock. `message_class` and `tenant` are names, the same
    at all sites."""

    id: str
    origin: MemberId
    topic: str
    dest: int  # -1 where there is a topic
    message_class: str
    idempotency: DeliveryIdempotency
    tenant: str
    idempotency_key: str  # "" unless the class is idempotent with key
    order_key: str
    body: bytes
    deadline_us: int
    table_number: int  # the ownership table it was grouped by; the relay expands it by the same one

    @cached_property
    def name(self) -> str:
        """The publication's name, unique in the federation."""
        return f"{self.origin}:{self.id}"


@dataclass(frozen=True)
class DeliveryOutcome:
    """The outcome of the delivery to one subscriber."""

    dest: int
    result: Result


# Subscriptions: event


@dataclass(frozen=True)
class SubscriptionsChanged:
    """All subscriptions of this site; `version` grows with each change within an incarnation."""

    topics: Mapping[str, Collection[int]]  # topic -> destinations
    version: int


# Origin: events


@dataclass(frozen=True)
class Published:
    """A publication is accepted (it is in the journal here); one entry goes to each of `sites`.
    `pinned_relays` names, after a restart, the relay to which a site's non-idempotent entry was sent: no
    other may get it."""

    publication: Publication
    sites: tuple[str, ...]
    pinned_relays: tuple[tuple[str, MemberId], ...] = ()


@dataclass(frozen=True)
class PublicationWithdrawn:
    """The publication is completed at its origin: its deadline passed, or it was completed in another way."""

    name: str


@dataclass(frozen=True)
class LocalSiteCompleted:
    """The local site's deliveries of a publication are completed (`Published.sites` named the local site)."""

    name: str
    delivered: int
    failures: tuple[DeliveryOutcome, ...] = ()  # of the deliveries that failed


# Origin: actions


@dataclass(frozen=True)
class SiteCompleted:
    """All deliveries of a publication at one site are completed or given up: custody there has ended."""

    name: str
    site: str
    delivered: int
    failures: tuple[DeliveryOutcome, ...]  # of the deliveries that failed
    reason: str = ""


@dataclass(frozen=True)
class PublicationCompleted:
    """The publication is completed at all sites: the origin reports one outcome to its client."""

    name: str
    is_delivered: bool
    failures: str  # for the log: each failed delivery


# Relay: actions and events


@dataclass(frozen=True)
class Expand:
    """An entry has arrived: put the deliveries to `dests` into the journal (custody), then reply with
    `CustodyAccepted` or `CustodyRejected`. Ids and keys are those of delivery_ids.py; a delivery whose id the
    journal knows is not created again."""

    publication: Publication
    dests: tuple[int, ...] = ()


@dataclass(frozen=True)
class CustodyAccepted:
    """Custody is accepted: these deliveries are in the journal; for a repeated entry, those that were not
    completed yet. A destination of `Expand` that is absent here and had no `DeliveryCompleted` before
    counts as UNKNOWN."""

    name: str
    dests: tuple[int, ...]


@dataclass(frozen=True)
class CustodyRejected:
    """The journal or admission rejected the entry; the origin may send it again after the given time."""

    name: str
    retry_after_us: int
    reason: str


@dataclass(frozen=True)
class DeliveryCompleted:
    """A delivery in this member's custody is completed. This comes before it is completed in the journal,
    which may happen from `OutcomesPersisted` on."""

    name: str
    dest: int
    result: Result


@dataclass(frozen=True)
class Credit:
    """How many entries and bytes can be accepted now, over all streams."""

    entries: int
    bytes: int


@dataclass(frozen=True)
class RestoredDeliveries:
    """After a start, once for each of `Custodian.open_records`: its deliveries that are still pending in the
    journal. All others without a recorded outcome complete as UNKNOWN."""

    name: str
    dests: tuple[int, ...]


@dataclass(frozen=True)
class OutcomesPersisted:
    """The outcomes of these deliveries are on disk: the journal may now complete them."""

    name: str
    dests: tuple[int, ...]
