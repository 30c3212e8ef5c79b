"""Suspicion timeout: shorter the more members accuse independently (Lifeguard, section IV B)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from madderbeam.membership.settings import MembershipSettings
from madderbeam.membership.values import MemberId


@dataclass(slots=True)
class Suspicion:
    """A suspicion of one incarnation of a member.

    Each accuser counts once, however often it repeats itself.
    """

    began_us: int
    accusers: list[MemberId] = field(default_factory=list)  # in the order in which they accused
    deadline_us: int = 0


def minimum_timeout_us(settings: MembershipSettings, members: int) -> int:
    """Minimum suspicion time: alpha * max(1, log10(members)) probe periods, in microseconds."""
    return int(settings.suspicion_alpha * max(1.0, math.log10(members)) * settings.probe_period_us)


def timeout_us(settings: MembershipSettings, members: int, accusers: int) -> int:
    """max(min, max - (max - min) * log(C + 1) / log(K + 1)) microseconds with C confirmations.

    K is at most the number of members that could confirm: all but the accused and the first accuser.
    """
    minimum_us = minimum_timeout_us(settings, members)
    max_confirmations = min(settings.confirmations, members - 2)
    if max_confirmations < 1:
        return minimum_us
    maximum_us = int(settings.suspicion_beta * minimum_us)
    confirmations = min(accusers - 1, max_confirmations)
    return max(
        minimum_us,
        int(
            maximum_us
            - (maximum_us - minimum_us) * math.log(confirmations + 1) / math.log(max_confirmations + 1)
        ),
    )
