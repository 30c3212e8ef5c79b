"""One member tries a partner that is out, on behalf of all that have something for it.

A member whose call fails with none answered since doubts the partner; once it has found it out it says that.
Two that doubt are reason enough for the others to begin nothing new for a moment, while those two go on; two
that say it is out are reason to leave it to one of them, for as long as it says so again. The highest
rendezvous score is the one, and stays; after a turn without an answer the next one is it, so that a partner
which refuses that one alone is found to answer others. Once it has an answer, that is news: all begin again,
cold.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from madderbeam.federation.errors import OutAlone
from madderbeam.membership.values import Incarnation, LogLine, MemberId, SetTimer
from madderbeam.relay.choice import score
from madderbeam.shared.news import WITNESSED, WITNESSES, NewsBoard, Told
from madderbeam.shared.values import Answered, Failed, Heed, Kind, Lapsed, Learnt, News, TryFor

TIMER = "returning"
DOUBT_US = 1_000_000  # a doubt is told for so long, and again with the next failure
MOMENT_US = 2_000_000  # doubts that come to nothing hold others back for so long at most
REST_US, REST_MOST_US = 10_000_000, 60_000_000  # and then none counts for so long: first, doubling, at most
TRIES = 0.5  # in an outage's value: its teller tries for all
TURN_US = 10_000_000  # one that tries for all without an answer leaves it to the next after this
LATELY_US = 1_000_000  # one that was answered here within this is not back: it never was out


@dataclass
class Moment:
    """A destination that some doubt, as this member sees it."""

    began_us: int = -1  # two doubted from then on, -1: not now
    rest_until_us: int = 0
    rest_us: int = REST_US  # the next rest

    def holds(self, now_us: int, doubted: bool) -> bool:
        """Whether to hold back for doubts alone; to be asked at each change."""
        if doubted and self.began_us < 0 and now_us >= self.rest_until_us:
            self.began_us = now_us
        over = self.began_us >= 0 and (not doubted or now_us - self.began_us >= MOMENT_US)
        if over:
            self.began_us, self.rest_until_us = -1, now_us + self.rest_us
            self.rest_us = min(REST_MOST_US, 2 * self.rest_us)
        return self.began_us >= 0

    def confirmed(self) -> None:
        """It is out: the doubts were right."""
        self.began_us, self.rest_until_us, self.rest_us = -1, 0, REST_US


class Partners:
    """NewsBoard's events in, with Failed and Answered; its actions out, with TryFor beside. An outage (or a
    doubt, for a moment) is heeded by those alone that do not try."""

    def __init__(self, me: MemberId, life: Incarnation) -> None:
        self.me, self.board = me, NewsBoard(me, life)
        self.trying: dict[int, int] = {}  # destinations that this one tries for all: since when
        self.turns: dict[int, int] = {}  # turns that it had without an answer
        self.held: dict[int, Kind] = {}  # destinations that are held back, and for what
        self.moments: dict[int, Moment] = {}
        self.alone: set[int] = set()  # destinations that were noted to be out for this one alone

    def handle(self, now_us: int, event: Any) -> list[Any]:
        if isinstance(event, Learnt) and event.news.kind is Kind.OUTAGE:
            event = Learnt(replace(event.news, value=self._value(event.news.dest)))
        actions = self._own(now_us, event)
        actions += [a for a in self.board.handle(now_us, event) if not self._is_old(now_us, a)]
        named = self.board.named(WITNESSED)
        for dest in sorted(named | self.held.keys() | self.trying.keys() | self.moments.keys() | self.alone):
            actions += self._settle(now_us, dest, dest in named)
        ends = [m.began_us + MOMENT_US for m in self.moments.values() if m.began_us >= 0]
        return [*actions, SetTimer(min(ends), TIMER)] if ends else actions

    def answered(self, now_us: int, dest: int) -> bool:
        """The destination answered a call of this courier's; True where the machine is to be told."""
        self.board.answered(now_us, dest)
        self.turns.pop(dest, None)
        return any((kind, dest, "") in self.board.owners[self.me].told for kind in WITNESSED)

    def status(self, now_us: int) -> dict[str, Any]:
        """For GET /federation."""
        return {
            "news": self.board.status(now_us),
            "tries": sorted(self.trying),
            "doubted": [
                {"dest": dest, "holds": m.began_us >= 0, "rest_ms": max(0, m.rest_until_us - now_us) // 1000}
                for dest, m in sorted(self.moments.items())
            ],
        }

    def trier(self, now_us: int, dest: int) -> MemberId | None:
        """Who tries now; None if nobody says that it is out."""
        said = self.board.counting(Kind.OUTAGE, dest, now_us)
        return next(iter(_in_turn(dest, said)), None)

    def _own(self, now_us: int, event: Any) -> list[Any]:
        """What this member's own calls have shown."""
        if isinstance(event, Failed):
            moment = self.moments.get(event.dest)
            if moment is None or now_us >= moment.rest_until_us:
                return self.board.handle(now_us, Learnt(News(Kind.DOUBT, event.dest, "", DOUBT_US)))
        elif isinstance(event, Answered) and (Kind.DOUBT, event.dest, "") in self.board.owners[self.me].told:
            # It came to nothing: the next is told later, also where nobody else doubted.
            self.moments.setdefault(event.dest, Moment()).rest_until_us = now_us + DOUBT_US
            return self.board.handle(now_us, Learnt(News(Kind.DOUBT, event.dest, "", 0)))
        return []

    def _is_old(self, now_us: int, action: Any) -> bool:
        """A return that is none here. What was said of the outage before one that is, is void."""
        if not isinstance(action, Heed) or action.news.kind is not Kind.BACK:
            return False
        dest = action.news.dest
        if dest not in self.held and now_us - self.board.answered_us.get(dest, -LATELY_US) < LATELY_US:
            return True
        self.answered(now_us, dest)
        return False

    def _settle(self, now_us: int, dest: int, named: bool) -> list[Any]:
        out = self.board.counting(Kind.OUTAGE, dest, now_us) if named else {}
        said = {**self.board.counting(Kind.DOUBT, dest, now_us), **out} if named else {}
        confirmed, doubted = len(out) >= WITNESSES, len(out) < WITNESSES <= len(said)
        order = _in_turn(dest, out if confirmed else said)
        mine = self.me in order[: 1 if confirmed else WITNESSES]
        actions = self._tries(now_us, dest, mine and confirmed)
        actions += self._alone(now_us, dest, said)
        moment = self.moments.setdefault(dest, Moment()) if doubted else self.moments.get(dest)
        for_now = moment is not None and moment.holds(now_us, doubted)
        if moment is not None and confirmed:
            moment.confirmed()
        elif moment is not None and now_us > moment.rest_until_us + REST_MOST_US:
            del self.moments[dest]
        hold = (Kind.OUTAGE if confirmed else Kind.DOUBT) if not mine and (confirmed or for_now) else None
        before = self.held.get(dest)
        if hold is not None and before is not hold and before is not Kind.OUTAGE:
            self.held[dest] = hold
            left_us = max(t.until_us for t in said.values()) - now_us
            actions.append(Heed(News(hold, dest, "", left_us), order[0]))
        elif hold is None and before is not None:
            del self.held[dest]
            actions.append(Lapsed(before, dest, ""))
        return actions

    def _alone(self, now_us: int, dest: int, said: dict[MemberId, Told]) -> list[Any]:
        """Told once, where nobody else has doubted for long."""
        mine = said.get(self.me)
        if mine is None:
            self.alone.discard(dest)
        elif len(said) == 1 and dest not in self.alone and now_us - mine.since_us >= TURN_US:
            self.alone.add(dest)
            what = f"destination {dest} answers no call of {self.me}, for {TURN_US // 1_000_000} s"
            return [LogLine("out for this one alone", OutAlone(what))] if self.board.living > 1 else []
        return []

    def _tries(self, now_us: int, dest: int, tries: bool) -> list[Any]:
        since_us = self.trying.get(dest)
        if tries and since_us is not None and now_us - since_us >= TURN_US:
            self.turns[dest], tries = self.turns.get(dest, 0) + 1, False
        if tries == (since_us is not None):
            return []
        if tries:
            self.trying[dest] = now_us
        else:
            del self.trying[dest]
        word = self.board.revalued(now_us, Kind.OUTAGE, dest, self._value(dest))
        return [TryFor(dest, tries), *word]

    def _value(self, dest: int) -> float:
        """Of what this member says of an outage: the turns that it had, and whether it tries."""
        return self.turns.get(dest, 0) + (TRIES if dest in self.trying else 0.0)


def _in_turn(dest: int, said: dict[MemberId, Told]) -> list[MemberId]:
    """Who tries is the first, then who had the fewest turns."""
    place = MemberId("partner", str(dest))

    def rank(member: MemberId) -> tuple[bool, float, int, MemberId]:
        value = said[member].value
        return value % 1 != TRIES, value // 1, -score(place, member), member

    return sorted(said, key=rank)
