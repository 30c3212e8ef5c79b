"""What a front is told of a message that it has handed in. Each front writes it in its own protocol."""

from __future__ import annotations

from typing import Protocol


class ReplyHandle(Protocol):
    """The place of one answer; the first that is told counts."""

    @property
    def wanted(self) -> bool:
        """Whether anybody still waits for it."""

    def taken(self) -> None:
        """The courier owes the message its end from now on."""

    def busy(self, wait_us: int) -> None:
        """Refused: handing it in again is harmless, after so long if that is above 0."""

    def failed(self, why: str = "failed") -> None:
        """No promise about its effect."""
