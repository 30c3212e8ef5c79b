"""Clients that hand in messages of all kinds at a steady pace, and come again where they are told to."""

from __future__ import annotations

import asyncio
import itertools

ANSWERED_S = 15.0
_numbers = itertools.count(1)  # so that no id comes twice
KINDS = ("safe", "keyed", "unsafe")


class Traffic:
    """`async with Traffic(estate, ["macon/m1"], [1, 2], topic="season")` hands in one message every `every_s`
    at each of these members in turn, to these destinations and, if there is one, the topic. What is refused
    is not handed in again: the next message is."""

    def __init__(self, estate, members, dests, topic="", every_s=0.02, life=15_000):
        self.estate, self.members, self.dests = estate, members, dests
        self.topic, self.every_s, self.life = topic, every_s, life
        self.taken, self.answers, self.number = 0, [], next(_numbers)
        self.more, self.ended = asyncio.Event(), False

    async def __aenter__(self):
        self.tasks = [asyncio.create_task(self._feed(name)) for name in self.members]
        return self

    async def __aexit__(self, *_):
        self.ended = True  # what is handed in gets its answer first, or it may count without being noted
        await asyncio.wait_for(asyncio.gather(*self.tasks), ANSWERED_S)

    async def cancel(self):
        """Its members are about to die: nothing more is handed in. What is on its way gets its answer first:
        taken on and not noted it would count as handed in by nobody. Of one that is dead none comes."""
        self.ended = True
        await asyncio.wait_for(asyncio.gather(*self.tasks, return_exceptions=True), ANSWERED_S)
        self.tasks = []

    async def until_taken(self, count, limit):
        """Until so many more were taken on."""

        async def inner():
            goal = self.taken + count
            while self.taken < goal:
                self.more.clear()
                await self.more.wait()

        await asyncio.wait_for(inner(), limit)

    async def _feed(self, name):
        estate, member = self.estate, self.estate[name]
        client = await member.client()
        ways = [*self.dests, *([self.topic] if self.topic else [])]
        for n, (kind, way) in enumerate(itertools.cycle(itertools.product(KINDS, ways))):
            ident = f"{name.replace('/', '-')}-{self.number}-{n}"
            hand_in = estate.put if isinstance(way, int) else estate.publish
            answer = await hand_in(client, member, ident, way, kind=kind, life=self.life)
            self.answers.append(answer)
            if answer == "+OK":
                self.taken += 1
                self.more.set()
            else:
                assert answer.startswith("-BUSY"), answer
            if self.ended:
                return
            await asyncio.sleep(self.every_s)  # the pace; nobody waits for it
