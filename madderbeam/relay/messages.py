"""The messages between origin and relay, and their form as rows with a bound on every field."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from madderbeam.membership.values import MAX_NAME_CHARS, MemberId, Row
from madderbeam.relay.values import DeliveryIdempotency, DeliveryOutcome, Publication, Result

MAX_BODY_BYTES = 65_536  # bytes; the limit of the client protocol
MAX_TEXT_CHARACTERS = 256  # characters of an id, key, order, class or tenant
MAX_NUMBER = 2**63 - 1
MAX_DESTINATIONS = 20_000  # destinations of one entry
MAX_REPORTS_PER_BATCH = 256  # publications in a batch of reports
MAX_FAILURES_PER_REPORT = 256  # failed destinations listed in one report; the others are only counted
MAX_FAILURES_PER_BATCH = 2_048  # failed destinations listed in one batch


@dataclass(frozen=True)
class Entry:
    """One publication for a site. `stream` is a number of the origin that grows with each link and each
    restart of the stream; `seq` counts from 1 in it. `remaining_us` is the time to the deadline when it
    was sent; the publication's own `deadline_us` is 0."""

    stream: int
    seq: int
    publication: Publication
    remaining_us: int


@dataclass(frozen=True)
class Ack:
    """Cumulative ack: all entries up to `seq` that were not rejected are in the relay's journal and custody.
    `credit_entries` and `credit_bytes` are how much may be in flight beyond `seq`."""

    stream: int
    seq: int
    credit_entries: int
    credit_bytes: int


@dataclass(frozen=True)
class Nak:
    """This entry was rejected and won't be executed here: send it again after `retry_after_us`, or, with
    `try_another_relay`, to another relay of the site."""

    stream: int
    seq: int
    retry_after_us: int
    reason: str
    try_another_relay: bool = False


@dataclass(frozen=True)
class DeliveryReport:
    """The state of a publication's deliveries at a relay; a later report replaces an earlier one. `pending`:
    not completed yet; `failures`: the first MAX_FAILURES_PER_REPORT that were not delivered."""

    name: str
    total: int
    delivered: int
    pending: int
    failures: tuple[DeliveryOutcome, ...] = ()
    reason: str = ""


@dataclass(frozen=True)
class ReportBatch:
    """A batch of delivery reports, with a number that the relay chose."""

    number: int
    reports: tuple[DeliveryReport, ...]


@dataclass(frozen=True)
class ReportBatchAck:
    """The origin has this batch: it need not be sent again."""

    number: int


Message = Entry | Ack | Nak | ReportBatch | ReportBatchAck


def to_row(message: Message) -> Row:
    """A message as a row of lists, numbers, strings and bytes, in the order of the wire format."""
    if isinstance(message, Entry):
        publication = message.publication
        return [
            "e",
            message.stream,
            message.seq,
            publication.id,
            publication.origin.site,
            publication.origin.name,
            publication.topic,
            publication.dest,
            publication.message_class,
            publication.idempotency.value,
            publication.tenant,
            publication.idempotency_key,
            publication.order_key,
            publication.body,
            message.remaining_us,
            publication.table_number,
        ]
    if isinstance(message, Ack):
        return ["a", message.stream, message.seq, message.credit_entries, message.credit_bytes]
    if isinstance(message, Nak):
        return [
            "n",
            message.stream,
            message.seq,
            message.retry_after_us,
            message.reason,
            int(message.try_another_relay),
        ]
    if isinstance(message, ReportBatch):
        return ["d", message.number, [_report_row(row) for row in message.reports]]
    return ["k", message.number]


def _report_row(report: DeliveryReport) -> Row:
    failures = [[failure.dest, int(failure.result)] for failure in report.failures]
    return [report.name, report.total, report.delivered, report.pending, failures, report.reason]


def from_row(row: Row) -> Message:
    """The message of a row. Raises ValueError that names the field which is missing or out of bounds."""
    kind = row[0] if isinstance(row, list) and row else None
    if not isinstance(kind, str) or kind not in _READERS:
        raise ValueError(f"kind: must be one of {', '.join(_READERS)}, not {kind!r:.40}")
    return _READERS[kind](_Fields(row[1:]))


