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
from madderbeam.relay.messages import MAX_DESTINATIONS
from madderbeam.relay.values import SubscriptionsChanged

TIMER = "subscriptions"
PREFIX = "topics/"
FORMAT = 1
HEADER_BYTES = 3  # bytes: format, log2 of the number of shards, number of hashes
MAX_FILTER_BYTES = MAX_ENTRY_BODY_BYTES - 12
SHARD_TOPICS = 320  # per shard below MAX_SHARDS: 12 bits each, 0.3 % false positives
MAX_SHARDS = 64  # of one member
MAX_TOPICS = MAX_SHARDS * SHARD_TOPICS  # beyond it false positives grow, which is logged
MAX_MEMBERS = 4_096  # whose shards are stored


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
    while count * SHARD_TOPICS < topics and count < MAX_SHARDS:
        count *= 2
    return count


def encode_shard(topics: Iterable[str], count: int) -> bytes:
    """The body of the gossip entry for one shard: a header and the Bloom filter of its topics."""
    hashes = [topic_hash(topic)[1:] for topic in topics]
    size_bytes = min(MAX_FILTER_BYTES, 2 * len(hashes) + 6) if hashes else 0
    hash_count = max(1, min(11, round(size_bytes * 8 / max(1, len(hashes)) * 0.69)))
    bits = bytearray(size_bytes)
    for first, second in hashes:
        for round_number in range(hash_count):
            bit = (first + round_number * second) % (size_bytes * 8)
            bits[bit >> 3] |= 1 << (bit & 7)
    return bytes((FORMAT, count.bit_length() - 1, hash_count)) + bytes(bits)


def may_contain(body: bytes, topic: str) -> bool:
    """Whether the shard with this body may contain the topic."""
    size_bits = (len(body) - HEADER_BYTES) * 8
    _, first, second = topic_hash(topic)
    bits = (
        ((first + round_number * second) % size_bits for round_number in range(body[2])) if size_bits else ()
    )
    return size_bits > 0 and all(body[HEADER_BYTES + (bit >> 3)] >> (bit & 7) & 1 for bit in bits)


def is_well_formed(key: str, body: bytes) -> bool:
    """Whether this is a well-formed gossip entry of a shard."""
    index = key.removeprefix(PREFIX)
    return (
        HEADER_BYTES <= len(body) <= MAX_ENTRY_BODY_BYTES
        and body[0] == FORMAT
        and 1 << body[1] <= MAX_SHARDS
        and 1 <= body[2] <= 16
        and index.isdecimal()
        and int(index) < 1 << body[1]
    )


@dataclass
class MemberTopics:
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
        return shard is None or shard[1][1] != newest[1] or may_contain(shard[1], topic)


