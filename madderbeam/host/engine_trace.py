"""A trace of all decisions, to analyse a whole fleet: each event and each action is one line."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from madderbeam.policy.actions import Action, Fail, Reject, Send
from madderbeam.policy.engine import DeliveryEngine
from madderbeam.policy.events import AttemptEnded, EndpointListUpdate, Event, MessageArrived
from madderbeam.policy.settings import Settings


class TracedEngine(DeliveryEngine):
    """The delivery engine with a trace of every dispatch cycle, which bench/fleet.py reads.

    Used only if MADDERBEAM_TRACE is set: it writes far more than a log should hold, and costs CPU.
    """

    def __init__(self, settings: Settings, seed: int, write: Callable[[str], None]) -> None:
        super().__init__(settings, seed)
        self.write = write
        write(f"settings {settings}")

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Run a dispatch cycle of the engine and write its trace."""
        events = list(events)
        lines = [line for event in events if (line := self._event_line(event))]
        actions = super().handle(now_us, events)
        lines += [line for action in actions if (line := self._action_line(action))]
        if lines:
            self.write("\n".join(f"trace {now_us} {line}" for line in lines))
        return actions

    def _destination(self, endpoint: int) -> int:
        known = self.state.endpoints.get(endpoint)
        return known.scope.destination.number if known else -1

    def _event_line(self, event: Event) -> str:
        if isinstance(event, MessageArrived):
            return (
                f"arrived {event.destination} {event.message} {event.message_class} "
                f"{int(event.resubmitted)} {event.attempts}"
            )
        if isinstance(event, AttemptEnded):
            where = f"{self._destination(event.endpoint)} {event.message} {event.endpoint}"
            return (
                f"{event.result.value} {where} {event.latency_us} "
                f"{event.retry_after_us // 1000} {event.on_new_connection}"
            )
        if isinstance(event, EndpointListUpdate):
            entries = [
                f"{entry.endpoint}:{entry.destination}:{entry.state.value}:{entry.rate_per_s:g}:{entry.kind}"
                for entry in event.entries
            ]
            return f"listed {event.kind.value} {' '.join(entries)}"
        return ""

    def _action_line(self, action: Action) -> str:
        if isinstance(action, Send):
            return (
                f"send {self._destination(action.endpoint)} {action.message} {action.endpoint} "
                f"{action.timeout_us // 1000}"
            )
        if isinstance(action, Reject):
            return f"refuse - {action.message} {action.retry_after_us // 1000}"
        if isinstance(action, Fail):
            return f"fail - {action.message}"
        return ""
