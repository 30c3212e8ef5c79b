"""What happens in one run of the soak, drawn from its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import Any

from loopback import settings
from soak_copies import Copies

ACTIVE_S = 11.0  # clients send and signals come so long
KILL_AFTER_S = 3.7  # SIGKILL comes so long after SIGTERM
RESTART_AFTER_S = 0.6  # the next start after SIGKILL
KEY_WINDOW_US = 1_000_000
DRAIN_GRACE_US = 2_000_000
CLASSES = ("safe", "keyed", "unsafe", "ordered")
LIFE_MS = (800, 4000)
COPY_DELAY_S = (0.001, 0.5)  # behind the response that is repeated
MEMORY_MB = 64  # of the courier; the platform's least is 32


class Mood(Enum):
    """How an endpoint answers a call."""

    DONE = "200"
    LATE = "200 after a while"
    FULL = "429 with Retry-After"
    OVERLOADED = "503"
    ERROR = "500"
    RESET = "reset"
    HANG = "no answer"
    BROKEN = "an answer that breaks off"
    OVERLOADED_LATE = "503 after a while"
    GONE = "410"

    @property
    def may_have_run(self) -> bool:
        """Whether the message may have taken effect."""
        return self not in (Mood.FULL, Mood.OVERLOADED, Mood.OVERLOADED_LATE, Mood.GONE)


DRAWN_MOODS = (Mood.FULL, Mood.OVERLOADED, Mood.ERROR, Mood.RESET, Mood.HANG, Mood.BROKEN)


class Step(Enum):
    """What is done to the courier or its list of endpoints."""

    HANGUP = "SIGHUP"
    RESTART = "SIGTERM, SIGKILL, start"
    KILL = "SIGKILL, start"
    DRAIN = "an endpoint drains"
    REPLACE = "an endpoint is replaced"
    SILENCE = "discovery is silent for a while"
    UPGRADE = "a second process takes over, SIGTERM to the first"
    LATE_ENDPOINT = "an endpoint is listed, and listens only after a while"


@dataclass(frozen=True)
class Event:
    """A step and when it begins. `hangups`, `again`: SIGHUPs and another SIGTERM, behind a SIGTERM (s)."""

    at_s: float
    step: Step
    seconds: float = 0.0
    hangups: tuple[float, ...] = ()
    again: float = 0.0


@dataclass(frozen=True)
class Scenario:
    """One run. `classes`, `life_ms`: of the messages."""

    seed: int
    clients: int
    rate_per_s: float
    pipeline_max: int
    in_pieces: bool
    crowd: int
    sockets: int
    moods: dict[Mood, float]
    events: tuple[Event, ...]
    classes: tuple[str, ...] = CLASSES
    life_ms: tuple[int, int] = LIFE_MS
    has_equal_responses: bool = False  # nothing tells one 200 of an endpoint from another
    copies: Copies | None = None  # of the responses of endpoints
    agent_copies: Copies | None = None  # of what discovery writes
    withdrawn_share: float = 0.0  # of the messages: their clients withdraw them while they wait

    def settings(self) -> dict[str, object]:
        """The courier's settings."""
        raw = settings(contract__drainGraceUs=DRAIN_GRACE_US)
        raw["classes"][1]["keyTtlUs"] = KEY_WINDOW_US
        raw["classes"].append(
            {
                "name": "ordered",
                "goalTimeUs": 1_000_000,
                "deadlineUs": 6_000_000,
                "idempotency": "read_like",
                "sequential": True,
            }
        )
        raw["contract"]["keyRestUs"] = 200_000
        return raw


def draw(seed: int) -> Scenario:
    """The run of this seed."""
    rng = random.Random(f"soak {seed}")
    is_crowded = rng.random() < 0.2
    sockets = rng.choice((96, 160)) if is_crowded else 512
    return Scenario(
        seed,
        clients=rng.randint(2, 8),
        rate_per_s=rng.choice((20.0, 40.0, 80.0)),
        pipeline_max=rng.choice((1, 1, 4, 12)),
        in_pieces=rng.random() < 0.3,
        crowd=sockets if is_crowded else 0,
        sockets=sockets,
        moods=_moods(rng),
        events=tuple(sorted(_events(rng) + _later_events(seed), key=lambda event: event.at_s)),
        **_responses(seed),
        withdrawn_share=_withdrawn_share(seed),
    )


def _withdrawn_share(seed: int) -> float:
    """Clients that withdraw messages in half of the runs, drawn apart like later events."""
    rng = random.Random(f"soak withdrawn {seed}")
    return rng.choice((0.0, 0.0, 0.1, 0.4))


def _responses(seed: int) -> dict[str, Any]:
    """Copies in half of the runs, and equal responses in a quarter, drawn apart like later events."""
    rng = random.Random(f"soak copies {seed}")
    if rng.random() < 0.5:
        share = rng.choice((0.02, 0.1, 0.3))
        return {
            "copies": Copies(share, COPY_DELAY_S, times_max=rng.choice((1, 2))),
            "agent_copies": Copies(share, COPY_DELAY_S) if rng.random() < 0.5 else None,
        }
    return {"has_equal_responses": rng.random() < 0.5}


def _moods(rng: random.Random) -> dict[Mood, float]:
    shares = dict.fromkeys(Mood, 0.0)
    shares[Mood.LATE] = 0.2
    for mood in rng.sample(DRAWN_MOODS, rng.randint(1, 4)):
        shares[mood] = rng.choice((0.02, 0.1, 0.2))
    shares[Mood.DONE] = max(0.2, 1.0 - sum(shares.values()))
    return shares


def _events(rng: random.Random) -> list[Event]:
    """One or two restarts or kills, in between which the rest happens."""
    events = []
    at_s = rng.uniform(0.8, 2.5)
    while at_s < ACTIVE_S - 1:
        if rng.random() < 0.6:
            behind = [rng.uniform(-0.05, 3.0) for _ in range(rng.choice((0, 0, 1, 2)))]
            again = rng.uniform(0.01, 3.0) if rng.random() < 0.3 else 0.0
            events.append(Event(at_s, Step.RESTART, 0.0, tuple(sorted(behind)), again))
            at_s += KILL_AFTER_S + RESTART_AFTER_S + rng.uniform(0.5, 3.0)
        else:
            events.append(Event(at_s, Step.KILL))
            at_s += RESTART_AFTER_S + rng.uniform(0.3, 3.0)
    for step in (Step.HANGUP, Step.DRAIN, Step.REPLACE, Step.SILENCE):
        for _ in range(rng.choice((0, 0, 1, 2))):
            events.append(Event(rng.uniform(0.3, ACTIVE_S - 1), step, rng.uniform(1.0, 4.0)))
    return events


def _later_events(seed: int) -> list[Event]:
    """Upgrades and late endpoints, drawn apart, so that the rest of a seed's run stays as it is."""
    rng = random.Random(f"soak later {seed}")
    events = []
    if rng.random() < 0.4:
        events.append(Event(rng.uniform(0.5, ACTIVE_S - 1), Step.UPGRADE))
    for _ in range(rng.choice((0, 0, 1))):
        events.append(Event(rng.uniform(0.3, ACTIVE_S - 3), Step.LATE_ENDPOINT, rng.uniform(0.5, 3.0)))
    return events
