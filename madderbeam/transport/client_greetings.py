"""What client libraries of Redis send as they connect, and the answers to it."""

from __future__ import annotations

from collections.abc import Callable


def answer_hello(args: list[bytes]) -> bytes:
    """HELLO, as a Redis server answers it. All other answers here look alike in RESP2 and RESP3, so a client
    that asks for 3, as redis-py does unless told otherwise, is given 3."""
    if not args or args[0] == b"2":
        return b"*14" + HELLO % 2
    if args[0] == b"3":
        return b"%7" + HELLO % 3
    return b"-NOPROTO unsupported protocol version\r\n"


def answer_client(args: list[bytes]) -> bytes:
    """CLIENT SETINFO and SETNAME: what libraries tell of themselves is not kept. What else they ask is turned
    down with no strike: they ask it as they connect and go on without."""
    known = {b"SETINFO": 3, b"SETNAME": 2}
    part = args[0].upper() if args else b""
    return b"+OK\r\n" if known.get(part) == len(args) else b"-ERR unknown subcommand of CLIENT\r\n"


def answer_select(args: list[bytes]) -> bytes:
    """SELECT 0: there is one database."""
    if args != [b"0"]:
        return b"-ERR DB index is out of range\r\n"
    return b"+OK\r\n"


HELLO = (
    b"\r\n$6\r\nserver\r\n$10\r\nmadderbeam\r\n$7\r\nversion\r\n$5\r\n7.0.0\r\n$5\r\nproto\r\n:%d\r\n"
    b"$2\r\nid\r\n:1\r\n$4\r\nmode\r\n$10\r\nstandalone\r\n$4\r\nrole\r\n$6\r\nmaster\r\n"
    b"$7\r\nmodules\r\n*0\r\n"
)
GREETINGS: dict[bytes, Callable[[list[bytes]], bytes]] = {
    b"HELLO": answer_hello,
    b"CLIENT": answer_client,
    b"SELECT": answer_select,
}
