"""The messages of the switchover and of leases between members, and their encoding as bounded rows."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from madderbeam.federation.switchover.ledger import (
    MAX_OUTSTANDING_RELEASES,
    Ledger,
    read_ledger,
    read_outstanding,
    read_tables,
)
from madderbeam.federation.switchover.release_records import (
    MAX_DESTINATION_NUMBER,
    MAX_TABLE_NUMBER,
    read_flag,
    read_list,
    read_member,
    read_number,
    read_text,
    release_from_row,
    release_row,
)
from madderbeam.federation.table import MAX_MEMBERS
from madderbeam.federation.values import ProposalId, Release, Table
from madderbeam.membership.values import MemberId, Row

MAX_REQUEST_ID = 2**62
MAX_PENDING_PROPOSALS = 16
MAX_RELEASES_PER_REPLY = 10_000  # those that still constrain a new owner
MAX_LEASE_US = 3_600 * 1_000_000
MAX_REASON_CHARACTERS = 400


@dataclass(frozen=True)
class PendingProposal:
    """A proposal that a voter has accepted and whose outcome it does not know.

    `moved_destinations`: those that change their site by it, None if the voter does not have its table.
    """

    proposal: ProposalId
    moved_destinations: frozenset[int] | None
    removed_members: frozenset[MemberId] = frozenset()  # members that it omits or decommissions


@dataclass(frozen=True)
class InForceQuery:
    """Requests the tables after `number` from a voter. `has_no_record`: the sender has no table on disk
    and needs the whole ledger.
    """

    request_id: int
    number: int
    has_no_record: bool = False


@dataclass(frozen=True)
class InForceReply:
    """The reply to an InForceQuery.

    `number`, `digest`: of the newest agreed table that the sender knows; `in_force_number`: of its table in
    force. `has_no_record`: it has only the table of its configuration file. `tables`: consecutive tables
    after the number of the query, at most eight; a further query returns the next ones. `ledger`: the ledger
    before `tables`, if these do not reach back to the number of the query or the whole ledger was asked for.
    `outstanding`: the releases that the table in force still misses; if `is_complete`, all others have been
    made. `decommissioned`: members that an operator declared gone, with the number of the table up to which
    this holds. `releases`: those that still constrain a new owner.
    """

    request_id: int
    number: int
    digest: str
    in_force_number: int
    has_no_record: bool = False
    tables: tuple[Table, ...] = ()
    ledger: Ledger | None = None
    pending: tuple[PendingProposal, ...] = ()
    outstanding: tuple[tuple[int, MemberId, int], ...] = ()
    is_complete: bool = True
    decommissioned: tuple[tuple[MemberId, int], ...] = ()
    releases: tuple[Release, ...] = ()


@dataclass(frozen=True)
class LeaseRequest:
    """Requests a lease of `lease_us` from now on for a member that has table `number` in force."""

    request_id: int
    number: int
    lease_us: int


@dataclass(frozen=True)
class LeaseReply:
    """A voter's reply: `reason` why it does not renew, `number` of the table that it has in force."""

    request_id: int
    granted: bool
    number: int
    reason: str = ""


@dataclass(frozen=True)
class LeaseEndRequest:
    """Requests a voter's confirmation that these members hold no lease by a table below the number next to
    each.
    """

    members: tuple[tuple[MemberId, int], ...]


@dataclass(frozen=True)
class LeaseEndConfirmation:
    """A voter's confirmation, which it has on disk: no lease that it renewed for these members can still
    run, and it renews none by a table below the number next to each.
    """

    members: tuple[tuple[MemberId, int], ...]


def to_row(message: Any) -> Row:
    """The message as a row: its kind, then its fields in a fixed order."""
    kind, pack, _ = _BY_TYPE[type(message)]
    return [kind, *pack(message)]


def from_row(row: Any) -> Any:
    """The message of a row. Raises ValueError with the name of the field."""
    fields = read_list(row, "message", 16)
    if not fields or not isinstance(fields[0], str) or fields[0] not in _BY_KIND:
        raise ValueError(f"kind: allowed: {', '.join(sorted(_BY_KIND))}")
    kind, unpack, count = fields[0], *_BY_KIND[fields[0]]
    if len(fields) != count + 1:
        raise ValueError(f"{kind}: allowed: {count} fields")
    return unpack(*fields[1:])


def _query_fields(message: InForceQuery) -> Row:
    return [message.request_id, message.number, message.has_no_record]


def _read_query(request_id: Any, table_number: Any, has_no_record: Any) -> InForceQuery:
    return InForceQuery(
        _read_request_id(request_id),
        read_number(table_number, "number", MAX_TABLE_NUMBER),
        read_flag(has_no_record, "fresh"),
    )


def _reply_fields(message: InForceReply) -> Row:
    return [
        message.request_id,
        message.number,
        message.digest,
        message.in_force_number,
        message.has_no_record,
        [table.document() for table in message.tables],
        message.ledger.row() if message.ledger else None,
        [_proposal_row(proposal) for proposal in message.pending],
        [
            [dest, member.site, member.name, table_number]
            for dest, member, table_number in message.outstanding
        ],
        message.is_complete,
        _member_numbers(message.decommissioned),
        [release_row(release) for release in message.releases],
    ]


