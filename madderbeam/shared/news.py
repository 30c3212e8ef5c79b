"""News of partners: what members of one site learnt, folded by each by the rule of its kind.

Each member tells its own news as rumours, one a subject, and takes them back the same way when they are over.
A span that lies in a rumour counts from when it is heard here: late news hold back longer, never less.
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
from madderbeam.shared.values import Heed, Kind, Lapsed, Learnt, News, Site

TIMER = "news"
PREFIX = "news/"
LONGEST_US = 3_600_000_000  # a span over this is cut to it
LONGEST = {
    Kind.DOUBT: 5_000_000,
    Kind.OUTAGE: 60_000_000,
    Kind.BACK: 600_000_000,
    Kind.FULL: 10_000_000,
    Kind.LIMIT: 60_000_000,
}  # or over this, where such a thing never holds so long
EACH_MOST = 512  # subjects of one member
UID_MOST = 96  # bytes
FORM = struct.Struct(">BQd")
HALF = 2  # a member tells its news again once so much of a part of their time is over
WITNESSES = 2  # members that have to see an outage for one that has seen nothing itself
URGENT = frozenset({Kind.WAIT, Kind.DOUBT, Kind.OUTAGE, Kind.BACK})  # told at once, unless others have
WITNESSED = frozenset({Kind.DOUBT, Kind.OUTAGE})  # shared/returning.py weighs who says so

Subject = tuple[Kind, int, str]


@dataclass
class Told:
    """One member's word on a subject, by this process's clock."""

    until_us: int
    value: float = 0.0
    since_us: int = 0


@dataclass
class Owner:
    """One member's news."""

    told: dict[Subject, Told] = field(default_factory=dict)


