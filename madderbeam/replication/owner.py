"""The owner's machine: streams what the journal writes, and says what may go on when the standby has it.

`handle(now_us, event)` gives actions, carried out in their order. In `strict` (mode before, silent refuse)
nothing that counts is done without the standby's word, and that word holds no longer than `silent_us` from
when it was asked for, by this clock: a courier that was paused, or cut off, finds its lease over.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from madderbeam.membership.values import LogLine, Persist, Row, SetTimer, TimerDue, WriteFailed
from madderbeam.replication import errors, messages
from madderbeam.replication.cursor import Cursor, ahead
from madderbeam.replication.values import (
    CHUNK,
    WINDOW,
    Appended,
    Block,
    Check,
    Checked,
    Close,
    Deny,
    Down,
    Dropped,
    Ended,
    Go,
    Got,
    Read,
    Released,
    Say,
    Settings,
    Sort,
    Stop,
    Wait,
)
from madderbeam.replication.waiting import Waiter, Waiting

BEATS = 4  # in the time after which the other side counts as silent
LEAVE_US = 3_000_000  # the longest that an end waits for the standby's last word


class Owner:
    """`sizes`: the journal's segments as they stand; `kept`: what earlier lives kept (fence, fenced, agreed).

    `state`: down, checking (its copy is compared), stream, live (all is sent as it comes), apart (the copy is
    no earlier state of this folder), fenced.
    """

    def __init__(
        self, settings: Settings, name: str, sizes: Mapping[int, int], kept: Mapping[tuple[str, str], Any]
    ) -> None:
        self.s, self.name = settings, name
        self.sizes = dict(sizes)
        self.fence: int = kept.get(("fence", ""), 1)
        self.fenced: int = kept.get(("fenced", ""), 0)  # the number of the courier that took over, 0: none
        # What the standby goes by until it has heard of a weaker setting: no weaker is acted on before.
        self.agreed_strict = bool(kept.get(("agreed", ""), False))
        self.state = "fenced" if self.fenced else "down"
        self.cursor = Cursor(self.sizes, {}, {})
        self.theirs: dict[int, tuple[int, int]] = {}
        self.reading = self.midway = False
        self.position = self.confirmed = 0  # operations on files here; of them those that the copy has
        self.out = self.acked = 0  # bytes sent to, and confirmed by, this connection
        self.lease_until = self.heard = 0
        self.alone = False  # it goes on without the standby's word
        self.ending = self.met = False
        self.trouble: errors.StandbyError | None = None
        self.waiting = Waiting()
        self.behind = 0  # bytes that are not confirmed, as far as that is known without a connection
        self.since = 0  # when the oldest that is not confirmed was written

    # What the host asks

    @property
    def strict(self) -> bool:
        return self.s.strict or self.agreed_strict

    def leased(self, now_us: int) -> bool:
        return now_us < self.lease_until

    def open(self, now_us: int) -> bool:
        """Whether new messages may be taken on, and attempts begun, as things stand."""
        if self.state == "fenced":
            return False
        return not self.strict or (self.leased(now_us) and self.state == "live")

    def passes(self, sort: Sort) -> bool:
        """Whether this needs no word at all now."""
        if self.state == "fenced" or self.strict:
            return False
        if self.alone or (self.s.mode == "after" and self.lag_bytes <= self.s.lag_bytes):
            return True
        return sort is Sort.LIGHT

    @property
    def settled(self) -> bool:
        """Work may begin: the standby is in step, or it is known that it has to go on without."""
        if self.strict:
            return self.state == "live" and self.confirmed >= self.position
        return self.met or self.alone

    @property
    def in_step(self) -> bool:
        return self.state == "live" and self.confirmed >= self.position

    @property
    def lag_bytes(self) -> int:
        if self.state == "live":
            return self.out - self.acked
        return self.out - self.acked + self.cursor.left() if self.state == "stream" else self.behind

    def lag_us(self, now_us: int) -> int:
        return 0 if self.in_step or not self.position else max(0, now_us - self.since)

    def hello(self) -> Row:
        """What it says of itself on a new connection."""
        return [self.fence, self.s.form, self.s.strict, self.s.silent_us, self.s.limit, self.name]

    # Events

    def handle(self, now_us: int, event: Any) -> list[Any]:
        match event:
            case Appended():
                return self._appended(now_us, event)
            case Wait():
                return self._wait(now_us, event)
            case Got():
                return self._got(now_us, event)
            case Block():
                return self._block(now_us, event)
            case Dropped():
                return self._dropped(now_us, event.segment)
            case Checked():
                return self._checked(now_us, event)
            case TimerDue():
                return self._due(now_us, event.token)
            case Down():
                return self._down()
            case Ended():
                self.ending = True
                return [*self._leave(now_us), SetTimer(now_us + LEAVE_US, "leave")]
            case WriteFailed(kind="fenced"):  # it holds in this process
                return [] if self.ending else [Stop(True)]
        return []

    def start(self, now_us: int) -> list[Any]:
        self.heard = now_us
        if self.state == "fenced":
            return [Stop(True)]
        return [SetTimer(now_us + self._beat_us, "beat"), SetTimer(now_us + self.s.silent_us, "waits")]

    @property
    def _beat_us(self) -> int:
        return self.s.silent_us // BEATS

    # The journal writes

    def _appended(self, now: int, e: Appended) -> list[Any]:
        if self.confirmed >= self.position:
            self.since = now
        self.sizes[e.segment] = e.at + len(e.data)
        self.position += 1
        if self.state != "live":
            self.behind += len(e.data)
            return []
        if self.cursor.sent.get(e.segment, 0) != e.at or self.out - self.acked + len(e.data) > WINDOW:
            self.state = "stream"  # it is read from the file when there is room
            return self._pump(now)
        last = len(e.data) - 1
        return [
            self._say_block(
                now,
                e.segment,
                e.at + n,
                e.data[n : n + CHUNK],
                self.position if n + CHUNK > last else self.position - 1,
            )
            for n in range(0, len(e.data), CHUNK)
        ]

    def _dropped(self, now: int, segment: int) -> list[Any]:
        self.sizes.pop(segment, None)
        if self.confirmed >= self.position:
            self.since = now
        self.position += 1
        if self.state == "live":
            return [self._say_drop(now, segment)]
        if self.state == "stream" and not self.midway and not self.cursor.exact:
            self.midway = True
            return [Say("midway", [])]
        return []

    def _say_block(self, now: int, segment: int, at: int, data: bytes, position: int) -> Say:
        self.out += len(data)
        digest = self.cursor.send(segment, data)
        return Say("block", [segment, at, data, digest, position, self.out, now, self.fence])

    def _say_drop(self, now: int, segment: int) -> Say:
        self.cursor.drop(segment)
        return Say("drop", [segment, self.position, self.out, now, self.fence])

    # What waits

    def _wait(self, now: int, e: Wait) -> list[Any]:
        if self.state == "fenced":
            return [] if e.sort is Sort.FINAL else [Deny(e.token)]
        if self.passes(e.sort):
            return [Go(e.token)]
        if e.sort is Sort.LIGHT:
            return [Go(e.token) if self.leased(now) else Deny(e.token)]
        due = max(e.until_us, now) if e.sort is Sort.FINAL else now + self.s.silent_us
        self.waiting.add(e, self.position, due)
        done = self._confirmed(now)
        return [*done, *self._timer()]

    def _timer(self) -> list[Any]:
        at = self.waiting.next_us()
        return [] if at is None else [SetTimer(at, "waits")]

    def _confirmed(self, now: int) -> list[Any]:
        """Those whose word is there. In `strict` that word counts while the lease does."""
        return [self._decided(now, w) for w in self.waiting.confirmed(self.confirmed)]

    def _decided(self, now: int, w: Waiter) -> Any:
        if self.strict and w.sort is not Sort.FINAL and not self.leased(now):
            return Deny(w.token)
        return Go(w.token)

    def _overdue(self, now: int) -> list[Any]:
        """No word came in time."""
        due = self.waiting.due(now)
        silent = now - self.heard >= self.s.silent_us
        if not self.strict and self.s.silent == "alone" and (due or (silent and not self.settled)):
            return [*(Go(w.token) for w in due), *self._go_alone()]
        # Also a final: the standby may have taken over and sent what this courier would hand back.
        actions: list[Any] = [Deny(w.token) for w in due]
        if silent and self.trouble is None:
            self.trouble = errors.Silent(f"no word for {self.s.silent_us / 1e6:g} s")
            actions.append(LogLine("", self.trouble))
        return actions

    def _go_alone(self) -> list[Any]:
        if self.alone:
            return []
        self.alone = True
        self.trouble = self.trouble or errors.Silent("no word in time; this courier goes on alone")
        return [LogLine("", self.trouble), *(Go(w.token) for w in self.waiting.clear())]

    # The standby speaks

    def _got(self, now: int, e: Got) -> list[Any]:
        try:
            row = messages.check(e.channel, e.row)
        except messages.Odd as error:
            return [LogLine(f"the standby says what is no message: {error}"), Close()]
        if self.state == "fenced":
            return []
        if e.channel == "ack":
            return self._ack(now, *row)
        if e.channel == "welcome":
            return self._welcome(now, row[0])
        if e.channel == "fenced":
            return self._fence(row[0])
        if e.channel == "refused":
            known = {error.code: error for error in errors.ALL}
            return self._apart(known.get(row[0], errors.StandbyError)(row[1]))
        if e.channel == "full":
            self.trouble = errors.DiskFull("it says that its disk is full")
            return [LogLine("", self.trouble), Close()]
        if e.channel == "yield":
            return [
                LogLine("the standby is promoted in order: this courier ends and hands over"),
                Stop(False),
            ]
        return []

    def _fence(self, number: int) -> list[Any]:
        self.state, self.fenced = "fenced", number
        self.lease_until = 0
        self.trouble = errors.Fenced(f"the standby took over, with fence {number}; this one has {self.fence}")
        denied = [Deny(w.token) for w in self.waiting.clear() if w.sort is not Sort.FINAL]
        return [LogLine("", self.trouble), *denied, Persist("fenced", "", number), Stop(True)]

    def _apart(self, error: errors.StandbyError) -> list[Any]:
        """The pair can't work until somebody does something."""
        told = type(self.trouble) is type(error)
        self.state, self.trouble = "apart", error
        return [*([] if told else [LogLine("", error)]), Close()]

    def _welcome(self, now: int, theirs: list[list[int]]) -> list[Any]:
        found = {n: (size, digest) for n, size, digest in theirs}
        actions: list[Any] = []
        if self.agreed_strict != self.s.strict:  # from here on the standby goes by what it was told
            self.agreed_strict = self.s.strict
            actions.append(Persist("agreed", "", self.s.strict))
        self.met = True
        if more := ahead(self.sizes, {n: size for n, (size, _) in found.items()}):
            return [*actions, *self._apart(errors.Ahead(more))]
        self.state, self.out, self.acked = "checking", 0, 0
        self.theirs, self.reading, self.midway = found, False, False
        self.cursor = Cursor(self.sizes, {}, {})
        return actions + self._check(now)

    def _check(self, now: int) -> list[Any]:
        """Compare the next segment of the copy; once none is left the stream begins."""
        for n in sorted(self.theirs):
            if n in self.sizes and self.theirs[n][0] and n not in self.cursor.sent:
                return [Check(n, self.theirs[n][0])]
        sent = {n: size for n, (size, _) in self.theirs.items()}
        self.cursor = Cursor(self.sizes, sent, {n: digest for n, (_, digest) in self.theirs.items()})
        self.state, self.midway = "stream", not self.cursor.exact
        return [*([Say("midway", [])] if self.midway else []), *self._pump(now)]

    def _checked(self, now: int, e: Checked) -> list[Any]:
        if self.state != "checking" or e.segment not in self.theirs:
            return []
        if e.digest < 0 and e.segment in self.sizes:  # it can't be read now
            return [Close()]
        size, digest = self.theirs[e.segment]
        if e.size == size and e.digest != digest and e.segment in self.sizes:
            return self._apart(errors.Diverged(f"the first {size} bytes of segment {e.segment} differ"))
        self.cursor.sent[e.segment] = size
        return self._check(now)

    def _down(self) -> list[Any]:
        self.behind = self.lag_bytes
        if self.state not in ("fenced", "apart"):
            self.state = "down"
        self.cursor = Cursor(self.sizes, {}, {})
        self.reading = False
        return []

    # The stream

    def _pump(self, now: int) -> list[Any]:
        """Send what lacks, by a part at a time; once nothing does, the copy is in step."""
        if self.state != "stream" or self.reading or self.out - self.acked + CHUNK > WINDOW:
            return []
        part = self.cursor.lacking()
        if part is not None:
            self.reading = True
            return [Read(*part)]
        self.state, self.midway = "live", False
        drops = [self._say_drop(now, n) for n in self.cursor.gone()]
        return [*drops, Say("whole", [self.position, self.out, now])]

    def _block(self, now: int, e: Block) -> list[Any]:
        if not self.reading or self.state != "stream":
            return []
        self.reading = False
        if e.data is None and e.segment in self.sizes:
            return [LogLine(f"segment {e.segment} can't be read"), Close()]
        if not e.data or e.segment not in self.sizes or self.cursor.sent.get(e.segment, 0) != e.at:
            return self._pump(now)
        return [self._say_block(now, e.segment, e.at, e.data, self.confirmed), *self._pump(now)]

    def _ack(self, now: int, position: int, acked: int, stamp: int) -> list[Any]:
        if stamp > now or acked > self.out or position > self.position:
            return [LogLine("the standby confirms what it was never sent"), Close()]
        self.heard = now
        self.acked = max(self.acked, acked)
        if self.state in ("live", "stream"):
            self.confirmed = max(self.confirmed, position)
            self.lease_until = max(self.lease_until, stamp + self.s.silent_us)
        if self.in_step and (self.alone or self.trouble):
            self.alone, self.trouble = False, None
            return [LogLine("the standby is in step"), *self._confirmed(now)]
        return [*self._confirmed(now), *self._pump(now), *self._leave(now)]

    # Time

    def _due(self, now: int, token: str) -> list[Any]:
        if token == "waits":
            return [*self._overdue(now), *self._timer()]
        if token == "beat":
            if self.state == "fenced":
                return []
            again = SetTimer(now + self._beat_us, "beat")
            silent = self._overdue(now) if now - self.heard >= self.s.silent_us else []
            return [Say("beat", [now]), *silent, again]
        if token == "leave":
            return [Released()]
        return []

    # The end

    def _leave(self, now: int) -> list[Any]:
        """Once the copy has all, this courier says that it is over; it is the standby's then."""
        if not self.ending or not self.in_step or self.state == "fenced":
            return []
        self.state, self.fenced = "fenced", self.fence + 1
        self.lease_until = 0
        return [Persist("fenced", "", self.fence + 1), Say("released", []), Released()]
