"""Log lines on how attempts ended, and on what became of their messages."""

from __future__ import annotations

import logging

from madderbeam.policy.events import AttemptResult
from madderbeam.transport.calls import Item
from madderbeam.transport.response_outcomes import Outcome

log = logging.getLogger(__name__)


def log_attempt_end(item: Item, endpoint: int, outcome: Outcome, latency_us: int, is_completed: bool) -> None:
    """Log the end of an attempt that did not deliver its message; a delivery is only counted."""
    if outcome.result is AttemptResult.OK:
        return
    parts = [outcome.result.value if item.begun else f"{outcome.result.value}, not written"]
    if outcome.status:
        parts.append(f"response {outcome.status}")
    if outcome.wait_us:
        parts.append(f"retry-after {outcome.wait_us // 1000} ms")
    if outcome.may_have_run:
        parts.append("in doubt")
    if outcome.may_be_over:
        parts.append("the message may be completed")
    if is_completed:
        parts.append("the message is completed")
    log.info(
        "message %s: attempt %d at endpoint %d ended after %.1f ms: %s",
        item.id,
        item.attempt,
        endpoint,
        latency_us / 1e3,
        ", ".join(parts),
    )


def log_completion(message_id: str, status: str, retry_after_ms: int) -> None:
    """Log that a message is completed with a notice of this status."""
    retry_after = f", retry-after {retry_after_ms} ms" if retry_after_ms else ""
    log.info("message %s is completed: %s%s", message_id, status, retry_after)
