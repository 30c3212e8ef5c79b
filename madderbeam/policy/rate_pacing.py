"""Pacing: the rate at which a rate-limit scope gets calls, after overload or by its listed limit."""

from __future__ import annotations

import math

from madderbeam.policy.backoff import backoff_us
from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.state import RateLimitScope

BURST_S = 0.8  # a token bucket holds this much of its rate
BURST_PENALIZED_S = 0.4  # less where overload is penalized
OVERLOAD_MEMORY = 0.5  # weight of the newest call in the share rejected as overload
CUT_FACTOR = 0.75  # on overload the pace shrinks by this, once a round trip
GROWTH_SHARE = 0.1  # and a success adds this share of the listed (or first learnt) rate
NEAR_OVERLOAD = 0.9  # near the pace of the last overload it grows slowly,
CALM_US = 5_000_000  # until this long after
MIN_CALM = 0.1
MIN_PACE_PER_S = 0.2  # of a courier of few: it would never learn of more
# Of the courier's part, in a large fleet: at the whole part random variation alone gets many calls rejected.
FIRST_PACE_SHARE = 0.6
FLOOR_SHARE = (
    0.4  # a listed rate is not left further than this behind; elsewhere its traffic times this is one
)
MIN_TRAFFIC_US = 2_000_000  # traffic is averaged over so long at least: the first messages say little of it
UNLISTED_HEADROOM = 2.0  # an unlisted capacity is taken for this multiple of the traffic that it took
SUCCESS_RATE_WINDOW_US = 4e6  # over which the rate of successes is measured


class RatePacer:
    """Token buckets of the scopes; multiplicative decrease on overload, additive increase on success."""

    def __init__(self, state: EngineState) -> None:
        self.state = state
        self.burst_s = BURST_PENALIZED_S if state.settings.overload_penalty else BURST_S

    def initial_pace_per_s(self, listed_rate_per_s: float, is_leased: bool) -> float:
        """Return the pace at which a listed rate begins, 0 for none."""
        if is_leased:
            return listed_rate_per_s
        return 0.0 if self.state.is_large_fleet else max(listed_rate_per_s, MIN_PACE_PER_S)

    def available_tokens(self, scope: RateLimitScope) -> float:
        """Refill the bucket; a call needs one token. An unpaced scope always has one."""
        if not scope.pace_per_s:
            return 1.0
        now_us = self.state.now_us
        if now_us > scope.tokens_updated_at_us:
            tokens = scope.tokens + scope.pace_per_s * (now_us - scope.tokens_updated_at_us) / 1e6
            scope.tokens = min(tokens, max(1.0, scope.pace_per_s * self.burst_s))
            scope.tokens_updated_at_us = now_us
        return scope.tokens

    def next_token_at_us(self, scope: RateLimitScope) -> int:
        """Return when the bucket of a paced scope has a token again."""
        start_us = max(self.state.now_us, scope.tokens_updated_at_us)
        return start_us + int((1 - scope.tokens) / scope.pace_per_s * 1e6) + 1

    def traffic_per_s(self, scope: RateLimitScope) -> float:
        """Return its part of the messages a second that came for its destination."""
        seconds = max(self.state.now_us - self.state.started_at_us, MIN_TRAFFIC_US) / 1e6
        return scope.destination.arrivals / len(scope.destination.scopes) / seconds

    def record_success(self, scope: RateLimitScope) -> None:
        """Grow the pace."""
        if not scope.pace_per_s:
            return
        state = self.state
        if scope.rate_is_leased:
            highest = scope.listed_rate_per_s or math.inf
        else:
            listed_per_s = scope.listed_rate_per_s * state.settings.courier_count
            highest = max(listed_per_s, MIN_PACE_PER_S) if listed_per_s else math.inf
        since_cut_us = state.now_us - scope.pace_cut_at_us
        # Fast up to where it was last overloaded, then slowly, the faster the longer ago that was.
        calm = min(1.0, max(MIN_CALM, since_cut_us / CALM_US))
        is_near = scope.pace_per_s >= NEAR_OVERLOAD * scope.overload_pace_per_s
        step = GROWTH_SHARE * (calm if is_near else 1.0)
        unlisted = max(scope.pace_per_s, max(FLOOR_SHARE, calm) * self.traffic_per_s(scope))
        scope.pace_per_s = min(highest, scope.pace_per_s + step * (scope.listed_rate_per_s or unlisted))
        is_calm = not scope.destination.queue and since_cut_us > CALM_US
        if state.is_large_fleet and not scope.rate_is_leased and is_calm:
            scope.pace_per_s = 0.0

    def record_success_rate(self, scope: RateLimitScope) -> None:
        """Count a success in the rate of successes and against the share of overloads."""
        now_us = self.state.now_us
        elapsed_us = now_us - scope.success_rate_updated_at_us
        kept_share = max(0.0, 1 - elapsed_us / SUCCESS_RATE_WINDOW_US)
        scope.success_rate_per_s = scope.success_rate_per_s * kept_share + 1e6 / SUCCESS_RATE_WINDOW_US
        scope.success_rate_updated_at_us = now_us
        scope.overloads_in_a_row = 0
        scope.overload_share *= 1 - OVERLOAD_MEMORY

    def record_overload(self, scope: RateLimitScope, retry_after_us: int) -> None:
        """Cut the pace, halve the window, and wait for the Retry-After (or a jittered backoff)."""
        state = self.state
        scope.overload_share += (1 - scope.overload_share) * OVERLOAD_MEMORY
        if state.now_us >= scope.pace_cut_at_us:
            scope.pace_cut_at_us = state.now_us + max(int(scope.mean_latency_us), 2 * state.settings.tick_us)
            scope.window = max(1.0, scope.window / 2)
            self._cut_pace(scope)
            scope.overloads_in_a_row += 1
        pause_us = retry_after_us or backoff_us(state, scope.overloads_in_a_row)
        scope.retry_after_until_us = max(scope.retry_after_until_us, state.now_us + pause_us)
        self.available_tokens(scope)
        scope.tokens = min(scope.tokens, 1.0)
        scope.tokens_updated_at_us = max(state.now_us, scope.retry_after_until_us)

    def _cut_pace(self, scope: RateLimitScope) -> None:
        state = self.state
        part = scope.listed_rate_per_s or self.traffic_per_s(scope)
        # What is asked for may be a multiple of what is taken.
        floor = FLOOR_SHARE * (scope.listed_rate_per_s or FLOOR_SHARE * part)
        scope.overload_pace_per_s = scope.pace_per_s or scope.success_rate_per_s * UNLISTED_HEADROOM
        # In a large fleet it is random which courier needs its part: paced from an overload on, until no
        # message waits.
        if scope.pace_per_s:
            lowest = 0.0 if state.is_large_fleet else MIN_PACE_PER_S
            scope.pace_per_s = max(scope.pace_per_s * CUT_FACTOR, floor, lowest)
        elif state.is_large_fleet:
            scope.pace_per_s = FIRST_PACE_SHARE * part
            scope.overload_pace_per_s = scope.pace_per_s
            scope.tokens = state.random.random()
            scope.tokens_updated_at_us = state.now_us
        else:
            scope.pace_per_s = max(0.5, scope.success_rate_per_s * CUT_FACTOR, floor)
