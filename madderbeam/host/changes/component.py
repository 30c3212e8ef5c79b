"""Connects the state machine of changes to the host: dispatch cycle, file, admin address and disk."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from madderbeam.changes.events import (
    Apply,
    ApplyFailed,
    ChangeCompleted,
    Readmit,
    RequestRuntimeState,
    RuntimeStateReported,
)
from madderbeam.changes.machine import ChangeStateMachine, active_snapshot
from madderbeam.changes.records import RestoredState, obsolete_records, restore
from madderbeam.changes.values import Settings
from madderbeam.host.changes.admin_calls import MAX_CALL_BYTES, AdminCalls
from madderbeam.host.changes.applier import SnapshotApplier
from madderbeam.host.changes.config_snapshot import file_only_rows, open_store, snapshot_of
from madderbeam.host.changes.file_source import FileSource
from madderbeam.host.changes.runtime_state import SAMPLE_PERIOD_S, RuntimeStateCollector
from madderbeam.host.components import Component
from madderbeam.host.federation.runner import Runner
from madderbeam.host.host import Host
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.ports import Ports

VERSION_SWEEP_SLACK = 1024  # completed messages in the version map before they are removed
log = logging.getLogger(__name__)


class ChangesComponent(Component):
    """The component that the setting `changes` enables. All its work is done between dispatch cycles."""

    def __init__(self, host: Host, ports: Ports) -> None:
        """Raises OSError if the state folder can't be used."""
        self.host, self.started = host, False
        assert host.config.changes is not None
        assert host.config.sidecar is not None
        self.store = open_store(host.config, ports)
        if self.store.damaged:
            log.error("changes: %s is damaged; using the records that could be read", self.store.path)
        restored = restore(self.store.map)
        if restored is None:
            snapshot = snapshot_of(host.config)
            restored = RestoredState(snapshot, snapshot.version)
        settings = Settings(**host.config.changes)
        self.machine = ChangeStateMachine(
            settings, restored, self._wall_ms, file_only_rows(host.config, active_snapshot(restored))
        )
        self.obsolete = obsolete_records(self.store.map, restored)
        self.runner = Runner(host.loop, host.clock, self.machine, self.store, self.perform, "changes")
        self.applier = SnapshotApplier(host, ports)
        self.collector = RuntimeStateCollector(host)
        self.file = FileSource(
            ports.disk,
            host.config.sidecar.partners,
            self.machine,
            self.runtime_state,
            self.runner.post_event,
            self._schedule,
        )
        self.version_by_message: dict[int, int] = {}  # the version active at each message's admission
        self.calls = AdminCalls(
            self.machine, self.runtime_state, self.runner.post_event, host.clock, self._pending_by_version
        )
        self.applier.start(self.machine.current)

    def runtime_state(self) -> Any:
        """Return the runtime state of the courier."""
        return self.collector.collect()

    def _wall_ms(self, now_us: int) -> int:
        """Convert monotonic time to wall time by the clock of the journal."""
        wall = self.host.journal.wall
        return int((wall() - (self.host.clock() - now_us) / 1e6) * 1e3)

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        self.host.schedule(seconds, lambda: action() if not self.runner.closed else None)

    # Component

    def open(self) -> None:
        """Resume from the last committed version and its canaries, once the journal is restored."""
        self.started = True
        for message in self.host.journal.pending.values():
            self.version_by_message[message.number] = self.machine.current.version
        self.runner.run(self.machine.start(self.host.clock()))
        if self.obsolete:
            try:
                self.store.write((kind, key, None) for kind, key in self.obsolete)
            except OSError as error:
                log.error("changes: obsolete records could not be deleted: %s", error)
        self.collector.set_counting(bool(self.machine.canaries))
        log.info("changes: version %d is active", self.machine.current.version)
        self.file.check()
        self._sample()

    def _sample(self) -> None:
        self.collector.sample()
        self._schedule(SAMPLE_PERIOD_S, self._sample)

    def list_file_changed(self, _: dict[str, Any]) -> None:
        """Read the files again after the partner list's file has changed."""
        if self.started:
            self.file.check()

    def reload_files(self) -> None:
        """Read the files again."""
        self.file.check()

    def close(self) -> None:
        """Stop the state machine and close its store."""
        self.runner.close()
        self.store.close()

    def metrics(self) -> dict[str, int]:
        """Return the metrics of changes by name."""
        outcomes = Counter(outcome.result for outcome in self.machine.outcomes.values())
        return {
            "changes.version": self.machine.current.version,
            "changes.on_trial": len(self.machine.canaries),
            "changes.waiting": len(self.machine.staged),
            **{f"changes.{result}": outcomes[result] for result in ("kept", "undone", "refused")},
            "changes.unwritten": self.runner.unwritten_records,
        }

    # Messages

    def admitted(self, message: PendingMessage) -> None:
        """Note the active version for an accepted message."""
        self.version_by_message[message.number] = self.machine.current.version
        pending = self.host.journal.pending
        if len(self.version_by_message) > 2 * len(pending) + VERSION_SWEEP_SLACK:
            newest_number = message.number
            self.version_by_message = {
                number: version
                for number, version in self.version_by_message.items()
                if number in pending or number == newest_number
            }

    def _pending_by_version(self) -> dict[int, int]:
        pending = self.host.journal.pending
        return dict(
            Counter(version for number, version in self.version_by_message.items() if number in pending)
        )

    # Actions

    def perform(self, action: Any) -> None:
        """Carry out one action of the state machine."""
        if isinstance(action, Apply):
            self._apply(action)
        elif isinstance(action, Readmit):
            self.applier.readmit(action.uids, self.machine.current)
        elif isinstance(action, RequestRuntimeState):
            self.runner.post_event(RuntimeStateReported(self.runtime_state()))
        elif isinstance(action, ChangeCompleted):
            self.collector.set_counting(bool(self.machine.canaries))

    def _apply(self, action: Apply) -> None:
        if action.starts_canary:
            self.collector.set_counting(True)
        try:
            self.applier.apply(action)
        except Exception as error:  # rolled back, so that no version stays half applied
            log.exception("changes: version %d could not be applied", action.after.version)
            self.runner.post_event(ApplyFailed(action.after.version, repr(error)))


def join(host: Host, ports: Ports) -> None:
    """Add the component to a host; the partner list is from now on applied only through it."""
    component = ChangesComponent(host, ports)
    host.watch.told = component.list_file_changed
    host.admission.numbered_listeners.append(component.admitted)
    host.admin_service.calls |= component.calls.handlers()
    host.control.most = max(host.control.most, MAX_CALL_BYTES)
    host.components.append(component)
