"""Quorums: more than half of each set of members that some table in force names.

In a set of even size one member counts half a vote more, so that exactly one half of the set can have a
majority (a distinguished member breaks ties, as in Jajodia and Mutchler, 1990).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from functools import lru_cache

from madderbeam.membership.values import MemberId
from madderbeam.relay.selection import rendezvous_score

Members = tuple[MemberId, ...]


def hash_origin(group: int) -> MemberId:
    """The id that stands for a group's resources in rendezvous hashing."""
    return MemberId("leases", str(group))


@lru_cache(maxsize=1_024)
def by_rendezvous_score(group: int, members: Members) -> Members:
    """The members in the order of their rendezvous scores: the first is to grant, the next if it is gone."""
    return tuple(
        sorted(
            members, key=lambda member: (rendezvous_score(hash_origin(group), member), member), reverse=True
        )
    )


def has_majority(group: int, members: Members, agreeing: Collection[MemberId]) -> bool:
    """Whether the members in `agreeing` are a majority.

    The first by hash breaks a tie; no members is no majority.
    """
    present = sum(member in agreeing for member in members)
    tied = len(members) % 2 == 0 and present * 2 == len(members)
    return present * 2 > len(members) or (
        tied and present > 0 and by_rendezvous_score(group, members)[0] in agreeing
    )


def has_all_majorities(group: int, sets: Iterable[Members], agreeing: Collection[MemberId]) -> bool:
    """Whether there is a majority of each set. Any two such quorums that share a set share a member of it."""
    sets = list(sets)
    return bool(sets) and all(has_majority(group, members, agreeing) for members in sets)
