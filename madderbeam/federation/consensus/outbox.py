"""Collects the actions of one event, and delivers a member's messages to itself.

A message to the own member comes back through a timer, so that it takes effect only once the records before
it are on disk.
"""

from __future__ import annotations

from typing import Any

from madderbeam.membership.values import LogLine, MemberId, Persist, SendMessage, SetTimer

PREFIX = "agree/"  # of all timer tokens of the agreement
MAX_OWN_MESSAGES = 256


class Outbox:
    """The actions of the current event. `now_us` is the time of the event."""

    def __init__(self, local_member: MemberId) -> None:
        self.local_member = local_member
        self.now_us = 0
        self.actions: list[Any] = []
        self._messages_to_self: dict[str, Any] = {}
        self._count_to_self = 0

    def take_actions(self) -> list[Any]:
        """The actions collected since the last call, in their order."""
        actions, self.actions = self.actions, []
        return actions

    def send(self, member: MemberId, message: Any) -> None:
        """Send a message to a member, which may be this one."""
        if member != self.local_member:
            self.actions.append(SendMessage(member, message))
            return
        while len(self._messages_to_self) >= MAX_OWN_MESSAGES:
            del self._messages_to_self[next(iter(self._messages_to_self))]
        self._count_to_self += 1
        token = f"self/{self._count_to_self}"
        self._messages_to_self[token] = message
        self.timer(0, token)

    def take_message_to_self(self, token: str) -> Any:
        """The message to this member itself that the timer token stands for; None if it was dropped."""
        return self._messages_to_self.pop(token, None)

    def drop_messages_to_self(self) -> None:
        """Drop all messages to this member itself: a record before them was not written."""
        self._messages_to_self.clear()

    def persist(self, kind: str, key: str, value: Any) -> None:
        """Write a record; None removes it."""
        self.actions.append(Persist(kind, key, value))

    def timer(self, after_us: int, token: str) -> None:
        """Set a timer relative to the time of the event; the token gets the agreement's prefix."""
        self.actions.append(SetTimer(self.now_us + after_us, PREFIX + token))

    def log(self, text: str, error: Exception | None = None) -> None:
        """Write a line to the log; `error` if an operator can do something about it."""
        self.actions.append(LogLine(text, error))

    def add(self, action: Any) -> None:
        """Append any other action."""
        self.actions.append(action)
