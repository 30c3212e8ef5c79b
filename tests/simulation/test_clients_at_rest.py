"""How long a client's connection is kept with no request open, on a virtual clock."""

import random

import pytest

from madderbeam.simulation.loop import ProcessLoop, Scheduler
from madderbeam.simulation.network import Link, SimNetwork
from madderbeam.transport.clients import WHOLE_S, ClientServer, Places

ADDRESS, IDLE_S = ("10.0.0.1", 6379), 60.0
HELLO = b"*2\r\n$5\r\nHELLO\r\n$1\r\n3\r\n"
PING = b"*1\r\n$4\r\nPING\r\n"


class Program:
    """A program that keeps its connection."""

    def __init__(self):
        self.got, self.over = b"", False

    def up(self):
        pass

    refused = up

    def data(self, data):
        self.got += data

    def ended(self, reset):
        self.over = True


class Door:
    def __init__(self):
        self.scheduler = Scheduler(1)
        loop = ProcessLoop(self.scheduler)
        self.net = SimNetwork(loop, {}, Link(), random.Random(1), lambda name: False, 100)
        self.server = ClientServer(loop, self.net, lambda put, reply: None, Places(100, 1.0, IDLE_S))
        self.server.listen(*ADDRESS)

    def program(self, *first):
        program = Program()
        program.stream = self.net.dial(ADDRESS, program)
        for data in first:
            self.scheduler.after(5_000, program.stream.write, data)
        return program

    def run(self, seconds):
        self.scheduler.run(self.scheduler.now_us + int(seconds * 1e6))


@pytest.mark.parametrize("first", [PING, HELLO])
def test_one_whose_first_request_is_answered_at_once_is_kept_for_the_idle_time(first):
    # It counted as of no use until its answer had gone, and was closed after 2 s: a program that connects and
    # has nothing to send for a while lost its connection in the face of the setting.
    door = Door()
    program = door.program(first)
    door.run(IDLE_S - 1)
    assert program.got and not program.over
    program.stream.write(PING)
    door.run(1)
    assert program.got.endswith(b"+PONG\r\n")
    door.run(IDLE_S + 1)
    assert program.over


def test_one_that_sends_nothing_that_can_be_used_is_closed_soon():
    door = Door()
    programs = [door.program(), door.program(b"*1\r\n$4\r\nNOPE\r\n")]
    door.run(WHOLE_S + 1)
    assert all(p.over for p in programs)