def _read_reply(
    request_id: Any, table_number: Any, digest: Any, in_force_number: Any, *rest: Any
) -> InForceReply:
    has_no_record, tables, ledger, pending, outstanding, is_complete, decommissioned, releases = rest
    numbers_by_dest = read_outstanding(outstanding)
    return InForceReply(
        _read_request_id(request_id),
        read_number(table_number, "number", MAX_TABLE_NUMBER),
        read_text(digest, "digest", 16),
        read_number(in_force_number, "in_force", MAX_TABLE_NUMBER),
        read_flag(has_no_record, "fresh"),
        read_tables(tables),
        None if ledger is None else read_ledger(ledger),
        tuple(_read_proposal(item) for item in read_list(pending, "pending", MAX_PENDING_PROPOSALS)),
        tuple(
            (dest, member, number)
            for dest, numbers in numbers_by_dest.items()
            for member, number in numbers.items()
        ),
        read_flag(is_complete, "complete"),
        _read_member_numbers(decommissioned, "off"),
        tuple(release_from_row(row) for row in read_list(releases, "releases", MAX_RELEASES_PER_REPLY)),
    )


def _proposal_row(proposal: PendingProposal) -> Row:
    moved = None if proposal.moved_destinations is None else sorted(proposal.moved_destinations)
    return [
        proposal.proposal.number,
        proposal.proposal.digest,
        moved,
        [[member.site, member.name] for member in sorted(proposal.removed_members)],
    ]


def _read_proposal(row: Any) -> PendingProposal:
    if not isinstance(row, (list, tuple)) or len(row) != 4:
        raise ValueError("pending: allowed: lists of four")
    table_number, digest, moved, removed = row
    moved_destinations = None
    if moved is not None:
        moved_destinations = frozenset(
            read_number(dest, "pending.moves", MAX_DESTINATION_NUMBER)
            for dest in read_list(moved, "pending.moves", MAX_OUTSTANDING_RELEASES)
        )
    removed_members = frozenset(
        read_member(member_row, "pending.off")
        for member_row in read_list(removed, "pending.off", MAX_MEMBERS)
    )
    proposal = ProposalId(
        read_number(table_number, "pending.number", MAX_TABLE_NUMBER), read_text(digest, "pending.digest", 16)
    )
    return PendingProposal(proposal, moved_destinations, removed_members)


def _lease_request_fields(message: LeaseRequest) -> Row:
    return [message.request_id, message.number, message.lease_us]


def _read_lease_request(request_id: Any, table_number: Any, lease_us: Any) -> LeaseRequest:
    return LeaseRequest(
        _read_request_id(request_id),
        read_number(table_number, "number", MAX_TABLE_NUMBER),
        read_number(lease_us, "lease_us", MAX_LEASE_US),
    )


def _lease_reply_fields(message: LeaseReply) -> Row:
    return [message.request_id, message.granted, message.number, message.reason]


def _read_lease_reply(request_id: Any, granted: Any, table_number: Any, reason: Any) -> LeaseReply:
    granted = read_flag(granted, "granted")
    return LeaseReply(
        _read_request_id(request_id),
        granted,
        read_number(table_number, "number", MAX_TABLE_NUMBER),
        read_text(reason, "why", MAX_REASON_CHARACTERS),
    )


def _member_numbers_fields(message: LeaseEndRequest | LeaseEndConfirmation) -> Row:
    return [_member_numbers(message.members)]


def _read_lease_end_request(members: Any) -> LeaseEndRequest:
    return LeaseEndRequest(_read_member_numbers(members, "members"))


def _read_lease_end_confirmation(members: Any) -> LeaseEndConfirmation:
    return LeaseEndConfirmation(_read_member_numbers(members, "members"))


def _member_numbers(pairs: tuple[tuple[MemberId, int], ...]) -> Row:
    return [[[member.site, member.name], number] for member, number in pairs]


def _read_member_numbers(rows: Any, field: str) -> tuple[tuple[MemberId, int], ...]:
    pairs = []
    for row in read_list(rows, field, MAX_MEMBERS):
        if not isinstance(row, (list, tuple)) or len(row) != 2:
            raise ValueError(f"{field}: allowed: [[site, name], number]")
        pairs.append((read_member(row[0], field), read_number(row[1], f"{field}.number", MAX_TABLE_NUMBER)))
    return tuple(pairs)


def _read_request_id(value: Any) -> int:
    return read_number(value, "ask", MAX_REQUEST_ID)


_BY_TYPE: dict[type, tuple[str, Callable[[Any], Row], Callable[..., Any]]] = {
    InForceQuery: ("wq", _query_fields, _read_query),
    InForceReply: ("wa", _reply_fields, _read_reply),
    LeaseRequest: ("lq", _lease_request_fields, _read_lease_request),
    LeaseReply: ("la", _lease_reply_fields, _read_lease_reply),
    LeaseEndRequest: ("vq", _member_numbers_fields, _read_lease_end_request),
    LeaseEndConfirmation: ("va", _member_numbers_fields, _read_lease_end_confirmation),
}
_FIELD_COUNTS = {"wq": 3, "wa": 12, "lq": 3, "la": 4, "vq": 1, "va": 1}
_BY_KIND = {kind: (unpack, _FIELD_COUNTS[kind]) for kind, _, unpack in _BY_TYPE.values()}
KINDS = frozenset(_BY_KIND)  # distinguishes these rows from others on the same channel
