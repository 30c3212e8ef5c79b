"""Stand-in for those who run the couriers: calls at the second address, and what is owed to them."""

from __future__ import annotations

import json
from collections.abc import Callable

from madderbeam.simulation.checker import SLACK, Life
from madderbeam.simulation.clients import Clients
from madderbeam.simulation.couriers import Machine
from madderbeam.simulation.kernel import Kernel
from madderbeam.simulation.network import Peer, Stream

ANSWER_US = 1_000_000  # an answer is due within this
AGAIN_US = 300_000  # a call that was not answered with yes is made again
LET_GO_US = 4_000_000  # after a drain began no client's connection is held idle
BACK_US = 2_000_000  # and after its end the courier says yes within this


class ControlCall(Peer):
    """One call; `done` is told the status, 0 if there was no answer."""

    def __init__(
        self,
        kernel: Kernel,
        machine: Machine,
        method: str,
        path: str,
        body: bytes,
        done: Callable[[int], None],
    ) -> None:
        self.kernel, self.machine, self.done = kernel, machine, done
        self.path, self.life = path, machine.life
        self.text = b"%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (
            method.encode(),
            path.encode(),
            len(body),
            body,
        )
        self.buffer, self.over = b"", False
        self.stream: Stream = machine.network.dial(machine.control, self)
        kernel.after(ANSWER_US + SLACK, self._late)

    def up(self) -> None:
        self.stream.write(self.text)

    def refused(self) -> None:
        self._finish(0)

    def data(self, data: bytes) -> None:
        self.buffer += data
        if b"\r\n\r\n" in self.buffer:
            self._finish(int(self.buffer.split()[1]))

    def ended(self, reset: bool) -> None:
        self._finish(0)

    def _finish(self, status: int) -> None:
        if not self.over:
            self.over = True
            self.stream.finish()
            self.done(status)

    def _late(self) -> None:
        life = self.machine.life
        if (
            not self.over
            and life is self.life
            and life.died_us < 0
            and life.closing_us < 0
            and life.ready_us >= 0
            and self.machine.kept(self.stream)
        ):
            self.kernel.checker.broken("control", f"{self.path} at {life.courier} is not answered")
        self._finish(0)


class Operator:
    """Takes an endpoint out by hand, or drains a courier, and puts it back; asks until it is told yes."""

    def __init__(self, kernel: Kernel, clients: Clients, machine: Machine) -> None:
        self.kernel, self.clients, self.machine, self.checker = kernel, clients, machine, kernel.checker
        self.wanted = True  # that it is out, or drained

    def _ask(self, path: str, body: bytes, wanted: bool, yes: Callable[[], None]) -> None:
        """Call until the answer is yes, as long as that is what is wanted."""

        def done(status: int) -> None:
            if 200 <= status < 300:
                yes()
            elif self.wanted is wanted:
                self.kernel.after(AGAIN_US, self._ask, path, body, wanted, yes)

        if self.wanted is wanted:
            ControlCall(self.kernel, self.machine, "PUT", path, body, done)

    def disable(self, uid: str) -> None:
        self._ask(
            "/endpoints/disable",
            json.dumps({"member": uid}).encode(),
            True,
            lambda: self.checker.out_by_hand(self.machine.name, uid),
        )

    def enable(self, uid: str) -> None:
        self.wanted = False
        self._ask_enable(uid)

    def _ask_enable(self, uid: str) -> None:
        """Call until the answer is yes.

        The endpoint may be used again from each call on, and behind its answer if another operator had it
        disabled meanwhile: the courier may have carried out the two in either order.
        """

        def done(status: int) -> None:
            self.checker.put_back(self.machine.name, uid)
            if not 200 <= status < 300:
                self.kernel.after(AGAIN_US, self._ask_enable, uid)

        self.checker.put_back(self.machine.name, uid)
        body = json.dumps({"member": uid}).encode()
        ControlCall(self.kernel, self.machine, "PUT", "/endpoints/enable", body, done)

    def drain(self) -> None:
        self.clients.drains.add(self.machine.name)
        self._ask("/drain", b"", True, self._draining)

    def _draining(self) -> None:
        """The front asks at once and stops a little later."""
        life = self.machine.life
        self.clients.left_alone.add(self.machine.name)
        Ping(self.kernel, self.machine, True, lambda: self.wanted and self.machine.life is life)
        self.kernel.after(LET_GO_US + SLACK, self._let_go, life)

    def _let_go(self, life: Life) -> None:
        """Nobody is held any more, unless a new process does not know of the drain."""
        if not self.wanted or self.machine.life is not life or life.closing_us >= 0 or life.died_us >= 0:
            return
        since = self.kernel.now_us - LET_GO_US
        held = [
            s
            for s in self.machine.network.open
            if s.address == self.machine.address and 0 <= s.accepted_us < since and s.up and not s.gone
        ]
        if held:
            self.checker.broken("control", f"{life.courier} drains and holds {len(held)} clients")

    def undrain(self) -> None:
        self.wanted = False
        self.clients.left_alone.discard(self.machine.name)
        self._ask("/undrain", b"", False, self._back)

    def _back(self) -> None:
        life = self.machine.life
        self.kernel.after(BACK_US, self._is_back, life)

    def _is_back(self, life: Life) -> None:
        self.clients.drains.discard(self.machine.name)
        Ping(
            self.kernel,
            self.machine,
            False,
            lambda: self.machine.life is life and self.machine.name not in self.clients.drains,
        )


class Ping(Peer):
    """The front asks whether a courier takes clients; `still`: whether the answer matters any more."""

    def __init__(self, kernel: Kernel, machine: Machine, drained: bool, still: Callable[[], bool]) -> None:
        self.kernel, self.machine, self.drained, self.still = kernel, machine, drained, still
        self.buffer = b""
        self.stream: Stream = machine.network.dial(machine.address, self)

    def up(self) -> None:
        self.stream.write(b"*1\r\n$4\r\nPING\r\n")

    def refused(self) -> None:
        return

    def data(self, data: bytes) -> None:
        self.buffer += data
        if b"\r\n" not in self.buffer:
            return
        self.stream.finish()
        if self.still() and (self.buffer == b"+PONG\r\n") is self.drained:
            what = "drains" if self.drained else "is back at work"
            self.kernel.checker.broken("control", f"{self.machine.name} {what} and says {self.buffer!r}")

    def ended(self, reset: bool) -> None:
        return
