"""The state of the switchover that GET /federation shows."""

from __future__ import annotations

from typing import Any

MAX_DESTINATIONS_SHOWN = 1_000


def status(switchover: Any) -> dict[str, Any]:
    """The state of a Switchover, which imports this module. Spans are in milliseconds as of the last
    event.
    """
    registry, now_us, suspension = (
        switchover.registry,
        switchover.actions.now_us,
        switchover.suspension.current,
    )
    suspended = None if suspension.destinations is None else sorted(suspension.destinations)
    since_ms = (now_us - registry.in_force_since_us) // 1_000
    moving: dict[str, Any] = {}
    not_shown = 0
    for dest in sorted(registry.ledger.outstanding):
        missing_members = sorted(
            member
            for member, number in registry.ledger.outstanding[dest].items()
            if not registry.is_released(dest, member, number)
        )
        if not missing_members and dest not in switchover.moves.relinquishing:
            continue
        if len(moving) >= MAX_DESTINATIONS_SHOWN:
            not_shown += 1
            continue
        moving[str(dest)] = {
            "owner": registry.table.owners.get(dest),
            "not_released": [str(member) for member in missing_members],
            "for_ms": since_ms,
        }
    return {
        "in_force": {"number": registry.ledger.number, "digest": registry.table.digest, "for_ms": since_ms},
        "agreed_not_in_force": sorted(switchover.activation.agreed),
        "moving": moving,
        "moving_not_shown": not_shown,
        "served": len(switchover.moves.served),
        "letting_go": sorted(switchover.moves.relinquishing),
        "lease": _lease(switchover),
        "hold": {"on": suspension.is_suspended, "why": suspension.reason, "destinations": suspended},
        "others": {
            str(member): {"in_force": standing.number, "settled": standing.is_settled}
            for member, standing in sorted(registry.standings.items())
        },
        "called_off": {
            str(member): number for member, number in sorted(registry.decommissioned_up_to.items())
        },
        "errors": [error.line() for error in switchover.suspension.errors()],
    }


def _lease(switchover: Any) -> dict[str, Any] | None:
    if not switchover.settings.lease_us:
        return None
    remaining_us = switchover.lease_holder.valid_until_us - switchover.actions.now_us
    return {"lease_ms": switchover.settings.lease_us // 1_000, "left_ms": max(0, remaining_us // 1_000)}
