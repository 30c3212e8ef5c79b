"""The actions of one event. Messages to this member itself are handled within the same event."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any

from madderbeam.federation.errors import FederationError
from madderbeam.membership.values import LogLine, MemberId, SendMessage, SetTimer


class OutgoingActions:
    """Collects actions. `to_self`: messages to this member that wait for the end of the event."""

    def __init__(self, own_id: MemberId) -> None:
        self.own_id, self.now_us = own_id, 0
        self.to_self: deque[Any] = deque()
        self.counters: Counter[str] = Counter()
        self._actions: list[Any] = []
        self._last: list[Any] = []

    def take_all(self) -> list[Any]:
        """The actions collected so far, which are removed."""
        actions, self._actions, self._last = self._actions + self._last, [], []
        return actions

    def add(self, action: Any) -> None:
        """Add an action."""
        self._actions.append(action)

    def add_last(self, *actions: Any) -> None:
        """Add a record and its timer behind all others, so that nothing else is lost if the write fails."""
        self._last += actions

    def send(self, member: MemberId, message: Any) -> None:
        """Send a message to a member, which may be this one."""
        if member == self.own_id:
            self.to_self.append(message)
        else:
            self._actions.append(SendMessage(member, message))

    def timer(self, at_us: int, name: str) -> None:
        """Set the lease timer of this name."""
        self._actions.append(SetTimer(at_us, "lease/" + name))

    def log(self, message: str, error: FederationError | None = None) -> None:
        """Log a line."""
        self._actions.append(LogLine(message, error))

    def count(self, counter: str) -> None:
        """Increment a counter."""
        self.counters[counter] += 1
