"""Findings about partners that the members of one site gossip, merged at each member by rules per kind.

Each member gossips its own findings, one entry per subject, and withdraws them the same way. A duration in an
entry counts from when it is received: a delayed entry restricts calls for longer, never shorter.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from madderbeam.federation.errors import NewsRefused
from madderbeam.membership.values import (
    Disseminate,
    GossipReceived,
    Incarnation,
    IncarnationRaised,
    LogLine,
    MemberChanged,
    MemberId,
    SetTimer,
    State,
    TimerDue,
)
from madderbeam.shared.values import (
    ApplyFinding,
    Finding,
    FindingExpired,
    FindingKind,
    LocalFinding,
    SiteMembers,
)

TIMER = "news"
PREFIX = "news/"
DURATION_MAX_US = 3_600_000_000  # a longer duration is cut to this
DURATION_MAX_US_BY_KIND = {
    FindingKind.SUSPICION: 5_000_000,
    FindingKind.OUTAGE: 60_000_000,
    FindingKind.RECOVERY: 600_000_000,
    FindingKind.TABLE_FULL: 10_000_000,
    FindingKind.RATE_LIMIT: 60_000_000,
}  # lower caps for kinds that never last so long
SUBJECTS_PER_MEMBER_MAX = 512
UID_MAX_BYTES = 96
BODY_FORMAT = struct.Struct(">BQd")
RESEND_DIVISOR = 2  # a finding is sent again once no more than 1/RESEND_DIVISOR of its duration is left
REPORTERS_REQUIRED = 2  # members that have to report an outage before one that saw nothing itself believes it
# disseminated at once, unless enough others have
URGENT_KINDS = frozenset(
    {FindingKind.RETRY_AFTER, FindingKind.SUSPICION, FindingKind.OUTAGE, FindingKind.RECOVERY}
)
WEIGHED_KINDS = frozenset(
    {FindingKind.SUSPICION, FindingKind.OUTAGE}
)  # partner_outages.py weighs these by their reporters

Subject = tuple[FindingKind, int, str]


@dataclass
class FindingRecord:
    """One member's finding on a subject, by this process's clock."""

    until_us: int
    value: float = 0.0
    since_us: int = 0


@dataclass
class MemberFindings:
    """The findings of one member."""

    records: dict[Subject, FindingRecord] = field(default_factory=dict)


class FindingsBoard:
    """The findings of all members, and the merged result.

    `handle(now_us, event)` takes LocalFinding, SiteMembers, GossipReceived, MemberChanged, IncarnationRaised
    and TimerDue, and returns Disseminate, ApplyFinding, FindingExpired, SetTimer and LogLine. Of Retry-After
    and full tables the latest end wins, of drains the earliest end, of rate limits the lowest rate.
    Suspicions and outages are only kept here, for callers of `valid_reports`.
    """

    def __init__(self, own_id: MemberId, incarnation: Incarnation) -> None:
        self.own_id, self.version = own_id, incarnation.start << 32
        self.members: frozenset[MemberId] = frozenset({own_id})
        self.owners: dict[MemberId, MemberFindings] = {own_id: MemberFindings()}
        self.keys: dict[tuple[MemberId, str], Subject] = {}  # of other members' gossip entries
        self.applied: dict[Subject, tuple[int, float]] = {}  # what was last reported to the host: end, value
        self.answered_us: dict[int, int] = {}  # by destination: when it last answered this courier
        self.departed: frozenset[MemberId] = frozenset()
        self.cut = self.refused = 0
        self._events: dict[type, Callable[[int, Any], list[Any]]] = {
            LocalFinding: self._local_finding,
            SiteMembers: self._site_changed,
            GossipReceived: self._gossip_received,
            MemberChanged: self._member_changed,
            IncarnationRaised: self._incarnation_raised,
        }

    # Queries

    def answered(self, now_us: int, dest: int) -> None:
        """The destination answered a call: earlier reports of an outage no longer count for this member."""
        self.answered_us[dest] = now_us

    def valid_reports(self, kind: FindingKind, dest: int, now_us: int) -> dict[MemberId, FindingRecord]:
        """Findings of live members on the destination that began after it last answered this courier."""
        since_us, subject = self.answered_us.get(dest, -1), (kind, dest, "")
        return {
            owner: record
            for owner, findings in self.owners.items()
            if owner not in self.departed
            and (record := findings.records.get(subject)) is not None
            and record.until_us > now_us
            and record.since_us > since_us
        }

    def reported_destinations(self, kinds: frozenset[FindingKind]) -> set[int]:
        """Destinations on which any member has a finding of one of these kinds."""
        return {
            dest for findings in self.owners.values() for kind, dest, _ in findings.records if kind in kinds
        }

    @property
    def live_member_count(self) -> int:
        """Number of members of this site that are not known to be gone, including this one."""
        return len(self.members - self.departed)

    def status(self, now_us: int) -> list[dict[str, Any]]:
        """For GET /federation: each finding, who reported it and for how long."""
        return [
            {
                "kind": kind.value,
                "dest": dest,
                "uid": uid,
                "by": str(owner),
                "for_ms": (now_us - record.since_us) // 1000,
                "left_ms": (record.until_us - now_us) // 1000,
                **({"value": record.value} if record.value else {}),
            }
            for owner, findings in sorted(self.owners.items())
            for (kind, dest, uid), record in findings.records.items()
            if record.until_us > now_us
        ]

    def change_value(self, now_us: int, kind: FindingKind, dest: int, value: float) -> list[Any]:
        """Change the value of this member's own finding, which keeps its start and end."""
        record = self.owners[self.own_id].records.get((kind, dest, ""))
        if record is None or record.until_us <= now_us or record.value == value:
            return []
        record.value = value
        return [self._disseminate((kind, dest, ""), record.until_us - now_us, value, kind in URGENT_KINDS)]

    # Events

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """The actions that the event leads to."""
        handler = self._events.get(type(event))
        actions = handler(now_us, event) if handler else []
        if isinstance(event, TimerDue) and event.token != TIMER:
            return []
        return actions + self._merge(now_us)

    def _site_changed(self, now_us: int, event: SiteMembers) -> list[Any]:
        self.members = frozenset({*event.members, self.own_id})
        for owner in [member for member in self.owners if member not in self.members]:
            del self.owners[owner]
        self.keys = {key: subject for key, subject in self.keys.items() if key[0] in self.members}
        return []

    def _incarnation_raised(self, now_us: int, event: IncarnationRaised) -> list[Any]:
        """An earlier incarnation, unknown to this data directory, may have sent higher versions."""
        self.version = max(self.version, event.incarnation.start << 32)
        return []

    def _member_changed(self, now_us: int, event: MemberChanged) -> list[Any]:
        """A member's state has changed.

        The findings of a dead member expire as usual, but it no longer counts as a reporter or as the prober.
        """
        is_gone = event.view.state in (State.DEAD, State.LEFT)
        self.departed = self.departed | {event.view.id} if is_gone else self.departed - {event.view.id}
        return []

    def _local_finding(self, now_us: int, event: LocalFinding) -> list[Any]:
        finding = event.finding
        subject, records = (finding.kind, finding.dest, finding.uid), self.owners[self.own_id].records
        if len(finding.uid.encode()) > UID_MAX_BYTES:
            return []
        left_us = max(0, min(finding.left_us, _longest(finding.kind)))
        previous = records.get(subject)
        until_us = now_us + left_us
        if previous is not None and previous.until_us > now_us and left_us:
            if finding.kind is FindingKind.DRAIN:
                return []  # a repeated drain keeps its first start
            if finding.kind in (FindingKind.RETRY_AFTER, FindingKind.TABLE_FULL):
                if until_us <= previous.until_us:
                    return []  # the latest end wins
            elif previous.until_us - now_us > left_us // RESEND_DIVISOR and previous.value == finding.value:
                return []  # others have it for long enough
        if previous is None and (not left_us or len(records) >= SUBJECTS_PER_MEMBER_MAX):
            self.refused += bool(left_us)
            return []
        since_us = previous.since_us if previous is not None and previous.until_us > now_us else now_us
        records[subject] = FindingRecord(until_us, finding.value, since_us)
        is_repeated = previous is not None and previous.until_us > now_us and finding.kind in WEIGHED_KINDS
        value_changed = is_repeated and previous is not None and previous.value != finding.value
        is_urgent = finding.kind in URGENT_KINDS and (
            value_changed or self._needs_dissemination(now_us, subject, until_us, is_repeated)
        )
        return [self._disseminate(subject, until_us - now_us, finding.value, is_urgent)]

    def _needs_dissemination(self, now_us: int, subject: Subject, until_us: int, is_repeated: bool) -> bool:
        """Whether this finding has to be disseminated at once.

        If enough others report it already, it may wait for the next probes: the first reporters disseminate
        it at once, and of those that repeat it the first by member id.
        """
        others = [
            owner
            for owner, findings in self.owners.items()
            if owner != self.own_id
            and (record := findings.records.get(subject)) is not None
            and record.until_us > now_us
            and (record.until_us >= until_us or subject[0] in WEIGHED_KINDS)
            and not (is_repeated and owner > self.own_id)
        ]
        return len(others) < REPORTERS_REQUIRED

    def _disseminate(self, subject: Subject, left_us: int, value: float, at_once: bool) -> Disseminate:
        kind, dest, uid = subject
        self.version += 1
        suffix = f"/{_short(uid)}" if uid else ""
        body = BODY_FORMAT.pack(len(uid.encode()), max(0, left_us), value) + uid.encode()
        return Disseminate(f"{PREFIX}{kind.value}/{dest}{suffix}", self.version, body, left_us, at_once)

    def _gossip_received(self, now_us: int, event: GossipReceived) -> list[Any]:
        entry = event.entry
        if not entry.key.startswith(PREFIX) or entry.owner not in self.members or entry.owner == self.own_id:
            return []
        try:
            kind, dest, uid, left_us, value = _read(entry.key, entry.body)
        except (ValueError, struct.error) as error:
            self.refused += 1
            return [
                LogLine(f"a finding of {entry.owner} is malformed", NewsRefused(f"{entry.key[:60]}: {error}"))
            ]
        records = self.owners.setdefault(entry.owner, MemberFindings()).records
        subject = (kind, dest, uid)
        if subject not in records and len(records) >= SUBJECTS_PER_MEMBER_MAX:
            self.refused += 1
            return []
        log_lines: list[Any] = []
        if left_us > (longest := _longest(kind)):
            self.cut += 1
            log_lines.append(
                LogLine(
                    "a finding's duration is too long and was cut",
                    NewsRefused(
                        f"{entry.owner} reports a {kind.value} of {left_us // 1_000_000} s for destination "
                        f"{dest}; at most {longest // 1_000_000} s are used"
                    ),
                )
            )
        previous = records.get(subject)
        since_us = previous.since_us if previous is not None and previous.until_us > now_us else now_us
        records[subject] = FindingRecord(now_us + min(left_us, longest), value, since_us)
        return log_lines

    # Merging

    def _merge(self, now_us: int) -> list[Any]:
        """The changes of the merged findings, for the host."""
        merged: dict[Subject, tuple[int, float, MemberId]] = {}
        for owner, findings in self.owners.items():
            for subject in [key for key, record in findings.records.items() if record.until_us <= now_us]:
                del findings.records[subject]
            if owner == self.own_id:
                continue
            for subject, finding in findings.records.items():
                if subject[0] not in WEIGHED_KINDS:
                    merged[subject] = _merged(subject[0], merged.get(subject), finding, owner)
        actions: list[Any] = []
        for subject, (until_us, value, owner) in merged.items():
            if self.applied.get(subject) != (until_us, value):
                self.applied[subject] = (until_us, value)
                actions.append(ApplyFinding(Finding(*subject, until_us - now_us, value), owner))
        for subject in [key for key in self.applied if key not in merged]:
            del self.applied[subject]
            actions.append(FindingExpired(*subject))
        self.answered_us = {
            dest: answered_us
            for dest, answered_us in self.answered_us.items()
            if now_us - answered_us < DURATION_MAX_US
        }
        ends = [record.until_us for findings in self.owners.values() for record in findings.records.values()]
        return [*actions, SetTimer(min(ends), TIMER)] if ends else actions


