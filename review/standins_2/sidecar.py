"""Rendered files of a courier beside a program, in the form of `madderbeam config render`."""

from __future__ import annotations

import json
import pathlib
from typing import Any

from madderbeam.config.rendered import FORM, seal


def write(
    folder: pathlib.Path,
    name: str,
    port: int,
    state: pathlib.Path,
    settings: dict[str, Any],
    targets: list[dict[str, Any]],
    feed_mb: float = 4,
    disk_mb: float = 3,
    **more: Any,
) -> pathlib.Path:
    """Write the courier's file and its partner list; return the courier's file."""
    listed = seal({"form": FORM, "all": True, "targets": targets})
    (folder / f"{name}.partners.json").write_text(json.dumps(listed))
    courier = {
        "form": FORM,
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "settings": settings,
        "limits": {
            "sockets": 256,
            "disk_mb": disk_mb,
            "clients": 32,
            "client_idle_ms": 60000,
            "journal_sync": False,
        },
        "sidecar": {
            "state": str(state),
            "partners": f"{name}.partners.json",
            "finals": str(folder / f"{name}-finals.jsonl"),
            "feed_mb": feed_mb,
        },
        **more,
    }
    path = folder / f"{name}.json"
    path.write_text(json.dumps(seal(courier)))
    return path
