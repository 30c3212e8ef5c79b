"""The machines on which couriers run: their processes, signals, clocks and the folder that lasts."""

from __future__ import annotations

import contextlib
import json
import random
import signal
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgpack

from madderbeam.config.platform import ConfigError, load, load_sidecar
from madderbeam.config.rendered import seal
from madderbeam.host import process, state_transfer
from madderbeam.host.host import Host
from madderbeam.host.process_upgrade import SETTLE_S
from madderbeam.host.standalone import ResourceHeldError, claim_resources
from madderbeam.journal.journal import KEY_RETENTION_MARGIN_S, Journal
from madderbeam.journal.records import parse
from madderbeam.journal.steady_clock import BOOT_ID_PATH
from madderbeam.ports import Address, Ports
from madderbeam.simulation import local
from madderbeam.simulation.agent import Agent
from madderbeam.simulation.checker import Life
from madderbeam.simulation.disk import SimDisk
from madderbeam.simulation.kernel import Kernel
from madderbeam.simulation.local import FeedReader, ListKeeper
from madderbeam.simulation.loop import Killed, ProcessLoop, Scheduler, process_loop
from madderbeam.simulation.network import Link, SimNetwork

BACK_US = 600_000  # a courier is started again so long after its end
EXIT_US = 3_700_000  # SIGKILL comes so long after SIGTERM
CONFIG = "/config.json"


