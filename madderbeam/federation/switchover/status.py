"""What GET /federation shows of switch-over: in force, what is missing and since when, lease, hold."""

from __future__ import annotations

from typing import Any

SHOWN_MOST = 1_000  # destinations


def status(switch: Any) -> dict[str, Any]:
    """Of a Switch, which imports this. Spans in milliseconds, as of the time of the turn."""
    book, now_us, gate = switch.book, switch.out.now_us, switch.holds.gate
    held = None if gate.destinations is None else sorted(gate.destinations)
    since_ms = (now_us - book.since_us) // 1_000
    moving: dict[str, Any] = {}
    hidden = 0
    for dest in sorted(book.ledger.debts):
        owing = sorted(m for m, n in book.ledger.debts[dest].items() if not book.paid(dest, m, n))
        if not owing and dest not in switch.moves.leaving:
            continue
        if len(moving) >= SHOWN_MOST:
            hidden += 1
            continue
        moving[str(dest)] = {
            "owner": book.table.owners.get(dest),
            "not_released": [str(m) for m in owing],
            "for_ms": since_ms,
        }
    return {
        "in_force": {"number": book.ledger.number, "digest": book.table.digest, "for_ms": since_ms},
        "agreed_not_in_force": sorted(switch.adoption.agreed),
        "moving": moving,
        "moving_not_shown": hidden,
        "served": len(switch.moves.served),
        "letting_go": sorted(switch.moves.leaving),
        "lease": _lease(switch),
        "hold": {"on": gate.is_suspended, "why": gate.reason, "destinations": held},
        "others": {
            str(m): {"in_force": s.number, "settled": s.settled} for m, s in sorted(book.standings.items())
        },
        "called_off": {str(m): n for m, n in sorted(book.words.items())},
        "errors": [e.line() for e in switch.holds.errors()],
    }


def _lease(switch: Any) -> dict[str, Any] | None:
    if not switch.settings.lease_us:
        return None
    left_us = switch.holder.valid_until_us - switch.out.now_us
    return {"lease_ms": switch.settings.lease_us // 1_000, "left_ms": max(0, left_us // 1_000)}