class Subscriptions:
    """State machine of the topics of all sites. `keep_us` is how long a site's topics outlive its members:
    publications then wait for an unreachable site and are not dropped silently."""

    def __init__(self, own: MemberId, life: Incarnation, keep_us: int = 3_600_000_000) -> None:
        self.local_member, self.keep_us = own, keep_us
        self.topics: Mapping[str, Collection[int]] = {}
        self.version = 0  # of the local subscriptions
        self.entry_version = life.start << 32  # the version of the last gossip entry
        self.bodies: dict[str, bytes] = {}  # gossip key -> the body last disseminated
        self.topics_by_member: dict[MemberId, MemberTopics] = {}
        self.known_sites: set[str] = set()  # sites whose topics were received since the start

    def sites(self, topic: str) -> tuple[str, ...]:
        """The other sites that may have subscribers of the topic."""
        found = {
            m.site
            for m, topics in self.topics_by_member.items()
            if m.site != self.local_member.site and topics.may_have(topic)
        }
        return tuple(sorted(found))

    def unknown_sites(self, sites: Iterable[str]) -> tuple[str, ...]:
        """Those of `sites` whose topics were not received since this member's start: they may have any
        topic."""
        return tuple(sorted(set(sites) - self.known_sites - {self.local_member.site}))

    def subscribers(self, topic: str) -> Collection[int]:
        """The destinations of this site that subscribe to the topic."""
        return self.topics.get(topic, ())

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """Applies one event and returns the actions to perform, in order."""
        if isinstance(event, SubscriptionsChanged):
            return self._subscribed(event)
        if isinstance(event, GossipReceived):
            return self._gossip_received(now_us, event)
        if isinstance(event, MemberChanged):
            return self._member(now_us, event.view)
        if isinstance(event, IncarnationRaised):
            return self._raised(event.incarnation)
        if isinstance(event, TimerDue) and event.token == TIMER:
            return self._due(now_us)
        return []

    def _raised(self, life: Incarnation) -> list[Any]:
        """Disseminates all entries again, with versions above those of earlier incarnations."""
        self.entry_version = max(self.entry_version, life.start << 32)
        actions: list[Any] = []
        for key, body in self.bodies.items():
            self.entry_version += 1
            actions.append(Disseminate(key, self.entry_version, body, self.keep_us))
        return actions

    def _subscribed(self, event: SubscriptionsChanged) -> list[Any]:
        if event.version <= self.version:
            return []
        self.version, self.topics = event.version, event.topics
        count = shard_count(len(event.topics))
        shards: list[list[str]] = [[] for _ in range(count)]
        for topic in sorted(event.topics):
            shards[topic_hash(topic)[0] % count].append(topic)
        actions: list[Any] = []
        for index, topics in enumerate(shards):
            key, body = f"{PREFIX}{index}", encode_shard(topics, count)
            if self.bodies.get(key) != body:
                self.entry_version += 1
                self.bodies[key] = body
                actions.append(Disseminate(key, self.entry_version, body, self.keep_us))
        return actions + self._warnings()

    def _warnings(self) -> list[Any]:
        warnings: list[Any] = []
        if len(self.topics) > MAX_TOPICS:
            warnings.append(
                LogLine(
                    f"{len(self.topics)} topics at {self.local_member.site} exceed the {MAX_TOPICS} that the "
                    "Bloom filters are sized for: other sites will send publications without subscribers here"
                )
            )
        for topic, dests in self.topics.items():
            if len(dests) > MAX_DESTINATIONS:
                warnings.append(
                    LogLine(
                        f"topic {topic} has {len(dests)} subscribers at {self.local_member.site}, more than "
                        f"the limit of {MAX_DESTINATIONS}: its publications are rejected here"
                    )
                )
        return warnings[:8]

    def _gossip_received(self, now_us: int, event: GossipReceived) -> list[Any]:
        entry = event.entry
        if not entry.key.startswith(PREFIX) or entry.owner == self.local_member:
            return []
        if not is_well_formed(entry.key, entry.body):
            return [LogLine(f"malformed gossip entry with topics from {entry.owner}: {entry.key!r:.40}")]
        if entry.owner not in self.topics_by_member and len(self.topics_by_member) >= MAX_MEMBERS:
            return [
                LogLine(f"topics of {entry.owner} are not stored: limit of {MAX_MEMBERS} members reached")
            ]
        known = self.topics_by_member.setdefault(entry.owner, MemberTopics())
        shard = int(entry.key.removeprefix(PREFIX))
        if entry.version <= known.shards.get(shard, (-1, b""))[0]:
            return []
        known.shards[shard] = (entry.version, entry.body)
        if len(self.known_sites) < MAX_MEMBERS:
            self.known_sites.add(entry.owner.site)
        return self._timer()

    def _member(self, now_us: int, view: MemberView) -> list[Any]:
        known = self.topics_by_member.get(view.id)
        if known is None:
            return []
        gone = view.state in (State.DEAD, State.LEFT)
        known.gone_us = (now_us if known.gone_us < 0 else known.gone_us) if gone else -1
        return self._timer()

    def _timer(self) -> list[Any]:
        times = [known.gone_us for known in self.topics_by_member.values() if known.gone_us >= 0]
        return [SetTimer(min(times) + self.keep_us, TIMER)] if times else []

    def _due(self, now_us: int) -> list[Any]:
        """Removes the topics of members that are gone for too long, and logs each site that is then
        unknown."""
        expired = [
            member
            for member, known in self.topics_by_member.items()
            if known.gone_us >= 0 and known.gone_us + self.keep_us <= now_us
        ]
        for member in expired:
            del self.topics_by_member[member]
        unknown_sites = sorted(
            {member.site for member in expired} - {member.site for member in self.topics_by_member}
        )
        keep_s = self.keep_us // 1_000_000
        log_lines = [
            LogLine(f"topics of {site} are removed: it had no member for {keep_s} s")
            for site in unknown_sites
        ]
        return [*log_lines, *self._timer()]
