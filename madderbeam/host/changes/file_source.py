"""The courier's file as a source of changes: its changes pass the same stages as those of operators."""

from __future__ import annotations

import hashlib
import json
import logging
from collections.abc import Callable, Mapping
from dataclasses import fields, replace
from typing import Any

from madderbeam.changes import errors
from madderbeam.changes.building import comparable_row, difference
from madderbeam.changes.events import ChangeSubmitted, FileProcessed
from madderbeam.changes.machine import ChangeStateMachine
from madderbeam.changes.values import DRAINING, Change, Endpoint, Key, Op, RuntimeState, Snapshot
from madderbeam.config.platform import ConfigError, load_sidecar
from madderbeam.host.changes.config_snapshot import snapshot_of
from madderbeam.ports import Disk

RETRYABLE_ERRORS = (errors.Full, errors.Stale)  # may pass on the next attempt
RETRY_S = 1.0
log = logging.getLogger(__name__)


class FileSource:
    """Reads a courier's rendered file together with its partner list. `schedule` calls back after a number of
    seconds."""

    def __init__(
        self,
        disk: Disk,
        partner_list_path: str,
        machine: ChangeStateMachine,
        runtime_state: Callable[[], RuntimeState],
        handle_event: Callable[[Any], None],
        schedule: Callable[[float, Callable[[], None]], None],
    ) -> None:
        """`partner_list_path`: NAME.partners.json; the courier's file is NAME.json in the same folder."""
        self.disk, self.partner_list_path, self.machine, self.runtime_state = (
            disk,
            partner_list_path,
            machine,
            runtime_state,
        )
        self.handle_event, self.schedule = handle_event, schedule
        self.courier_file_path = partner_list_path.removesuffix(".partners.json") + ".json"
        self.is_retry_scheduled = False
        self.last_logged = ""  # the last logged error, so that a repeated one is not logged

    def check(self) -> None:
        """Submit what is new in the files; retries later if they are just being written."""
        try:
            digest = self._digest()
            if digest is None:
                self._schedule_retry()
                return
            if self.machine.processed_file is not None and self.machine.processed_file[0] == digest:
                return
            snapshot = snapshot_of(load_sidecar(self.courier_file_path, self.disk))
        except (OSError, ConfigError, KeyError, TypeError, ValueError) as error:
            self._log_once(f"the files can't be used, the configuration is unchanged: {error}")
            return
        self._submit(digest, snapshot)

    def _digest(self) -> str | None:
        """Return a digest of both files; None if the manifest has other hashes, as while they are written."""
        data = {
            path.rpartition("/")[2]: self.disk.read(path)
            for path in (self.courier_file_path, self.partner_list_path)
        }
        try:
            manifest = json.loads(
                self.disk.read(self.courier_file_path.rpartition("/")[0] + "/manifest.json")
            )["files"]
        except (OSError, ValueError, KeyError, TypeError):
            manifest = {}
        for name, content in data.items():
            if name in manifest and manifest[name] != hashlib.sha256(content).hexdigest():
                return None
        return hashlib.sha256(b"".join(data.values())).hexdigest()[:16]

    def _submit(self, digest: str, snapshot: Snapshot) -> None:
        """Submit drains as a change of their own, since they wait for nothing, then the rest as another."""
        machine = self.machine
        if machine.processed_file is None:  # there is no older file to compare it with
            self.handle_event(FileProcessed(digest, snapshot))
            return
        seen = machine.processed_file[1]
        drains: dict[Key, Op] = {}
        others: dict[Key, Op] = {}
        for key, op in difference(seen, snapshot).items():
            if comparable_row(machine.current, key) == op.row:
                continue  # already made by an operator
            edited = (
                _edited_fields(seen.get(key), op.row)
                if key[0] == "endpoint" and machine.current.get(key)
                else None
            )
            if edited is None:
                others[key] = op
                continue
            if edited.get("state") == DRAINING:
                drains[key] = Op("drain")
                del edited["state"]
            if edited:
                others[key] = Op("edit", edited)
        is_submitted = self._submit_ops(f"file-{digest}-{machine.current.version}-drains", drains)
        if is_submitted:
            rows = {key: replace(seen.get(key), state=DRAINING) for key in drains}
            seen = seen.with_rows(rows, seen.version)
            is_submitted = self._submit_ops(f"file-{digest}-{machine.current.version}", others)
        if is_submitted:
            self.last_logged = ""
            self.handle_event(FileProcessed(digest, snapshot))
        elif is_submitted is False:
            self._schedule_retry()
        else:  # rejected until the file changes; its new rows stay new
            self.handle_event(FileProcessed(digest, seen))

    def _submit_ops(self, change_id: str, ops: Mapping[Key, Op]) -> bool | None:
        """Submit operations; returns whether they were accepted, None if a retry is pointless."""
        if not ops:
            return True
        machine = self.machine
        change = Change(change_id, machine.current.version, ops, source="file")
        if not (found_errors := machine.check(change, None)):
            self.handle_event(ChangeSubmitted(change, self.runtime_state()))
            outcome = machine.outcome(change_id)
            return outcome is None or outcome.result != "refused"
        self._log_once(
            "the change of the files is rejected:\n" + "\n".join(error.line() for error in found_errors)
        )
        return False if all(isinstance(error, RETRYABLE_ERRORS) for error in found_errors) else None

    def _log_once(self, text: str) -> None:
        if text != self.last_logged:
            self.last_logged = text
            log.error("changes: %s", text)

    def _schedule_retry(self) -> None:
        if not self.is_retry_scheduled:
            self.is_retry_scheduled = True
            self.schedule(RETRY_S, self._retry)

    def _retry(self) -> None:
        self.is_retry_scheduled = False
        self.check()


def _edited_fields(old: Endpoint | None, new: Endpoint | None) -> dict[str, Any] | None:
    """Return the fields of an endpoint that differ in the newer file, so that an operator's changes of other
    fields stay. None if the endpoint is new or removed."""
    if old is None or new is None:
        return None
    return {
        field.name: getattr(new, field.name)
        for field in fields(Endpoint)
        if getattr(old, field.name) != getattr(new, field.name)
    }
