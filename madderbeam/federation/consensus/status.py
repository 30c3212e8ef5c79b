"""What agreement tells an operator: who is silent since when, what is in force, staged and pending."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.membership.values import MemberId, MemberView, State

NAMED_MOST = 5


def silence(members: tuple[MemberId, ...], views: Mapping[MemberId, MemberView], now_us: int) -> str:
    """Who does not answer, and what membership thinks of them."""
    if not members:
        return "all its members answer"
    told = [_one(member, views.get(member), now_us) for member in members[:NAMED_MOST]]
    more = f" and {len(members) - NAMED_MOST} more" if len(members) > NAMED_MOST else ""
    return f"no answer from {', '.join(told)}{more}"


def _one(member: MemberId, view: MemberView | None, now_us: int) -> str:
    if view is None:
        return str(member)
    for_s = max(0, now_us - view.since_us) // 1_000_000
    return f"{member} ({State(view.state).name.lower()} for {for_s} s)"


def status(agreement: Any, now_us: int) -> dict[str, Any]:
    """Of an Agreement, which imports this. As JSON takes it; spans in milliseconds."""
    base, speaker, driver = agreement.base, agreement.speaker, agreement.driving.driver
    words = {site: _word(w) for site, (_, w) in agreement.acceptor.words.items()}
    if agreement.acceptor.slot != agreement.slot:
        words = {}
    told: dict[str, Any] = {
        "agreed": {"number": base.number, "digest": base.digest},
        "slot": str(agreement.slot),
        "votes": agreement.votes,
        "distrusted": agreement.folder.distrusted is not None,
        "offered": [str(p.table.proposal) for p in agreement.offers.pending.values()],
    }
    if speaker.slot is not None:
        state = "pending" if speaker.word is None else _word(speaker.word)
        since_ms = (now_us - speaker.since_us) // 1000
        told["staged"] = {"digest": speaker.digest, "word": state, "for_ms": since_ms}
    if driver is not None and driver.claim is not None:
        told["driven"] = {
            "digest": driver.claim.digest,
            "for_ms": (now_us - driver.since_us) // 1000,
            "words": {w.site: _word(w) for w in driver.words},
            "not_staged": {site: _unstaged(agreement, site, now_us) for site in driver.missing},
        }
    elif agreement.driving.heard_of is not None:
        told["driven_by"] = str(agreement.driving.heard_of)
    if words:
        told["words"] = words
    return told


def _word(word: Any) -> str:
    return "staged" if word.staged else f"{word.code}: {word.why}"


def _unstaged(agreement: Any, site: str, now_us: int) -> str:
    driver = agreement.driving.driver
    assert driver is not None
    silent = tuple(m for m in driver.speakers(site) if m not in driver.answers)
    return silence(silent, agreement.views, now_us)
