"""What members of a site say to each other about leases on limits: rows with a bound on every field."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

from madderbeam.membership.values import Row
from madderbeam.shared.lease_settings import SLOTS_MOST

COUNT_MOST = 2**62
SPAN_MOST_US = 2 * 3_600 * 1_000_000
ROWS_MOST = 4_096
NAME_MOST = 128  # characters of a resource
AMOUNT_MOST = 1e15
SEATS_MOST = 4_096  # bytes of a bitmap


@dataclass(frozen=True)
class Seats:
    """Some of the members that a table names, a bit each in their order. `names`: a sum over that order; who
    has another does not read it."""

    names: int = 0
    bits: bytes = b""


@dataclass(frozen=True)
class Ask:
    """A granter asks for its regime to be confirmed, or renewed. `regime`: grows with each that it begins,
    over its restarts as well; `ask` likewise. `joined`: who has ever confirmed one, as far as it knows."""

    slot: int
    regime: int
    ask: int
    lease_us: int
    joined: Seats = Seats()


@dataclass(frozen=True)
class Holding:
    """One resource, as a member tells it. `held`: what it may use still for `left_us`, by any regime; 0: with
    no lease, its fixed part or floor. `used`: of one that lingers, what is in use now."""

    resource: str
    need: float
    worth: float
    held: float = 0.0
    left_us: int = 0
    used: float = 0.0


@dataclass(frozen=True)
class Told:
    """An answer. `votes`: it confirms; it confirms no other for a lease by the slowest clock. `earlier_us`:
    so long may run still what others gave whose regimes it confirmed before. `seq`: the last grant that it
    took of this regime: it will use none before it."""

    slot: int
    regime: int
    ask: int
    votes: bool
    earlier_us: int = 0
    seq: int = 0
    joined: Seats = Seats()
    holdings: tuple[Holding, ...] = ()


@dataclass(frozen=True)
class Refused:
    """It has confirmed another's regime, that may run for so long."""

    slot: int
    regime: int
    ask: int
    left_us: int


@dataclass(frozen=True)
class Grant:
    """What the member may use for `span_us`, counted from when it sent the answer to this ask; in place of
    all grants with a lower `seq`."""

    slot: int
    regime: int
    ask: int
    seq: int
    span_us: int
    parts: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True)
class Took:
    """It took a grant that lowered a part, and uses none before it any more: so that the difference is free
    at once. Or what it needs has changed. `holdings`: of the resources that linger, or whose need changed."""

    slot: int
    regime: int
    seq: int
    holdings: tuple[Holding, ...] = ()


@dataclass(frozen=True)
class Back:
    """The member uses no more than its floor from now on, and takes no grant in answer to what it told on
    `ask` or before."""

    slot: int
    regime: int
    ask: int


@dataclass(frozen=True)
class End:
    """The granter's regime is over: it grants nothing by it any more. What it gave runs on."""

    slot: int
    regime: int


def to_row(message: Any) -> Row:
    """As the mesh sends it: the kind first."""
    made = type(message)
    return [_KINDS[made], *(_FIELDS[f.name][0](getattr(message, f.name)) for f in fields(made))]


def from_row(row: Any) -> Any:
    """The message of a row. Raises ValueError that names the field."""
    if not isinstance(row, list) or not row or not isinstance(row[0], str) or row[0] not in _TYPES:
        raise ValueError(f"kind: allowed: {', '.join(sorted(_TYPES))}")
    made = _TYPES[row[0]]
    names = [f.name for f in fields(made)]
    if len(row) != len(names) + 1:
        raise ValueError(f"{row[0]}: allowed: {len(names)} fields")
    return made(*(_FIELDS[n][1](f"{row[0]}.{n}", value) for n, value in zip(names, row[1:], strict=True)))


def _same(value: Any) -> Any:
    return value


