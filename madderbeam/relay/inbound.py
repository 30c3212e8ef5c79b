"""The downstream end of one origin's stream: sequence, cumulative ack, credit that was told."""

from __future__ import annotations

from dataclasses import dataclass, field

from madderbeam.membership.values import MemberId, SendMessage
from madderbeam.relay.messages import BODY_MOST, Ack, Entry, Nak


@dataclass
class Inbound:
    """While one link lasts. After a gap, or a word that was not written, nothing more is acked in a stream:
    its origin finds it still and begins another."""

    member: MemberId
    number: int = 0
    expected: int = 1
    acked: int = 0
    done: set[int] = field(default_factory=set)  # settled beyond `acked`: bounded by the credit
    told: tuple[int, int] = (0, 0)
    broken: bool = False

    def accept(self, entry: Entry) -> bool:
        """The next one of this stream, or the first of a new one."""
        if entry.stream > self.number:
            self.number, self.expected, self.acked = entry.stream, 1, 0
            self.done.clear()
            self.broken = False
        if entry.stream < self.number or entry.seq != self.expected or self.broken:
            return False
        self.expected += 1
        return True

    def settle(self, stream: int, seq: int) -> bool:
        """In custody, or turned away. True: the cumulative ack has moved."""
        if stream != self.number or self.broken or seq <= self.acked:
            return False
        self.done.add(seq)
        before = self.acked
        while self.acked + 1 in self.done:
            self.acked += 1
            self.done.discard(self.acked)
        return self.acked > before

    def ack(self, entries: int, size: int) -> SendMessage:
        """With the credit beyond it."""
        self.told = (entries, size)
        return SendMessage(self.member, Ack(self.number, self.acked, entries, size))

    def nak(self, seq: int, after_us: int, why: str, keep_out: bool = False) -> SendMessage:
        return SendMessage(self.member, Nak(self.number, seq, after_us, why[:200], keep_out))


def share(entries: int, size: int, streams: int) -> tuple[int, int]:
    """What one of so many streams may send: an even part, one entry at least while any can be taken on."""
    if entries <= 0 or size <= 0:
        return 0, 0
    return max(1, entries // max(1, streams)), max(BODY_MOST, size // max(1, streams))
