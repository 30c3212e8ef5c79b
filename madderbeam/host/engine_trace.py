"""A trace of the decisions, for counting what a whole fleet did: each event and action is one line."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from madderbeam.policy.actions import Action, Fail, Reject, Send
from madderbeam.policy.engine import DeliveryEngine
from madderbeam.policy.events import AttemptEnded, EndpointListUpdate, Event, MessageArrived
from madderbeam.policy.settings import Settings


class TracedEngine(DeliveryEngine):
    """The decision module, with every turn written down. Off unless MADDERBEAM_TRACE is set: it is far more
    than a log should hold, and costs CPU. bench/fleet.py reads it."""

    def __init__(self, settings: Settings, seed: int, write: Callable[[str], None]) -> None:
        super().__init__(settings, seed)
        self.write = write
        write(f"settings {settings}")

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        events = list(events)
        lines = [line for e in events if (line := self._event(e))]
        actions = super().handle(now_us, events)
        lines += [line for a in actions if (line := self._action(a))]
        if lines:
            self.write("\n".join(f"trace {now_us} {line}" for line in lines))
        return actions

    def _dest(self, endpoint: int) -> int:
        found = self.state.endpoints.get(endpoint)
        return found.scope.destination.number if found else -1

    def _event(self, e: Event) -> str:
        if isinstance(e, MessageArrived):
            return f"arrived {e.destination} {e.message} {e.message_class} {int(e.resubmitted)} {e.attempts}"
        if isinstance(e, AttemptEnded):
            where = f"{self._dest(e.endpoint)} {e.message} {e.endpoint}"
            return f"{e.result.value} {where} {e.latency_us} {e.retry_after_us // 1000} {e.on_new_connection}"
        if isinstance(e, EndpointListUpdate):
            shown = [
                f"{x.endpoint}:{x.destination}:{x.state.value}:{x.rate_per_s:g}:{x.kind}" for x in e.entries
            ]
            return f"listed {e.kind.value} {' '.join(shown)}"
        return ""

    def _action(self, a: Action) -> str:
        if isinstance(a, Send):
            return f"send {self._dest(a.endpoint)} {a.message} {a.endpoint} {a.timeout_us // 1000}"
        if isinstance(a, Reject):
            return f"refuse - {a.message} {a.retry_after_us // 1000}"
        if isinstance(a, Fail):
            return f"fail - {a.message}"
        return ""
