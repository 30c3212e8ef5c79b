"""Numbers of zones in this process, as the delivery engine knows them."""

from __future__ import annotations

from collections.abc import Iterable

from madderbeam.journal.zone_ids import UNKNOWN_ZONE_ID, zone_id
from madderbeam.policy.events import UNKNOWN_ZONE

MAX_ZONES = 1024  # more names than that in lists of endpoints are not told apart: their zone is unknown


class Zones:
    """Gives each zone a number: first those of the settings, then others as they are met."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names: list[str] = []  # by number; '' where only the id is known
        self.numbers: dict[int, int] = {}  # by zone id
        self.add(names)

    def add(self, names: Iterable[str]) -> None:
        """Give the next numbers to those of the names that have none."""
        for name in names:
            self.number(name)

    def number(self, name: str) -> int:
        """Return the zone's number; UNKNOWN_ZONE for no name."""
        number = self.number_by_id(zone_id(name))
        if number != UNKNOWN_ZONE:
            self.names[number] = name
        return number

    def number_by_id(self, zone: int) -> int:
        """Return the number of the zone with this id; UNKNOWN_ZONE for none."""
        if zone == UNKNOWN_ZONE_ID:
            return UNKNOWN_ZONE
        if zone not in self.numbers:
            if len(self.names) >= MAX_ZONES:
                return UNKNOWN_ZONE
            self.numbers[zone] = len(self.names)
            self.names.append("")
        return self.numbers[zone]

    def name(self, number: int) -> str:
        """Return the zone's name, '' if it is unknown."""
        return self.names[number] if 0 <= number < len(self.names) else ""
