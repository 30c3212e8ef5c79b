"""Reuse of connections: up to which age idle ones are trusted, and which endpoints accept no new ones."""

from __future__ import annotations

import math

from madderbeam.policy.backoff import backoff_us
from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.events import AttemptResult
from madderbeam.policy.state import Call, Endpoint, RateLimitScope

TRUSTED_AGE_SHARE = 0.5  # idle connections are trusted for this part of the age at which one failed
TRUSTED_AGE_GROWTH = 1.25
RESET_RATE_MEMORY = 1 / 16  # weight of the newest call in the share reset on reused connections
# A rejection on a new connection within this part of the fastest response came before the set-up was over.
BEFORE_SETUP_SHARE = 0.6
FASTEST_FADE = 1.002  # and the fastest response is forgotten slowly, by each good one
ACCEPTED_FOR_ROOM = 10  # so many new connections in a row with none rejected: the tables there are not full
FULL_TABLE_US = 2_000_000  # after this one more connection than a full table took is tried
RECENT_SUCCESS_US = (
    1_000_000  # an endpoint that answered this lately is up: what it rejects is the connection
)


class ConnectionReuse:
    """Learns from outcomes on new and reused connections."""

    def __init__(self, state: EngineState) -> None:
        self.state = state
        self.trusted_idle_us = state.settings.connection_idle_us
        initial = 0 if state.is_large_fleet else ACCEPTED_FOR_ROOM
        self.accepted_in_a_row = [initial] * len(state.settings.kinds)  # new connections, by destination kind
        self.fastest_new_connection_us = math.inf  # good response on a new connection
        self.losses_on_idle = 0  # calls lost on connections that had been idle
        self.reset_rate = 0.0  # of calls on reused connections

    def add_kinds(self, count: int) -> None:
        """Follow settings that have more kinds of destinations now."""
        missing = count - len(self.accepted_in_a_row)
        self.accepted_in_a_row += [self.accepted_in_a_row[0]] * missing

    def max_idle_us(self, scope: RateLimitScope) -> int:
        """Return the age up to which idle connections there are used.

        Those of many couriers fill a destination's connection table, and few would be used again in time: a
        large fleet keeps none where tables were found full.
        """
        has_room = self.accepted_in_a_row[scope.destination.kind] >= ACCEPTED_FOR_ROOM
        return self.trusted_idle_us if has_room else 0

    def oldest_usable_us(self, endpoint: Endpoint) -> int:
        """Return the time such that connections that came free before it are not used."""
        return self.state.now_us - max(1, self.max_idle_us(endpoint.scope))

    def has_idle_connection(self, endpoint: Endpoint) -> bool:
        """Whether there is an idle connection that may be used."""
        idle_since_us = endpoint.idle_since_us  # the newest comes last
        return bool(idle_since_us) and idle_since_us[-1] > self.oldest_usable_us(endpoint)

    def record_outcome(self, endpoint: Endpoint, result: AttemptResult, call: Call, latency_us: int) -> None:
        """Learn from the outcome of a call, whatever it was."""
        on_kept_connection = call.connection_idle_us >= 0
        if on_kept_connection:
            self._record_kept_connection(endpoint.scope, result, call)
        if result is not AttemptResult.OK:
            return
        if not on_kept_connection:
            self.fastest_new_connection_us = min(latency_us, self.fastest_new_connection_us * FASTEST_FADE)
            endpoint.fastest_new_connection_us = min(
                latency_us, endpoint.fastest_new_connection_us * FASTEST_FADE
            )
            self.accepted_in_a_row[endpoint.scope.destination.kind] += 1
        if call.connection_idle_us > TRUSTED_AGE_SHARE * TRUSTED_AGE_SHARE * self.trusted_idle_us:
            self.losses_on_idle = 0
            longer_us = int(self.trusted_idle_us * TRUSTED_AGE_GROWTH)
            self.trusted_idle_us = min(self.state.settings.connection_idle_us, longer_us)

    def _record_kept_connection(self, scope: RateLimitScope, result: AttemptResult, call: Call) -> None:
        if result in (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.RESET):
            self.reset_rate += ((result is AttemptResult.RESET) - self.reset_rate) * RESET_RATE_MEMORY
        if result in (AttemptResult.TIMEOUT, AttemptResult.RESET):
            # A connection dropped unnoticed while it was idle: older ones are closed before a call.
            self.losses_on_idle += 1
            if self.losses_on_idle > 1:
                shorter_us = int(TRUSTED_AGE_SHARE * max(call.connection_idle_us, 2 * scope.mean_latency_us))
                self.trusted_idle_us = min(self.trusted_idle_us, shorter_us)

    def is_rejected_by_full_table(
        self, endpoint: Endpoint, result: AttemptResult, call: Call, latency_us: int, retry_after_us: int
    ) -> bool:
        """Whether a new connection was rejected while reused ones get responses: the table is full.

        That is a failed connection, and says nothing of the rate limit.
        """
        if result is not AttemptResult.OVERLOADED or retry_after_us or call.connection_idle_us >= 0:
            return False
        # Before it was set up. A host that can't tell new ones reports a full table as a failed connect.
        fastest_us = min(endpoint.fastest_new_connection_us, self.fastest_new_connection_us)
        call.rejected_before_setup = (
            call.opened_connection and latency_us < BEFORE_SETUP_SHARE * fastest_us < math.inf
        )
        if call.rejected_before_setup:
            return True
        is_up = self.state.now_us - endpoint.last_success_at_us < RECENT_SUCCESS_US
        return not self.state.is_large_fleet and is_up and not call.was_only_call

    def record_full_table(self, endpoint: Endpoint) -> None:
        """Hold the endpoint to the connections that it has; in a large fleet, back off as well."""
        state = self.state
        on_kept = sum(call.connection_idle_us >= 0 for call in endpoint.calls)
        endpoint.connection_limit = max(1, on_kept + len(endpoint.idle_since_us))
        endpoint.connection_limit_at_us = state.now_us
        if state.is_large_fleet:
            self.accepted_in_a_row[endpoint.scope.destination.kind] = 0
            self.back_off_connecting(endpoint)

    def back_off_connecting(self, endpoint: Endpoint, at_least_us: int = 0) -> None:
        """Open no new connection there for a while, which grows with each rejection."""
        pause_us = at_least_us + backoff_us(self.state, endpoint.connection_rejections)
        endpoint.next_connect_at_us = self.state.now_us + pause_us
        endpoint.connection_rejections += 1

    def record_success(self, endpoint: Endpoint, call: Call) -> None:
        """Allow more connections again."""
        now_us = self.state.now_us
        if now_us - endpoint.connection_limit_at_us > FULL_TABLE_US:
            endpoint.connection_limit += 1
            endpoint.connection_limit_at_us = now_us
        if call.connection_idle_us < 0:
            endpoint.connection_rejections = max(0, endpoint.connection_rejections - 1)
