"""Time-outs: how long a call is waited for, from the latencies and losses observed."""

from __future__ import annotations

import math

from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.state import Call, RateLimitScope

DEFAULT_SETUP_US = 500_000  # the first call on a new connection takes so much longer, until one was observed
# A call is given up once it is likely lost. With a share p of calls lost and a tail that shrinks by e for
# each TAIL_DEVIATIONS deviations, the odds that a response still comes are RESPONSE_ODDS after
# TAIL_DEVIATIONS * ln(1 / (RESPONSE_ODDS * p)) of them.
TAIL_DEVIATIONS = 1.35
RESPONSE_ODDS = 0.1
MIN_TIMEOUT_TICKS = (
    3  # a response may wait so long for the cycle that reads it: a shorter time-out is no evidence
)
MIN_LOSS_RATE = 0.002
LOSS_MEMORY = 1 / 32  # weight of the newest call in the loss rate
LATENCY_MEMORY = 8  # calls that the moving averages of latency look back, as in TCP (RFC 6298)


class TimeoutEstimator:
    """Estimates latencies, the set-up time of connections, and the share of calls that are never answered."""

    def __init__(self, state: EngineState) -> None:
        self.state = state
        self.loss_rate = MIN_LOSS_RATE  # calls never answered though others are
        self.setup_us = 0.0  # by how much the first call on a new connection takes longer
        self.setup_deviation_us = 0.0

    def call_timeout_us(self, scope: RateLimitScope) -> int:
        """Return the timeout of a call on a reused connection."""
        tail_us = (
            scope.latency_deviation_us * TAIL_DEVIATIONS * math.log(1 / (RESPONSE_ODDS * self.loss_rate))
        )
        shortest_us = MIN_TIMEOUT_TICKS * self.state.settings.tick_us
        return max(shortest_us, int(scope.mean_latency_us + max(scope.mean_latency_us, tail_us)))

    def connection_setup_us(self) -> int:
        """Return what is allowed for the set-up of a connection."""
        if not self.setup_us:
            return DEFAULT_SETUP_US
        return int(self.setup_us + max(self.setup_us / 2, 3 * self.setup_deviation_us))

    def latency_without_setup_us(self, scope: RateLimitScope, call: Call, latency_us: int) -> int:
        """Return a call's latency without the set-up of its connection, which is learnt from it."""
        if call.connection_idle_us >= 0:
            return latency_us
        if scope.mean_latency_us:
            extra_us = max(0.0, latency_us - scope.mean_latency_us)
            if not self.setup_us:
                self.setup_us = extra_us
                self.setup_deviation_us = extra_us / 2
            self.setup_deviation_us += (
                abs(extra_us - self.setup_us) - self.setup_deviation_us
            ) / LATENCY_MEMORY
            self.setup_us += (extra_us - self.setup_us) / LATENCY_MEMORY
        return max(1, int(latency_us - self.setup_us))

    def record_response(self, scope: RateLimitScope, latency_us: int) -> None:
        """Learn from a good response."""
        self.loss_rate = max(MIN_LOSS_RATE, self.loss_rate * (1 - LOSS_MEMORY))
        if not scope.mean_latency_us:
            # One quick response is no ground for a short time-out: start from the mean of all calls.
            start_us = max(float(latency_us), self.state.mean_slot_time_us)
            scope.mean_latency_us = start_us
            scope.latency_deviation_us = start_us
        scope.latency_deviation_us += (
            abs(latency_us - scope.mean_latency_us) - scope.latency_deviation_us
        ) / LATENCY_MEMORY
        scope.mean_latency_us += (latency_us - scope.mean_latency_us) / LATENCY_MEMORY

    def record_loss(self) -> None:
        """Learn from a call that was never answered, though others sent with it were."""
        self.loss_rate += LOSS_MEMORY * (1 - self.loss_rate)
