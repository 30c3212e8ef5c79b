"""Datagrams, links and exchanges between members, on real sockets and on the simulated network."""

import asyncio
import errno
import random
import socket
import time
from dataclasses import replace

import msgpack
import pytest
from two_meshes import LIMIT_S, QUICK, A, B, C, RealRig, SimRig

from madderbeam.membership.values import Incarnation, LinkDown, LinkUp, MemberId, MessageReceived
from madderbeam.transport.mesh import frames
from madderbeam.transport.mesh.events import (
    ALL_CHANNELS,
    DatagramArrived,
    ExchangeAborted,
    ExchangeReplied,
    ExchangeRequested,
    LaterIncarnationSeen,
)

LIFE = Incarnation(1, 1)


@pytest.fixture(params=[RealRig, SimRig])
def rig(request):
    made = request.param()
    yield made
    made.close()


@pytest.fixture
def real():
    made = RealRig()
    yield made
    made.close()


def joined(rig, **more):
    """A with a link to B."""
    a, b = rig.node(A, **more), rig.node(B, **more)
    rig.want(A, B)
    rig.until(lambda: a.of(LinkUp))
    return a, b


def rows(node, member=A):
    return [e.message for e in node.of(MessageReceived) if e.member == member]


def test_a_datagram_carries_its_sender_and_can_be_replied_to_at_its_source(rig):
    a, b = rig.node(A, 3), rig.node(B)
    a.mesh.send_datagram(rig.address(A, B), "m", ["ping", 1])
    rig.until(lambda: b.of(DatagramArrived, "m"))
    came = b.of(DatagramArrived)[0]
    assert (came.sender, came.incarnation, came.row) == (A, Incarnation(3, 10), ["ping", 1])
    b.mesh.send_datagram(came.source, "m", ["ack", 1])
    rig.until(lambda: a.of(DatagramArrived, "m"))
    assert a.of(DatagramArrived)[0].row == ["ack", 1] and a.of(DatagramArrived)[0].sender == B


def test_datagrams_are_lost_duplicated_and_delayed_as_injected(rig):
    a, b = rig.node(A), rig.node(B)
    # longer than ten rounds, even on a busy machine
    rig.fault(A, B, loss=0.3, double=0.3, late=0.2, late_s=1.0)
    for n in range(400):
        a.mesh.send_datagram(rig.address(A, B), "m", [n])
        b.mesh.send_datagram(rig.address(B, A), "m", [n])
        rig.until(lambda n=n: len(a.of(DatagramArrived)) == n + 1)  # the return direction has no faults
    copies = rig.passed(A, B)  # including delayed ones: all 400 rounds may take less time than one delay
    rig.until(lambda: len(b.of(DatagramArrived)) >= copies)
    came = [e.row[0] for e in b.of(DatagramArrived)]
    assert len(came) == copies
    assert 230 < len(set(came)) < 390 and len(came) > len(set(came)) + 30 and came != sorted(came)
    rig.heal(A, B)
    a.mesh.send_datagram(rig.address(A, B), "m", ["whole"])
    rig.until(lambda: ["whole"] in [e.row for e in b.of(DatagramArrived)])


def test_oversized_datagrams_and_unusable_addresses_are_only_counted(rig):
    a = rig.node(A)
    a.mesh.send_datagram(rig.address(A, B), "m", [b"x" * 1400])
    for address in (("savannah.example", 7946), ("127.0.0.1", 0), ("127.0.0.1", 70_000), ("0.0.0.0", 1)):
        a.mesh.send_datagram(address, "m", [])
    assert a.count("unsendable") == 1 and a.count("unusable_addresses") == 4
    assert a.count("datagrams_out") == 0


def test_messages_arrive_complete_in_order_and_once(rig):
    a, b = joined(rig)
    sent = [[n, random.Random(n).randbytes(n % 997)] for n in range(1500)]
    for row in sent:
        assert a.mesh.send(B, "r", row)
    assert a.mesh.send(B, "t", [b"x" * 1_500_000])
    assert b.mesh.send(A, "r", [1]) is False  # B has not opened a link
    rig.until(lambda: b.of(MessageReceived, "t"))
    assert rows(b)[:-1] == sent and len(rows(b)[-1][0]) == 1_500_000
    assert a.mesh.rtt_us(B) > 0 and a.of(LinkUp)[0].rtt_us > 0
    assert a.count("link_frames_out_r") == b.count("link_frames_in_r") == 1500


