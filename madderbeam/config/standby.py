"""What a courier is told of its standby, or of whose standby it is."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from madderbeam.config.addresses import split_address
from madderbeam.ports import Address


class StandbyUnfit(ValueError):
    """A table that can't be; the text names the field."""


@dataclass(frozen=True)
class Standby:
    """`listen`: it keeps another courier's journal, until it is promoted. `to`: another one keeps its own.
    Times in milliseconds."""

    key_file: str
    listen: Address | None
    to: Address | None
    mode: str
    silent: str
    silent_ms: int
    lag_mb: float
    takeover: str
    drift_ppm: int


def _address(raw: Mapping[str, Any], field: str) -> Address | None:
    text = raw.get(field)
    if not text:
        return None
    found = split_address(text)
    if found is None:
        raise ValueError(f"{field}: must be HOST:PORT, not {text!r}")
    return found


def read(raw: Mapping[str, Any]) -> Standby:
    """From a rendered file; StandbyUnfit."""
    try:
        found = Standby(
            str(raw["key_file"]),
            _address(raw, "listen"),
            _address(raw, "to"),
            str(raw["mode"]),
            str(raw["silent"]),
            int(raw["silent_ms"]),
            float(raw["lag_mb"]),
            str(raw["takeover"]),
            int(raw["drift_ppm"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise StandbyUnfit(f"standby: can't be used: {error}") from None
    if found.mode not in ("after", "before") or found.silent not in ("refuse", "alone"):
        raise StandbyUnfit("standby: mode must be after or before, silent refuse or alone")
    return found
