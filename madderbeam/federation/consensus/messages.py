"""What members say to each other to agree on a table; rows for the mesh, with bounds on every field."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any, get_type_hints

from madderbeam.federation.consensus.rounds import Ballot, Claim, Mark, Slot, Vote
from madderbeam.federation.table import MEMBERS_MOST, NUMBER_MOST, SITES_MOST
from madderbeam.membership.values import NAME_MOST, Incarnation, MemberId, Row

WHY_MOST = 400  # characters of a reason
COUNT_MOST = 2**62
DIGEST = 16  # hex digits

Voted = tuple[tuple[Ballot, Vote], ...]
Marks = tuple[tuple[MemberId, Mark], ...]


@dataclass(frozen=True)
class Prepare:
    """Phase 1a for all instances of a slot at once. `base`: the digest of the table in force."""

    slot: Slot
    base: str
    ballot: Ballot


@dataclass(frozen=True)
class Promise:
    """Phase 1b: nothing below `ballot` any more, and what was accepted until now."""

    slot: Slot
    ballot: Ballot
    claim: Claim | None
    claimed: Ballot | None  # the ballot of the claim
    voted: Voted
    mark: Mark


@dataclass(frozen=True)
class Accept:
    """Phase 2a: the claim, and the words so far in the order in which this ballot came to them."""

    slot: Slot
    base: str
    ballot: Ballot
    claim: Claim
    words: tuple[Vote, ...]


@dataclass(frozen=True)
class Accepted:
    """Phase 2b: the claim and the first `step` words of this ballot are accepted."""

    slot: Slot
    ballot: Ballot
    step: int
    mark: Mark


@dataclass(frozen=True)
class BallotRejected:
    """A higher ballot was promised."""

    slot: Slot
    ballot: Ballot
    promised: Ballot


@dataclass(frozen=True)
class VoteRequest:
    """Stage the table of this digest and give your word on it. The document comes with it the first time; who
    has missed that asks for it (Show)."""

    slot: Slot
    base: str
    digest: str
    document: dict[str, Any] | None


@dataclass(frozen=True)
class DocumentRequest:
    """Send me the table of this digest."""

    slot: Slot
    digest: str


@dataclass(frozen=True)
class Document:
    """A table that is offered; its document as Table.document gives it."""

    slot: Slot
    document: dict[str, Any]


@dataclass(frozen=True)
class VoteReply:
    """A member's word for its site."""

    slot: Slot
    digest: str
    word: Vote


@dataclass(frozen=True)
class SlotAborted:
    """All of a slot is turned down by these words. `marks`: how far the voters' folders are."""

    slot: Slot
    digest: str
    words: tuple[Vote, ...]
    marks: Marks


@dataclass(frozen=True)
class SlotAdvanced:
    """That attempt is over; this slot is open."""

    slot: Slot


@dataclass(frozen=True)
class Decided:
    """The table of this number and digest is agreed."""

    number: int
    digest: str
    marks: Marks


@dataclass(frozen=True)
class CatchUpRequest:
    """Send me the agreed tables above this number."""

    number: int


@dataclass(frozen=True)
class AgreedTable:
    """An agreed table; the sender knows none between it and `after`."""

    after: int
    document: dict[str, Any]


@dataclass(frozen=True)
class MarkAnnounced:
    """A voter that has started asks what is known of its folder. `over`: a life whose loss an operator has
    taken on (Trusted)."""

    mark: Mark
    over: Incarnation | None


@dataclass(frozen=True)
class MarkConfirmed:
    """Nothing newer is known of that folder, and this mark is written down."""

    mark: Mark


@dataclass(frozen=True)
class RollbackReported:
    """This was seen of you."""

    mark: Mark


KINDS: dict[str, type[Any]] = {
    "prepare": Prepare,
    "promise": Promise,
    "accept": Accept,
    "accepted": Accepted,
    "refused": BallotRejected,
    "offer": VoteRequest,
    "show": DocumentRequest,
    "shown": Document,
    "answer": VoteReply,
    "over": SlotAborted,
    "later": SlotAdvanced,
    "decided": Decided,
    "want": CatchUpRequest,
    "known": AgreedTable,
    "greet": MarkAnnounced,
    "greeted": MarkConfirmed,
    "older": RollbackReported,
}
TAGS = {kind: tag for tag, kind in KINDS.items()}


_PARTS = {
    kind: tuple(f.name for f in fields(kind))
    for kind in (Slot, Ballot, Claim, Vote, Mark, Incarnation, MemberId)
}


def to_row(message: Any) -> Row:
    """Its tag, then its fields in their order."""
    kind = type(message)
    return [TAGS[kind], *(to_plain(getattr(message, name)) for name, _ in _READERS[kind])]


