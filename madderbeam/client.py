"""A small client for programs beside a courier, on redis-py (the extra `client`).

    courier = Courier("unix:///run/notices.sock", feed="state/notices-finals.jsonl")
    ident = courier.put("status-notice", dest=7, body=b"rehearsal moved", within_ms=6000)
    for final in courier.finals():
        print(final.id, final.status)

A message that `put` returned for is the courier's: it is delivered, or a final of it comes. A courier that
has no room raises Refused, which tells when to come again; handing the message in anew then is harmless.
"""

from __future__ import annotations

import contextlib
import json
import os
import secrets
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import redis

ANSWER_S = 0.4  # a courier answers within this
NO_ORDER = "0"


class Refused(Exception):
    """The courier did not take the message on: come again after `after_ms` ms (0: it did not say when)."""

    def __init__(self, after_ms: int) -> None:
        super().__init__(f"come again after {after_ms} ms")
        self.after_ms = after_ms


class Unknown(Exception):
    """No answer came: the courier may have taken the message on under this id, or not."""

    def __init__(self, ident: str) -> None:
        super().__init__(f"no answer for {ident}")
        self.id = ident


@dataclass(frozen=True)
class Final:
    """The end of a message that was not delivered. `deferred`: handed back, may be handed in again, after
    `again_ms` if that is not 0. `undeliverable`: it failed, and may have taken effect."""

    id: str
    status: str
    again_ms: int = 0


class Courier:
    """One program's courier. `url` is redis://HOST:PORT or unix://PATH; `feed` the file of its finals."""

    def __init__(self, url: str, feed: str | Path = "", connections: int = 32) -> None:
        pool = redis.BlockingConnectionPool.from_url(
            url,
            max_connections=connections,
            timeout=ANSWER_S,
            socket_timeout=ANSWER_S,
            retry=redis.retry.Retry(redis.backoff.NoBackoff(), 0),
        )
        self.redis = redis.Redis(connection_pool=pool)
        self.feed = Path(feed) if feed else None

    def put(
        self,
        cls: str,
        dest: int | None,
        body: bytes,
        within_ms: int,
        *,
        tenant: str = "",
        key: str = "",
        order: str = NO_ORDER,
        ident: str = "",
        resubmitted: bool = False,
        to: str = "",
        path: str = "",
    ) -> str:
        """Hand a message in; its id.

        `within_ms`: for how long it may still be delivered. `key`: needed in a keyed class, the same each
        time that this message is handed in. `order`: messages of an ordered class that share it go one at a
        time. `to` (a partner's name, or a host) and `path` name the destination where `dest` is None, by the
        courier's routes; neither may hold a comma.
        Refused, with a time to come back; Unknown if no answer came (do not hand an unsafe message in again);
        ValueError if the courier can't use it.
        """
        ident = ident or secrets.token_hex(8)
        if "," in to + path:
            raise ValueError("to, path: must hold no comma; in a path write %2C")
        fields = [f"c={cls}", f"d={within_ms}", *([f"dest={dest}"] if dest is not None else [])]
        fields += [f"to={to}"] * bool(to) + [f"path={path}"] * bool(path)
        fields += [f"t={tenant}"] * bool(tenant) + [f"k={key}"] * bool(key) + ["r=1"] * resubmitted
        try:
            self.redis.execute_command("MSG.PUT", order, ident, ",".join(fields), body)
        except redis.ResponseError as error:
            text = str(error)
            if text.startswith("BUSY"):
                raise Refused(int(text.partition(" ")[2] or 0)) from None
            raise ValueError(text) from None
        except redis.BusyLoadingError:
            raise Refused(0) from None
        except (redis.TimeoutError, redis.ConnectionError):
            raise Unknown(ident) from None
        return ident

    def finals(self, wait: bool = True, poll_s: float = 0.1) -> Iterator[Final]:
        """The ends of messages that were not delivered, from the feed's beginning on.

        Goes on for ever, or with `wait` off until all that is there has been read. One may come twice, after
        the courier was killed. The feed that was set aside as .1 is read first, if it is there.
        """
        if self.feed is None:
            raise ValueError("feed: no file was given")
        tail, first = "", True
        while True:
            try:
                file = self.feed.open(encoding="utf-8")
            except FileNotFoundError:
                if not wait:
                    return
                time.sleep(poll_s)
                continue
            with file:
                if first:  # looked for once this one is open: what is set aside from now on is this one
                    yield from self._aside(file.fileno())
                    first = False
                while True:
                    text = file.read()
                    if text:
                        whole, newline, tail = (tail + text).rpartition("\n")
                        yield from _lines(whole + newline)
                        continue
                    if not wait:
                        return
                    if self._replaced(file.fileno()):
                        break
                    time.sleep(poll_s)

    def _aside(self, descriptor: int) -> Iterator[Final]:
        """What was set aside before the feed that is open."""
        assert self.feed is not None
        with (
            contextlib.suppress(FileNotFoundError),
            self.feed.with_name(self.feed.name + ".1").open(encoding="utf-8") as old,
        ):
            if os.fstat(old.fileno()).st_ino != os.fstat(descriptor).st_ino:
                yield from _lines(old.read())

    def _replaced(self, descriptor: int) -> bool:
        """Whether the feed was set aside and another has begun."""
        assert self.feed is not None
        try:
            return os.stat(self.feed).st_ino != os.fstat(descriptor).st_ino
        except FileNotFoundError:
            return False

    def close(self) -> None:
        self.redis.close()


def _lines(text: str) -> Iterator[Final]:
    for line in text.splitlines():
        try:
            row = json.loads(line)
        except ValueError:  # torn by a kill: it comes again, whole
            continue
        yield Final(row["id"], row["status"], row.get("again_ms", 0))
