"""The room of changes: the machine joined with the turn, the file, the second address and the disk."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from madderbeam.changes.events import Apply, Failed, Look, Readmit, Seen, Settled
from madderbeam.changes.machine import Changes, in_force
from madderbeam.changes.records import Restored, leftovers, restore
from madderbeam.changes.values import Settings
from madderbeam.host.changes.applying import Applying
from madderbeam.host.changes.calls import CALL_MOST, Calls
from madderbeam.host.changes.facts import SAMPLE_S, Gathering
from madderbeam.host.changes.file import FileSource
from madderbeam.host.changes.reading import file_rows, opened, snapshot_of
from madderbeam.host.components import Component
from madderbeam.host.federation.runner import Runner
from madderbeam.host.host import Host
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.ports import Ports

SWEEP = 1024  # messages whose version is known beyond those that are held: then they are looked through
log = logging.getLogger(__name__)


class ChangesComponent(Component):
    """Built where the configuration has `changes`. All of its work is done between two turns."""

    def __init__(self, host: Host, ports: Ports) -> None:
        """OSError if its folder can't be used."""
        self.host, self.started = host, False
        assert host.config.changes is not None
        assert host.config.sidecar is not None
        self.kept = opened(host.config, ports)
        if self.kept.damaged:
            log.error("changes: %s is damaged: what could be read of it counts", self.kept.path)
        restored = restore(self.kept.map)
        if restored is None:
            snapshot = snapshot_of(host.config)
            restored = Restored(snapshot, snapshot.version)
        settings = Settings(**host.config.changes)
        self.machine = Changes(settings, restored, self._wall_ms, file_rows(host.config, in_force(restored)))
        self.left = leftovers(self.kept.map, restored)
        self.runner = Runner(host.loop, host.clock, self.machine, self.kept, self.act, "changes")
        self.applying = Applying(host, ports)
        self.gathering = Gathering(host)
        self.file = FileSource(
            ports.disk,
            host.config.sidecar.partners,
            self.machine,
            self.facts,
            self.runner.post_event,
            self._later,
        )
        self.versions: dict[int, int] = {}  # messages that are open, by the version they were admitted under
        self.calls = Calls(
            self.machine, self.facts, self.runner.post_event, host.clock, self._open_by_version
        )
        self.applying.begin(self.machine.current)

    def facts(self) -> Any:
        return self.gathering.facts()

    def _wall_ms(self, now_us: int) -> int:
        """Wall time of a monotonic one, as the journal has it."""
        wall = self.host.journal.wall
        return int((wall() - (self.host.clock() - now_us) / 1e6) * 1e3)

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        self.host.schedule(seconds, lambda: action() if not self.runner.closed else None)

    # As a room

    def open(self) -> None:
        """The journal is restored: go on from the last kept version, or with the trial."""
        self.started = True
        for m in self.host.journal.pending.values():
            self.versions[m.number] = self.machine.current.version
        self.runner.run(self.machine.start(self.host.clock()))
        if self.left:
            try:
                self.kept.write((kind, key, None) for kind, key in self.left)
            except OSError as error:
                log.error("changes: records that say nothing any more stay: %s", error)
        self.gathering.count(bool(self.machine.trials))
        log.info("changes: version %d is in force", self.machine.current.version)
        self.file.look()
        self._sample()

    def _sample(self) -> None:
        self.gathering.sample()
        self._later(SAMPLE_S, self._sample)

    def listed(self, _: dict[str, Any]) -> None:
        """The partner list's file has changed."""
        if self.started:
            self.file.look()

    def reload_files(self) -> None:
        self.file.look()

    def close(self) -> None:
        self.runner.close()
        self.kept.close()

    def metrics(self) -> dict[str, int]:
        ends = Counter(o.what for o in self.machine.past.values())
        return {
            "changes.version": self.machine.current.version,
            "changes.on_trial": len(self.machine.trials),
            "changes.waiting": len(self.machine.staged),
            **{f"changes.{what}": ends[what] for what in ("kept", "undone", "refused")},
            "changes.unwritten": self.runner.unwritten_records,
        }

    # Messages

    def admitted(self, m: PendingMessage) -> None:
        """A message is taken up under what is in force now."""
        self.versions[m.number] = self.machine.current.version
        held = self.host.journal.pending
        if len(self.versions) > 2 * len(held) + SWEEP:
            newest = m.number
            self.versions = {n: v for n, v in self.versions.items() if n in held or n == newest}

    def _open_by_version(self) -> dict[int, int]:
        held = self.host.journal.pending
        return dict(Counter(v for n, v in self.versions.items() if n in held))

    # What the machine has done

    def act(self, action: Any) -> None:
        if isinstance(action, Apply):
            self._apply(action)
        elif isinstance(action, Readmit):
            self.applying.readmit(action.uids, self.machine.current)
        elif isinstance(action, Look):
            self.runner.post_event(Seen(self.facts()))
        elif isinstance(action, Settled):
            self.gathering.count(bool(self.machine.trials))

    def _apply(self, action: Apply) -> None:
        if action.trial:
            self.gathering.count(True)
        try:
            self.applying.apply(action)
        except Exception as error:  # never on a half: the version before is brought back
            log.exception("changes: version %d could not be brought into force", action.after.version)
            self.runner.post_event(Failed(action.after.version, repr(error)))


def join(host: Host, ports: Ports) -> None:
    """The courier's configuration changes by way of its room, and its list by that alone."""
    room = ChangesComponent(host, ports)
    host.watch.told = room.listed
    host.admission.numbered_listeners.append(room.admitted)
    host.admin_service.calls |= room.calls.table()
    host.control.most = max(host.control.most, CALL_MOST)
    host.components.append(room)
