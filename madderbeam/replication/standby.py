"""The standby's state machine: maintains the copy, acknowledges written data, takes over on request or on
expiry of the primary's lease.

There is no takeover while the primary's lease may be valid. Each acknowledgement grants a lease of
`silent_us` from when the primary requested it, on the primary's clock; the standby waits that long from when
it replied, plus the drift of both clocks and a margin. Once promotion is requested, a lease is granted only
to a primary that was asked to shut down.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from typing import Any

from madderbeam.membership.values import LogLine, Persist, Row, SetTimer, TimerDue, WriteFailed
from madderbeam.replication import errors, messages
from madderbeam.replication.values import (
    CloseConnection,
    ConnectionLost,
    HelloReceived,
    MessageReceived,
    Promote,
    RemoveResult,
    RemoveSegment,
    SendMessage,
    Settings,
    TakeOver,
    WriteResult,
    WriteSegment,
)

SHUTDOWN_GRACE_US = 8_000_000  # how long a primary that was asked to shut down is acknowledged
LEASE_CHECK_INTERVAL_US = 200_000  # interval of the checks whether the lease has expired
DISK_FULL_RETRY_US = 1_000_000  # connections are accepted again this long after a full disk


class Standby:
    """The standby's side of one replication pair.

    `sizes`, `digests`: the copy's segments. `records`: the durable records by (kind, ""): fence, owner (the
    primary's last [strict, silent_us]), whole (`was_complete`), midway (`is_midway`), sure
    (`has_all_records`), over (`takeover_doubt`).

    `has_all_records`: the primary is strict and the copy has every record that allowed an effect, so that a
    takeover need not treat open messages as possibly executed. `was_complete`: the copy once had all of the
    primary's journal. `takeover_doubt`: None before a takeover; True while the folder does not yet say that
    its open messages count as possibly executed, else False.
    """

    def __init__(
        self,
        settings: Settings,
        sizes: Mapping[int, int],
        digests: Mapping[int, int],
        records: Mapping[tuple[str, str], Any],
    ) -> None:
        self.settings = settings
        self.sizes, self.digests = dict(sizes), dict(digests)
        self.fence: int = records.get(("fence", ""), 0)
        is_strict, lease_us = records.get(("owner", ""), [False, settings.silent_us])
        self.primary_is_strict, self.lease_us = bool(is_strict), int(lease_us)
        self.was_complete = bool(records.get(("whole", ""), False))
        self.is_midway = bool(records.get(("midway", ""), False))
        self.has_all_records = bool(records.get(("sure", ""), False))
        self.takeover_doubt: bool | None = records.get(("over", ""))
        self.link, self.primary_name = 0, ""  # the primary's connection, 0 if there is none
        self.position = self.received_bytes = self.latest_stamp = 0
        self.pending_operations = 0  # operations on the copy without a result yet
        self.lease_granted_at_us = 0
        self.is_promoting = self.is_shutdown_requested = False
        self.shutdown_deadline_us = 0
        self.disk_full_until_us = 0
        self.last_error: errors.StandbyError | None = None

    @property
    def state(self) -> str:
        """The state as the admin address reports it."""
        if self.takeover_doubt is not None:
            return "promoted"
        if self.is_promoting:
            return "promoting"
        if not self.was_complete:
            return "catching up" if self.link else "waiting"
        return "following" if self.link else "alone"

    def lease_end_us(self) -> int:
        """When, on this clock, the lease of any earlier primary has certainly expired."""
        return self.lease_granted_at_us + self.settings.standby_lease_us(self.lease_us)

    def start(self, now_us: int) -> list[Any]:
        """Begin; a lease counts as granted now, since an earlier process may just have granted one."""
        self.lease_granted_at_us = now_us
        if self.takeover_doubt is not None:
            return [TakeOver(self.fence, self.takeover_doubt, not self.is_midway)]
        return [SetTimer(now_us + LEASE_CHECK_INTERVAL_US, "look")]

    # Events

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """Process an event; returns the actions to perform, in order."""
        match event:
            case MessageReceived():
                return self._on_message(now_us, event) if event.link == self.link else []
            case WriteResult():
                return self._on_write_result(now_us, event)
            case HelloReceived():
                return self._on_hello(now_us, event.link, event.row)
            case ConnectionLost():
                if event.link == self.link:
                    self.link = 0
                return self._take_over_if_due(now_us)
            case RemoveResult():
                return self._finish_operation(now_us)
            case Promote():
                return self._on_promote(now_us)
            case TimerDue(token="look"):
                if self.takeover_doubt is not None:
                    return []
                # The timer first: actions behind a record that cannot be written are dropped.
                return [SetTimer(now_us + LEASE_CHECK_INTERVAL_US, "look"), *self._take_over_if_due(now_us)]
            case WriteFailed(kind="over"):  # no action was performed: the takeover is retried
                self.takeover_doubt = None
                self.fence -= 1
            case WriteFailed():  # nothing was sent: the primary connects again
                link, self.link = self.link, 0
                return [CloseConnection(link)] if link else []
        return []

    # Connections

    def _on_hello(self, now_us: int, link: int, row: Row) -> list[Any]:
        try:
            fence, settings_digest, is_strict, lease_us, limit_bytes, primary_name = messages.check(
                "hello", row
            )
        except messages.InvalidMessage as error:
            return [LogLine(f"invalid hello from a primary: {error}"), CloseConnection(link)]
        if self.takeover_doubt is not None or fence < self.fence:
            return [
                SendMessage("fenced", [self.fence], link),
                LogLine(f"notified {primary_name} that it is fenced"),
            ]
        if self.is_promoting and not self.is_shutdown_requested:
            return [CloseConnection(link)]  # its lease has to expire
        if settings_digest != self.settings.settings_digest or limit_bytes > self.settings.limit_bytes:
            difference = (
                "the settings of classes, tenants or partners differ"
                if settings_digest != self.settings.settings_digest
                else (
                    f"the owner's folder may take {limit_bytes} bytes, here it is {self.settings.limit_bytes}"
                )
            )
            self.last_error = errors.Unlike(difference)
            return [
                LogLine("", self.last_error),
                SendMessage("refused", [errors.Unlike.code, difference], link),
            ]
        if now_us < self.disk_full_until_us:
            return [SendMessage("full", [], link)]
        return self._accept_primary(link, fence, is_strict, lease_us, primary_name)

    def _accept_primary(
        self, link: int, fence: int, is_strict: bool, lease_us: int, primary_name: str
    ) -> list[Any]:
        previous_link = self.link
        self.link, self.primary_name = link, primary_name
        self.position = self.received_bytes = self.latest_stamp = 0
        # A primary that may work without its standby may have done so: records may be missing here.
        self.has_all_records = self.has_all_records and is_strict and self.primary_is_strict
        self.primary_is_strict, self.lease_us, self.fence = is_strict, max(lease_us, 1), fence
        rows = [
            Persist("sure", "", self.has_all_records),
            Persist("owner", "", [is_strict, self.lease_us]),
            Persist("fence", "", fence),
        ]
        segments = [
            [segment, size, self.digests.get(segment, 0)] for segment, size in sorted(self.sizes.items())
        ]
        yield_requests = [SendMessage("yield", [], link)] if self.is_shutdown_requested else []
        return [
            *([CloseConnection(previous_link)] if previous_link else []),
            *rows,
            SendMessage("welcome", [segments, self.was_complete], link),
            *yield_requests,
        ]

    # Stream

    def _on_message(self, now_us: int, event: MessageReceived) -> list[Any]:
        try:
            row = messages.check(event.channel, event.row)
        except messages.InvalidMessage as error:
            return self._close_link(f"invalid message from the primary: {error}")
        if event.channel == "block":
            return self._on_block(*row)
        if event.channel == "beat":
            self.latest_stamp = max(self.latest_stamp, row[0])
            return self._acknowledge(now_us)
        if event.channel == "drop":
            segment, position, sent_bytes, stamp, fence = row
            if fence != self.fence or segment not in self.sizes:
                return self._report_gap(f"segment {segment} is to be removed, and is not here")
            self._note_progress(position, sent_bytes, stamp)
            del self.sizes[segment]
            self.digests.pop(segment, None)
            self.pending_operations += 1
            return [RemoveSegment(segment)]
        if event.channel == "midway":
            self.is_midway, self.has_all_records = True, False
            return [Persist("sure", "", False), Persist("midway", "", True)]
        if event.channel == "whole":
            return self._on_complete(now_us, *row)
        if event.channel == "released" and self.is_promoting:
            return self._take_over()
        return []

    def _note_progress(self, position: int, sent_bytes: int, stamp: int) -> None:
        self.position, self.received_bytes = (
            max(self.position, position),
            max(self.received_bytes, sent_bytes),
        )
        self.latest_stamp = max(self.latest_stamp, stamp)

    def _on_block(
        self,
        segment: int,
        offset: int,
        data: bytes,
        digest: int,
        position: int,
        sent_bytes: int,
        stamp: int,
        fence: int,
    ) -> list[Any]:
        held_bytes = self.sizes.get(segment, 0)
        if offset != held_bytes or fence != self.fence or segment < 1:
            return self._report_gap(
                f"byte {offset} of segment {segment} came, and {held_bytes} bytes are here"
            )
        if zlib.crc32(data, self.digests.get(segment, 0)) != digest:
            return self._report_gap(f"the digest of segment {segment} at byte {offset + len(data)} differs")
        digest_before = self.digests.get(segment, 0)
        self.sizes[segment], self.digests[segment] = held_bytes + len(data), digest
        self._note_progress(position, sent_bytes, stamp)
        self.pending_operations += 1
        return [WriteSegment(segment, offset, data, digest_before)]

    def _report_gap(self, reason: str) -> list[Any]:
        self.last_error = errors.Gap(reason)
        return [LogLine("", self.last_error), *self._close_link("")]

    def _close_link(self, reason: str) -> list[Any]:
        link, self.link = self.link, 0
        return [*([LogLine(reason)] if reason else []), CloseConnection(link)]

    def _on_write_result(self, now_us: int, event: WriteResult) -> list[Any]:
        if event.succeeded:
            return self._finish_operation(now_us)
        self.pending_operations = 0
        if event.offset < self.sizes.get(event.segment, 0):  # nothing behind it in the file is written either
            self.sizes[event.segment], self.digests[event.segment] = event.offset, event.digest_before
        self.last_error = errors.DiskFull(
            f"{len(event.data)} bytes of segment {event.segment} are not written"
        )
        self.disk_full_until_us = now_us + DISK_FULL_RETRY_US
        link = self.link
        return [LogLine("", self.last_error), SendMessage("full", [], link), *self._close_link("")]

    def _finish_operation(self, now_us: int) -> list[Any]:
        self.pending_operations = max(0, self.pending_operations - 1)
        return self._acknowledge(now_us)

    def _on_complete(self, now_us: int, position: int, sent_bytes: int, stamp: int) -> list[Any]:
        self._note_progress(position, sent_bytes, stamp)
        self.was_complete, self.is_midway, self.has_all_records, self.last_error = (
            True,
            False,
            self.primary_is_strict,
            None,
        )
        return [
            Persist("whole", "", True),
            Persist("midway", "", False),
            Persist("sure", "", self.has_all_records),
            *self._acknowledge(now_us),
        ]

    def _acknowledge(self, now_us: int) -> list[Any]:
        """Acknowledge everything received, once it is on the disk.

        During promotion this would extend the lease: only a primary that is shutting down gets it then.
        """
        if self.pending_operations or not self.link or self.takeover_doubt is not None:
            return []
        if self.is_promoting and not (self.is_shutdown_requested and now_us < self.shutdown_deadline_us):
            return []
        self.lease_granted_at_us = now_us
        return [SendMessage("ack", [self.position, self.received_bytes, self.latest_stamp], self.link)]

    # Takeover

    def promotion_refusal(self) -> errors.StandbyError | None:
        """Why it cannot be promoted, None if it can."""
        if not self.was_complete:
            return errors.NeverWhole("the copy never had all that the owner held")
        return None

    def _on_promote(self, now_us: int) -> list[Any]:
        if self.takeover_doubt is not None or self.is_promoting or self.promotion_refusal():
            return []
        self.is_promoting = True
        if self.link:  # the primary may be running: it shuts down and hands over
            self.is_shutdown_requested, self.shutdown_deadline_us = True, now_us + SHUTDOWN_GRACE_US
            return [
                LogLine("promotion requested: asking the primary to shut down"),
                SendMessage("yield", [], self.link),
            ]
        return [
            LogLine("promotion requested: waiting for the primary's lease to expire"),
            *self._take_over_if_due(now_us),
        ]

    def _take_over_if_due(self, now_us: int) -> list[Any]:
        """Take over if that is wanted and the primary's lease has expired.

        A primary that is not strict needs no lease and may continue: its open messages count as possibly
        executed here.
        """
        if self.takeover_doubt is not None:
            return []
        if (
            not self.is_promoting
            and self.settings.takeover == "lease"
            and self.has_all_records
            and not self.link
        ):
            self.is_promoting = now_us >= self.lease_end_us()
        if not self.is_promoting or now_us < self.lease_end_us():
            return []
        return self._take_over()

    def _take_over(self) -> list[Any]:
        may_lack_records = not self.has_all_records
        self.takeover_doubt, link, self.link = may_lack_records, self.link, 0
        self.fence += 1
        close_actions = [CloseConnection(link)] if link else []
        return [
            Persist("over", "", may_lack_records),
            Persist("fence", "", self.fence),
            *close_actions,
            LogLine(
                f"this courier takes over with fence {self.fence}"
                + ("; its open messages count as possibly executed" if may_lack_records else "")
            ),
            TakeOver(self.fence, may_lack_records, not self.is_midway),
        ]
