"""The tree of quotas as plain data, from what a person wrote."""

from __future__ import annotations

from typing import Any

from madderbeam.config import model as m


def quota(estate: m.Estate, couriers: int) -> dict[str, Any] | None:
    """The tree, of which each courier has an equal part; None where there is none."""
    if not estate.quota:
        return None
    nodes = [node.model_dump(exclude_none=True, exclude_defaults=True) for node in estate.quota]
    return {"form": 1, "couriers": couriers, "nodes": nodes}
