"""The table, and the events and actions of agreeing on it, switching to it and releasing what moves.

Beside these federation takes MemberChanged, Heard, FromLink, Due and Unwritten, and gives Persist, SetTimer,
Note, ToLink and Spread (membership/values.py)."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from madderbeam.membership.values import Address, MemberId


@dataclass(frozen=True)
class MemberRow:
    """A member as the table names it; `votes`: it is one of the voters on the next table."""

    name: str
    address: Address
    votes: bool = True


@dataclass(frozen=True)
class Table:
    """Which site serves which destination. `off`: members that a person says are off for good; what they
    served is released by that word."""

    number: int
    sites: dict[str, tuple[MemberRow, ...]]
    owners: dict[int, str]
    off: frozenset[MemberId] = frozenset()

    def members(self, site: str) -> tuple[MemberId, ...]:
        return tuple(MemberId(site, row.name) for row in self.sites.get(site, ()))

    @cached_property
    def voters(self) -> tuple[MemberId, ...]:
        return tuple(sorted(MemberId(s, r.name) for s, rows in self.sites.items() for r in rows if r.votes))

    def document(self) -> dict[str, Any]:
        """As it is written in a file; read back by federation.table.read."""
        sites = {
            site: {r.name: {"address": f"{r.address[0]}:{r.address[1]}", "votes": r.votes} for r in rows}
            for site, rows in sorted(self.sites.items())
        }
        return {
            "number": self.number,
            "sites": sites,
            "owners": {str(d): self.owners[d] for d in sorted(self.owners)},
            **({"off": sorted(str(m) for m in self.off)} if self.off else {}),
        }

    @cached_property
    def digest(self) -> str:
        """16 hex digits: two tables with one digest are the same."""
        text = json.dumps(self.document(), sort_keys=True, separators=(",", ":"))
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()

    @property
    def proposal(self) -> ProposalId:
        return ProposalId(self.number, self.digest)


@dataclass(frozen=True, order=True)
class ProposalId:
    """Two proposals for one number differ in their digest; at most one of them is ever agreed."""

    number: int
    digest: str

    def __str__(self) -> str:
        return f"{self.number}-{self.digest}"


@dataclass(frozen=True)
class RemainingSpan:
    """A told wait that still runs for a destination ("" as uid) or one endpoint of it."""

    uid: str
    left_us: int


@dataclass(frozen=True)
class Release:
    """One old owner's member has no call out at the destination, takes nothing new for it, and passes on
    what the new owner must heed. Spans count from when the record was made; whoever passes it on takes off
    the time that it has lain there."""

    dest: int
    member: MemberId
    table: int
    waits: tuple[RemainingSpan, ...] = ()
    draining: tuple[RemainingSpan, ...] = ()  # endpoints that drain, and what is left of their grace
    cold: bool = False


# Events


@dataclass(frozen=True)
class TableProposed:
    """An operator offers a table here (the document, checked in form only)."""

    table: Table


@dataclass(frozen=True)
class MemberCalledOff:
    """An operator's word that a member is off and stays off: it counts as having released everything."""

    member: MemberId
    table: int


@dataclass(frozen=True)
class FolderTrusted:
    """An operator's word that this member's folder, which was found to be older, may vote again."""


@dataclass(frozen=True)
class TableChecked:
    """The host's answer to `Check`: "" if this site can serve by the table, else what stands against it."""

    proposal: ProposalId
    why: str


@dataclass(frozen=True)
class DestinationReleased:
    """The host's answer to `Relinquish`: nothing is out at the destination any more."""

    release: Release


@dataclass(frozen=True)
class ServingPaused:
    """This process was paused, or has just started: it asks what is in force before it serves."""


# Actions


@dataclass(frozen=True)
class CheckTable:
    """Can this site serve by this table (endpoints known, classes, capacity)? Answered by `Checked`."""

    table: Table


@dataclass(frozen=True)
class TableInForce:
    """This table is in force at this member from now on; `before` was until now (None at a start)."""

    table: Table
    before: Table | None


@dataclass(frozen=True)
class Relinquish:
    """This destination is another site's from now on: begin no call, take nothing new for it; answer by
    `Released` once its calls have ended."""

    dest: int
    table: int


@dataclass(frozen=True)
class BeginServing:
    """This destination is served here from now on, heeding what the old owners passed on (spans as left
    now)."""

    dest: int
    releases: tuple[Release, ...]


@dataclass(frozen=True)
class SuspendServing:
    """Serve nothing (or again serve) until it is known what is in force; `why` for clients and the log.
    `dests`: only these are held (None: all). A later Hold takes the place of the one before."""

    on: bool
    why: str
    dests: frozenset[int] | None = None


@dataclass(frozen=True)
class FinishProposal:
    """This proposal could be agreed on without this member: see that it is finished or turned down."""

    proposal: ProposalId


@dataclass(frozen=True)
class ProposalOutcome:
    """What became of a proposal that was offered or seen here; `error` is None if it was agreed."""

    proposal: ProposalId
    agreed: bool
    error: Exception | None


@dataclass(frozen=True)
class TableAgreed:
    """This table is agreed and on disk here: never taken back. Agreement's word to the switch part alone; it
    comes at each start for the newest one, and perhaps again."""

    table: Table
