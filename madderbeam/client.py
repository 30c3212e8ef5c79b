"""A client library for programs that use a courier, based on redis-py (the extra `client`).

    courier = Courier("unix:///run/notices.sock", feed="state/notices-finals.jsonl")
    ident = courier.put("status-notice", dest=7, body=b"rehearsal moved", within_ms=6000)
    for final in courier.finals():
        print(final.id, final.status)

Once `put` has returned, the courier is responsible for the message: it is delivered, or a final reports that
it was not. If the courier rejects the message for lack of capacity, `put` raises Refused with the time after
which to retry; submitting the same message again is safe.
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
from redis.maint_notifications import MaintNotificationsConfig

ANSWER_S = 0.4  # timeout of a reply in seconds; a courier replies within this
NO_ORDER = "0"


class Refused(Exception):
    """The courier rejected the message: retry after `after_ms` ms (0: the courier gave no time)."""

    def __init__(self, after_ms: int) -> None:
        super().__init__(f"message rejected; retry after {after_ms} ms")
        self.after_ms = after_ms


class Unknown(Exception):
    """No reply was received: the courier may or may not have accepted the message with this id."""

    def __init__(self, ident: str) -> None:
        super().__init__(f"no reply for message {ident}")
        self.id = ident


@dataclass(frozen=True)
class Final:
    """The completion of a message that was not delivered.

    Status `deferred`: returned undelivered; it may be submitted again, after `again_ms` unless that is 0.
    Status `undeliverable`: it failed, and may have taken effect.
    """

    id: str
    status: str
    again_ms: int = 0


class Courier:
    """A connection to a courier.

    `url` is redis://HOST:PORT or unix://PATH; `feed` is the file to which the courier writes finals.
    """

    def __init__(self, url: str, feed: str | Path = "", connections: int = 32) -> None:
        pool = redis.BlockingConnectionPool.from_url(
            url,
            max_connections=connections,
            timeout=ANSWER_S,
            socket_timeout=ANSWER_S,
            retry=redis.retry.Retry(redis.backoff.NoBackoff(), 0),
            # With these on, the pool would take bytes on an idle connection for the next reply.
            maint_notifications_config=MaintNotificationsConfig(enabled=False),
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
        """Submit a message; return its id.

        `within_ms` is the delivery deadline from now. `key` is required in a class that is idempotent with
        key, and must be the same each time that this message is submitted. Messages of an ordered class with
        the same `order` are delivered one at a time. If `dest` is None, the courier's routes resolve the
        destination from `to` (a partner's name, or a host) and `path`; neither may contain a comma.

        Raises Refused with the time after which to retry; Unknown if no reply was received (don't submit a
        non-idempotent message again then); ValueError if the message is invalid.
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
        """Yield the finals of messages that were not delivered, from the beginning of the feed.

        Never ends, unless `wait` is false: then it stops at the end of the feed. A final may be repeated
        after the courier was killed. The rotated feed (suffix .1) is read first, if it exists.
        """
        if self.feed is None:
            raise ValueError("feed: no file was given")
        inode_read = 0  # of the feed that was read before this one
        while True:
            try:
                file = self.feed.open(encoding="utf-8")
            except FileNotFoundError:
                if not wait:
                    return
                time.sleep(poll_s)
                continue
            with file:
                inode = os.fstat(file.fileno()).st_ino
                # Looked up once the feed is open: what is rotated from now on is this file.
                yield from self._rotated_finals({inode_read, inode})
                inode_read = inode
                tail, is_replaced = "", False
                while True:
                    text = file.read()
                    if text:
                        complete_lines, newline, tail = (tail + text).rpartition("\n")
                        yield from _lines(complete_lines + newline)
                        continue
                    if is_replaced or not wait:
                        break
                    # If so, all that the courier wrote to this file is there: it is read once more.
                    is_replaced = self._replaced(file.fileno())
                    if not is_replaced:
                        time.sleep(poll_s)
            if not wait:
                return

    def _rotated_finals(self, inodes_read: set[int]) -> Iterator[Final]:
        """Yield the finals of the rotated feed, unless it is one of these files."""
        assert self.feed is not None
        with (
            contextlib.suppress(FileNotFoundError),
            self.feed.with_name(self.feed.name + ".1").open(encoding="utf-8") as old,
        ):
            if os.fstat(old.fileno()).st_ino not in inodes_read:
                yield from _lines(old.read())

    def _replaced(self, descriptor: int) -> bool:
        """Whether the feed was rotated and a new one exists."""
        assert self.feed is not None
        try:
            return os.stat(self.feed).st_ino != os.fstat(descriptor).st_ino
        except FileNotFoundError:
            return False

    def close(self) -> None:
        """Close the connections."""
        self.redis.close()


def _lines(text: str) -> Iterator[Final]:
    for line in text.splitlines():
        try:
            row = json.loads(line)
        except ValueError:  # truncated by a kill; the courier writes it again
            continue
        yield Final(row["id"], row["status"], row.get("again_ms", 0))
