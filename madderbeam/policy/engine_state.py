"""The state that all parts of a delivery engine share."""

from __future__ import annotations

import heapq
import math
import random

from madderbeam.policy.actions import Action, Log, SetTimer
from madderbeam.policy.endpoint_preference import EndpointPreference
from madderbeam.policy.settings import Settings
from madderbeam.policy.state import INITIAL_SLOT_TIME_US, Call, Destination, Endpoint, Message

WINDOW_SHARE = 0.75  # the calls to one destination stay under this share of all that may be in flight
DEADLINE_MARGIN_TICKS = 3  # margin before a deadline
FLEET_PROBES = 2  # calls that a fleet may make at once where each courier makes its part of one, by chance


class EngineState:
    """Settings, clock, tables and the actions of the current cycle."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_us = 0
        self.started_at_us = -1
        self.attempts_until_us: float = math.inf  # of a graceful shutdown: no attempt may last past it
        self.destinations: dict[int, Destination] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.messages: dict[int, Message] = {}
        self.calls: dict[tuple[int, int], tuple[Call, Message]] = {}  # by message and attempt
        self.calls_in_flight = 0
        self.arrivals = 0
        self.order_queues: dict[int, list[Message]] = {}  # pending messages by order key
        self.order_cooldowns: dict[int, int] = {}  # when an order key may be used again
        self.expiries: list[tuple[int, int]] = []  # heap of deadlines with their messages
        self.timers: list[int] = []  # heap of the times at which the host will wake the engine
        self.actions: list[Action] = []
        self.endpoint_preference: EndpointPreference | None = None  # where endpoints are not all alike
        self.mean_slot_time_us = INITIAL_SLOT_TIME_US  # of all calls, as a scope's
        self.change_settings(settings)
        self.deadline_margin_us = DEADLINE_MARGIN_TICKS * settings.tick_us
        # Each courier of a large fleet meets a destination so rarely that its equal part of anything, and one
        # endpoint's own evidence, say little.
        self.is_large_fleet = settings.courier_count > settings.max_in_flight
        self.probe_share = min(1.0, FLEET_PROBES / settings.courier_count)

    def change_settings(self, settings: Settings) -> None:
        """Apply these settings and what is derived from them."""
        self.settings = settings
        self.attempts_per_message = min(settings.attempts_per_message, settings.max_attempts)
        largest_window = max(1, int(WINDOW_SHARE * settings.max_in_flight))
        self.destination_window = min(settings.destination_window or largest_window, largest_window)

    def destination(self, number: int) -> Destination:
        """Return the destination, a new one if there was none."""
        return self.destinations.setdefault(number, Destination(number))

    def log(self, text: str) -> None:
        """Have the host log a line."""
        self.actions.append(Log(text))

    def wake_at(self, time_us: int) -> None:
        """Have the host wake the engine at this time, a tick from now at the earliest."""
        time_us = max(time_us, self.now_us + self.settings.tick_us)
        if not self.timers or time_us < self.timers[0]:
            heapq.heappush(self.timers, time_us)
            self.actions.append(SetTimer(time_us - self.now_us, 0))

    def forget_due_timers(self) -> None:
        """Drop the timers that are due."""
        while self.timers and self.timers[0] <= self.now_us:
            heapq.heappop(self.timers)
