"""The endpoint list as the dispatch cycle sees it: addresses, drains and active Retry-After times."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Container
from dataclasses import replace
from typing import Any

from madderbeam.config.platform import ConfigError, dialed_address
from madderbeam.host.address_owners import AddressOwners, read_boot_ms
from madderbeam.host.rate_limits import ReportedRates, reported_rate
from madderbeam.host.zones import Zones
from madderbeam.journal.zone_ids import UNKNOWN_ZONE_ID, zone_id
from madderbeam.policy.events import EndpointEntry, EndpointState
from madderbeam.policy.settings import DestinationKind, Settings
from madderbeam.ports import Address

STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.GONE,
}
READY = EndpointState.READY
# What parsing a malformed entry may raise.
UNREADABLE = (LookupError, TypeError, ValueError, OverflowError, AttributeError, ConfigError)
MAX_REMEMBERED_IDS = 4096  # most recent endpoint ids that are remembered as once listed
log = logging.getLogger(__name__)


class EndpointRegistry:
    """Assigns numbers to endpoint ids and holds each endpoint's entry and the active Retry-After times.

    Times are microseconds of the monotonic clock. `disabled`: ids disabled by an operator, whatever discovery
    reports of them. `parse_address` returns an endpoint's address; ConfigError if it is invalid.
    """

    def __init__(
        self,
        settings: Settings,
        zones: tuple[str, ...],
        clock: Callable[[], int],
        disabled: Container[str] = (),
        parse_address: Callable[[Any, str], Address] = dialed_address,
    ) -> None:
        self.settings, self.clock, self.disabled, self.parse_address = (
            settings,
            clock,
            disabled,
            parse_address,
        )
        self.kind_numbers = {kind.name: number for number, kind in enumerate(settings.kinds)}
        self.zones = Zones(zones)
        self.uids: dict[str, int] = {}  # numbers by id
        self.names: dict[int, str] = {}  # ids by number
        self.listed_ever = 0
        self.ever: dict[str, None] = {}  # ids that were once listed, the newest last
        self.entries: dict[int, EndpointEntry] = {}
        # The state that discovery reports of endpoints that an operator has disabled.
        self.told: dict[int, EndpointState] = {}
        self.dests: set[int] = set()  # once listed; a destination without endpoints may get some again
        self.topics: dict[int, str] = {}  # topics of Kafka partners' endpoints
        self.subscribed_topics: dict[
            int, tuple[str, ...]
        ] = {}  # federation topics that an endpoint subscribes to
        self.reported_rates = ReportedRates()  # by the same key as the Retry-After times
        self.waits: dict[tuple[int, int], int] = {}  # end of the Retry-After, by destination or route
        # Removed endpoints: the key of their Retry-After, and until when a call to them may be in flight.
        self.removed: dict[int, tuple[tuple[int, int], int]] = {}
        self.longest_deadline_us = max(cls.deadline_us for cls in settings.classes)
        # Whether this courier serves a destination now; set if another courier may serve it.
        self.is_served: Callable[[int], bool] | None = None
        # Ids that another courier saw draining, until this courier's own list has an entry of them.
        self.relayed_drains: dict[str, None] = {}
        # The rate of an entry to show to the engine if several couriers share a destination's rate.
        self.shared_rate: Callable[[EndpointEntry], float] | None = None
        # Adds the findings of other couriers to an entry for the engine.
        self.add_shared_findings: Callable[[EndpointEntry], EndpointEntry] | None = None
        self.address_owners = AddressOwners()
        self.replaced: list[int] = []  # endpoints whose process the newest change has replaced
        self.malformed: set[str] = set()  # malformed entries that have been logged
        # Whether the newest list had a malformed entry that is new: then the list should be sent again.
        self.has_new_malformed = False

    def apply(self, change: dict[str, Any]) -> list[tuple[EndpointEntry, Address | None]]:
        """Apply the well-formed entries of a change; return them with their addresses.

        The address is None where it stays as it was: a malformed entry may still drain or remove its
        endpoint.
        """
        parsed: list[tuple[EndpointEntry, Address | None]] = []
        malformed = set()
        self.replaced.clear()
        for target in change.get("targets", []):
            try:
                entry, address = self._entry(target)
            except UNREADABLE as error:
                malformed.add(f"{error!r}: {target!r:.200}")
                try:
                    entry, address = self._drained(target), None
                except UNREADABLE:
                    continue
            parsed.append((entry, address))
            self.entries[entry.endpoint] = entry
            self.dests.add(entry.destination)
        self._drain_superseded(parsed)
        for text in malformed - self.malformed:
            log.error("discovery: malformed entry; its endpoint is kept, drained or removed: %s", text)
        self.has_new_malformed = not malformed <= self.malformed
        # The malformed entries of a complete list replace all earlier ones.
        self.malformed = (
            malformed
            if change.get("all") or len(self.malformed) > MAX_REMEMBERED_IDS
            else self.malformed | malformed
        )
        return parsed

    def _entry(self, target: dict[str, Any]) -> tuple[EndpointEntry, Address]:
        """Parse an entry; the registry changes only if all of it is well-formed."""
        uid, capacity_hint = target["uid"], float(target.get("capacity_hint") or 0.0)
        if not uid or not isinstance(uid, str) or not 0 <= capacity_hint < math.inf:
            raise ValueError("invalid uid or capacity_hint")
        kind = self.kind_numbers.get(target.get("model", ""), 0)
        zone = self.zones.number(str(target.get("az") or ""))
        dest, state = int(target["pod_group"]), STATES[target["state"]]
        address = self.parse_address(target["endpoint"], "endpoint")
        topic, subscribed = str(target.get("topic") or ""), tuple(map(str, target.get("topics") or ()))
        self.relayed_drains.pop(uid, None)
        number = self.number_of(uid)
        if self.address_owners.record(uid, address, read_boot_ms(target.get("boot_ms"))):
            self.replaced.append(number)
        if state is READY and self.address_owners.is_superseded(uid):
            state = EndpointState.DRAINING
        entry = EndpointEntry(number, dest, state, capacity_hint, kind, zone)
        if self.settings.load_report_fields:  # load reports replace the list's rate
            entry = replace(entry, rate_per_s=self.reported_rates[self._limit_key(entry)])
        if topic:
            self.topics[number] = topic
        else:
            self.topics.pop(number, None)
        if subscribed:
            self.subscribed_topics[number] = subscribed
        else:
            self.subscribed_topics.pop(number, None)
        return self._with_disabled_state(uid, entry), address

    def _drain_superseded(self, parsed: list[tuple[EndpointEntry, Address | None]]) -> None:
        """Drain the endpoints at whose address another one's process has started later: they are gone."""
        for address in {address for _, address in parsed if address is not None}:
            for uid in self.address_owners.superseded_at(address):
                entry = self.entries.get(self.uids.get(uid, -1))
                if entry is None or entry.state is not READY:
                    continue
                owner = self.address_owners.latest[address].uid
                log.warning("discovery: endpoint %s is gone: %s started later at its address", uid, owner)
                drained = replace(entry, state=EndpointState.DRAINING)
                self.entries[entry.endpoint] = drained
                parsed[:] = [row for row in parsed if row[0].endpoint != entry.endpoint]
                parsed.append((drained, address))

    def _drained(self, target: dict[str, Any]) -> EndpointEntry:
        """Return the entry of a known endpoint that a malformed entry drains or removes."""
        entry, state = self.entries[self.uids[target["uid"]]], STATES[target["state"]]
        if state is READY:
            raise ValueError("the entry neither drains nor removes its endpoint")
        return self._with_disabled_state(target["uid"], replace(entry, state=state))

    def number_of(self, uid: str) -> int:
        """Return the endpoint's number; an id that is not listed gets a new one."""
        if uid not in self.uids:
            self.listed_ever += 1
            self.uids[uid], self.names[self.listed_ever] = self.listed_ever, uid
            self.ever.pop(uid, None)
            self.ever[uid] = None
            if len(self.ever) > MAX_REMEMBERED_IDS:
                del self.ever[next(iter(self.ever))]
        return self.uids[uid]

    # Endpoints disabled by an operator

    def _with_disabled_state(self, uid: str, entry: EndpointEntry) -> EndpointEntry:
        """Return the entry as reported, or as draining if an operator has disabled its endpoint."""
        if uid in self.disabled:
            return self._disabled(entry)
        self.told.pop(entry.endpoint, None)
        return entry

    def _disabled(self, entry: EndpointEntry) -> EndpointEntry:
        """Return the entry as draining, so that its endpoint gets no new calls; keep the reported state."""
        self.told[entry.endpoint] = entry.state
        is_gone = entry.state is EndpointState.GONE
        return entry if is_gone else replace(entry, state=EndpointState.DRAINING)

    def set_enabled(self, uid: str, enabled: bool) -> list[EndpointEntry]:
        """Disable or enable an endpoint; return its changed entry, or none if nothing changes.

        An endpoint that is enabled has been restarted, so it is cold.
        """
        number = self.uids.get(uid)
        if number is None or number not in self.entries or enabled is not (number in self.told):
            return []  # not listed, or already in this state
        if enabled:
            entry = replace(self.entries[number], state=self.told.pop(number), recovering=True)
        else:
            entry = self._disabled(self.entries[number])
        self.entries[number] = replace(entry, recovering=False)
        return [entry]

    @property
    def disabled_numbers(self) -> set[int]:
        """Numbers of the listed endpoints that an operator has disabled."""
        return {number for number in self.told if number in self.entries}

    def unchanged_entries(self, change: dict[str, Any], parsed: list[EndpointEntry]) -> list[EndpointEntry]:
        """Return the entries that a complete list leaves unchanged because its entries of them are malformed.

        If a malformed entry does not even have an id, all endpoints are kept. `parsed`: the well-formed
        entries.
        """
        known = {e.endpoint for e in parsed}
        ids = [t.get("uid") if isinstance(t, dict) else None for t in change.get("targets", [])]
        keeps_all, listed = not all(isinstance(uid, str) and uid for uid in ids), {str(uid) for uid in ids}
        return [
            e for n, e in self.entries.items() if n not in known and (keeps_all or self.names[n] in listed)
        ]

    def unlisted(self, entries: list[EndpointEntry]) -> list[int]:
        """Return the known endpoints that are not among the entries of a complete list."""
        listed = {e.endpoint for e in entries}
        return [n for n in self.entries if n not in listed]

    def forget(self, endpoint: int) -> None:
        """Remove an endpoint that is no longer listed."""
        if endpoint in self.entries:
            self.removed[endpoint] = (
                self._retry_after_key(endpoint),
                self.clock() + self.longest_deadline_us,
            )
            route = (self.entries.pop(endpoint).destination, endpoint)
            self.waits.pop(route, None)
            self.reported_rates.forget(route)
            while next(iter(self.removed.values()))[1] <= self.clock():
                del self.removed[next(iter(self.removed))]
        self.told.pop(endpoint, None)
        self.topics.pop(endpoint, None)
        self.subscribed_topics.pop(endpoint, None)
        uid = self.names.pop(endpoint, "")
        self.uids.pop(uid, None)  # ids are not reused
        self.address_owners.forget(uid)

    def _kind(self, entry: EndpointEntry) -> DestinationKind:
        return self.settings.kinds[min(entry.kind, len(self.settings.kinds) - 1)]

    def zone_id(self, endpoint: int) -> int:
        """Return the id of the endpoint's zone, UNKNOWN_ZONE_ID if it is not listed."""
        entry = self.entries.get(endpoint)
        return zone_id(self.zones.name(entry.zone)) if entry else UNKNOWN_ZONE_ID

    def max_batch(self, endpoint: int) -> int:
        """Return how many messages one call to the endpoint may hold."""
        entry = self.entries.get(endpoint)
        return self._kind(entry).max_batch if entry else 1

    def as_shown_to_engine(self, entry: EndpointEntry) -> EndpointEntry:
        """Return the entry as the engine is to see it.

        An endpoint is shown as draining if this courier does not serve its destination now.
        """
        is_hidden = self.is_served is not None and not self.is_served(entry.destination)
        is_hidden = is_hidden or self.names.get(entry.endpoint, "") in self.relayed_drains
        if self.shared_rate is not None:
            entry = replace(entry, rate_per_s=self.shared_rate(entry))
        if self.add_shared_findings is not None:
            entry = self.add_shared_findings(entry)
        return replace(entry, state=EndpointState.DRAINING) if is_hidden and entry.state is READY else entry

    def apply_load_report(self, endpoint: int, load: dict[str, float]) -> list[EndpointEntry]:
        """Apply the load report of a response; return the entries whose rate it changes."""
        entry = self.entries.get(endpoint)
        if entry is None or not self.settings.load_report_fields:
            return []
        key, values = (
            self._limit_key(entry),
            [load.get(name, 0.0) for name in self.settings.load_report_fields],
        )
        if not self.reported_rates.update(key, reported_rate(self.settings.load_report_fields, values)):
            return []
        same_key = [other for other in self.entries.values() if self._limit_key(other) == key]
        changed = [replace(other, rate_per_s=self.reported_rates[key]) for other in same_key]
        self.entries.update({other.endpoint: other for other in changed})
        return changed

    # Retry-After

    def adopt_retry_after(self, dest: int, uid: str, until: int) -> tuple[EndpointEntry, ...]:
        """Apply a Retry-After that another process received; return the entries under it.

        The id '' stands for a whole destination. A later end that was received here stays in force.
        """
        affected = [
            e for e in self.entries.values() if e.destination == dest and uid in ("", self.names[e.endpoint])
        ]
        return self._with_retry_after(affected, until)

    def _with_retry_after(self, entries: list[EndpointEntry], until: int) -> tuple[EndpointEntry, ...]:
        """Return the entries with a Retry-After that ends at `until` or later."""
        for key in {self._retry_after_key(e.endpoint) for e in entries}:
            self.waits[key] = max(self.waits.get(key, 0), until)
        return tuple(
            replace(e, retry_after_until_us=self.waits[self._retry_after_key(e.endpoint)]) for e in entries
        )

    def _retry_after_key(self, endpoint: int) -> tuple[int, int]:
        entry = self.entries.get(endpoint)
        return self.removed.get(endpoint, ((-1, endpoint), 0))[0] if entry is None else self._limit_key(entry)

    def _limit_key(self, entry: EndpointEntry) -> tuple[int, int]:
        """Return what a Retry-After and a rate apply to: a destination, or one route of it."""
        return (entry.destination, entry.endpoint if self._kind(entry).limits_per_endpoint else -1)

    def active_retry_after(self) -> list[tuple[int, str, int]]:
        """Return the active Retry-After times: destination, endpoint id or '' for all, and the end."""
        now = self.clock()
        return [
            (dest, self.names.get(endpoint, ""), until)
            for (dest, endpoint), until in self.waits.items()
            if dest >= 0 and until > now
        ]

    def apply_retry_after(self, endpoint: int, wait_us: int) -> tuple[EndpointEntry, ...]:
        """Apply the Retry-After of a response; return the entries under it.

        An endpoint that is no longer listed still sets it for its destination.
        """
        key = self._retry_after_key(endpoint)
        affected = [e for e in self.entries.values() if self._retry_after_key(e.endpoint) == key]
        return self._with_retry_after(affected, self.clock() + wait_us)

    def may_write(self, endpoint: int) -> bool:
        """Whether a call may be written now, after drains and Retry-After that came while it connected."""
        entry = self.entries.get(endpoint)
        if entry is None or self.as_shown_to_engine(entry).state is not READY:
            return False
        return not self.is_under_retry_after(endpoint)

    def is_under_retry_after(self, endpoint: int) -> bool:
        """Whether the endpoint is under an active Retry-After."""
        return self.waits.get(self._retry_after_key(endpoint), 0) > self.clock()
