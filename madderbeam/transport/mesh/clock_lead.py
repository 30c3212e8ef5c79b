"""Bounds the time at which a frame of a link can have been sent, without synchronized clocks.

The sender stamps each frame with its own clock. The receiver replies to each ping after it has received it,
and with the next ping the sender reports when that reply arrived. So the receiver's clock is ahead of the
sender's by at least the difference of the two times: a bound that holds whatever the network delays are. It
is tightest where replies are quick, and stays valid as long as the drift between the clocks is bounded.
"""

from __future__ import annotations


class ClockLeadBound:
    """The receiver's side of one link.

    Times in microseconds: local ones by this clock, stamps by the sender's.
    """

    def __init__(self, drift_ppm: int, first_received_us: int) -> None:
        """drift_ppm: bound on the drift between the two clocks.

        first_received_us: when the first frame of the link arrived.
        """
        self.drift_ppm, self.ping_received_us = drift_ppm, first_received_us
        # lower bound of this clock's lead over the sender's, as of `since_us`
        self.lead_us: int | None = None
        self.since_us = 0

    def ping_received(self, now_us: int, reply_arrived_us: int) -> None:
        """Handle a ping that is not replied to yet.

        reply_arrived_us: by the sender's clock, when the reply to the previous ping arrived (for the first
        ping: the reply to the first frame).
        """
        lead_us = self.ping_received_us - reply_arrived_us
        if self.lead_us is None or lead_us > self._lead_us(self.ping_received_us):
            self.lead_us, self.since_us = lead_us, self.ping_received_us
        self.ping_received_us = now_us

    def earliest_sent_us(self, now_us: int, stamp_us: int) -> int:
        """The earliest time, by this clock, at which a frame with this stamp can have been sent.

        ValueError before the first ping, which precedes all other frames.
        """
        if self.lead_us is None:
            raise ValueError("message received before the first ping")
        return min(now_us, stamp_us + self._lead_us(now_us))

    def _lead_us(self, now_us: int) -> int:
        assert self.lead_us is not None
        drift_us = -(-max(0, now_us - self.since_us) * self.drift_ppm // 1_000_000)
        return self.lead_us - drift_us - 1  # both readings are rounded to whole microseconds
