"""Messages that their clients withdrew: their endpoint answers 410, on a courier's process and real sockets.

Guards against a call for a message whose end the courier has been told (report e09653).
"""

import asyncio
import itertools
import json
from collections import Counter

import pytest
from loopback import Fleet, Server, answer, bounded, read_request

GONE = answer(410)
COUNT = 24  # messages of a run, two of three withdrawn
LIFE_MS = 3000
ENDED_S = 4.5  # an outcome that has not come so long behind the last message never comes
QUIET_S = 1.2  # behind the last outcome, in which a retry would come
KINDS = ("safe", "keyed", "unsafe")
PAUSES_S = (0.0, 0.02, 0.2)  # between two messages


class WithdrawalEndpoint(Server):
    """An endpoint that answers 410 for messages that were withdrawn, and delivers the others."""

    def __init__(self, has_equal_responses):
        super().__init__()
        self.has_equal_responses = has_equal_responses
        self.told, self.delivered, self.sent_again = set(), set(), []

    async def serve(self, reader, writer):
        while True:
            _, path, headers, body = await read_request(reader)
            if path.endswith("bundle"):
                idents = [row["id"] for row in json.loads(body)]
                rows = [{"id": ident, "state": self.state(ident)} for ident in idents]
                writer.write(answer(200, json.dumps(rows).encode()))
            elif self.state(headers["x-request-id"]) == "void":
                writer.write(GONE)
            else:
                writer.write(self.success())

    def state(self, ident):
        """What becomes of a message that is called."""
        if not ident.startswith("withdrawn"):
            self.delivered.add(ident)
            return "done"
        if ident in self.told:
            self.sent_again.append(ident)
        self.told.add(ident)
        return "void"

    def success(self):
        body = b"" if self.has_equal_responses else b"%08x" % len(self.delivered)
        return answer(200, body)


async def play(folder, kind, endpoint_kind, has_equal_responses, pause_s):
    """Hand messages in, most of them withdrawn; return those that were called again, and those not ended."""
    folder.mkdir()
    async with Fleet(folder) as fleet:
        endpoint = fleet.endpoints["a"] = await WithdrawalEndpoint(has_equal_responses).start()
        fleet.discovery.target("a", endpoint.port, 7, endpoint_kind, rate=1000.0)
        client = await fleet.outside()
        idents = [f"{'withdrawn' if n % 3 else 'wanted'}{n}" for n in range(COUNT)]
        for ident in idents:
            key = f"key{ident}" if kind == "keyed" else ""
            assert await client.put(ident, kind=kind, life=LIFE_MS, key=key) == "+OK"
            await asyncio.sleep(pause_s)
        undone = set(idents)
        loop = asyncio.get_running_loop()
        last_at = loop.time() + ENDED_S
        while undone and loop.time() < last_at:
            await asyncio.sleep(0.05)
            undone -= endpoint.told | endpoint.delivered
            while not fleet.discovery.finals.empty():
                undone.discard(fleet.discovery.finals.get_nowait()[1]["id"])
        await asyncio.sleep(QUIET_S)
        return endpoint.sent_again, undone


@pytest.mark.parametrize("has_equal_responses", [False, True])
@pytest.mark.parametrize("endpoint_kind", ["plain", "bundles"])
def test_a_message_whose_endpoint_answered_410_is_called_no_more(
    endpoint_kind, has_equal_responses, tmp_path
):
    async def run():
        rows = list(itertools.product(KINDS, PAUSES_S))
        plays = [
            play(tmp_path / str(number), kind, endpoint_kind, has_equal_responses, pause_s)
            for number, (kind, pause_s) in enumerate(rows)
        ]
        return dict(zip(rows, await asyncio.gather(*plays), strict=True))

    found = asyncio.run(run())
    assert {row: outcome for row, outcome in found.items() if outcome != ([], set())} == {}


WORK_S = (0.0, 0.05, 0.4)
WAYS_S = (0.0, 0.03)
BEHIND_S = (0.0, 0.003, 0.03, 0.12, 0.3, 0.5)
LATE_S = 0.05  # more, and a copy would come later than half a second behind its response


class CopyingEndpoint(Server):
    """Answers each withdrawn message with 410 and once more some time behind it; then it works, or hangs."""

    def __init__(self, hangs, way_s, work_s, behind_s):
        super().__init__()
        self.hangs, self.way_s, self.work_s, self.behind_s = hangs, way_s, work_s, behind_s
        self.delivered, self.told = set(), set()

    async def serve(self, reader, writer):
        while True:
            _, _, headers, _ = await read_request(reader)
            await asyncio.sleep(self.way_s)
            ident = headers["x-request-id"]
            if ident.startswith("withdrawn"):
                self.told.add(ident)
                self._write(writer, 0.0)
                self._write(writer, self.behind_s)
                continue
            if self.hangs:
                await reader.read()
                return
            await asyncio.sleep(self.work_s)
            self.delivered.add(ident)
            writer.write(answer(200, ident.encode()))

    def _write(self, writer, delay_s):
        loop = asyncio.get_running_loop()
        due_at = loop.time() + self.way_s + delay_s

        def write():
            if loop.time() - due_at < LATE_S:
                writer.write(GONE)

        loop.call_at(due_at, write)


