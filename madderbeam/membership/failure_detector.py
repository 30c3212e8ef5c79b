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

MAX_INDIRECT_PROBES = 1_024  # pings on behalf of others that are in progress
MAX_REACHED_BY = 3
PINGS_WHILE_SILENT = 8  # members that are pinged in a period in which nothing was received
MAX_ACCUSED_PINGS = 8  # accused members that are pinged in a period


@dataclass(slots=True)
class Probe:
    """A probe of this member that is in progress."""

    seq: int
    target: MemberId
    started_us: int
    indirect_at_us: int | None  # when indirect probes are sent; None: they were sent
    helpers: set[MemberId] = field(default_factory=set)
    expected_helpers: set[MemberId] = field(default_factory=set)  # of these, members heard recently
    nacks: set[MemberId] = field(default_factory=set)
    is_settled: bool = False  # acknowledged or discarded


@dataclass(slots=True)
class IndirectProbe:
    """A ping sent on behalf of another member."""

    requester: MemberId
    address: Address
    seq: int
    target: MemberId


class FailureDetector:
    """One probe per period; the period grows with the local health score."""

    def __init__(self, dissemination: Dissemination) -> None:
        self.dissemination = dissemination
        self.next_probe_us: int | None = None
        # updates and suspicions do not wait for a stretched probe period
        self.next_contact_us: int | None = None
        self.probe: Probe | None = None
        self.targets: list[MemberId] = []  # remaining targets of the current round, in random order
        self.priority_targets: deque[MemberId] = deque(maxlen=64)
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.nack_timers: deque[tuple[int, int]] = deque()  # due time, sequence number
        self.last_probe_failed = False  # the last probe failed
        self.seq = 0
        self.periods = 0

    def start(self, now_us: int) -> None:
        """Schedule the first probe at a random time within a period, so that members do not probe in step."""
        self.next_probe_us = now_us + self.dissemination.rng.randrange(
            self.dissemination.settings.probe_period_us
        )
        self.next_contact_us = self.next_probe_us

    def stop(self) -> None:
        """Cancel the probe in progress and the timers."""
        self.probe = self.next_probe_us = self.next_contact_us = None

    def discard_probes(self) -> None:
        """After a pause: discard all probes, since a missing ack means nothing."""
        self.probe = None
        self.indirect_probes.clear()
        self.nack_timers.clear()

    def next_us(self) -> int | None:
        """When `tick` is due; None: no timer is set."""
        due_times = [t for t in (self.next_probe_us, self.next_contact_us) if t is not None]
        if self.probe is not None and self.probe.indirect_at_us is not None:
            due_times.append(self.probe.indirect_at_us)
        if self.nack_timers:
            due_times.append(self.nack_timers[0][0])
        return min(due_times, default=None)

    def tick(self, now_us: int) -> None:
        """Send the nacks and probes that are due, and fail the probe whose period has passed."""
        while self.nack_timers and self.nack_timers[0][0] <= now_us:
            self._send_nack(self.nack_timers.popleft()[1])
        probe = self.probe
        if probe is not None and probe.indirect_at_us is not None and probe.indirect_at_us <= now_us:
            probe.indirect_at_us = None
            self._probe_indirectly(now_us, probe)
        if self.next_probe_us is not None and self.next_probe_us <= now_us:
            if probe is not None and not probe.is_settled:
                self._probe_failed(now_us, probe)
            self._start_probe(now_us)
        if self.next_contact_us is not None and self.next_contact_us <= now_us:
            self.next_contact_us = now_us + self.dissemination.settings.probe_period_us
            self._ping_contacts(now_us)

    def hears_nobody(self, now_us: int) -> bool:
        """Whether nothing was received for `silence_periods`."""
        settings = self.dissemination.settings
        return now_us - self.dissemination.last_received_us > self.dissemination.health.stretched_us(
            settings.silence_periods * settings.probe_period_us
        )

    def is_isolated(self, now_us: int) -> bool:
        """Whether nothing was received for so long that others are declared dead, only locally."""
        return now_us - self.dissemination.last_received_us > self.dissemination.isolation_us

    # Own probes

    def _start_probe(self, now_us: int) -> None:
        settings, local_health = self.dissemination.settings, self.dissemination.health
        period_us = settings.probe_period_us
        self.next_probe_us = now_us + (
            period_us if self.is_isolated(now_us) else local_health.stretched_us(period_us)
        )
        self.probe = None
        self.periods += 1
        if self.periods % settings.reprobe_periods == 0:
            self._ping_dead_member(now_us)
        target = self._next_target()
        if target is None:
            return
        self.seq += 1
        indirect_at_us = now_us + local_health.stretched_us(settings.probe_timeout_us)
        self.probe = Probe(self.seq, target.id, now_us, indirect_at_us)
        self.dissemination.send_ping(target, self.seq, self.hears_nobody(now_us))

    def _next_target(self) -> Member | None:
        members = self.dissemination.table.members
        self._insert_new_members()
        while self.priority_targets:
            member = members.get(self.priority_targets.popleft())
            if member is not None and member.is_live:
                return member
        for is_new_round in (False, True):
            if is_new_round:
                self.targets = [other.id for other in members.values() if other.is_live]
                self.dissemination.rng.shuffle(self.targets)
            while self.targets:
                member = members.get(self.targets.pop())
                if member is not None and member.is_live:
                    return member
        return None

    def _insert_new_members(self) -> None:
        """Insert new members at random positions of the current round."""
        new_members = self.dissemination.table.newly_alive
        for member in new_members:
            self.targets.insert(self.dissemination.rng.randrange(len(self.targets) + 1), member)
        new_members.clear()

    def _ping_contacts(self, now_us: int) -> None:
        """Send the pings that are not probes, once per period however far local health stretches that.

        Members that this one accuses are notified again, since their ack refutes it. If the last probe
        failed, this member stays in touch with one that it heard recently, and pings several if it heard
        none: so the survivors of many deaths find each other.
        """
        dissemination, local_id, hears_nobody = (
            self.dissemination,
            self.dissemination.local.id,
            self.hears_nobody(now_us),
        )
        suspects = dissemination.table.suspects.values()
        accused = [other for other in suspects if other.suspicion and local_id in other.suspicion.accusers]
        if len(accused) > MAX_ACCUSED_PINGS:
            accused = dissemination.rng.sample(accused, MAX_ACCUSED_PINGS)
        for member in accused:
            dissemination.send_ping(member, 0, hears_nobody)
        if self.last_probe_failed or (dissemination.health.score and dissemination.queue.has_items):
            recent_members = dissemination.recently_active(now_us)
            for member in dissemination.rng.sample(
                recent_members, min(len(recent_members), PINGS_WHILE_SILENT if hears_nobody else 1)
            ):
                dissemination.send_ping(member, 0, hears_nobody)

    def _ping_dead_member(self, now_us: int) -> None:
        """Ping a random dead member, so that both sides of a healed partition find each other."""
        dead_members = [m for m in self.dissemination.table.members.values() if m.state is State.DEAD]
        if dead_members:
            self.dissemination.send_ping(
                self.dissemination.rng.choice(dead_members), 0, self.hears_nobody(now_us)
            )

    def _probe_indirectly(self, now_us: int, probe: Probe) -> None:
        target = self.dissemination.table.members.get(probe.target)
        if probe.is_settled or target is None:
            return
        # once more, in case only a datagram was lost
        self.dissemination.send_ping(target, probe.seq, self.hears_nobody(now_us))
        recent_us = (
            now_us - self.dissemination.settings.recent_periods * self.dissemination.settings.probe_period_us
        )
        for helper in self._helpers(recent_us, target):
            probe.helpers.add(helper.id)
            if (
                helper.last_received_us >= recent_us
            ):  # a helper that died itself says nothing about this member
                probe.expected_helpers.add(helper.id)
            piggyback = self.dissemination.piggyback(helper.id, used_bytes=_target_size_bytes(target))
            message = PingRequest(
                probe.seq, self.dissemination.local_report(), target.id, target.address, *piggyback
            )
            self.dissemination.send(self.dissemination.address(helper.id, helper.address), message)

    def _helpers(self, recent_us: int, target: Member) -> list[Member]:
        """Members to which ping requests are sent.

        First come those that reached the target recently, for all places but one; then those heard here
        recently in random order, then the others by when they were last heard.
        """
        members, rng = self.dissemination.table.members, self.dissemination.rng
        max_helpers = self.dissemination.settings.indirect_probes
        helpers = [
            member
            for helper_id in target.reached_by
            if (member := members.get(helper_id)) is not None and member.state is State.ALIVE
        ]
        helpers = helpers[: max(1, max_helpers - 1)]
        others = [
            member
            for member in members.values()
            if member.state is State.ALIVE and member is not target and member not in helpers
        ]
        rng.shuffle(others)
        others.sort(key=lambda member: -min(member.last_received_us, recent_us))
        return (helpers + others)[:max_helpers]

    def _probe_failed(self, now_us: int, probe: Probe) -> None:
        dissemination = self.dissemination
        probe.is_settled = self.last_probe_failed = True
        member = dissemination.table.members.get(probe.target)
        if member is None or not member.is_live or member.last_received_us >= probe.started_us:
            return
        if not probe.helpers or probe.expected_helpers - probe.nacks:
            dissemination.health.worsen()
        elif probe.nacks:  # nacks arrive in time, so this member is healthy
            dissemination.health.improve()
        if dissemination.last_received_us < probe.started_us and not self.is_isolated(now_us):
            return  # nothing was received: the fault is more likely here than at the target
        if dissemination.table.accuse(now_us, member, dissemination.local.id) and not self.is_isolated(
            now_us
        ):
            dissemination.queue.add_report(dissemination.table.report(now_us, member))

    def ack_received(self, seq: int, sender: MemberId, now_us: int) -> None:
        """Handle an ack, from the target itself or from a helper."""
        probe = self.probe
        if probe is None or probe.seq != seq or (sender != probe.target and sender not in probe.helpers):
            return
        member = self.dissemination.table.members.get(probe.target)
        if sender != probe.target and member is not None:
            self.remember_helper(member, sender)
        if not probe.is_settled:
            probe.is_settled, probe.indirect_at_us, self.last_probe_failed = True, None, False
            self.dissemination.health.improve()

    def nack_received(self, seq: int, helper: MemberId) -> None:
        """Note that a helper is reachable but got no ack from the target."""
        if self.probe is not None and self.probe.seq == seq and helper in self.probe.helpers:
            self.probe.nacks.add(helper)

    def remember_helper(self, member: Member, helper: MemberId) -> None:
        """Remember that `helper` reaches the member."""
        member.reached_by = [helper, *(w for w in member.reached_by if w != helper)][:MAX_REACHED_BY]

    # Probes on behalf of others

    def ping_received(self, ping: Ping) -> None:
        """Reply to a ping with an ack."""
        if ping.target != self.dissemination.local.id:
            return
        sender = ping.sender
        reply_to = self.dissemination.address(sender.id, sender.address)
        self.dissemination.send(
            reply_to,
            Ack(
                ping.seq,
                self.dissemination.local_report(),
                *self.dissemination.piggyback(sender.id, sender.incarnation),
            ),
        )

    def ping_requested(self, now_us: int, request: PingRequest) -> None:
        """Ping a member on behalf of another, and schedule the nack."""
        if len(self.indirect_probes) >= MAX_INDIRECT_PROBES or request.target == self.dissemination.local.id:
            return
        settings = self.dissemination.settings
        self.seq += 1
        reply_to = self.dissemination.address(request.sender.id, request.sender.address)
        self.indirect_probes[self.seq] = IndirectProbe(
            request.sender.id, reply_to, request.seq, request.target
        )
        self.nack_timers.append((now_us + settings.probe_timeout_us * 4 // 5, self.seq))
        known = self.dissemination.table.members.get(request.target)
        target_address = self.dissemination.address(
            request.target, known.address if known else request.address
        )
        piggyback = self.dissemination.piggyback(request.target)
        self.dissemination.send(
            target_address,
            Ping(
                self.seq,
                self.dissemination.local_report(),
                request.target,
                self.hears_nobody(now_us),
                *piggyback,
            ),
        )

    def on_ack(self, now_us: int, ack: Ack) -> None:
        """Handle an ack: of an own probe, or of an indirect one, which is passed on."""
        indirect = self.indirect_probes.get(ack.seq)
        if indirect is None or indirect.target != ack.sender.id:
            self.ack_received(ack.seq, ack.sender.id, now_us)
            return
        del self.indirect_probes[ack.seq]
        dissemination = self.dissemination
        message = IndirectAck(indirect.seq, dissemination.local_report(), indirect.target, (ack.sender,))
        dissemination.send(indirect.address, message)

    def _send_nack(self, seq: int) -> None:
        indirect = self.indirect_probes.pop(seq, None)
        if indirect is not None:
            self.dissemination.send(indirect.address, Nack(indirect.seq, self.dissemination.local_report()))


def _target_size_bytes(member: Member) -> int:
    return 4 * (len(member.id.site) + len(member.id.name) + len(member.address[0])) + 12
