"""Anti-entropy: full state exchange over a stream at the join, periodically and after a pause.

It repairs what dissemination by datagrams missed.
"""

from __future__ import annotations

from madderbeam.membership.dissemination import Dissemination
from madderbeam.membership.member_table import Member
from madderbeam.membership.messages import FullState, report_row
from madderbeam.membership.packed_size import packed_size
from madderbeam.membership.values import Address, StartStateExchange, State, StateReply

STRETCH_MOST = 20  # a multiple of the exchange period, reached when large states are sent
MEND_PERIODS = 5  # between two exchanges with dead members that answered


class StateExchanges:
    """Starts exchanges for three reasons, each with its own timer.

    These are seeds that are not among the live members, the periodic exchange, and the query after a pause.
    """

    def __init__(self, dissemination: Dissemination, seeds: tuple[Address, ...]) -> None:
        self.speech, self.seeds = (
            dissemination,
            tuple(seed for seed in seeds if seed != dissemination.own.address),
        )
        self.seed_us: int | None = None
        self.seed_wait_us = 0
        self.turn_us: int | None = None
        self.ask_us: int | None = None
        self.tries = 0  # remaining queries after a pause; 0: none is in progress
        self.owing = False  # an exchange was started here and its reply not yet followed up
        self.bytes = 0  # sent since the last periodic exchange
        self.again = False  # the last periodic exchange failed and is being retried
        self.mend_us = 0  # earliest time of the next exchange with a dead member that answered

    def start(self, now_us: int) -> None:
        """Schedule the first periodic exchange at a random time, and contact the seeds at once."""
        period = self.speech.settings.exchange_period_us
        self.turn_us = now_us + self.speech.chance.randrange(period // 2, period)
        self.seed_wait_us = 2 * self.speech.settings.probe_period_us
        if self.seeds:
            self.seed_us = now_us

    def stop(self) -> None:
        """Cancel all timers."""
        self.seed_us = self.turn_us = self.ask_us = None

    def next_us(self) -> int | None:
        """When `tick` is due; None: no timer is set."""
        return min(
            (time_us for time_us in (self.seed_us, self.turn_us, self.ask_us) if time_us is not None),
            default=None,
        )

    @property
    def asking(self) -> bool:
        """Whether a reply is awaited after a pause."""
        return self.tries > 0

    def tick(self, now_us: int) -> None:
        """Start the exchanges that are due."""
        if self.seed_us is not None and self.seed_us <= now_us:
            self._seed(now_us)
        if self.ask_us is not None and self.ask_us <= now_us:
            self._ask(now_us)
        if self.turn_us is not None and self.turn_us <= now_us:
            self._turn(now_us)

    def _seed(self, now_us: int) -> None:
        """Contact a seed at which no live member is reached: before the join, or across a partition."""
        live_members = self._live()
        reached = {self.speech.address(member.id, member.address) for member in live_members} | {
            member.address for member in live_members
        }
        missing = [seed for seed in self.seeds if seed not in reached]
        max_interval_us = self.speech.settings.exchange_period_us
        if missing:
            self._exchange(self.speech.chance.choice(missing))
        self.seed_us = now_us + self.seed_wait_us
        self.seed_wait_us = min(max_interval_us, self.seed_wait_us * 3 // 2) if missing else max_interval_us

    def _turn(self, now_us: int) -> None:
        settings, rng = self.speech.settings, self.speech.chance
        candidates = self.speech.lately(now_us) if self.again else self._live()
        if candidates and not self.asking:
            member = rng.choice(candidates)
            self._exchange(self.speech.address(member.id, member.address))
        factor = min(STRETCH_MOST, max(1, self.bytes // settings.exchange_bytes))
        period_us = settings.exchange_period_us * factor
        self.again, self.bytes = False, 0
        self.turn_us = now_us + rng.randrange(period_us * 3 // 4, period_us * 5 // 4)

    def resume(self, now_us: int) -> None:
        """After a pause: request the state of one member, or of another if it does not reply."""
        if self._live():
            self.tries = self.speech.settings.resume_tries + 1
            self.speech.quiet = True
            self._ask(now_us)

    def failed(self, now_us: int) -> None:
        """Retry after a failed exchange.

        The query after a pause goes to another member at once; a periodic exchange goes to a recently active
        member.
        """
        if self.asking:
            self.ask_us = now_us
        elif self.turn_us is not None and not self.again:
            self.again, self.turn_us = True, now_us

    def _ask(self, now_us: int) -> None:
        live_members = self._live()
        self.tries -= 1
        self.ask_us = None
        if self.tries > 0 and live_members:
            member = self.speech.chance.choice(live_members)
            self._exchange(self.speech.address(member.id, member.address))
            self.ask_us = now_us + 2 * self.speech.settings.probe_timeout_us
        else:
            self.done()

    def done(self) -> None:
        """Stop asking after a pause: a complete state has arrived, or none can be obtained."""
        self.tries, self.ask_us, self.speech.quiet = 0, None, False

    def mend(self, now_us: int, member: Member) -> None:
        """Exchange state with a dead member that answered, to learn what its side of a partition knows."""
        if member.state is State.DEAD and now_us >= self.mend_us:
            self.mend_us = now_us + MEND_PERIODS * self.speech.settings.probe_period_us
            self._exchange(self.speech.address(member.id, member.address))

    def _exchange(self, address: Address) -> None:
        self.owing = True
        self.speech.sends.append(StartStateExchange(address, self.speech.ask()))

    def asked(self, now_us: int, request: FullState, reply_id: int) -> None:
        """Reply to another member's digest or state.

        After a pause the state here is outdated, so only the digest is sent.
        """
        dissemination = self.speech
        is_known = not request.ask or self.asking or request.digest == dissemination.digest()
        reply = (
            dissemination.nothing(request.sender) if is_known else dissemination.full(now_us, request.sender)
        )
        dissemination.sends.append(StateReply(reply_id, reply))

    def answered(self, now_us: int, reply: FullState) -> None:
        """Send back what is known here beyond the reply, if the digests still differ."""
        dissemination = self.speech
        if self.asking:
            self.done()
        elif (
            self.owing and reply.digest != dissemination.digest() and reply.sender.id != dissemination.own.id
        ):
            # one follow-up per exchange: with full tables two digests may never become equal
            self.owing = False
            message = dissemination.full(now_us, reply.sender)
            dissemination.sends.append(
                StartStateExchange(dissemination.address(reply.sender.id, reply.sender.address), message)
            )
            self.bytes += dissemination.rumours.bytes + sum(
                packed_size(report_row(report)) for report in message.reports
            )

    def _live(self) -> list[Member]:
        return [m for m in self.speech.table.members.values() if m.live]
