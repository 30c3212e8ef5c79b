"""What members say to each other about what is in force, about leases and their ends; rows with bounds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from madderbeam.federation.switchover.ledger import DEBTS_MOST, Ledger, debts_of, read, tables_of
from madderbeam.federation.switchover.release_records import (
    DEST_MOST,
    NUMBER_MOST,
    flag,
    listed,
    member_of,
    number,
    release_of,
    release_row,
    text,
)
from madderbeam.federation.table import MAX_MEMBERS
from madderbeam.federation.values import ProposalId, Release, Table
from madderbeam.membership.values import MemberId, Row

ASK_MOST = 2**62
PENDING_MOST = 16
RELEASES_MOST = 10_000  # of one answer: those whose waits still run
LEASE_MOST_US = 3_600 * 1_000_000
WHY_MOST = 400


@dataclass(frozen=True)
class PendingProposal:
    """A proposal that a voter has accepted something of. `moves`: the destinations that change hands by it,
    None where the voter does not know its table."""

    proposal: ProposalId
    moves: frozenset[int] | None
    off: frozenset[MemberId] = frozenset()  # members that it leaves out or marks off


@dataclass(frozen=True)
class InForceQuery:
    """Asked of a voter: what is in force beyond `number`? `fresh`: nothing is kept here, tell all."""

    ask: int
    number: int
    fresh: bool = False


@dataclass(frozen=True)
class InForceReply:
    """An answer. `number`, `digest`: of the newest agreed table that is known there; `in_force`: the number
    of the one in force. `fresh`: it has itself no more than the table in its file. `tables`: those after the
    number asked, one after the other, at most eight, more with a further question. `whole`: the ledger before
    them, where they don't reach back so far or all was asked. `debts`: the releases that are still missed by
    the table in force; with `complete` what is not there is paid. `off`: members called off, with the table
    up to which. `releases`: those whose waits still run."""

    ask: int
    number: int
    digest: str
    in_force: int
    fresh: bool = False
    tables: tuple[Table, ...] = ()
    whole: Ledger | None = None
    pending: tuple[PendingProposal, ...] = ()
    debts: tuple[tuple[int, MemberId, int], ...] = ()
    complete: bool = True
    off: tuple[tuple[MemberId, int], ...] = ()
    releases: tuple[Release, ...] = ()


@dataclass(frozen=True)
class LeaseRequest:
    """Asked of a voter: may this member, with this table in force, serve for so long from now on?"""

    ask: int
    number: int
    lease_us: int


@dataclass(frozen=True)
class LeaseReply:
    """A voter's answer; `why` if it does not renew, `number` the table that it has in force."""

    ask: int
    granted: bool
    number: int
    why: str = ""


@dataclass(frozen=True)
class LeaseEndRequest:
    """Asked of a voter: have these members no lease any more by a table below the number beside each?"""

    members: tuple[tuple[MemberId, int], ...]


@dataclass(frozen=True)
class LeaseEndConfirmation:
    """A voter's word, kept on disk: it renewed no lease of these members that could still run, and renews
    none by a table below the number beside each."""

    members: tuple[tuple[MemberId, int], ...]


def to_row(message: Any) -> Row:
    """As the mesh sends it: the kind first."""
    kind, pack, _ = _BY_TYPE[type(message)]
    return [kind, *pack(message)]


def from_row(row: Any) -> Any:
    """The message of a row. Raises ValueError that names the field."""
    fields = listed(row, "message", 16)
    if not fields or not isinstance(fields[0], str) or fields[0] not in _BY_KIND:
        raise ValueError(f"kind: allowed: {', '.join(sorted(_BY_KIND))}")
    kind, unpack, count = fields[0], *_BY_KIND[fields[0]]
    if len(fields) != count + 1:
        raise ValueError(f"{kind}: allowed: {count} fields")
    return unpack(*fields[1:])


def _asked(m: InForceQuery) -> Row:
    return [m.ask, m.number, m.fresh]


def _asked_of(ask: Any, table: Any, fresh: Any) -> InForceQuery:
    return InForceQuery(_ask(ask), number(table, "number", NUMBER_MOST), flag(fresh, "fresh"))


def _told(m: InForceReply) -> Row:
    return [
        m.ask,
        m.number,
        m.digest,
        m.in_force,
        m.fresh,
        [t.document() for t in m.tables],
        m.whole.row() if m.whole else None,
        [_pending(p) for p in m.pending],
        [[d, who.site, who.name, n] for d, who, n in m.debts],
        m.complete,
        _pairs(m.off),
        [release_row(r) for r in m.releases],
    ]