def whole(most: int) -> Callable[[str, Any], int]:
    """Reads a whole number from 0 to `most`."""

    def read(field: str, value: Any) -> int:
        if type(value) is not int or not 0 <= value <= most:
            raise ValueError(f"{field}: allowed: whole numbers from 0 to {most}")
        return value

    return read


def _flag(field: str, value: Any) -> bool:
    if type(value) is not bool:
        raise ValueError(f"{field}: allowed: true or false")
    return value


def amount(field: str, value: Any) -> float:
    """A finite number from 0 up. Raises ValueError."""
    if type(value) not in (int, float) or not math.isfinite(value) or not 0 <= value <= AMOUNT_MOST:
        raise ValueError(f"{field}: allowed: numbers from 0 to {AMOUNT_MOST:g}")
    return float(value)


def name(field: str, value: Any) -> str:
    """A resource's name. Raises ValueError."""
    if not isinstance(value, str) or not 1 <= len(value) <= NAME_MOST:
        raise ValueError(f"{field}: allowed: 1 to {NAME_MOST} characters")
    return value


def _seats(field: str, value: Any) -> Seats:
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError(f"{field}: allowed: a sum and a bitmap")
    if not isinstance(value[1], bytes) or len(value[1]) > SEATS_MOST:
        raise ValueError(f"{field}: allowed: bitmaps of at most {SEATS_MOST} bytes")
    return Seats(whole(2**32)(field, value[0]), value[1])


def _rows(field: str, value: Any, width: int) -> list[Any]:
    if not isinstance(value, list) or len(value) > ROWS_MOST:
        raise ValueError(f"{field}: allowed: at most {ROWS_MOST} rows")
    if any(not isinstance(row, list) or len(row) != width for row in value):
        raise ValueError(f"{field}: allowed: rows of {width} fields")
    return value


def _holdings(field: str, value: Any) -> tuple[Holding, ...]:
    return tuple(
        Holding(
            name(f"{field}.resource", r),
            amount(f"{field}.need", n),
            amount(f"{field}.worth", w),
            amount(f"{field}.held", h),
            whole(SPAN_MOST_US)(f"{field}.left_us", left),
            amount(f"{field}.used", u),
        )
        for r, n, w, h, left, u in _rows(field, value, 6)
    )


def _parts(field: str, value: Any) -> tuple[tuple[str, float], ...]:
    return tuple(
        (name(f"{field}.resource", r), amount(f"{field}.amount", a)) for r, a in _rows(field, value, 2)
    )


def _packed_seats(seats: Seats) -> Row:
    return [seats.names, seats.bits]


def _packed_holdings(holdings: tuple[Holding, ...]) -> Row:
    return [[h.resource, h.need, h.worth, h.held, h.left_us, h.used] for h in holdings]


def _packed_parts(parts: tuple[tuple[str, float], ...]) -> Row:
    return [list(part) for part in parts]


_FIELDS: dict[str, tuple[Callable[[Any], Any], Callable[[str, Any], Any]]] = {
    "slot": (_same, whole(SLOTS_MOST - 1)),
    "regime": (_same, whole(COUNT_MOST)),
    "ask": (_same, whole(COUNT_MOST)),
    "seq": (_same, whole(COUNT_MOST)),
    "votes": (_same, _flag),
    "earlier_us": (_same, whole(SPAN_MOST_US)),
    "lease_us": (_same, whole(SPAN_MOST_US)),
    "left_us": (_same, whole(SPAN_MOST_US)),
    "span_us": (_same, whole(SPAN_MOST_US)),
    "joined": (_packed_seats, _seats),
    "holdings": (_packed_holdings, _holdings),
    "parts": (_packed_parts, _parts),
}
_KINDS: dict[type, str] = {
    Ask: "lease-ask",
    Told: "lease-told",
    Refused: "lease-refused",
    Grant: "lease-grant",
    Took: "lease-took",
    Back: "lease-back",
    End: "lease-end",
}
_TYPES = {kind: made for made, kind in _KINDS.items()}
