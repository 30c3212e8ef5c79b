"""The standby's state machine: maintains the copy, acknowledges written data, takes over on request or on
expiry of the primary's lease.

There is no takeover while the primary's lease may be valid. Each acknowledgement grants a lease of
`silent_us` from when the primary requested it, on the primary's clock; the standby waits that long from when
it replied, plus the drift of both clocks and a margin. Once promotion is requested, a lease is granted only
to a primary that was asked to shut down.

A key and an address do not tell whose primary has connected. Until its first message of the stream shows that
its journal continues the copy it is a candidate: it gets no lease, and nothing of it is recorded but that the
primary of this name may work without its standby.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
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
MAX_CANDIDATES = 8  # a further one closes the oldest
QUIET_SHARE = 0.5  # of its `silent_us`: a primary that is heard within it gives its place to no other
STREAM_CHANNELS = frozenset({"block", "drop", "midway", "whole"})  # sent once the copy was compared


@dataclass(frozen=True, slots=True)
class Candidate:
    """A primary that has connected, and whose journal is not known yet to continue the copy."""

    link: int
    fence: int
    is_strict: bool
    lease_us: int
    name: str


class Standby:
    """The standby's side of one replication pair.

    `sizes`, `digests`: the copy's segments. `records`: the durable records by (kind, ""): fence, owner (the
    primary's last [strict, silent_us]), name (the primary's), whole (`was_complete`), midway (`is_midway`),
    sure (`has_all_records`), over (`takeover_doubt`).

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
        self.primary_name: str = records.get(("name", ""), "")  # "" before there was one
        self.link = 0  # the primary's connection, 0 if there is none
        self.last_heard_us = 0  # when the last message came on it
        self.candidates: dict[int, Candidate] = {}  # by link, the oldest first
        self.logged_refusal = ""  # the last one
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
        if isinstance(event, MessageReceived) and event.link == self.link:
            self.last_heard_us = now_us
        match event:
            case MessageReceived() if event.link in self.candidates:
                return self._on_candidate_message(now_us, event)
            case MessageReceived():
                return self._on_message(now_us, event) if event.link == self.link else []
            case WriteResult():
                return self._on_write_result(now_us, event)
            case HelloReceived():
                return self._on_hello(now_us, event.link, event.row)
            case ConnectionLost():
                self.candidates.pop(event.link, None)
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
            fence, settings_digest, is_strict, lease_us, limit_bytes, name = messages.check("hello", row)
        except messages.InvalidMessage as error:
            return [LogLine(f"invalid hello from a primary: {error}"), CloseConnection(link)]
        candidate = Candidate(link, fence, is_strict, max(lease_us, 1), name)
        is_fenced = self.takeover_doubt is not None or fence < self.fence
        if self._is_of_another_pair(candidate) and (is_fenced or self._hears_primary(now_us)):
            return self._refuse(
                link,
                errors.OtherOwner(f"this standby keeps the journal of {self.primary_name}, not of {name}"),
            )
        if is_fenced:
            return [
                SendMessage("fenced", [self.fence], link),
                LogLine(f"notified {name} that it is fenced"),
            ]
        if self._hears_primary(now_us) or (self.is_promoting and not self.is_shutdown_requested):
            return [CloseConnection(link)]  # its lease, or its earlier connection, has to end
        if (difference := self._difference(settings_digest, limit_bytes)) is not None:
            self.last_error = difference
            return self._refuse(link, difference)
        if now_us < self.disk_full_until_us:
            return [SendMessage("full", [], link)]
        return self._welcome(candidate)

    def _is_of_another_pair(self, candidate: Candidate) -> bool:
        """Whether it is told that its standby is elsewhere, in place of being fenced.

        One that is not strict would go on without its standby: it could be this pair's under a new name.
        """
        return candidate.is_strict and self.primary_name not in ("", candidate.name)

    def _hears_primary(self, now_us: int) -> bool:
        """Whether the primary is connected and was heard lately: it has not connected anew."""
        return bool(self.link) and now_us - self.last_heard_us < self.lease_us * QUIET_SHARE

    def _difference(self, settings_digest: str, limit_bytes: int) -> errors.Unlike | None:
        if settings_digest != self.settings.settings_digest:
            return errors.Unlike("the settings of classes, tenants or partners differ")
        if limit_bytes > self.settings.limit_bytes:
            return errors.Unlike(
                f"the owner's folder may take {limit_bytes} bytes, here it is {self.settings.limit_bytes}"
            )
        return None

    def _refuse(self, link: int, error: errors.StandbyError) -> list[Any]:
        is_logged = error.what == self.logged_refusal
        self.logged_refusal = error.what
        return [
            *([] if is_logged else [LogLine("", error)]),
            SendMessage("refused", [error.code, error.what], link),
        ]

    def _welcome(self, candidate: Candidate) -> list[Any]:
        """Tell it what the copy holds, for it to compare."""
        actions: list[Any] = []
        if len(self.candidates) >= MAX_CANDIDATES:
            actions.append(self._drop_candidate(next(iter(self.candidates))))
        self.candidates[candidate.link] = candidate
        if not candidate.is_strict and self.primary_name in ("", candidate.name):
            self.has_all_records = False  # recorded first: once welcomed it may work without its standby
            actions.append(Persist("sure", "", False))
        segments = [
            [segment, size, self.digests.get(segment, 0)] for segment, size in sorted(self.sizes.items())
        ]
        return [*actions, SendMessage("welcome", [segments, self.was_complete], candidate.link)]

    def _drop_candidate(self, link: int) -> CloseConnection:
        del self.candidates[link]
        return CloseConnection(link)

    def _on_candidate_message(self, now_us: int, event: MessageReceived) -> list[Any]:
        try:
            messages.check(event.channel, event.row)
        except messages.InvalidMessage as error:
            return [LogLine(f"invalid message from a primary: {error}"), self._drop_candidate(event.link)]
        if event.channel == "beat":  # it compares the copy: answered without a lease
            return [SendMessage("ack", [0, 0, 0], event.link)]
        if event.channel not in STREAM_CHANNELS:
            return []
        if self.is_promoting and not self.is_shutdown_requested:
            return [self._drop_candidate(event.link)]  # its lease has to expire
        actions, records = self._accept_primary(self.candidates.pop(event.link))
        stream_actions = self._on_message(now_us, event)
        # A record that can't be written drops the actions behind it, and the copy's sizes count the change.
        changes = [action for action in stream_actions if isinstance(action, (WriteSegment, RemoveSegment))]
        rest = [action for action in stream_actions if action not in changes]
        return [*actions, *changes, *records, *rest]

    def _accept_primary(self, candidate: Candidate) -> tuple[list[Any], list[Any]]:
        """Take its connection for the primary's: the actions that end the others', then its records."""
        replaced = [CloseConnection(self.link)] if self.link else []
        others = [self._drop_candidate(link) for link in list(self.candidates)]
        self.link, self.primary_name = candidate.link, candidate.name
        self.position = self.received_bytes = self.latest_stamp = 0
        # A primary that may work without its standby may have done so: records may be missing here.
        self.has_all_records = self.has_all_records and candidate.is_strict and self.primary_is_strict
        self.primary_is_strict, self.lease_us = candidate.is_strict, candidate.lease_us
        self.fence = candidate.fence
        records: list[Any] = [
            Persist("sure", "", self.has_all_records),
            Persist("owner", "", [candidate.is_strict, self.lease_us]),
            Persist("name", "", candidate.name),
            Persist("fence", "", self.fence),
        ]
        if self.is_shutdown_requested:
            records.append(SendMessage("yield", [], candidate.link))
        return [*replaced, *others], records

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
        if self.link or self.candidates:  # the primary may be running: it shuts down and hands over
            self.is_shutdown_requested, self.shutdown_deadline_us = True, now_us + SHUTDOWN_GRACE_US
            return [
                LogLine("promotion requested: asking the primary to shut down"),
                *([SendMessage("yield", [], self.link)] if self.link else []),
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
            and not self.candidates
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
        close_actions += [self._drop_candidate(candidate) for candidate in list(self.candidates)]
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
