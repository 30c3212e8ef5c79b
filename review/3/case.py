"""Case 3: a second copy of an answer stands for the next message's answer, and that message is lost."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import kit
from standins.platform import Platform, courier_files, target

DEST, CLASS, DEADLINE_S = 7, "status-notice", 6.0
LATE_S = 0.35  # behind a message's time an end is overdue: 300 ms, and the sockets' 50 ms
ONE_WAY_S = 0.020  # between courier and endpoint, each way
WORK_S = 0.25  # of a call
BEHIND_S = 0.010  # from the answer to its second copy
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def settings() -> dict:
    """Return a courier's settings: the site's classes."""
    classes = [
        (CLASS, 1000, 6000, "read_like", 0, 2.0, 0.1),
        ("room-order", 4000, 16000, "idempotency_key", 15000, 1.0, 0.5),
        ("deposit-payment", 2000, 20000, "non_idempotent", 0, 4.0, 0.4),
    ]
    return {
        "classes": [
            {
                "name": name,
                "goalTimeUs": goal * 1000,
                "deadlineUs": deadline * 1000,
                "idempotency": repeat,
                "keyScope": "all",
                "keyTtlUs": window * 1000,
                "worth": worth,
                "lateShare": late,
            }
            for name, goal, deadline, repeat, window, worth, late in classes
        ],
        "clients": {"marksRetry": True},
        "groupSize": 2,
        "me": 0,
        "stepUs": 5000,
        "contract": {
            "coldShare": 0.15,
            "coldUs": 12_000_000,
            "drainGraceUs": 2_000_000,
            "fallMultiple": 2.5,
            "fallUs": 2_000_000,
        },
        "familyInfo": {"maxCalls": 18, "kindApart": [False], "kindBatch": [1]},
        "policyLimits": {
            "attemptsCap": 12,
            "connIdleUs": 10_000_000,
            "connectTimeoutUs": 1_500_000,
            "maxOpen": 100,
            "retryAfter": True,
            "maxRetryAfterUs": 2_000_000,
            "probing": False,
        },
        "localities": ["macon-office"],
        "shapes": ["small-ensembles"],
        "weightSource": "nominal",
        "tenants": [{"name": "atlanta-civic-chorus", "fraction": 1.0, "quotaPerS": 50.0}],
    }


class Endpoint:
    """An endpoint behind a network that takes ONE_WAY_S each way. It answers each call with the same 200.

    With the trouble it sends the answer to the message `copied` twice, and hangs from then on.
    """

    def __init__(self, record: kit.Record, copied: str) -> None:
        self.record, self.copied = record, copied
        self.answered: list[str] = []  # ids, as their answers were written
        self.hangs = False
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listen on a loopback port; return it."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        come: asyncio.Queue[str] = asyncio.Queue()  # ids of the calls that have come to the endpoint
        way_in = asyncio.create_task(self._bring(reader, come))
        try:
            while True:
                await self._call(await come.get(), come, writer)
        except asyncio.CancelledError:
            pass
        finally:
            way_in.cancel()
            self.tasks.discard(task)
            writer.close()

    async def _bring(self, reader: asyncio.StreamReader, come: asyncio.Queue[str]) -> None:
        """The way from the courier: a call comes to the endpoint ONE_WAY_S after it was written."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                pairs = (line.partition(":") for line in head[1:])
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                await reader.readexactly(int(headers.get("content-length", "0")))
                self.record(f"network: a call for {headers['x-request-id']} leaves the courier")
                loop.call_later(ONE_WAY_S, come.put_nowait, headers["x-request-id"])

    def _answer(self, writer: asyncio.StreamWriter) -> None:
        """The way back: what is written now is with the courier ONE_WAY_S later."""
        asyncio.get_running_loop().call_later(ONE_WAY_S, writer.write, ANSWER)

    async def _call(self, ident: str, come: asyncio.Queue[str], writer: asyncio.StreamWriter) -> None:
        self.record(f"endpoint: a call for {ident} has come")
        if self.hangs:
            self.record(f"endpoint: it hangs, {ident} is neither worked on nor answered")
            await asyncio.sleep(kit.MOST_S)
        await asyncio.sleep(WORK_S)
        self.record(f"endpoint: answers {ident} with 200")
        self.answered.append(ident)
        self._answer(writer)
        if kit.is_trouble() and ident == self.copied:
            await asyncio.sleep(BEHIND_S)
            if not come.empty():
                raise kit.CouldNotRunError("a call waits on the connection, so that no copy may come")
            self.record("endpoint: sends that answer a second time; nothing waits on this connection")
            self._answer(writer)
            self.hangs = True


async def play(record: kit.Record, folder: pathlib.Path) -> int:
    """Play the case; return the verdict."""
    endpoint = Endpoint(record, copied="n2")
    platform = Platform(
        record, [target("s-5be2a07c", await endpoint.start(), DEST, "macon-office", "small-ensembles")]
    )
    discovery = await platform.start()
    (listen,) = kit.free_ports(1)
    env = courier_files(folder, "n1", listen, discovery, platform.listing(), settings())
    courier = kit.Program("courier", record, folder / "courier.log", **env)

    async def ready() -> bool:
        return await kit.ping(listen) == "+PONG"

    async def put(ident: str) -> None:
        fields = f"c={CLASS},t=atlanta-civic-chorus,d={int(DEADLINE_S * 1000)},dest={DEST}"
        answer = await kit.put(listen, ident, fields, b"rehearsal moved to 19:30")
        record(f"client: {ident} is answered {answer}")
        if answer != "+OK":
            raise kit.CouldNotRunError(f"{ident} was not taken on")

    try:
        await courier.start()
        await kit.until("the courier is ready", ready)
        await put("n1")
        await asyncio.sleep(1.5)
        for ident in ("n2", "n3", "n4"):  # three at once for one partner
            await put(ident)
        await asyncio.sleep(DEADLINE_S + LATE_S + 0.5)
        noticed = {ident for ident, _ in platform.finals}
        record(f"answered 200: {', '.join(endpoint.answered)}; noticed: {', '.join(noticed) or 'none'}")
        lost = [i for i in ("n1", "n2", "n3", "n4") if i not in noticed and i not in endpoint.answered]
        record(f"neither delivered nor ended in their time: {', '.join(lost) or 'none'}")
        return kit.BROKEN if lost else kit.HELD
    finally:
        await courier.end()
        platform.stop()
        endpoint.stop()


if __name__ == "__main__":
    kit.main(__file__, play)
