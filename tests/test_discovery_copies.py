"""A second copy of what discovery writes is not taken for the answer to a notice, or for news of the list."""

import asyncio
import json
import random

from loopback import Server, answer, bounded, read_request

from madderbeam.ports.real import RealNetwork
from madderbeam.transport.discovery import Notices, Watch

ACCEPTED = answer(204)


class CopyingAgent(Server):
    """Accepts the first notice and repeats that answer later; the second is first turned down, late."""

    def __init__(self):
        super().__init__()
        self.posts, self.accepted = asyncio.Queue(), asyncio.Queue()

    async def serve(self, reader, writer):
        while True:
            _, _, _, body = await read_request(reader)
            ident = json.loads(body.splitlines()[0])["id"]
            self.posts.put_nowait(ident)
            if ident == "first":
                writer.write(ACCEPTED)
                asyncio.get_running_loop().call_later(0.03, writer.write, ACCEPTED)
            elif self.posts.qsize() == 2:
                await asyncio.sleep(0.06)
                writer.write(answer(503))
                continue
            else:
                writer.write(ACCEPTED)
            self.accepted.put_nowait(ident)


def test_a_copy_of_an_accepted_notices_answer_does_not_accept_the_next_notice():
    async def run():
        agent = await CopyingAgent().start()
        loop, numbers = asyncio.get_running_loop(), []
        address = ("127.0.0.1", agent.port)
        notices = Notices(loop, RealNetwork(loop), address, random.Random(1), numbers.extend)
        notices.add(1, "first", "undeliverable", 0)
        assert await bounded(agent.accepted.get()) == "first"
        while not numbers:
            await asyncio.sleep(0.001)
        notices.add(2, "second", "undeliverable", 0)
        assert await bounded(agent.accepted.get()) == "second"
        while len(numbers) < 2:
            await asyncio.sleep(0.001)
        notices.stop()
        await agent.stop()

    asyncio.run(run())


def test_an_older_line_of_the_watch_that_comes_again_changes_nothing():
    async def run():
        loop, told = asyncio.get_running_loop(), []
        address = ("127.0.0.1", 1)
        watch = Watch(loop, RealNetwork(loop), address, random.Random(1), 0, lambda c: told.append(c["rev"]))

        def line(rev):
            return json.dumps({"rev": rev, "all": False, "targets": []}).encode() + b"\n"

        class Open:
            closed = False

        watch.connection = Open()
        watch.by = watch.clock_end = loop.time() + 5
        for rev in (41, 42, 43, 42, 41, 43, 44):
            watch.data(line(rev))
        assert told == [41, 42, 43, 43, 44]
        assert watch.rev == 44
        watch.timer.cancel()

    asyncio.run(run())
