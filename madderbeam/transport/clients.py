"""The RESP2 server that clients hand messages in at."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import socket
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Any

from madderbeam.ports import Network, Socket
from madderbeam.transport.buffer_budget import BufferBudget
from madderbeam.transport.client_greetings import GREETINGS
from madderbeam.transport.descriptors import NO_FILES
from madderbeam.transport.put_request import BadRequest, Put, parse_put
from madderbeam.transport.reading import read
from madderbeam.transport.reply_handle import ReplyHandle
from madderbeam.transport.resp import FramingError, RequestReader

BACKLOG = 512  # connections that wait to be taken up
ACCEPTS = 16  # connections taken up in one turn: the usual clients wait for the turn's end
SLICE_S = 0.005  # requests of one connection are handled for so long in one go: then others have their turn
MAX_BUFFERED_BYTES = 48_000_000  # that a server's connections hold together, unless it is told otherwise
PIPELINE = 32  # requests of one connection that may wait, or be handled in one go; what follows is held back
UNSENT = 1 << 16  # bytes of answers that may wait for an earlier one before no more requests are taken
STRIKES = 3  # requests of one connection that can't be used, then it is closed
PAUSE_S = 0.1  # a connection is not read from for so long after the first of them, then twice as long
WHOLE_S = 2.0  # a client in the middle of a request must go on within this, a new one begin
SLOW_S = 15.0  # a request must be whole within this, however slowly it is written
LINGER_S = 1.0  # behind the last answer the client has so long to end its side
LINGER_BYTES = 1 << 20  # and so much of what it still sends is read, and dropped
SILENT_S = 0.25  # one that has sent nothing for so long since it came goes first when room is short
IDLE_SHARE = 0.25  # of the places for clients is for those with no request open
IDLE_S = 3.0  # a connection that was of use is kept for so long with no request open
JUST_S = 1.0  # one that connected since then is about to send, also while clients are let go
SWEEP_S = 0.25
REST_S = 0.05  # accepting rests for so long when no descriptor can be freed
log = logging.getLogger(__name__)


@dataclass(frozen=True)
class Places:
    """How many clients' connections there is room for."""

    most: int
    idle_share: float = IDLE_SHARE  # of them is for those with no request open
    idle_s: float = IDLE_S
    pipeline: int = PIPELINE