class NewsBoard:
    """`handle(now_us, event)`: Learnt, Site, Heard, MemberChanged and Due in; Spread, Heed, Lapsed, SetTimer
    and Note out. Waits, full tables: the longest holds; drains: the earliest; limits: the least. Doubts and
    outages are kept, and left to whoever asks `counting`."""

    def __init__(self, me: MemberId, life: Incarnation) -> None:
        self.me, self.version = me, life.start << 32
        self.members: frozenset[MemberId] = frozenset({me})
        self.owners: dict[MemberId, Owner] = {me: Owner()}
        self.keys: dict[tuple[MemberId, str], Subject] = {}  # of others' rumours
        self.heeded: dict[Subject, tuple[int, float]] = {}  # what the host was told: until, value
        self.answered_us: dict[int, int] = {}  # by destination: when it last answered here
        self.gone: frozenset[MemberId] = frozenset()
        self.cut = self.refused = 0
        self._events: dict[type, Callable[[int, Any], list[Any]]] = {
            Learnt: self._learnt,
            Site: self._site,
            GossipReceived: self._heard,
            MemberChanged: self._member,
            IncarnationRaised: self._raised,
        }

    # What others ask

    def answered(self, now_us: int, dest: int) -> None:
        """The destination answered a call: what is said of an outage before is void here."""
        self.answered_us[dest] = now_us

    def counting(self, kind: Kind, dest: int, now_us: int) -> dict[MemberId, Told]:
        """Living members that say this of a destination now, and have since it last answered here."""
        since_us, subject = self.answered_us.get(dest, -1), (kind, dest, "")
        return {
            owner: told
            for owner, news in self.owners.items()
            if owner not in self.gone
            and (told := news.told.get(subject)) is not None
            and told.until_us > now_us
            and told.since_us > since_us
        }

    def named(self, kinds: frozenset[Kind]) -> set[int]:
        """The destinations that somebody says one of these of."""
        return {dest for news in self.owners.values() for kind, dest, _ in news.told if kind in kinds}

    @property
    def living(self) -> int:
        """Members of this site that are not known to be gone, this one included."""
        return len(self.members - self.gone)

    def status(self, now_us: int) -> list[dict[str, Any]]:
        """For GET /federation: what is shared, by whom, how old."""
        return [
            {
                "kind": kind.value,
                "dest": dest,
                "uid": uid,
                "by": str(owner),
                "for_ms": (now_us - told.since_us) // 1000,
                "left_ms": (told.until_us - now_us) // 1000,
                **({"value": told.value} if told.value else {}),
            }
            for owner, news in sorted(self.owners.items())
            for (kind, dest, uid), told in news.told.items()
            if told.until_us > now_us
        ]

    def revalued(self, now_us: int, kind: Kind, dest: int, value: float) -> list[Any]:
        """What this member says of it has another value, for as long as it was said."""
        told = self.owners[self.me].told.get((kind, dest, ""))
        if told is None or told.until_us <= now_us or told.value == value:
            return []
        told.value = value
        return [self._spread((kind, dest, ""), told.until_us - now_us, value, kind in URGENT)]

    # Events

    def handle(self, now_us: int, event: Any) -> list[Any]:
        take = self._events.get(type(event))
        actions = take(now_us, event) if take else []
        if isinstance(event, TimerDue) and event.token != TIMER:
            return []
        return actions + self._fold(now_us)

    def _site(self, now_us: int, event: Site) -> list[Any]:
        self.members = frozenset({*event.members, self.me})
        for owner in [o for o in self.owners if o not in self.members]:
            del self.owners[owner]
        self.keys = {k: s for k, s in self.keys.items() if k[0] in self.members}
        return []

    def _raised(self, now_us: int, event: IncarnationRaised) -> list[Any]:
        """An earlier life, which this folder does not know, may have told more."""
        self.version = max(self.version, event.life.start << 32)
        return []

    def _member(self, now_us: int, event: MemberChanged) -> list[Any]:
        """News of one that died age as if it lived; it is only no witness and no trier any more."""
        gone = event.view.state in (State.DEAD, State.LEFT)
        self.gone = self.gone | {event.view.id} if gone else self.gone - {event.view.id}
        return []

    def _learnt(self, now_us: int, event: Learnt) -> list[Any]:
        news = event.news
        subject, told = (news.kind, news.dest, news.uid), self.owners[self.me].told
        if len(news.uid.encode()) > UID_MOST:
            return []
        left_us = max(0, min(news.left_us, _longest(news.kind)))
        before = told.get(subject)
        until_us = now_us + left_us
        if before is not None and before.until_us > now_us and left_us:
            if news.kind is Kind.DRAIN:
                return []  # heard again: it runs from when it was heard first
            if news.kind in (Kind.WAIT, Kind.FULL):
                if until_us <= before.until_us:
                    return []  # the longest holds
            elif before.until_us - now_us > left_us // HALF and before.value == news.value:
                return []  # others know it for long enough
        if before is None and (not left_us or len(told) >= EACH_MOST):
            self.refused += bool(left_us)
            return []
        since_us = before.since_us if before is not None and before.until_us > now_us else now_us
        told[subject] = Told(until_us, news.value, since_us)
        again = before is not None and before.until_us > now_us and news.kind in WITNESSED
        turned = again and before is not None and before.value != news.value
        urgent = news.kind in URGENT and (turned or self._needed(now_us, subject, until_us, again))
        return [self._spread(subject, until_us - now_us, news.value, urgent)]

    def _needed(self, now_us: int, subject: Subject, until_us: int, again: bool) -> bool:
        """What enough others say already has time until the next probes: the first say it at once, and of
        those that say it again the first in their order."""
        others = [
            o
            for o, n in self.owners.items()
            if o != self.me
            and (t := n.told.get(subject)) is not None
            and t.until_us > now_us
            and (t.until_us >= until_us or subject[0] in WITNESSED)
            and not (again and o > self.me)
        ]
        return len(others) < WITNESSES

    def _spread(self, subject: Subject, left_us: int, value: float, at_once: bool) -> Disseminate:
        kind, dest, uid = subject
        self.version += 1
        place = f"/{_short(uid)}" if uid else ""
        body = FORM.pack(len(uid.encode()), max(0, left_us), value) + uid.encode()
        return Disseminate(f"{PREFIX}{kind.value}/{dest}{place}", self.version, body, left_us, at_once)

    def _heard(self, now_us: int, event: GossipReceived) -> list[Any]:
        rumour = event.rumour
        if not rumour.key.startswith(PREFIX) or rumour.owner not in self.members or rumour.owner == self.me:
            return []
        try:
            kind, dest, uid, left_us, value = _read(rumour.key, rumour.body)
        except (ValueError, struct.error) as error:
            self.refused += 1
            return [
                LogLine(f"news of {rumour.owner} can't be read", NewsRefused(f"{rumour.key[:60]}: {error}"))
            ]
        told = self.owners.setdefault(rumour.owner, Owner()).told
        subject = (kind, dest, uid)
        if subject not in told and len(told) >= EACH_MOST:
            self.refused += 1
            return []
        notes: list[Any] = []
        if left_us > (longest := _longest(kind)):
            self.cut += 1
            notes.append(
                LogLine(
                    "news are cut",
                    NewsRefused(
                        f"{rumour.owner} tells a {kind.value} of {left_us // 1_000_000} s for destination "
                        f"{dest}; {longest // 1_000_000} s at most count"
                    ),
                )
            )
        before = told.get(subject)
        since_us = before.since_us if before is not None and before.until_us > now_us else now_us
        told[subject] = Told(now_us + min(left_us, longest), value, since_us)
        return notes

    # What follows

    def _fold(self, now_us: int) -> list[Any]:
        """Tell the host what others' news make of each subject, where that has changed."""
        found: dict[Subject, tuple[int, float, MemberId]] = {}
        for owner, news in self.owners.items():
            for subject in [s for s, t in news.told.items() if t.until_us <= now_us]:
                del news.told[subject]
            if owner == self.me:
                continue
            for subject, told in news.told.items():
                if subject[0] not in WITNESSED:
                    found[subject] = _merged(subject[0], found.get(subject), told, owner)
        actions: list[Any] = []
        for subject, (until_us, value, owner) in found.items():
            if self.heeded.get(subject) != (until_us, value):
                self.heeded[subject] = (until_us, value)
                actions.append(Heed(News(*subject, until_us - now_us, value), owner))
        for subject in [s for s in self.heeded if s not in found]:
            del self.heeded[subject]
            actions.append(Lapsed(*subject))
        self.answered_us = {d: at for d, at in self.answered_us.items() if now_us - at < LONGEST_US}
        ends = [t.until_us for news in self.owners.values() for t in news.told.values()]
        return [*actions, SetTimer(min(ends), TIMER)] if ends else actions


