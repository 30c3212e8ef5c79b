"""What a response proves about its messages: outcomes by PROTOCOL's table, waits and load reports."""

from __future__ import annotations

import contextlib
import json
import math
from dataclasses import dataclass, field, replace

from madderbeam.policy.events import AttemptResult

MAX_RETRY_AFTER_S = 120.0  # a longer Retry-After is ignored
NEVER_EXECUTED = (AttemptResult.OVERLOADED, AttemptResult.NOT_SENT)  # as a response may say
GONE = 410  # the message is over: withdrawn by its client, or out of time
KNOWN_STATUSES = (200, 400, GONE, 413, 429, 500, 503, 504)  # that PROTOCOL names
BUNDLE_STATES = {
    "done": AttemptResult.OK,
    "failed": AttemptResult.ERROR,
    "busy": AttemptResult.OVERLOADED,
    "void": AttemptResult.NOT_SENT,
    "used_up": AttemptResult.NOT_SENT,
}


@dataclass(frozen=True)
class Outcome:
    """How an attempt ended."""

    result: AttemptResult
    over: bool = False  # nothing more is owed for the message
    wait_us: int = 0  # a told wait
    spoilt: bool = False  # an answer came, but it could not be read
    may_have_run: bool = False  # whatever the result says: the response may be a copy of an earlier one
    may_be_over: bool = False  # a response says so that proves nothing: neither send again nor keep silent
    status: int = field(default=0, compare=False)  # of the response, 0 if none could be read; for the log


def single_outcome(status: int, headers: dict[str, str]) -> Outcome:
    """Return the outcome of a single message, by PROTOCOL's table of responses."""
    wait = retry_after_us(headers)
    if status == 200:
        return Outcome(AttemptResult.OK, over=True, wait_us=wait)
    if status in (429, 503):
        no_slot = headers.get("slots-taken") == "1"
        return Outcome(AttemptResult.NOT_SENT if no_slot else AttemptResult.OVERLOADED, wait_us=wait)
    if status == GONE:
        return Outcome(AttemptResult.NOT_SENT, over=True, wait_us=wait)
    if status in (400, 413, 504):  # not sent
        return Outcome(AttemptResult.NOT_SENT, wait_us=wait)
    return Outcome(AttemptResult.ERROR, wait_us=wait)  # 500 or unknown: it may have run


def retry_after_us(headers: dict[str, str]) -> int:
    """Return the Retry-After in microseconds, 0 if there is none; of several the longest."""
    longest = 0.0
    for text in headers.get("retry-after", "").split(","):
        with contextlib.suppress(ValueError):
            seconds = float(text)
            longest = max(longest, seconds if 0 < seconds <= MAX_RETRY_AFTER_S else 0.0)  # not for nan either
    return int(longest * 1e6)


def load_report(headers: dict[str, str]) -> dict[str, float]:
    """Return the load report of a response by field names; {} if there is none or it is malformed."""
    try:
        pairs = [pair.split("=", 1) for pair in headers.get("x-server-load", "").split(",") if pair]
        load = {name.strip(): float(value) for name, value in pairs}
    except ValueError:
        return {}
    return load if all(map(math.isfinite, load.values())) else {}


def bundle_outcomes(body: bytes, wait_us: int) -> dict[str, Outcome]:
    """Return the outcomes in a bundle's response by message id; {} if it is malformed or names one twice."""
    try:
        rows = json.loads(body)
        states = {str(row["id"]): BUNDLE_STATES[row["state"]] for row in rows}
        voids = {str(row["id"]) for row in rows if row["state"] in ("done", "void")}
        if len(states) != len(rows):
            return {}
    except (ValueError, KeyError, TypeError, RecursionError):
        return {}
    return {i: Outcome(r, i in voids, wait_us) for i, r in states.items()}


def without_proof(outcome: Outcome) -> Outcome:
    """What the response proves if it may be a copy of an earlier one: the call may have run."""
    if outcome.over:
        return Outcome(AttemptResult.ERROR, wait_us=outcome.wait_us, spoilt=True)
    return replace(outcome, may_have_run=outcome.result in NEVER_EXECUTED)
