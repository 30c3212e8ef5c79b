"""Case 1: after a kill, a keyed message that may have run goes to a zone that does not know its key."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import kit
from standins.platform import Platform, courier_files, target

DEST, ZONES, WINDOW_S = 7, ("north", "south"), 15.0
IDENT, KEY = "9b1f03aa5c7e2d41", "5c0f6e1a2b3d4c59"
WORK_S, KILL_AFTER_S = 0.8, 0.3  # a call's work; from its begin to the kill
DOWN_S = 0.6  # from SIGKILL to the next start, as PROTOCOL has it


def settings() -> dict:
    """Return a courier's settings: the site's classes, with keys that each zone remembers by itself."""
    classes = [
        ("status-notice", 1000, 6000, "read_like", "all", 0, 2.0, 0.1),
        ("room-order", 4000, 16000, "idempotency_key", "zone", int(WINDOW_S * 1000), 1.0, 0.5),
        ("deposit-payment", 2000, 20000, "non_idempotent", "all", 0, 4.0, 0.4),
    ]
    return {
        "classes": [
            {
                "name": name,
                "goalTimeUs": goal * 1000,
                "deadlineUs": deadline * 1000,
                "idempotency": repeat,
                "keyScope": scope,
                "keyTtlUs": window * 1000,
                "worth": worth,
                "lateShare": late,
            }
            for name, goal, deadline, repeat, scope, window, worth, late in classes
        ],
        "clients": {"marksRetry": True},
        "groupSize": 1,
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
        "localities": list(ZONES),
        "shapes": ["plain"],
        "weightSource": "nominal",
        "tenants": [{"name": "atlanta-civic-chorus", "fraction": 1.0, "quotaPerS": 50.0}],
    }


async def play(record: kit.Record, folder: pathlib.Path) -> int:
    """Play the case; return the verdict."""
    partners = {zone: kit.Endpoint(zone, record, lambda _: asyncio.sleep(WORK_S)) for zone in ZONES}
    ports = {zone: await partner.start() for zone, partner in partners.items()}
    # Both endpoints are in service all the time; the list names the one in the south first.
    listed = [target(f"s-{zone}", ports[zone], DEST, zone) for zone in reversed(ZONES)]
    platform = Platform(record, listed)
    discovery = await platform.start()
    (listen,) = kit.free_ports(1)
    log = folder / "courier.log"

    def courier() -> kit.Program:
        env = courier_files(folder, "n1", listen, discovery, platform.listing(), settings())
        return kit.Program("courier", record, log, **env)

    async def ready() -> bool:
        return await kit.ping(listen) == "+PONG"

    def runs() -> list[tuple[float, str]]:
        """Return when and in which zone the message's calls began, in order."""
        calls = [(at, zone) for zone, p in partners.items() for at, ident, _ in p.runs if ident == IDENT]
        return sorted(calls)

    async def is_out() -> bool:
        return bool(runs())

    running = courier()
    try:
        await running.start()
        await kit.until("the courier is ready", ready)
        fields = f"c=room-order,t=atlanta-civic-chorus,d=16000,k={KEY},dest={DEST}"
        answer = await kit.put(listen, IDENT, fields, b"room 12 on Friday")
        record(f"client: {IDENT} with key {KEY} is answered {answer}")
        if answer != "+OK":
            raise kit.CouldNotRunError("the message was not taken on")
        await kit.until("a call is out", is_out)
        if kit.is_trouble():
            await asyncio.sleep(KILL_AFTER_S)
            running.signal(signal.SIGKILL)
            await running.end()
            await asyncio.sleep(DOWN_S)
            running = courier()
            await running.start()
            await kit.until("the courier is ready again", ready)
        # Until the message has ended: by a further call that was answered, by a notice, or by its time.
        end = time.monotonic() + 17.0
        while time.monotonic() < end and not platform.finals and len(runs()) < 1 + kit.is_trouble():
            await asyncio.sleep(0.1)
        await asyncio.sleep(WORK_S + 0.5)
        return judge(record, runs())
    finally:
        await running.end()
        platform.stop()
        for partner in partners.values():
            partner.stop()


def judge(record: kit.Record, runs: list[tuple[float, str]]) -> int:
    """Count the effects: a zone drops a repeat for WINDOW_S after the key was first seen there."""
    known: dict[str, float] = {}
    effects = 0
    for at, zone in runs:
        if zone not in known or at - known[zone] > WINDOW_S:
            known[zone] = at
            effects += 1
            record(f"key {KEY}: takes effect in zone {zone}")
        else:
            record(f"key {KEY}: is known in zone {zone}, the repeat is dropped")
    if not runs:
        raise kit.CouldNotRunError("the message never ran")
    return kit.BROKEN if effects > 1 else kit.HELD


if __name__ == "__main__":
    kit.main(__file__, play)
