"""A trace of the decisions, for counting what a whole fleet did: each event and action is one line."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from madderbeam.policy import interface as i
from madderbeam.policy.messages import Courier


class TracedCourier(Courier):
    """The decision module, with every turn written down. Off unless MADDERBEAM_TRACE is set: it is far more
    than a log should hold, and costs CPU. bench/fleet.py reads it."""

    def __init__(self, settings: i.Settings, seed: int, write: Callable[[str], None]) -> None:
        super().__init__(settings, seed)
        self.write = write
        write(f"settings {settings}")

    def handle(self, now_us: int, events: Iterable[i.Event]) -> list[i.Action]:
        events = list(events)
        lines = [line for e in events if (line := self._event(e))]
        actions = super().handle(now_us, events)
        lines += [line for a in actions if (line := self._action(a))]
        if lines:
            self.write("\n".join(f"trace {now_us} {line}" for line in lines))
        return actions

    def _dest(self, endpoint: int) -> int:
        ep = self.endpoints.get(endpoint)
        return ep.lane.dest.number if ep else -1

    def _event(self, e: i.Event) -> str:
        if isinstance(e, i.MessageArrived):
            return f"arrived {e.destination} {e.message} {e.message_class} {int(e.resubmitted)} {e.tries}"
        if isinstance(e, i.AttemptEnded):
            where = f"{self._dest(e.endpoint)} {e.message} {e.endpoint}"
            return f"{e.result.value} {where} {e.latency_us} {e.retry_after_us // 1000} {e.fresh}"
        if isinstance(e, i.EndpointsListed):
            shown = [
                f"{x.endpoint}:{x.destination}:{x.state.value}:{x.rate_per_s:g}:{x.kind}" for x in e.entries
            ]
            return f"listed {e.form.value} {' '.join(shown)}"
        return ""

    def _action(self, a: i.Action) -> str:
        if isinstance(a, i.Send):
            return f"send {self._dest(a.endpoint)} {a.message} {a.endpoint} {a.timeout_us // 1000}"
        if isinstance(a, i.Refuse):
            return f"refuse - {a.message} {a.retry_after_us // 1000}"
        if isinstance(a, i.Fail):
            return f"fail - {a.message}"
        return ""
