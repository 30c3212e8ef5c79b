"""The primary's component: replicates the journal and delays operations until they are acknowledged."""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import zlib
from collections.abc import Callable
from typing import Any

from madderbeam.host.components import Component
from madderbeam.host.federation.durable_map import DurableMap
from madderbeam.host.host import Host
from madderbeam.host.standby.journal import ReplicatedJournal
from madderbeam.host.standby.shared import (
    ObservedRunner,
    read_keys,
    records_folder,
    replication_settings,
    standby_config,
)
from madderbeam.policy.settings import Idempotency
from madderbeam.ports import Ports
from madderbeam.quota.admission import QuotaVerdict
from madderbeam.replication.primary import Primary
from madderbeam.replication.values import (
    Abort,
    Appended,
    AwaitAck,
    CloseConnection,
    ComputeDigest,
    ConnectionLost,
    DigestResult,
    HandoverCompleted,
    MessageReceived,
    Proceed,
    ReadResult,
    ReadSegment,
    SegmentRemoved,
    SendMessage,
    ShutdownCompleted,
    Stop,
    WaitKind,
)
from madderbeam.transport.control import Answer
from madderbeam.transport.replication import PrimaryLink

SILENT_RETRY_AFTER_US = 500_000  # Retry-After of a client that is rejected because the standby is silent
EXIT_CHECK_INTERVAL_S = 0.02  # interval of the checks whether a shutdown with handover can complete
ADMITTED = QuotaVerdict(True)
log = logging.getLogger(__name__)


