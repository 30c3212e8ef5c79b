"""JSON objects off a stream, and the watch that reads a list by them however it is printed."""

import asyncio
import json
import random

import pytest
from loopback import Discovery, bounded, read_request

from madderbeam.ports.real import real_ports
from madderbeam.transport.discovery import Watch
from madderbeam.transport.values import Unreadable, Values

ODD = {"a": '} ] " \\ { [ \n', "b": [{}, [], '\\\\"', {"c": {"d": [[1.5, None, True]]}}], "e": "ü\u2028"}


def read(values, text, size):
    return [v for at in range(0, len(text), size) for v in values.feed(text[at : at + size])]


@pytest.mark.parametrize("indent", [None, 0, 2, "\t"])
def test_objects_come_whole_however_they_are_printed_and_cut(indent):
    chance = random.Random(str(indent))
    wanted = [{"n": n, **ODD} if n % 3 else {} for n in range(30)]
    text = b"".join(
        json.dumps(v, indent=indent, ensure_ascii=n % 2 == 0).encode() + chance.choice((b"", b"\n", b" \r\n"))
        for n, v in enumerate(wanted)
    )
    for size in (1, 2, 7, 37, 1000, len(text)):
        assert [v for v in read(Values(), text, size) if v is not None] == wanted


def test_an_empty_line_counts_between_objects_and_not_amid_one():
    values = Values()
    assert list(values.feed(b"\n")) == [None]
    assert list(values.feed(b" ")) == []
    assert list(values.feed(b'{"a":\n\n')) == []
    assert list(values.feed(b"\n \n")) == []
    assert list(values.feed(b"1}")) == [{"a": 1}]


DEEP = b'{"a":' + b"[" * 90_000 + b"]" * 90_000 + b"}"


@pytest.mark.parametrize(
    "text",
    [b"[1]", b'{"a":1]', b'{"a"\n"b"}', b'{"a', b'{"a":"b\n"}', b'{"a":01}', DEEP, b"{" + b" " * 200_000],
)
def test_what_can_not_become_an_object_or_has_no_end_is_told(text):
    values = Values(190_000)
    with pytest.raises(Unreadable):
        list(values.feed(text))
        list(values.feed(b'\n{"rev":1}'))  # an end of line amid a string
    whole = Values(8)
    assert list(whole.feed(b'{"a": 1}{"b": 2}')) == [{"a": 1}, {"b": 2}]
    with pytest.raises(Unreadable):
        list(whole.feed(b'{"a": 12}'))


class Printed(Discovery):
    """Prints lists over several lines, and sends them in small pieces."""

    async def serve(self, reader, writer):
        _, path, _, _ = await read_request(reader)
        self.watches.put_nowait(path)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for rev in (1, 2, 3):
            text = json.dumps({**self.whole(), "rev": rev}, indent=2).encode() + b"\n"
            for at in range(0, len(text), 37):
                piece = text[at : at + 37]
                writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await writer.drain()
                await asyncio.sleep(0)
        await reader.read()


def test_an_indented_list_in_small_pieces_is_heard_on_one_watch():
    # Read by lines it broke the watch for ever: no version heard, four watches opened in 0.8 s.
    async def test():
        loop, discovery, heard = asyncio.get_running_loop(), Printed(), asyncio.Queue()
        for n in range(6):
            discovery.target(f"s-{n}", 7000 + n, n)
        await discovery.start()
        watch = Watch(
            loop,
            real_ports(loop).network,
            ("127.0.0.1", discovery.port),
            random.Random(1),
            0,
            heard.put_nowait,
        )
        watch.open()
        changes = [await bounded(heard.get()) for _ in range(3)]
        watch.stop()
        await discovery.stop()
        assert [c["rev"] for c in changes] == [1, 2, 3] and watch.rev == 3
        assert changes[2]["targets"] == list(discovery.targets.values())
        assert discovery.watches.qsize() == 1

    asyncio.run(test())