def test_oversized_frames_and_unknown_channels_do_not_break_a_link(rig):
    a, b = joined(rig)
    assert not a.mesh.send(B, "r", [b"x" * frames.MAX_STREAM_FRAME_BYTES])
    assert a.mesh.send(B, "z", [1]) and a.mesh.send(B, "r", [2])
    rig.until(lambda: rows(b))
    assert rows(b) == [[2]] and b.count("unknown_channel") == 1 and a.count("unsendable") == 1
    assert a.mesh.is_link_up(B)


def test_frames_and_links_of_another_federation_are_rejected(rig):
    a, b = rig.node(A), rig.node(B, federation="bands")
    rig.want(A, B)
    a.mesh.send_datagram(rig.address(A, B), "m", [1])
    a.mesh.exchange(rig.address(A, B), [1])
    rig.until(lambda: b.count("strange_federation") >= 4 and a.of(ExchangeAborted))
    assert not b.told and not a.of(LinkUp)


def test_a_link_to_the_address_of_another_member_does_not_come_up(rig):
    a, b = rig.node(A), rig.node(B)
    a.mesh.open_link(C, rig.address(A, B))
    rig.until(lambda: a.count("links_refused") >= 2)
    assert not a.told and not b.told and b.count("links_in") == 0
    rig.node(C)
    rig.want(A, C)  # the address is updated
    rig.until(lambda: a.of(LinkUp))


@pytest.mark.parametrize("way", [(A, B), (B, A)])
def test_a_link_cut_in_either_direction_is_detected_and_reopened(rig, way):
    a, b = joined(rig)
    rig.cut(*way)
    rig.until(lambda: a.of(LinkDown))
    assert not a.mesh.send(B, "r", ["lost"])
    rig.heal(*way)
    rig.until(lambda: len(a.of(LinkUp)) == 2)
    assert a.mesh.send(B, "r", ["after"])
    rig.until(lambda: rows(b))
    assert rows(b) == [["after"]]
    assert [type(e) for c, e in a.told if c == ALL_CHANNELS] == [LinkUp, LinkDown, LinkUp]
    rig.until(lambda: a.mesh.links[B].attempts == 0)  # a pong confirmed the link: the next backoff is short


def test_a_silent_link_is_detected_within_the_stated_time():
    rig = SimRig()
    a, b = joined(rig)
    for at in range(7):  # at several points between two pings
        rig.scheduler.run(rig.scheduler.now_us + 13_000 * at)
        rig.cut(A, B)
        start = rig.scheduler.now_us
        rig.until(lambda at=at: len(a.of(LinkDown)) == at + 1)
        took = (rig.scheduler.now_us - start) / 1e6
        assert QUICK.ping_s * 2 < took <= QUICK.silence_limit_s + 0.02
        # which receives nothing, not even the end of the connection
        rig.until(lambda: b.count("links_in") == 0)
        assert rig.scheduler.now_us - start <= 3e6 * QUICK.silence_limit_s + 2e4
        rig.heal(A, B)
        rig.until(lambda at=at: len(a.of(LinkUp)) == at + 2)


def test_a_connection_reset_while_sending_is_lost():
    rig = SimRig()
    a, _ = joined(rig)
    a.mesh.send(B, "r", [1])
    a.mesh.links[B].connection.sock.error = errno.ECONNRESET
    rig.until(lambda: a.of(LinkDown))
    rig.until(lambda: len(a.of(LinkUp)) == 2)


def test_a_member_that_opened_a_link_is_connected_to_at_once():
    rig = SimRig()
    a, b = rig.node(A, settings=replace(QUICK, backoff_s=1000.0, max_backoff_s=1000.0)), rig.node(B)
    rig.end(B)
    rig.want(A, B)
    # the first attempt failed and the next is due in a quarter of an hour
    rig.until(lambda: a.mesh.links[B].failure_logged)
    b = rig.node(B, 2)
    rig.want(B, A)
    rig.until(lambda: a.of(LinkUp) and b.of(LinkUp))


