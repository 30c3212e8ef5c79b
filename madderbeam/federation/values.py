"""The ownership table, and the events and actions of agreeing on it, switching to it and releasing
destinations.

The federation state machine also takes the events MemberChanged, GossipReceived, MessageReceived, TimerDue
and WriteFailed, and returns the actions Persist, SetTimer, LogLine, SendMessage and Disseminate
(membership/values.py).
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from madderbeam.membership.values import Address, MemberId


@dataclass(frozen=True)
class MemberRow:
    """A member as the table lists it. `is_voter`: it is one of those that decide on the next table."""

    name: str
    address: Address
    is_voter: bool = True


@dataclass(frozen=True)
class Table:
    """Which site serves which destination.

    `decommissioned`: members that an operator declared gone for good ("off" in the document). The declaration
    counts as their release of the destinations that they served.
    """

    number: int
    sites: dict[str, tuple[MemberRow, ...]]
    owners: dict[int, str]
    decommissioned: frozenset[MemberId] = frozenset()

    def members(self, site: str) -> tuple[MemberId, ...]:
        """The members of a site, in the order of the table; empty for an unknown site."""
        return tuple(MemberId(site, row.name) for row in self.sites.get(site, ()))

    @cached_property
    def voters(self) -> tuple[MemberId, ...]:
        """All members that vote on the next table, sorted."""
        return tuple(
            sorted(MemberId(s, r.name) for s, rows in self.sites.items() for r in rows if r.is_voter)
        )

    def document(self) -> dict[str, Any]:
        """The table as it is written to a file; federation.table.read_table is the inverse."""
        sites = {
            site: {
                row.name: {"address": f"{row.address[0]}:{row.address[1]}", "votes": row.is_voter}
                for row in rows
            }
            for site, rows in sorted(self.sites.items())
        }
        return {
            "number": self.number,
            "sites": sites,
            "owners": {str(dest): self.owners[dest] for dest in sorted(self.owners)},
            **({"off": sorted(str(member) for member in self.decommissioned)} if self.decommissioned else {}),
        }

    @cached_property
    def digest(self) -> str:
        """16 hex digits over the document; tables with equal digests are equal."""
        text = json.dumps(self.document(), sort_keys=True, separators=(",", ":"))
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()

    @property
    def proposal_id(self) -> ProposalId:
        """The identity under which this table is proposed: its number and its digest."""
        return ProposalId(self.number, self.digest)


@dataclass(frozen=True, order=True)
class ProposalId:
    """Identifies a proposed table. Proposals for one number differ in their digest; at most one is agreed."""

    number: int
    digest: str

    def __str__(self) -> str:
        return f"{self.number}-{self.digest}"


@dataclass(frozen=True)
class RemainingSpan:
    """The rest of a Retry-After wait for a destination (`uid` is "") or for one of its endpoints."""

    uid: str
    remaining_us: int


@dataclass(frozen=True)
class Release:
    """A member of the previous owner has released a destination: it has no call in flight there and accepts
    no new message for it. The record also passes on what the new owner must observe.

    Spans count from the creation of the record; a member that forwards it subtracts the time for which it
    stored it.
    """

    dest: int
    member: MemberId
    table_number: int
    retry_waits: tuple[RemainingSpan, ...] = ()
    draining: tuple[RemainingSpan, ...] = ()  # endpoints that drain, with the rest of their grace period
    is_cold: bool = False  # an endpoint of the destination is ejected or in slow start


# Events


@dataclass(frozen=True)
class TableProposed:
    """An operator proposes a table at this member; only the form of its document has been checked."""

    table: Table


@dataclass(frozen=True)
class MemberDecommissioned:
    """An operator declares a member gone for good: it counts as having released everything."""

    member: MemberId
    table_number: int


@dataclass(frozen=True)
class RollbackAccepted:
    """An operator declares that this member may vote again although its state was restored from a copy."""


@dataclass(frozen=True)
class TableChecked:
    """The host's reply to CheckTable. `reason` is "" if this site can serve by the table."""

    proposal: ProposalId
    reason: str


@dataclass(frozen=True)
class DestinationReleased:
    """The host's reply to Relinquish: no call is in flight at the destination any more."""

    release: Release


@dataclass(frozen=True)
class ServingPaused:
    """This process was paused or has just started: it must query which table is in force before it serves."""


# Actions


@dataclass(frozen=True)
class CheckTable:
    """Asks the host whether this site can serve by this table (endpoints known, message classes, capacity).
    The reply is TableChecked.
    """

    table: Table


@dataclass(frozen=True)
class TableInForce:
    """This table is in force at this member from now on; `previous` was until now (None at a start)."""

    table: Table
    previous: Table | None


@dataclass(frozen=True)
class Relinquish:
    """Another site owns this destination from now on: start no call and accept no new message for it. The
    reply is DestinationReleased, once its calls have ended.
    """

    dest: int
    table_number: int


@dataclass(frozen=True)
class BeginServing:
    """This member serves this destination from now on and observes what the previous owners passed on; the
    spans are those left now.
    """

    dest: int
    releases: tuple[Release, ...]


@dataclass(frozen=True)
class SuspendServing:
    """Suspends serving until it is known which table is in force, or resumes it. `reason` is shown to clients
    and logged.

    `destinations`: only these are suspended (None: all). It replaces any earlier suspension.
    """

    is_suspended: bool
    reason: str
    destinations: frozenset[int] | None = None


@dataclass(frozen=True)
class FinishProposal:
    """This proposal could be agreed without this member: bring it to its outcome, agreed or rejected."""

    proposal: ProposalId


@dataclass(frozen=True)
class ProposalOutcome:
    """The outcome of a proposal that was made or seen here; `error` is None if it was agreed."""

    proposal: ProposalId
    is_agreed: bool
    error: Exception | None


@dataclass(frozen=True)
class TableAgreed:
    """This table is agreed and on disk here, and is never revoked. The agreement part sends it to the
    switchover part only: at each start for the newest table, and possibly more than once.
    """

    table: Table
