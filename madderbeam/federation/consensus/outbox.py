"""Gathers the actions of one turn of agreement, and brings what a member says to itself back to it.

What is said to oneself comes back by a timer, so that it counts only once the records before it are on disk.
"""

from __future__ import annotations

from typing import Any

from madderbeam.membership.values import LogLine, MemberId, Persist, SendMessage, SetTimer

PREFIX = "agree/"  # of all tokens of agreement's timers
OWN_MOST = 256


class Outbox:
    """`now_us` is the time of the turn."""

    def __init__(self, me: MemberId) -> None:
        self.me = me
        self.now_us = 0
        self.actions: list[Any] = []
        self._own: dict[str, Any] = {}
        self._count = 0

    def taken(self) -> list[Any]:
        """The actions of this turn, in their order."""
        actions, self.actions = self.actions, []
        return actions

    def send(self, member: MemberId, message: Any) -> None:
        if member != self.me:
            self.actions.append(SendMessage(member, message))
            return
        while len(self._own) >= OWN_MOST:
            del self._own[next(iter(self._own))]
        self._count += 1
        token = f"self/{self._count}"
        self._own[token] = message
        self.timer(0, token)

    def own(self, token: str) -> Any:
        """What this member said to itself under the token; None if it was lost."""
        return self._own.pop(token, None)

    def lost(self) -> None:
        """A record was not written: what stood behind it was not said."""
        self._own.clear()

    def persist(self, kind: str, key: str, value: Any) -> None:
        self.actions.append(Persist(kind, key, value))

    def timer(self, after_us: int, token: str) -> None:
        self.actions.append(SetTimer(self.now_us + after_us, PREFIX + token))

    def note(self, text: str, error: Exception | None = None) -> None:
        self.actions.append(LogLine(text, error))

    def give(self, action: Any) -> None:
        self.actions.append(action)
