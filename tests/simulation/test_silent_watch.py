"""A watch that has fallen silent, in every way: what it misses is kept from 6 s after that on."""

import json
import random

import pytest
from test_fakes import ADDRESS

from madderbeam.simulation.agent import AgentLine
from madderbeam.simulation.http_tap import RequestTap
from madderbeam.simulation.loop import ProcessLoop, Scheduler
from madderbeam.simulation.network import Link, SimNetwork
from madderbeam.simulation.runs import staged
from madderbeam.simulation.script import Script
from madderbeam.transport.discovery import SILENCE_S, Watch

S = 1_000_000
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WAYS = ["no byte", "a head", "half a value", "half a value, empty lines", "never up", "turned away", "an end"]


def chunk(text):
    return b"%x\r\n%s\r\n" % (len(text), text)


class Agent:
    """Answers watches in a way that can be changed; keeps when it was asked."""

    def __init__(self, scheduler):
        self.scheduler, self.way, self.asked, self.rev = scheduler, "well", [], 1

    def accept(self, stream):
        if self.way == "never up":
            self.asked.append(self.scheduler.now_us)
            return "nothing"
        return Line(self, stream)


class Line:
    def __init__(self, agent, stream):
        self.agent, self.stream = agent, stream
        self.tap = RequestTap(stream, lambda request: None, self.came, pytest.fail)

    def up(self):
        return

    def data(self, data):
        self.tap.arrived(len(data))

    def ended(self, reset):
        return

    def came(self, request):
        agent, way = self.agent, self.agent.way
        agent.asked.append(agent.scheduler.now_us)
        text = json.dumps({"rev": agent.rev, "all": True, "targets": []}).encode()
        if way == "turned away":
            self.stream.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
        elif way == "an end":
            self.stream.finish()
        elif way != "no byte":
            self.stream.write(HEAD)
        if way == "well":
            self.stream.write(chunk(text + b"\n"))
            self.beat()
        elif way.startswith("half"):
            self.stream.write(chunk(text[:20]))
            if way.endswith("lines"):
                self.beat()

    def beat(self):
        """An empty line every 2 s, for as long as the agent is as it was when the watch was opened."""
        way = self.agent.way

        def again():
            if self.agent.way == way:
                self.stream.write(chunk(b"\n"))
                self.agent.scheduler.after(2 * S, again)

        self.agent.scheduler.after(2 * S, again)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("way", WAYS)
def test_a_silent_watch_is_opened_anew_twice_before_what_it_misses_counts(way, seed):
    scheduler = Scheduler(seed)
    agent, heard = Agent(scheduler), []
    network = SimNetwork(
        ProcessLoop(scheduler), {ADDRESS: agent}, Link(), random.Random(seed), lambda name: False, 9
    )
    watch = Watch(
        network.loop,
        network,
        ADDRESS,
        random.Random(seed),
        1,
        lambda change: heard.append((scheduler.now_us, change["rev"])),
    )
    watch.open()
    silent = 10 * S + seed * S // 3
    scheduler.run(silent)
    assert [rev for _, rev in heard] == [1] and len(agent.asked) == 1  # alive by empty lines alone
    agent.way, agent.rev = way, 2
    scheduler.run(silent + 40 * S)
    asked = agent.asked[1:]
    last = silent - (silent - heard[0][0]) % (2 * S)  # its last empty line
    assert len([at for at in asked if at < last + 6 * S]) >= 2
    gaps = [b - a for a, b in zip([last, *asked], asked, strict=False)]
    assert max(gaps) <= SILENCE_S * S + 5_000
    agent.way = "well"
    back = scheduler.now_us
    scheduler.run(back + 4 * S)
    assert [rev for _, rev in heard] == [1, 2] and heard[1][0] <= back + SILENCE_S * S + 10_000


def world_of(dests=1):
    """One courier, with two endpoints or more at its one destination."""
    for seed in range(20):
        world = staged(Script(seed=seed, couriers=1, dests=dests, rate_per_s=30, seconds=14.0, tight=9.0))
        if len(world.dests[0].endpoints) >= 2:
            return world
    raise AssertionError


def calls_to(world, uid):
    """When calls to an endpoint began."""
    found = []
    judged = world.checker.call
    world.checker.call = lambda call, idents, dest, to: (
        judged(call, idents, dest, to),
        found.append(call.first_us) if to == uid else None,
    )
    return found


@pytest.mark.parametrize("way", ["no byte", "half a value", "turned away"])
def test_no_call_goes_where_a_silent_watch_did_not_tell_of_a_drain_6_s_later(way, monkeypatch):
    world = world_of()
    agent, old = world.machines[0].agent, world.dests[0].endpoints[0]
    calls, plain = calls_to(world, old.uid), AgentLine._begin

    def begin(line, since):
        """The first watch that is opened anew is no better."""
        if world.now_us > 4 * S and not world.__dict__.setdefault("met", []):
            world.met.append(world.now_us)
            if way == "turned away":
                line.stream.write(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
            elif way == "half a value":
                line.stream.write(HEAD + chunk(b'{"rev": 3,\n "targets": [\n'))
            return
        plain(line, since)

    monkeypatch.setattr(AgentLine, "_begin", begin)
    silent = 3 * S
    world.after(silent, lambda: [line.stream.cut() for line in agent.lines.values() if line.watching])

    def drained():
        old.state = "terminating"
        agent.learn(old.entry())

    world.after(silent + S, drained)
    report = world.play()
    assert report.violation is None, report.line
    assert world.met and [at for at in calls if at > silent + S]  # it was used while nothing was told
    assert not [at for at in calls if at > silent + 6 * S]


def test_a_new_process_sends_nothing_where_its_agent_knew_of_a_drain_before_it_began():
    # What was held went out in the first turn, by the list as the process before had it.
    world = world_of()
    machine, old = world.machines[0], world.dests[0].endpoints[0]
    calls = calls_to(world, old.uid)
    for ep in world.dests[0].endpoints:
        world.after(2 * S, setattr, ep.mood, "full", True)  # so that much is held as the process dies
        world.after(4 * S, setattr, ep.mood, "full", False)

    def drained():
        old.state = "terminating"
        machine.agent.learn(old.entry())

    for at in (3, 6, 9):
        world.after(at * S, machine.kill)
    world.after(3 * S + S // 10, drained)
    report = world.play()
    assert report.violation is None, report.line
    assert report.kills == 3 and report.delivered > 200
    assert [at for at in calls if at < 3 * S] and not [at for at in calls if at > 3 * S]
