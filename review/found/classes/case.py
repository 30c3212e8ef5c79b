"""A further finding: a class is added to a courier's configuration, and a deposit that may have run is sent again."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from standins import kit
from standins.sidecar import Class, sidecar_file

IDENT = "9b1f03aa5c7e2d41"
WORK_S, KILL_AFTER_S = 0.8, 0.3  # a call's work; from its begin to the kill
DOWN_S = 0.6  # from SIGKILL to the next start, as PROTOCOL has it
NOTICE = Class("status-notice", 1000, 6000, "read_like")
DEPOSIT = Class("deposit-payment", 2000, 20000, "non_idempotent")


async def play(record: kit.Record, folder: pathlib.Path) -> int:
    """Play the case; return the verdict."""
    venue = kit.Endpoint("venue", record, lambda _: asyncio.sleep(WORK_S))
    endpoint = await venue.start()
    listen, control = kit.free_ports(2)

    def courier(*classes: Class) -> kit.Program:
        record(f"the configuration has the classes {', '.join(cls.name for cls in classes)}")
        path = sidecar_file(folder, "deposits", listen, control, endpoint, classes)
        return kit.Program("courier", record, folder / "courier.log", f"run --config {path}")

    async def ready() -> bool:
        return await kit.ping(listen) == "+PONG"

    async def is_out() -> bool:
        return bool(venue.runs)

    running = courier(DEPOSIT)
    try:
        await running.start()
        await kit.until("the courier is ready", ready)
        fields = f"c=deposit-payment,t=atlanta-civic-chorus,d=20000,dest={kit.DEST}"
        answer = await kit.put(listen, IDENT, fields, b"deposit 40 USD")
        record(f"client: deposit {IDENT} is answered {answer}")
        if answer != "+OK":
            raise kit.CouldNotRunError("the deposit was not taken on")
        await kit.until("a call is out", is_out)
        if kit.is_trouble():
            await asyncio.sleep(KILL_AFTER_S)
            running.signal(signal.SIGKILL)
            await running.end()
            await asyncio.sleep(DOWN_S)
            running = courier(NOTICE, DEPOSIT)
            await running.start()
            await kit.until("the courier is ready again", ready)
        end = time.monotonic() + 4.0
        while time.monotonic() < end and len(venue.runs) < 2:
            await asyncio.sleep(0.1)
        await asyncio.sleep(WORK_S + 0.3)
        feed = folder / "deposits-finals.jsonl"
        record(f"finals: {feed.read_text() if feed.exists() else 'none'}")
        record(f"the deposit was run {len(venue.runs)} times")
        return kit.BROKEN if len(venue.runs) > 1 else kit.HELD
    finally:
        await running.end()
        venue.stop()


if __name__ == "__main__":
    kit.main(__file__, play)
