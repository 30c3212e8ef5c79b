"""The messages of the agreement on a table, and their rows on the wire, with bounds on every field."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any, get_type_hints

from madderbeam.federation.consensus.rounds import Ballot, Claim, Mark, Slot, Vote
from madderbeam.federation.table import MAX_MEMBERS, MAX_SITES, MAX_TABLE_NUMBER
from madderbeam.membership.values import MAX_NAME_CHARS, Incarnation, MemberId, Row

MAX_REASON_CHARACTERS = 400
MAX_COUNT = 2**62
DIGEST_CHARACTERS = 16  # hex digits

AcceptedVotes = tuple[tuple[Ballot, Vote], ...]
Marks = tuple[tuple[MemberId, Mark], ...]


@dataclass(frozen=True)
class Prepare:
    """Phase 1a for all instances of a slot at once. `base_digest`: of the latest agreed table."""

    slot: Slot
    base_digest: str
    ballot: Ballot


@dataclass(frozen=True)
class Promise:
    """Phase 1b: the voter accepts nothing below `ballot` from now on; with what it has accepted so far."""

    slot: Slot
    ballot: Ballot
    claim: Claim | None
    claim_ballot: Ballot | None
    accepted_votes: AcceptedVotes
    mark: Mark


@dataclass(frozen=True)
class Accept:
    """Phase 2a: the claim, and the votes so far in the order in which this ballot's coordinator got them."""

    slot: Slot
    base_digest: str
    ballot: Ballot
    claim: Claim
    votes: tuple[Vote, ...]


@dataclass(frozen=True)
class Accepted:
    """Phase 2b: the claim and the first `accepted_count` votes of this ballot are accepted."""

    slot: Slot
    ballot: Ballot
    accepted_count: int
    mark: Mark


@dataclass(frozen=True)
class BallotRejected:
    """The voter has promised a higher ballot."""

    slot: Slot
    ballot: Ballot
    promised: Ballot


@dataclass(frozen=True)
class VoteRequest:
    """Asks a member to stage the table of this digest and to vote on it.

    The document is included the first time; a member that missed it sends a DocumentRequest.
    """

    slot: Slot
    base_digest: str
    digest: str
    document: dict[str, Any] | None


@dataclass(frozen=True)
class DocumentRequest:
    """Requests the document of the table with this digest."""

    slot: Slot
    digest: str


@dataclass(frozen=True)
class Document:
    """A proposed table; the document is as Table.document returns it."""

    slot: Slot
    document: dict[str, Any]


@dataclass(frozen=True)
class VoteReply:
    """A member's vote for its site."""

    slot: Slot
    digest: str
    vote: Vote


@dataclass(frozen=True)
class SlotAborted:
    """The claim of a slot is rejected by these votes. `marks`: how recent the voters' states are."""

    slot: Slot
    digest: str
    votes: tuple[Vote, ...]
    marks: Marks


@dataclass(frozen=True)
class SlotAdvanced:
    """The attempt of the request is closed; `slot` is the open one."""

    slot: Slot


@dataclass(frozen=True)
class Decided:
    """The table of this number and digest is agreed."""

    number: int
    digest: str
    marks: Marks


@dataclass(frozen=True)
class CatchUpRequest:
    """Requests the agreed tables above this number."""

    number: int


@dataclass(frozen=True)
class AgreedTable:
    """An agreed table; the sender knows no table between it and the number `after`."""

    after: int
    document: dict[str, Any]


@dataclass(frozen=True)
class MarkAnnounced:
    """A voter that has started announces its mark, to hear whether others have seen a newer one.

    `accepted_loss`: the incarnation up to which an operator accepted lost state (RollbackAccepted).
    """

    mark: Mark
    accepted_loss: Incarnation | None


@dataclass(frozen=True)
class MarkConfirmed:
    """The sender has seen nothing newer of that voter, and has written this mark to disk."""

    mark: Mark


@dataclass(frozen=True)
class RollbackReported:
    """The sender has seen this newer mark of the receiver."""

    mark: Mark


