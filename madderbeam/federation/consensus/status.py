"""The agreement's status for operators: who does not reply since when, what is agreed, staged and pending."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.membership.values import MemberId, MemberView, State

MAX_MEMBERS_LISTED = 5


def describe_silent(members: tuple[MemberId, ...], views: Mapping[MemberId, MemberView], now_us: int) -> str:
    """The members that do not reply, with their membership states."""
    if not members:
        return "all its members answer"
    descriptions = [
        _describe_member(member, views.get(member), now_us) for member in members[:MAX_MEMBERS_LISTED]
    ]
    rest = f" and {len(members) - MAX_MEMBERS_LISTED} more" if len(members) > MAX_MEMBERS_LISTED else ""
    return f"no answer from {', '.join(descriptions)}{rest}"


def _describe_member(member: MemberId, view: MemberView | None, now_us: int) -> str:
    if view is None:
        return str(member)
    for_s = max(0, now_us - view.since_us) // 1_000_000
    return f"{member} ({State(view.state).name.lower()} for {for_s} s)"


def status(agreement: Any, now_us: int) -> dict[str, Any]:
    """The status of an Agreement (untyped, since it imports this module) as JSON; spans in milliseconds."""
    base, participant, coordinator = agreement.base, agreement.participant, agreement.failover.coordinator
    votes = {site: _describe_vote(vote) for site, (_, vote) in agreement.acceptor.accepted_votes.items()}
    if agreement.acceptor.slot != agreement.slot:
        votes = {}
    result: dict[str, Any] = {
        "agreed": {"number": base.number, "digest": base.digest},
        "slot": str(agreement.slot),
        "votes": agreement.may_vote,
        "distrusted": agreement.rollback_detector.distrusted is not None,
        "offered": [str(proposal.table.proposal_id) for proposal in agreement.proposals.pending.values()],
    }
    if participant.slot is not None:
        state = "pending" if participant.vote is None else _describe_vote(participant.vote)
        since_ms = (now_us - participant.pending_since_us) // 1000
        result["staged"] = {"digest": participant.digest, "word": state, "for_ms": since_ms}
    if coordinator is not None and coordinator.claim is not None:
        result["driven"] = {
            "digest": coordinator.claim.digest,
            "for_ms": (now_us - coordinator.pending_since_us) // 1000,
            "words": {vote.site: _describe_vote(vote) for vote in coordinator.votes},
            "not_staged": {
                site: _describe_missing(agreement, site, now_us) for site in coordinator.missing_sites
            },
        }
    elif agreement.failover.last_other is not None:
        result["driven_by"] = str(agreement.failover.last_other)
    if votes:
        result["words"] = votes
    return result


def _describe_vote(vote: Any) -> str:
    return "staged" if vote.is_staged else f"{vote.code}: {vote.reason}"


def _describe_missing(agreement: Any, site: str, now_us: int) -> str:
    coordinator = agreement.failover.coordinator
    assert coordinator is not None
    silent = tuple(m for m in coordinator.participants(site) if m not in coordinator.member_votes)
    return describe_silent(silent, agreement.member_views, now_us)
