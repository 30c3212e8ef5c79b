"""The federation's state machine: agreement and switchover; agreed tables pass from one to the other."""

from __future__ import annotations

from typing import Any, Protocol

from madderbeam.federation.consensus.agreement import Agreement
from madderbeam.federation.consensus.messages import TAG_BY_CLASS
from madderbeam.federation.consensus.outbox import PREFIX
from madderbeam.federation.values import (
    FinishProposal,
    RollbackAccepted,
    TableAgreed,
    TableChecked,
    TableProposed,
)
from madderbeam.membership.values import MessageReceived, TimerDue


class SwitchoverMachine(Protocol):
    """The part that switches to agreed tables and releases destinations."""

    def start(self, now_us: int) -> list[Any]:
        """The first actions of the process; called once."""

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """The actions that follow from this event."""


class Federation:
    """Routes events to agreement and switchover.

    An event that belongs to neither alone goes to both. TableAgreed is not an action for the host: it goes to
    the switchover part, whose actions replace it in the list. WriteFailed goes to both whatever its kind: the
    actions dropped after a record of one part may have belonged to the other.
    """

    def __init__(self, agreement: Agreement, switchover: SwitchoverMachine | None = None) -> None:
        self.agreement, self.switchover = agreement, switchover

    def start(self, now_us: int) -> list[Any]:
        """Start both parts; returns their actions, those of switchover first."""
        actions = (
            self._finish_proposals(now_us, self.switchover.start(now_us))
            if self.switchover is not None
            else []
        )
        return actions + self._pass_agreed_tables(now_us, self.agreement.start(now_us))

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """The actions that follow from this event."""
        match event:
            case TableProposed() | TableChecked() | RollbackAccepted():
                return self._pass_agreed_tables(now_us, self.agreement.handle(now_us, event))
            case MessageReceived(_, message):
                is_for_agreement = type(message) in TAG_BY_CLASS
            case TimerDue(token):
                is_for_agreement = token.startswith(PREFIX)
            case _:
                actions = self._pass_agreed_tables(now_us, self.agreement.handle(now_us, event))
                return actions + self._to_switchover(now_us, event)
        if is_for_agreement:
            return self._pass_agreed_tables(now_us, self.agreement.handle(now_us, event))
        return self._to_switchover(now_us, event)

    def _to_switchover(self, now_us: int, event: Any) -> list[Any]:
        return (
            self._finish_proposals(now_us, self.switchover.handle(now_us, event))
            if self.switchover is not None
            else []
        )

    def _pass_agreed_tables(self, now_us: int, actions: list[Any]) -> list[Any]:
        result: list[Any] = []
        for action in actions:
            if isinstance(action, TableAgreed):
                result += self._to_switchover(now_us, action)
            else:
                result.append(action)
        return result

    def _finish_proposals(self, now_us: int, actions: list[Any]) -> list[Any]:
        """Replaces FinishProposal, by which switchover waits for a proposal's outcome, with agreement's
        actions for it.
        """
        result: list[Any] = []
        for action in actions:
            result += self.agreement.finish(now_us) if isinstance(action, FinishProposal) else [action]
        return result