def test_a_pause_of_this_process_breaks_no_link(real):
    a, _ = joined(real)
    for _ in range(2):
        pinged = a.mesh.links[B].ping_number
        real.until(lambda pinged=pinged: a.mesh.links[B].ping_number > pinged)
        time.sleep(2 * real.settings.silence_limit_s)  # a pause of this process
    pinged = a.mesh.links[B].ping_number
    real.until(lambda: a.mesh.links[B].ping_number > pinged + 2)
    assert not a.of(LinkDown)


def test_a_reader_that_stops_loses_its_link_and_costs_bounded_memory(rig):
    a, b = joined(rig, settings=replace(QUICK, max_unsent_bytes=1 << 20, ping_s=5.0))
    link = b.mesh.accepted.links[A]
    b.network.off_readable(link.connection.sock)
    sent = 0
    while a.mesh.send(B, "r", [sent, b"x" * 10_000]):
        assert a.mesh.metrics()["unsent_bytes"] <= 1 << 20
        sent += 1
        if sent % 20 == 0:
            rig.until(lambda: True)
    assert sent >= 100
    rig.until(lambda: a.of(LinkDown))
    rig.until(lambda: len(a.of(LinkUp)) == 2)
    a.mesh.send(B, "r", ["again"])
    rig.until(lambda: rows(b) and rows(b)[-1] == ["again"])
    assert [r[0] for r in rows(b)[:-1]] == list(range(len(rows(b)) - 1))


def test_a_link_that_breaks_within_a_frame_delivers_the_complete_frames_and_is_reopened(real):
    a, b = joined(real)
    for round_ in range(5):
        before = len(rows(b))
        real.links[A, B].cut_after(1000 * round_ + 777)
        for n in range(100):
            a.mesh.send(B, "r", [round_, n, b"x" * 100])
        real.until(lambda round_=round_: len(a.of(LinkDown)) > round_)
        real.until(lambda round_=round_: len(a.of(LinkUp)) > round_ + 1)
        a.mesh.send(B, "r", [round_, "end"])
        real.until(lambda round_=round_: rows(b) and rows(b)[-1] == [round_, "end"])
        got = [r[:2] for r in rows(b)[before:]]
        assert got[:-1] == [[round_, n] for n in range(len(got) - 1)]
        assert len(got) < 100


def test_delayed_hellos_replace_no_later_link(real):
    a, b = rig_nodes(real)
    real.cut(A, B)
    real.want(A, B)
    real.until(lambda: real.links[A, B].calls >= 3)
    real.heal(A, B)
    real.until(lambda: a.of(LinkUp))
    a.mesh.send(B, "r", [1])
    real.until(lambda: rows(b))
    assert a.mesh.links[B].ping_number and not a.of(LinkDown)


def rig_nodes(rig):
    return rig.node(A), rig.node(B)


def test_a_restarted_member_gets_a_new_link_and_its_older_incarnation_none(rig):
    a, b = joined(rig)
    a.mesh.send(B, "r", [1])
    rig.until(lambda: rows(b))
    b = rig.node(B, 2)
    rig.until(lambda: len(a.of(LinkUp)) == 2)
    a.mesh.send(B, "r", [2])
    rig.until(lambda: rows(b))
    assert rows(b) == [[2]] and len(a.of(LinkDown)) == 1
    old = rig.node(B, 1)  # restarted from an older copy of its state
    rig.until(lambda: len(a.of(LinkDown)) == 2)
    old.mesh.send_datagram(rig.address(B, A), "m", ["old"])
    rig.want(B, A)
    rig.until(lambda: old.of(LaterIncarnationSeen) and a.count("older") >= 3)
    assert old.of(LaterIncarnationSeen)[0] == LaterIncarnationSeen(A, Incarnation(2, 9))
    old.mesh.exchange(rig.address(B, A), ["what is so"])
    rig.until(lambda: a.of(ExchangeRequested))
    assert not a.of(DatagramArrived) and not a.of(MessageReceived) and len(a.of(LinkUp)) == 2


def test_a_later_incarnation_seen_by_others_ends_the_links_of_the_earlier_one(rig):
    a, b = joined(rig)
    rig.want(B, A)
    rig.until(lambda: b.of(LinkUp))
    a.mesh.record_incarnation(B, Incarnation(4, 1))
    rig.until(lambda: a.of(LinkDown) and b.of(LinkDown) and b.of(LaterIncarnationSeen))
    assert b.of(LaterIncarnationSeen)[0].seen == Incarnation(4, 1)


