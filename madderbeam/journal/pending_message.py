"""The life cycle of a message as the journal records it.

    state     entered by                   what a restart does with it
    taken     "take" (no attempt)          goes to the delivery engine; none of its attempts was executed
    trying    "try"                        possibly executed since then: a non-idempotent message is ended,
                                           one with a key is retried within the key's window, and an
                                           idempotent one is retried
    taken     "miss"                       the newest attempt was never executed: the state before it
    ended     "final"                      its notice is outstanding, and is sent
    over      "over"                       nothing; its id is known for ID_RETENTION_S past its deadline

A "take" record holds all fields, so that a later copy of it holds the whole state: compaction writes such
copies. A "known" record holds the ids of completed messages and the keys of possibly executed attempts, which
are remembered longer than their messages. A "miss" record also holds the key's first attempt that still
counts, if other messages came with the same key.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

MAX_OVERHEAD_BYTES = 104  # of a whole record besides its body, id and key


@dataclass(slots=True)
class PendingMessage:
    """A message whose outcome or final notice is outstanding. Times are wall seconds."""

    number: int
    id: str
    class_index: int
    tenant: int
    dest: int
    key: str
    deadline_s: float
    resubmitted: bool
    body: bytes
    order_key: int = 0
    attempts: int = 0
    latest_attempt_at: float = (
        0.0  # start of the newest attempt, 0 once it is known that it was never executed
    )
    prior_execution_at: float = 0.0  # start of the first attempt that was possibly executed
    status: str = ""  # of its final notice, if that is outstanding
    retry_after_ms: int = 0
    is_relayed: bool = False  # accepted from another courier: no client of this one waits for its outcome
    size: int = field(init=False, compare=False, repr=False)  # upper bound in bytes of its whole record

    def __post_init__(self) -> None:
        self.size = len(self.body) + len(self.id) + len(self.key) + MAX_OVERHEAD_BYTES

    @property
    def possibly_executed_at(self) -> float:
        """Start of the first attempt that was possibly executed, including the newest; 0 if there is none."""
        return self.prior_execution_at or self.latest_attempt_at

    @property
    def state(self) -> str:
        """The state: taken, trying or ended. A completed message is no longer pending."""
        return "ended" if self.status else "trying" if self.possibly_executed_at else "taken"

    def record(self) -> list[Any]:
        """Its "take" record. The fields are written out: a generic lookup is a third of the record's cost."""
        fields = [
            "take",
            self.number,
            self.id,
            self.class_index,
            self.tenant,
            self.dest,
            self.key,
            self.deadline_s,
            self.resubmitted,
            self.body,
            self.order_key,
            self.attempts,
            self.latest_attempt_at,
            self.prior_execution_at,
            self.status,
            self.retry_after_ms,
        ]
        if self.is_relayed:
            fields.append(True)
        return fields