def _merged(
    kind: FindingKind, previous: tuple[int, float, MemberId] | None, record: FindingRecord, owner: MemberId
) -> tuple[int, float, MemberId]:
    candidate = (record.until_us, record.value, owner)
    if previous is None:
        return candidate
    if kind is FindingKind.DRAIN:
        return min(previous, candidate)
    if kind is FindingKind.RATE_LIMIT:
        return min((previous, candidate), key=lambda row: (row[1], row[0], row[2]))
    return max(previous, candidate)


def _longest(kind: FindingKind) -> int:
    return DURATION_MAX_US_BY_KIND.get(kind, DURATION_MAX_US)


def _short(uid: str) -> str:
    """A hash that tells the endpoints of a destination apart in a key; the whole id is in the body."""
    return hashlib.blake2b(uid.encode(), digest_size=8).hexdigest()


def _read(key: str, body: bytes) -> tuple[FindingKind, int, str, int, float]:
    parts = key.removeprefix(PREFIX).split("/")
    size, left_us, value = BODY_FORMAT.unpack_from(body)
    uid = body[BODY_FORMAT.size :].decode()
    if not 2 <= len(parts) <= 3 or not parts[1].isdecimal() or len(parts[1]) > 12:
        raise ValueError("key: must be news/KIND/DEST")
    if len(body) != BODY_FORMAT.size + size or size > UID_MAX_BYTES:
        raise ValueError(f"uid: must have at most {UID_MAX_BYTES} bytes")
    if not 0 <= value < 1e12:
        raise ValueError("value: must be from 0, under 1e12")
    kind = FindingKind(parts[0])
    if kind is FindingKind.RATE_LIMIT and left_us and not value:
        raise ValueError("value: a rate limit must not be 0")
    return kind, int(parts[1]), uid, left_us, value
