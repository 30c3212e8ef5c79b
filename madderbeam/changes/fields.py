"""The fields that a change may set, with allowed values and defaults. The bounds are those of the estate's
model (config/model.py), which a running courier does not import; a test compares the two."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
TOPIC_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,249}")
REQUIRED = object()  # a default that marks a required field


class InvalidValue(ValueError):
    """An invalid value; `allowed` describes the valid ones."""

    def __init__(self, value: Any, allowed: str) -> None:
        super().__init__(f"can't be {value!r:.80}")
        self.allowed = allowed


@dataclass(frozen=True)
class Field:
    """One field. `kind`: whole, number, above (a number above `minimum`), choice, flag, name, topic, text,
    address, uid, names."""

    kind: str
    minimum: float = 0
    maximum: float = 0
    default: Any = REQUIRED
    choices: tuple[str, ...] = ()

    @property
    def allowed(self) -> str:
        """Describes the valid values, for error messages."""
        if self.kind in ("whole", "number"):
            type_name = "a whole number" if self.kind == "whole" else "a number"
            return f"{type_name} from {self.minimum:.15g} to {self.maximum:.15g}"
        if self.kind == "above":
            return f"a number above {self.minimum:g}, at most {self.maximum:g}"
        return {
            "choice": ", ".join(self.choices),
            "flag": "true or false",
            "address": "HOST:PORT with a port from 1 to 65535",
            "uid": "text of 1 to 300 characters",
            "topic": "letters, digits, '.', '_', '-', at most 249",
            "names": "a list of names",
        }.get(self.kind, "a name of letters, digits, '.', '_', '-' with at most 64 characters")

    def read(self, value: Any) -> Any:
        """Return the value, converted; raises InvalidValue if it is invalid."""
        if not self._is_valid(value):
            raise InvalidValue(value, self.allowed)
        if self.kind in ("number", "above"):
            return float(value)
        return tuple(value) if self.kind == "names" else value

    def _is_valid(self, value: Any) -> bool:
        kind = self.kind
        if kind in ("whole", "number", "above"):
            if isinstance(value, bool) or not isinstance(value, int if kind == "whole" else (int, float)):
                return False
            return (
                value > self.minimum if kind == "above" else value >= self.minimum
            ) and value <= self.maximum
        if kind == "flag":
            return isinstance(value, bool)
        if kind == "names":
            return (
                isinstance(value, (list, tuple))
                and len(value) <= 1000
                and all(isinstance(element, str) and NAME_PATTERN.fullmatch(element) for element in value)
            )
        if not isinstance(value, str):
            return False
        if kind == "choice":
            return value in self.choices
        if kind == "address":
            return parse_address(value) is not None
        if kind == "uid":
            return 0 < len(value) <= 300
        if kind == "topic":
            return value == "" or TOPIC_PATTERN.fullmatch(value) is not None
        return NAME_PATTERN.fullmatch(value) is not None


def parse_address(text: str) -> tuple[str, int] | None:
    """Split HOST:PORT; returns None if the text has another format."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 1 <= int(port) <= 65535:
        return None
    return host.strip("[]"), int(port)


DAY_MS = 86_400_000
CLASS = {
    "wanted_ms": Field("whole", 1, DAY_MS),
    "deadline_ms": Field("whole", 1, DAY_MS),
    "repeat": Field("choice", default="unsafe", choices=("safe", "keyed", "unsafe")),
    "key_window_ms": Field("whole", 0, DAY_MS, 0),
    "key_scope": Field("choice", default="all", choices=("all", "zone")),
    "worth": Field("number", 0, 1e6, 1.0),
    "late_share": Field("number", 0, 1, 0.0),
    "ordered": Field("flag", default=False),
}
TENANT = {"share": Field("number", 0, 1), "per_s": Field("number", 0, 1e6, 1000.0)}
KIND = {"bundle": Field("whole", 1, 1000, 1), "routes_apart": Field("flag", default=False)}
ENDPOINT = {
    "uid": Field("uid"),
    "dest": Field("whole", 0, 4_294_967_295),
    "address": Field("address"),
    "zone": Field("name", default="here"),
    "kind": Field("name", default="plain"),
    "per_s": Field("above", 0, 1e6),
    "state": Field("choice", default="in_service", choices=("in_service", "terminating")),
    "topic": Field("topic", default=""),
    "topics": Field("names", default=()),
}
LIMITS = {
    "max_held": Field("whole", 16, 1_000_000),
    "attempts": Field("whole", 1, 12),
    "retry_base_ms": Field("whole", 1, 60_000),
    "retry_cap_ms": Field("whole", 1, 600_000),
    "max_wait_ms": Field("whole", 0, 600_000),
    "window": Field("whole", 1, 7_500),
}
SECTIONS: Mapping[str, Mapping[str, Field]] = {"class": CLASS, "tenant": TENANT, "kind": KIND}
