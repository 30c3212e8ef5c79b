"""The service of a standby process: state machine, copy, listener and admin calls."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import Any

from madderbeam.config.platform import Config
from madderbeam.host.federation.durable_map import DurableMap
from madderbeam.host.federation.runner import Runner
from madderbeam.host.standby.copy import JournalCopy
from madderbeam.host.standby.shared import read_keys, records_folder, replication_settings, standby_config
from madderbeam.ports import Ports
from madderbeam.replication.standby import Standby
from madderbeam.replication.values import (
    CloseConnection,
    ConnectionLost,
    HelloReceived,
    MessageReceived,
    Promote,
    RemoveResult,
    RemoveSegment,
    SendMessage,
    TakeOver,
    WriteResult,
    WriteSegment,
)
from madderbeam.transport.control import Answer
from madderbeam.transport.replication import ReplicationListener

log = logging.getLogger(__name__)


class StandbyService:
    """Maintains the copy until promoted; from then on notifies connecting primaries that they are fenced."""

    def __init__(self, loop: asyncio.AbstractEventLoop, ports: Ports, config: Config) -> None:
        """Raises OSError if a folder cannot be used."""
        self.loop, self.ports, self.config, self.clock = loop, ports, config, ports.clock.monotonic_us
        standby, sync = standby_config(config), bool(config.sidecar and config.sidecar.sync)
        self.records = DurableMap(ports.disk, records_folder(config), sync)
        if self.records.damaged:  # recorded state may be lost: the copy counts as never complete
            log.error("standby: the durable records are damaged: the copy must become complete again")
        self.copy = JournalCopy(ports.disk, config.state, sync)
        self.machine = Standby(
            replication_settings(config), self.copy.sizes, self.copy.digests, self.records.map
        )
        self.runner = Runner(loop, self.clock, self.machine, self.records, self._perform, "standby")
        self.listener = ReplicationListener(
            loop,
            ports.network,
            max(1.0, standby.silent_ms / 1e3),
            lambda: read_keys(ports.disk, standby.key_file),
            self._on_hello,
            self._on_message,
            lambda link: self.runner.post_event(ConnectionLost(link)),
        )
        self.takeover: asyncio.Future[TakeOver] = loop.create_future()
        self.last_received_us = 0
        self.is_closed = False

    def start(self) -> int:
        """Start the service; returns the port. OSError if the address is not available."""
        listen = standby_config(self.config).listen
        assert listen is not None
        port = self.listener.listen(listen)
        self.runner.run(self.machine.start(self.clock()))
        return port

    def _on_hello(self, link: int, row: list[Any]) -> None:
        self.runner.post_event(HelloReceived(link, row))

    def _on_message(self, link: int, channel: str, row: list[Any]) -> None:
        self.last_received_us = self.clock()
        self.runner.post_event(MessageReceived(channel, row, link))

    def _perform(self, action: Any) -> None:
        match action:
            case SendMessage(channel=channel, row=row, link=link):
                self.listener.send(link, channel, row)
            case WriteSegment():
                self._write(action)
            case RemoveSegment(segment=segment):
                try:
                    self.copy.remove(segment)
                except OSError as error:  # the file is unused and remains
                    log.error("standby: segment %d: %s", segment, error)
                self.runner.post_event(RemoveResult(segment))
            case CloseConnection(link=link):
                self.listener.drop(link, flush=True)
            case TakeOver():
                if not self.takeover.done():
                    self.takeover.set_result(action)

    def _write(self, action: WriteSegment) -> None:
        try:
            self.copy.write(action.segment, action.offset, action.data)
            succeeded = True
        except OSError as error:
            log.error("standby: segment %d: %s", action.segment, error)
            succeeded = False
        self.runner.post_event(
            WriteResult(action.segment, action.offset, action.data, action.digest_before, succeeded)
        )

    # Admin calls

    def handle_call(self, method: str, path: str, body: bytes) -> Answer:
        """Reply to a call at the admin address of a standby."""
        if path == "/standby" and method == "GET":
            return Answer(200, json.dumps(self.status()) + "\n")
        if path == "/standby/promote" and method == "PUT":
            return self.promote()
        if path == "/ready" and method == "GET":
            return Answer(503, "not ready: it is a standby\n")
        if path == "/metrics" and method == "GET":
            return Answer(200, "".join(f"app.{name}={value}\n" for name, value in self.metrics().items()))
        return Answer(404, "no such call; there are /metrics, /ready, /standby, /standby/promote\n")

    def promote(self) -> Answer:
        """Handle an operator's request for promotion; a repeated request has no effect."""
        if (error := self.machine.promotion_refusal()) is not None:
            return Answer(409, error.line() + "\n")
        if self.machine.takeover_doubt is not None:
            return Answer(200, f"it was promoted, with fence {self.machine.fence}\n")
        self.runner.post_event(Promote())
        if self.machine.takeover_doubt is not None:
            return Answer(200, f"promoted, with fence {self.machine.fence}\n")
        progress = (
            "the owner is asked to end in order"
            if self.machine.is_shutdown_requested
            else ("the owner's lease is waited for")
        )
        return Answer(200, f"promoting: {progress}\n")

    def metrics(self) -> dict[str, int]:
        """Return the metrics by name; for `whole` and `sure` see `status`."""
        machine = self.machine
        return {
            "standby_connected": int(bool(machine.link)),
            "standby_whole": int(machine.was_complete),
            "standby_sure": int(machine.has_all_records),
            "standby_bytes": sum(machine.sizes.values()),
            "standby_fence": machine.fence,
        }

    def status(self) -> dict[str, Any]:
        """Return the reply to GET /standby.

        owner: name of the primary; whole: the copy once had all of the primary's journal; midway: see
        `Standby.is_midway`; sure: the primary is strict and the copy has every record that allowed an effect.
        """
        machine, now_us = self.machine, self.clock()
        return {
            "role": "standby",
            "state": machine.state,
            "fence": machine.fence,
            "owner": machine.primary_name,
            "whole": machine.was_complete,
            "midway": machine.is_midway,
            "sure": machine.has_all_records,
            "strict": machine.primary_is_strict,
            "segments": len(machine.sizes),
            "bytes": sum(machine.sizes.values()),
            "records": machine.position,
            "heard_s": round((now_us - self.last_received_us) / 1e6, 3) if self.last_received_us else None,
            "lease_s": round(max(0, machine.lease_end_us() - now_us) / 1e6, 3),
            "trouble": machine.last_error.line() if machine.last_error else "",
        }

    def release_folder(self) -> None:
        """Leave the folder to the courier; the listener stays, to notify connecting primaries that they are
        fenced."""
        self.copy.close()
        if not self.is_closed:
            self.is_closed = True
            self.records.close()

    def close(self) -> None:
        """Release all resources."""
        self.runner.close()
        self.listener.close()
        self.release_folder()
