"""The terms of Paxos Commit (Gray and Lamport 2006) as they are used here: slot, ballot, claim, word."""

from __future__ import annotations

from dataclasses import dataclass

from madderbeam.federation.errors import (
    FederationError,
    NotAllStaged,
    Superseded,
    TableRefused,
    WordUnwritten,
)
from madderbeam.membership.values import Incarnation, MemberId


@dataclass(frozen=True)
class AgreementSettings:
    """`resend_us`: until a message is said again; `patience_us`: until a pending slot of which nothing is
    heard is taken over; `agree_within_us`: from when a driver begins to when it turns down what is missing;
    `stand_in_us`: how long a site's silent members are waited for if another has staged; `check_us`: how
    long the host may check a table."""

    resend_us: int = 500_000
    patience_us: int = 3_000_000
    agree_within_us: int = 60_000_000
    stand_in_us: int = 2_000_000
    check_us: int = 10_000_000


@dataclass(frozen=True, order=True)
class Slot:
    """One try to agree on the table of a number. The next attempt opens once all of this one's claim is
    known as turned down, so that at most one attempt of a number is ever agreed."""

    number: int
    attempt: int = 0

    def __str__(self) -> str:
        return f"{self.number}.{self.attempt}"


@dataclass(frozen=True, order=True)
class Ballot:
    """Unique: one life of one member uses a counter for one slot once."""

    counter: int
    member: MemberId
    life: Incarnation


@dataclass(frozen=True)
class Claim:
    """Which table a slot is for: the digest, and the sites whose words it needs (one instance each)."""

    digest: str
    sites: tuple[str, ...]


@dataclass(frozen=True)
class Vote:
    """The value of a site's instance: staged (no code), or turned down with an error's code and text."""

    site: str
    code: str = ""
    why: str = ""

    @property
    def staged(self) -> bool:
        return not self.code


@dataclass(frozen=True, order=True)
class Mark:
    """How far a voter's folder is: its life, and how many votes it has written down."""

    life: Incarnation
    votes: int


def error_of(words: tuple[Vote, ...]) -> FederationError:
    """Why a claim was turned down, by the first of the words that did."""
    down = next((w for w in words if not w.staged), Vote("", Superseded.code, "it was turned down"))
    if down.code == TableRefused.code:
        return TableRefused(down.why, down.site)
    kinds = {k.code: k for k in (NotAllStaged, Superseded, WordUnwritten)}
    return kinds.get(down.code, Superseded)(down.why)