def _told_of(ask: Any, table: Any, digest: Any, in_force: Any, *rest: Any) -> InForceReply:
    fresh, tables, whole, pending, debts, complete, off, releases = rest
    owed = debts_of(debts)
    return InForceReply(
        _ask(ask),
        number(table, "number", NUMBER_MOST),
        text(digest, "digest", 16),
        number(in_force, "in_force", NUMBER_MOST),
        flag(fresh, "fresh"),
        tables_of(tables),
        None if whole is None else read(whole),
        tuple(_pending_of(p) for p in listed(pending, "pending", PENDING_MOST)),
        tuple((d, who, n) for d, members in owed.items() for who, n in members.items()),
        flag(complete, "complete"),
        _pairs_of(off, "off"),
        tuple(release_of(r) for r in listed(releases, "releases", RELEASES_MOST)),
    )


def _pending(p: PendingProposal) -> Row:
    moves = None if p.moves is None else sorted(p.moves)
    return [p.proposal.number, p.proposal.digest, moves, [[m.site, m.name] for m in sorted(p.off)]]


def _pending_of(row: Any) -> PendingProposal:
    if not isinstance(row, (list, tuple)) or len(row) != 4:
        raise ValueError("pending: allowed: lists of four")
    table, digest, moves, off = row
    dests = None
    if moves is not None:
        dests = frozenset(
            number(d, "pending.moves", DEST_MOST) for d in listed(moves, "pending.moves", DEBTS_MOST)
        )
    gone = frozenset(member_of(m, "pending.off") for m in listed(off, "pending.off", MAX_MEMBERS))
    proposal = ProposalId(number(table, "pending.number", NUMBER_MOST), text(digest, "pending.digest", 16))
    return PendingProposal(proposal, dests, gone)


def _renew(m: LeaseRequest) -> Row:
    return [m.ask, m.number, m.lease_us]


def _renew_of(ask: Any, table: Any, lease_us: Any) -> LeaseRequest:
    return LeaseRequest(
        _ask(ask), number(table, "number", NUMBER_MOST), number(lease_us, "lease_us", LEASE_MOST_US)
    )


def _renewed(m: LeaseReply) -> Row:
    return [m.ask, m.granted, m.number, m.why]


def _renewed_of(ask: Any, granted: Any, table: Any, why: Any) -> LeaseReply:
    granted = flag(granted, "granted")
    return LeaseReply(_ask(ask), granted, number(table, "number", NUMBER_MOST), text(why, "why", WHY_MOST))


def _members(m: LeaseEndRequest | LeaseEndConfirmation) -> Row:
    return [_pairs(m.members)]


def _vouch_of(members: Any) -> LeaseEndRequest:
    return LeaseEndRequest(_pairs_of(members, "members"))


def _vouched_of(members: Any) -> LeaseEndConfirmation:
    return LeaseEndConfirmation(_pairs_of(members, "members"))


def _pairs(pairs: tuple[tuple[MemberId, int], ...]) -> Row:
    return [[[m.site, m.name], n] for m, n in pairs]


def _pairs_of(rows: Any, field: str) -> tuple[tuple[MemberId, int], ...]:
    found = []
    for row in listed(rows, field, MAX_MEMBERS):
        if not isinstance(row, (list, tuple)) or len(row) != 2:
            raise ValueError(f"{field}: allowed: [[site, name], number]")
        found.append((member_of(row[0], field), number(row[1], f"{field}.number", NUMBER_MOST)))
    return tuple(found)


def _ask(value: Any) -> int:
    return number(value, "ask", ASK_MOST)


_BY_TYPE: dict[type, tuple[str, Callable[[Any], Row], Callable[..., Any]]] = {
    InForceQuery: ("wq", _asked, _asked_of),
    InForceReply: ("wa", _told, _told_of),
    LeaseRequest: ("lq", _renew, _renew_of),
    LeaseReply: ("la", _renewed, _renewed_of),
    LeaseEndRequest: ("vq", _members, _vouch_of),
    LeaseEndConfirmation: ("va", _members, _vouched_of),
}
_COUNTS = {"wq": 3, "wa": 12, "lq": 3, "la": 4, "vq": 1, "va": 1}
_BY_KIND = {kind: (unpack, _COUNTS[kind]) for kind, _, unpack in _BY_TYPE.values()}
KINDS = frozenset(_BY_KIND)  # so that who shares the channel can tell whose a row is
