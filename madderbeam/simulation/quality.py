"""How well a run was served, beside whether it kept the rules: from what crossed the wires."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from madderbeam.policy.settings import MessageClass
from madderbeam.simulation.checker import Handed
from madderbeam.simulation.clients import Wish


@dataclass(frozen=True)
class Quality:
    """Shares are of what clients meant to hand in; worth falls from the wanted time to the deadline."""

    worth: float  # delivered, of what was asked for
    in_time: float  # delivered within the wanted time
    delivered: float
    by_class: dict[str, float]  # worth delivered, by class
    attempts: float  # a message delivered
    refused: float  # refusals and notices of them a message meant
    recovery_ms: float | None  # from an outage's end to its destination's next delivery, on average


def worth(cls: MessageClass, age_us: int) -> float:
    """Share of its worth that a message still has at that age."""
    if age_us <= cls.latency_objective_us:
        return 1.0
    if age_us >= cls.deadline_us:
        return 0.0
    return 1 - (1 - cls.late_value_share) * (age_us - cls.latency_objective_us) / (
        cls.deadline_us - cls.latency_objective_us
    )


def measured(
    classes: tuple[MessageClass, ...],
    wishes: list[Wish],
    handed: Iterable[Handed],
    holders: dict[str, Wish],
    outages: list[tuple[int, int]],
) -> Quality:
    """The quality of a run; `outages`: (destination, when its outage ended in us)."""
    done: dict[int, int] = {}  # by wish: when it was delivered first
    ends: dict[int, list[int]] = {}  # deliveries by destination
    attempts = refusals = 0
    for m in handed:
        attempts += len(m.attempts)
        refusals += m.said == "busy" or any(n.status == "deferred" for n in m.notices)
        wish = holders.get(m.id)
        if m.delivered_us >= 0 and m.taken_us >= 0 and wish is not None:
            done[wish.number] = min(done.get(wish.number, m.delivered_us), m.delivered_us)
            ends.setdefault(m.dest, []).append(m.delivered_us)
    sums: dict[str, list[float]] = {}
    in_time = 0
    for wish in wishes:
        cls = classes[wish.cls]
        age = done[wish.number] - wish.born_us if wish.number in done else cls.deadline_us
        in_time += age <= cls.latency_objective_us
        row = sums.setdefault(cls.name, [0.0, 0.0])
        row[0] += cls.priority_weight * worth(cls, age)
        row[1] += cls.priority_weight
    firsts = [
        (since, min((at for at in ends.get(dest, ()) if at >= since), default=-1)) for dest, since in outages
    ]
    back = [at - since for since, at in firsts if at >= 0]
    asked, count = sum(r[1] for r in sums.values()), max(1, len(wishes))
    return Quality(
        worth=sum(r[0] for r in sums.values()) / asked if asked else 1.0,
        in_time=in_time / count,
        delivered=len(done) / count,
        by_class={name: r[0] / r[1] for name, r in sorted(sums.items())},
        attempts=attempts / max(1, len(done)),
        refused=refusals / count,
        recovery_ms=statistics.mean(back) / 1e3 if back else None,
    )
