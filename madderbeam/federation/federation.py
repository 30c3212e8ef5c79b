"""The federation's machine: agreement and the switch part as one; agreed tables go from one to the other."""

from __future__ import annotations

from typing import Any, Protocol

from madderbeam.federation.consensus.agreement import Agreement
from madderbeam.federation.consensus.messages import TAGS
from madderbeam.federation.consensus.outbox import PREFIX
from madderbeam.federation.values import (
    FinishProposal,
    FolderTrusted,
    TableAgreed,
    TableChecked,
    TableProposed,
)
from madderbeam.membership.values import MessageReceived, TimerDue


class SwitchoverMachine(Protocol):
    """A machine that joins in: the switch part."""

    def start(self, now_us: int) -> list[Any]: ...

    def handle(self, now_us: int, event: Any) -> list[Any]: ...


class Federation:
    """Events that are neither's own go to both. `Agreed` is no action for the host: it goes to the switch
    part, whose actions take its place in the list. `Unwritten` goes to both whatever its kind is: what stood
    behind a record of the one may have been the other's."""

    def __init__(self, agreement: Agreement, switch: SwitchoverMachine | None = None) -> None:
        self.agreement, self.switch = agreement, switch

    def start(self, now_us: int) -> list[Any]:
        actions = self._finished(now_us, self.switch.start(now_us)) if self.switch is not None else []
        return actions + self._joined(now_us, self.agreement.start(now_us))

    def handle(self, now_us: int, event: Any) -> list[Any]:
        match event:
            case TableProposed() | TableChecked() | FolderTrusted():
                return self._joined(now_us, self.agreement.handle(now_us, event))
            case MessageReceived(_, message):
                agreed_on = type(message) in TAGS
            case TimerDue(token):
                agreed_on = token.startswith(PREFIX)
            case _:
                actions = self._joined(now_us, self.agreement.handle(now_us, event))
                return actions + self._switched(now_us, event)
        if agreed_on:
            return self._joined(now_us, self.agreement.handle(now_us, event))
        return self._switched(now_us, event)

    def _switched(self, now_us: int, event: Any) -> list[Any]:
        return self._finished(now_us, self.switch.handle(now_us, event)) if self.switch is not None else []

    def _joined(self, now_us: int, actions: list[Any]) -> list[Any]:
        joined: list[Any] = []
        for action in actions:
            if isinstance(action, TableAgreed):
                joined += self._switched(now_us, action)
            else:
                joined.append(action)
        return joined

    def _finished(self, now_us: int, actions: list[Any]) -> list[Any]:
        """The switch part waits for a proposal to come to its end: agreement sees to that."""
        joined: list[Any] = []
        for action in actions:
            joined += self.agreement.finish(now_us) if isinstance(action, FinishProposal) else [action]
        return joined
