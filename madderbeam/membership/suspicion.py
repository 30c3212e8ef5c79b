"""How long a member may be suspected: shorter the more others accuse it independently (Lifeguard, IV B)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.values import MemberId


@dataclass(slots=True)
class Suspicion:
    """Of one incarnation of a member. An accuser counts once, however often its word comes."""

    began_us: int
    accusers: list[MemberId] = field(default_factory=list)  # in the order in which they were heard
    deadline_us: int = 0


def shortest_us(settings: MembershipSettings, members: int) -> int:
    """alpha * max(1, log10(members)) probe periods."""
    return int(settings.suspicion_alpha * max(1.0, math.log10(members)) * settings.probe_period_us)


def timeout_us(settings: MembershipSettings, members: int, accusers: int) -> int:
    """max(min, max - (max - min) * log(C + 1) / log(K + 1)) with C confirmations; K is never more than
    there are members who could confirm (all but the accused and the first accuser)."""
    least = shortest_us(settings, members)
    wanted = min(settings.confirmations, members - 2)
    if wanted < 1:
        return least
    most = int(settings.suspicion_beta * least)
    got = min(accusers - 1, wanted)
    return max(least, int(most - (most - least) * math.log(got + 1) / math.log(wanted + 1)))