def _merged(
    kind: Kind, before: tuple[int, float, MemberId] | None, told: Told, owner: MemberId
) -> tuple[int, float, MemberId]:
    one = (told.until_us, told.value, owner)
    if before is None:
        return one
    if kind is Kind.DRAIN:
        return min(before, one)
    if kind is Kind.LIMIT:
        return min((before, one), key=lambda row: (row[1], row[0], row[2]))
    return max(before, one)


def _longest(kind: Kind) -> int:
    return LONGEST.get(kind, LONGEST_US)


def _short(uid: str) -> str:
    """Tells endpoints of a destination apart in a key; the whole id is in the body."""
    return hashlib.blake2b(uid.encode(), digest_size=8).hexdigest()


def _read(key: str, body: bytes) -> tuple[Kind, int, str, int, float]:
    parts = key.removeprefix(PREFIX).split("/")
    size, left_us, value = FORM.unpack_from(body)
    uid = body[FORM.size :].decode()
    if not 2 <= len(parts) <= 3 or not parts[1].isdecimal() or len(parts[1]) > 12:
        raise ValueError("key: must be news/KIND/DEST")
    if len(body) != FORM.size + size or size > UID_MOST:
        raise ValueError(f"uid: must have at most {UID_MOST} bytes")
    if not 0 <= value < 1e12:
        raise ValueError("value: must be from 0, under 1e12")
    kind = Kind(parts[0])
    if kind is Kind.LIMIT and left_us and not value:
        raise ValueError("value: a limit of nought is none")
    return kind, int(parts[1]), uid, left_us, value
