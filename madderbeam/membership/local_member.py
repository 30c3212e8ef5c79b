"""This member's own word: its life, incarnation and state, and what it says to those who accuse it."""

from __future__ import annotations

from enum import Enum

from madderbeam.membership.messages import WORD_MOST, MemberReport
from madderbeam.membership.values import Address, Incarnation, MemberId, State


class Said(Enum):
    """What a report on oneself comes to."""

    NOTHING = 0
    REFUTED = 1  # the word was raised: tell all
    OLDER = 2  # another life of this id, not below this one: the folder is older, or there are two


class LocalMember:
    """Only this member raises its word."""

    def __init__(self, me: MemberId, life: Incarnation, address: Address) -> None:
        self.id, self.life, self.address = me, life, address
        self.word = 0
        self.state = State.ALIVE
        self.draining = False

    def report(self) -> MemberReport:
        return MemberReport(self.id, self.life, self.word, self.state, self.address, self.draining)

    def hear(self, report: MemberReport) -> Said:
        if report.life.nonce != self.life.nonce:
            return Said.OLDER if report.life.start >= self.life.start else Said.NOTHING
        if report.life != self.life or self.state is State.LEFT or report.word < self.word:
            return Said.NOTHING
        if report.state is State.ALIVE and report.word == self.word:
            return Said.NOTHING
        self.raise_word(report.word)
        return Said.REFUTED

    def raise_word(self, above: int) -> None:
        self.word = min(WORD_MOST, above + 1)

    def raise_life(self, above: Incarnation) -> None:
        self.life, self.word = Incarnation(above.start + 1, self.life.nonce), 0
