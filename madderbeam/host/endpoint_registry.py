"""The list of endpoints as the turn sees it: who is where, who drains, which told waits still run."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Container
from dataclasses import replace
from typing import Any

from madderbeam.config.platform import ConfigError, dialed_address
from madderbeam.host.rate_limits import ReportedRates, told
from madderbeam.policy.events import EndpointEntry, EndpointState
from madderbeam.policy.settings import DestinationKind, Settings
from madderbeam.ports import Address

STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.GONE,
}
READY = EndpointState.READY
UNREADABLE = (LookupError, TypeError, ValueError, OverflowError, AttributeError, ConfigError)  # of an entry
EVER = 4096  # ids that are known to have been listed, the newest
log = logging.getLogger(__name__)


class EndpointRegistry:
    """Numbers for the endpoints' ids, what each is, and the waits that destinations told.

    Times are the monotonic clock's microseconds. `bans`: ids that are out by hand, whatever is told of them.
    `address`: reads where an endpoint is; ConfigError if it can't be used.
    """

    def __init__(
        self,
        settings: Settings,
        zones: tuple[str, ...],
        clock: Callable[[], int],
        bans: Container[str] = (),
        address: Callable[[Any, str], Address] = dialed_address,
    ) -> None:
        self.s, self.clock, self.bans, self.address = settings, clock, bans, address
        self.kinds = {k.name: n for n, k in enumerate(settings.kinds)}
        self.zones = {z: n for n, z in enumerate(zones)}
        self.zone_names = tuple(zones)
        self.uids: dict[str, int] = {}
        self.names: dict[int, str] = {}  # the other way round
        self.listed_ever = 0
        self.ever: dict[str, None] = {}  # ids, the newest last
        self.entries: dict[int, EndpointEntry] = {}
        self.told: dict[int, EndpointState] = {}  # what discovery says of those that are out by hand
        self.dests: set[int] = set()  # that ever stood in a list: its endpoints may only be gone for now
        self.topics: dict[int, str] = {}  # of endpoints that are a Kafka partner's
        self.subscribed: dict[int, tuple[str, ...]] = {}  # topics of the federation that it wants notices of
        self.limits = ReportedRates()  # by what waits go by
        self.waits: dict[tuple[int, int], int] = {}  # told waits, by destination or route: when they end
        # Endpoints that have gone: whose waits they still tell, and until when a call there may be out.
        self.left: dict[int, tuple[tuple[int, int], int]] = {}
        self.longest_us = max(c.deadline_us for c in settings.classes)
        # Whether a destination is served here now, where another courier may serve it.
        self.serves: Callable[[int], bool] | None = None
        # Ids that another courier heard to drain, until this one's list tells of them.
        self.drains_passed_on: dict[str, None] = {}
        # The rate that the decision module is to be told, where couriers share a destination's.
        self.rate: Callable[[EndpointEntry], float] | None = None
        # What it is to be told beside, of what others have learnt.
        self.learnt: Callable[[EndpointEntry], EndpointEntry] | None = None
        self.strange: set[str] = set()  # entries that can't be read, as the log was told of them
        self.puzzled = False  # the newest list told of one in a new way: it should be asked for again

    def read(self, change: dict[str, Any]) -> list[tuple[EndpointEntry, Address | None]]:
        """The entries of a change that can be read, now part of the list, and where each is, None: where it
        was. One that can't be read may still end its endpoint's service: that binds."""
        found: list[tuple[EndpointEntry, Address | None]] = []
        strange = set()
        for target in change.get("targets", []):
            try:
                entry, address = self._entry(target)
            except UNREADABLE as error:
                strange.add(f"{error!r}: {target!r:.200}")
                try:
                    entry, address = self._drained(target), None
                except UNREADABLE:
                    continue
            found.append((entry, address))
            self.entries[entry.endpoint] = entry
            self.dests.add(entry.destination)
        for text in strange - self.strange:
            log.error("discovery: an entry that can't be read, its endpoint stays or ends: %s", text)
        self.puzzled = not strange <= self.strange
        # Those of a whole list are all that there are now.
        self.strange = strange if change.get("all") or len(self.strange) > EVER else self.strange | strange
        return found

    def _entry(self, target: dict[str, Any]) -> tuple[EndpointEntry, Address]:
        """Nothing of the list changes unless all of it can be read."""
        uid, hint = target["uid"], float(target.get("capacity_hint") or 0.0)
        if not uid or not isinstance(uid, str) or not 0 <= hint < math.inf:
            raise ValueError("an id or a rate that is none")
        kind, zone = self.kinds.get(target.get("model", ""), 0), self.zones.get(target.get("az", ""), 0)
        dest, state = int(target["pod_group"]), STATES[target["state"]]
        address = self.address(target["endpoint"], "endpoint")
        topic, subscribed = str(target.get("topic") or ""), tuple(map(str, target.get("topics") or ()))
        self.drains_passed_on.pop(uid, None)
        number = self.number(uid)
        entry = EndpointEntry(number, dest, state, hint, kind, zone)
        if self.s.load_report_fields:  # the list's figure means nothing there
            entry = replace(entry, rate_per_s=self.limits[self._key(entry)])
        if topic:
            self.topics[number] = topic
        else:
            self.topics.pop(number, None)
        if subscribed:
            self.subscribed[number] = subscribed
        else:
            self.subscribed.pop(number, None)
        return self._by_bans(uid, entry), address

    def _drained(self, target: dict[str, Any]) -> EndpointEntry:
        """Of an entry that can't be read: its endpoint, if it is known and wants nothing new by it."""
        entry, state = self.entries[self.uids[target["uid"]]], STATES[target["state"]]
        if state is READY:
            raise ValueError("it stays as it was")
        return self._by_bans(target["uid"], replace(entry, state=state))

    def number(self, uid: str) -> int:
        """The endpoint's number, its first one if it was not listed."""
        if uid not in self.uids:
            self.listed_ever += 1
            self.uids[uid], self.names[self.listed_ever] = self.listed_ever, uid
            self.ever.pop(uid, None)
            self.ever[uid] = None
            if len(self.ever) > EVER:
                del self.ever[next(iter(self.ever))]
        return self.uids[uid]

    # By hand

    def _by_bans(self, uid: str, entry: EndpointEntry) -> EndpointEntry:
        """An entry as it was told, or as it is by hand."""
        if uid in self.bans:
            return self._kept_out(entry)
        self.told.pop(entry.endpoint, None)
        return entry

    def _kept_out(self, entry: EndpointEntry) -> EndpointEntry:
        """As the turn sees one that is out by hand: it wants nothing new."""
        self.told[entry.endpoint] = entry.state
        gone = entry.state is EndpointState.GONE
        return entry if gone else replace(entry, state=EndpointState.DRAINING)

    def by_hand(self, uid: str, back: bool) -> list[EndpointEntry]:
        """The entry that changes as an endpoint is taken out or put back, none if it is not listed now. One
        that is put back has been restarted: it is cold."""
        number = self.uids.get(uid)
        if number is None or number not in self.entries or back is not (number in self.told):
            return []  # not listed, or told twice
        if back:
            entry = replace(self.entries[number], state=self.told.pop(number), recovering=True)
        else:
            entry = self._kept_out(self.entries[number])
        self.entries[number] = replace(entry, recovering=False)
        return [entry]

    @property
    def out_by_hand(self) -> set[int]:
        """Those listed now."""
        return {number for number in self.told if number in self.entries}

    def kept(self, change: dict[str, Any], read: list[EndpointEntry]) -> list[EndpointEntry]:
        """Entries that stay as they were, since a whole list tells of them in a way that can't be read. Where
        it does not even tell of whom, none of them has gone."""
        known = {e.endpoint for e in read}
        ids = [t.get("uid") if isinstance(t, dict) else None for t in change.get("targets", [])]
        everyone, named = not all(isinstance(uid, str) and uid for uid in ids), {str(uid) for uid in ids}
        return [e for n, e in self.entries.items() if n not in known and (everyone or self.names[n] in named)]

    def unnamed(self, entries: list[EndpointEntry]) -> list[int]:
        """The endpoints that a whole list leaves out."""
        named = {e.endpoint for e in entries}
        return [n for n in self.entries if n not in named]

    def forget(self, endpoint: int) -> None:
        """It has gone."""
        if endpoint in self.entries:
            self.left[endpoint] = (self._wait_key(endpoint), self.clock() + self.longest_us)
            route = (self.entries.pop(endpoint).destination, endpoint)
            self.waits.pop(route, None)
            self.limits.forget(route)
            while next(iter(self.left.values()))[1] <= self.clock():
                del self.left[next(iter(self.left))]
        self.told.pop(endpoint, None)
        self.topics.pop(endpoint, None)
        self.subscribed.pop(endpoint, None)
        self.uids.pop(self.names.pop(endpoint, ""), None)  # an id that has gone does not come again

    def _kind(self, entry: EndpointEntry) -> DestinationKind:
        return self.s.kinds[min(entry.kind, len(self.s.kinds) - 1)]

    def zone(self, number: int) -> str:
        """Its name, '' if it has none."""
        return self.zone_names[number] if number < len(self.zone_names) else ""

    def batch(self, endpoint: int) -> int:
        """How many messages one call there may hold."""
        entry = self.entries.get(endpoint)
        return self._kind(entry).max_batch if entry else 1

    def shown(self, entry: EndpointEntry) -> EndpointEntry:
        """As the decision module sees it: what is not served here now wants nothing new."""
        hidden = self.serves is not None and not self.serves(entry.destination)
        hidden = hidden or self.names.get(entry.endpoint, "") in self.drains_passed_on
        if self.rate is not None:
            entry = replace(entry, rate_per_s=self.rate(entry))
        if self.learnt is not None:
            entry = self.learnt(entry)
        return replace(entry, state=EndpointState.DRAINING) if hidden and entry.state is READY else entry

    def told_load(self, endpoint: int, load: dict[str, float]) -> list[EndpointEntry]:
        """The entries that an answer's report changes."""
        entry = self.entries.get(endpoint)
        if entry is None or not self.s.load_report_fields:
            return []
        key, values = self._key(entry), [load.get(name, 0.0) for name in self.s.load_report_fields]
        if not self.limits.told(key, told(self.s.load_report_fields, values)):
            return []
        alike = [e for e in self.entries.values() if self._key(e) == key]
        changed = [replace(e, rate_per_s=self.limits[key]) for e in alike]
        self.entries.update({e.endpoint: e for e in changed})
        return changed

    # Waits

    def told_again(self, dest: int, uid: str, until: int) -> tuple[EndpointEntry, ...]:
        """The entries that are under a wait which another process was told; '' stands for a destination's.
        One that was told here and ends later holds on."""
        found = [
            e for e in self.entries.values() if e.destination == dest and uid in ("", self.names[e.endpoint])
        ]
        return self._closed(found, until)

    def _closed(self, entries: list[EndpointEntry], until: int) -> tuple[EndpointEntry, ...]:
        """These, under a wait until then at least."""
        for key in {self._wait_key(e.endpoint) for e in entries}:
            self.waits[key] = max(self.waits.get(key, 0), until)
        return tuple(replace(e, retry_after_until_us=self.waits[self._wait_key(e.endpoint)]) for e in entries)

    def _wait_key(self, endpoint: int) -> tuple[int, int]:
        entry = self.entries.get(endpoint)
        return self.left.get(endpoint, ((-1, endpoint), 0))[0] if entry is None else self._key(entry)

    def _key(self, entry: EndpointEntry) -> tuple[int, int]:
        """What waits and limits are told of: a destination, or one route of it."""
        return (entry.destination, entry.endpoint if self._kind(entry).limits_per_endpoint else -1)

    def waits_by_name(self) -> list[tuple[int, str, int]]:
        """Those that still run: the destination, the endpoint's id or '' for all of them, when it ends."""
        now = self.clock()
        return [
            (dest, self.names.get(endpoint, ""), until)
            for (dest, endpoint), until in self.waits.items()
            if dest >= 0 and until > now
        ]

    def told_wait(self, endpoint: int, wait_us: int) -> tuple[EndpointEntry, ...]:
        """An answer told to wait for so long: the entries that are under it. One that has left the list still
        tells it for its destination."""
        key = self._wait_key(endpoint)
        under = [e for e in self.entries.values() if self._wait_key(e.endpoint) == key]
        return self._closed(under, self.clock() + wait_us)

    def may_write(self, endpoint: int) -> bool:
        """News that came while a connection was being made holds for the call that waits for it."""
        entry = self.entries.get(endpoint)
        if entry is None or self.shown(entry).state is not READY:
            return False
        return not self.waited(endpoint)

    def waited(self, endpoint: int) -> bool:
        """Whether a told wait still runs there."""
        return self.waits.get(self._wait_key(endpoint), 0) > self.clock()
