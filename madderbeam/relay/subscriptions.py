"""Which topics each site has subscribers of: each member tells its own site's, as a few bounded rumours.

A rumour holds a Bloom filter (Bloom, 1970) of the topics that hash to its shard, not their names: ten
thousand topics take 32 rumours of 512 bytes at most. None is dropped for want of room; a filter that is too
full says "yes" more often, which costs an entry that expands to no one. A subscriber more for a known topic
tells nothing.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from madderbeam.membership.values import (
    MAX_ENTRY_BODY_BYTES,
    Disseminate,
    GossipReceived,
    Incarnation,
    IncarnationRaised,
    LogLine,
    MemberChanged,
    MemberId,
    MemberView,
    SetTimer,
    State,
    TimerDue,
)
from madderbeam.relay.messages import DESTS_MOST
from madderbeam.relay.values import Subscribed

TIMER = "subscriptions"
PREFIX = "topics/"
FORM = 1
HEAD = 3  # bytes: form, number of shards as a power of two, hashes
FILTER_MOST = MAX_ENTRY_BODY_BYTES - 12
SHARD_TOPICS = 320  # at most in a shard while there are shards left: 12 bits each, 0.3 % of false "yes"
SHARDS_MOST = 64  # of one member
TOPICS_MOST = SHARDS_MOST * SHARD_TOPICS  # beyond these a false "yes" grows more likely, and it is said
MEMBERS_MOST = 4_096  # whose shards are kept


def topic_hash(topic: str) -> tuple[int, int, int]:
    """Shard and the two hashes of double hashing (Kirsch and Mitzenmacher, 2006)."""
    digest = hashlib.blake2b(topic.encode(), digest_size=20).digest()
    return (
        int.from_bytes(digest[:4], "big"),
        int.from_bytes(digest[4:12], "big"),
        int.from_bytes(digest[12:], "big") | 1,
    )


def shard_count(topics: int) -> int:
    """A power of two, so that most topics keep their shard as they become more."""
    count = 1
    while count * SHARD_TOPICS < topics and count < SHARDS_MOST:
        count *= 2
    return count


def fill(topics: Iterable[str], count: int) -> bytes:
    """The body of the rumour about one shard's topics."""
    hashes = [topic_hash(topic)[1:] for topic in topics]
    size = min(FILTER_MOST, 2 * len(hashes) + 6) if hashes else 0
    rounds = max(1, min(11, round(size * 8 / max(1, len(hashes)) * 0.69)))
    bits = bytearray(size)
    for one, two in hashes:
        for n in range(rounds):
            at = (one + n * two) % (size * 8)
            bits[at >> 3] |= 1 << (at & 7)
    return bytes((FORM, count.bit_length() - 1, rounds)) + bytes(bits)


def has(body: bytes, topic: str) -> bool:
    """Whether the topic may be among a shard's."""
    size = (len(body) - HEAD) * 8
    _, one, two = topic_hash(topic)
    places = ((one + n * two) % size for n in range(body[2])) if size else ()
    return size > 0 and all(body[HEAD + (at >> 3)] >> (at & 7) & 1 for at in places)


def sound(key: str, body: bytes) -> bool:
    """A shard's rumour that can be read."""
    index = key.removeprefix(PREFIX)
    return (
        HEAD <= len(body) <= MAX_ENTRY_BODY_BYTES
        and body[0] == FORM
        and 1 << body[1] <= SHARDS_MOST
        and 1 <= body[2] <= 16
        and index.isdecimal()
        and int(index) < 1 << body[1]
    )


@dataclass
class Told:
    """What one member has told: shard -> (version, body). `gone_us`: since when it is dead or left; -1: it
    lives."""

    shards: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    gone_us: int = -1

    def may_have(self, topic: str) -> bool:
        """A shard that has not come yet may have it."""
        if not self.shards:
            return False
        newest = max(self.shards.values())[1]
        shard = self.shards.get(topic_hash(topic)[0] % (1 << newest[1]))
        return shard is None or shard[1][1] != newest[1] or has(shard[1], topic)


