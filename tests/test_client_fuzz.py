"""Clients that write, rest and leave at random instants, up to a planned end, judged from their side."""

import asyncio
import contextlib
import random
import socket
from collections import deque
from itertools import pairwise

import pytest
from loopback import Client, bounded, courier

from madderbeam.host import host as host_module

SEEDS = range(6)
CLIENTS = 25
# Shorter than they are, with their order kept. The one end comes amid clients that are busy, the other waits
# for those that were shut.
LISTEN_S = 0.25
EXITS_S = (0.26, 0.7)


class Hand:
    """One client with its connection: what it wrote whole, what it heard, how it ended."""

    def __init__(self, name, port, chance):
        self.name, self.chance, self.loop = name, chance, asyncio.get_running_loop()
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.asked = []  # of requests whose last byte is written: how the answer may begin, the message's id
        self.ends, self.begun, self.sent = deque(), 0, 0  # where requests end; bytes begun, and written
        self.news = asyncio.Event()
        self.heard, self.over, self.strikes = b"", "", 0
        self.reading = asyncio.create_task(self._read())

    async def _read(self):
        try:
            while part := await self.loop.sock_recv(self.sock, 1 << 16):
                self.heard += part
                self.news.set()
            self.over = "ended"
        except ConnectionError as error:
            self.over = repr(error)
        self.news.set()

    def answers(self):
        """The lines that came, without those that tell a length; the last is empty if all are whole."""
        return [line for line in self.heard.split(b"\r\n") if not line.startswith(b"$")]

    def _request(self):
        """A request, how its answer may begin, and the id of a message."""
        kind, word = self.chance.random(), f"{self.name}.{self.chance.randrange(1 << 40)}"
        if kind < 0.1:
            return Client.command(b"PING", word.encode()), word.encode(), ""
        if kind < 0.13 and self.strikes < 2:
            self.strikes += 1
            return Client.command(b"NOPE"), b"-ERR unknown command", ""
        body = self.chance.randbytes(self.chance.choice((0, 5, 300, 3000)))
        named = self.chance.choice(("safe", "keyed", "unsafe"))
        key = word if named == "keyed" else ""
        life = self.chance.choice((0, 300, 6000))
        return Client.message(word, kind=named, key=key, body=body, life=life), (b"+OK", b"-BUSY"), word

    async def _write(self, data):
        """Whether the connection has not ended."""
        while data and not self.over:
            try:
                size = self.sock.send(data)
            except BlockingIOError:
                await asyncio.sleep(0)
                continue
            except OSError:
                return False
            data, self.sent = data[size:], self.sent + size
            while self.ends and self.ends[0][0] <= self.sent:
                self.asked.append(self.ends.popleft()[1])
        return not self.over

    async def _pause(self):
        how = self.chance.random()
        if how < 0.4:
            await asyncio.sleep(0)
        elif how < 0.9:
            await asyncio.sleep(self.chance.random() * 0.01)
        elif how < 0.97:
            await asyncio.sleep(self.chance.random() * 0.1)
        else:
            await asyncio.sleep(self.chance.random() * 0.6)

    async def go(self):
        while not self.over:
            text = b""
            for _ in range(self.chance.choice((1, 1, 1, 2, 5, 60))):
                request, *asked = self._request()
                text += request
                self.ends.append((self.begun + len(text), asked))
            self.begun += len(text)
            cuts = self.chance.choice((0, 0, 1, 3))
            cuts = [0, *sorted(self.chance.randrange(1, len(text)) for _ in range(cuts)), len(text)]
            for start, end in pairwise(cuts):
                if start:
                    await self._pause()
                if not await self._write(text[start:end]):
                    break
            if self.chance.random() < 0.03:
                with contextlib.suppress(OSError):  # it has ended
                    self.sock.shutdown(socket.SHUT_WR)
                break
            if self.chance.random() < 0.8:  # the usual client asks again once it has heard
                while not self.over and len(self.answers()) <= len(self.asked):
                    self.news.clear()
                    await bounded(self.news.wait())
            await self._pause()
        await bounded(self.reading)


@pytest.mark.parametrize("seed", SEEDS)
def test_each_whole_request_is_answered_once_or_was_never_read(tmp_path, monkeypatch, seed):
    monkeypatch.setattr(host_module, "ACCEPT_UNTIL_S", LISTEN_S)
    monkeypatch.setattr(host_module, "CALLS_UNTIL_S", LISTEN_S)
    monkeypatch.setattr(host_module, "CLIENTS_UNTIL_S", EXITS_S[seed % len(EXITS_S)])

    async def test(fleet):
        chance = random.Random(seed)
        for name in "ab":
            await fleet.endpoint(name)
        await fleet.inside()
        host, port, hands, going, handed = fleet.host, fleet.port_of_host(), [], [], set()
        put = host.clients.put

        def noted(one, reply):
            handed.add(one.id)
            put(one, reply)

        host.clients.put = noted

        async def come():
            for n in range(CLIENTS):
                await asyncio.sleep(chance.random() * 0.03)
                if not host.clients.listening:
                    return
                hands.append(Hand(f"c{n}", port, random.Random(f"{seed} {n}")))
                going.append(asyncio.create_task(hands[-1].go()))

        coming = asyncio.create_task(come())
        await asyncio.sleep(0.1 + chance.random() * 0.4)
        host.terminate()
        await bounded(host.closed)
        host.close()
        await bounded(coming)
        for task in going:
            await bounded(task)
        for hand in hands:
            assert hand.over == "ended", (hand.name, hand.over)
            *answers, rest = hand.answers()
            more = answers[len(hand.asked) :]
            assert not more and not rest, (hand.name, more, rest)
            for (start, _), answer in zip(hand.asked, answers, strict=False):
                assert answer.startswith(start), (hand.name, start, answer)
            unanswered = {ident for _, ident in hand.asked[len(answers) :]}
            assert not handed & unanswered, (hand.name, handed & unanswered)
        assert hands and len(handed) > CLIENTS  # it played

    courier(test)(tmp_path)
