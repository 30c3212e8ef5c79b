"""The simulated network and disk behave as real ones do, faults included."""

import errno
import random

import pytest

from madderbeam.simulation.disk import SimDisk
from madderbeam.simulation.loop import Killed, ProcessLoop, Scheduler
from madderbeam.simulation.network import Link, SimNetwork

ADDRESS = ("10.9.9.9", 80)


class Peer:
    """Notes what it is told; answers `accept` with itself, 'refused' or 'nothing'."""

    def __init__(self, verdict=None):
        self.verdict, self.got, self.events, self.stream = verdict, b"", [], None

    def accept(self, stream):
        self.stream = stream
        return self.verdict or self

    def up(self):
        self.events.append("up")

    def refused(self):
        self.events.append("refused")

    def data(self, data):
        self.got += data

    def ended(self, reset):
        self.events.append("reset" if reset else "end")


class Net:
    def __init__(self, peer=None, seed=1, descriptors=10, **link):
        self.scheduler = Scheduler(seed)
        self.loop = ProcessLoop(self.scheduler)
        self.peer, self.link, self.kill_at, self.count = peer or Peer(), Link(), 0, 0
        for name, value in link.items():
            setattr(self.link, name, value)
        self.net = SimNetwork(
            self.loop, {ADDRESS: self.peer}, self.link, random.Random(seed), self.operation, descriptors
        )

    def operation(self, name):
        self.count += 1
        return self.count == self.kill_at

    def run(self, us=1_000_000):
        self.scheduler.run(self.scheduler.now_us + us)

    def connected(self):
        stream = self.net.stream(ADDRESS)
        assert stream.connect_ex(ADDRESS) == errno.EINPROGRESS
        seen = []
        self.net.on_writable(
            stream, lambda: (seen.append(self.scheduler.now_us), self.net.off_writable(stream))
        )
        self.run()
        assert len(seen) == 1
        return stream


def read_all(net, stream):
    got = []
    net.net.on_readable(
        stream, lambda: got.append(stream.recv(1 << 16)) or got[-1] or net.net.off_readable(stream)
    )
    net.run()
    return got


def test_bytes_cross_in_order_through_partial_writes_and_split_reads():
    for seed in range(30):
        net = Net(seed=seed, partial=0.8, split=0.8, window=64, jitter_us=3000, grid_us=1000)
        stream, text = net.connected(), bytes(range(256)) * 4
        left = [text]

        def write(net=net, stream=stream, left=left):
            left[0] = left[0][stream.send(left[0]) :]
            if not left[0]:
                net.net.off_writable(stream)

        net.net.on_writable(stream, write)
        net.run(10_000_000)
        assert net.peer.got == text
        for at in range(0, len(text), 100):
            net.peer.stream.write(text[at : at + 100])
        net.peer.stream.finish()
        assert b"".join(read_all(net, stream)) == text


def test_a_refused_connection_tells_and_one_that_never_comes_up_does_not():
    net = Net(Peer("refused"))
    stream = net.connected()
    assert stream.getsockopt(1, 4) == errno.ECONNREFUSED
    net = Net(Peer("nothing"))
    stream = net.net.stream(ADDRESS)
    stream.connect_ex(ADDRESS)
    net.net.on_writable(stream, pytest.fail)
    net.run(60_000_000)


def test_a_reset_loses_what_was_not_read():
    net = Net()
    stream = net.connected()
    net.peer.stream.write(b"lost")
    net.peer.stream.abort()
    net.run()
    with pytest.raises(ConnectionResetError):
        stream.recv(10)
    with pytest.raises(ConnectionResetError):
        stream.send(b"x")


def test_an_end_of_sending_leaves_what_was_sent_to_be_read():
    net = Net()
    stream = net.connected()
    net.peer.stream.write(b"last")
    net.peer.stream.finish()
    net.run()
    assert stream.recv(10) == b"last" and stream.recv(10) == b""


def test_a_cut_connection_stays_open_and_silent():
    net = Net()
    stream = net.connected()
    stream.cut()
    stream.send(b"into the void")
    net.peer.stream.write(b"never comes")
    net.run()
    assert net.peer.got == b"" and not stream.readable
    with pytest.raises(BlockingIOError):
        stream.recv(10)


def test_descriptors_run_out_and_come_back():
    net = Net(descriptors=2)
    first, _ = net.net.stream(ADDRESS), net.net.stream(ADDRESS)
    with pytest.raises(OSError) as error:
        net.net.stream(ADDRESS)
    assert error.value.errno == errno.EMFILE
    first.close()
    net.net.stream(ADDRESS)


def test_a_full_accept_queue_drops_who_comes_next():
    net, peers = Net(), [Peer() for _ in range(4)]
    listener = net.net.listen(("10.0.0.1", 1), 2)
    for peer in peers:
        net.net.dial(("10.0.0.1", 1), peer)
        net.run()
    assert [p.events for p in peers] == [["up"], ["up"], [], []]
    listener.accept()
    net.net.dial(("10.0.0.1", 1), peers[3])
    net.run()
    assert peers[3].events == ["up"]


def test_a_process_that_dies_resets_its_connections():
    net = Net()
    net.connected()
    peer = Peer()
    net.net.listen(("10.0.0.1", 1), 5)
    net.net.dial(("10.0.0.1", 1), peer)
    net.run()
    net.loop.dead = True
    net.net.die()
    net.run()
    assert net.peer.events == ["up", "reset"] and peer.events == ["up", "reset"]
    late = Peer()
    net.net.dial(("10.0.0.1", 1), late)
    net.run()
    assert late.events == ["refused"]


def test_a_kill_right_behind_a_write_leaves_the_bytes_under_way():
    net = Net()
    stream = net.connected()
    net.kill_at = net.count + 2  # the write itself, then what stands behind it
    with pytest.raises(Killed):
        stream.send(b"gone out")
    net.run()
    assert net.peer.got == b"gone out"


def disk(operation=lambda name: False):
    made = SimDisk(random.Random(1), operation)
    return made, made.open("/state/a")


def test_a_disk_keeps_what_was_written_and_follows_renames():
    made, file = disk()
    file.append(b"one")
    made.rename("/state/a", "/state/b")
    file.append(b"two")
    assert made.read("/state/b") == b"onetwo" and made.used() == 512
    with pytest.raises(FileNotFoundError):
        made.read("/state/a")


@pytest.mark.parametrize(("fault", "value", "code"), [("full", True, errno.ENOSPC), ("eio", 1.0, errno.EIO)])
def test_a_failing_disk_fails_without_a_trace(fault, value, code):
    made, file = disk()
    file.append(b"one")
    setattr(made.faults, fault, value)
    with pytest.raises(OSError) as error:
        file.append(b"two")
    assert error.value.errno == code and made.read("/state/a") == b"one"


def test_short_writes_tell_how_much():
    made, file = disk()
    made.faults.short = 1.0
    size = file.append(b"0123456789")
    assert 0 < size < 10 and made.read("/state/a") == b"0123456789"[:size]


def test_a_kill_amid_a_write_leaves_a_torn_record():
    torn = set()
    for seed in range(40):
        made = SimDisk(random.Random(seed), lambda name: name == "append")
        with pytest.raises(Killed):
            made.open("/state/a").append(b"0123")
        torn.add(bytes(made.files["/state/a"]))
    assert torn == {b"", b"0", b"01", b"012", b"0123"}
