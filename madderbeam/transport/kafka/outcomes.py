"""What each error code of a Produce says of the message: one table, also for the operators' page.

From the protocol guide's error codes; "never ran" only where the specification has the broker refuse ahead of
the log. What is not named here may have run. A wait in throttle_time_ms binds with every code.
"""

from __future__ import annotations

from enum import Enum


class Fate(Enum):
    """What became of the message. `status` is the answer of PROTOCOL that means the same."""

    DELIVERED = "delivered", 200
    NEVER = "never ran", 504  # not sent: it may go again, here or elsewhere
    MOVED = "never ran, the leader is elsewhere", 504  # and the connection's metadata is old
    FULL = "full, with a wait", 429
    MAY = "may have run", 500

    @property
    def text(self) -> str:
        return self.value[0]

    @property
    def status(self) -> int:
        return self.value[1]


FATES: dict[int, tuple[str, Fate]] = {
    -1: ("UNKNOWN_SERVER_ERROR", Fate.MAY),
    0: ("NONE", Fate.DELIVERED),
    2: ("CORRUPT_MESSAGE", Fate.NEVER),
    3: ("UNKNOWN_TOPIC_OR_PARTITION", Fate.MOVED),
    5: ("LEADER_NOT_AVAILABLE", Fate.MOVED),
    6: ("NOT_LEADER_OR_FOLLOWER", Fate.MOVED),
    7: ("REQUEST_TIMED_OUT", Fate.MAY),
    10: ("MESSAGE_TOO_LARGE", Fate.NEVER),
    13: ("NETWORK_EXCEPTION", Fate.MAY),
    17: ("INVALID_TOPIC_EXCEPTION", Fate.NEVER),
    18: ("RECORD_LIST_TOO_LARGE", Fate.NEVER),
    19: ("NOT_ENOUGH_REPLICAS", Fate.NEVER),
    20: ("NOT_ENOUGH_REPLICAS_AFTER_APPEND", Fate.MAY),
    21: ("INVALID_REQUIRED_ACKS", Fate.NEVER),
    29: ("TOPIC_AUTHORIZATION_FAILED", Fate.NEVER),
    31: ("CLUSTER_AUTHORIZATION_FAILED", Fate.NEVER),
    35: ("UNSUPPORTED_VERSION", Fate.NEVER),
    42: ("INVALID_REQUEST", Fate.NEVER),
    43: ("UNSUPPORTED_FOR_MESSAGE_FORMAT", Fate.NEVER),
    44: ("POLICY_VIOLATION", Fate.NEVER),
    56: ("KAFKA_STORAGE_ERROR", Fate.MAY),
    76: ("UNSUPPORTED_COMPRESSION_TYPE", Fate.NEVER),
    87: ("INVALID_RECORD", Fate.NEVER),
    89: ("THROTTLING_QUOTA_EXCEEDED", Fate.FULL),
}


def fate(code: int) -> Fate:
    return FATES[code][1] if code in FATES else Fate.MAY


def page() -> str:
    """The table of the operators' page."""
    rows = [f"| {code} | `{name}` | {f.text} |" for code, (name, f) in FATES.items()]
    return (
        "\n".join(
            ["| code | name | the message |", "| --- | --- | --- |", *rows, "| any other | | may have run |"]
        )
        + "\n"
    )
