"""Codec of the simulator's binary frames and its settings JSON."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from madderbeam.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    HealthCheck,
    Log,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    Subscribe,
)
from madderbeam.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    HealthCheckEnded,
    ListUpdateKind,
    MessageArrived,
    MessageWithdrawn,
    PeerMessageReceived,
    ResponseStarted,
    TimerDue,
)
from madderbeam.policy.settings import DestinationKind, Idempotency, MessageClass, Settings, Tenant

BATCH_HEADER = struct.Struct(">IIQI")
REPLY_HEADER = struct.Struct(">III")
EVENT_SIZE, ACTION_SIZE, ENTRY_SIZE = 40, 16, 24
ANSWER = 8  # event code of the end of an attempt
ALL_PEERS = 0xFFFFFFFF
MAX_U32 = 0xFFFFFFFF

RESULTS = {
    200: AttemptResult.OK,
    502: AttemptResult.ERROR,
    429: AttemptResult.OVERLOADED,
    408: AttemptResult.TIMEOUT,
    521: AttemptResult.CONNECT_FAILED,
    520: AttemptResult.RESET,
    444: AttemptResult.CANCELLED,
    409: AttemptResult.NOT_SENT,
}
FORMS = (ListUpdateKind.DELTA, ListUpdateKind.SNAPSHOT, ListUpdateKind.CACHED, ListUpdateKind.FAILED)
STATES = (EndpointState.GONE, EndpointState.READY, EndpointState.DRAINING)
RATE = "x1"  # load report field: calls per second that a destination accepts from all couriers together
EFFECTS = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.WITH_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}

_ARRIVAL = struct.Struct(">xIBIQQIfH")
_HEALTH = struct.Struct(">xIHIHB4f")
_DISCOVERY = struct.Struct(">xBQB")
_REGISTER = struct.Struct(">xBII")
_BEGIN = struct.Struct(">xQII")
_ANSWER = struct.Struct(">xIBIHHIBIB4f")
_PEER = struct.Struct(">xIII")
_OPENED = struct.Struct(">xIIHBI")
_ENTRY = struct.Struct(">IHHBfQBH")
_U16, _U32, _U64 = struct.Struct(">xH"), struct.Struct(">xI"), struct.Struct(">xQ")


class Malformed(ValueError):
    """A frame that violates the protocol."""


class Begin:
    """Starts an instance with these settings and this seed."""

    __slots__ = ("seed", "settings")

    def __init__(self, seed: int, settings: Settings) -> None:
        self.seed, self.settings = seed, settings


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an endpoint reported, in the order of the fields in the settings."""

    endpoint: int
    values: tuple[float, ...]


class Shutdown:
    """Stops an instance, as if it was killed."""

    __slots__ = ()


def endpoint_id(address: int, port: int) -> int:
    """Return the endpoint number of an IPv4 address and a port."""
    return address << 16 | port


def _choice(table: Any, code: int, what: str) -> Any:
    try:
        return table[code]
    except (KeyError, IndexError):
        raise Malformed(f"unknown {what} {code}") from None


def _slice(tail: memoryview, offset: int, size: int, what: str) -> memoryview:
    if offset + size > len(tail):
        raise Malformed(f"{what} lies outside the tail: offset {offset}, {size} bytes, tail {len(tail)}")
    return tail[offset : offset + size]


