"""Full-jitter exponential backoff, as in "Retries (Agents SDK design)"."""

from __future__ import annotations

from madderbeam.policy.engine_state import EngineState

MAX_DOUBLINGS = 30


def backoff_us(state: EngineState, attempt: int) -> int:
    """Return random(0, min(cap, base * 2**attempt))."""
    settings = state.settings
    ceiling_us = min(settings.backoff_cap_us, settings.backoff_base_us * 2 ** min(attempt, MAX_DOUBLINGS))
    return int(state.random.uniform(0, ceiling_us))