def test_an_unwanted_link_is_closed_and_can_be_wanted_again(rig):
    a, b = joined(rig)
    for times in range(1, 4):
        a.mesh.close_link(B)
        assert not a.mesh.send(B, "r", [0]) and len(a.of(LinkDown)) == times - 1
        rig.want(A, B)
        rig.until(lambda times=times: len(a.of(LinkUp)) == times + 1)
        a.mesh.send(B, "r", [times])
        rig.until(lambda times=times: [times] in rows(b))
    assert [type(e) for _, e in a.told] == [LinkUp] + [LinkDown, LinkUp] * 3


def test_a_large_state_is_exchanged(rig):
    a, b = rig.node(A), rig.node(B)

    def heard(node, channel, event):
        if isinstance(event, ExchangeRequested):
            node.mesh.reply(event.reply_id, ["mine", event.row[1]])

    rig.heard = heard
    state = random.Random(1).randbytes(1_500_000)
    a.mesh.exchange(rig.address(A, B), ["yours", state])
    rig.until(lambda: a.of(ExchangeReplied))
    assert a.of(ExchangeReplied, "m")[0] == ExchangeReplied(
        rig.address(A, B), B, Incarnation(1, 8), ["mine", state]
    )
    assert b.of(ExchangeRequested, "m")[0].sender == A
    rig.until(lambda: b.count("exchanges_open") == 0 and a.count("exchanges_open") == 0)


def test_an_exchange_ends_in_time_whatever_the_other_side_does(rig):
    a, b = rig.node(A), rig.node(B)
    a.mesh.exchange(rig.address(A, B), ["asked, never answered"])
    a.mesh.exchange(rig.address(A, C), ["nobody is there"])
    a.mesh.exchange(("savannah.example", 1), ["no address"])
    a.mesh.exchange(rig.address(A, B), [b"x" * frames.MAX_STREAM_FRAME_BYTES])
    rig.until(lambda: len(a.of(ExchangeAborted, "m")) == 4)
    rig.until(lambda: b.count("exchanges_open") == 0)
    b.mesh.reply(b.of(ExchangeRequested)[0].reply_id, ["too late"])
    for _ in range(QUICK.max_exchanges + 5):
        a.mesh.exchange(rig.address(A, B), ["many"])
    assert a.count("exchanges_open") == QUICK.max_exchanges
    rig.until(lambda: len(a.of(ExchangeAborted)) == 4 + QUICK.max_exchanges + 5)
    assert a.count("exchanges_open") == 0


def test_a_closed_mesh_emits_nothing_and_its_peers_see_links_down(rig):
    a, b = joined(rig)
    told = len(b.told)
    b.mesh.close()
    rig.until(lambda: a.of(LinkDown))
    assert len(b.told) == told and b.count("links_in") == 0


def raw(node, *sent):
    """A connection on which these first frames were sent."""
    sock = socket.create_connection(("127.0.0.1", node.port))
    sock.settimeout(LIMIT_S)
    sock.sendall(b"".join(frames.with_length(frames.pack("choirs", f)) for f in sent))
    return sock


def hello(sender, number, whom=B, life=LIFE):
    return frames.Frame(sender, life, "hello", [whom.site, whom.name, number])


def test_an_older_connection_replaces_no_link_and_a_later_one_replaces_it(real):
    a, b = joined(real)
    with raw(b, hello(A, 0, life=a.mesh.context.incarnation)) as late:
        pinged = a.mesh.links[B].ping_number
        real.until(lambda: a.mesh.links[B].ping_number > pinged + 2)
        assert late.recv(10) == b"" and not a.of(LinkDown)
    with raw(b, hello(A, 1000, life=a.mesh.context.incarnation)) as later:
        real.until(lambda: b.mesh.accepted.links[A].number == 1000)
        a.mesh.send(B, "r", ["by the link before"])
        real.until(lambda: a.of(LinkDown))
        later.sendall(frames.pack_link_frame("", [1, 0]) + frames.pack_link_frame("r", ["by the later one"]))
        real.until(lambda: rows(b))
    real.until(lambda: len(a.of(LinkUp)) == 2)
    assert rows(b) == [["by the later one"]]