def read_settings(text: bytes | memoryview | str) -> Settings:
    """Parse the settings JSON. Unknown keys are ignored; Malformed names a required key that is missing."""
    try:
        raw = json.loads(bytes(text) if isinstance(text, memoryview) else text)
    except ValueError as error:
        raise Malformed(f"settings are not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise Malformed("settings are not a JSON object")
    try:
        return _settings(raw)
    except KeyError as error:
        raise Malformed(f"settings lack the key {error.args[0]!r}") from None
    except (TypeError, AttributeError) as error:
        raise Malformed(f"settings are of the wrong form: {error}") from None


def _settings(raw: dict[str, Any]) -> Settings:
    family, limits, contract = raw.get("familyInfo", {}), raw["policyLimits"], raw["contract"]
    listed = raw.get("weightSource") in ("nominal", "rough")
    fields = tuple(str(f) for f in raw.get("report", {}).get("fields") or ())
    report = fields if RATE in fields and not listed else ()
    design = raw.get("design", {})  # set by the configuration tool only; the platform sends no such object
    classes = tuple(
        MessageClass(
            name=row.get("name", str(index)),
            latency_objective_us=int(row["goalTimeUs"]),
            deadline_us=int(row["deadlineUs"]),
            idempotency=_choice(EFFECTS, row["idempotency"], "classes.idempotency"),
            priority_weight=float(row.get("worth", 1.0)),
            late_value_share=float(row.get("lateShare", 0.0)),
            key_scope=row.get("keyScope", "all"),
            key_window_us=int(row.get("keyTtlUs", 0)),
            ordered=bool(row.get("sequential", False)),
        )
        for index, row in enumerate(raw["classes"])
    )
    names = raw.get("shapes") or ["any"]
    apart, batch = family.get("kindApart", []), family.get("kindBatch", [])
    kinds = tuple(
        DestinationKind(
            name,
            bool(apart[index]) if index < len(apart) else False,
            int(batch[index]) if index < len(batch) else 1,
        )
        for index, name in enumerate(names)
    )
    tenants = tuple(
        Tenant(
            tenant.get("name", ""), float(tenant.get("fraction", 0.0)), float(tenant.get("quotaPerS", 0.0))
        )
        for tenant in raw.get("tenants", [])
    )
    return Settings(
        classes=classes,
        kinds=kinds,
        tenants=tenants,
        max_in_flight=int(family["maxCalls"]),
        attempts_per_message=int(design.get("tries", 3)),
        backoff_base_us=int(design.get("baseUs", 100_000)),
        backoff_cap_us=int(design.get("capUs", 3_000_000)),
        destination_window=int(design.get("window", 0)),
        max_pending=int(limits["maxOpen"]),
        courier_count=int(raw.get("groupSize", 1)),
        courier_index=int(raw.get("me", 0)),
        max_attempts=int(limits["attemptsCap"]),
        allows_hedging=bool(limits.get("secondCopies", False)),
        allows_health_checks=bool(limits.get("probing", False)),
        allows_cancel=bool(limits.get("mayCancel", False)),
        allows_peer_messages=bool(limits.get("peers", False)),
        tick_us=int(raw.get("stepUs", 1000)),
        max_retry_after_us=int(limits.get("maxRetryAfterUs", 0)) if limits.get("retryAfter", False) else 0,
        connection_idle_us=int(limits["connIdleUs"]),
        connect_timeout_us=int(limits["connectTimeoutUs"]),
        drain_grace_us=int(contract["drainGraceUs"]),
        cold_capacity_share=float(contract["coldShare"]),
        warm_up_us=int(contract["coldUs"]),
        overload_multiple=float(contract["fallMultiple"]),
        overload_window_us=int(contract["fallUs"]),
        order_key_cooldown_us=int(contract.get("keyRestUs", 0)),
        response_slack_us=int(contract.get("answerSlackUs", 0)),
        list_on_request=raw.get("membershipMode") == "on_request",
        rates_listed=listed or bool(report),
        load_report_fields=report,
        over_quota_weight=float(raw.get("overShareWorth", 1.0)),
        late_value_halves=family.get("late") == "halves",
        clients_mark_retries=bool(raw.get("clients", {}).get("marksRetry", False)),
        overload_penalty=float(family.get("refusedPrice", 0.0)),
        zone_costs=tuple(float(f) for f in family.get("carriage", [])),
    )


def read_entries(data: memoryview) -> tuple[EndpointEntry, ...]:
    """Decode the entries of an endpoint list."""
    return tuple(
        EndpointEntry(
            endpoint_id(address, port), dest, _choice(STATES, state, "endpoint condition"), rate, kind, zone
        )
        for address, port, dest, state, rate, _, kind, zone in _ENTRY.iter_unpack(data)
    )


def split_header(header: bytes) -> tuple[int, int, int, int]:
    """Decode a batch header: sequence number, body length, clock in us, record count."""
    if len(header) != BATCH_HEADER.size:
        raise Malformed(f"short batch header: {len(header)} of {BATCH_HEADER.size} bytes")
    return BATCH_HEADER.unpack(header)


def read_events(
    body: bytes, count: int, pages: dict[int, tuple[EndpointEntry, ...]]
) -> Iterator[tuple[int, Any]]:
    """Yield (instance, event) for each record in order; `pages` keeps numbered lists across batches."""
    if count * EVENT_SIZE > len(body):
        raise Malformed(f"{count} records do not fit a body of {len(body)} bytes")
    view = memoryview(body)
    tail, instance = view[count * EVENT_SIZE :], None
    for record_offset in range(0, count * EVENT_SIZE, EVENT_SIZE):
        code = view[record_offset]
        if code == 1:
            (instance,) = _U16.unpack_from(view, record_offset)
            continue
        if code == 6:
            page, offset, entry_count = _REGISTER.unpack_from(view, record_offset)
            pages[page] = read_entries(_slice(tail, offset, entry_count * ENTRY_SIZE, "a list"))
            continue
        if instance is None:
            raise Malformed(f"record {code} before any instance was named")
        if code == ANSWER and (load := read_load(view, record_offset)):
            yield instance, load
        yield instance, _event(code, view, record_offset, tail, pages)


def read_load(view: memoryview, record_offset: int) -> LoadReport | None:
    """Return the load report in the record of an ended attempt, None if there is none."""
    _, _, address, port, *_, value_count, value_1, value_2, value_3, value_4 = _ANSWER.unpack_from(
        view, record_offset
    )
    return (
        LoadReport(endpoint_id(address, port), (value_1, value_2, value_3, value_4)[:value_count])
        if value_count
        else None
    )


def _event(code: int, view: memoryview, record_offset: int, tail: memoryview, pages: dict[int, Any]) -> Any:
    if code == 2:
        message, class_index, tenant, key, deadline_us, _, dest, flags = _ARRIVAL.unpack_from(
            view, record_offset
        )
        return MessageArrived(message, class_index, int(dest), deadline_us, tenant, key, bool(flags & 2))
    if code == 3:
        latency_us, result, address, port, *_ = _HEALTH.unpack_from(view, record_offset)
        return HealthCheckEnded(endpoint_id(address, port), _choice(RESULTS, result, "result"), latency_us)
    if code == 4:
        return TimerDue(_U64.unpack_from(view, record_offset)[0])
    if code == 5:
        page, _, form = _DISCOVERY.unpack_from(view, record_offset)
        kind = _choice(FORMS, form, "list form")
        if kind is ListUpdateKind.FAILED:
            return EndpointListUpdate(kind)
        if page not in pages:
            raise Malformed(f"list {page} was never declared")
        return EndpointListUpdate(kind, pages[page])
    if code == 7:
        seed, offset, size = _BEGIN.unpack_from(view, record_offset)
        return Begin(seed, read_settings(_slice(tail, offset, size, "the settings")))
    if code == ANSWER:
        message, attempt, address, port, result, latency_us, is_completed, retry_after_ms, *_ = (
            _ANSWER.unpack_from(view, record_offset)
        )
        kind = _choice(RESULTS, result, "result")
        retry_after_us = retry_after_ms * 1000 if kind is AttemptResult.OVERLOADED else 0
        return AttemptEnded(
            message, attempt, endpoint_id(address, port), kind, latency_us, bool(is_completed), retry_after_us
        )
    if code == 9:
        return Shutdown()
    if code == 10:
        return MessageWithdrawn(_U32.unpack_from(view, record_offset)[0])
    if code == 11:
        peer, offset, size = _PEER.unpack_from(view, record_offset)
        return PeerMessageReceived(peer, bytes(_slice(tail, offset, size, "a note")))
    if code == 12:
        message, address, port, attempt, _ = _OPENED.unpack_from(view, record_offset)
        return ResponseStarted(message, attempt, endpoint_id(address, port))
    raise Malformed(f"unknown event code {code}")


class Reply:
    """Collects the actions of one batch and encodes them as a frame."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = bytearray()

    def _add(self, form: str, *values: Any) -> None:
        self.records.append(struct.pack(">" + form, *values).ljust(ACTION_SIZE, b"\0"))

    def _place(self, data: bytes) -> tuple[int, int]:
        offset = len(self.tail)
        self.tail += data
        return offset, len(data)

    def instance(self, number: int) -> None:
        """Name the instance of the records that follow."""
        self._add("BH", 13, number)

    def fault(self, text: str) -> None:
        """Report an exception of the instance."""
        self._add("BII", 10, *self._place(text.encode()))

    def action(self, action: Action) -> None:
        """Add an action of the instance."""
        if isinstance(action, Send):
            self._add(
                "BIIHI",
                1,
                action.message,
                action.endpoint >> 16,
                action.endpoint & 0xFFFF,
                min(action.timeout_us, MAX_U32),
            )
        elif isinstance(action, SetTimer):
            self._add("BIQ", 5, min(action.delay_us, MAX_U32), action.token)
        elif isinstance(action, Reject):
            self._add("BII", 2, action.message, min(action.retry_after_us, MAX_U32))
        elif isinstance(action, Fail):
            self._add("BI", 3, action.message)
        elif isinstance(action, CancelAttempt):
            self._add("BIB", 4, action.message, action.attempt)
        elif isinstance(action, HealthCheck):
            self._add("BIH", 6, action.endpoint >> 16, action.endpoint & 0xFFFF)
        elif isinstance(action, CloseIdleConnections):
            self._add("BIH", 7, action.endpoint >> 16, action.endpoint & 0xFFFF)
        elif isinstance(action, SendPeerMessage):
            self._add("BIII", 8, ALL_PEERS if action.peer is None else action.peer, *self._place(action.data))
        elif isinstance(action, Log):
            self._add("BII", 9, *self._place(action.text.encode()))
        elif isinstance(action, Subscribe):
            self._add("BB", 11, int(action.on))
        else:
            self._add("B", 12)

    def pack(self, sequence: int) -> bytes:
        """Encode the reply to the batch with this sequence number."""
        body = b"".join(self.records) + bytes(self.tail)
        return REPLY_HEADER.pack(sequence, len(self.records), len(body)) + body
