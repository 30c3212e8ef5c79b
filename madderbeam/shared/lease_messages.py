"""Messages between the members of a site about leases on limits: rows with a bound on every field.

In the names of fields `slot` is the number of a lease group, `regime` that of a lease term and `ask` that of
a term request.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

from madderbeam.membership.values import Row
from madderbeam.shared.lease_settings import SLOTS_MAX

NUMBER_MAX = 2**62
SPAN_MAX_US = 2 * 3_600 * 1_000_000
ROWS_MAX = 4_096
NAME_MAX_CHARACTERS = 128  # of a resource
AMOUNT_MAX = 1e15
BITMAP_MAX_BYTES = 4_096


@dataclass(frozen=True)
class MemberBitmap:
    """A set of the members that the tables name, as a bitmap in their sorted order.

    `names` is a checksum of that order; a member with another order ignores the bitmap.
    """

    names: int = 0
    bits: bytes = b""


@dataclass(frozen=True)
class TermRequest:
    """A grantor requests that its lease term be confirmed or renewed.

    `regime` is the term's number, `ask` the request's; both grow across the member's restarts. `joined`: the
    members known to have ever confirmed a term.
    """

    slot: int
    regime: int
    ask: int
    lease_us: int
    joined: MemberBitmap = MemberBitmap()


@dataclass(frozen=True)
class Holding:
    """A member's report of one resource.

    `held`: the amount that it may use for another `left_us`, under any term; with `left_us` 0 it has no
    lease, and `held` is its fixed share or floor. `used`: of a lingering resource, the amount in use now.
    """

    resource: str
    need: float
    worth: float
    held: float = 0.0
    left_us: int = 0
    used: float = 0.0


@dataclass(frozen=True)
class TermReply:
    """A reply to a term request.

    `votes`: it confirms the term, and no other grantor's for a lease by the slowest clock. `earlier_us`: for
    so long, grants of grantors that it confirmed earlier may still be valid. `seq`: the last grant of this
    term that it accepted; it will use none before that.
    """

    slot: int
    regime: int
    ask: int
    votes: bool
    earlier_us: int = 0
    seq: int = 0
    joined: MemberBitmap = MemberBitmap()
    holdings: tuple[Holding, ...] = ()


@dataclass(frozen=True)
class TermRejected:
    """A rejected term request: another member's term is confirmed, which may run for another `left_us`."""

    slot: int
    regime: int
    ask: int
    left_us: int


@dataclass(frozen=True)
class Grant:
    """The amounts that the member may use for `span_us`, counted from when it sent its reply to this request.

    Replaces all grants with a lower `seq`.
    """

    slot: int
    regime: int
    ask: int
    seq: int
    span_us: int
    parts: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True)
class GrantAck:
    """Acknowledges a grant that lowered an amount, or reports a changed need.

    After an acknowledgement no earlier grant is used any more, so the difference is free at once. `holdings`:
    reports of the lingering resources, or of those whose need has changed.
    """

    slot: int
    regime: int
    seq: int
    holdings: tuple[Holding, ...] = ()


@dataclass(frozen=True)
class LeaseReturn:
    """The member uses no more than its floors from now on.

    It accepts no grant for the request `ask` or an earlier one.
    """

    slot: int
    regime: int
    ask: int


@dataclass(frozen=True)
class TermEnd:
    """The grantor has ended its term and grants nothing more under it. Outstanding grants stay valid."""

    slot: int
    regime: int


def to_row(message: Any) -> Row:
    """The row that is sent: the kind, then the fields in order."""
    message_type = type(message)
    return [
        _KINDS[message_type],
        *(_FIELDS[field.name][0](getattr(message, field.name)) for field in fields(message_type)),
    ]


def from_row(row: Any) -> Any:
    """The message of a received row. Raises ValueError that names the field."""
    if not isinstance(row, list) or not row or not isinstance(row[0], str) or row[0] not in _TYPES:
        raise ValueError(f"kind: allowed: {', '.join(sorted(_TYPES))}")
    message_type = _TYPES[row[0]]
    names = [field.name for field in fields(message_type)]
    if len(row) != len(names) + 1:
        raise ValueError(f"{row[0]}: allowed: {len(names)} fields")
    return message_type(
        *(_FIELDS[name][1](f"{row[0]}.{name}", value) for name, value in zip(names, row[1:], strict=True))
    )


def _same(value: Any) -> Any:
    return value


