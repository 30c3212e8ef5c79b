"""The courier's file as a source of changes: what is new in it goes through the same stages as a command."""

from __future__ import annotations

import hashlib
import json
import logging
from collections.abc import Callable, Mapping
from dataclasses import fields, replace
from typing import Any

from madderbeam.changes import errors
from madderbeam.changes.events import FileSeen, Offered
from madderbeam.changes.machine import Changes
from madderbeam.changes.making import difference, shown
from madderbeam.changes.values import DRAINING, Change, Endpoint, Facts, Key, Op, Snapshot
from madderbeam.config.platform import ConfigError, load_sidecar
from madderbeam.host.changes.reading import snapshot_of
from madderbeam.ports import Disk

LATER = (errors.Full, errors.Stale)  # may be otherwise in a moment
AGAIN_S = 1.0
log = logging.getLogger(__name__)


class FileSource:
    """Looks at a courier's rendered file and its partner list together. `later` calls back after so many
    seconds."""

    def __init__(
        self,
        disk: Disk,
        listed: str,
        machine: Changes,
        facts: Callable[[], Facts],
        tell: Callable[[Any], None],
        later: Callable[[float, Callable[[], None]], None],
    ) -> None:
        """`listed`: the partner list's path, NAME.partners.json; the courier's file is NAME.json beside."""
        self.disk, self.listed, self.machine, self.facts = disk, listed, machine, facts
        self.tell, self.later = tell, later
        self.main = listed.removesuffix(".partners.json") + ".json"
        self.waits = False
        self.told = ""  # why it is not taken up, as it was told last

    def look(self) -> None:
        """Take up what is new. A set of files that is being written is looked at again."""
        try:
            digest = self._digest()
            if digest is None:
                self._again()
                return
            if self.machine.file is not None and self.machine.file[0] == digest:
                return
            snapshot = snapshot_of(load_sidecar(self.main, self.disk))
        except (OSError, ConfigError, KeyError, TypeError, ValueError) as error:
            self._say(f"the configuration stays as it was: {error}")
            return
        self._offer(digest, snapshot)

    def _digest(self) -> str | None:
        """Of both files; None if the manifest beside them names others: they are being written."""
        data = {path.rpartition("/")[2]: self.disk.read(path) for path in (self.main, self.listed)}
        try:
            manifest = json.loads(self.disk.read(self.main.rpartition("/")[0] + "/manifest.json"))["files"]
        except (OSError, ValueError, KeyError, TypeError):
            manifest = {}
        for name, content in data.items():
            if name in manifest and manifest[name] != hashlib.sha256(content).hexdigest():
                return None
        return hashlib.sha256(b"".join(data.values())).hexdigest()[:16]

    def _offer(self, digest: str, snapshot: Snapshot) -> None:
        """Drains first, by themselves: they wait for nothing. Then all the rest, as one change."""
        m = self.machine
        if m.file is None:  # nothing tells what was new in it: it counts as seen
            self.tell(FileSeen(digest, snapshot))
            return
        seen = m.file[1]
        drains: dict[Key, Op] = {}
        rest: dict[Key, Op] = {}
        for key, op in difference(seen, snapshot).items():
            if shown(m.current, key) == op.row:
                continue  # by a command
            told = _told(seen.get(key), op.row) if key[0] == "endpoint" and m.current.get(key) else None
            if told is None:
                rest[key] = op
                continue
            if told.get("state") == DRAINING:
                drains[key] = Op("drain")
                del told["state"]
            if told:
                rest[key] = Op("edit", told)
        done = self._change(f"file-{digest}-{m.current.version}-drains", drains)
        if done:
            rows = {key: replace(seen.get(key), state=DRAINING) for key in drains}
            seen = seen.with_rows(rows, seen.version)
            done = self._change(f"file-{digest}-{m.current.version}", rest)
        if done:
            self.told = ""
            self.tell(FileSeen(digest, snapshot))
        elif done is False:
            self._again()
        else:  # turned down until it changes; what was new in it stays new
            self.tell(FileSeen(digest, seen))

    def _change(self, ident: str, ops: Mapping[Key, Op]) -> bool | None:
        """Whether these are taken up; None if they never will be."""
        if not ops:
            return True
        m = self.machine
        change = Change(ident, m.current.version, ops, source="file")
        if not (wrong := m.check(change, None)):
            self.tell(Offered(change, self.facts()))
            out = m.outcome(ident)
            return out is None or out.what != "refused"
        self._say("the file's change is not taken up:\n" + "\n".join(e.line() for e in wrong))
        return False if all(isinstance(e, LATER) for e in wrong) else None

    def _say(self, text: str) -> None:
        if text != self.told:
            self.told = text
            log.error("changes: %s", text)

    def _again(self) -> None:
        if not self.waits:
            self.waits = True
            self.later(AGAIN_S, self._waited)

    def _waited(self) -> None:
        self.waits = False
        self.look()


def _told(old: Endpoint | None, new: Endpoint | None) -> dict[str, Any] | None:
    """The fields of an endpoint that the file has otherwise than before: what a command changed of others
    stays. None if it is new there or gone."""
    if old is None or new is None:
        return None
    return {
        f.name: getattr(new, f.name) for f in fields(Endpoint) if getattr(old, f.name) != getattr(new, f.name)
    }
