"""Slow start: how many calls a recovering endpoint gets, and how far apart the probes of a dead one are."""

from __future__ import annotations

from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.events import EndpointState
from madderbeam.policy.rate_pacing import UNLISTED_HEADROOM, RatePacer
from madderbeam.policy.state import CircuitBreaker, Endpoint

OVERLOAD_SHARE = 0.8  # share of the contract's overload multiple that recovery uses: the rest is for chance
SHARED_CEILING = 2.0  # multiple of the base rate at which a slow start of many couriers ends
MIN_BASE_RATE_PER_S = 0.5
MIN_RATE_PER_S = 0.05  # of the whole fleet


class SlowStart:
    """Ramps the calls to an endpoint up from its cold capacity to all of it."""

    def __init__(self, state: EngineState, pacer: RatePacer) -> None:
        self.state = state
        self.pacer = pacer

    def start(self, endpoint: Endpoint, since_us: int, share: float = 1.0) -> None:
        """Begin a slow start, as of an endpoint that came back at `since_us`.

        `share`: under 1 where other couriers start with it.
        """
        circuit = endpoint.circuit
        self.set_base_rate(endpoint)
        is_shared = share < 1 or endpoint.scope.shared_circuit is not None
        circuit.slow_start_ceiling = SHARED_CEILING if is_shared else 1.0
        if share < 1:  # one of them was answered: no probe is needed
            circuit.is_open = False
            circuit.probe_interval_us = 0
        if circuit.is_open:  # from its first response on
            circuit.interrupted_slow_start_since_us = since_us
            return
        circuit.slow_start_since_us = since_us
        circuit.tokens_updated_at_us = self.state.now_us
        circuit.tokens = min(share, self.state.probe_share)

    def set_base_rate(self, endpoint: Endpoint) -> None:
        """Set this courier's part of the warm rate.

        Where none is listed it is the courier's own traffic, which adds up to all traffic over the fleet, or
        its part of the rate of a single courier.
        """
        scope = endpoint.scope
        traffic = self.pacer.traffic_per_s(scope)
        alone = (
            max(scope.success_rate_per_s * UNLISTED_HEADROOM, MIN_BASE_RATE_PER_S) * self.state.probe_share
        )
        unlisted = max(endpoint.circuit.base_rate_per_s, traffic, alone)
        endpoint.circuit.base_rate_per_s = scope.listed_rate_per_s or unlisted

    def follow_listed_rate(self, endpoint: Endpoint) -> None:
        """The listed rate has changed: an open circuit's probes and a slow start go on at the new one."""
        circuit = endpoint.circuit
        if not circuit.base_rate_per_s:
            return
        if not circuit.is_open or endpoint.scope.rate_is_leased:
            self._gain_tokens(endpoint)
        self.set_base_rate(endpoint)

    def capacity_multiple(self, circuit: CircuitBreaker) -> float:
        """Return the multiple of its usual calls that a recovering endpoint may get."""
        settings = self.state.settings
        cold_share = settings.cold_capacity_share
        since_us = self.state.now_us if circuit.is_open else circuit.slow_start_since_us
        elapsed_us = self.state.now_us - since_us
        capacity = cold_share + (1 - cold_share) * elapsed_us / max(1, settings.warm_up_us)
        return min(circuit.slow_start_ceiling, OVERLOAD_SHARE * settings.overload_multiple * capacity)

    def rate_per_s(self, endpoint: Endpoint) -> float:
        """Return the rate that an endpoint may get from this courier as it recovers: its part of all."""
        scope = endpoint.scope
        circuit = endpoint.circuit
        ready = sum(other.state is EndpointState.READY for other in scope.endpoints.values()) or 1
        endpoints = 1 if scope.shared_circuit else ready
        rate = self.capacity_multiple(circuit) * circuit.base_rate_per_s / endpoints
        return max(rate, MIN_RATE_PER_S * self.state.probe_share)

    def has_token(self, endpoint: Endpoint) -> bool:
        """Whether a call of the slow start, or a probe, is due; if not, the engine is woken when it is."""
        circuit = endpoint.circuit
        rate = self._gain_tokens(endpoint)
        if circuit.tokens >= 1.0:
            return True
        self.state.wake_at(self.state.now_us + int((1 - circuit.tokens) / rate * 1e6) + 1)
        return False

    def _gain_tokens(self, endpoint: Endpoint) -> float:
        """Add the tokens gained since the last update, and return the rate at which they come.

        Those of probes are not saved up over a Retry-After, whose end all couriers wait for.
        """
        circuit = endpoint.circuit
        now_us = self.state.now_us
        since_us = circuit.tokens_updated_at_us
        if circuit.is_open:
            since_us = max(since_us, endpoint.scope.retry_after_until_us)
        rate = self.rate_per_s(endpoint)
        circuit.tokens = min(1.0, circuit.tokens + rate * max(0, now_us - since_us) / 1e6)
        circuit.tokens_updated_at_us = now_us
        return rate

    def probe_spacing_us(self, endpoint: Endpoint) -> int:
        """Return the time between one courier's probes at which the fleet's are what an endpoint bears."""
        return int((1 - self.state.probe_share**2) / self.rate_per_s(endpoint) * 1e6)
