"""Clients that submit messages of all kinds at a steady pace."""

from __future__ import annotations

import asyncio
import itertools

REPLY_S = 15.0
_numbers = itertools.count(1)  # makes ids unique
KINDS = ("safe", "keyed", "unsafe")


class Traffic:
    """Submits one message every `every_s` seconds to each of the members.

    `async with Traffic(estate, ["macon/m1"], [1, 2], topic="season")` cycles through the destinations and the
    topic, if any. A rejected message is not submitted again; the next one follows.
    """

    def __init__(self, estate, members, dests, topic="", every_s=0.02, life=15_000):
        self.estate, self.members, self.dests = estate, members, dests
        self.topic, self.every_s, self.life = topic, every_s, life
        self.taken, self.answers, self.number = 0, [], next(_numbers)
        self.more, self.ended = asyncio.Event(), False

    async def __aenter__(self):
        self.tasks = [asyncio.create_task(self._feed(name)) for name in self.members]
        return self

    async def __aexit__(self, *_):
        self.ended = True  # wait for open replies: a message may be accepted without a record otherwise
        await asyncio.wait_for(asyncio.gather(*self.tasks), REPLY_S)

    async def cancel(self):
        """Stop submitting, before members are killed.

        Open submissions get their replies first: an accepted message without a record would count as
        submitted by no client. A dead member sends none.
        """
        self.ended = True
        await asyncio.wait_for(asyncio.gather(*self.tasks, return_exceptions=True), REPLY_S)
        self.tasks = []

    async def until_accepted(self, count, limit):
        """Wait until `count` more messages are accepted."""

        async def inner():
            goal = self.taken + count
            while self.taken < goal:
                self.more.clear()
                await self.more.wait()

        await asyncio.wait_for(inner(), limit)

    async def _feed(self, name):
        estate, member = self.estate, self.estate[name]
        client = await member.client()
        targets = [*self.dests, *([self.topic] if self.topic else [])]
        for n, (kind, target) in enumerate(itertools.cycle(itertools.product(KINDS, targets))):
            ident = f"{name.replace('/', '-')}-{self.number}-{n}"
            submit = estate.put if isinstance(target, int) else estate.publish
            reply = await submit(client, member, ident, target, kind=kind, life=self.life)
            self.answers.append(reply)
            if reply == "+OK":
                self.taken += 1
                self.more.set()
            else:
                assert reply.startswith("-BUSY"), reply
            if self.ended:
                return
            await asyncio.sleep(self.every_s)  # the submission rate
