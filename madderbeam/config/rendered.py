"""Rendered files: read and checked by couriers as they start. Imports nothing heavy."""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from typing import Any

FORM = 1  # of rendered files; a courier reads this one only
MAX_BYTES = 64_000_000


class Unfit(Exception):
    """A file that a courier must not start from; one line that names it."""


def digest(value: dict[str, Any]) -> str:
    """Of all but the digest itself, whatever the order of keys and the white space."""
    rest = {k: v for k, v in value.items() if k != "digest"}
    text = json.dumps(rest, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return "sha256:" + hashlib.sha256(text.encode()).hexdigest()


def seal(value: dict[str, Any]) -> dict[str, Any]:
    """The same with its digest."""
    return {**value, "digest": digest(value)}


def parse(data: bytes, shown: str) -> dict[str, Any]:
    """A rendered file's content; Unfit if it is not one, whole and unchanged."""
    if len(data) > MAX_BYTES:
        raise Unfit(f"{shown}: is too large; allowed: at most {MAX_BYTES} bytes")
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        raise Unfit(f"{shown}: is not whole JSON; render it again") from None
    if not isinstance(value, dict) or value.get("form") != FORM:
        raise Unfit(f"{shown}: form: must be {FORM}; render it with this version's tool")
    if value.get("digest") != digest(value):
        raise Unfit(f"{shown}: digest: does not match; the file was changed after it was rendered")
    return value


def read(path: Path, shown: str = "") -> dict[str, Any]:
    """A rendered file; Unfit with one line if it can't be used."""
    shown = shown or str(path)
    try:
        with path.open("rb") as file:
            data = file.read(MAX_BYTES + 1)
    except OSError as error:
        raise Unfit(f"{shown}: cannot be read: {error.strerror}") from None
    return parse(data, shown)
