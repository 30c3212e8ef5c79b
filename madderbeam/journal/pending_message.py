"""A message's life as the journal tells it.

    state     entered by                      a restart makes of it
    taken     "take" (tries 0)                goes to the decision module, none of its attempts ran
    trying    "try"                           may have run since then: unsafe ends, keyed goes in its window,
                                              safe goes again
    taken     "miss"                          the newest attempt never ran: as before it
    ended     "final"                         its notice is owed, and sent
    over      "over"                          nothing; its id is known until OVER_S past its time

"take" holds all fields, so that a copy of it at any time tells the whole state: that is what compaction
writes. "known" holds ids of messages that are over and keys that may have run, which outlast their message.
A "miss" tells the key's first attempt as well where other messages came with it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

EACH = 104  # bytes that a whole record takes beside its body, id and key, at most


@dataclass(slots=True)
class PendingMessage:
    """A message that the courier owes something: its end, or a notice of it. Times are wall seconds."""

    number: int
    id: str
    cls: int
    tenant: int
    dest: int
    key: str
    until: float
    resubmitted: bool
    body: bytes
    order: int = 0
    tries: int = 0
    trying_at: float = 0.0  # start of the newest attempt, 0 once it has proved that it never ran
    ran_at: float = 0.0  # start of the first attempt that may have run
    status: str = ""  # of its final notice, which is owed
    again_ms: int = 0
    relayed: bool = False  # another courier's: no client of this one waits for its end
    size: int = field(init=False, compare=False, repr=False)  # bytes of its whole record, at most

    def __post_init__(self) -> None:
        self.size = len(self.body) + len(self.id) + len(self.key) + EACH

    @property
    def may_have_run_at(self) -> float:
        return self.ran_at or self.trying_at

    @property
    def state(self) -> str:
        """taken, trying or ended; one that is over is not held."""
        return "ended" if self.status else "trying" if self.may_have_run_at else "taken"

    def record(self) -> list[Any]:
        """Its fields in their order. Written out: looking them up for each message is a third of its cost."""
        fields = [
            "take",
            self.number,
            self.id,
            self.cls,
            self.tenant,
            self.dest,
            self.key,
            self.until,
            self.resubmitted,
            self.body,
            self.order,
            self.tries,
            self.trying_at,
            self.ran_at,
            self.status,
            self.again_ms,
        ]
        if self.relayed:
            fields.append(True)
        return fields
