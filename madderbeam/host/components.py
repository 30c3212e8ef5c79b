"""What may join the turn: fronts where clients come, gates and doors of admission, rooms that bring them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from madderbeam.journal.pending_message import PendingMessage
    from madderbeam.quota.gate import Verdict
    from madderbeam.transport.clients import Put
    from madderbeam.transport.reply_handle import ReplyHandle


class ClientListener(Protocol):
    """A server that hands in what its clients bring, in a protocol of its own."""

    @property
    def clients(self) -> Mapping[Any, Any]:
        """Their connections."""
        ...

    @property
    def leaving(self) -> Mapping[Any, Any]:
        """Those whose last answer is sent, until their clients end them."""
        ...

    @property
    def over(self) -> bool:
        """Nobody is connected any more, and nobody can be."""
        ...

    def last_call(self) -> None:
        """Take up those that have connected, then listen no more."""
        ...

    def look(self) -> bool:
        """Read all that has come by now; whether anything had."""
        ...

    def let_go(self) -> None:
        """Close those between requests: one with a request unanswered would lose it."""
        ...

    def end(self) -> None:
        """The process ends: send what is owed on them and end the sending; `close` comes a moment later."""
        ...

    def close(self) -> None: ...


class AdmissionCheck(Protocol):
    """Asked for each message before anything is journaled; the decision module comes after all gates."""

    def ask(self, tenant: int, cls: int, size: int) -> Verdict:
        """Whether a message of so many bytes passes; it is counted if it does."""
        ...


class Component:
    """A part that is built where the configuration has it, and that the turn does not know by name. What a
    room does not need does nothing."""

    @property
    def fronts(self) -> Sequence[ClientListener]:
        return ()

    def open(self) -> None:
        """All that was held is restored: begin to listen. OSError if that can't be."""

    def look(self) -> None:
        """SIGHUP: what it reads from files may have changed."""

    def leave(self) -> None:
        """A planned end has begun: the process ends in some seconds."""

    def close(self) -> None:
        """Let go of everything at once."""

    def figures(self) -> dict[str, int]:
        return {}


class MessageInterceptor(Protocol):
    """Takes charge of messages that are not for this courier's decision module now, and answers them."""

    def __call__(self, put: Put, m: PendingMessage, reply: ReplyHandle) -> bool:
        """Whether it did. Asked behind the gates, before anything is journaled."""
        ...


class CompletionListener(Protocol):
    """Is told the ends of messages that no client of this courier's handed in."""

    def __call__(self, m: PendingMessage, status: str) -> bool:
        """Whether the message is one of its own. The end is recorded; `status`: "" if it was delivered, else
        that of its notice. It calls `Ends.over` once it has kept the end."""
        ...
