"""Which topics each site has subscribers of: each member gossips its site's topics in a few bounded entries.

A gossip entry holds a Bloom filter (Bloom, 1970) of the topics that hash to its shard, not their names: ten
thousand topics take 32 entries of at most 512 bytes. No topic is dropped for lack of space; an overfull
filter gives more false positives, and each costs one relayed publication that expands to no destination.
Another subscriber of a known topic changes no filter and sends nothing.
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
HEAD = 3  # bytes: format, log2 of the number of shards, number of hashes
FILTER_MOST = MAX_ENTRY_BODY_BYTES - 12
SHARD_TOPICS = 320  # per shard below MAX_SHARDS: 12 bits each, 0.3 % false positives
SHARDS_MOST = 64  # of one member
TOPICS_MOST = SHARDS_MOST * SHARD_TOPICS  # beyond it false positives grow, which is logged
MEMBERS_MOST = 4_096  # whose shards are stored


def topic_hash(topic: str) -> tuple[int, int, int]:
    """The shard hash and the two hashes of double hashing (Kirsch and Mitzenmacher, 2006)."""
    digest = hashlib.blake2b(topic.encode(), digest_size=20).digest()
    return (
        int.from_bytes(digest[:4], "big"),
        int.from_bytes(digest[4:12], "big"),
        int.from_bytes(digest[12:], "big") | 1,
    )


def shard_count(topics: int) -> int:
    """The number of shards: a power of two, so that most topics keep their shard as the number of topics
    grows."""
    count = 1
    while count * SHARD_TOPICS < topics and count < SHARDS_MOST:
        count *= 2
    return count


def fill(topics: Iterable[str], count: int) -> bytes:
    """The body of the gossip entry for one shard: a header and the Bloom filter of its topics."""
    hashes = [topic_hash(topic)[1:] for topic in topics]
    size_bytes = min(FILTER_MOST, 2 * len(hashes) + 6) if hashes else 0
    hash_count = max(1, min(11, round(size_bytes * 8 / max(1, len(hashes)) * 0.69)))
    bits = bytearray(size_bytes)
    for first, second in hashes:
        for round_number in range(hash_count):
            bit = (first + round_number * second) % (size_bytes * 8)
            bits[bit >> 3] |= 1 << (bit & 7)
    return bytes((FORM, count.bit_length() - 1, hash_count)) + bytes(bits)


def has(body: bytes, topic: str) -> bool:
    """Whether the shard with this body may contain the topic."""
    size_bits = (len(body) - HEAD) * 8
    _, first, second = topic_hash(topic)
    bits = (
        ((first + round_number * second) % size_bits for round_number in range(body[2])) if size_bits else ()
    )
    return size_bits > 0 and all(body[HEAD + (bit >> 3)] >> (bit & 7) & 1 for bit in bits)


def sound(key: str, body: bytes) -> bool:
    """Whether this is a well-formed gossip entry of a shard."""
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
    """The topics one member has gossiped: shard -> (version, body). `gone_us` is when the member died or
    left, -1 while it is alive."""

    shards: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    gone_us: int = -1

    def may_have(self, topic: str) -> bool:
        """Whether the topic may be among them; a shard that has not been received may have it."""
        if not self.shards:
            return False
        newest = max(self.shards.values())[1]
        shard = self.shards.get(topic_hash(topic)[0] % (1 << newest[1]))
        return shard is None or shard[1][1] != newest[1] or has(shard[1], topic)


class Subscriptions:
    """State machine of the topics of all sites. `keep_us` is how long a site's topics outlive its members:
    publications then wait for an unreachable site and are not dropped silently."""

    def __init__(self, own: MemberId, life: Incarnation, keep_us: int = 3_600_000_000) -> None:
        self.own, self.keep_us = own, keep_us
        self.topics: Mapping[str, Collection[int]] = {}
        self.version = 0  # of the local subscriptions
        self.said = life.start << 32  # the version of the last gossip entry
        self.bodies: dict[str, bytes] = {}  # gossip key -> the body last disseminated
        self.told: dict[MemberId, Told] = {}
        self.heard: set[str] = set()  # sites whose topics were received since the start

    def sites(self, topic: str) -> tuple[str, ...]:
        """The other sites that may have subscribers of the topic."""
        found = {m.site for m, told in self.told.items() if m.site != self.own.site and told.may_have(topic)}
        return tuple(sorted(found))

    def unheard(self, sites: Iterable[str]) -> tuple[str, ...]:
        """Those of `sites` whose topics were not received since this member's start: they may have any
        topic."""
        return tuple(sorted(set(sites) - self.heard - {self.own.site}))

    def subscribers(self, topic: str) -> Collection[int]:
        """The destinations of this site that subscribe to the topic."""
        return self.topics.get(topic, ())

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """Applies one event and returns the actions to perform, in order."""
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
        """Disseminates all entries again, with versions above those of earlier incarnations."""
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
        for index, topics in enumerate(shards):
            key, body = f"{PREFIX}{index}", fill(topics, count)
            if self.bodies.get(key) != body:
                self.said += 1
                self.bodies[key] = body
                actions.append(Disseminate(key, self.said, body, self.keep_us))
        return actions + self._warnings()

    def _warnings(self) -> list[Any]:
        warnings: list[Any] = []
        if len(self.topics) > TOPICS_MOST:
            warnings.append(
                LogLine(
                    f"{len(self.topics)} topics at {self.own.site} exceed the {TOPICS_MOST} that the Bloom "
                    "filters are sized for: other sites will send more publications without subscribers here"
                )
            )
        for topic, dests in self.topics.items():
            if len(dests) > DESTS_MOST:
                warnings.append(
                    LogLine(
                        f"topic {topic} has {len(dests)} subscribers at {self.own.site}, more than the limit "
                        f"of {DESTS_MOST}: its publications are rejected here"
                    )
                )
        return warnings[:8]

    def _heard(self, now_us: int, event: GossipReceived) -> list[Any]:
        entry = event.entry
        if not entry.key.startswith(PREFIX) or entry.owner == self.own:
            return []
        if not sound(entry.key, entry.body):
            return [LogLine(f"malformed gossip entry with topics from {entry.owner}: {entry.key!r:.40}")]
        if entry.owner not in self.told and len(self.told) >= MEMBERS_MOST:
            return [
                LogLine(f"topics of {entry.owner} are not stored: limit of {MEMBERS_MOST} members reached")
            ]
        known = self.told.setdefault(entry.owner, Told())
        shard = int(entry.key.removeprefix(PREFIX))
        if entry.version <= known.shards.get(shard, (-1, b""))[0]:
            return []
        known.shards[shard] = (entry.version, entry.body)
        if len(self.heard) < MEMBERS_MOST:
            self.heard.add(entry.owner.site)
        return self._timer()

    def _member(self, now_us: int, view: MemberView) -> list[Any]:
        known = self.told.get(view.id)
        if known is None:
            return []
        gone = view.state in (State.DEAD, State.LEFT)
        known.gone_us = (now_us if known.gone_us < 0 else known.gone_us) if gone else -1
        return self._timer()

    def _timer(self) -> list[Any]:
        times = [told.gone_us for told in self.told.values() if told.gone_us >= 0]
        return [SetTimer(min(times) + self.keep_us, TIMER)] if times else []

    def _due(self, now_us: int) -> list[Any]:
        """Removes the topics of members that are gone for too long, and logs each site that is then
        unknown."""
        expired = [
            member
            for member, known in self.told.items()
            if known.gone_us >= 0 and known.gone_us + self.keep_us <= now_us
        ]
        for member in expired:
            del self.told[member]
        unknown_sites = sorted({member.site for member in expired} - {member.site for member in self.told})
        keep_s = self.keep_us // 1_000_000
        log_lines = [
            LogLine(f"topics of {site} are removed: it had no member for {keep_s} s")
            for site in unknown_sites
        ]
        return [*log_lines, *self._timer()]
