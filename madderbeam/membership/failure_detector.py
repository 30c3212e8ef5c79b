"""SWIM failure detector: probes members in random order, directly and indirectly (SWIM, section 4.3).

A probe that fails makes this member an accuser of the target.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from madderbeam.membership.dissemination import Dissemination
from madderbeam.membership.member_table import Member
from madderbeam.membership.messages import Ack, IndirectAck, Nack, Ping, PingRequest
from madderbeam.membership.values import Address, MemberId, State

HELPING_MOST = 1_024  # pings on behalf of others that are in progress
WAYS_MOST = 3
CALLED = 8  # members that are pinged in a period where nothing was received
TOLD_MOST = 8  # accused members that are pinged in a period


@dataclass(slots=True)
class Probe:
    """A probe of this member that is in progress."""

    seq: int
    target: MemberId
    began_us: int
    ask_us: int | None  # when indirect probes are sent; None: they were sent
    asked: set[MemberId] = field(default_factory=set)
    expected: set[MemberId] = field(default_factory=set)  # of these, members heard recently
    nacks: set[MemberId] = field(default_factory=set)
    over: bool = False  # acknowledged or discarded


@dataclass(slots=True)
class IndirectProbe:
    """A ping sent on behalf of another member."""

    asker: MemberId
    address: Address
    seq: int
    target: MemberId


class FailureDetector:
    """One probe per period; the period grows with the local health score."""

    def __init__(self, dissemination: Dissemination) -> None:
        self.speech = dissemination
        self.next_probe_us: int | None = None
        # updates and suspicions do not wait for a stretched probe period
        self.next_word_us: int | None = None
        self.probe: Probe | None = None
        self.round: list[MemberId] = []  # remaining targets of the current round, in random order
        self.urgent: deque[MemberId] = deque(maxlen=64)
        self.helping: dict[int, IndirectProbe] = {}
        self.nack_due: deque[tuple[int, int]] = deque()  # due time, sequence number
        self.missed = False  # the last probe failed
        self.seq = 0
        self.count = 0

    def start(self, now_us: int) -> None:
        """Schedule the first probe at a random time within a period, so that members do not probe in step."""
        self.next_probe_us = now_us + self.speech.chance.randrange(self.speech.settings.probe_period_us)
        self.next_word_us = self.next_probe_us

    def stop(self) -> None:
        """Cancel the probe in progress and the timers."""
        self.probe = self.next_probe_us = self.next_word_us = None

    def void(self) -> None:
        """After a pause: discard all probes, since a missing ack means nothing."""
        self.probe = None
        self.helping.clear()
        self.nack_due.clear()

    def next_us(self) -> int | None:
        """When `tick` is due; None: no timer is set."""
        due_times = [t for t in (self.next_probe_us, self.next_word_us) if t is not None]
        if self.probe is not None and self.probe.ask_us is not None:
            due_times.append(self.probe.ask_us)
        if self.nack_due:
            due_times.append(self.nack_due[0][0])
        return min(due_times, default=None)

    def tick(self, now_us: int) -> None:
        """Send the nacks and probes that are due, and fail the probe whose period has passed."""
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
        """Whether nothing was received for `silence_periods`."""
        settings = self.speech.settings
        return now_us - self.speech.heard_us > self.speech.health.stretch(
            settings.silent_periods * settings.probe_period_us
        )

    def alone(self, now_us: int) -> bool:
        """Whether nothing was received for so long that others are declared dead, only locally."""
        return now_us - self.speech.heard_us > self.speech.alone_us

    # Own probes

    def _begin(self, now_us: int) -> None:
        settings, local_health = self.speech.settings, self.speech.health
        period_us = settings.probe_period_us
        self.next_probe_us = now_us + (period_us if self.alone(now_us) else local_health.stretch(period_us))
        self.probe = None
        self.count += 1
        if self.count % settings.reprobe_periods == 0:
            self._reprobe(now_us)
        target = self._next()
        if target is None:
            return
        self.seq += 1
        indirect_at_us = now_us + local_health.stretch(settings.probe_timeout_us)
        self.probe = Probe(self.seq, target.id, now_us, indirect_at_us)
        self.speech.ping(target, self.seq, self.silent(now_us))

    def _next(self) -> Member | None:
        members = self.speech.table.members
        self._joined()
        while self.urgent:
            member = members.get(self.urgent.popleft())
            if member is not None and member.live:
                return member
        for is_new_round in (False, True):
            if is_new_round:
                self.round = [other.id for other in members.values() if other.live]
                self.speech.chance.shuffle(self.round)
            while self.round:
                member = members.get(self.round.pop())
                if member is not None and member.live:
                    return member
        return None

    def _joined(self) -> None:
        """Insert new members at random positions of the current round."""
        new_members = self.speech.table.fresh
        for member in new_members:
            self.round.insert(self.speech.chance.randrange(len(self.round) + 1), member)
        new_members.clear()

    def _word(self, now_us: int) -> None:
        """Send the pings that are not probes, once per period however far local health stretches that.

        Members that this one accuses are notified again, since their ack refutes it. If the last probe
        failed, this member stays in touch with one that it heard recently, and pings several if it heard
        none: so the survivors of many deaths find each other.
        """
        dissemination, local_id, hears_nobody = self.speech, self.speech.own.id, self.silent(now_us)
        suspects = dissemination.table.suspects.values()
        accused = [other for other in suspects if other.suspicion and local_id in other.suspicion.accusers]
        if len(accused) > TOLD_MOST:
            accused = dissemination.chance.sample(accused, TOLD_MOST)
        for member in accused:
            dissemination.ping(member, 0, hears_nobody)
        if self.missed or (dissemination.health.score and dissemination.gossip.pending):
            recent_members = dissemination.lately(now_us)
            for member in dissemination.chance.sample(
                recent_members, min(len(recent_members), CALLED if hears_nobody else 1)
            ):
                dissemination.ping(member, 0, hears_nobody)

    def _reprobe(self, now_us: int) -> None:
        """Ping a random dead member, so that both sides of a healed partition find each other."""
        dead_members = [m for m in self.speech.table.members.values() if m.state is State.DEAD]
        if dead_members:
            self.speech.ping(self.speech.chance.choice(dead_members), 0, self.silent(now_us))

    def _ask_others(self, now_us: int, probe: Probe) -> None:
        target = self.speech.table.members.get(probe.target)
        if probe.over or target is None:
            return
        # once more, in case only a datagram was lost
        self.speech.ping(target, probe.seq, self.silent(now_us))
        recent_us = now_us - self.speech.settings.lately_periods * self.speech.settings.probe_period_us
        for helper in self._helpers(recent_us, target):
            probe.asked.add(helper.id)
            if helper.heard_us >= recent_us:  # a helper that died itself says nothing about this member
                probe.expected.add(helper.id)
            piggyback = self.speech.items(helper.id, used_bytes=_size(target))
            message = PingRequest(probe.seq, self.speech.me(), target.id, target.address, *piggyback)
            self.speech.send(self.speech.address(helper.id, helper.address), message)

    def _helpers(self, recent_us: int, target: Member) -> list[Member]:
        """Members to which ping requests are sent.

        First come those that reached the target recently, for all places but one; then those heard here
        recently in random order, then the others by when they were last heard.
        """
        members, rng = self.speech.table.members, self.speech.chance
        max_helpers = self.speech.settings.indirect
        helpers = [
            member
            for helper_id in target.ways
            if (member := members.get(helper_id)) is not None and member.state is State.ALIVE
        ]
        helpers = helpers[: max(1, max_helpers - 1)]
        others = [
            member
            for member in members.values()
            if member.state is State.ALIVE and member is not target and member not in helpers
        ]
        rng.shuffle(others)
        others.sort(key=lambda member: -min(member.heard_us, recent_us))
        return (helpers + others)[:max_helpers]

    def _failed(self, now_us: int, probe: Probe) -> None:
        dissemination = self.speech
        probe.over = self.missed = True
        member = dissemination.table.members.get(probe.target)
        if member is None or not member.live or member.heard_us >= probe.began_us:
            return
        if not probe.asked or probe.expected - probe.nacks:
            dissemination.health.worse()
        elif probe.nacks:  # nacks arrive in time, so this member is healthy
            dissemination.health.better()
        if dissemination.heard_us < probe.began_us and not self.alone(now_us):
            return  # nothing was received: the fault is more likely here than at the target
        if dissemination.table.accuse(now_us, member, dissemination.own.id) and not self.alone(now_us):
            dissemination.gossip.report(dissemination.table.report(now_us, member))

    def succeeded(self, seq: int, sender: MemberId, now_us: int) -> None:
        """Handle an ack, from the target itself or from a helper."""
        probe = self.probe
        if probe is None or probe.seq != seq or (sender != probe.target and sender not in probe.asked):
            return
        member = self.speech.table.members.get(probe.target)
        if sender != probe.target and member is not None:
            self.way(member, sender)
        if not probe.over:
            probe.over, probe.ask_us, self.missed = True, None, False
            self.speech.health.better()

    def nacked(self, seq: int, helper: MemberId) -> None:
        """Note that a helper is reachable but got no ack from the target."""
        if self.probe is not None and self.probe.seq == seq and helper in self.probe.asked:
            self.probe.nacks.add(helper)

    def way(self, member: Member, helper: MemberId) -> None:
        """Remember that `helper` reaches the member."""
        member.ways = [helper, *(w for w in member.ways if w != helper)][:WAYS_MOST]

    # Probes on behalf of others

    def pinged(self, ping: Ping) -> None:
        """Reply to a ping with an ack."""
        if ping.target != self.speech.own.id:
            return
        sender = ping.sender
        reply_to = self.speech.address(sender.id, sender.address)
        self.speech.send(
            reply_to, Ack(ping.seq, self.speech.me(), *self.speech.items(sender.id, sender.life))
        )

    def asked(self, now_us: int, request: PingRequest) -> None:
        """Ping a member on behalf of another, and schedule the nack."""
        if len(self.helping) >= HELPING_MOST or request.target == self.speech.own.id:
            return
        settings = self.speech.settings
        self.seq += 1
        reply_to = self.speech.address(request.sender.id, request.sender.address)
        self.helping[self.seq] = IndirectProbe(request.sender.id, reply_to, request.seq, request.target)
        self.nack_due.append((now_us + settings.probe_timeout_us * 4 // 5, self.seq))
        known = self.speech.table.members.get(request.target)
        target_address = self.speech.address(request.target, known.address if known else request.address)
        piggyback = self.speech.items(request.target)
        self.speech.send(
            target_address, Ping(self.seq, self.speech.me(), request.target, self.silent(now_us), *piggyback)
        )

    def answered(self, now_us: int, ack: Ack) -> None:
        """Handle an ack: of an own probe, or of an indirect one, which is passed on."""
        indirect = self.helping.get(ack.seq)
        if indirect is None or indirect.target != ack.sender.id:
            self.succeeded(ack.seq, ack.sender.id, now_us)
            return
        del self.helping[ack.seq]
        dissemination = self.speech
        message = IndirectAck(indirect.seq, dissemination.me(), indirect.target, (ack.sender,))
        dissemination.send(indirect.address, message)

    def _nack(self, seq: int) -> None:
        indirect = self.helping.pop(seq, None)
        if indirect is not None:
            self.speech.send(indirect.address, Nack(indirect.seq, self.speech.me()))


def _size(member: Member) -> int:
    return 4 * (len(member.id.site) + len(member.id.name) + len(member.address[0])) + 12