async def undone_behind_copies(folder, hangs, way_s, work_s, behind_s):
    """Return the messages behind copied 410s that were not delivered, nor reported by a hung endpoint."""
    folder.mkdir()
    async with Fleet(folder) as fleet:
        endpoint = fleet.endpoints["a"] = await CopyingEndpoint(hangs, way_s, work_s, behind_s).start()
        fleet.discovery.target("a", endpoint.port, 7, rate=1000.0)
        client = await fleet.inside()
        wanted = set()
        for number in range(4):
            assert await client.put(f"withdrawn{number}", life=LIFE_MS) == "+OK"
            await asyncio.sleep(2 * way_s + 0.01)
            wanted.add(f"wanted{number}")
            assert await client.put(f"wanted{number}", life=LIFE_MS) == "+OK"
        loop = asyncio.get_running_loop()
        undone, last_at = set(wanted), loop.time() + LIFE_MS / 1e3 + ENDED_S
        while undone and loop.time() < last_at:
            await asyncio.sleep(0.05)
            undone -= endpoint.delivered
            while hangs and not fleet.discovery.finals.empty():
                undone.discard(fleet.discovery.finals.get_nowait()[1]["id"])
        return undone


@pytest.mark.parametrize("hangs", [False, True])
def test_a_copy_of_a_410_ends_no_other_message(hangs, tmp_path):
    async def run():
        rows = list(itertools.product(WAYS_S, WORK_S, BEHIND_S))
        plays = [undone_behind_copies(tmp_path / str(n), hangs, *row) for n, row in enumerate(rows)]
        return dict(zip(rows, await bounded(asyncio.gather(*plays)), strict=True))

    assert {row: idents for row, idents in asyncio.run(run()).items() if idents} == {}


HEAD = b"HTTP/1.1 410 x\r\n"
UNPROVEN = {
    "two lengths": HEAD + b"Content-Length: 0\r\nContent-Length: 3\r\n\r\n",
    "a head that can't be read": HEAD + b"Bad\x00Head: 1\r\n\r\n",
    "a body that is too long": HEAD + b"Content-Length: 2\r\n\r\nno room here",
    "a body without end": HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 70000,
    "a body that stops": HEAD + b"Content-Length: 10\r\n\r\nno",
    "a head that stops": HEAD + b"Content-Le",
    "a head that breaks off": HEAD + b"Content-Le",
}


class UnprovenEndpoint(Server):
    """Tells the end of each message by a 410 that proves nothing."""

    def __init__(self, form):
        super().__init__()
        self.form, self.calls = form, []

    async def serve(self, reader, writer):
        while True:
            _, _, headers, _ = await read_request(reader)
            self.calls.append(headers["x-request-id"])
            writer.write(UNPROVEN[self.form])
            if self.form == "a head that breaks off":
                return


async def unproven(folder, form, kind):
    """Return how often each message was called, and the notices."""
    folder.mkdir()
    async with Fleet(folder) as fleet:
        endpoint = fleet.endpoints["a"] = await UnprovenEndpoint(form).start()
        fleet.discovery.target("a", endpoint.port, 7, rate=1000.0)
        client = await fleet.outside()
        idents = ["m0", "m1", "m2"]
        for ident in idents:
            key = f"key{ident}" if kind == "keyed" else ""
            assert await client.put(ident, kind=kind, life=LIFE_MS, key=key) == "+OK"
            await asyncio.sleep(0.02)
        notices = {}
        while len(notices) < len(idents):
            final = await fleet.discovery.final()
            notices[final["id"]] = final["status"]
        await asyncio.sleep(QUIET_S)
        return Counter(endpoint.calls), notices


@pytest.mark.parametrize("form", UNPROVEN)
def test_a_message_with_a_410_that_proves_nothing_is_called_no_more_and_reported(form, tmp_path):
    async def run():
        plays = [unproven(tmp_path / kind, form, kind) for kind in KINDS]
        return dict(zip(KINDS, await bounded(asyncio.gather(*plays)), strict=True))

    found = asyncio.run(run())
    assert {kind: calls for kind, (calls, _) in found.items() if max(calls.values()) > 1} == {}
    assert set(found["unsafe"][1].values()) == {"undeliverable"}  # it may have run
