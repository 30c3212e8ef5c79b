"""Actions: what the host must perform for the delivery engine, in order.

Reject and Fail are final outcomes of a message.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Start the message's next attempt (numbered from 0) and report TIMEOUT after timeout_us.

    timeout_us assumes the connection that is expected to be used; a host that knows better may take
    new_connection_timeout_us, if above 0, for a call that has to open a connection.
    """

    message: int
    endpoint: int
    timeout_us: int
    new_connection_timeout_us: int = 0
    requires_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class Reject:
    """End the message with the promise that it had no effect; its client may retry after retry_after_us."""

    message: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """End the message with no promise about its effect."""

    message: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; its outcome still comes."""

    message: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver TimerDue with this token in the first cycle after delay_us."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Check an endpoint; report HealthCheckEnded."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send data to a peer, or to all (peer None)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """Log a line for operators."""

    text: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request updates of the endpoint list from now on."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Request the whole endpoint list once."""


Action = (
    Send
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | HealthCheck
    | CloseIdleConnections
    | SendPeerMessage
    | Log
    | Subscribe
    | FetchEndpointList
)
