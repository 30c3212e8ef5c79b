"""Runs delivery engines on the simulator's protocol, one per instance, without shared state."""

from __future__ import annotations

import sys
from dataclasses import replace
from typing import Any, BinaryIO

from madderbeam import wire
from madderbeam.host.rate_limits import ReportedRates, reported_rate
from madderbeam.policy.engine import DeliveryEngine
from madderbeam.policy.events import EndpointEntry, EndpointListUpdate, ListUpdateKind
from madderbeam.policy.settings import Settings


class EndpointList:
    """The endpoint list of an instance, with rates from load reports if the list has none."""

    def __init__(self, settings: Settings) -> None:
        self.settings, self.limits = settings, ReportedRates()
        self.entries: dict[int, EndpointEntry] = {}

    def update(self, event: Any) -> list[Any]:
        """Return the events that the engine gets for an event of the simulator."""
        if not self.settings.load_report_fields:
            return [] if isinstance(event, wire.LoadReport) else [event]
        if isinstance(event, EndpointListUpdate):
            event = replace(event, entries=tuple(map(self._with_rate, event.entries)))
            self.entries.update({e.endpoint: e for e in event.entries})
        elif isinstance(event, wire.LoadReport):
            entry = self.entries.get(event.endpoint)
            if entry is None or not self.limits.update(
                self._rate_limit_key(entry), reported_rate(self.settings.load_report_fields, event.values)
            ):
                return []
            event = EndpointListUpdate(ListUpdateKind.DELTA, (self._with_rate(entry),))
        return [event]

    def _with_rate(self, entry: EndpointEntry) -> EndpointEntry:
        return replace(entry, rate_per_s=self.limits[self._rate_limit_key(entry)])

    def _rate_limit_key(self, entry: EndpointEntry) -> tuple[int, int]:
        is_per_endpoint = self.settings.kinds[
            min(entry.kind, len(self.settings.kinds) - 1)
        ].limits_per_endpoint
        return (entry.destination, entry.endpoint if is_per_endpoint else -1)


def answer(
    sequence: int,
    now_us: int,
    body: bytes,
    count: int,
    couriers: dict[int, DeliveryEngine],
    pages: dict[int, Any],
    lists: dict[int, EndpointList],
) -> bytes:
    """Process one batch of events; return the reply frame."""
    events_by_instance: dict[int, list[Any]] = {}
    for instance, event in wire.read_events(body, count, pages):
        events = events_by_instance.setdefault(instance, [])
        if isinstance(event, wire.Begin):
            couriers[instance] = DeliveryEngine(event.settings, event.seed)
        elif isinstance(event, wire.Shutdown):
            couriers.pop(instance, None)
            lists.pop(instance, None)
            events.clear()
        elif instance in couriers:
            events += lists.setdefault(instance, EndpointList(couriers[instance].state.settings)).update(
                event
            )
    reply = wire.Reply()
    for instance, events in events_by_instance.items():
        courier = couriers.get(instance)
        if courier is None:
            continue
        try:
            actions = courier.handle(now_us, events)
        except Exception as error:  # the simulator reports the text of any failure
            reply.instance(instance)
            reply.fault(f"{type(error).__name__}: {error}")
            continue
        if actions:
            reply.instance(instance)
            for action in actions:
                reply.action(action)
    return reply.pack(sequence)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to every batch until the input ends."""
    couriers: dict[int, DeliveryEngine] = {}
    pages: dict[int, Any] = {}
    lists: dict[int, EndpointList] = {}
    while header := source.read(wire.BATCH_HEADER.size):
        sequence, size, now_us, count = wire.split_header(header)
        body = source.read(size)
        if len(body) != size:
            raise wire.Malformed(f"truncated batch: {len(body)} of {size} bytes")
        sink.write(answer(sequence, now_us, body, count, couriers, pages, lists))
        sink.flush()


def main() -> int:
    """Serve on standard input and output; return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ValueError as error:  # a malformed frame or invalid settings
        print(f"madderbeam.simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
