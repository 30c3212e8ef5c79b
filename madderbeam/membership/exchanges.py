"""Anti-entropy: full state exchange over a stream at the join, periodically and after a pause.

It repairs what dissemination by datagrams missed.
"""

from __future__ import annotations

from madderbeam.membership.dissemination import Dissemination
from madderbeam.membership.member_table import Member
from madderbeam.membership.messages import FullState, report_row
from madderbeam.membership.packed_size import packed_size
from madderbeam.membership.values import Address, StartStateExchange, State, StateReply

MAX_PERIOD_FACTOR = 20  # a multiple of the exchange period, reached when large states are sent
DEAD_EXCHANGE_PERIODS = 5  # between two exchanges with dead members that answered


class StateExchanges:
    """Starts exchanges for three reasons, each with its own timer.

    These are seeds that are not among the live members, the periodic exchange, and the query after a pause.
    """

    def __init__(self, dissemination: Dissemination, seeds: tuple[Address, ...]) -> None:
        self.dissemination, self.seeds = (
            dissemination,
            tuple(seed for seed in seeds if seed != dissemination.local.address),
        )
        self.next_seed_us: int | None = None
        self.seed_interval_us = 0
        self.next_periodic_us: int | None = None
        self.next_query_us: int | None = None
        self.queries_left = 0  # remaining queries after a pause; 0: none is in progress
        self.may_follow_up = False  # an exchange was started here and its reply not yet followed up
        self.sent_bytes = 0  # sent since the last periodic exchange
        self.is_retry = False  # the last periodic exchange failed and is being retried
        self.next_dead_exchange_us = 0  # earliest time of the next exchange with a dead member that answered

    def start(self, now_us: int) -> None:
        """Schedule the first periodic exchange at a random time, and contact the seeds at once."""
        period = self.dissemination.settings.exchange_period_us
        self.next_periodic_us = now_us + self.dissemination.rng.randrange(period // 2, period)
        self.seed_interval_us = 2 * self.dissemination.settings.probe_period_us
        if self.seeds:
            self.next_seed_us = now_us

    def stop(self) -> None:
        """Cancel all timers."""
        self.next_seed_us = self.next_periodic_us = self.next_query_us = None

    def next_us(self) -> int | None:
        """When `tick` is due; None: no timer is set."""
        return min(
            (
                time_us
                for time_us in (self.next_seed_us, self.next_periodic_us, self.next_query_us)
                if time_us is not None
            ),
            default=None,
        )

    @property
    def is_querying(self) -> bool:
        """Whether a reply is awaited after a pause."""
        return self.queries_left > 0

    def tick(self, now_us: int) -> None:
        """Start the exchanges that are due."""
        if self.next_seed_us is not None and self.next_seed_us <= now_us:
            self._contact_seed(now_us)
        if self.next_query_us is not None and self.next_query_us <= now_us:
            self._query(now_us)
        if self.next_periodic_us is not None and self.next_periodic_us <= now_us:
            self._periodic(now_us)

    def _contact_seed(self, now_us: int) -> None:
        """Contact a seed at which no live member is reached: before the join, or across a partition."""
        live_members = self._live_members()
        reached = {self.dissemination.address(member.id, member.address) for member in live_members} | {
            member.address for member in live_members
        }
        missing = [seed for seed in self.seeds if seed not in reached]
        max_interval_us = self.dissemination.settings.exchange_period_us
        if missing:
            self._exchange(self.dissemination.rng.choice(missing))
        self.next_seed_us = now_us + self.seed_interval_us
        self.seed_interval_us = (
            min(max_interval_us, self.seed_interval_us * 3 // 2) if missing else max_interval_us
        )

    def _periodic(self, now_us: int) -> None:
        settings, rng = self.dissemination.settings, self.dissemination.rng
        candidates = self.dissemination.recently_active(now_us) if self.is_retry else self._live_members()
        if candidates and not self.is_querying:
            member = rng.choice(candidates)
            self._exchange(self.dissemination.address(member.id, member.address))
        factor = min(MAX_PERIOD_FACTOR, max(1, self.sent_bytes // settings.exchange_bytes))
        period_us = settings.exchange_period_us * factor
        self.is_retry, self.sent_bytes = False, 0
        self.next_periodic_us = now_us + rng.randrange(period_us * 3 // 4, period_us * 5 // 4)

    def query_after_pause(self, now_us: int) -> None:
        """After a pause: request the state of one member, or of another if it does not reply."""
        if self._live_members():
            self.queries_left = self.dissemination.settings.pause_query_attempts + 1
            self.dissemination.is_outdated = True
            self._query(now_us)

    def exchange_failed(self, now_us: int) -> None:
        """Retry after a failed exchange.

        The query after a pause goes to another member at once; a periodic exchange goes to a recently active
        member.
        """
        if self.is_querying:
            self.next_query_us = now_us
        elif self.next_periodic_us is not None and not self.is_retry:
            self.is_retry, self.next_periodic_us = True, now_us

    def _query(self, now_us: int) -> None:
        live_members = self._live_members()
        self.queries_left -= 1
        self.next_query_us = None
        if self.queries_left > 0 and live_members:
            member = self.dissemination.rng.choice(live_members)
            self._exchange(self.dissemination.address(member.id, member.address))
            self.next_query_us = now_us + 2 * self.dissemination.settings.probe_timeout_us
        else:
            self.end_query()

    def end_query(self) -> None:
        """Stop asking after a pause: a complete state has arrived, or none can be obtained."""
        self.queries_left, self.next_query_us, self.dissemination.is_outdated = 0, None, False

    def exchange_with_dead(self, now_us: int, member: Member) -> None:
        """Exchange state with a dead member that answered, to learn what its side of a partition knows."""
        if member.state is State.DEAD and now_us >= self.next_dead_exchange_us:
            self.next_dead_exchange_us = (
                now_us + DEAD_EXCHANGE_PERIODS * self.dissemination.settings.probe_period_us
            )
            self._exchange(self.dissemination.address(member.id, member.address))

    def _exchange(self, address: Address) -> None:
        self.may_follow_up = True
        self.dissemination.sends.append(StartStateExchange(address, self.dissemination.state_request()))

    def request_received(self, now_us: int, request: FullState, reply_id: int) -> None:
        """Reply to another member's digest or state.

        After a pause the state here is outdated, so only the digest is sent.
        """
        dissemination = self.dissemination
        is_known = not request.is_request or self.is_querying or request.digest == dissemination.digest()
        reply = (
            dissemination.minimal_state(request.sender)
            if is_known
            else dissemination.full_state(now_us, request.sender)
        )
        dissemination.sends.append(StateReply(reply_id, reply))

    def reply_received(self, now_us: int, reply: FullState) -> None:
        """Send back what is known here beyond the reply, if the digests still differ."""
        dissemination = self.dissemination
        if self.is_querying:
            self.end_query()
        elif (
            self.may_follow_up
            and reply.digest != dissemination.digest()
            and reply.sender.id != dissemination.local.id
        ):
            # one follow-up per exchange: with full tables two digests may never become equal
            self.may_follow_up = False
            message = dissemination.full_state(now_us, reply.sender)
            dissemination.sends.append(
                StartStateExchange(dissemination.address(reply.sender.id, reply.sender.address), message)
            )
            self.sent_bytes += dissemination.entries.total_bytes + sum(
                packed_size(report_row(report)) for report in message.reports
            )

    def _live_members(self) -> list[Member]:
        return [m for m in self.dissemination.table.members.values() if m.is_live]
