"""Full-state exchange over a stream: at the join, now and then, after a pause; mends what rumours missed."""

from __future__ import annotations

from madderbeam.membership.dissemination import Dissemination
from madderbeam.membership.member_table import Member
from madderbeam.membership.messages import FullState, report_row
from madderbeam.membership.packed_size import packed_size
from madderbeam.membership.values import Address, StartStateExchange, State, StateReply

STRETCH_MOST = 20  # times the exchange period, where much is handed over
MEND_PERIODS = 5  # between two exchanges with dead ones that answered


class StateExchanges:
    """Three reasons, three times: seeds that are not among the live, one's turn, asking after a pause."""

    def __init__(self, speech: Dissemination, seeds: tuple[Address, ...]) -> None:
        self.speech, self.seeds = speech, tuple(s for s in seeds if s != speech.own.address)
        self.seed_us: int | None = None
        self.seed_wait_us = 0
        self.turn_us: int | None = None
        self.ask_us: int | None = None
        self.tries = 0  # left; 0: it is not asking
        self.owing = False  # a question of its own was asked
        self.bytes = 0  # handed over since the last turn
        self.again = False  # a turn's partner was not there
        self.mend_us = 0  # not before: a dead one that answered is asked for what its side knows

    def start(self, now_us: int) -> None:
        period = self.speech.settings.exchange_period_us
        self.turn_us = now_us + self.speech.chance.randrange(period // 2, period)
        self.seed_wait_us = 2 * self.speech.settings.probe_period_us
        if self.seeds:
            self.seed_us = now_us

    def stop(self) -> None:
        self.seed_us = self.turn_us = self.ask_us = None

    def next_us(self) -> int | None:
        return min((t for t in (self.seed_us, self.turn_us, self.ask_us) if t is not None), default=None)

    @property
    def asking(self) -> bool:
        return self.tries > 0

    def tick(self, now_us: int) -> None:
        if self.seed_us is not None and self.seed_us <= now_us:
            self._seed(now_us)
        if self.ask_us is not None and self.ask_us <= now_us:
            self._ask(now_us)
        if self.turn_us is not None and self.turn_us <= now_us:
            self._turn(now_us)

    def _seed(self, now_us: int) -> None:
        """A seed that no live member is reached by: before the join, or beyond a partition."""
        live = self._live()
        reached = {self.speech.address(m.id, m.address) for m in live} | {m.address for m in live}
        missing = [s for s in self.seeds if s not in reached]
        most = self.speech.settings.exchange_period_us
        if missing:
            self._exchange(self.speech.chance.choice(missing))
        self.seed_us = now_us + self.seed_wait_us
        self.seed_wait_us = min(most, self.seed_wait_us * 3 // 2) if missing else most

    def _turn(self, now_us: int) -> None:
        settings, chance = self.speech.settings, self.speech.chance
        live = self.speech.lately(now_us) if self.again else self._live()
        if live and not self.asking:
            to = chance.choice(live)
            self._exchange(self.speech.address(to.id, to.address))
        stretch = min(STRETCH_MOST, max(1, self.bytes // settings.exchange_bytes))
        period = settings.exchange_period_us * stretch
        self.again, self.bytes = False, 0
        self.turn_us = now_us + chance.randrange(period * 3 // 4, period * 5 // 4)

    def resume(self, now_us: int) -> None:
        """After a pause: ask one member, and another where none answers."""
        if self._live():
            self.tries = self.speech.settings.resume_tries + 1
            self.speech.quiet = True
            self._ask(now_us)

    def failed(self, now_us: int) -> None:
        """The next one goes to a member that was heard lately; a pause's question to another at once."""
        if self.asking:
            self.ask_us = now_us
        elif self.turn_us is not None and not self.again:
            self.again, self.turn_us = True, now_us

    def _ask(self, now_us: int) -> None:
        live = self._live()
        self.tries -= 1
        self.ask_us = None
        if self.tries > 0 and live:
            to = self.speech.chance.choice(live)
            self._exchange(self.speech.address(to.id, to.address))
            self.ask_us = now_us + 2 * self.speech.settings.probe_timeout_us
        else:
            self.done()

    def done(self) -> None:
        """A whole state has come, or none is to be had."""
        self.tries, self.ask_us, self.speech.quiet = 0, None, False

    def mend(self, now_us: int, member: Member) -> None:
        """A dead one has answered: what its side knows is fetched at once."""
        if member.state is State.DEAD and now_us >= self.mend_us:
            self.mend_us = now_us + MEND_PERIODS * self.speech.settings.probe_period_us
            self._exchange(self.speech.address(member.id, member.address))

    def _exchange(self, to: Address) -> None:
        self.owing = True
        self.speech.sends.append(StartStateExchange(to, self.speech.ask()))

    def asked(self, now_us: int, asker: FullState, reply: int) -> None:
        """Another hands its digest or state over. After a pause what is known here is old, and not told."""
        speech = self.speech
        same = not asker.ask or self.asking or asker.digest == speech.digest()
        answer = speech.nothing(asker.sender) if same else speech.full(now_us, asker.sender)
        speech.sends.append(StateReply(reply, answer))

    def answered(self, now_us: int, answer: FullState) -> None:
        """What is known here beyond the answer is handed over in turn."""
        speech = self.speech
        if self.asking:
            self.done()
        elif self.owing and answer.digest != speech.digest() and answer.sender.id != speech.own.id:
            self.owing = False  # once a question: bounds may keep two digests apart
            message = speech.full(now_us, answer.sender)
            speech.sends.append(
                StartStateExchange(speech.address(answer.sender.id, answer.sender.address), message)
            )
            self.bytes += speech.rumours.bytes + sum(packed_size(report_row(r)) for r in message.reports)

    def _live(self) -> list[Member]:
        return [m for m in self.speech.table.members.values() if m.live]
