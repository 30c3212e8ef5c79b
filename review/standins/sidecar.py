"""The rendered files of a courier beside one program, as `madderbeam config render` writes them."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from standins import kit

ENSEMBLES = ("atlanta-civic-chorus", "dalton-singers")


@dataclass(frozen=True)
class Class:
    """A class of messages, times in milliseconds."""

    name: str
    wanted_ms: int
    deadline_ms: int
    repeat: str
    key_window_ms: int = 0


def settings(classes: Sequence[Class]) -> dict[str, Any]:
    """Return a small deployment's settings with these classes and two of the site's ensembles."""
    return {
        "classes": [
            {
                "name": cls.name,
                "goalTimeUs": cls.wanted_ms * 1000,
                "deadlineUs": cls.deadline_ms * 1000,
                "idempotency": cls.repeat,
                "keyScope": "all",
                "keyTtlUs": cls.key_window_ms * 1000,
                "lateShare": 0.0,
                "sequential": False,
                "worth": 1.0,
            }
            for cls in classes
        ],
        "clients": {"marksRetry": True},
        "contract": {
            "coldShare": 0.15,
            "coldUs": 12_000_000,
            "drainGraceUs": 2_000_000,
            "fallMultiple": 2.5,
            "fallUs": 2_000_000,
            "keyRestUs": 0,
        },
        "design": {"baseUs": 100_000, "capUs": 3_000_000, "tries": 3, "window": 12},
        "familyInfo": {"kindApart": [False], "kindBatch": [1], "maxCalls": 16},
        "groupSize": 1,
        "localities": ["here"],
        "me": 0,
        "policyLimits": {
            "attemptsCap": 3,
            "connIdleUs": 10_000_000,
            "connectTimeoutUs": 1_500_000,
            "maxOpen": 400,
            "maxRetryAfterUs": 2_000_000,
            "probing": False,
            "retryAfter": True,
        },
        "shapes": ["plain"],
        "stepUs": 5000,
        "tenants": [{"fraction": 0.5, "name": name, "quotaPerS": 1000.0} for name in ENSEMBLES],
        "weightSource": "nominal",
    }


def sidecar_file(
    folder: pathlib.Path,
    name: str,
    listen: int,
    control: int,
    endpoint: int,
    classes: Sequence[Class],
    **more: Any,
) -> pathlib.Path:
    """Write a courier's files; return the path of its own. `more`: further parts of that one."""
    target = {
        "az": "here",
        "boot_ms": 0,
        "capacity_hint": 50.0,
        "endpoint": f"127.0.0.1:{endpoint}",
        "model": "plain",
        "pod_group": kit.DEST,
        "state": "in_service",
        "uid": f"venue/127.0.0.1:{endpoint}",
    }
    partners = f"{name}.partners.json"
    (folder / partners).write_bytes(kit.sealed({"all": True, "form": 1, "targets": [target]}))
    own = {
        "control": f"127.0.0.1:{control}",
        "form": 1,
        "limits": {
            "client_idle_ms": 60000,
            "clients": 256,
            "disk_mb": 32.0,
            "journal_sync": False,
            "sockets": 1024,
        },
        "listen": f"127.0.0.1:{listen}",
        "name": name,
        "settings": settings(classes),
        "sidecar": {
            "feed_mb": 16.0,
            "finals": str(folder / f"{name}-finals.jsonl"),
            "partners": partners,
            "state": str(folder / f"{name}-state"),
        },
        **more,
    }
    path = folder / f"{name}.json"
    path.write_bytes(kit.sealed(own))
    return path
