"""What owner and standby say to each other, and the check of what comes: `Odd` for all that is not in form.

hello    owner    [fence, form, strict, silent_us, limit, name]
welcome  standby  [[[segment, size, digest], ...], whole]
fenced   standby  [fence]          the standby was promoted
refused  standby  [code, why]
block    owner    [segment, at, data, digest behind it, position, bytes sent, stamp, fence]
drop     owner    [segment, position, bytes sent, stamp, fence]
midway   owner    []               what follows is no earlier state of the owner's until `whole`
whole    owner    [position, bytes sent, stamp]
beat     owner    [stamp]
ack      standby  [position, bytes, stamp]
full     standby  []               its disk does not take it
yield    standby  []               a person moves the courier: end in order
released owner    []               it has ended, and will write nothing more
"""

from __future__ import annotations

from typing import Any

from madderbeam.membership.values import Row
from madderbeam.replication.values import BLOCK_MOST

VERSION = 1
MOST = (1 << 63) - 1
_N, _B, _T, _F, _L = "number", "bytes", "text", "flag", "list"
FORMS: dict[str, tuple[str, ...]] = {
    "hello": (_N, _T, _F, _N, _N, _T),
    "welcome": (_L, _F),
    "fenced": (_N,),
    "refused": (_T, _T),
    "block": (_N, _N, _B, _N, _N, _N, _N, _N),
    "drop": (_N, _N, _N, _N, _N),
    "midway": (),
    "whole": (_N, _N, _N),
    "beat": (_N,),
    "ack": (_N, _N, _N),
    "full": (),
    "yield": (),
    "released": (),
}
SEGMENTS_MOST = 1 << 16


class Odd(ValueError):
    """No message of this version's; the text names what is wrong."""


def check(channel: str, row: Row) -> Row:
    """The row, if it is in form."""
    form = FORMS.get(channel)
    if form is None:
        raise Odd(f"channel {channel!r:.20}")
    if len(row) != len(form):
        raise Odd(f"{channel}: {len(row)} fields where {len(form)} are due")
    for number, (kind, value) in enumerate(zip(form, row, strict=True)):
        if not _fits(kind, value):
            raise Odd(f"{channel}: field {number} must be a {kind}, not {value!r:.40}")
    if channel == "welcome" and not all(_segment(each) for each in row[0]):
        raise Odd("welcome: a segment must be number, size and digest")
    return row


def _fits(kind: str, value: Any) -> bool:
    if kind == _N:
        return type(value) is int and 0 <= value <= MOST
    if kind == _B:
        return isinstance(value, bytes) and len(value) <= BLOCK_MOST
    if kind == _T:
        return isinstance(value, str) and len(value) <= 4096
    return isinstance(value, bool) if kind == _F else isinstance(value, list) and len(value) <= SEGMENTS_MOST


def _segment(value: Any) -> bool:
    return isinstance(value, list) and len(value) == 3 and all(_fits(_N, n) for n in value) and value[0] > 0
