"""The Kafka front: what each call of the subset does. No I/O: answers go to callbacks, time comes from a
clock.

One courier is one broker, node 0, that leads all partitions. A topic stands for a class (`topics`); what is
produced there is handed to admission like a message of any other front, and the answer to Produce is told
once all of its records are answered: taken on, or refused, or turned down.
"""

from __future__ import annotations

import hmac
import secrets
from collections import deque
from collections.abc import Callable, Generator, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from madderbeam.policy.settings import MessageClass
from madderbeam.transport.kafka.finals import Finals
from madderbeam.transport.kafka.groups import Groups
from madderbeam.transport.kafka.producers import REFUSED, Producers, new_producer_id
from madderbeam.transport.kafka.records import (
    RECORDS_PER_SLICE,
    BadBatch,
    Batch,
    declared_records,
    is_one_batch,
    read_in_slices,
)
from madderbeam.transport.kafka.schemas import (
    API_VERSIONS,
    APIS,
    SASL_AUTHENTICATE,
    SASL_HANDSHAKE,
    Api,
    Code,
)
from madderbeam.transport.kafka.topics import ANY, Topic, put, topic
from madderbeam.transport.put_request import BadRequest, Put
from madderbeam.transport.reply_handle import ReplyHandle

BAD = {
    "corrupt": Code.CORRUPT_MESSAGE,
    "format": Code.UNSUPPORTED_FOR_MESSAGE_FORMAT,
    "compression": Code.UNSUPPORTED_COMPRESSION_TYPE,
    "large": Code.MESSAGE_TOO_LARGE,
}
MOST_WAIT_MS = 30_000  # of a fetch
MOST_TOPICS = 1000
MAX_QUEUED_BYTES = 8_000_000  # of requests with large batches that wait for the one that is read
BATCH_END = "batch end"  # yielded where nothing of a request is held but what it came as
Slices = Generator[str | None, None, None]
Done = Callable[[dict[str, Any]], None]


@dataclass(frozen=True, slots=True)
class Setup:
    """What the front is told. `users`: passwords by name for SASL PLAIN, none: nobody has to log in."""

    host: str
    port: int
    classes: tuple[MessageClass, ...]
    tenants: frozenset[str] = frozenset()
    users: Mapping[str, str] = field(default_factory=dict)
    partitions: int = 1
    finals: str = "finals"


