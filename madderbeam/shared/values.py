"""Events and actions of what a site's members share: findings about partners, and leases on limits.

The state machines also take MemberChanged, GossipReceived, MessageReceived, PauseDetected, TimerDue and
WriteFailed, and return Disseminate, SendMessage, SetTimer, Persist and LogLine (membership/values.py).
Processes send each other only durations, never points in time, since their clocks are not synchronized.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from madderbeam.membership.values import MemberId


class FindingKind(Enum):
    """What a finding is about.

    The value is part of the gossip key. The findings of several members on one subject are merged by a
    commutative rule of the kind.
    """

    RETRY_AFTER = "wait"  # Retry-After from the partner: the latest end wins
    DRAIN = "drain"  # read from the endpoint list: the earliest end wins
    SUSPICION = "doubt"  # a call failed and none succeeded since: a suspicion, not yet an outage
    # no call succeeds; value: probing turns that the reporter has had, plus a half while it probes
    OUTAGE = "outage"
    RECOVERY = "back"  # it answers again and has to be ramped up as cold
    TABLE_FULL = "full"  # its connection table is full
    # it rejected calls for overload; value: messages per second that one courier sends since; the lowest wins
    RATE_LIMIT = "limit"


@dataclass(frozen=True)
class Finding:
    """One finding of a member about a partner.

    `uid` is the endpoint's id, or "" for the whole destination. `left_us` is how long the finding stays
    valid, at most an hour; `value` has the meaning that its kind gives it.
    """

    kind: FindingKind
    dest: int
    uid: str
    left_us: int
    value: float = 0.0


# Events


@dataclass(frozen=True)
class SiteMembers:
    """The members that the ownership table in force gives to this site, including this one.

    `earlier` holds the members by each earlier table that some member of the site may still use; an earlier
    table is left out once all members that it names have a newer one in force or are removed.
    `is_first_table`: the federation has had no other table before.
    """

    members: tuple[MemberId, ...]
    earlier: tuple[tuple[MemberId, ...], ...] = ()
    is_first_table: bool = True


@dataclass(frozen=True)
class LocalFinding:
    """This courier found it out itself, from a reply or from its endpoint list."""

    finding: Finding


@dataclass(frozen=True)
class CallFailed:
    """A call of this courier to the destination failed in a way that an outage would show."""

    dest: int


@dataclass(frozen=True)
class CallAnswered:
    """A call to the destination was answered while this member reported a suspicion or an outage of it."""

    dest: int


@dataclass(frozen=True)
class Limit:
    """The total that all members together may use of a resource.

    `fixed` is the equal share (the total over the members) that a member may use before it ever has a lease.
    Resources: `rate/DEST` (messages per second), `places/DEST` (connections to its endpoints), `quota/NODE`
    (fractions of a quota node's limits).

    `in_whole_units`: divided in whole units, with a floor of one unit if the equal share is at least one.
    `lingers_us`: how long what was begun under a lease may stay in use after the lease was lowered or ended.
    """

    resource: str
    total: float
    fixed: float
    in_whole_units: bool = False
    lingers_us: int = 0


@dataclass(frozen=True)
class Need:
    """How much of a resource this courier could use now, and the priority weight of one unit."""

    resource: str
    amount: float
    weight: float = 1.0


# Actions


@dataclass(frozen=True)
class ApplyFinding:
    """Restrict calls by another member's finding for its `left_us`.

    It never loosens a restriction that this courier set itself.
    """

    finding: Finding
    source: MemberId


@dataclass(frozen=True)
class FindingExpired:
    """The finding of this kind no longer applies."""

    kind: FindingKind
    dest: int
    uid: str


@dataclass(frozen=True)
class SetProbing:
    """This member starts (`enabled`) or stops probing the destination on behalf of the whole site."""

    dest: int
    enabled: bool


@dataclass(frozen=True)
class SetAllowance:
    """How much this courier may use of a resource until `until_us` by its own clock.

    After that it may use `fallback` (its floor), unless another such action came first.
    """

    resource: str
    amount: float
    until_us: int
    fallback: float
