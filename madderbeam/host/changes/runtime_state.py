"""Collects the runtime state for the state machine; counts calls by endpoint only during canary periods."""

from __future__ import annotations

from collections import deque

from madderbeam.changes.values import RuntimeState
from madderbeam.host.host import Host
from madderbeam.host.metrics import DECLINED
from madderbeam.policy.events import AttemptResult, EndpointState
from madderbeam.transport.calls import Item
from madderbeam.transport.response_outcomes import Outcome

FAILED_RESULTS = (
    AttemptResult.ERROR,
    AttemptResult.TIMEOUT,
    AttemptResult.RESET,
    AttemptResult.CONNECT_FAILED,
)
INCONCLUSIVE_RESULTS = (AttemptResult.NOT_SENT, AttemptResult.CANCELLED)  # not the endpoint's doing
SAMPLE_PERIOD_S, SAMPLE_COUNT = 5.0, 7  # the rejection rate before a change covers the last half minute


class RuntimeStateCollector:
    """Collects the runtime state of one courier."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.call_counts: dict[str, tuple[int, int]] = {}
        self.is_counting = False
        self.samples: deque[tuple[float, int]] = deque(maxlen=SAMPLE_COUNT)
        self.previous_ended = host.calls.hooks.ended
        self.sample()

    def sample(self) -> None:
        """Sample the count of rejections; called every SAMPLE_PERIOD_S seconds."""
        self.samples.append((self.host.loop.time(), self._rejected_count()))

    def set_counting(self, is_counting: bool) -> None:
        """Start or stop counting ended calls by endpoint; either resets the counts."""
        if is_counting is not self.is_counting:
            self.is_counting, self.call_counts = is_counting, {}
            self.host.calls.hooks.ended = self._call_ended if is_counting else self.previous_ended

    def _call_ended(self, item: Item, endpoint: int, outcome: Outcome, latency_us: int) -> None:
        uid = self.host.registry.names.get(endpoint)
        if uid is not None and outcome.result not in INCONCLUSIVE_RESULTS:
            ended, failed = self.call_counts.get(uid, (0, 0))
            self.call_counts[uid] = ended + 1, failed + (outcome.result in FAILED_RESULTS)
        self.previous_ended(item, endpoint, outcome, latency_us)

    def _rejected_count(self) -> int:
        return sum(self.host.metrics.completed[DECLINED])

    def collect(self) -> RuntimeState:
        """Return the current runtime state."""
        host, courier = self.host, self.host.courier
        ejected = set(courier.ejected_endpoints())
        ready_by_dest: dict[int, int] = {}
        for number, entry in host.registry.entries.items():
            if entry.state is EndpointState.READY and number not in ejected:
                ready_by_dest[entry.destination] = ready_by_dest.get(entry.destination, 0) + 1
        sampled_at_s, rejected_then = self.samples[0]
        rejected_now = self._rejected_count()
        return RuntimeState(
            ready_by_dest,
            {
                destination.number: destination.in_flight
                for destination in courier.state.destinations.values()
                if destination.in_flight
            },
            {
                destination.number: len(destination.queue) + destination.in_flight
                for destination in courier.state.destinations.values()
                if destination.queue or destination.in_flight
            },
            dict(self.call_counts),
            rejected_now,
            (rejected_now - rejected_then) / max(1.0, host.loop.time() - sampled_at_s),
            host.settings.max_pending,
        )