CLASS_BY_TAG: dict[str, type[Any]] = {
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
TAG_BY_CLASS = {message_class: tag for tag, message_class in CLASS_BY_TAG.items()}


_FIELD_NAMES = {
    value_class: tuple(f.name for f in fields(value_class))
    for value_class in (Slot, Ballot, Claim, Vote, Mark, Incarnation, MemberId)
}


def to_row(message: Any) -> Row:
    """The row of a message: its tag, then its fields in their order."""
    message_class = type(message)
    return [
        TAG_BY_CLASS[message_class],
        *(to_plain(getattr(message, name)) for name, _ in _FIELD_READERS[message_class]),
    ]


def from_row(row: Any) -> Any:
    """The message of a row. Raises ValueError with the name of the malformed field."""
    if not isinstance(row, list) or not row or not isinstance(row[0], str) or row[0] not in CLASS_BY_TAG:
        raise ValueError("kind is not known")
    message_class = CLASS_BY_TAG[row[0]]
    readers = _FIELD_READERS[message_class]
    if len(row) != len(readers) + 1:
        raise ValueError(f"{row[0]} has {len(row) - 1} fields; allowed: {len(readers)}")
    values = []
    for (name, reader), value in zip(readers, row[1:], strict=True):
        try:
            values.append(reader(value))
        except (ValueError, TypeError) as error:
            raise ValueError(f"{row[0]}.{name}: {error}") from None
    return message_class(*values)


def to_plain(value: Any) -> Any:
    """The value with lists in place of tuples and of this module's value classes, as it is written."""
    if isinstance(value, str | int):
        return value
    if isinstance(value, tuple):
        return [to_plain(v) for v in value]
    names = _FIELD_NAMES.get(type(value))
    return value if names is None else [to_plain(getattr(value, name)) for name in names]


def _read_list(value: Any, count: int) -> list[Any]:
    if not isinstance(value, list) or len(value) != count:
        raise ValueError(f"is not a list of {count}")
    return value


def _read_text(value: Any, maximum: int, minimum: int = 0) -> str:
    if not isinstance(value, str) or not minimum <= len(value) <= maximum:
        raise ValueError(f"is not a text of {minimum} to {maximum} characters")
    return value


def _read_count(value: Any, maximum: int = MAX_COUNT, minimum: int = 0) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
        raise ValueError(f"is not a whole number from {minimum} to {maximum}")
    return value


def _read_tuple(value: Any, maximum: int, read_item: Callable[[Any], Any]) -> tuple[Any, ...]:
    if not isinstance(value, list) or len(value) > maximum:
        raise ValueError(f"is not a list of at most {maximum}")
    return tuple(read_item(v) for v in value)


def read_digest(value: Any) -> str:
    """The digest of a table. Raises ValueError."""
    if (
        not isinstance(value, str)
        or len(value) != DIGEST_CHARACTERS
        or not set(value) <= set("0123456789abcdef")
    ):
        raise ValueError(f"is not {DIGEST_CHARACTERS} hex digits")
    return value


def _read_name(value: Any) -> str:
    return _read_text(value, MAX_NAME_CHARS, 1)


def read_slot(value: Any) -> Slot:
    """The slot of its list [number, attempt]. Raises ValueError."""
    number, attempt = _read_list(value, 2)
    return Slot(_read_count(number, MAX_TABLE_NUMBER, 1), _read_count(attempt))


def read_member(value: Any) -> MemberId:
    """The member of its list [site, name]. Raises ValueError."""
    site, name = _read_list(value, 2)
    return MemberId(_read_name(site), _read_name(name))


def read_incarnation(value: Any) -> Incarnation:
    """The incarnation of its list [start, nonce]. Raises ValueError."""
    start, nonce = _read_list(value, 2)
    return Incarnation(_read_count(start), _read_count(nonce, 2**64))


def read_ballot(value: Any) -> Ballot:
    """The ballot of its list [counter, member, incarnation]. Raises ValueError."""
    counter, member, incarnation = _read_list(value, 3)
    return Ballot(_read_count(counter, minimum=1), read_member(member), read_incarnation(incarnation))


def read_claim(value: Any) -> Claim:
    """The claim of its list [digest, sites]. Raises ValueError."""
    digest, sites = _read_list(value, 2)
    return Claim(read_digest(digest), _read_tuple(sites, 2 * MAX_SITES, _read_name))


def read_vote(value: Any) -> Vote:
    """The vote of its list [site, code, reason]. Raises ValueError."""
    site, code, reason = _read_list(value, 3)
    return Vote(_read_name(site), _read_text(code, MAX_NAME_CHARS), _read_text(reason, MAX_REASON_CHARACTERS))


def read_mark(value: Any) -> Mark:
    """The mark of its list [incarnation, votes recorded]. Raises ValueError."""
    incarnation, votes_recorded = _read_list(value, 2)
    return Mark(read_incarnation(incarnation), _read_count(votes_recorded))


def _read_accepted_vote(value: Any) -> tuple[Ballot, Vote]:
    ballot, vote = _read_list(value, 2)
    return read_ballot(ballot), read_vote(vote)


def read_accepted_votes(value: Any) -> AcceptedVotes:
    """The votes that a voter has accepted, each with its ballot. Raises ValueError."""
    return _read_tuple(value, 2 * MAX_SITES, _read_accepted_vote)


def _read_member_mark(value: Any) -> tuple[MemberId, Mark]:
    member, mark = _read_list(value, 2)
    return read_member(member), read_mark(mark)


def read_marks(value: Any) -> Marks:
    """Members, each with its mark. Raises ValueError."""
    return _read_tuple(value, MAX_MEMBERS, _read_member_mark)


def _read_document(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict) or len(value) > 4:  # its fields are checked by federation.table.read_table
        raise ValueError("is not a table's document")
    return value


def _read_optional(reader: Callable[[Any], Any]) -> Callable[[Any], Any]:
    return lambda value: None if value is None else reader(value)


_READER_BY_TYPE: dict[Any, Callable[[Any], Any]] = {
    Slot: read_slot,
    Ballot: read_ballot,
    Ballot | None: _read_optional(read_ballot),
    Claim: read_claim,
    Claim | None: _read_optional(read_claim),
    Vote: read_vote,
    Mark: read_mark,
    Incarnation | None: _read_optional(read_incarnation),
    AcceptedVotes: read_accepted_votes,
    Marks: read_marks,
    tuple[Vote, ...]: lambda value: _read_tuple(value, 2 * MAX_SITES, read_vote),
    dict[str, Any]: _read_document,
    dict[str, Any] | None: _read_optional(_read_document),
    str: read_digest,
    int: _read_count,
}
_FIELD_READERS = {
    message_class: [
        (f.name, _READER_BY_TYPE[get_type_hints(message_class)[f.name]]) for f in fields(message_class)
    ]
    for message_class in CLASS_BY_TAG.values()
}
