"""What only the running courier knows, gathered for the machine; calls are counted while a trial asks."""

from __future__ import annotations

from collections import deque

from madderbeam.changes.values import Facts
from madderbeam.host.host import Host
from madderbeam.host.metrics import DECLINED
from madderbeam.policy.events import AttemptResult, EndpointState
from madderbeam.transport.calls import Item, Outcome

FAILED = (AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CONNECT_FAILED)
UNTOLD = (AttemptResult.NOT_SENT, AttemptResult.CANCELLED)  # they say nothing of the endpoint
SAMPLE_S, SAMPLES = 5.0, 7  # refusals before a change are those of the last half minute


class Gathering:
    """One courier's."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.calls: dict[str, tuple[int, int]] = {}
        self.counting = False
        self.samples: deque[tuple[float, int]] = deque(maxlen=SAMPLES)
        self.ended = host.calls.hooks.ended
        self.sample()

    def sample(self) -> None:
        """The count of refusals, every now and then."""
        self.samples.append((self.host.loop.time(), self._refused()))

    def count(self, on: bool) -> None:
        """Count the calls' ends by endpoint, or leave that."""
        if on is not self.counting:
            self.counting, self.calls = on, {}
            self.host.calls.hooks.ended = self._ended if on else self.ended

    def _ended(self, item: Item, endpoint: int, outcome: Outcome, latency: int) -> None:
        uid = self.host.registry.names.get(endpoint)
        if uid is not None and outcome.result not in UNTOLD:
            ended, failed = self.calls.get(uid, (0, 0))
            self.calls[uid] = ended + 1, failed + (outcome.result in FAILED)
        self.ended(item, endpoint, outcome, latency)

    def _refused(self) -> int:
        return sum(self.host.metrics.completed[DECLINED])

    def facts(self) -> Facts:
        """As it is at this instant."""
        host, courier = self.host, self.host.courier
        avoided = set(courier.ejected_endpoints())
        ready: dict[int, int] = {}
        for number, entry in host.registry.entries.items():
            if entry.state is EndpointState.READY and number not in avoided:
                ready[entry.destination] = ready.get(entry.destination, 0) + 1
        at, refused = self.samples[0]
        now = self._refused()
        return Facts(
            ready,
            {d.number: d.in_flight for d in courier.state.destinations.values() if d.in_flight},
            {
                d.number: len(d.queue) + d.in_flight
                for d in courier.state.destinations.values()
                if d.queue or d.in_flight
            },
            dict(self.calls),
            now,
            (now - refused) / max(1.0, host.loop.time() - at),
            host.settings.max_pending,
        )
