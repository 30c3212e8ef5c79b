"""Virtual time: asyncio's interface on a loop whose clock jumps to the next event that is due."""

from __future__ import annotations

import asyncio
import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

SPIN = 200_000  # events at one virtual instant after which the run is taken to hang


class Killed(BaseException):
    """A simulated process has just been killed: nothing of it runs any more."""


class Spinning(Exception):
    """Virtual time stands still though events go on."""


class Event:
    """Something that is due: a callback with asyncio's handle interface."""

    __slots__ = ("action", "args", "loop", "when_us")

    def __init__(
        self, when_us: int, action: Callable[..., Any] | None, args: tuple[Any, ...], loop: ProcessLoop | None
    ) -> None:
        self.when_us, self.action, self.args, self.loop = when_us, action, args, loop

    def cancel(self) -> None:
        self.action, self.args = None, ()

    def cancelled(self) -> bool:
        return self.action is None

    def when(self) -> float:
        """Seconds of virtual time."""
        return self.when_us / 1e6


class Scheduler:
    """One queue of events for all simulated processes and their world. Virtual time is in microseconds.

    Where several events are due at one instant their order is drawn from the seed. What was handed to
    `soon` keeps its order and comes first, as on asyncio's loop, where a turn's callbacks precede what the
    next look at sockets and timers finds.
    """

    def __init__(self, seed: object, grid_us: int = 1) -> None:
        self.chance = random.Random(f"order {seed}").random
        self.grid_us = grid_us  # timers are rounded up to this: a coarse grid makes coincidences common
        self.now_us = 0
        self.steps = 0
        self.heap: list[tuple[int, float, int, Event]] = []
        self.ready: deque[Event] = deque()
        self.count = 0
        self.failed: Callable[[ProcessLoop, BaseException], None] | None = None

    def at(
        self, when_us: int, action: Callable[..., Any], *args: Any, loop: ProcessLoop | None = None
    ) -> Event:
        """Call at that time, not before now."""
        event = Event(max(when_us, self.now_us), action, args, loop)
        self.count += 1
        heapq.heappush(self.heap, (event.when_us, self.chance(), self.count, event))
        return event

    def after(
        self, delay_us: float, action: Callable[..., Any], *args: Any, loop: ProcessLoop | None = None
    ) -> Event:
        return self.at(self.now_us + int(delay_us), action, *args, loop=loop)

    def soon(self, action: Callable[..., Any], *args: Any, loop: ProcessLoop | None = None) -> Event:
        event = Event(self.now_us, action, args, loop)
        self.ready.append(event)
        return event

    def timer(
        self, when_us: int, action: Callable[..., Any], args: tuple[Any, ...], loop: ProcessLoop
    ) -> Event:
        """A process's timer: never early, on the grid."""
        return self.at(-(-when_us // self.grid_us) * self.grid_us, action, *args, loop=loop)

    def run(self, end_us: int) -> None:
        """Run all that is due until then; the clock ends there."""
        heap, ready = self.heap, self.ready
        same = 0
        while True:
            batch = list(ready)
            ready.clear()
            # One look at sockets and timers finds some of what is due, at least one; the next finds more, and
            # what these have brought about as well.
            while heap and heap[0][0] <= self.now_us:
                batch.append(heapq.heappop(heap)[3])
                if self.chance() < 0.5:
                    break
            if not batch:
                if not heap or heap[0][0] > end_us:
                    self.now_us = max(self.now_us, end_us)
                    return
                self.now_us, same = heap[0][0], 0
                continue
            same += len(batch)
            if same > SPIN:
                raise Spinning(f"{same} events at {self.now_us} us")
            for event in batch:
                if event.action is not None:
                    self._run(event)

    def _run(self, event: Event) -> None:
        loop, action = event.loop, event.action
        if action is None:
            return
        event.action = None
        self.steps += 1
        if loop is None:
            action(*event.args)
            return
        if loop.dead:
            return
        if loop.behind is not None:
            event.action = action
            loop.behind.append(event)
            return
        try:
            action(*event.args)
        except Killed:
            pass
        except Exception as error:
            if self.failed is None:
                raise
            self.failed(loop, error)


def process_loop(scheduler: Scheduler) -> ProcessLoop:
    """A loop for one process; what it lacks of asyncio's interface raises NotImplementedError."""
    return ProcessLoop(scheduler)  # type: ignore[abstract]


class ProcessLoop(asyncio.AbstractEventLoop):
    """The loop that one simulated process sees. Nothing of it runs once `dead` is set.

    It has what the courier uses of asyncio's interface; anything else raises NotImplementedError, as
    AbstractEventLoop has it.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler, self.dead = scheduler, False
        self.pace = 1.0  # of its machine's clock: seconds in one of virtual time
        self.behind: list[Event] | None = None  # the process stands still: what has come due meanwhile
        self.signals: dict[int, tuple[Callable[..., Any], tuple[Any, ...]]] = {}

    def time(self) -> float:
        return self.scheduler.now_us / 1e6

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> Any:
        return self.scheduler.soon(callback, *args, loop=self)

    def call_later(self, delay: float, callback: Any, *args: Any, context: Any = None) -> Any:
        scheduler = self.scheduler
        delay_us = max(0, int(delay / self.pace * 1e6 + 0.999))
        return scheduler.timer(scheduler.now_us + delay_us, callback, args, self)

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> Any:
        return self.scheduler.timer(int(when * 1e6 + 0.999), callback, args, self)

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, **more: Any) -> asyncio.Task[Any]:
        return asyncio.Task(coro, loop=self, **more)

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return True

    def is_closed(self) -> bool:
        return self.dead

    def add_signal_handler(self, sig: int, callback: Any, *args: Any) -> None:
        self.signals[sig] = (callback, args)

    def remove_signal_handler(self, sig: int) -> bool:
        return self.signals.pop(sig, None) is not None

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if self.scheduler.failed:
            self.scheduler.failed(self, context.get("exception") or RuntimeError(context["message"]))

    def pause(self) -> None:
        """SIGSTOP: time and the network go on, nothing of the process does."""
        if self.behind is None:
            self.behind = []

    def go_on(self) -> None:
        """SIGCONT: what came due is run now, in the order in which it did."""
        if self.behind is not None:
            self.scheduler.ready.extend(self.behind)
            self.behind = None

    def signal(self, sig: int) -> bool:
        """Deliver a signal; whether the process handles it."""
        if sig not in self.signals:
            return False
        callback, args = self.signals[sig]
        self.call_soon(callback, *args)
        return True
