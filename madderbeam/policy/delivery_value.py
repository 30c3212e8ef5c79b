"""The value of delivering a message at a given time."""

from __future__ import annotations

from madderbeam.policy.state import Message


def delivery_value(message: Message, time_us: float, halves: bool) -> float:
    """Return the value of a delivery at `time_us`.

    Past the latency objective it falls to the late share at the deadline: evenly, or, where it `halves`, by
    half with each further objective.
    """
    message_class = message.message_class
    age_us = time_us - message.accepted_at_us
    late_us = age_us - message_class.latency_objective_us
    if late_us <= 0:
        return message.priority_weight
    if time_us >= message.deadline_us:
        return 0.0
    late_share = message_class.late_value_share
    if halves:
        return message.priority_weight * max(
            late_share, 0.5 ** (late_us / message_class.latency_objective_us)
        )
    span_us = max(1, message_class.deadline_us - message_class.latency_objective_us)
    return message.priority_weight * (1 - (1 - late_share) * late_us / span_us)