class SimClock:
    """One machine's clocks: the monotonic one outlasts the process, the wall clock may step."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler, self.step_us = scheduler, 0
        self.pace = 1.0  # seconds by it in one of virtual time

    def monotonic_us(self) -> int:
        return int(self.scheduler.now_us * self.pace) + 5_000_000

    def wall(self) -> float:
        return 1.7e9 + (self.scheduler.now_us * self.pace + self.step_us) / 1e6


class Machine:
    """One courier's machine."""

    def __init__(self, kernel: Kernel, index: int) -> None:
        self.kernel, self.index, self.name = kernel, index, f"n{index}"
        self.address: Address = (f"10.0.0.{index + 1}", 6379)
        self.chance = random.Random(f"machine {kernel.script.seed} {index}")
        self.clock = SimClock(kernel.scheduler)
        self.disk = SimDisk(self.chance, self._operation)
        self.disk.wrote = self._recorded
        self.list_seen: dict[str, dict[str, Any]] = {}  # as it was told when it was looked at
        self.list_at = 0
        self.numbers: dict[int, str] = {}  # the ids of messages by their numbers in the journal
        self.control: Address = (f"10.0.0.{index + 1}", 7000)
        self.kafka: Address = (f"10.0.0.{index + 1}", 9092)
        self.link = Link()
        self.link.latency_us, self.link.jitter_us = kernel.script.latency_us, kernel.script.jitter_us
        self.link.grid_us = kernel.script.grid_us if kernel.script.aligned else 1
        self.descriptors = kernel.script.descriptors
        self.life = Life(self.name, 0, died_us=0)
        self.feed = FeedReader(kernel, self.disk.files, lambda: self.life) if kernel.script.sidecar else None
        self.agent: Agent
        if kernel.script.sidecar:
            self.agent = ListKeeper(kernel, self.name, self.disk.files)
            self.disk.spared |= {local.LIST, local.CONFIG, local.FEED}
            self.disk.was_read = self._was_read
        else:
            self.agent = Agent(kernel, self.name, (f"10.2.0.{index + 1}", 8500))
            kernel.services[self.agent.address] = self.agent.service()
        self.disk.files[BOOT_ID_PATH] = bytearray(b"one boot\n")
        self.moves = 0
        self.operations = 0  # of disk and sockets since the process began
        self.kill_at = 0  # the process dies at this operation, 0: at none
        self.ambush: Callable[[str], bool] | None = None  # whether the process dies at an operation
        self.kills = 0
        self.host: Host | None = None
        self.network: SimNetwork
        self.loop: ProcessLoop

    def env(self) -> dict[str, str]:
        return {
            "LB_NAME": self.name,
            "LB_LISTEN": f"{self.address[0]}:{self.address[1]}",
            "LB_DISCOVERY": "{}:{}".format(*self.agent.address),
            "LB_STATE": "/state",
            "LB_CONFIG": CONFIG,
        }

    def config(self) -> dict[str, Any]:
        script = self.kernel.script
        settings = {**self.kernel.raw_settings, "me": self.index}
        served = {"control": "{}:{}".format(*self.control)} if self.kernel.served else {}
        return {
            **served,
            "name": self.name,
            "seed": f"{self.chance.getrandbits(64):x}",
            "discovery": "{}:{}".format(*self.agent.address),
            "limits": {
                "cores": 1.0,
                "memory_mb": 192,
                "sockets": script.descriptors,
                "disk_mb": script.disk_mb,
            },
            "known": self.agent.known(),
            "settings": settings,
        }

    def write_config(self) -> None:
        if self.feed is None:
            self.disk.files[CONFIG] = bytearray(json.dumps(self.config()).encode())
            return
        script = self.kernel.script
        file = {
            "form": 1,
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "settings": {**self.kernel.raw_settings, "me": self.index},
            "limits": {
                "sockets": script.descriptors,
                "clients": script.descriptors // 2,
                "client_idle_ms": 60_000,
                "disk_mb": script.disk_mb,
            },
            "sidecar": {
                "state": "/state",
                "partners": local.LIST.rpartition("/")[2],
                "finals": local.FEED,
                "feed_mb": local.FEED_MB,
            },
        }
        if self.kernel.quota:
            file["quota"] = self.kernel.quota
        if self.kernel.changes:
            file["changes"] = self.kernel.changes
        if script.kafka:
            file["kafka"] = {
                "listen": "{}:{}".format(*self.kafka),
                "advertised": None,
                "users": {},
                "partitions": 1,
                "finals": "finals",
            }
        self.disk.files[local.CONFIG] = bytearray(json.dumps(seal(file)).encode())

    def _was_read(self, path: str, data: bytes) -> None:
        if path == local.LIST and isinstance(self.agent, ListKeeper):
            self.agent.read(data)

    # Life and death

    def start(self) -> None:
        """Start the process, with nothing but the folder that lasts."""
        kernel = self.kernel
        self.write_config()
        if self.feed is not None and isinstance(self.agent, ListKeeper):
            self.feed.read(known=False)  # what is whole in the feed though its courier died amid writing it
            if local.LIST not in self.disk.files:
                self.agent.replace()
        self.life = Life(self.name, self.life.number + 1)
        kernel.checker.started(self.life)
        self.loop = process_loop(kernel.scheduler)
        self.network = SimNetwork(
            self.loop, kernel.services, self.link, self.chance, self._operation, self.descriptors
        )
        kernel.lives[self.network] = self.life
        self.operations = 0
        kernel.note(self.name, "starts")
        kernel.scheduler.soon(self._main, loop=self.loop)

    def _main(self) -> None:
        ports = Ports(self.clock, self.network, self.disk)
        try:
            self.host = (
                self._sidecar(ports)
                if self.feed
                else process.start(self.loop, ports, self.env(), load(self.env(), self.disk))
            )
        except ConfigError as error:
            if isinstance(self.agent, ListKeeper) and self.agent.half:  # whoever keeps it starts it again
                self.die()
                return
            self.kernel.checker.broken("crash", f"{self.name} cannot start: {error}")
            return
        except (OSError, ResourceHeldError) as error:
            if self.name not in self.kernel.checker.troubled:
                self.kernel.checker.broken("crash", f"{self.name} cannot start: {error}")
            self.die()
            return
        self.life.ready_us = self.kernel.now_us
        self.host.closed.add_done_callback(self._closed)

    def _sidecar(self, ports: Ports) -> Host:
        config = replace(load_sidecar(local.CONFIG, self.disk), seed=self.chance.getrandbits(64))
        guarded, _ = claim_resources(config, ports)
        return process.start(self.loop, guarded, {}, config)

    def _closed(self, _: Any) -> None:
        """The process ends by itself, as after SIGTERM."""
        if self.life.closing_us < 0:
            self.kernel.checker.broken("crash", f"{self.name} ended by itself")
        assert self.host is not None
        self.life.exits = True
        with contextlib.suppress(Killed):
            self.host.close()
        self.die()

    def _recorded(self, path: str, data: bytes) -> None:
        """What the courier has written to its disk: ends count from their records on."""
        if path == local.FEED and self.feed is not None:
            self.feed.read(known=True)
            return
        if not path.startswith("/state/"):
            return
        for record in parse(data)[0]:
            if record[0] == "take":
                self.numbers[record[1]] = record[2]
            elif record[0] == "final" and record[1] in self.numbers:
                self.kernel.checker.recorded(self.numbers[record[1]])

    def _operation(self, name: str) -> bool:
        """Counts an operation; whether the process dies at it."""
        if self.loop.dead:
            return True
        self.operations += 1
        if (self.kill_at and self.operations >= self.kill_at) or (self.ambush and self.ambush(name)):
            self.kill_at, self.ambush = 0, None
            self.kills += 1
            self.kernel.note(self.name, "is killed at", operation=name, number=self.operations)
            self.die()
            return True
        return False

    def die(self) -> None:
        """The process is gone; it is started again after a while."""
        if self.life.died_us >= 0:
            return
        self.kernel.note(self.name, "dies")
        self.life.died_us = self.kernel.now_us
        self.loop.dead = True
        self.network.die()
        self.kernel.checker.disk(self.name, self.disk.most)
        self.kernel.after(BACK_US, self.start)

    def steady_since(self) -> int:
        """Since when the courier has been there and its list has stood as it is, as far as was looked."""
        told = {uid: dict(entry) for uid, entry in self.agent.told.items()}
        # Behind a line that could not be read others count once they are told again.
        if told != self.list_seen or any(line.spoilt for line in self.agent.lines.values()):
            self.list_seen, self.list_at = told, self.kernel.now_us
        return max(self.list_at, self.life.ready_us)

    def restarted(self) -> Journal:
        """The journal as a process would find it that started now, read from a copy of the disk."""
        assert self.host is not None
        live = self.host.journal
        disk = SimDisk(random.Random(0), lambda name: False)
        disk.files = {path: bytearray(data) for path, data in self.disk.files.items()}
        return Journal(
            disk, self.clock, live.folder, live.limit_bytes, live.key_retention_s - KEY_RETENTION_MARGIN_S
        )

    @property
    def works(self) -> bool:
        """The process has started and has not ended."""
        return self.life.ready_us >= 0 and self.life.died_us < 0 and not self.loop.dead

    def kill(self) -> None:
        """SIGKILL."""
        if self.life.died_us < 0:
            self.kills += 1
            self.die()

    def terminate(self) -> None:
        """SIGTERM, and SIGKILL if that is not enough."""
        if self.life.died_us >= 0 or self.life.ready_us < 0 or self.life.closing_us >= 0:
            return
        self.life.closing_us = self.kernel.now_us
        self.kernel.note(self.name, "SIGTERM")
        self.loop.signal(signal.SIGTERM)
        self.kernel.after(EXIT_US, self._too_late, self.life)

    def _too_late(self, life: Life) -> None:
        if life.died_us < 0:
            self.kernel.checker.broken("restart", f"{self.name} had not ended {EXIT_US} us after SIGTERM")
            self.kill()

    # Upgrades

    def kept(self, stream: Any) -> bool:
        """Whether the connection is still with the process that works."""
        return stream.network is self.network

    def upgrade(self, how: str) -> None:
        """A second process starts beside this one. how: 'whole', it takes over; 'form', it does not know the
        form of the state; 'before', it dies before it takes over; 'after', it dies with all in its charge."""
        if self.feed is None and self.life.ready_us >= 0 and self.life.died_us < 0:
            self._hand_over(how, self.kernel.now_us + int(SETTLE_S * 1e6))

    def _hand_over(self, how: str, until: int) -> None:
        old = self.host
        if old is None or self.loop.dead or old.shutdown_deadline:
            return
        with contextlib.suppress(Killed):
            if not state_transfer.is_ready(old):
                if self.kernel.now_us < until:
                    self.kernel.scheduler.after(5_000, self._hand_over, how, until, loop=self.loop)
                    return
                state_transfer.end_untransferable(old)
            self._pass(old, how)

    def _pass(self, old: Host, how: str) -> None:
        message, socks = state_transfer.snapshot(old, "" if how == "form" else state_transfer.state_version())
        message = msgpack.unpackb(msgpack.packb(message), strict_map_key=False)
        self.kernel.note(
            self.name, "is upgraded", how=how, clients=len(message["clients"]), calls=len(message["calls"])
        )
        passed = state_transfer.TransferredState(
            message, socks, old.settings, old.config.zones, old.config.seed
        )
        if how == "before":
            return
        before, self.loop = self.loop, process_loop(self.kernel.scheduler)
        network = SimNetwork(
            self.loop, self.kernel.services, self.link, self.chance, self._operation, self.network.descriptors
        )
        network.most = self.network.most
        for sock in socks:
            self.network.pass_on(sock, network)
        self.kernel.lives[network] = self.life
        old.stop_after_handover()
        self.network = network
        self.kernel.after(EXIT_US, setattr, before, "dead", True)  # until then it has nothing left to do
        if how == "after":
            self.die()
            return
        if how == "form":  # what was learnt is gone, as over a restart
            self.life = Life(self.name, self.life.number + 1, ready_us=self.kernel.now_us)
            self.kernel.checker.started(self.life)
            self.kernel.lives[network] = self.life
        self.write_config()
        ports = Ports(self.clock, network, self.disk)
        self.host = process.start(
            self.loop, ports, self.env(), load(self.env(), self.disk), transferred=passed
        )
        self.host.control.listen(self.control)
        self.host.closed.add_done_callback(self._closed)

    def reload(self) -> None:
        """Discovery moves: the file is replaced and the process gets SIGHUP."""
        if self.life.died_us >= 0 or self.life.ready_us < 0:
            return
        if self.feed is not None:
            self.kernel.note(self.name, "SIGHUP")
            if not self.loop.signal(signal.SIGHUP):
                self.kernel.checker.broken("restart", f"{self.name} ends on SIGHUP")
            return
        self.moves += 1
        old = self.agent.address
        self.agent.move((f"10.2.{self.moves}.{self.index + 1}", 8500))
        self.kernel.services[self.agent.address] = self.kernel.services.pop(old)
        if self.chance.random() < 0.3:  # the file is half written at first
            text = json.dumps(self.config()).encode()
            self.disk.files[CONFIG] = bytearray(text[: len(text) // 2])
            self.life.moved_us = self.kernel.now_us + 150_000
            self.kernel.after(150_000, self.write_config)
        else:
            self.write_config()
        self.kernel.note(self.name, "SIGHUP")
        if not self.loop.signal(signal.SIGHUP):
            self.kernel.checker.broken("restart", f"{self.name} ends on SIGHUP")
