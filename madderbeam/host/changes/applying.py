"""Brings a snapshot into force: all parts of the courier see it from one instant between two turns on."""

from __future__ import annotations

import importlib
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from madderbeam.changes import fields
from madderbeam.changes.check import routing
from madderbeam.changes.events import Apply
from madderbeam.changes.values import DRAINING, Endpoint, Snapshot
from madderbeam.changes.values import READY as IN_SERVICE
from madderbeam.host.changes.reading import settings_of, target_of
from madderbeam.host.composition import key_retention_s
from madderbeam.host.host import Host
from madderbeam.host.metrics import Metrics
from madderbeam.journal.journal import KEY_RETENTION_MARGIN_S
from madderbeam.policy.events import EndpointEntry, EndpointState, ListUpdateKind
from madderbeam.policy.settings import Settings
from madderbeam.ports import Ports

READY = EndpointState.READY
NO_ROUTING: dict[str, Any] = {"form": 1, "pools": {}, "names": {}, "routes": []}
QUOTA = "madderbeam.host.quota"  # its room is there where there are quotas


class Applying:
    """Nothing of it waits, so that no turn, no call and no client sees a part."""

    def __init__(self, host: Host, ports: Ports) -> None:
        self.host, self.ports = host, ports

    def begin(self, snapshot: Snapshot) -> None:
        """The courier was made with this in force; what was taken away is not for new messages."""
        self._names(snapshot)

    def apply(self, action: Apply) -> None:
        """Settings and quotas first, then what has gone, then what has come; the decision module hears of
        both lists in one turn."""
        before, after = action.before, action.after
        if any(before.sections[s] != after.sections[s] for s in ("class", "tenant", "kind", "limit")):
            self._settings(after)
        rows = [(old, new) for _, old, new in before.endpoints.differences(after.endpoints)]
        self._zones({new.zone for _, new in rows if new is not None})
        if before.get(("whole", "quota")) != after.get(("whole", "quota")):
            self._quota(after.get(("whole", "quota")))
        self._list(action, rows)

    def readmit(self, uids: tuple[str, ...], snapshot: Snapshot) -> None:
        """Their drains are over: they come in as returning ones."""
        rows = [row for uid in uids if (row := snapshot.get(("endpoint", uid))) is not None]
        self.host.entries_changed([self._come(row, row, False) for row in rows])
        self._cold(frozenset(uids))

    # The list

    def _list(self, action: Apply, rows: Iterable[tuple[Endpoint | None, Endpoint | None]]) -> None:
        host, after = self.host, action.after
        waits: list[tuple[int, str, int]] = []
        gone: list[EndpointEntry] = []
        come: list[tuple[Endpoint | None, Endpoint]] = []
        for old, new in rows:
            # One that moved is another endpoint: a call that waits for a connection must not be written.
            if old is not None and (new is None or _moved(old, new)):
                waits += self._wait(old)
                gone += self._gone(old)
                old = None
            if new is not None:
                come.append((old, new))
        raw = routing(after)
        if raw != routing(action.before):
            host.routing.configure(raw or NO_ROUTING)
        entries = [self._come(old, new, new.uid in action.held) for old, new in come]
        host.entries_changed([*gone, *entries])
        self._cold(action.cold)
        for dest, address, until in waits:
            self._waits_on(after, dest, address, until)
        if gone:
            self._dests(after)

    def _gone(self, row: Endpoint) -> list[EndpointEntry]:
        number = self.host.registry.uids.get(row.uid)
        if number is None:
            return []
        self.host.remove_endpoint(number)
        return [EndpointEntry(number, row.dest, EndpointState.GONE)]

    def _come(self, old: Endpoint | None, new: Endpoint, held: bool) -> EndpointEntry:
        """An endpoint that is new, or that is otherwise where it is."""
        listing, calls = self.host.registry, self.host.calls
        if new.uid in listing.disabled or any(row.topic or row.topics for row in (old or new, new)):
            [(entry, address)] = listing.apply({"targets": [target_of(new, DRAINING if held else "")]})
        else:
            number = listing.number_of(new.uid)
            state = READY if new.state == IN_SERVICE and not held else EndpointState.DRAINING
            entry = EndpointEntry(
                number,
                new.dest,
                state,
                new.per_s,
                listing.kind_numbers.get(new.kind, 0),
                listing.zone_numbers.get(new.zone, 0),
            )
            listing.entries[number] = entry
            listing.dests.add(new.dest)
            listing.told.pop(number, None)
            listing.relayed_drains.pop(new.uid, None)
            address = None
        if old is None:
            address = address or fields.address(new.address) or ("", 0)
            calls.place(entry.endpoint, address, new.topic, entry.destination)
            self.host.routing.set_addresses([(entry, address)])
        if entry.state is EndpointState.DRAINING:
            calls.close_idle(entry.endpoint)
        return entry

    def _cold(self, uids: frozenset[str]) -> None:
        listing = self.host.registry
        entries = [listing.entries[listing.uids[uid]] for uid in sorted(uids) if uid in listing.uids]
        cold = [replace(e, recovering=True) for e in entries if e.state is EndpointState.READY]
        if cold:
            self.host.post_list_update(ListUpdateKind.DELTA, cold)

    def _wait(self, row: Endpoint) -> list[tuple[int, str, int]]:
        """A wait that was told by one endpoint alone, and still runs."""
        listing = self.host.registry
        until = listing.waits.get((row.dest, listing.uids.get(row.uid, -1)), 0)
        return [(row.dest, row.address, until)] if until > self.host.clock() else []

    def _waits_on(self, after: Snapshot, dest: int, address: str, until: int) -> None:
        """It counts for whoever is at the same address of the same destination."""
        for row in after.endpoints.values():
            if (row.dest, row.address) == (dest, address):
                self.host.post_list_update(
                    ListUpdateKind.DELTA, self.host.registry.adopt_retry_after(dest, row.uid, until)
                )

    def _dests(self, after: Snapshot) -> None:
        """A message for a destination that has gone altogether is turned down."""
        if len(after.endpoints):
            self.host.registry.dests &= {row.dest for row in after.endpoints.values()}

    # Settings

    def _settings(self, snapshot: Snapshot) -> None:
        host = self.host
        s = settings_of(host.settings, snapshot)
        host.config = host.routing.config = replace(host.config, settings=s)
        host.settings = host.admission.settings = host.attempts.settings = host.registry.settings = s
        host.registry.kind_numbers = {k.name: n for n, k in enumerate(s.kinds)}
        self._decisions(s)
        _figures(host.metrics, s)
        host.journal.key_retention_s = max(
            host.journal.key_retention_s, key_retention_s(s) + KEY_RETENTION_MARGIN_S
        )
        if (quota := self._quota_room()) is not None:
            quota.config = host.config
        self._names(snapshot)

    def _decisions(self, s: Settings) -> None:
        """The decision module reads its settings anew; what it has learnt stays."""
        self.host.courier.change_settings(s)

    def _names(self, snapshot: Snapshot) -> None:
        admission = self.host.admission
        admission.classes = _present(snapshot, "class")
        admission.tenants = _present(snapshot, "tenant")

    def _zones(self, named: set[str]) -> None:
        """A zone that is new gets the next number."""
        listing = self.host.registry
        if new := named - set(listing.zone_names):
            listing.zone_names += tuple(sorted(new))
            listing.zone_numbers = {z: n for n, z in enumerate(listing.zone_names)}

    def _quota(self, raw: dict[str, Any] | None) -> None:
        """A gate made anew goes on from what the one before has saved."""
        host = self.host
        old = self._quota_room()
        if old is not None:
            old.save()
            host.components.remove(old)
            host.admission.checks.remove(old)
        host.config = replace(host.config, quota=raw or None)
        if raw:
            importlib.import_module(QUOTA).join(host, self.ports)

    def _quota_room(self) -> Any:
        return next((room for room in self.host.components if type(room).__module__ == QUOTA), None)


def _moved(old: Endpoint, new: Endpoint) -> bool:
    return (old.dest, old.address, old.topic) != (new.dest, new.address, new.topic)


def _present(snapshot: Snapshot, section: str) -> dict[str, int]:
    return {name: row["number"] for name, row in snapshot.sections[section].items() if not row["retired"]}


def _figures(figures: Metrics, s: Settings) -> None:
    """Counts go on; a new class begins at none."""
    figures.classes = tuple(c.name for c in s.classes)
    for counts in figures.completed.values():
        counts += [0] * (len(figures.classes) - len(counts))
