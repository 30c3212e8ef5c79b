"""Messages that their clients withdrew: their endpoint answers 410, on a courier's process and real sockets.

Guards against a call for a message whose end the courier has been told (report e09653).
"""

import asyncio
import itertools
import json

import pytest
from loopback import Fleet, Server, answer, read_request

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
