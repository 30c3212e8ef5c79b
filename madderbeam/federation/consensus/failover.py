"""Decides when this member coordinates the open slot: for its own proposal, or to take over a stalled one."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from madderbeam.federation.consensus.coordinator import Coordinator
from madderbeam.federation.consensus.outbox import Outbox
from madderbeam.federation.consensus.proposals import Proposals
from madderbeam.federation.consensus.rounds import AgreementSettings, Ballot, Slot
from madderbeam.federation.errors import FederationError, NoMajority
from madderbeam.federation.values import Table
from madderbeam.membership.values import Incarnation, MemberId

MAX_BALLOT_RETRIES = 3  # of an own proposal against higher ballots, before it yields to their coordinators


class CoordinatorFailover:
    """Runs at most one coordinator at a time. `highest_counter`: of all ballots seen."""

    def __init__(
        self,
        settings: AgreementSettings,
        outbox: Outbox,
        incarnation: Incarnation,
        rng: Random,
        proposals: Proposals,
        document: Callable[[str], Table | None],
    ) -> None:
        self.settings, self.outbox, self.incarnation, self.rng = settings, outbox, incarnation, rng
        self.proposals, self._document = proposals, document
        self.coordinator: Coordinator | None = None
        self.highest_counter = 0
        self.last_other: MemberId | None = None  # the last other member that coordinated
        self._claim_known_since: tuple[Slot, str, int] | None = None
        self._retries = 0
        self._takeover_at_us: int | None = None  # until then a pending slot is left to its coordinator
        self._is_watching = False
        # Reset by each reply of a majority, and by each log line on the lack of one.
        self._no_majority_since_us = 0

    def start_coordinator(self, base: Table, slot: Slot) -> None:
        """Coordinate the slot with a ballot above all that were seen."""
        self.highest_counter += 1
        proposal = self.proposals.newest
        if proposal is not None and proposal.number != slot.number:
            proposal = None  # another slot's: agreed but not yet on disk, or its number went to another table
        ballot = Ballot(self.highest_counter, self.outbox.local_member, self.incarnation)
        callbacks = self._document, self.proposals.claim, self.claim_known_since_us
        self.coordinator = Coordinator(self.outbox, base, slot, ballot, proposal, *callbacks, self.settings)
        self._no_majority_since_us = self.outbox.now_us
        self.coordinator.begin()
        self.outbox.timer(self.settings.resend_interval_us, "drive")

    def coordinator_of(self, slot: Slot) -> Coordinator | None:
        """This member's coordinator, if it coordinates this slot."""
        return self.coordinator if self.coordinator is not None and self.coordinator.slot == slot else None

    def stop(self) -> None:
        """Coordinate nothing any more, and forget about other coordinators."""
        self.coordinator = None
        self._takeover_at_us = None

    def observe_ballot(self, ballot: Ballot) -> None:
        """The next ballot of this member is to be above this one."""
        self.highest_counter = max(self.highest_counter, ballot.counter)

    def reset_retries(self) -> None:
        """There is a new proposal, or a new slot for a proposal."""
        self._retries = 0

    def claim_known_since_us(self, slot: Slot, digest: str) -> int:
        """When this member first learned of the slot's claim on this table."""
        if self._claim_known_since is None or self._claim_known_since[:2] != (slot, digest):
            self._claim_known_since = slot, digest, self.outbox.now_us
        return self._claim_known_since[2]

    def on_other_coordinator(self, member: MemberId | None = None) -> None:
        """Another member coordinates the slot: postpone the takeover, by a random time as well."""
        self.last_other = member or self.last_other
        timeout_us = self.settings.failover_timeout_us
        self._takeover_at_us = self.outbox.now_us + timeout_us + self.rng.randrange(timeout_us)

    def yield_to_higher_ballot(self) -> None:
        """A voter promised a higher ballot. An own proposal is retried a few times, then it waits."""
        self.coordinator = None
        if self.proposals.newest is not None and self._retries < MAX_BALLOT_RETRIES:
            self._retries += 1
            self.schedule_retry()
        else:
            self.on_other_coordinator()

    def schedule_retry(self) -> None:
        """Retry after a random time that grows with the retries, so that rivals do not collide again."""
        span_us = (self.settings.resend_interval_us // 8 << self._retries) + 2
        self.outbox.timer(self.rng.randrange(span_us // 2, span_us), "again")

    def watch(self, pending: bool) -> None:
        """Watch a pending slot that another member coordinates, so as to take it over if it stalls."""
        if not pending or self.coordinator is not None or self._is_watching:
            return
        if self._takeover_at_us is None or self._takeover_at_us <= self.outbox.now_us:
            self.on_other_coordinator()
        self._is_watching = True
        self.outbox.timer((self._takeover_at_us or 0) - self.outbox.now_us, "watch")

    def rearm(self) -> None:
        """A failed write may have dropped a timer: set it again."""
        self._is_watching = False
        if self.coordinator is not None:
            self.outbox.timer(self.settings.resend_interval_us, "drive")
        elif self.proposals.newest is not None:
            self.schedule_retry()

    def on_watch_due(self) -> bool:
        """Whether the slot has stalled for long enough for this member to take it over."""
        self._is_watching = False
        is_stalled = self._takeover_at_us is not None and self.outbox.now_us >= self._takeover_at_us
        return is_stalled and self.coordinator is None

    def on_resend_due(self, describe_silent: Callable[[tuple[MemberId, ...]], str]) -> None:
        """Let the coordinator send again what is unanswered, and check that a majority replies."""
        if self.coordinator is None:
            return
        self.coordinator.tick(describe_silent)
        self.outbox.timer(self.settings.resend_interval_us, "drive")
        if self.coordinator.decided_count >= 0 and self.coordinator.is_current:
            self._no_majority_since_us = self.outbox.now_us
        elif self.outbox.now_us - self._no_majority_since_us >= self.settings.vote_timeout_us:
            self._report_no_majority(self.coordinator, describe_silent)

    def _report_no_majority(
        self, coordinator: Coordinator, describe_silent: Callable[[tuple[MemberId, ...]], str]
    ) -> None:
        self._no_majority_since_us = self.outbox.now_us
        voters, within_s = coordinator.base.voters, self.settings.vote_timeout_us // 1_000_000
        error = NoMajority(
            f"table {coordinator.slot.number} found no majority of the {len(voters)} voters of table "
            f"{coordinator.base.number} in {within_s} s: {describe_silent(coordinator.silent_voters)}"
        )
        self.outbox.log(f"table {coordinator.slot.number} waits for a majority of the voters", error)
        if coordinator.claim is None and coordinator.proposal is not None:
            self.abandon(coordinator.proposal, error)

    def abandon(self, proposal: Table, error: FederationError) -> None:
        """Give up a proposal that no voter was asked to accept: it cannot be agreed any more."""
        self.proposals.abandon_unclaimed(proposal.digest, error)
        self.stop()
        if self.proposals.newest is not None:
            self.schedule_retry()