class PrimaryComponent(Component):
    """Connects the primary's state machine with the journal, the connection and the host."""

    def __init__(self, host: Host, ports: Ports) -> None:
        """Raises OSError if the folder of the durable records cannot be used."""
        assert isinstance(host.journal, ReplicatedJournal)
        self.host, self.ports, self.journal = host, ports, host.journal
        standby, self.loop, self.clock = standby_config(host.config), host.loop, ports.clock.monotonic_us
        self.records = DurableMap(ports.disk, records_folder(host.config), host.journal.sync)
        sizes = {index: segment.size for index, segment in host.journal.files.segments.items()}
        self.machine = Primary(replication_settings(host.config), host.config.name, sizes, self.records.map)
        self.runner = ObservedRunner(
            self.loop, self.clock, self.machine, self.records, self._perform, "standby"
        )
        assert standby.to is not None
        self.link = PrimaryLink(
            self.loop,
            ports.network,
            standby.to,
            standby.silent_ms / 1e3,
            lambda: read_keys(ports.disk, standby.key_file),
            self.machine.hello_row,
            lambda channel, row: self.post_event(MessageReceived(channel, row)),
            lambda: self.post_event(ConnectionLost()),
        )
        self.tokens = itertools.count(1)
        self.callbacks: dict[int, tuple[Callable[[], None], Callable[[], None]]] = {}
        self.ready: asyncio.Future[bool] = self.loop.create_future()  # False: this courier was taken over
        self.handover_completed: asyncio.Future[None] = self.loop.create_future()
        self.cached_segment: tuple[int, bytes] = 0, b""  # the segment read last, and its content
        self.is_handing_over = self.is_fenced = False
        repeatable_classes = frozenset(
            index
            for index, message_class in enumerate(host.settings.classes)
            if message_class.idempotency is Idempotency.IDEMPOTENT
        )
        key_windows_s = {
            index: (message_class.key_window_us - host.settings.tick_us) / 1e6
            for index, message_class in enumerate(host.settings.classes)
            if message_class.idempotency is Idempotency.WITH_KEY
        }
        self.runner.after_run = self._check_ready
        host.journal.attach(self, repeatable_classes, key_windows_s)

    def start(self) -> None:
        """Connect to the standby; work may begin once the future `ready` is done."""
        self.runner.run(self.machine.start(self.clock()))
        if not self.is_fenced:
            self.link.start()

    def post_event(self, event: Any) -> None:
        """Pass an event to the state machine."""
        self.runner.post_event(event)

    def _check_ready(self) -> None:
        if self.machine.is_ready and not self.ready.done():
            self.ready.set_result(True)

    # ReplicationGate

    def on_appended(self, segment: int, offset: int, data: bytes) -> None:
        """The journal wrote data to a segment."""
        self.post_event(Appended(segment, offset, data))

    def on_removed(self, segment: int) -> None:
        """The journal removed a segment."""
        self.post_event(SegmentRemoved(segment))

    def may_attempt(self) -> bool:
        """Whether an attempt may be begun now."""
        return not self.is_fenced and self.machine.may_start_work(self.clock())

    def await_ack(
        self, kind: WaitKind, proceed: Callable[[], None], abort: Callable[[], None], deadline_s: float
    ) -> None:
        """Call `proceed` or `abort`, at once or when the standby has replied or the time is over."""
        if not self.runner.is_running and self.machine.needs_no_ack(kind):
            proceed()
            return
        token = next(self.tokens)
        self.callbacks[token] = proceed, abort
        deadline_us = self.host.journal.wall.monotonic_us_at(deadline_s) if deadline_s else 0
        self.post_event(AwaitAck(token, kind, max(0, deadline_us)))

    # Admission

    def check_admission(self, tenant: int, cls: int, size: int) -> QuotaVerdict:
        """Reject a message whose acceptance the standby could not acknowledge now."""
        return (
            ADMITTED
            if self.machine.may_start_work(self.clock())
            else QuotaVerdict(False, retry_after_us=SILENT_RETRY_AFTER_US)
        )

    # Actions

    def _perform(self, action: Any) -> None:
        match action:
            case SendMessage(channel=channel, row=row):
                self.link.send(channel, row)
            case Proceed(token=token):
                self.callbacks.pop(token)[0]()
            case Abort(token=token):
                self.callbacks.pop(token)[1]()
            case ReadSegment() | ComputeDigest():
                self.loop.call_soon(self._read_segment, action)
            case CloseConnection():
                self.loop.call_soon(self.link.drop)
            case Stop(is_fenced=True):
                self._stop_fenced()
            case Stop():
                self.is_handing_over = True
                self.host.terminate()
                self._exit_when_idle()
            case HandoverCompleted():
                if not self.handover_completed.done():
                    self.handover_completed.set_result(None)

    def _read_segment(self, action: ReadSegment | ComputeDigest) -> None:
        """Read from a segment's file; one read per event loop iteration, to let other work run between."""
        if self.runner.closed:
            return
        try:
            if isinstance(action, ComputeDigest):
                digest = zlib.crc32(self._segment_content(action.segment, action.size)[: action.size])
                self.post_event(DigestResult(action.segment, action.size, digest))
            else:
                content = self._segment_content(action.segment, action.offset + action.max_bytes)
                self.post_event(
                    ReadResult(
                        action.segment,
                        action.offset,
                        content[action.offset : action.offset + action.max_bytes],
                    )
                )
        except OSError as error:
            log.error("standby: segment %d: %s", action.segment, error)
            failure = (
                DigestResult(action.segment, action.size, -1)
                if isinstance(action, ComputeDigest)
                else (ReadResult(action.segment, action.offset, None))
            )
            self.post_event(failure)

    def _segment_content(self, segment: int, min_bytes: int) -> bytes:
        """A segment's content, at least `min_bytes` if it has as many; the segment read last is cached."""
        if self.cached_segment[0] != segment or len(self.cached_segment[1]) < min_bytes:
            self.cached_segment = segment, self.ports.disk.read(self.journal.files.path(segment))
        return self.cached_segment[1]

    def _stop_fenced(self) -> None:
        """Another courier has taken over: stop all attempts, notices and writes."""
        if self.is_fenced:
            return
        self.is_fenced = True
        self.journal.fence()
        if not self.ready.done():
            self.ready.set_result(False)
            return
        self.loop.call_soon(self._close_host)
        self.host.is_handed_over = True

    def _close_host(self) -> None:
        self.host.stop_after_handover()
        if not self.host.closed.done():
            self.host.closed.set_result(None)

    # Shutdown

    def _exit_when_idle(self) -> None:
        """Exit as soon as the host is idle, so that the standby need not wait for the whole drain time."""
        if not self.host.closed.done():
            self.host.maybe_exit()
            self.loop.call_later(EXIT_CHECK_INTERVAL_S, self._exit_when_idle)

    async def hand_over(self) -> None:
        """Hand over to the standby; called after an orderly shutdown, with the journal closed."""
        self.post_event(ShutdownCompleted())
        await self.handover_completed

    def close(self) -> None:
        """Release all resources; if a handover is to follow, `release_resources` is called after it."""
        if not self.is_handing_over:
            self.release_resources()

    def release_resources(self) -> None:
        """Close the connection and the durable records."""
        self.runner.close()
        self.link.close(flush=True)
        self.records.close()

    # Metrics and status

    def metrics(self) -> dict[str, int]:
        """Return the replication metrics by name."""
        machine = self.machine
        return {
            "standby_in_step": int(machine.in_sync),
            "standby_alone": int(machine.runs_without_standby),
            "standby_lag_bytes": machine.lag_bytes,
            "standby_lag_ms": machine.lag_us(self.clock()) // 1000,
            "standby_waiting": len(machine.wait_queue.entries),
        }

    def status(self) -> dict[str, Any]:
        """Return the reply to GET /standby at the admin address."""
        machine, now_us = self.machine, self.clock()
        return {
            "role": "owner",
            "state": "in step" if machine.in_sync else machine.state,
            "fence": machine.fence,
            "fenced": machine.fenced_by,
            "mode": machine.settings.mode,
            "silent": machine.settings.silent,
            "strict": machine.is_strict,
            "alone": machine.runs_without_standby,
            "leased": machine.has_lease(now_us) if machine.is_strict else None,
            "lag_records": machine.position - machine.acked_position,
            "lag_bytes": machine.lag_bytes,
            "lag_s": round(machine.lag_us(now_us) / 1e6, 3),
            "waiting": len(machine.wait_queue.entries),
            "trouble": machine.last_error.line() if machine.last_error else "",
        }


def join(host: Host, ports: Ports) -> None:
    """Add the component to a courier that has a standby; a promoted standby may have none."""
    if standby_config(host.config).to is None:
        return
    primary = PrimaryComponent(host, ports)
    host.components.append(primary)
    host.admission.checks.append(_ReplicationAdmission(primary))
    host.admin_service.calls["/standby"] = ("GET", lambda _: Answer(200, json.dumps(primary.status()) + "\n"))


class _ReplicationAdmission:
    """Admission check that rejects messages while the standby cannot acknowledge them."""

    def __init__(self, primary: PrimaryComponent) -> None:
        self.primary = primary

    def check(self, tenant: int, cls: int, size: int) -> QuotaVerdict:
        """Reject a message whose acceptance the standby could not acknowledge now."""
        return self.primary.check_admission(tenant, cls, size)