def test_frames_behind_a_refused_hello_are_not_read(real):
    b = real.node(B)
    with raw(b, hello(A, 1, whom=C), hello(A, 2), hello(A, 3)) as sock:
        frame = list(frames.FrameSplitter().feed(sock_all(real, sock)))[0]
        assert frames.unpack("choirs", frame).row == ["another"]
    assert b.count("links_in") == 0 and not b.mesh.accepted.unidentified


def sock_all(rig, sock):
    """All bytes received until the other side closes the connection."""
    got = []
    sock.setblocking(False)

    def ended():
        try:
            got.append(sock.recv(1 << 16))
        except BlockingIOError:
            return False
        except ConnectionResetError:  # unread data at the other side resets the connection
            return True
        return got[-1] == b""

    rig.until(ended)
    return b"".join(got)


def test_a_welcome_from_another_member_is_rejected(real):
    a, calls = real.node(A), []

    async def answers(reader, writer):
        calls.append(await reader.read(1 << 16))
        writer.write(frames.with_length(frames.pack("choirs", frames.Frame(C, LIFE, "welcome", []))))
        await reader.read()
        writer.close()

    server = real.loop.run_until_complete(asyncio.start_server(answers, "127.0.0.1", 0))
    a.mesh.open_link(B, server.sockets[0].getsockname())
    real.until(lambda: len(calls) >= 2)
    assert not a.told
    server.close()


def test_an_exchange_request_without_a_reply_is_closed_in_time(real):
    b = real.node(B)
    with raw(b, frames.Frame(A, LIFE, "ask", ["m", ["what is so"]])):
        real.until(lambda: b.of(ExchangeRequested) and b.count("exchanges_open") == 1)
        real.until(lambda: b.count("exchanges_open") == 0)


def strangers(chance, whole):
    """Invalid input of all kinds: noise, damaged frames, wrong lengths, malformed rows."""
    wrong = [[], [1], [["m"], []], ["m"], ["m", 1], ["zz", []], ["macon", 1, 1], ["macon", "m1"], [{}, {}]]
    for n in range(120):
        kind = n % 4
        if kind == 0:
            yield chance.randbytes(chance.randrange(1, 200))
        elif kind == 1:
            data = bytearray(whole)
            data[chance.randrange(len(data))] ^= 1 << chance.randrange(8)
            yield bytes(data)
        elif kind == 2:
            yield chance.randrange(1 << 32).to_bytes(4, "big") + whole
        else:
            row, channel = chance.choice(wrong), chance.choice(["hello", "ask", "welcome", "m", ""])
            yield msgpack.packb([frames.VERSION, "choirs", "macon", "m9", 1, 1, channel, row])


def test_invalid_bytes_are_counted_and_the_mesh_keeps_working(real):
    chance, b = random.Random(37), real.node(B)
    frame = frames.Frame(MemberId("macon", "m9"), Incarnation(1, 1), "hello", ["savannah", "m1", 1])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        for data in strangers(chance, frames.pack("choirs", frame)):
            udp.sendto(data, ("127.0.0.1", b.port))
            for most in (len(data), 1 + len(data) // 2):
                with socket.create_connection(("127.0.0.1", b.port)) as tcp:
                    tcp.sendall(frames.with_length(data)[:most])
            real.until(lambda: True)
    real.until(lambda: b.count("datagrams_in") == 120 and not b.mesh.accepted.unidentified)
    assert b.count("strange_broken") > 60 and not b.of(DatagramArrived, "r")
    assert b.count("links_in") == 0
    joined(real)


def test_silent_connections_are_bounded_in_number_and_time(real):
    b = real.node(B)
    silent = [socket.create_connection(("127.0.0.1", b.port)) for _ in range(QUICK.max_unidentified + 8)]
    real.until(lambda: b.count("arrivals_dropped") == 8)
    assert len(b.mesh.accepted.unidentified) == QUICK.max_unidentified
    a = real.node(A)
    real.want(A, B)
    real.until(lambda: a.of(LinkUp))
    real.until(lambda: not b.mesh.accepted.unidentified)
    for sock in silent:
        sock.close()


def test_latest_incarnations_are_kept_for_a_bounded_number_of_members():
    rig = SimRig()
    a = rig.node(A, settings=replace(QUICK, max_members=100))
    for n in range(1000):
        a.mesh.record_incarnation(MemberId("macon", f"x{n}"), Incarnation(1, n))
    assert len(a.mesh.context.incarnations.latest) == 100