class Reply:
    """The place of one answer; answers leave in the order of their requests."""

    __slots__ = ("client", "text")

    def __init__(self, client: Client) -> None:
        self.client, self.text = client, b""

    @property
    def wanted(self) -> bool:
        return not self.client.closed and not self.client.close_if_reset()

    def send(self, text: bytes) -> None:
        if not self.text:
            self.text = text
            self.client.held += len(text)
            self.client.flush()

    def taken(self) -> None:
        self.send(b"+OK\r\n")

    def busy(self, wait_us: int) -> None:
        self.send(b"-BUSY %d\r\n" % -(-wait_us // 1000) if wait_us > 0 else b"-BUSY\r\n")

    def failed(self, why: str = "failed") -> None:
        self.send(b"-ERR %s\r\n" % _line(why))


class Phase(IntEnum):
    """Where in its life a connection is; it never goes back."""

    OPEN = 0  # requests are taken
    ENDING = 1  # none is taken any more, those that were are still answered
    SHUT = 2  # all is answered and sending has ended; the client's end is waited for
    CLOSED = 3


class Client:
    """One client's connection, on a non-blocking socket. Other protocols' connections are made from it.

    It is read from only while a request could be taken: the rest stays with the system, which slows a client
    that sends more. So the buffer never holds much more than one request, and the end of the client's sending
    is seen behind all that it sent.

    An end goes by the phases: a close over unread bytes resets the connection, and takes the answer that was
    just written with it. What comes once sending has ended is no request to anybody: it is dropped behind one
    that ended the connection, and left unread behind a rest, so that the client may send it again elsewhere.
    """

    reads: Callable[[], Any] = RequestReader  # what takes requests off the bytes

    def __init__(self, server: ClientServer, sock: Socket) -> None:
        self.server, self.sock, self.loop, self.network = server, sock, server.loop, server.network
        self.reader = self.reads()
        self.pending: deque[Reply] = deque()
        self.held = 0  # bytes of answers that wait for earlier ones
        self.unsent = b""
        self.phase = Phase.OPEN
        self.waited_ms = 0  # at most so long it stood in the queue before it was taken up
        self.useful = False  # it has sent a request that could be used
        self.strikes = 0
        self.since = self.loop.time()
        self.heard_at = self.since  # when the last byte came
        self.whole_by = self.since + SLOW_S  # when the request that has begun must be whole
        self.due = self.since + WHOLE_S  # when it is closed, unless more has come
        self.dropped = 0  # bytes
        self.counted_bytes = 0  # of the budget
        self.reading = self.handling = False
        self.stopped_at = self.since  # when it was last read from, while it is not
        self.pause: asyncio.Handle | None = None  # at its end requests are taken again
        self._read_on(True)

    @property
    def closed(self) -> bool:
        """Nobody waits for an answer here any more."""
        return self.phase >= Phase.SHUT

    # Reading

    def look(self) -> bool:
        """Read what has come by now, also in a pause; whether anything had."""
        came = self.pause is not None and self._go_on()
        return (self.reading and self._readable()) or came

    def _read_on(self, on: bool) -> None:
        if on is not self.reading:
            self.reading, self.stopped_at = on, self.loop.time()
            if on:
                self.network.on_readable(self.sock, self._readable)
            else:
                self.network.off_readable(self.sock)

    def _readable(self) -> bool:
        try:
            data = read(self.sock)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            self.close()
            return False
        if not data:
            self._ended()
            return False
        now = self.heard_at = self.loop.time()
        if self.useful and not self.reader.midway:
            self.whole_by = now + SLOW_S
        self.reader.feed(data)
        self._requests()
        if self.reader.midway:
            self.due = min(self.whole_by, now + WHOLE_S)
        self._count_held()
        return True

    def _ended(self) -> None:
        """A client that has ended its sending still gets the answers that it waits for."""
        if self.reader.midway:
            self._refuse("the request is not whole")
        else:
            self._take_no_more()
            self.flush()

    def _takes(self) -> bool:
        """Whether a request may be taken now. What comes is held back while many wait, or answers do."""
        return (
            self.phase is Phase.OPEN
            and self.pause is None
            and not self.unsent
            and len(self.pending) < self.server.places.pipeline
            and self.held <= UNSENT
        )

    def _requests(self) -> bool:
        """Handle what is whole, a few in one go: the others' turns come in between. Whether any was."""
        if self.handling or self.close_if_reset():
            return False
        self.handling, handled, drained = True, 0, False
        until = self.loop.time() + SLICE_S
        try:
            while self._takes() and handled < self.server.places.pipeline and self.loop.time() <= until:
                request = self.reader.next()
                if request is None:
                    drained = True
                    break
                handled += 1
                self._handle(request)
        except FramingError as error:
            self._refuse(f"Protocol error: {error}")
        finally:
            self.handling = False
        self._read_on(drained and self._takes())
        self._count_held()
        if not drained:
            self._soon()
        if handled:  # whatever has begun came behind it
            self.whole_by = self.loop.time() + SLOW_S
        return handled > 0

    def _soon(self) -> None:
        """Go on with what is held back, if there is room again."""
        if not self.reading and not self.handling and self._takes():
            self.pause = self.loop.call_soon(self._go_on)

    def _go_on(self) -> bool:
        if self.pause is not None:
            self.pause.cancel()
            self.pause = None
        return self._requests()

    def _handle(self, request: Any) -> None:
        reply = self._reply()
        name = request[0].upper() if request else b""
        try:
            if name == b"MSG.PUT":
                self.server.put(self._since_sent(parse_put(request[1:])), reply)
            elif name == b"PING" and len(request) <= 2:
                reply.send(self.server.pong(request[1:]))
            elif name in GREETINGS:
                reply.send(GREETINGS[name](request[1:]))
            elif name == b"QUIT":
                self._take_no_more()
                reply.send(b"+OK\r\n")
            else:
                raise BadRequest("unknown command, must be MSG.PUT, PING or QUIT")
        except BadRequest as error:
            self._turn_down(reply, error)
        else:
            self.useful = True
            if not self.pending and self.phase is Phase.OPEN:
                self._rests()

    def _since_sent(self, put: Put) -> Put:
        """A message's time runs from when it was sent: the first one may have waited with its connection, and
        any behind others that held it back."""
        waited, self.waited_ms = self.waited_ms, 0
        if not self.reading:
            waited += int((self.loop.time() - self.stopped_at) * 1e3)
        return replace(put, life_ms=max(0, put.life_ms - waited)) if waited else put

    def _turn_down(self, reply: Reply, error: BadRequest) -> None:
        """One that asks the same again as soon as it is turned away must not take the others' turns: it is
        read again after a pause, and closed on the last strike."""
        log.warning("a request was turned down: %s", error)
        self.strikes += 1
        if self.strikes >= STRIKES:
            self._take_no_more()
        else:
            self.pause = self.loop.call_later(PAUSE_S * 2 ** (self.strikes - 1), self._go_on)
        reply.send(b"-ERR %s\r\n" % _line(str(error)))

    def _refuse(self, why: str) -> None:
        """The last answer: what follows can't be read as requests."""
        self._take_no_more()
        self._reply().send(b"-ERR %s\r\n" % _line(why))

    def _take_no_more(self) -> None:
        if self.phase is Phase.OPEN:
            self.phase = Phase.ENDING
            self._read_on(False)

    # What is held

    def _count_held(self) -> None:
        """Tell the budget what this connection holds."""
        held_bytes = self.reader.buffered_bytes + self.held + len(self.unsent)
        if held_bytes != self.counted_bytes and self.phase is not Phase.CLOSED:
            self.server.budget.count(self, held_bytes)

    @property
    def may_shed(self) -> bool:
        """Whether it may be closed for room: no request of it waits for its reply."""
        return not self.pending and (self.reader.midway or bool(self.unsent))

    def buffering_s(self, now_s: float) -> float:
        """Seconds since the request that is not whole began."""
        return max(0.0, now_s - (self.whole_by - SLOW_S))

    def shed(self) -> None:
        """Reject the request that is not whole, which may be handed in again, and free its bytes."""
        self.reader = self.reads()
        if self.unsent or self.phase is not Phase.OPEN:
            self.close()
            return
        self._reject_unread()
        self._count_held()

    def _reject_unread(self) -> None:
        self._take_no_more()
        self._reply().busy(0)

    # Answering

    def _reply(self) -> Reply:
        self.server.idle.pop(self, None)
        self.pending.append(Reply(self))
        return self.pending[-1]

    def flush(self) -> None:
        """Send the answers whose turn it is; a connection that is ending is shut behind the last."""
        while self.pending and self.pending[0].text:
            text = self.pending.popleft().text
            self.held -= len(text)
            self.unsent += text
        if self.closed:
            return
        if self.unsent:
            self._write()
        self._count_held()
        if not self.pending:
            self._rests()
        if self.phase is Phase.ENDING and not self.pending and not self.unsent:
            self._shut(self._drop)
        else:
            self._soon()

    def _rests(self) -> None:
        """No request is open: from now on its connection is kept for as long as is due to it. One that has
        begun keeps its own time."""
        if self.closed or self.reader.midway:
            return
        self.due = self.loop.time() + (self.server.places.idle_s if self.useful else WHOLE_S)
        if self.useful and self.phase is Phase.OPEN:
            self.server.rests(self)

    def _write(self) -> None:
        try:
            sent = self.sock.send(self.unsent)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            self.close()
            return
        self.unsent = self.unsent[sent:]
        if sent:
            self.due = max(self.due, self.loop.time() + WHOLE_S)
        if self.unsent:
            self.network.on_writable(self.sock, self._writable)

    def _writable(self) -> None:
        self.network.off_writable(self.sock)
        self.flush()

    # The end

    @property
    def between_requests(self) -> bool:
        return not self.pending and not self.unsent and not self.reader.midway

    @property
    def is_turned_away(self) -> bool:
        """All its requests were unsound, and it is in the pause behind the last one."""
        return self.strikes > 0 and not self.useful and self.pause is not None and self.between_requests

    def overdue(self, now: float) -> None:
        """Close what has no request open for too long, also one that never becomes whole. What has come is
        read first: its request is answered."""
        if now < self.due or self.pending:
            return
        if self.unsent:  # it does not read its answers
            self.close()
        elif not self.look() or now >= self.whole_by:
            if self.phase is Phase.OPEN and self.reader.midway and not self.pending:
                self._refuse("the request did not become whole in time")
            else:
                self.finish()

    def finish(self) -> None:
        """Close between two requests. What has come is read first: its request is answered."""
        if self.between_requests and not self.look() and self.phase is Phase.OPEN:
            self._shut(self._leave_unread)

    def end(self) -> None:
        """The process ends: no request is taken any more, what is owed is sent and the sending ended."""
        if not self.between_requests:
            self._take_no_more()
            self.flush()
        elif self.phase is Phase.OPEN:
            self._shut(self._leave_unread)

    def _shut(self, readable: Callable[[], None]) -> None:
        """End the sending, and wait for the client to do so; `readable` sees to what comes until then."""
        self._read_on(False)
        self.phase, self.due = Phase.SHUT, self.loop.time() + LINGER_S
        self.reader = self.reads()  # nothing more is read as a request
        self._count_held()
        self.server.leaves(self)
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:  # it is reset
            self.close()
            return
        self.network.on_readable(self.sock, readable)
        readable()

    def _drop(self) -> None:
        try:
            while size := len(read(self.sock)):
                self.dropped += size
                if self.dropped >= LINGER_BYTES:
                    break
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            pass
        self.close()

    def _leave_unread(self) -> None:
        """A request that crossed the end was never read: whoever sent it knows that it may send it again."""
        try:
            if self.sock.recv(1, socket.MSG_PEEK):
                self.network.off_readable(self.sock)
                return
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            pass
        self.close()

    def state(self) -> dict[str, Any]:
        """All that another process needs to go on with it; for one that waits for no answer."""
        return {
            "reader": self.reader.state(),
            "unsent": self.unsent,
            "useful": self.useful,
            "strikes": self.strikes,
            "since": self.since,
            "due": self.due,
            "closing": self.phase is Phase.ENDING,
        }

    def restore(self, state: dict[str, Any]) -> None:
        """Go on from what `state` gave in another process."""
        self.reader.restore(state["reader"])
        self.unsent, self.useful, self.strikes = state["unsent"], state["useful"], state["strikes"]
        self.since = state["since"]
        if state["closing"]:
            self._take_no_more()
        self.flush()
        self.due = state["due"]  # one that says nothing gains no time by it
        self._requests()  # what is whole but had to wait, after a strike

    def close_if_reset(self) -> bool:
        """Close the connection if the client has reset it; whether it had.

        What it sent before is read ahead of the error: without this its requests would be taken on, though
        nobody waits for their answers, and may have been sent again elsewhere.
        """
        if self.closed:
            return False
        try:
            was_reset = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
        except OSError:
            was_reset = True
        if was_reset:
            self.close()
        return was_reset

    def close(self) -> None:
        """Let go of the socket at once."""
        if self.phase is Phase.CLOSED:
            return
        self.phase, self.reading = Phase.CLOSED, False
        self.server.budget.count(self, 0)
        self.network.off_readable(self.sock)
        self.network.off_writable(self.sock)
        if self.pause is not None:
            self.pause.cancel()
        self.sock.close()
        self.server.left(self)


def _line(text: str) -> bytes:
    return " ".join(text.split()).encode("ascii", "replace")[:500]


class ClientServer:
    """Accepts clients; `put` takes what they hand in.

    Accepting is done here and not by asyncio's server, which takes up its whole backlog in one turn, before
    anything can be closed, and rests for a second when descriptors run out.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        put: Callable[[Put, ReplyHandle], None],
        places: Places,
        make: type[Client] = Client,
        budget: BufferBudget | None = None,
    ) -> None:
        """`make`: the connections of the front's protocol. `budget`: what all connections may hold."""
        self.loop, self.network, self.put, self.places, self.make = loop, network, put, places, make
        self.budget = budget or BufferBudget(MAX_BUFFERED_BYTES, loop.time)
        self.budget.sources.append(lambda: list(self.clients))
        self.idle_most = int(places.most * places.idle_share)
        self.trimming = False
        self.clients: dict[Client, None] = {}  # the oldest first
        self.leaving: dict[Client, None] = {}  # those that are shut: nothing is owed to them
        self.idle: dict[Client, None] = {}  # those of use with no request open, the longest idle first
        self.sock: Socket | None = None
        self.timers: dict[str, asyncio.TimerHandle] = {}
        self.ready = True  # what a PING is told
        self.rested_at = 0.0  # since when some may wait to be taken up, 0 if none does
        self.waiting = 0  # at most so many do

    @property
    def listening(self) -> bool:
        return self.sock is not None

    @property
    def over(self) -> bool:
        """Nobody is connected any more, and nobody can be."""
        return not self.listening and not self.clients and not self.leaving

    def listen(self, host: str, port: int) -> int:
        """The port: the one asked for, or any free one for 0; 0 for a Unix socket."""
        return self.take(self.network.listen((host, port), BACKLOG))

    def take(self, sock: Socket) -> int:
        """Listen at a socket that is there."""
        self.sock = sock
        self._accepting()
        self._sweep()
        name = self.sock.getsockname()
        return name[1] if isinstance(name, tuple) else 0

    def hold(self) -> None:
        """Those that come wait in the queue until `go`."""
        if self.sock is not None:
            self._queue()
            self.network.off_readable(self.sock)

    def _queue(self) -> None:
        """Those that come wait: no more than the queue holds, which may never be seen empty in a crowd."""
        self.rested_at, self.waiting = self.rested_at or self.loop.time(), BACKLOG + 1

    def go(self) -> None:
        """Take up those that wait. If none does, nobody that comes later has waited."""
        self._accepting()
        self._accept()

    def pong(self, args: list[bytes]) -> bytes:
        """The answer to a PING: the front sends clients only where it is the usual one."""
        if not self.ready:
            return b"-LOADING draining, come again later\r\n"
        return b"$%d\r\n%s\r\n" % (len(args[0]), args[0]) if args else b"+PONG\r\n"

    def _accepting(self) -> None:
        if self.sock is not None:
            self.network.on_readable(self.sock, self._accept)

    def _rest(self) -> None:
        """No descriptor can be freed: those that wait are taken up a little later."""
        if self.sock is not None:
            if not self.rested_at:
                self._queue()
            self.network.off_readable(self.sock)
            self.timers["rest"] = self.loop.call_later(REST_S, self._accepting)

    def _accept(self) -> bool:
        """Take up a few; whether more may wait."""
        for count in range(ACCEPTS):
            if self.sock is None:
                return False
            if len(self.clients) + len(self.leaving) >= self.places.most:
                if count:
                    return True  # room is made only for one that waits: if one does, this is called again
                if not self.make_room():
                    self._rest()
                    return False
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                self.rested_at = 0.0
                return False
            except OSError as error:
                log.error("accepting: %s", error)
                if error.errno not in NO_FILES or not self.make_room():
                    self._rest()
                    return False
                continue
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.clients[client := self.make(self, sock)] = None
            if self.rested_at:
                client.waited_ms = int((self.loop.time() - self.rested_at) * 1e3)
                self.waiting -= 1
                if not self.waiting:
                    self.rested_at = 0.0
        return True

    def adopt(self, sock: Socket, state: dict[str, Any]) -> None:
        """Go on with a client of another process."""
        self.clients[client := self.make(self, sock)] = None
        client.restore(state)

    def make_room(self) -> bool:
        """Close one that is shut, else one with no request open. What has come is read first: one whose
        request is about to be answered stays. One that was told to wait is not read before its pause ends."""
        for client in self._spare():
            if client.closed or client.is_turned_away or not client.look():
                client.close()
                return True
        return False

    def _spare(self) -> Iterator[Client]:
        """Those that may be closed, the best first: shut; silent since they came; turned away; idle, the
        longest first; never of use, those first that have sent nothing for the longest, since one that has
        only just connected is about to send, and a slow one goes on with its request; and amid a request that
        is not whole, likewise."""
        yield from list(self.leaving)
        silent_since = self.loop.time() - SILENT_S
        fresh = [c for c in self.clients if not c.useful and not c.pending and not c.unsent]
        yield from [c for c in fresh if c.between_requests and c.since < silent_since]
        yield from [c for c in fresh if c.is_turned_away]
        yield from [c for c in self.idle if c.between_requests]
        yield from sorted(fresh, key=lambda c: c.heard_at)
        amid = [c for c in self.clients if c.reader.midway and not c.pending and not c.unsent]
        yield from sorted(amid, key=lambda c: c.due)

    def rests(self, client: Client) -> None:
        """It has no request open any more. Where each client asks once and keeps its connection, those that
        are kept would take the places of those that come: only some are."""
        self.idle.pop(client, None)
        self.idle[client] = None
        over = int(len(self.idle) - self.idle_most)
        if over > 0 and not self.trimming:
            self.trimming = True  # one that has a request answered at once rests anew
            for spare in list(itertools.islice(self.idle, over)):
                spare.finish()
            self.trimming = False

    def _sweep(self) -> None:
        now = self.loop.time()
        for client in [c for c in self.leaving if c.due <= now]:
            client.close()
        for client in [c for c in self.clients if c.due <= now]:
            client.overdue(now)
        silent = [c for c in self.clients if not c.useful and c.between_requests and now - c.since > SILENT_S]
        for client in silent[: max(0, len(silent) - self.idle_most)]:
            client.finish()
        self.timers["sweep"] = self.loop.call_later(SWEEP_S, self._sweep)

    def leaves(self, client: Client) -> None:
        """It is shut."""
        self.left(client)
        self.leaving[client] = None

    def left(self, client: Client) -> None:
        """It is closed."""
        self.clients.pop(client, None)
        self.idle.pop(client, None)
        self.leaving.pop(client, None)

    def last_call(self) -> None:
        """Take up those that have connected, then listen no more: those that waited would be reset."""
        for _ in range(BACKLOG + 1):  # no more can have waited
            if not self._accept():
                break
        self.stop_listening()

    def stop_listening(self) -> None:
        if self.sock is not None:
            self.network.off_readable(self.sock)
            self.sock.close()
            self.sock = None

    def let_go(self) -> None:
        """Close those between requests, but for those that have only just connected and are about to send."""
        now = self.loop.time()
        for client in list(self.clients):
            if client.useful or now - client.since > JUST_S:
                client.finish()

    def look(self) -> bool:
        """Read all that has come by now, before those that sent it are closed; whether anything had."""
        return any([client.look() for client in list(self.clients)])  # noqa: C419 (each has to look)

    def end(self) -> None:
        """The process ends: all that is owed is sent, and all connections are shut; `close` is the last."""
        self.stop_listening()
        for client in [*self.clients, *self.leaving]:
            client.end()

    def close(self) -> None:
        """Let go of all sockets at once, also of those that another process goes on with."""
        self.stop_listening()
        for timer in self.timers.values():
            timer.cancel()
        for client in [*self.clients, *self.leaving]:
            client.close()
