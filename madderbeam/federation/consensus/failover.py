"""Says when this member drives the open slot: an own offer, or a pending slot that nobody brings on."""

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

TRIES = 3  # of an own offer against higher ballots, before it waits for its turn


class CoordinatorFailover:
    """At most one driver at a time. `counter` is the highest of all ballots seen."""

    def __init__(
        self,
        settings: AgreementSettings,
        out: Outbox,
        life: Incarnation,
        chance: Random,
        offers: Proposals,
        document: Callable[[str], Table | None],
    ) -> None:
        self.settings, self.out, self.life, self.chance = settings, out, life, chance
        self.offers, self._document = offers, document
        self.driver: Coordinator | None = None
        self.counter = 0
        self.heard_of: MemberId | None = None  # the last other member that drove
        self._first: tuple[Slot, str, int] | None = None
        self._tries = 0
        self._quiet_until_us: int | None = None  # until then a pending slot is left to whoever drives it
        self._watching = False
        self._starved_us = 0  # since when there has been no majority, or when this was last told

    def begin(self, base: Table, slot: Slot) -> None:
        """A ballot above all that were seen."""
        self.counter += 1
        offer = self.offers.newest
        if offer is not None and offer.number != slot.number:
            offer = None  # it is agreed, if not on disk yet, or too late
        ballot = Ballot(self.counter, self.out.me, self.life)
        told = self._document, self.offers.claim, self.since
        self.driver = Coordinator(self.out, base, slot, ballot, offer, *told, self.settings)
        self._starved_us = self.out.now_us
        self.driver.begin()
        self.out.timer(self.settings.resend_us, "drive")

    def at(self, slot: Slot) -> Coordinator | None:
        """The driver, if it drives this slot."""
        return self.driver if self.driver is not None and self.driver.slot == slot else None

    def stop(self) -> None:
        self.driver = None
        self._quiet_until_us = None

    def see(self, ballot: Ballot) -> None:
        """The next ballot is above it."""
        self.counter = max(self.counter, ballot.counter)

    def fresh(self) -> None:
        """A new offer, or a new slot for one: its tries begin anew."""
        self._tries = 0

    def since(self, slot: Slot, digest: str) -> int:
        """When this member first heard of the slot's claim on this table."""
        if self._first is None or self._first[:2] != (slot, digest):
            self._first = slot, digest, self.out.now_us
        return self._first[2]

    def heard(self, member: MemberId | None = None) -> None:
        """Another drives the slot."""
        self.heard_of = member or self.heard_of
        spread = self.settings.patience_us
        self._quiet_until_us = self.out.now_us + spread + self.chance.randrange(spread)

    def give_way(self) -> None:
        """A higher ballot was promised. An own offer tries a few times more, then waits for its turn."""
        self.driver = None
        if self.offers.newest is not None and self._tries < TRIES:
            self._tries += 1
            self.again()
        else:
            self.heard()

    def again(self) -> None:
        """Soon, at a time that others do not choose as well."""
        span = (self.settings.resend_us // 8 << self._tries) + 2
        self.out.timer(self.chance.randrange(span // 2, span), "again")

    def watch(self, pending: bool) -> None:
        """Keep an eye on a slot that is pending and that others should bring to its end."""
        if not pending or self.driver is not None or self._watching:
            return
        if self._quiet_until_us is None or self._quiet_until_us <= self.out.now_us:
            self.heard()
        self._watching = True
        self.out.timer((self._quiet_until_us or 0) - self.out.now_us, "watch")

    def rearm(self) -> None:
        """A timer may be lost."""
        self._watching = False
        if self.driver is not None:
            self.out.timer(self.settings.resend_us, "drive")
        elif self.offers.newest is not None:
            self.again()

    def on_watch_due(self) -> bool:
        """Whether it has been quiet for long enough to take the slot over."""
        self._watching = False
        quiet = self._quiet_until_us is not None and self.out.now_us >= self._quiet_until_us
        return quiet and self.driver is None

    def on_drive_due(self, silence: Callable[[tuple[MemberId, ...]], str]) -> None:
        if self.driver is None:
            return
        self.driver.tick(silence)
        self.out.timer(self.settings.resend_us, "drive")
        if self.driver.decided >= 0 and self.driver.current:
            self._starved_us = self.out.now_us
        elif self.out.now_us - self._starved_us >= self.settings.agree_within_us:
            self._starve(self.driver, silence)

    def _starve(self, driver: Coordinator, silence: Callable[[tuple[MemberId, ...]], str]) -> None:
        self._starved_us = self.out.now_us
        voters, within_s = driver.base.voters, self.settings.agree_within_us // 1_000_000
        error = NoMajority(
            f"table {driver.slot.number} found no majority of the {len(voters)} voters of table "
            f"{driver.base.number} in {within_s} s: {silence(driver.silent)}"
        )
        self.out.note(f"table {driver.slot.number} waits for voters", error)
        if driver.claim is None and driver.offer is not None:
            self.give_up(driver.offer, error)

    def give_up(self, offer: Table, error: FederationError) -> None:
        """The voters were not asked to take it: nothing can become of it any more."""
        self.offers.unclaimed(offer.digest, error)
        self.stop()
        if self.offers.newest is not None:
            self.again()