class _Fields:
    """Reads a row's fields one after the other and checks the bounds of each; errors are ValueError."""

    def __init__(self, row: Row) -> None:
        self.row, self.at = row, 0

    def _next(self, name: str) -> Any:
        if self.at >= len(self.row):
            raise ValueError(f"{name}: missing")
        self.at += 1
        return self.row[self.at - 1]

    def number(self, name: str, most: int = MAX_NUMBER, least: int = 0) -> int:
        """The next field, an integer; a bool is none."""
        value = self._next(name)
        if type(value) is not int or not least <= value <= most:
            raise ValueError(f"{name}: must be an integer from {least} to {most}, not {value!r:.40}")
        return value

    def text(self, name: str, most: int = MAX_TEXT_CHARACTERS, least: int = 0) -> str:
        """The next field, a string of that many characters."""
        value = self._next(name)
        if not isinstance(value, str) or not least <= len(value) <= most:
            raise ValueError(f"{name}: must be text of {least} to {most} characters, not {value!r:.40}")
        return value

    def data(self, name: str, most: int) -> bytes:
        """The next field, of at most `most` bytes."""
        value = self._next(name)
        if not isinstance(value, bytes) or len(value) > most:
            raise ValueError(f"{name}: must be at most {most} bytes, not {value!r:.40}")
        return value

    def rows(self, name: str, most: int) -> list[_Fields]:
        """The next field, a list of at most `most` rows."""
        value = self._next(name)
        if not isinstance(value, list) or len(value) > most or not all(isinstance(v, list) for v in value):
            raise ValueError(f"{name}: must be a list of at most {most} rows, not {value!r:.40}")
        return [_Fields(v) for v in value]

    def done(self) -> None:
        """Checks that no field is left."""
        if self.at != len(self.row):
            raise ValueError(f"row: must have {self.at} fields, not {len(self.row)}")


def _entry(fields: _Fields) -> Entry:
    stream, seq = fields.number("stream", least=1), fields.number("seq", least=1)
    publication_id = fields.text("id", least=1)
    origin = MemberId(
        fields.text("origin.site", MAX_NAME_CHARS, 1), fields.text("origin.name", MAX_NAME_CHARS, 1)
    )
    topic, dest, message_class = (
        fields.text("topic", MAX_NAME_CHARS),
        fields.number("dest", least=-1),
        fields.text("class"),
    )
    idempotency, tenant, key, order_key = (
        fields.text("effect"),
        fields.text("tenant"),
        fields.text("key"),
        fields.text("order"),
    )
    body, remaining_us = fields.data("body", MAX_BODY_BYTES), fields.number("left_us")
    table = fields.number("table")
    fields.done()
    if idempotency not in {member.value for member in DeliveryIdempotency}:
        raise ValueError(f"effect: must be safe, keyed or unsafe, not {idempotency!r:.40}")
    if (dest < 0) != bool(topic):
        raise ValueError(f"topic: must be set exactly when dest is -1, not {topic!r} with dest {dest}")
    publication = Publication(
        publication_id,
        origin,
        topic,
        dest,
        message_class,
        DeliveryIdempotency(idempotency),
        tenant,
        key,
        order_key,
        body,
        0,
        table,
    )
    return Entry(stream, seq, publication, remaining_us)


def _ack(fields: _Fields) -> Ack:
    ack = Ack(
        fields.number("stream", least=1),
        fields.number("seq"),
        fields.number("entries"),
        fields.number("bytes"),
    )
    fields.done()
    return ack


def _nak(fields: _Fields) -> Nak:
    nak = Nak(
        fields.number("stream", least=1),
        fields.number("seq", least=1),
        fields.number("after_us"),
        fields.text("why"),
        bool(fields.number("keep_out", 1)),
    )
    fields.done()
    return nak


def _report_batch(fields: _Fields) -> ReportBatch:
    batch = ReportBatch(
        fields.number("number"),
        tuple(_report(row) for row in fields.rows("rows", MAX_REPORTS_PER_BATCH)),
    )
    fields.done()
    if sum(len(row.failures) for row in batch.reports) > MAX_FAILURES_PER_BATCH:
        raise ValueError(f"ends: must be at most {MAX_FAILURES_PER_BATCH} in a batch")
    return batch


def _report(fields: _Fields) -> DeliveryReport:
    name = fields.text("name", 2 * MAX_NAME_CHARS + MAX_TEXT_CHARACTERS + 2, 1)
    total = fields.number("total", MAX_DESTINATIONS)
    delivered = fields.number("delivered", total)
    pending = fields.number("left", total - delivered)
    failures = tuple(_outcome(row) for row in fields.rows("ends", MAX_FAILURES_PER_REPORT))
    reason = fields.text("why")
    fields.done()
    if len(failures) > total - delivered - pending:
        raise ValueError(
            f"ends: must be at most {total - delivered - pending} of {total}, not {len(failures)}"
        )
    return DeliveryReport(name, total, delivered, pending, failures, reason)


def _outcome(fields: _Fields) -> DeliveryOutcome:
    outcome = DeliveryOutcome(fields.number("dest"), Result(fields.number("result", max(Result))))
    fields.done()
    return outcome


def _report_batch_ack(fields: _Fields) -> ReportBatchAck:
    batch_ack = ReportBatchAck(fields.number("number"))
    fields.done()
    return batch_ack


_READERS: dict[str, Callable[[_Fields], Message]] = {
    "e": _entry,
    "a": _ack,
    "n": _nak,
    "d": _report_batch,
    "k": _report_batch_ack,
}
