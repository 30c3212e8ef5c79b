"""Probes: round robin over a shuffled list, directly and by others; what a failed one means (SWIM, 4.3)."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from madderbeam.membership.dissemination import Dissemination
from madderbeam.membership.member_table import Member
from madderbeam.membership.messages import Ack, IndirectAck, Nack, Ping, PingRequest
from madderbeam.membership.values import Address, MemberId, State

HELPING_MOST = 1_024  # pings for others at once
WAYS_MOST = 3
CALLED = 8  # members that are called in a period where nobody was heard
TOLD_MOST = 8  # accused members that are told in a period


@dataclass(slots=True)
class Probe:
    seq: int
    target: MemberId
    began_us: int
    ask_us: int | None  # when others are asked
    asked: set[MemberId] = field(default_factory=set)
    expected: set[MemberId] = field(default_factory=set)  # of these, who were heard lately
    nacks: set[MemberId] = field(default_factory=set)
    over: bool = False  # answered, or void


@dataclass(slots=True)
class IndirectProbe:
    """A ping for another member."""

    asker: MemberId
    address: Address
    seq: int
    target: MemberId


class FailureDetector:
    """One probe a period; the period grows with local health."""

    def __init__(self, speech: Dissemination) -> None:
        self.speech = speech
        self.next_probe_us: int | None = None
        self.next_word_us: int | None = None  # news and suspects do not wait for a stretched period
        self.probe: Probe | None = None
        self.round: list[MemberId] = []  # the rest of the shuffled list
        self.urgent: deque[MemberId] = deque(maxlen=64)
        self.helping: dict[int, IndirectProbe] = {}
        self.nack_due: deque[tuple[int, int]] = deque()  # time, own number
        self.missed = False  # the last probe was not answered
        self.seq = 0
        self.count = 0

    def start(self, now_us: int) -> None:
        """The first probe comes at a chosen moment within a period, so that members do not probe in step."""
        self.next_probe_us = now_us + self.speech.chance.randrange(self.speech.settings.probe_period_us)
        self.next_word_us = self.next_probe_us

    def stop(self) -> None:
        self.probe = self.next_probe_us = self.next_word_us = None

    def void(self) -> None:
        """After a pause no answer that is missing means anything."""
        self.probe = None
        self.helping.clear()
        self.nack_due.clear()

    def next_us(self) -> int | None:
        """When `tick` is due."""
        times = [t for t in (self.next_probe_us, self.next_word_us) if t is not None]
        if self.probe is not None and self.probe.ask_us is not None:
            times.append(self.probe.ask_us)
        if self.nack_due:
            times.append(self.nack_due[0][0])
        return min(times, default=None)

    def tick(self, now_us: int) -> None:
        while self.nack_due and self.nack_due[0][0] <= now_us:
            self._nack(self.nack_due.popleft()[1])
        probe = self.probe
        if probe is not None and probe.ask_us is not None and probe.ask_us <= now_us:
            probe.ask_us = None
            self._ask_others(now_us, probe)
        if self.next_probe_us is not None and self.next_probe_us <= now_us:
            if probe is not None and not probe.over:
                self._failed(now_us, probe)
            self._begin(now_us)
        if self.next_word_us is not None and self.next_word_us <= now_us:
            self.next_word_us = now_us + self.speech.settings.probe_period_us
            self._word(now_us)

    def silent(self, now_us: int) -> bool:
        """Nobody was heard for a while."""
        settings = self.speech.settings
        return now_us - self.speech.heard_us > self.speech.health.stretch(
            settings.silent_periods * settings.probe_period_us
        )

    def alone(self, now_us: int) -> bool:
        """Nobody was heard for so long that the others are taken for lost, for oneself."""
        return now_us - self.speech.heard_us > self.speech.alone_us

    # own probes

    def _begin(self, now_us: int) -> None:
        settings, health = self.speech.settings, self.speech.health
        period = settings.probe_period_us
        self.next_probe_us = now_us + (period if self.alone(now_us) else health.stretch(period))
        self.probe = None
        self.count += 1
        if self.count % settings.reprobe_periods == 0:
            self._reprobe(now_us)
        target = self._next()
        if target is None:
            return
        self.seq += 1
        ask = now_us + health.stretch(settings.probe_timeout_us)
        self.probe = Probe(self.seq, target.id, now_us, ask)
        self.speech.ping(target, self.seq, self.silent(now_us))

    def _next(self) -> Member | None:
        members = self.speech.table.members
        self._joined()
        while self.urgent:
            member = members.get(self.urgent.popleft())
            if member is not None and member.live:
                return member
        for fresh in (False, True):
            if fresh:
                self.round = [m.id for m in members.values() if m.live]
                self.speech.chance.shuffle(self.round)
            while self.round:
                member = members.get(self.round.pop())
                if member is not None and member.live:
                    return member
        return None

    def _joined(self) -> None:
        """New ones come in at chosen places of this round."""
        fresh = self.speech.table.fresh
        for member in fresh:
            self.round.insert(self.speech.chance.randrange(len(self.round) + 1), member)
        fresh.clear()

    def _word(self, now_us: int) -> None:
        """In each period, however long its own has become: those that it accuses are told again (their
        answer refutes it); if the last probe was not answered, it keeps in touch with one heard lately, and
        calls out to several where it heard none: those who are left after many have died find each other."""
        speech, me, silent = self.speech, self.speech.own.id, self.silent(now_us)
        suspects = speech.table.suspects.values()
        accused = [m for m in suspects if m.suspicion and me in m.suspicion.accusers]
        if len(accused) > TOLD_MOST:
            accused = speech.chance.sample(accused, TOLD_MOST)
        for member in accused:
            speech.ping(member, 0, silent)
        if self.missed or (speech.health.score and speech.gossip.pending):
            lately = speech.lately(now_us)
            for member in speech.chance.sample(lately, min(len(lately), CALLED if silent else 1)):
                speech.ping(member, 0, silent)

    def _reprobe(self, now_us: int) -> None:
        """One of the dead: a partition that has healed finds itself."""
        dead = [m for m in self.speech.table.members.values() if m.state is State.DEAD]
        if dead:
            self.speech.ping(self.speech.chance.choice(dead), 0, self.silent(now_us))

    def _ask_others(self, now_us: int, probe: Probe) -> None:
        target = self.speech.table.members.get(probe.target)
        if probe.over or target is None:
            return
        self.speech.ping(target, probe.seq, self.silent(now_us))  # once more, where only a datagram was lost
        lately = now_us - self.speech.settings.lately_periods * self.speech.settings.probe_period_us
        for helper in self._helpers(lately, target):
            probe.asked.add(helper.id)
            if helper.heard_us >= lately:  # one that has died itself says nothing of this member
                probe.expected.add(helper.id)
            items = self.speech.items(helper.id, more=_size(target))
            message = PingRequest(probe.seq, self.speech.me(), target.id, target.address, *items)
            self.speech.send(self.speech.address(helper.id, helper.address), message)

    def _helpers(self, lately_us: int, target: Member) -> list[Member]:
        """Those who reached the target lately, but for one place; then those who were heard here lately, in
        any order, then the others by when they were heard."""
        members, chance = self.speech.table.members, self.speech.chance
        most = self.speech.settings.indirect
        chosen = [m for w in target.ways if (m := members.get(w)) is not None and m.state is State.ALIVE]
        chosen = chosen[: max(1, most - 1)]
        rest = [m for m in members.values() if m.state is State.ALIVE and m is not target and m not in chosen]
        chance.shuffle(rest)
        rest.sort(key=lambda m: -min(m.heard_us, lately_us))
        return (chosen + rest)[:most]

    def _failed(self, now_us: int, probe: Probe) -> None:
        speech = self.speech
        probe.over = self.missed = True
        member = speech.table.members.get(probe.target)
        if member is None or not member.live or member.heard_us >= probe.began_us:
            return
        if not probe.asked or probe.expected - probe.nacks:
            speech.health.worse()
        elif probe.nacks:  # it hears in time: this is not of its own making
            speech.health.better()
        if speech.heard_us < probe.began_us and not self.alone(now_us):
            return  # nobody was heard: this says more of this member than of that one
        if speech.table.accuse(now_us, member, speech.own.id) and not self.alone(now_us):
            speech.gossip.report(speech.table.report(now_us, member))

    def succeeded(self, seq: int, by: MemberId, now_us: int) -> None:
        """An answer has come, from the target itself or from a helper."""
        probe = self.probe
        if probe is None or probe.seq != seq or (by != probe.target and by not in probe.asked):
            return
        member = self.speech.table.members.get(probe.target)
        if by != probe.target and member is not None:
            self.way(member, by)
        if not probe.over:
            probe.over, probe.ask_us, self.missed = True, None, False
            self.speech.health.better()

    def nacked(self, seq: int, by: MemberId) -> None:
        if self.probe is not None and self.probe.seq == seq and by in self.probe.asked:
            self.probe.nacks.add(by)

    def way(self, member: Member, by: MemberId) -> None:
        """Remember who reaches it."""
        member.ways = [by, *(w for w in member.ways if w != by)][:WAYS_MOST]

    # for others

    def pinged(self, ping: Ping) -> None:
        if ping.target != self.speech.own.id:
            return
        sender = ping.sender
        to = self.speech.address(sender.id, sender.address)
        self.speech.send(to, Ack(ping.seq, self.speech.me(), *self.speech.items(sender.id, sender.life)))

    def asked(self, now_us: int, req: PingRequest) -> None:
        if len(self.helping) >= HELPING_MOST or req.target == self.speech.own.id:
            return
        settings = self.speech.settings
        self.seq += 1
        back = self.speech.address(req.sender.id, req.sender.address)
        self.helping[self.seq] = IndirectProbe(req.sender.id, back, req.seq, req.target)
        self.nack_due.append((now_us + settings.probe_timeout_us * 4 // 5, self.seq))
        known = self.speech.table.members.get(req.target)
        to = self.speech.address(req.target, known.address if known else req.address)
        items = self.speech.items(req.target)
        self.speech.send(to, Ping(self.seq, self.speech.me(), req.target, self.silent(now_us), *items))

    def answered(self, now_us: int, ack: Ack) -> None:
        helping = self.helping.get(ack.seq)
        if helping is None or helping.target != ack.sender.id:
            self.succeeded(ack.seq, ack.sender.id, now_us)
            return
        del self.helping[ack.seq]
        speech = self.speech
        message = IndirectAck(helping.seq, speech.me(), helping.target, (ack.sender,))
        speech.send(helping.address, message)

    def _nack(self, seq: int) -> None:
        helping = self.helping.pop(seq, None)
        if helping is not None:
            self.speech.send(helping.address, Nack(helping.seq, self.speech.me()))


def _size(member: Member) -> int:
    return 4 * (len(member.id.site) + len(member.id.name) + len(member.address[0])) + 12