def whole_number(maximum: int) -> Callable[[str, Any], int]:
    """A reader of whole numbers from 0 to `maximum`. It raises ValueError that names the field."""

    def read(field: str, value: Any) -> int:
        if type(value) is not int or not 0 <= value <= maximum:
            raise ValueError(f"{field}: allowed: whole numbers from 0 to {maximum}")
        return value

    return read


def _flag(field: str, value: Any) -> bool:
    if type(value) is not bool:
        raise ValueError(f"{field}: allowed: true or false")
    return value


def amount(field: str, value: Any) -> float:
    """A finite number from 0 up. Raises ValueError."""
    if type(value) not in (int, float) or not math.isfinite(value) or not 0 <= value <= AMOUNT_MAX:
        raise ValueError(f"{field}: allowed: numbers from 0 to {AMOUNT_MAX:g}")
    return float(value)


def name(field: str, value: Any) -> str:
    """A resource's name. Raises ValueError."""
    if not isinstance(value, str) or not 1 <= len(value) <= NAME_MAX_CHARACTERS:
        raise ValueError(f"{field}: allowed: 1 to {NAME_MAX_CHARACTERS} characters")
    return value


def _seats(field: str, value: Any) -> MemberBitmap:
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError(f"{field}: allowed: a sum and a bitmap")
    if not isinstance(value[1], bytes) or len(value[1]) > BITMAP_MAX_BYTES:
        raise ValueError(f"{field}: allowed: bitmaps of at most {BITMAP_MAX_BYTES} bytes")
    return MemberBitmap(whole_number(2**32)(field, value[0]), value[1])


def _rows(field: str, value: Any, width: int) -> list[Any]:
    if not isinstance(value, list) or len(value) > ROWS_MAX:
        raise ValueError(f"{field}: allowed: at most {ROWS_MAX} rows")
    if any(not isinstance(row, list) or len(row) != width for row in value):
        raise ValueError(f"{field}: allowed: rows of {width} fields")
    return value


def _holdings(field: str, value: Any) -> tuple[Holding, ...]:
    return tuple(
        Holding(
            name(f"{field}.resource", resource),
            amount(f"{field}.need", need),
            amount(f"{field}.worth", worth),
            amount(f"{field}.held", held),
            whole_number(SPAN_MAX_US)(f"{field}.left_us", left_us),
            amount(f"{field}.used", used),
        )
        for resource, need, worth, held, left_us, used in _rows(field, value, 6)
    )


def _parts(field: str, value: Any) -> tuple[tuple[str, float], ...]:
    return tuple(
        (name(f"{field}.resource", resource), amount(f"{field}.amount", granted))
        for resource, granted in _rows(field, value, 2)
    )


def _packed_seats(bitmap: MemberBitmap) -> Row:
    return [bitmap.names, bitmap.bits]


def _packed_holdings(holdings: tuple[Holding, ...]) -> Row:
    return [
        [holding.resource, holding.need, holding.worth, holding.held, holding.left_us, holding.used]
        for holding in holdings
    ]


def _packed_parts(parts: tuple[tuple[str, float], ...]) -> Row:
    return [list(part) for part in parts]


_FIELDS: dict[str, tuple[Callable[[Any], Any], Callable[[str, Any], Any]]] = {
    "slot": (_same, whole_number(SLOTS_MAX - 1)),
    "regime": (_same, whole_number(NUMBER_MAX)),
    "ask": (_same, whole_number(NUMBER_MAX)),
    "seq": (_same, whole_number(NUMBER_MAX)),
    "votes": (_same, _flag),
    "earlier_us": (_same, whole_number(SPAN_MAX_US)),
    "lease_us": (_same, whole_number(SPAN_MAX_US)),
    "left_us": (_same, whole_number(SPAN_MAX_US)),
    "span_us": (_same, whole_number(SPAN_MAX_US)),
    "joined": (_packed_seats, _seats),
    "holdings": (_packed_holdings, _holdings),
    "parts": (_packed_parts, _parts),
}
_KINDS: dict[type, str] = {
    TermRequest: "lease-ask",
    TermReply: "lease-told",
    TermRejected: "lease-refused",
    Grant: "lease-grant",
    GrantAck: "lease-took",
    LeaseReturn: "lease-back",
    TermEnd: "lease-end",
}
_TYPES = {kind: made for made, kind in _KINDS.items()}
