"""Attempts, from a Send to its AttemptEnded: bundles, the last look before writing, numbers."""

from __future__ import annotations

import logging
import math
import sys
from collections.abc import Callable

from madderbeam.host.completions import Completions
from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.host.metrics import SUCCEEDED, Metrics
from madderbeam.journal.journal import Journal
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.policy.actions import Send
from madderbeam.policy.events import AttemptEnded, AttemptResult, Event, HealthCheckEnded, MessageWithdrawn
from madderbeam.policy.settings import Idempotency, Settings
from madderbeam.transport.calls import Calls, Item, Outcome

UNRUN = (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
log = logging.getLogger(__name__)


class Attempts:
    """Carries out what the decision module sends, and tells it how each attempt ended."""

    def __init__(
        self,
        settings: Settings,
        journal: Journal,
        listing: EndpointRegistry,
        ends: Completions,
        tell: Callable[[Event], None],
        over: Callable[[], None],
        figures: Metrics,
    ) -> None:
        self.s, self.journal, self.listing, self.ends = settings, journal, listing, ends
        self.figures = figures
        self.tell, self.over = tell, over  # over: an attempt has ended, and perhaps the last thing open
        self.calls: Calls  # set once it is made, since it asks and tells this
        self.numbers: dict[int, int] = {}  # of the next attempts, as the decision module counts

    def forget(self, number: int) -> None:
        """The message has ended."""
        self.numbers.pop(number, None)

    def newest(self, number: int) -> int:
        """The number of the message's newest attempt, -1 if there was none in this process."""
        return self.numbers.get(number, 0) - 1

    def flush(self, bundles: dict[int, list[Item]]) -> None:
        """What one turn sends to one endpoint that takes bundles travels as one call."""
        for endpoint, items in bundles.items():
            most = self.listing.batch(endpoint)
            for at in range(0, len(items), most):
                self._call(endpoint, items[at : at + most])

    def send(self, a: Send, bundles: dict[int, list[Item]]) -> None:
        """Send at once, or with the turn's bundles where the endpoint takes them."""
        m = self.journal.held.get(a.message)
        attempt = self.numbers.get(a.message, m.tries if m else 0)
        if m is not None and not m.status:  # one that is over has nothing left to be numbered
            self.numbers[a.message] = attempt + 1
        if m is None or m.status or self.ends.blocked(m):
            self.tell(AttemptEnded(a.message, attempt, a.endpoint, AttemptResult.NOT_SENT, 0, m is None))
            return
        item = Item(
            m.number,
            attempt,
            m.id,
            m.key,
            m.body,
            a.timeout_us,
            a.new_connection_timeout_us,
            a.requires_new_connection,
        )
        if self.listing.batch(a.endpoint) > 1:
            bundles.setdefault(a.endpoint, []).append(item)
        else:
            self._call(a.endpoint, [item])

    def _call(self, endpoint: int, items: list[Item]) -> None:
        wall, held = self.journal.wall, self.journal.held

        def left(item: Item) -> int:
            until = held[item.number].until
            return wall.monotonic(until) - wall.monotonic_us() - 2 * self.s.tick_us

        # No call outlasts a message that keeps an order: its attempt would be out still as the next one goes.
        bound = min((left(item) for item in items if held[item.number].order), default=sys.maxsize)
        longest = max(item.timeout_us for item in items)
        fresh = max(item.fresh_timeout_us for item in items)
        # An endpoint may go by the first of a bundle: once that one is out of time its answer is none to the
        # others either. So the one with the most time leads, and the call does not outlast it.
        items.sort(key=lambda item: held[item.number].until, reverse=True)
        for item in items:
            own = left(item)
            item.timeout_us = max(1, min(bound, max(item.timeout_us, min(longest, own))))
            item.fresh_timeout_us = max(1, min(bound, max(item.fresh_timeout_us, min(fresh, own))))
        try:
            self.calls.send(endpoint, items)
        except Exception:  # its slots and messages must not hang on it
            log.exception("a call failed")
            for item in items:
                if not item.ended:
                    item.ended = True
                    result = AttemptResult.RESET if item.begun else AttemptResult.NOT_SENT
                    self.ended(item, endpoint, Outcome(result), 0)

    # What the calls ask and tell

    def begin(self, items: list[Item], go: Callable[[bool], None]) -> None:
        """The attempt is about to be written: `go` is called once that is recorded, with False if it must not
        be. Within a turn that is at the turn's end."""
        # One that has ended while its call waited for a connection must not go out behind its notice, nor one
        # ahead of an end that the disk did not take meanwhile.
        held = [self.journal.held.get(n.number) for n in items]
        if any(
            m is None or m.status or self._key_s(m, m.may_have_run_at) <= 0 or self.ends.blocked(m)
            for m in held
        ):
            go(False)
            return

        def recorded() -> None:
            go(True)
            for n in items:  # held back after all; a newer attempt's record would be the one meant
                if not n.begun and self.newest(n.number) == n.attempt:
                    self.journal.missed(n.number)

        def failed(error: OSError) -> None:
            log.error("journal: %s", error)
            go(False)

        self.journal.attempt([n.number for n in items], self.journal.wall(), recorded, failed)

    def _key_s(self, m: PendingMessage, ran_at: float) -> float:
        """Seconds left of the window of its key, which an attempt began at `ran_at` that may have run."""
        cls = self.s.classes[m.cls]
        if cls.idempotency is not Idempotency.WITH_KEY or not ran_at:
            return math.inf
        return ran_at + (cls.key_window_us - self.s.tick_us) / 1e6 - self.journal.wall()

    def write_s(self, items: list[Item]) -> float:
        """Seconds left in which the last byte of an attempt that is recorded may be written: one that comes
        to the endpoint behind the window is a second effect, however early it began. None for one that has
        ended meanwhile."""
        held = [self.journal.held.get(n.number) for n in items]
        return min((self._key_s(m, m.ran_at) if m and not m.status else 0.0 for m in held), default=math.inf)

    def ended(self, item: Item, endpoint: int, outcome: Outcome, latency: int) -> None:
        m = self.journal.held.get(item.number)
        over = outcome.over or m is None
        if outcome.over and m:
            self._done(m, outcome)
        elif m and item.begun and outcome.result in UNRUN:
            self.journal.missed(m.number)
        if over:
            self.forget(item.number)
        self.tell(
            AttemptEnded(
                item.number,
                item.attempt,
                endpoint,
                outcome.result,
                max(1, latency),
                over,
                outcome.wait_us,
                item.fresh if item.begun else None,
                outcome.spoilt,
            )
        )
        self.over()

    def _done(self, m: PendingMessage, outcome: Outcome) -> None:
        if outcome.result is AttemptResult.OK and not m.status:
            self.figures.ended(SUCCEEDED, m.cls)
        self.ends.done(m, outcome.result is AttemptResult.OK)

    def late(self, item: Item, outcome: Outcome) -> None:
        """Its time was up, but its end was not decided yet when the rest of its bundle was answered."""
        m = self.journal.held.get(item.number)
        if m and not m.status:
            self._done(m, outcome)
            self.forget(m.number)
            self.tell(MessageWithdrawn(m.number))

    def probed(self, endpoint: int, result: AttemptResult, latency: int) -> None:
        self.tell(HealthCheckEnded(endpoint, result, latency))
