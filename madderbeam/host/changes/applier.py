"""Applies a snapshot to all parts of a courier at one instant between two dispatch cycles."""

from __future__ import annotations

import importlib
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from madderbeam.changes import fields
from madderbeam.changes.events import Apply
from madderbeam.changes.validation import routing_config
from madderbeam.changes.values import DRAINING, Endpoint, Snapshot
from madderbeam.changes.values import READY as IN_SERVICE
from madderbeam.host.changes.config_snapshot import settings_of, target_of
from madderbeam.host.composition import key_retention_s
from madderbeam.host.host import Host
from madderbeam.host.metrics import Metrics
from madderbeam.journal.journal import KEY_RETENTION_MARGIN_S
from madderbeam.policy.events import EndpointEntry, EndpointState, ListUpdateKind
from madderbeam.policy.settings import Settings
from madderbeam.ports import Ports

READY = EndpointState.READY
EMPTY_ROUTING: dict[str, Any] = {"form": 1, "pools": {}, "names": {}, "routes": []}
QUOTA_MODULE = "madderbeam.host.quota"  # its component exists only with quotas


class SnapshotApplier:
    """Applies snapshots without yielding, so no dispatch cycle, call or client sees one half applied."""

    def __init__(self, host: Host, ports: Ports) -> None:
        self.host, self.ports = host, ports

    def start(self, snapshot: Snapshot) -> None:
        """Begin with the snapshot that the courier was built from; retired names reject new messages."""
        self._update_names(snapshot)

    def apply(self, action: Apply) -> None:
        """Apply settings and quotas, then removed endpoints, then added ones; the engine gets both endpoint
        lists in the same dispatch cycle."""
        before, after = action.before, action.after
        if any(
            before.sections[section] != after.sections[section]
            for section in ("class", "tenant", "kind", "limit")
        ):
            self._apply_settings(after)
        rows = [(old, new) for _, old, new in before.endpoints.differences(after.endpoints)]
        self.host.registry.zones.add(sorted({new.zone for _, new in rows if new is not None}))
        if before.get(("whole", "quota")) != after.get(("whole", "quota")):
            self._apply_quota(after.get(("whole", "quota")))
        self._apply_endpoints(action, rows)

    def readmit(self, uids: tuple[str, ...], snapshot: Snapshot) -> None:
        """Return endpoints to service with slow start after their drains expired."""
        rows = [row for uid in uids if (row := snapshot.get(("endpoint", uid))) is not None]
        self.host.entries_changed([self._put_endpoint(row, row, False) for row in rows])
        self._begin_slow_start(frozenset(uids))

    # Endpoint list

    def _apply_endpoints(
        self, action: Apply, rows: Iterable[tuple[Endpoint | None, Endpoint | None]]
    ) -> None:
        host, after = self.host, action.after
        retry_afters: list[tuple[int, str, int]] = []
        removed: list[EndpointEntry] = []
        added_or_changed: list[tuple[Endpoint | None, Endpoint]] = []
        for old, new in rows:
            # A moved endpoint counts as a new one: calls that wait for a connection to the old address must
            # not be written.
            if old is not None and (new is None or _has_moved(old, new)):
                retry_afters += self._active_retry_after(old)
                removed += self._remove_endpoint(old)
                old = None
            if new is not None:
                added_or_changed.append((old, new))
        routing = routing_config(after)
        if routing != routing_config(action.before):
            host.routing.configure(routing or EMPTY_ROUTING)
        entries = [
            self._put_endpoint(old, new, new.uid in action.still_draining) for old, new in added_or_changed
        ]
        host.entries_changed([*removed, *entries])
        self._begin_slow_start(action.slow_starting)
        for dest, address, until_us in retry_afters:
            self._carry_over_retry_after(after, dest, address, until_us)
        if removed:
            self._remove_destinations(after)

    def _remove_endpoint(self, row: Endpoint) -> list[EndpointEntry]:
        number = self.host.registry.uids.get(row.uid)
        if number is None:
            return []
        self.host.remove_endpoint(number)
        return [EndpointEntry(number, row.dest, EndpointState.GONE)]

    def _put_endpoint(self, old: Endpoint | None, new: Endpoint, keeps_draining: bool) -> EndpointEntry:
        """Add an endpoint, or update one that has not moved."""
        registry, calls = self.host.registry, self.host.calls
        if new.uid in registry.disabled or any(row.topic or row.topics for row in (old or new, new)):
            [(entry, address)] = registry.apply(
                {"targets": [target_of(new, DRAINING if keeps_draining else "")]}
            )
        else:
            number = registry.number_of(new.uid)
            state = READY if new.state == IN_SERVICE and not keeps_draining else EndpointState.DRAINING
            entry = EndpointEntry(
                number,
                new.dest,
                state,
                new.per_s,
                registry.kind_numbers.get(new.kind, 0),
                registry.zones.number(new.zone),
            )
            registry.entries[number] = entry
            registry.dests.add(new.dest)
            registry.told.pop(number, None)
            registry.relayed_drains.pop(new.uid, None)
            address = None
        if old is None:
            address = address or fields.parse_address(new.address) or ("", 0)
            calls.place(entry.endpoint, address, new.topic, entry.destination)
            self.host.routing.set_addresses([(entry, address)])
        if entry.state is EndpointState.DRAINING:
            calls.close_idle(entry.endpoint)
        return entry

    def _begin_slow_start(self, uids: frozenset[str]) -> None:
        registry = self.host.registry
        entries = [registry.entries[registry.uids[uid]] for uid in sorted(uids) if uid in registry.uids]
        recovering = [
            replace(entry, recovering=True) for entry in entries if entry.state is EndpointState.READY
        ]
        if recovering:
            self.host.post_list_update(ListUpdateKind.DELTA, recovering)

    def _active_retry_after(self, row: Endpoint) -> list[tuple[int, str, int]]:
        """Return the Retry-After of this endpoint that has not expired, if any."""
        registry = self.host.registry
        until_us = registry.waits.get((row.dest, registry.uids.get(row.uid, -1)), 0)
        return [(row.dest, row.address, until_us)] if until_us > self.host.clock() else []

    def _carry_over_retry_after(self, after: Snapshot, dest: int, address: str, until_us: int) -> None:
        """Apply a Retry-After to every endpoint with the same address and destination."""
        for row in after.endpoints.values():
            if (row.dest, row.address) == (dest, address):
                self.host.post_list_update(
                    ListUpdateKind.DELTA, self.host.registry.adopt_retry_after(dest, row.uid, until_us)
                )

    def _remove_destinations(self, after: Snapshot) -> None:
        """Forget removed destinations, so that messages for them are rejected."""
        if len(after.endpoints):
            self.host.registry.dests &= {row.dest for row in after.endpoints.values()}

    # Settings

    def _apply_settings(self, snapshot: Snapshot) -> None:
        host = self.host
        settings = settings_of(host.settings, snapshot)
        host.config = host.routing.config = replace(host.config, settings=settings)
        host.settings = host.admission.settings = host.attempts.settings = host.registry.settings = settings
        host.registry.kind_numbers = {kind.name: number for number, kind in enumerate(settings.kinds)}
        self._update_engine(settings)
        _update_metrics(host.metrics, settings)
        host.journal.key_retention_s = max(
            host.journal.key_retention_s, key_retention_s(settings) + KEY_RETENTION_MARGIN_S
        )
        if (quota := self._quota_component()) is not None:
            quota.config = host.config
        self._update_names(snapshot)

    def _update_engine(self, settings: Settings) -> None:
        """Pass the settings to the engine, which keeps its learned state."""
        self.host.courier.change_settings(settings)

    def _update_names(self, snapshot: Snapshot) -> None:
        admission = self.host.admission
        admission.class_indices = _active_numbers(snapshot, "class")
        admission.tenant_indices = _active_numbers(snapshot, "tenant")

    def _apply_quota(self, quota: dict[str, Any] | None) -> None:
        """Replace the quota component; the new one resumes from the saved state of the old."""
        host = self.host
        old = self._quota_component()
        if old is not None:
            old.save()
            host.components.remove(old)
            host.admission.checks.remove(old)
        host.config = replace(host.config, quota=quota or None)
        if quota:
            importlib.import_module(QUOTA_MODULE).join(host, self.ports)

    def _quota_component(self) -> Any:
        return next(
            (component for component in self.host.components if type(component).__module__ == QUOTA_MODULE),
            None,
        )


def _has_moved(old: Endpoint, new: Endpoint) -> bool:
    return (old.dest, old.address, old.topic) != (new.dest, new.address, new.topic)


def _active_numbers(snapshot: Snapshot, section: str) -> dict[str, int]:
    return {name: row["number"] for name, row in snapshot.sections[section].items() if not row["retired"]}


def _update_metrics(metrics: Metrics, settings: Settings) -> None:
    """Keep the counts, and start new classes at zero."""
    metrics.classes = tuple(message_class.name for message_class in settings.classes)
    for counts in metrics.completed.values():
        counts += [0] * (len(metrics.classes) - len(counts))
