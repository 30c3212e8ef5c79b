"""A discovery that is overbooked recovers, since those that it turns away ask less and less."""

import asyncio
import random

import pytest
from loopback import Server, answer, bounded, read_request

from madderbeam.ports.real import real_ports
from madderbeam.simulation.http_tap import RequestTap
from madderbeam.simulation.loop import ProcessLoop, Scheduler
from madderbeam.simulation.network import Link as SimLink
from madderbeam.simulation.network import SimNetwork
from madderbeam.transport.discovery import BUSY_S, CLOCK_S, SILENCE_S, Backoff, Watch

PATIENCE_S, COURIERS = 2.0, 28
ADDRESS = ("10.9.9.9", 80)


def list_served(serve_s, wait_of):
    """Couriers that got a list within 20 s, and how often discovery was asked. It needs `serve_s` for each
    and turns away what it would not answer within 2 s. `wait_of(backoff)` is the wait of one turned away."""
    rests = [(0.0, k) for k in range(COURIERS)]
    backoffs = [Backoff(random.Random(k)) for k in range(COURIERS)]
    free, served, asked = 0.0, 0, 0
    while rests:
        rests.sort()
        now, k = rests.pop(0)
        if now > 20:
            break
        asked += 1
        if max(free, now) + serve_s - now > PATIENCE_S:
            rests.append((now + wait_of(backoffs[k]), k))
        else:
            free = max(free, now) + serve_s
            served += 1
    return served, asked


@pytest.mark.parametrize("serve_s", [0.1, 0.2, 0.29])  # at most 8 s for all: so the settings have it
def test_all_couriers_get_in_with_few_calls(serve_s):
    served, asked = list_served(serve_s, Backoff.busy)
    assert served == COURIERS and asked < 3 * COURIERS
    assert list_served(serve_s, Backoff.next)[1] > 1.4 * asked  # with the waits of lost connections


def test_a_list_that_came_makes_the_waits_short_again():
    backoff = Backoff(random.Random(1))
    for _ in range(8):
        assert 0.5 <= backoff.busy() <= SILENCE_S  # what is told counts 6 s after the watch fell silent
    assert backoff.next() >= BUSY_S[1] / 4  # nor does a lost connection make them shorter
    backoff.reset()
    assert backoff.next() <= 0.1


class Busy(Server):
    """Turns every watch away; keeps when each came."""

    def __init__(self):
        super().__init__()
        self.asked = asyncio.Queue()

    async def serve(self, reader, writer):
        await read_request(reader)
        self.asked.put_nowait(asyncio.get_running_loop().time())
        writer.write(answer(503, Connection="close"))


def test_a_watch_that_is_turned_away_does_not_ask_again_at_once():
    async def test():
        loop, busy = asyncio.get_running_loop(), await Busy().start()
        watch = Watch(loop, real_ports(loop).network, ("127.0.0.1", busy.port), random.Random(1), 7, print)
        watch.open()
        first, second = await bounded(busy.asked.get()), await bounded(busy.asked.get())
        watch.stop()
        await busy.stop()
        return second - first

    assert asyncio.run(test()) >= 0.49  # a quarter of the first ceiling; a lost connection's is 0.1 s


def watches_served(serve_s, silent_at_once):
    """As `list_served`, by the watches themselves: their discovery falls silent for all of them at 0, and
    from then on answers each call in turn. When each got its list, and how often discovery was asked."""
    scheduler = Scheduler(1)
    queue = Queue(scheduler, serve_s)
    heard = {}
    for k in range(COURIERS):
        network = SimNetwork(
            ProcessLoop(scheduler), {ADDRESS: queue}, SimLink(), random.Random(k), lambda name: False, 9
        )
        watch = Watch(
            network.loop,
            network,
            ADDRESS,
            random.Random(k),
            1,
            lambda change, k=k: heard.setdefault(k, scheduler.now_us / 1e6),
        )
        watch.by = watch.clock_end = CLOCK_S + (0.0 if silent_at_once else 2 * k / COURIERS)
        watch.after(watch.clock_end - CLOCK_S + SILENCE_S, watch.open)
    scheduler.run(30_000_000)
    late = [at - (0.0 if silent_at_once else 2 * k / COURIERS) for k, at in heard.items()]
    return late, queue.asked, queue.in_vain


class Queue:
    """A discovery that takes `serve_s` for each list and turns away what it would not answer within 2 s."""

    def __init__(self, scheduler, serve_s):
        self.scheduler, self.serve_us = scheduler, int(serve_s * 1e6)
        self.free, self.asked, self.in_vain = 0, 0, 0

    def accept(self, stream):
        return Waiting(self, stream)


class Waiting:
    def __init__(self, queue, stream):
        self.queue, self.stream = queue, stream
        self.tap = RequestTap(stream, lambda request: None, self.came, pytest.fail)

    def up(self):
        return

    def data(self, data):
        self.tap.arrived(len(data))

    def ended(self, reset):
        return

    def came(self, request):
        queue, now = self.queue, self.queue.scheduler.now_us
        queue.asked += 1
        if max(queue.free, now) + queue.serve_us - now > PATIENCE_S * 1e6:
            self.stream.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
            return
        queue.free = max(queue.free, now) + queue.serve_us
        queue.scheduler.after(queue.free - now, self.answer)

    def answer(self):
        if self.stream.closed:  # it was given up meanwhile
            self.queue.in_vain += 1
            return
        self.stream.write(
            b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"21\r\n" + b'{"rev":2,"all":true,"targets":[]}\r\n'
        )
        self.beat()

    def beat(self):
        if not self.stream.closed:
            self.stream.write(b"1\r\n\n\r\n")
            self.queue.scheduler.after(2_000_000, self.beat)


@pytest.mark.parametrize("silent_at_once", [True, False])
@pytest.mark.parametrize(("serve_s", "most"), [(0.07, 1.0), (0.1, 1.3), (0.15, 1.9), (0.2, 2.3), (0.29, 3.1)])
def test_all_watches_that_fall_silent_get_in_with_few_calls_and_none_in_vain(serve_s, most, silent_at_once):
    # By the list's clock each asks three times in 6 s. What it cut amid the queue would be work for
    # nothing, of which an overbooked discovery has none to spare. `most`: calls for each list.
    late, asked, in_vain = watches_served(serve_s, silent_at_once)
    assert len(late) == COURIERS and in_vain == 0 and asked <= most * COURIERS
    assert max(late) <= max(6.0, COURIERS * serve_s + 3.1)  # later only by the lists of the others