def from_row(row: Any) -> Any:
    """The message of a row. Raises ValueError that names the field."""
    if not isinstance(row, list) or not row or not isinstance(row[0], str) or row[0] not in KINDS:
        raise ValueError("kind is not known")
    kind = KINDS[row[0]]
    readers = _READERS[kind]
    if len(row) != len(readers) + 1:
        raise ValueError(f"{row[0]} has {len(row) - 1} fields; allowed: {len(readers)}")
    values = []
    for (name, reader), value in zip(readers, row[1:], strict=True):
        try:
            values.append(reader(value))
        except (ValueError, TypeError) as e:
            raise ValueError(f"{row[0]}.{name}: {e}") from None
    return kind(*values)


def to_plain(value: Any) -> Any:
    """Lists, text and numbers in place of tuples and values."""
    if isinstance(value, str | int):
        return value
    if isinstance(value, tuple):
        return [to_plain(v) for v in value]
    names = _PARTS.get(type(value))
    return value if names is None else [to_plain(getattr(value, name)) for name in names]


def _parts(value: Any, count: int) -> list[Any]:
    if not isinstance(value, list) or len(value) != count:
        raise ValueError(f"is no list of {count}")
    return value


def _text(value: Any, most: int, least: int = 0) -> str:
    if not isinstance(value, str) or not least <= len(value) <= most:
        raise ValueError(f"is no text of {least} to {most} characters")
    return value


def _count(value: Any, most: int = COUNT_MOST, least: int = 0) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
        raise ValueError(f"is no whole number from {least} to {most}")
    return value


def _many(value: Any, most: int, each: Callable[[Any], Any]) -> tuple[Any, ...]:
    if not isinstance(value, list) or len(value) > most:
        raise ValueError(f"is no list of at most {most}")
    return tuple(each(v) for v in value)


def digest_of(value: Any) -> str:
    if not isinstance(value, str) or len(value) != DIGEST or not set(value) <= set("0123456789abcdef"):
        raise ValueError(f"is no {DIGEST} hex digits")
    return value


def _site(value: Any) -> str:
    return _text(value, NAME_MOST, 1)


def slot_of(value: Any) -> Slot:
    number, attempt = _parts(value, 2)
    return Slot(_count(number, NUMBER_MOST, 1), _count(attempt))


def member_of(value: Any) -> MemberId:
    site, name = _parts(value, 2)
    return MemberId(_site(site), _site(name))


def life_of(value: Any) -> Incarnation:
    start, nonce = _parts(value, 2)
    return Incarnation(_count(start), _count(nonce, 2**64))


def ballot_of(value: Any) -> Ballot:
    counter, member, life = _parts(value, 3)
    return Ballot(_count(counter, least=1), member_of(member), life_of(life))


def claim_of(value: Any) -> Claim:
    digest, sites = _parts(value, 2)
    return Claim(digest_of(digest), _many(sites, 2 * SITES_MOST, _site))


def word_of(value: Any) -> Vote:
    site, code, why = _parts(value, 3)
    return Vote(_site(site), _text(code, NAME_MOST), _text(why, WHY_MOST))


def mark_of(value: Any) -> Mark:
    life, votes = _parts(value, 2)
    return Mark(life_of(life), _count(votes))


def _vote(value: Any) -> tuple[Ballot, Vote]:
    ballot, word = _parts(value, 2)
    return ballot_of(ballot), word_of(word)


def voted_of(value: Any) -> Voted:
    return _many(value, 2 * SITES_MOST, _vote)


def _seen(value: Any) -> tuple[MemberId, Mark]:
    member, mark = _parts(value, 2)
    return member_of(member), mark_of(mark)


def marks_of(value: Any) -> Marks:
    return _many(value, MEMBERS_MOST, _seen)


def _document(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict) or len(value) > 4:  # table.read has its bounds
        raise ValueError("is no table's document")
    return value


def _maybe(reader: Callable[[Any], Any]) -> Callable[[Any], Any]:
    return lambda value: None if value is None else reader(value)


_BY_TYPE: dict[Any, Callable[[Any], Any]] = {
    Slot: slot_of,
    Ballot: ballot_of,
    Ballot | None: _maybe(ballot_of),
    Claim: claim_of,
    Claim | None: _maybe(claim_of),
    Vote: word_of,
    Mark: mark_of,
    Incarnation | None: _maybe(life_of),
    Voted: voted_of,
    Marks: marks_of,
    tuple[Vote, ...]: lambda value: _many(value, 2 * SITES_MOST, word_of),
    dict[str, Any]: _document,
    dict[str, Any] | None: _maybe(_document),
    str: digest_of,
    int: _count,
}
_READERS = {
    kind: [(f.name, _BY_TYPE[get_type_hints(kind)[f.name]]) for f in fields(kind)] for kind in KINDS.values()
}
