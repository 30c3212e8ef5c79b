"""Stand-ins for destinations: endpoints with capacity, queues, outages, waits and spoilt answers."""

from __future__ import annotations

import json
import random
import zlib
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from madderbeam.ports import Address
from madderbeam.simulation.checker import Attempt, Call
from madderbeam.simulation.http_tap import Request, RequestTap
from madderbeam.simulation.kernel import Kernel
from madderbeam.simulation.network import Peer, Stream

STATUS = 14  # bytes of HTTP/1.1 200 x
NOISE = b"\x00noise\r\n"  # behind an answer; what follows it can't be read
COPY_BEHIND_US = (1_000, 120_000)  # a copy of an answer comes so long behind it
COPIES_MOST = 2
EQUAL_ANSWERS_EACH = 4  # one of so many endpoints has nothing in its answers that differs
FIRST_LINE = STATUS + 2  # with its end: cut off ahead of that, it is no first line and tells nothing
STATES = {"done": "done", "failed": "failed", "full": "busy", "void": "void"}


@dataclass(eq=False)
class Destination:
    """What shares one limit, one wait and one outage."""

    number: int
    kind: str
    rate: float  # calls a second that it takes from all couriers together
    endpoints: list[Endpoint] = field(default_factory=list)
    tokens: float = 0.0
    stamp_us: int = 0
    cold_from: int = -1  # when its outage ended, while it is not warm
    saw: set[tuple[str, int]] = field(default_factory=set)  # lives that saw a call fail in the outage
    lowered: float = 1.0  # share of the rate that it takes now; below 1, refused calls use it up as well

    def take(self, now: int) -> bool:
        """Whether a call is within the rate now."""
        rate = self.rate * self.lowered
        burst = max(2.0, rate)
        self.tokens = min(burst, self.tokens + rate * (now - self.stamp_us) / 1e6)
        self.stamp_us = now
        if self.tokens < 1:
            if self.lowered < 1:
                self.tokens = max(-burst, self.tokens - 1)
            return False
        self.tokens -= 1
        return True


class Mood:
    """What is wrong with an endpoint now; changed by the script while the run goes on."""

    def __init__(self) -> None:
        self.outage = ""  # refuse, never, cut, hang, shut, fail
        self.open_us = 0  # when what is shut opens
        self.full = False  # the limit is reached, whatever came
        self.slow = 1.0
        self.errors = 0.0  # shares of the calls that end so
        self.spoilt = self.reset = self.half = self.extra = self.interim = self.close = self.copies = 0.0
        self.equal = False  # there is nothing in its answers that differs
        self.table = 1 << 30  # connections that it holds
        self.no_slot = 0.0
        self.gaps = 0.0  # share of bundles' answers that leave one out, name one twice or one of another call
        self.mute = 0.0  # share of the calls that are answered by a 100 or half a line and nothing more
        self.early = 0.0  # share of the calls that are turned away ahead of their last byte
        self.handshake_us = 0  # that a connection takes longer to come up
        self.late = 0.0  # share of the connections that come up late
        self.late_us = 0  # by so much at most
        self.idle_us = 0  # after which a connection that stands idle is closed, 0: never
        self.stray = 0.0  # share of the answers behind which half a line comes, while nobody waits
        self.lost = 0.0  # share of the calls whose connection is reset behind the answer, or long after


