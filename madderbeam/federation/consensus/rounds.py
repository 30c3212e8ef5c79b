"""The values of Paxos Commit (Gray and Lamport 2006) as they are used here: slot, ballot, claim, vote."""

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
    """Timeouts of the agreement on a table."""

    resend_interval_us: int = 500_000  # until an unanswered message is sent again
    failover_timeout_us: int = 3_000_000  # silence about a pending slot before another member takes it over
    vote_timeout_us: int = 60_000_000  # from a coordinator's start until it rejects for the missing votes
    silent_member_timeout_us: int = 2_000_000  # wait for a site's silent members once another has staged
    check_timeout_us: int = 10_000_000  # for the host's check of a table


@dataclass(frozen=True, order=True)
class Slot:
    """One attempt to agree on the table of a number.

    The next attempt opens once the claim of this one is known to be rejected, so at most one attempt of a
    number is ever agreed.
    """

    number: int
    attempt: int = 0

    def __str__(self) -> str:
        return f"{self.number}.{self.attempt}"


@dataclass(frozen=True, order=True)
class Ballot:
    """A ballot number. It is unique: one incarnation of a member uses a counter once for a slot."""

    counter: int
    member: MemberId
    incarnation: Incarnation


@dataclass(frozen=True)
class Claim:
    """The table that a slot is for: its digest, and the sites whose votes it needs (one instance each)."""

    digest: str
    sites: tuple[str, ...]


@dataclass(frozen=True)
class Vote:
    """The value of a site's instance: staged (empty code), or rejected with an error's code and reason."""

    site: str
    code: str = ""
    reason: str = ""

    @property
    def is_staged(self) -> bool:
        """Whether the site can serve by the table and has it on disk."""
        return not self.code


@dataclass(frozen=True, order=True)
class Mark:
    """How recent a voter's state on disk is: its incarnation, and how many votes it has recorded."""

    incarnation: Incarnation
    votes_recorded: int


def error_of(votes: tuple[Vote, ...]) -> FederationError:
    """The error for a rejected claim, from the first vote that rejected it."""
    rejection = next(
        (vote for vote in votes if not vote.is_staged), Vote("", Superseded.code, "it was turned down")
    )
    if rejection.code == TableRefused.code:
        return TableRefused(rejection.reason, rejection.site)
    error_classes = {error.code: error for error in (NotAllStaged, Superseded, WordUnwritten)}
    return error_classes.get(rejection.code, Superseded)(rejection.reason)
