"""The receiving end of one origin's stream: sequence numbers, cumulative ack, advertised credit."""

from __future__ import annotations

from dataclasses import dataclass, field

from madderbeam.membership.values import MemberId, SendMessage
from madderbeam.relay.messages import MAX_BODY_BYTES, Ack, Entry, Nak


@dataclass
class ReceiveStream:
    """State for the life of one link. After a gap or a failed write nothing more is acknowledged in a
    stream: the origin finds it stalled and starts another."""

    member: MemberId
    number: int = 0
    expected: int = 1
    acked: int = 0
    done: set[int] = field(default_factory=set)  # settled beyond `acked`; the credit bounds it
    advertised: tuple[int, int] = (0, 0)
    is_broken: bool = False

    def accept(self, entry: Entry) -> bool:
        """Whether the entry is the next of this stream, or the first of a new one; any other is dropped."""
        if entry.stream > self.number:
            self.number, self.expected, self.acked = entry.stream, 1, 0
            self.done.clear()
            self.is_broken = False
        if entry.stream < self.number or entry.seq != self.expected or self.is_broken:
            return False
        self.expected += 1
        return True

    def settle(self, stream: int, seq: int) -> bool:
        """The entry is in custody or rejected. True if that advances the cumulative ack."""
        if stream != self.number or self.is_broken or seq <= self.acked:
            return False
        self.done.add(seq)
        previous = self.acked
        while self.acked + 1 in self.done:
            self.acked += 1
            self.done.discard(self.acked)
        return self.acked > previous

    def ack(self, credit_entries: int, credit_bytes: int) -> SendMessage:
        """The cumulative ack, with the credit beyond it."""
        self.advertised = (credit_entries, credit_bytes)
        return SendMessage(self.member, Ack(self.number, self.acked, credit_entries, credit_bytes))

    def nak(self, seq: int, retry_after_us: int, reason: str, try_another_relay: bool = False) -> SendMessage:
        """The rejection of one entry; the reason is cut to 200 characters."""
        return SendMessage(
            self.member, Nak(self.number, seq, retry_after_us, reason[:200], try_another_relay)
        )


def credit_share(total_entries: int, total_bytes: int, streams: int) -> tuple[int, int]:
    """The credit of one of `streams` streams: an even share, but one entry at least while any can be
    accepted."""
    if total_entries <= 0 or total_bytes <= 0:
        return 0, 0
    return max(1, total_entries // max(1, streams)), max(MAX_BODY_BYTES, total_bytes // max(1, streams))
