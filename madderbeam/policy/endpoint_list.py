"""The endpoint list as the engine knows it: adds, changes and forgets endpoints."""

from __future__ import annotations

from madderbeam.policy.actions import Subscribe
from madderbeam.policy.circuit_breaker import CircuitBreakers
from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.events import EndpointEntry, EndpointListUpdate, EndpointState, ListUpdateKind
from madderbeam.policy.rate_pacing import RatePacer
from madderbeam.policy.slow_start import SlowStart
from madderbeam.policy.state import CircuitBreaker, Endpoint, RateLimitScope

RATE_TOLERANCE = 1e-6  # a listed rate that differs by a smaller share is the same


class EndpointList:
    """Applies updates of the endpoint list."""

    def __init__(
        self, state: EngineState, pacer: RatePacer, slow_start: SlowStart, breakers: CircuitBreakers
    ) -> None:
        self.state = state
        self.pacer = pacer
        self.slow_start = slow_start
        self.breakers = breakers

    def apply(self, update: EndpointListUpdate) -> None:
        """Bring the endpoints up to date; those that have gone are forgotten once they are idle."""
        if update.kind is ListUpdateKind.FAILED:
            self.state.actions.append(Subscribe())
            return
        for entry in update.entries:
            self._apply_entry(entry)
        listed = {entry.endpoint for entry in update.entries}
        for number, endpoint in list(self.state.endpoints.items()):
            if update.kind is not ListUpdateKind.DELTA and number not in listed:
                endpoint.state = EndpointState.GONE
            self.forget_if_gone(endpoint)

    def _apply_entry(self, entry: EndpointEntry) -> None:
        endpoint = self.state.endpoints.get(entry.endpoint)
        if endpoint is not None and endpoint.scope.destination.number != entry.destination:
            # It moved: what was known of it is void.
            endpoint.state = EndpointState.GONE
            del endpoint.scope.endpoints[endpoint.id]
            endpoint = None
        if endpoint is None and entry.state is not EndpointState.GONE:
            endpoint = self._add(entry)
        if endpoint is not None:
            self._update(endpoint, entry)

    def _update(self, endpoint: Endpoint, entry: EndpointEntry) -> None:
        scope = endpoint.scope
        endpoint.state = entry.state
        endpoint.zone = entry.zone
        endpoint.next_connect_at_us = max(endpoint.next_connect_at_us, entry.connect_not_before_us)
        scope.retry_after_until_us = max(scope.retry_after_until_us, entry.retry_after_until_us)
        scope.max_probe_interval_us = entry.max_probe_interval_us
        scope.rate_is_leased = entry.rate_is_leased
        if entry.paced_per_s and not scope.pace_per_s:  # it goes on as it goes, and grows with care
            scope.pace_per_s = max(scope.success_rate_per_s, entry.paced_per_s)
            scope.overload_pace_per_s = scope.pace_per_s
            scope.pace_cut_at_us = self.state.now_us
        if entry.recovering:
            self.slow_start.start(endpoint, self.state.now_us, entry.slow_start_share)
        if self.state.settings.rates_listed and entry.rate_per_s > 0:
            self._update_listed_rate(scope, entry)

    def _update_listed_rate(self, scope: RateLimitScope, entry: EndpointEntry) -> None:
        part = entry.rate_per_s / self.state.settings.courier_count
        if abs(part - scope.listed_rate_per_s) > RATE_TOLERANCE * part:
            scope.listed_rate_per_s = part
            scope.pace_per_s = self.pacer.initial_pace_per_s(part, entry.rate_is_leased)
            scope.overload_pace_per_s = scope.pace_per_s
            for endpoint in scope.endpoints.values():
                self.slow_start.follow_listed_rate(endpoint)

    def _add(self, entry: EndpointEntry) -> Endpoint:
        state = self.state
        settings = self.state.settings
        destination = state.destination(entry.destination)
        destination.kind = min(entry.kind, len(settings.kinds) - 1)
        if not destination.scopes or settings.kinds[destination.kind].limits_per_endpoint:
            is_shared = self.breakers.needs_shared_circuit(entry.rate_per_s)
            destination.scopes.append(RateLimitScope(destination, CircuitBreaker() if is_shared else None))
        scope = destination.scopes[-1]
        circuit = scope.shared_circuit or CircuitBreaker()
        endpoint = Endpoint(entry.endpoint, scope, entry.zone, circuit)
        scope.endpoints[endpoint.id] = endpoint
        state.endpoints[endpoint.id] = endpoint
        if scope.recovered_at_us >= 0 and state.now_us < scope.recovered_at_us + settings.warm_up_us:
            self.slow_start.start(endpoint, scope.recovered_at_us)  # as cold as its siblings
        return endpoint

    def forget_if_gone(self, endpoint: Endpoint) -> None:
        """Forget an endpoint that has gone and has no call in flight: replacements would pile up."""
        if endpoint.state is not EndpointState.GONE or endpoint.calls:
            return
        state = self.state
        scope = endpoint.scope
        if state.endpoints.get(endpoint.id) is endpoint:
            del state.endpoints[endpoint.id]
        scope.endpoints.pop(endpoint.id, None)
        scopes = scope.destination.scopes
        if not scope.endpoints and len(scopes) > 1 and scope in scopes:
            scopes.remove(scope)