class Endpoint:
    """One endpoint: a service of the simulated network."""

    def __init__(self, kernel: Kernel, uid: str, dest: Destination, address: Address, batch: int) -> None:
        self.kernel, self.uid, self.dest, self.address, self.batch = kernel, uid, dest, address, batch
        self.chance = random.Random(f"endpoint {kernel.script.seed} {uid}")
        self.mood = Mood()
        self.state = "in_service"
        self.streams: dict[Stream, Line] = {}
        self.busy, self.cores, self.queue = 0, 4, 8
        self.boot_ms = 0
        self.has_equal_answers = zlib.crc32(uid.encode()) % EQUAL_ANSWERS_EACH == 0
        self.receipts = 0  # numbers in the answers of the others

    @property
    def wait_key(self) -> int:
        return self.dest.number

    def line(self, endpoint: Endpoint, stream: Stream) -> Line:
        """Its end of a new connection."""
        return Line(endpoint, stream)

    def receipt(self) -> bytes:
        """The body of an answer with 200 to a single message, which means nothing."""
        if self.has_equal_answers or self.mood.equal:
            return b""
        self.receipts += 1
        return b"%08x" % self.receipts

    def entry(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": f"{self.address[0]}:{self.address[1]}",
            "az": "here",
            "model": self.dest.kind,
            "pod_group": self.dest.number,
            "state": self.state,
            "capacity_hint": self.dest.rate,
            "boot_ms": self.boot_ms,
        }

    def accept(self, stream: Stream) -> str | Peer:
        line = self.line(self, stream)
        self.kernel.report.dials += 1
        if self.state == "terminated" or self.mood.outage == "refuse":
            self.kernel.report.failed_dials += 1
            line.saw()
            return "refused"
        if self.mood.outage in ("never", "cut"):
            stream.peer = line  # which hears when the courier gives it up
            return "nothing"
        stream.handshake_us = self.mood.handshake_us
        if self.mood.late and self.chance.random() < self.mood.late:
            stream.handshake_us += self.chance.randrange(self.mood.late_us)
        return line

    # Outages

    def strike(self, outage: str) -> None:
        """An outage begins."""
        self.mood.outage = outage
        if outage in ("refuse", "never"):
            for stream in list(self.streams):
                stream.abort()
            self.streams.clear()
        elif outage == "cut":
            for stream in self.streams:
                stream.cut()

    def recover(self) -> None:
        """It is back, cold; what was cut off is reset."""
        if self.mood.outage == "cut":
            for stream in list(self.streams):
                stream.silent = False
                stream.abort()
            self.streams.clear()
        self.mood.outage = ""

    def vanish(self) -> None:
        """It is gone for good: a process that dies resets its connections."""
        self.state = "terminated"
        for stream in list(self.streams):
            stream.abort()
        self.streams.clear()

    # Calls

    def service_us(self) -> int:
        took = int(self.chance.expovariate(1 / (self.kernel.script.service_ms * 1e3)) * self.mood.slow) + 500
        grid = self.kernel.script.grid_us if self.kernel.script.aligned else 1
        return -(-took // grid) * grid


class Line(Peer):
    """The endpoint's end of one connection."""

    partial = True  # a bundle's answer may tell each one's end

    def __init__(self, endpoint: Endpoint, stream: Stream) -> None:
        self.endpoint, self.stream, self.kernel = endpoint, stream, endpoint.kernel
        self.life = endpoint.kernel.life_of(stream.network)
        self.crowded = False
        self.newest: Call | None = None
        self.is_shifted = False  # the courier takes each answer for that of the next request
        self.copy_arrives_us = -1  # at the courier; of the last response that it takes for a later one
        self.strayed = False  # bytes were written that belong to no answer, and hide the next one
        self.hasty = -1  # bytes of its answers with the one that came ahead of the request's last byte
        self.requests: deque[Request] = deque()  # the one in service, and those that came behind it
        self.tap = RequestTap(stream, self._written, self._came, self._odd)

    def saw(self) -> None:
        """Its courier has met the outage."""
        self.endpoint.dest.saw.add((self.life.courier, self.life.number))

    # Peer

    def up(self) -> None:
        ep = self.endpoint
        if ep.mood.outage == "refuse" or ep.state == "terminated":
            self.stream.abort()
            return
        if ep.mood.outage == "cut":
            self.stream.cut()
        self.crowded = len(ep.streams) >= ep.mood.table
        self.kernel.report.failed_dials += self.crowded
        ep.streams[self.stream] = self

    def refused(self) -> None:
        return

    def data(self, data: bytes) -> None:
        self.tap.arrived(len(data))
        early = self.endpoint.mood.early
        if early and self.tap.midway and self.endpoint.chance.random() < early:
            self._turn_away()

    def _turn_away(self) -> None:
        """An answer ahead of the request's last byte, and a close: the call is never begun."""
        self.stream.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        self.hasty = self.stream.sent
        if self.tap.under_way:
            self._hasty(self.tap.under_way[0].note)
        self.stream.finish()
        self.endpoint.streams.pop(self.stream, None)

    def _hasty(self, call: Call) -> None:
        self.kernel.checker.answered(call, {a.handed.id: "full" for a in call.items}, self.hasty)

    def ended(self, reset: bool) -> None:
        newest = self.newest
        waited = newest is not None and newest.answered_us < 0
        if self.endpoint.mood.outage and (waited or not self.stream.up):
            self.saw()
        if waited and newest is not None:
            self.kernel.note(
                self.life.courier,
                "left",
                at=self.stream.closed_us,
                uid=self.endpoint.uid,
                ids=[a.handed.id for a in newest.items],
            )
        self.endpoint.streams.pop(self.stream, None)

    # What the courier writes

    def _odd(self, text: str) -> None:
        self.kernel.checker.broken("form", text)

    def _written(self, request: Request) -> Call:
        """The last byte has left the courier."""
        ep, checker = self.endpoint, self.kernel.checker
        call = Call(self.life, ep, self.stream, request.path, request.first_us, request.last_us)
        idents: list[tuple[str, str]] = []
        if request.path == "/events":
            idents = [(request.headers.get("x-request-id", ""), request.headers.get("idempotency-key", ""))]
        elif request.path == "/events/bundle":
            idents = [(row["id"], row.get("key", "")) for row in json.loads(request.body)]
        elif request.path not in ("/alive", "/metrics/load"):
            checker.broken("form", f"a request for {request.path}")
        if len(idents) > max(1, ep.batch):
            checker.broken("form", f"{len(idents)} messages in a call, {ep.batch} at most")
        self.kernel.note(
            self.life.courier,
            "call",
            uid=ep.uid,
            path=request.path,
            ids=[i for i, _ in idents],
            first=request.first_us,
        )
        checker.call(call, idents, ep.dest.number, ep.uid)
        self.kernel.report.probes += not idents
        self.newest = call
        if call.first_us <= self.copy_arrives_us:  # they crossed
            call.is_told_over = self.is_shifted = True
        if self.hasty >= 0:
            self._hasty(call)
        return call

    # What comes to the endpoint

    def _came(self, request: Request) -> None:
        """An HTTP/1.1 server serves the requests of a connection one after another, in their order."""
        self.kernel.checker.arrived(request.note)
        self.requests.append(request)
        if len(self.requests) == 1:
            self._begin(request)

    def _begin_next(self) -> None:
        """The request in service has its answer."""
        self.requests.popleft()
        if self.requests:
            self._begin(self.requests[0])

    def _begin(self, request: Request) -> None:
        ep, call = self.endpoint, request.note
        mood, chance, now = ep.mood, ep.chance, self.kernel.now_us
        if mood.outage in ("cut", "never"):
            return
        if not call.items:
            self._answer(call, 503 if mood.outage or ep.state != "in_service" else 200, "full")
        elif mood.outage == "hang":
            self._ran(call.items, chance.random() < 0.5)
        elif mood.outage == "shut":
            self._full(call, max(0, mood.open_us - now))
        elif mood.outage == "fail":
            self._ran(call.items, chance.random() < 0.5)
            self.saw()
            self._later(call, ep.service_us() // 4, 500, "failed")
        elif ep.state != "in_service" or self.crowded:
            self._answer(call, 503, "full")
        elif mood.no_slot and chance.random() < mood.no_slot:
            self._answer(call, 503, "full", slots_taken="1")
        elif mood.full or not ep.dest.take(now):
            self._full(call, chance.randrange(100_000, 770_000))
        elif ep.busy >= ep.cores + ep.queue:
            self._answer(call, 503, "full")
        else:
            self._serve(call)

    def _full(self, call: Call, wait_us: int) -> None:
        ep = self.endpoint
        if ep.mood.outage:
            self.saw()
        if wait_us and ep.chance.random() < 0.7:
            self._answer(call, 429, "full", wait_us=wait_us)
        else:
            self._answer(call, 503, "full")

    def _serve(self, call: Call) -> None:
        ep, chance, mood = self.endpoint, self.endpoint.chance, self.endpoint.mood
        ep.busy += 1
        took = ep.service_us() * max(1, -(-ep.busy // ep.cores))
        if mood.errors and chance.random() < mood.errors:
            self._ran(call.items, chance.random() < 0.5)
            self._later(call, took, 500, "failed", busy=True)
        elif mood.reset and chance.random() < mood.reset:
            self._ran(call.items, chance.random() < 0.5)
            self.kernel.after(took, self._drop)
        elif mood.lost and chance.random() < mood.lost:
            self._ran(call.items, chance.random() < 0.8)
            if chance.random() < 0.5:  # long after
                self.kernel.after(took + chance.randrange(4_000_000), self._drop)
            else:
                self._later(call, took, 200, "done", busy=True)
                self.kernel.after(took, self.stream.abort)
        else:
            if self.partial and len(call.items) > 1 and chance.random() < 0.1:  # a part of it is turned away
                call.turned_away = {a.handed.id for a in call.items[1:] if chance.random() < 0.5}
            self._ran([a for a in call.items if a.handed.id not in call.turned_away], True)
            self._later(call, took, 200, "done", busy=True)

    def _ran(self, items: list[Attempt], did: bool) -> None:
        if did:
            for attempt in items:
                self.kernel.ran(attempt.handed, self.endpoint.uid)

    def _drop(self) -> None:
        self.endpoint.busy -= 1
        self.stream.abort()
        self.endpoint.streams.pop(self.stream, None)

    def _later(self, call: Call, took: int, status: int, outcome: str, busy: bool = False) -> None:
        self.kernel.after(took, self._done, call, status, outcome, busy)

    def _done(self, call: Call, status: int, outcome: str, busy: bool) -> None:
        if busy:
            self.endpoint.busy -= 1
        if self.endpoint.mood.outage not in ("cut", "hang"):
            self._answer(call, status, outcome)

    # Answering

    def _answer(self, call: Call, status: int, outcome: str, wait_us: int = 0, slots_taken: str = "") -> None:
        stream, chance, mood = self.stream, self.endpoint.chance, self.endpoint.mood
        if stream.gone or stream.closed or stream.silent:
            return
        bundle = call.path == "/events/bundle" and status == 200
        outcomes = {a.handed.id: outcome for a in call.items}
        if bundle and call.turned_away:
            outcomes.update(dict.fromkeys(call.turned_away, "full"))
            wait_us = 100_000 if chance.random() < 0.5 else 0
        rows = [{"id": i, "state": STATES[o]} for i, o in outcomes.items()]
        if bundle and mood.gaps and chance.random() < mood.gaps:
            outcomes = self._with_gaps(rows, outcomes)
        body = json.dumps(rows).encode() if bundle else b""
        if status == 200 and call.path == "/events":
            body = self.endpoint.receipt()
        head = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
        if wait_us:
            head.append(f"Retry-After: {wait_us / 1e6:.3f}")
        if slots_taken:
            head.append(f"Slots-Taken: {slots_taken}")
        close = bool(mood.close) and chance.random() < mood.close
        if close:
            head.append("Connection: close")
        text = "\r\n".join(head).encode() + b"\r\n\r\n" + body
        self.kernel.note(
            self.endpoint.uid, "answer", status=status, wait=wait_us, ids=[a.handed.id for a in call.items]
        )
        if self.strayed:  # it stands behind half a line
            stream.write(text)
            self.kernel.checker.answered(call, {})
            self._begin_next()
            return
        if call.items and mood.mute and chance.random() < mood.mute:
            stream.write(b"HTTP/1.1 100 Continue\r\n\r\n" if self.kernel.now_us % 2 else b"HTTP/1.1 50")
            return
        if call.items and mood.spoilt and chance.random() < mood.spoilt:
            self._spoil(call, status, bundle, text)
            return
        if call.items and mood.half and chance.random() < mood.half:
            self._broken_off(call, status, bundle, text[: chance.randrange(STATUS, len(text))])
            stream.finish()
            return
        ahead = b""
        if mood.interim and chance.random() < mood.interim:
            ahead = b"HTTP/1.1 100 Continue\r\n\r\n"
            text = ahead + text
        more = b""
        if mood.extra and chance.random() < mood.extra:  # right behind, so that no other call waits for it
            more = text if chance.random() < 0.5 else NOISE
        if mood.copies and chance.random() < mood.copies:
            for _ in range(chance.randint(1, COPIES_MOST)):
                self.kernel.after(chance.randrange(*COPY_BEHIND_US), self._copy, text)
        begun = stream.sent
        stream.write(text + more, whole=bool(more))
        self.strayed = self.strayed or more == NOISE
        line = status == 200 and not bundle  # its first line is enough
        known_at = begun + len(ahead) + FIRST_LINE if line else stream.sent - len(more)
        self.kernel.checker.answered(call, outcomes, known_at)
        if self.is_shifted and self.newest is not None:
            self.newest.is_told_over = True
            self.copy_arrives_us = stream.arrival_us
        if wait_us:
            until = self.kernel.now_us + int(float(f"{wait_us / 1e6:.3f}") * 1e6)
            self.kernel.checker.told_wait(call, stream.arrival_us, until)
        if close:
            stream.finish()
        elif mood.stray and not more and chance.random() < mood.stray:
            self.kernel.after(chance.randrange(600_000), self._stray, self.tap.here)
        elif mood.idle_us:
            self.kernel.after(mood.idle_us, self._idle, self.tap.here)
        self._begin_next()

    def _copy(self, text: bytes) -> None:
        """A second copy of an answer comes, whatever has been asked since."""
        if self.stream.gone or self.stream.closed or self.stream.silent:
            return
        if self.newest is not None and self.newest.answered_us < 0:
            self.newest.is_told_over = self.is_shifted = True
        newest = [attempt.handed.id for attempt in self.newest.items] if self.newest is not None else []
        self.kernel.note(self.endpoint.uid, "copy", courier=self.life.courier, newest=newest)
        self.stream.write(text)
        self.copy_arrives_us = self.stream.arrival_us

    def _idle(self, here: int) -> None:
        """Nothing has come since: it closes, whatever is on its way."""
        if self.tap.here == here:
            self.stream.finish()
            self.endpoint.streams.pop(self.stream, None)

    def _stray(self, here: int) -> None:
        """Half a line, with nothing asked."""
        if self.tap.here == here and not self.stream.gone:
            self.strayed = True
            self.stream.write(self.endpoint.chance.choice((b"H", b"HTTP/1.1 20", b"x" * 40)))

    def _with_gaps(self, rows: list[dict[str, str]], outcomes: dict[str, str]) -> dict[str, str]:
        """A bundle's answer that leaves one out, names one twice, or names one that was not in the call; what
        it still proves: of one that is left out nothing, and nothing at all where one is named twice."""
        chance = self.endpoint.chance
        kind = chance.randrange(3)
        if kind == 0:
            left = rows.pop(chance.randrange(len(rows)))["id"]
            return {i: o for i, o in outcomes.items() if i != left}
        if kind == 1:
            rows.append({"id": rows[0]["id"], "state": chance.choice(("done", "busy", "failed"))})
            return {}
        others = [m.id for m in self.kernel.checker.handed.values() if m.id not in outcomes]
        rows.append({"id": chance.choice(others) if others else "nobody", "state": "done"})
        return outcomes

    def _broken_off(self, call: Call, status: int, bundle: bool, text: bytes) -> None:
        """Write an answer that does not become whole: only a first line with 200 is true of it, for a call
        with one message."""
        known_at = self.stream.sent + FIRST_LINE
        self.stream.write(text)
        true = status == 200 and not bundle and len(text) >= FIRST_LINE
        done = {a.handed.id: "done" for a in call.items} if true else {}
        self.kernel.checker.answered(call, done, known_at, is_whole=False)

    def _spoil(self, call: Call, status: int, bundle: bool, text: bytes) -> None:
        chance = self.endpoint.chance
        kind = chance.randrange(4)
        if kind == 0:
            self.stream.write(bytes(chance.randrange(128, 256) for _ in range(40)))
            self.kernel.checker.answered(call, {})
        elif kind == 1:
            spoilt = b"HTTP/1.1 %d x\r\nContent-Length: 3000000000\r\n\r\n" % status + b"x" * 2000
            self._broken_off(call, status, bundle, spoilt)
        elif kind == 2:
            self._broken_off(call, status, bundle, b"HTTP/1.1 %d x\r\nContent-Length: zwo\r\n\r\n" % status)
        else:
            self._broken_off(call, status, bundle, b"HTTP/1.1 %d x\r\nX-Endless: " % status + b"y" * 500)


class Nowhere:
    """An address at which nothing listens any more."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def accept(self, stream: Stream) -> str | Peer:
        self.kernel.report.dials += 1
        self.kernel.report.failed_dials += 1
        return "refused"
