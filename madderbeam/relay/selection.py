"""Selection of the relay among a site's members: rendezvous hashing (Thaler and Ravishankar, 1998)."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable

from madderbeam.membership.values import MemberId, MemberView, State


def rendezvous_score(origin: MemberId, member: MemberId) -> int:
    """The weight of a member for this origin; the same at all members of the federation."""
    text = f"{origin}>{member}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def is_running(view: MemberView) -> bool:
    """Whether the member counts as alive; a suspect does until it is declared dead."""
    return view.state in (State.ALIVE, State.SUSPECT)


def choose_relay(
    origin: MemberId,
    views: Iterable[MemberView],
    current: MemberId | None,
    excluded: Collection[MemberId] = (),
) -> MemberId | None:
    """The relay among one site's members: the current one while it is alive, not draining and not in
    `excluded` (it rejected entries and asked for another relay; the caller omits members without a link);
    else the one with the highest score, suspects last."""
    eligible = [view for view in views if is_running(view) and not view.draining and view.id not in excluded]
    if any(view.id == current for view in eligible):
        return current
    best = max(
        eligible,
        key=lambda candidate: (
            candidate.state is State.ALIVE,
            rendezvous_score(origin, candidate.id),
            candidate.id,
        ),
        default=None,
    )
    return best.id if best else None
