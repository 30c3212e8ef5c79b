"""The settings of a run, in the platform's form: what all couriers and the checker go by."""

from __future__ import annotations

import random
from typing import Any

from madderbeam.simulation.script import Script

ENSEMBLES = 3
CLASSES = ("status-notice", "room-order", "deposit-payment", "seat-plan")


def settings(script: Script) -> dict[str, Any]:
    """The settings of a run, in the platform's form."""
    usual = _usual(script)
    return _others(usual, random.Random(f"customer {script.customer}")) if script.customer else usual


def _others(usual: dict[str, Any], chance: random.Random) -> dict[str, Any]:
    """The settings of another customer: classes with other effects, windows and times, other limits."""
    for cls in usual["classes"]:
        cls["idempotency"] = chance.choice(("read_like", "idempotency_key", "non_idempotent"))
        cls["keyScope"], cls["keyTtlUs"] = "all", chance.choice((1_000_000, 2_500_000, 10_000_000))
        cls["deadlineUs"] = int(cls["deadlineUs"] * chance.choice((0.4, 0.7, 1.0)))
        cls["goalTimeUs"] = min(cls["goalTimeUs"], cls["deadlineUs"])
    usual["familyInfo"]["maxCalls"] = chance.choice((4, 8, 12))
    limits = usual["policyLimits"]
    limits["attemptsCap"] = chance.choice((2, 4, 12))
    limits["connIdleUs"] = chance.choice((1_500_000, 4_000_000, 10_000_000))
    limits["connectTimeoutUs"] = chance.choice((250_000, 500_000, 1_200_000))
    limits["maxOpen"] = chance.choice((20, 60))
    usual["contract"]["keyRestUs"] = chance.choice((100_000, 300_000))
    return usual


def _usual(script: Script) -> dict[str, Any]:
    return {
        "classes": [
            {
                "name": CLASSES[0],
                "goalTimeUs": 1_000_000,
                "deadlineUs": 3_000_000,
                "idempotency": "read_like",
                "worth": 2.0,
                "lateShare": 0.1,
            },
            {
                "name": CLASSES[1],
                "goalTimeUs": 2_000_000,
                "deadlineUs": 6_000_000,
                "worth": 1.0,
                "lateShare": 0.5,
                "idempotency": "idempotency_key",
                "keyScope": "all",
                "keyTtlUs": 2_500_000,
            },
            {
                "name": CLASSES[2],
                "goalTimeUs": 1_500_000,
                "deadlineUs": 6_000_000,
                "worth": 4.0,
                "lateShare": 0.4,
                "idempotency": "non_idempotent",
            },
            {
                "name": CLASSES[3],
                "goalTimeUs": 1_500_000,
                "deadlineUs": 4_000_000,
                "worth": 1.0,
                "idempotency": "read_like",
                "sequential": True,
            },
        ],
        "clients": {"marksRetry": True},
        "groupSize": script.couriers,
        "stepUs": 5000,
        "contract": {
            "coldShare": 0.15,
            "coldUs": script.cold_ms * 1000,
            "drainGraceUs": script.grace_ms * 1000,
            "fallMultiple": 2.5,
            "fallUs": 2_000_000,
            "keyRestUs": 300_000,
        },
        "familyInfo": {"maxCalls": script.slots, "kindApart": [False, False], "kindBatch": [1, 5]},
        "policyLimits": {
            "attemptsCap": 12,
            "connIdleUs": 10_000_000,
            "connectTimeoutUs": 500_000,
            "maxOpen": 60,
            "retryAfter": True,
            "maxRetryAfterUs": 2_000_000,
            "probing": True,
        },
        "localities": ["here"],
        "shapes": ["small-ensembles", "venue-chains"],
        "weightSource": "nominal",
        "overShareWorth": 0.05,
        "tenants": [
            {
                "name": f"ensemble-{n}",
                "fraction": 1 / ENSEMBLES,
                "quotaPerS": 1.5 * script.rate_per_s / ENSEMBLES,
            }
            for n in range(ENSEMBLES)
        ],
    }
