"""Idempotent producers: which sequence a batch must have, and which batches were accepted. Pure and bounded.

KIP-98: within one producer id and epoch each batch's sequence follows that of the batch before on its
partition. A repeat of one of the last five batches is answered as it was, and a gap is an error. A batch is
called a duplicate only if all of it was accepted: a producer takes that answer for an acknowledgement.

What is unknown here (behind a restart, or evicted) begins at the first batch that comes: ids of records
derive from their sequences, so that the journal recognises those that were accepted before.
"""

from __future__ import annotations

import secrets
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from madderbeam.transport.kafka.records import Batch
from madderbeam.transport.kafka.schemas import Code

MAX_PARTITION_STATES = 1000  # the least recently used is evicted
REMEMBERED_BATCHES = 5  # a Kafka client has at most so many in flight
SEQUENCE_MODULUS = 1 << 31  # sequences begin anew after 2147483647
MAX_ACCEPTED_RANGE = SEQUENCE_MODULUS // 4  # longer ones could not be told from what follows
PRODUCER_ID_BITS = 63  # an int64 that is never negative
REFUSED_BATCH_RETURN_S = 10.0  # a refused batch comes again within this, behind its throttle time
# A refusal: nothing was written, and every client comes again by itself. THROTTLING_QUOTA_EXCEEDED would say
# it better, but clients give a produce up on it; the time to come back goes into throttle_time_ms.
REFUSED = Code.NOT_ENOUGH_REPLICAS


def new_producer_id() -> int:
    """Return an id that no other producer has, whichever courier or process gave it.

    Idempotency keys derive from it, and couriers share partners.
    """
    return secrets.randbits(PRODUCER_ID_BITS)


def sequence_distance(start: int, end: int) -> int:
    """Return how far `end` lies behind `start`, negative if it lies before; sequences wrap."""
    half = SEQUENCE_MODULUS // 2
    return (end - start + half) % SEQUENCE_MODULUS - half


@dataclass(frozen=True, slots=True)
class Verdict:
    """What becomes of a batch by its sequence.

    `is_new`: it is to be handed in. Otherwise it is answered with `code` and `offset` (-1: none).
    """

    is_new: bool
    code: int = Code.NONE
    offset: int = -1


NEW_BATCH = Verdict(True)
DUPLICATE = Verdict(False, Code.DUPLICATE_SEQUENCE_NUMBER)
OUT_OF_ORDER = Verdict(False, Code.OUT_OF_ORDER_SEQUENCE_NUMBER)
STALE_EPOCH = Verdict(False, Code.INVALID_PRODUCER_EPOCH)
BEHIND_REFUSED_BATCH = Verdict(False, REFUSED)


@dataclass(frozen=True, slots=True)
class AcceptedBatch:
    """One of the last batches that were accepted whole."""

    sequence: int
    record_count: int
    offset: int


@dataclass
class PartitionState:
    """One producer on one partition, within one epoch.

    The sequences from `first_sequence` up to `next_sequence` were accepted, all of them. A batch behind a
    refused one is refused too until `refused_until_s`. `is_closed`: a batch failed of which records may
    have been accepted, so that its producer must go on with another epoch or id.
    """

    epoch: int
    first_sequence: int
    next_sequence: int
    refused_until_s: float = 0.0
    is_closed: bool = False
    accepted: deque[AcceptedBatch] = field(default_factory=lambda: deque(maxlen=REMEMBERED_BATCHES))

    def check(self, batch: Batch, now_s: float) -> Verdict:
        """Judge a batch of this epoch by its sequence."""
        for known in self.accepted:
            if known.sequence == batch.sequence and known.record_count == len(batch.records):
                return Verdict(False, Code.NONE, known.offset)
        if self.is_closed:
            return OUT_OF_ORDER
        ahead = sequence_distance(self.next_sequence, batch.sequence)
        if ahead > 0:
            return BEHIND_REFUSED_BATCH if now_s < self.refused_until_s else OUT_OF_ORDER
        if ahead == 0:
            return NEW_BATCH
        begins_accepted = sequence_distance(self.first_sequence, batch.sequence) >= 0
        ends_accepted = ahead + len(batch.records) <= 0
        return DUPLICATE if begins_accepted and ends_accepted else OUT_OF_ORDER

    def accept(self, batch: Batch, offset: int) -> None:
        """Go on behind a batch that was accepted whole, unless another connection has done so."""
        if batch.sequence != self.next_sequence:
            return
        self.next_sequence = (batch.sequence + len(batch.records)) % SEQUENCE_MODULUS
        self.refused_until_s = 0.0
        self.accepted.append(AcceptedBatch(batch.sequence, len(batch.records), offset))
        if sequence_distance(self.first_sequence, self.next_sequence) > MAX_ACCEPTED_RANGE:
            self.first_sequence = self.accepted[0].sequence


class Producers:
    """The states of all producers, by producer id, topic and partition."""

    def __init__(self) -> None:
        self.states: OrderedDict[tuple[int, str, int], PartitionState] = OrderedDict()

    def check(self, topic_name: str, partition: int, batch: Batch, now_s: float) -> Verdict:
        """Judge a batch by its producer, epoch and sequence, ahead of handing it in."""
        if batch.producer_id < 0:
            return NEW_BATCH
        state = self.states.get((batch.producer_id, topic_name, partition))
        if state is None or batch.epoch > state.epoch:
            return NEW_BATCH
        if batch.epoch < state.epoch:
            return STALE_EPOCH
        return state.check(batch, now_s)

    def accepted(self, topic_name: str, partition: int, batch: Batch, offset: int) -> None:
        """All records of the batch were accepted."""
        if state := self._state(topic_name, partition, batch):
            state.accept(batch, offset)

    def refused(self, topic_name: str, partition: int, batch: Batch, return_at_s: float) -> None:
        """The batch was refused, and may come again from `return_at_s` on: what follows it waits for it."""
        if state := self._state(topic_name, partition, batch):
            state.refused_until_s = return_at_s + REFUSED_BATCH_RETURN_S

    def failed(self, topic_name: str, partition: int, batch: Batch, sequences_used: bool) -> None:
        """The batch failed for good: its producer may go on with another one of the same sequence.

        `sequences_used`: records may have been accepted under ids of these sequences.
        """
        if state := self._state(topic_name, partition, batch):
            state.is_closed = state.is_closed or sequences_used

    def _state(self, topic_name: str, partition: int, batch: Batch) -> PartitionState | None:
        """Return the state that a batch belongs to, a new one for a new epoch; None without a producer."""
        if batch.producer_id < 0:
            return None
        key = (batch.producer_id, topic_name, partition)
        state = self.states.get(key)
        if state is None or state.epoch < batch.epoch:
            state = self.states[key] = PartitionState(batch.epoch, batch.sequence, batch.sequence)
        self.states.move_to_end(key)
        if len(self.states) > MAX_PARTITION_STATES:
            self.states.popitem(last=False)
        return state if state.epoch == batch.epoch else None
