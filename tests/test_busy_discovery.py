"""A discovery that is overbooked recovers, since those that it turns away ask less and less."""

import asyncio
import random

import pytest
from loopback import Server, answer, bounded, read_request

from madderbeam.ports.real import real_ports
from madderbeam.transport.discovery import Backoff, Watch

PATIENCE_S, QUEUE, COURIERS = 2.0, 6, 28


def list_served(serve_s, wait_of):
    """Couriers that got a list within a minute, from a discovery that needs `serve_s` for each and gives an
    answer up that took over 2 s. `wait_of(backoff)` is the wait of one that was turned away."""
    rests = [(0.0, k) for k in range(COURIERS)]
    backoffs = [Backoff(random.Random(k)) for k in range(COURIERS)]
    queue, free, served = [], 0.0, 0
    while rests:
        rests.sort()
        now, k = rests.pop(0)
        if now > 60:
            break
        queue = [end for end in queue if end > now]
        begun = max(free, now)
        if len(queue) >= QUEUE:
            rests.append((now + wait_of(backoffs[k]), k))
        elif begun + serve_s - now > PATIENCE_S:  # its work is done for nothing
            free = begun + serve_s
            queue.append(free)
            rests.append((now + PATIENCE_S + wait_of(backoffs[k]), k))
        else:
            free = begun + serve_s
            queue.append(free)
            served += 1
    return served


@pytest.mark.parametrize("serve_s", [0.35, 0.45])
def test_all_couriers_get_in_one_after_the_other(serve_s):
    assert list_served(serve_s, Backoff.busy) == COURIERS


def test_at_the_pace_of_lost_connections_it_would_stay_overbooked():
    assert list_served(0.45, Backoff.next) < COURIERS / 2


def test_a_list_that_came_makes_the_waits_short_again():
    backoff = Backoff(random.Random(1))
    for _ in range(8):
        assert backoff.busy() >= 0.5
    assert backoff.ceiling == 16
    assert backoff.next() >= 4  # nor does a lost connection make them shorter
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