class Subscriptions:
    """A machine; `keep_us`: how long a site's word outlasts its members, so that publications wait for a site
    that is away and are not dropped in silence."""

    def __init__(self, own: MemberId, life: Incarnation, keep_us: int = 3_600_000_000) -> None:
        self.own, self.keep_us = own, keep_us
        self.topics: Mapping[str, Collection[int]] = {}
        self.version = 0  # as the host told
        self.said = life.start << 32  # the version of the last rumour
        self.bodies: dict[str, bytes] = {}  # as they were spread
        self.told: dict[MemberId, Told] = {}
        self.heard: set[str] = set()  # sites that have told their topics since the start

    def sites(self, topic: str) -> tuple[str, ...]:
        """Other sites that have subscribers, as far as is known."""
        found = {m.site for m, told in self.told.items() if m.site != self.own.site and told.may_have(topic)}
        return tuple(sorted(found))

    def unheard(self, sites: Iterable[str]) -> tuple[str, ...]:
        """Those of these whose topics no member has told since this one's start: they may have any."""
        return tuple(sorted(set(sites) - self.heard - {self.own.site}))

    def subscribers(self, topic: str) -> Collection[int]:
        """Destinations of this site's own partners."""
        return self.topics.get(topic, ())

    def handle(self, now_us: int, event: Any) -> list[Any]:
        if isinstance(event, Subscribed):
            return self._subscribed(event)
        if isinstance(event, GossipReceived):
            return self._heard(now_us, event)
        if isinstance(event, MemberChanged):
            return self._member(now_us, event.view)
        if isinstance(event, IncarnationRaised):
            return self._raised(event.incarnation)
        if isinstance(event, TimerDue) and event.token == TIMER:
            return self._due(now_us)
        return []

    def _raised(self, life: Incarnation) -> list[Any]:
        """What was said is said anew, above all that an earlier life said."""
        self.said = max(self.said, life.start << 32)
        actions: list[Any] = []
        for key, body in self.bodies.items():
            self.said += 1
            actions.append(Disseminate(key, self.said, body, self.keep_us))
        return actions

    def _subscribed(self, event: Subscribed) -> list[Any]:
        if event.version <= self.version:
            return []
        self.version, self.topics = event.version, event.topics
        count = shard_count(len(event.topics))
        shards: list[list[str]] = [[] for _ in range(count)]
        for topic in sorted(event.topics):
            shards[topic_hash(topic)[0] % count].append(topic)
        actions: list[Any] = []
        for number, topics in enumerate(shards):
            key, body = f"{PREFIX}{number}", fill(topics, count)
            if self.bodies.get(key) != body:
                self.said += 1
                self.bodies[key] = body
                actions.append(Disseminate(key, self.said, body, self.keep_us))
        return actions + self._warnings()

    def _warnings(self) -> list[Any]:
        found: list[Any] = []
        if len(self.topics) > TOPICS_MOST:
            found.append(
                LogLine(
                    f"{len(self.topics)} topics at {self.own.site}, filters are made for {TOPICS_MOST}: "
                    "other sites send more publications here that no one subscribed to"
                )
            )
        for topic, dests in self.topics.items():
            if len(dests) > DESTS_MOST:
                found.append(
                    LogLine(
                        f"topic {topic} has {len(dests)} subscribers at {self.own.site}, at most "
                        f"{DESTS_MOST} can be reached: its publications are turned away here"
                    )
                )
        return found[:8]

    def _heard(self, now_us: int, event: GossipReceived) -> list[Any]:
        rumour = event.entry
        if not rumour.key.startswith(PREFIX) or rumour.owner == self.own:
            return []
        if not sound(rumour.key, rumour.body):
            return [LogLine(f"a rumour of {rumour.owner} about topics can't be read: {rumour.key!r:.40}")]
        if rumour.owner not in self.told and len(self.told) >= MEMBERS_MOST:
            return [
                LogLine(f"topics of {rumour.owner} are not kept: {MEMBERS_MOST} members have told theirs")
            ]
        told = self.told.setdefault(rumour.owner, Told())
        number = int(rumour.key.removeprefix(PREFIX))
        if rumour.version <= told.shards.get(number, (-1, b""))[0]:
            return []
        told.shards[number] = (rumour.version, rumour.body)
        if len(self.heard) < MEMBERS_MOST:
            self.heard.add(rumour.owner.site)
        return self._timer()

    def _member(self, now_us: int, view: MemberView) -> list[Any]:
        told = self.told.get(view.id)
        if told is None:
            return []
        gone = view.state in (State.DEAD, State.LEFT)
        told.gone_us = (now_us if told.gone_us < 0 else told.gone_us) if gone else -1
        return self._timer()

    def _timer(self) -> list[Any]:
        times = [told.gone_us for told in self.told.values() if told.gone_us >= 0]
        return [SetTimer(min(times) + self.keep_us, TIMER)] if times else []

    def _due(self, now_us: int) -> list[Any]:
        """Lets go of members that are gone for too long; a site that is then unknown is told of."""
        over = [m for m, t in self.told.items() if t.gone_us >= 0 and t.gone_us + self.keep_us <= now_us]
        for member in over:
            del self.told[member]
        lost = sorted({m.site for m in over} - {m.site for m in self.told})
        keep_s = self.keep_us // 1_000_000
        notes = [
            LogLine(f"topics of {site} are let go of: no member was there for {keep_s} s") for site in lost
        ]
        return [*notes, *self._timer()]
