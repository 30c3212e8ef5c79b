"""Passive health checks: ejects a server after `max_fails` failures, and probes it with a live call.

As nginx documents it (ngx_http_upstream_module, `server`; "Using nginx as HTTP load balancer", health
checks): `max_fails` unsuccessful attempts within fail_timeout make a server unavailable for fail_timeout;
after that a live request probes it, and a success restores it, its weight rising from zero over slow_start.
A group's only server is never ejected.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

STEPS = 16  # steps in which a weight rises during slow_start


@dataclass(slots=True)
class FailureTracker:
    """The failures of one server, and whether they eject it. Times are microseconds."""

    max_fails: int
    fail_timeout_us: int
    slow_start_us: int
    failure_times_us: deque[int] = field(default_factory=deque)  # the newest max_fails at most
    ejected_until_us: int = 0  # ejected until then, 0 if it was not
    needs_probe: bool = False  # was ejected, and no call has succeeded since
    probe_in_flight: bool = False
    slow_start_since_us: int = -1  # -1: not in slow start

    def is_usable(self, now_us: int) -> bool:
        """Whether calls may be sent: not ejected, and no probe in flight."""
        return now_us >= self.ejected_until_us and not self.probe_in_flight

    def call_started(self, now_us: int) -> bool:
        """Record the start of a call; return whether the call is the probe."""
        if self.needs_probe and not self.probe_in_flight:
            self.probe_in_flight = True
            return True
        return False

    def call_ended(self, failed: bool, succeeded: bool, now_us: int) -> bool:
        """Record the end of a call; return whether it ejected the server.

        A call that neither failed nor succeeded says nothing about the server's health.
        """
        probe, self.probe_in_flight = self.probe_in_flight, False
        if succeeded and self.needs_probe:
            self.needs_probe = False
            self.failure_times_us.clear()
            self.slow_start_since_us = now_us if self.slow_start_us else -1
        if not failed or not self.max_fails or now_us < self.ejected_until_us:
            return False
        self.failure_times_us.append(now_us)
        while (
            self.failure_times_us[0] <= now_us - self.fail_timeout_us
            or len(self.failure_times_us) > self.max_fails
        ):
            self.failure_times_us.popleft()
        if len(self.failure_times_us) < self.max_fails and not (probe or self.needs_probe):
            return False
        self.ejected_until_us, self.needs_probe, self.slow_start_since_us = (
            now_us + self.fail_timeout_us,
            True,
            -1,
        )
        self.failure_times_us.clear()
        return True

    def weight_steps(self, now_us: int) -> int:
        """Return the fraction of its weight that the server has now, in STEPS-ths."""
        if self.slow_start_since_us < 0:
            return STEPS
        step = (now_us - self.slow_start_since_us) * STEPS // max(1, self.slow_start_us)
        if step >= STEPS:
            self.slow_start_since_us = -1
        return max(1, min(STEPS, step))

    def next_step_us(self, now_us: int) -> int:
        """Return when the weight rises next, 0 if it does not."""
        if self.slow_start_since_us < 0:
            return 0
        step = (now_us - self.slow_start_since_us) * STEPS // max(1, self.slow_start_us) + 1
        return self.slow_start_since_us + -(-step * self.slow_start_us // STEPS)
