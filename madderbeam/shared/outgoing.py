"""The actions of one turn. What this member says to itself is handed to it in the same turn."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from madderbeam.federation.errors import FederationError
from madderbeam.membership.values import LogLine, MemberId, SendMessage, SetTimer


class Outgoing:
    """`to_self`: messages that wait for this turn's end."""

    def __init__(self, me: MemberId) -> None:
        self.me, self.now_us = me, 0
        self.to_self: deque[Any] = deque()
        self.figures: Counter[str] = Counter()
        self._actions: list[Any] = []
        self._last: list[Any] = []

    def taken(self) -> list[Any]:
        actions, self._actions, self._last = self._actions + self._last, [], []
        return actions

    def do(self, action: Any) -> None:
        self._actions.append(action)

    def last(self, *actions: Any) -> None:
        """A record and its timer behind it: if it is not written nothing else is lost."""
        self._last += actions

    def send(self, member: MemberId, message: Any) -> None:
        if member == self.me:
            self.to_self.append(message)
        else:
            self._actions.append(SendMessage(member, message))

    def timer(self, at_us: int, what: str) -> None:
        self._actions.append(SetTimer(at_us, "lease/" + what))

    def note(self, text: str, error: FederationError | None = None) -> None:
        self._actions.append(LogLine(text, error))

    def count(self, what: str) -> None:
        self.figures[what] += 1