class Cancellable(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Do not call."""
        ...


@dataclass
class Session:
    """One connection, as far as calls depend on it."""

    user: str = ""
    shook_hands: bool = False
    alive: Callable[[], bool] = lambda: True
    fetch_timers: dict[int, Cancellable] = field(default_factory=dict)  # of its fetches that wait


class Front:
    """Answers calls. `hand_in` and `validate` are admission's; `later(seconds, action)` calls back.

    `validate` raises BadRequest for a message that admission would not accept at any time.
    """

    def __init__(
        self,
        setup: Setup,
        hand_in: Callable[[Put, ReplyHandle], None],
        now: Callable[[], float],
        wall_ms: Callable[[], int],
        later: Callable[[float, Callable[[], None]], Cancellable],
        validate: Callable[[Put], None],
    ) -> None:
        self.setup, self.hand_in, self.now, self.wall_ms, self.later = setup, hand_in, now, wall_ms, later
        self.validate = validate
        self.classes = {c.name: c for c in setup.classes}
        self.producers = Producers()
        self.queued: deque[tuple[Session, int, Slices]] = deque()  # the first of them is being read
        self.queued_bytes = 0
        self.finals = Finals()
        self.groups = Groups(lambda: f"consumer-{secrets.token_hex(8)}")
        self.saved: Callable[[], None] = lambda: None  # offsets have changed
        self.waiting: dict[int, Callable[[], None]] = {}  # fetches that wait for a final
        self.count = 0
        self.offsets: dict[tuple[str, int], int] = {}
        self.timer_at = 0.0
        self.calls: dict[int, Callable[[Session, int, dict[str, Any], Done], None]] = {
            0: self._produce,
            1: self._fetch,
            2: self._list_offsets,
            3: self._metadata,
            8: self._commit,
            9: self._committed,
            10: self._coordinator,
            11: self._join,
            12: self._heartbeat,
            13: self._leave,
            14: self._sync,
            17: self._handshake,
            18: self._versions,
            22: self._producer_id,
            36: self._authenticate,
        }

    def call(self, session: Session, api: Api, version: int, request: dict[str, Any], done: Done) -> bool:
        """Whether it may be answered: a connection that has not logged in may do no more than that."""
        if (
            self.setup.users
            and not session.user
            and api not in (API_VERSIONS, SASL_HANDSHAKE, SASL_AUTHENTICATE)
        ):
            return False
        self.calls[api.key](session, version, request, done)
        return True

    # Who and where

    def _versions(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        done(versions(Code.NONE))

    def _handshake(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        session.shook_hands = r["mechanism"] == "PLAIN"
        code = Code.NONE if session.shook_hands else Code.UNSUPPORTED_SASL_MECHANISM
        done({"error_code": code, "mechanisms": ["PLAIN"]})

    def _authenticate(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        """RFC 4616: authorization identity, name and password, with zero bytes between."""
        parts = r["auth_bytes"].split(b"\0")
        name, password = (parts[1], parts[2]) if len(parts) == 3 else (b"", b"")
        wanted = self.setup.users.get(name.decode("utf-8", "replace"))
        good = hmac.compare_digest((wanted or secrets.token_hex(8)).encode(), password) and wanted is not None
        code, text = Code.NONE, None
        if not session.shook_hands:
            code, text = Code.ILLEGAL_SASL_STATE, "SaslHandshake comes first"
        elif not good:
            code, text = Code.SASL_AUTHENTICATION_FAILED, "name or password is wrong"
        else:
            session.user = name.decode()
        done({"error_code": code, "error_message": text, "auth_bytes": b""})

    def _names(self) -> list[str]:
        return [*self.classes, ANY, self.setup.finals]

    def _known(self, name: str) -> bool:
        return name == self.setup.finals or topic(name, self.classes) is not None

    def _partitions(self, name: str) -> int:
        return 1 if name == self.setup.finals else self.setup.partitions

    def _metadata(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        asked = r["topics"]
        if asked is None or (version == 0 and not asked):
            names = self._names()
        else:
            names = [t["name"] for t in asked[:MOST_TOPICS]]
        topics = []
        for name in names:
            if not self._known(name):
                topics.append({"error_code": Code.UNKNOWN_TOPIC_OR_PARTITION, "name": name, "partitions": []})
                continue
            parts = [
                {"error_code": 0, "index": n, "leader_id": 0, "replicas": [0], "isr": [0]}
                for n in range(self._partitions(name))
            ]
            topics.append({"error_code": 0, "name": name, "partitions": parts})
        here = {"node_id": 0, "host": self.setup.host, "port": self.setup.port}
        done({"brokers": [here], "cluster_id": "madderbeam", "controller_id": 0, "topics": topics})

    def _coordinator(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        if r["key_type"]:  # of transactions
            done(
                {
                    "error_code": Code.TRANSACTIONAL_ID_AUTHORIZATION_FAILED,
                    "node_id": -1,
                    "host": "",
                    "port": -1,
                    "error_message": "there are no transactions",
                }
            )
            return
        done({"error_code": 0, "node_id": 0, "host": self.setup.host, "port": self.setup.port})

    # Producing

    def _producer_id(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        if r["transactional_id"] is not None:
            done(
                {
                    "error_code": Code.TRANSACTIONAL_ID_AUTHORIZATION_FAILED,
                    "producer_id": -1,
                    "producer_epoch": -1,
                }
            )
        else:
            done({"error_code": 0, "producer_id": new_producer_id(), "producer_epoch": 0})

    def _produce(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        rows = [(t["name"], p) for t in r["topics"] for p in t["partitions"]]
        size = sum(len(row["records"] or b"") for _, row in rows)
        whole = _Produced(len(rows), done)
        if not rows:
            done({"topics": []})
        elif sum(1 + declared_records(row["records"] or b"") for _, row in rows) <= RECORDS_PER_SLICE:
            for _ in self._produce_rows(session, r, rows, whole):
                pass
        elif self.queued_bytes + size > MAX_QUEUED_BYTES:
            for name, row in rows:
                whole.part(name, row["index"])(_Outcome(REFUSED, "refused: come again"))
        else:
            self.queued.append((session, size, self._produce_rows(session, r, rows, whole)))
            self.queued_bytes += size
            if len(self.queued) == 1:
                self._next_slice()

    def _next_slice(self) -> None:
        """Go on with the large batch that is being read, one at a time, then with the next request's.

        A pause as long as the slice took follows it: large batches take half of the process's time at most.
        """
        session, size, slices = self.queued[0]
        started_s = self.now()
        step = next(slices, self) if session.alive() else self
        if step is self:
            slices.close()
            self.queued.popleft()
            self.queued_bytes -= size
        elif step is BATCH_END:
            self.queued.rotate(-1)
        if self.queued:
            pause_s = self.now() - started_s
            self.later(pause_s, self._next_slice)

    def _produce_rows(
        self, session: Session, r: dict[str, Any], rows: Iterable[Any], whole: _Produced
    ) -> Slices:
        for name, row in rows:
            told = whole.part(name, row["index"])
            if r["transactional_id"] is not None:
                told(_Outcome(Code.TRANSACTIONAL_ID_AUTHORIZATION_FAILED, "there are no transactions"))
            elif r["acks"] not in (-1, 0, 1):
                told(_Outcome(Code.INVALID_REQUIRED_ACKS, "acks: 0, 1 or all"))
            else:
                yield from self._partition(session, name, row["index"], row["records"] or b"", told)
                yield BATCH_END

    def _partition(self, session: Session, name: str, index: int, data: bytes, told: _Told) -> Slices:
        where = topic(name, self.classes)
        if where is None or not 0 <= index < self.setup.partitions:
            told(_Outcome(Code.UNKNOWN_TOPIC_OR_PARTITION, "no such topic or partition"))
            return
        try:
            batches = (yield from read_in_slices(data)) if is_one_batch(data) else []
        except BadBatch as error:
            told(_Outcome(BAD[error.kind], str(error)))
            return
        if not batches or not batches[0].records:
            told(_Outcome(Code.INVALID_RECORD, "one batch with records is wanted"))
            return
        yield from self._batch(session, where, index, batches[0], told)

    def _batch(self, session: Session, where: Topic, index: int, batch: Batch, told: _Told) -> Slices:
        if batch.transactional:
            told(_Outcome(Code.TRANSACTIONAL_ID_AUTHORIZATION_FAILED, "there are no transactions"))
            return
        verdict = self.producers.check(where.name, index, batch, self.now())
        if not verdict.is_new:
            told(_Outcome(verdict.code, "", verdict.offset))
            return
        tenants = self.setup.tenants
        tenant = session.user if session.user in tenants else next(iter(tenants)) if len(tenants) == 1 else ""
        puts, bad = [], []
        for n, record in enumerate(batch.records):
            if n % RECORDS_PER_SLICE == RECORDS_PER_SLICE - 1:
                yield None
            try:
                message = put(where, index, batch, n, record, self.classes, tenant, secrets.token_hex(8))
                self.validate(message)
                puts.append(message)
            except BadRequest as error:
                bad.append((n, str(error)))
        if bad:  # told before any of the batch is handed in: none of it was taken
            self.producers.failed(where.name, index, batch, sequences_used=False)
            told(_Outcome(Code.INVALID_RECORD, "none of the batch was taken", -1, bad))
            return
        offset = self.offsets.setdefault((where.name, index), 0)
        yield from _Handed(self, where.name, index, batch, offset, told, session.alive).hand_in(puts)

    # Reading finals

    def _list_offsets(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        topics = []
        for t in r["topics"]:
            rows = []
            for p in t["partitions"]:
                row: dict[str, Any] = {"index": p["index"], "error_code": 0, "timestamp": -1, "offset": 0}
                if not self._known(t["name"]) or not 0 <= p["index"] < self._partitions(t["name"]):
                    row |= {"error_code": Code.UNKNOWN_TOPIC_OR_PARTITION, "offset": -1}
                elif t["name"] == self.setup.finals:
                    row["offset"], row["timestamp"] = self.finals.at(p["timestamp"])
                rows.append(row)
            topics.append({"name": t["name"], "partitions": rows})
        done({"topics": topics})

    def _fetch(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        """Answered as soon as there is anything to tell, or after the client's own time."""
        answer, empty = self._fetched(r)
        wait = min(MOST_WAIT_MS, max(0, r["max_wait_ms"])) / 1e3
        if not empty or not wait:
            done(answer)
            return
        self.count += 1
        number = self.count

        def tell() -> None:
            if self.waiting.pop(number, None):
                session.fetch_timers.pop(number).cancel()
                done(self._fetched(r)[0])

        self.waiting[number] = tell
        session.fetch_timers[number] = self.later(wait, tell)

    def leave(self, session: Session) -> None:
        """Its connection is closed: nobody waits for its fetches any more."""
        for number, timer in session.fetch_timers.items():
            timer.cancel()
            self.waiting.pop(number, None)
        session.fetch_timers.clear()

    def _fetched(self, r: dict[str, Any]) -> tuple[dict[str, Any], bool]:
        topics, empty, left = [], True, max(1, r["max_bytes"] or 1 << 20)
        for t in r["topics"]:
            rows = []
            for p in t["partitions"]:
                row: dict[str, Any] = {
                    "index": p["index"],
                    "error_code": 0,
                    "high_watermark": 0,
                    "last_stable_offset": 0,
                    "log_start_offset": 0,
                    "aborted": None,
                    "records": b"",
                }
                if not self._known(t["name"]) or not 0 <= p["index"] < self._partitions(t["name"]):
                    row |= {"error_code": Code.UNKNOWN_TOPIC_OR_PARTITION, "high_watermark": -1}
                elif t["name"] == self.setup.finals:
                    most = min(left, max(1, p["max_bytes"]))
                    row |= self._lines(p["fetch_offset"], most)
                    left = max(1, left - len(row["records"]))
                empty = empty and not row["records"] and not row["error_code"]
                rows.append(row)
            topics.append({"name": t["name"], "partitions": rows})
        return {"error_code": 0, "session_id": 0, "topics": topics}, empty

    def _lines(self, offset: int, most: int) -> dict[str, Any]:
        finals = self.finals
        row: dict[str, Any] = {
            "high_watermark": finals.end,
            "last_stable_offset": finals.end,
            "log_start_offset": finals.begin,
        }
        if not finals.begin <= offset <= finals.end:
            return row | {"error_code": Code.OFFSET_OUT_OF_RANGE}
        return row | {"records": finals.batch(offset, most)}

    def told_finals(self, data: bytes, position: int | None = None) -> int:
        """Lines that the feed has written, at this position of its file; how many. Fetches that wait are
        answered."""
        count = self.finals.add(data, self.wall_ms(), position)
        for tell in list(self.waiting.values()) if count else ():
            tell()
        return count

    # Groups

    def _join(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        self.groups.join(r, version, self.now(), done)
        self.look()

    def _sync(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        self.groups.sync(r, self.now(), done)

    def _heartbeat(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        done({"error_code": self.groups.heartbeat(r, self.now())})

    def _leave(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        done({"error_code": self.groups.leave(r, self.now())})
        self.look()

    def _commit(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        code = self.groups.commit(r, self.now())
        if not code:
            self.saved()
        done(
            {
                "topics": [
                    {
                        "name": t["name"],
                        "partitions": [{"index": p["index"], "error_code": code} for p in t["partitions"]],
                    }
                    for t in r["topics"]
                ]
            }
        )

    def _committed(self, session: Session, version: int, r: dict[str, Any], done: Done) -> None:
        asked = r["topics"]
        if asked is None:
            asked = [{"name": self.setup.finals, "partitions": [0]}]
        done(
            {
                "error_code": 0,
                "topics": [
                    {
                        "name": t["name"],
                        "partitions": [
                            {
                                "index": n,
                                "offset": self.groups.committed(r["group_id"], t["name"], n),
                                "metadata": "",
                                "error_code": 0,
                            }
                            for n in t["partitions"]
                        ],
                    }
                    for t in asked
                ],
            }
        )

    def look(self) -> None:
        """Let the groups' time pass, and look again as the next thing of theirs is due."""
        now = self.now()
        self.groups.due(now)
        at = self.groups.next_at()
        if at is not None and (self.timer_at <= now or at < self.timer_at):
            self.timer_at = max(at, now + 0.01)
            self.later(self.timer_at - now, self._due)

    def _due(self) -> None:
        if self.timer_at <= self.now() + 1e-3:
            self.timer_at = 0.0
            self.look()


def versions(code: int) -> dict[str, Any]:
    """The answer to ApiVersions: what is spoken here."""
    return {
        "error_code": code,
        "api_keys": [{"key": a.key, "least": a.least, "most": a.most} for a in APIS.values()],
    }


@dataclass(frozen=True)
class _Outcome:
    """Of one partition of a Produce; `offset` is that of a batch taken, `wait_ms` a time to come back."""

    code: int
    text: str = ""
    offset: int = -1
    errors: Any = ()
    wait_ms: int = 0


_Told = Callable[[_Outcome], None]


class _Produced:
    """Collects the partitions' outcomes of one Produce, and answers after the last."""

    def __init__(self, left: int, done: Done) -> None:
        self.left, self.done = left, done
        self.topics: dict[str, list[dict[str, Any]]] = {}
        self.wait_ms = 0

    def part(self, name: str, index: int) -> _Told:
        row: dict[str, Any] = {
            "index": index,
            "base_offset": -1,
            "log_append_time_ms": -1,
            "log_start_offset": 0,
        }
        self.topics.setdefault(name, []).append(row)

        def told(outcome: _Outcome) -> None:
            row["error_code"], row["base_offset"] = outcome.code, outcome.offset
            row["error_message"] = outcome.text or None
            row["record_errors"] = [{"batch_index": n, "message": text} for n, text in outcome.errors]
            self.wait_ms = max(self.wait_ms, outcome.wait_ms)
            self.left -= 1
            if not self.left:
                self.done(
                    {
                        "topics": [{"name": n, "partitions": rows} for n, rows in self.topics.items()],
                        "throttle_time_ms": self.wait_ms,
                    }
                )

        return told


class _Handed:
    """A batch that is handed in: answered once each of its records is.

    If some are refused and others taken: a producer whose records are known again by their ids comes with the
    whole batch again; any other is told which ones failed, since the rest is taken.
    """

    def __init__(
        self,
        front: Front,
        name: str,
        index: int,
        batch: Batch,
        offset: int,
        told: _Told,
        alive: Callable[[], bool],
    ) -> None:
        self.front, self.name, self.index, self.batch, self.alive = front, name, index, batch, alive
        self.offset, self.told = offset, told
        self.left = len(batch.records)
        self.wait_us = -1
        self.refused: list[tuple[int, str]] = []
        self.failed: list[tuple[int, str]] = []

    def hand_in(self, puts: list[Put]) -> Slices:
        for n, each in enumerate(puts):
            if n % RECORDS_PER_SLICE == RECORDS_PER_SLICE - 1:
                yield None
            place = _Place(self, n)
            try:
                self.front.hand_in(each, place)
            except BadRequest as error:
                place.failed(str(error))

    def answered(self) -> None:
        self.left -= 1
        if not self.left:
            self.told(self._outcome())

    def _outcome(self) -> _Outcome:
        producers, batch = self.front.producers, self.batch
        ids_are_known_again = batch.producer_id >= 0 or all(
            any(name == "id" for name, _ in record.headers) for record in batch.records
        )
        wait_ms = max(0, -(-self.wait_us // 1000))
        if self.failed:
            # One that failed may have been recorded all the same, under the id that its sequence gives.
            producers.failed(self.name, self.index, batch, sequences_used=True)
            errors = sorted(self.failed + self.refused)
            return _Outcome(Code.INVALID_RECORD, "some of the batch failed", -1, errors, wait_ms)
        if self.refused and (ids_are_known_again or len(self.refused) == len(batch.records)):
            producers.refused(self.name, self.index, batch, self.front.now() + wait_ms / 1e3)
            return _Outcome(REFUSED, "refused: come again", -1, (), wait_ms)
        if self.refused:
            text = "a part of the batch was refused, the rest is taken"
            return _Outcome(Code.INVALID_RECORD, text, -1, self.refused, wait_ms)
        self.front.offsets[self.name, self.index] += len(batch.records)
        producers.accepted(self.name, self.index, batch, self.offset)
        return _Outcome(Code.NONE, "", self.offset)


class _Place:
    """The answer to one record (transport.answers.Answer)."""

    def __init__(self, handed: _Handed, n: int) -> None:
        self.handed, self.n, self.open = handed, n, True

    @property
    def wanted(self) -> bool:
        return self.handed.alive()

    def taken(self) -> None:
        self._once()

    def busy(self, wait_us: int) -> None:
        self.handed.wait_us = max(self.handed.wait_us, wait_us)
        self._once(self.handed.refused, "refused: come again")

    def failed(self, why: str = "failed") -> None:
        self._once(self.handed.failed, why)

    def _once(self, rows: list[tuple[int, str]] | None = None, why: str = "") -> None:
        if self.open:
            self.open = False
            if rows is not None:
                rows.append((self.n, why))
            self.handed.answered()
