"""Interfaces of client listeners, admission checks, optional components and their callbacks."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from madderbeam.journal.pending_message import PendingMessage
    from madderbeam.quota.admission import QuotaVerdict
    from madderbeam.transport.put_request import Put
    from madderbeam.transport.reply_handle import ReplyHandle


class ClientListener(Protocol):
    """A server that submits its clients' messages, in a protocol of its own."""

    @property
    def clients(self) -> Mapping[Any, Any]:
        """The open client connections."""
        ...

    @property
    def leaving(self) -> Mapping[Any, Any]:
        """Connections whose last reply is sent, until their clients close them."""
        ...

    @property
    def over(self) -> bool:
        """Whether no client is connected and none can connect."""
        ...

    def last_call(self) -> None:
        """Accept the connections of the backlog, then stop accepting."""
        ...

    def look(self) -> bool:
        """Read all input that has arrived; return whether there was any."""
        ...

    def let_go(self) -> None:
        """Close idle connections: closing one with an unanswered request would lose the request."""
        ...

    def end(self) -> None:
        """Send the pending replies and shut down the sending side; `close` follows a moment later."""
        ...

    def close(self) -> None:
        """Close all connections at once."""
        ...


class AdmissionCheck(Protocol):
    """Checks each message before it is journaled; the engine gets only messages that pass all checks."""

    def check(self, tenant: int, cls: int, size: int) -> QuotaVerdict:
        """Whether a message of `size` bytes passes; a message that passes is counted."""
        ...


class Component:
    """An optional part of a courier, created if it is configured; every hook does nothing by default."""

    @property
    def listeners(self) -> Sequence[ClientListener]:
        """The client listeners of this component."""
        return ()

    def open(self) -> None:
        """Begin to listen; all pending messages are restored. OSError if that fails."""

    def reload_files(self) -> None:
        """Handle SIGHUP: the files that this component reads may have changed."""

    def begin_shutdown(self) -> None:
        """Prepare for a planned shutdown: the process exits within seconds."""

    def close(self) -> None:
        """Release all resources at once."""

    def metrics(self) -> dict[str, int]:
        """Return this component's metrics by name."""
        return {}


class MessageInterceptor(Protocol):
    """Takes over messages that are not for this courier's engine, and replies to their clients."""

    def __call__(self, put: Put, m: PendingMessage, reply: ReplyHandle) -> bool:
        """Whether it takes the message over. Called after the admission checks, before journaling."""
        ...


class CompletionListener(Protocol):
    """Receives the outcomes of messages that no client of this courier submitted."""

    def __call__(self, m: PendingMessage, status: str) -> bool:
        """Whether the message belongs to this listener, which then reports its outcome.

        The outcome is recorded. `status` is "" if the message was delivered, else that of its notice. The
        listener calls `Completions.outcomes_stored` once it has stored the outcome.
        """
        ...
