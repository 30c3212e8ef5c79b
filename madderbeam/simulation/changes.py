"""Couriers whose configuration changes all the time: changes drawn by seed, a fifth of them wrong on purpose,
kills amid them, and the terms that hold at every admission and every write.

The world's own checker judges what crosses the wires; here stands what it can't see: that what a courier goes
by is one version, wholly, at each of these instants. `play(seed)` gives the report and what was drawn.
"""

from __future__ import annotations

import contextlib
import json
import random
from collections import Counter
from typing import Any

from madderbeam.changes.events import Apply
from madderbeam.changes.values import DRAINING, READY, Key, Snapshot
from madderbeam.host.changes.component import ChangesComponent
from madderbeam.host.host import Host
from madderbeam.policy.events import EndpointState
from madderbeam.simulation.couriers import Machine
from madderbeam.simulation.endpoints import Endpoint
from madderbeam.simulation.kernel import Report
from madderbeam.simulation.loop import Killed
from madderbeam.simulation.script import Script
from madderbeam.simulation.world import World

EVERY_US = 110_000  # between two changes at one courier, on the mean
HOLD_US = 2_000_000  # of a drain
BAD, KILL, UNDO = 0.2, 0.015, 0.12  # shares of the draws
BOUNDS = {"trial_ms": 1500, "look_ms": 100, "refused_per_s": 200.0}


class Editor:
    """Draws one courier's changes, and holds it to the terms."""

    def __init__(self, world: World, machine: Machine, drawn: Counter[str]) -> None:
        self.world, self.machine, self.drawn = world, machine, drawn
        self.chance = random.Random(f"changes {world.script.seed} {machine.index}")
        self.seen: dict[int, Snapshot] = {}  # versions that were in force
        self.version = 0  # the newest
        self.heard: dict[str, int] = {}  # drains, by the versions' own word: when they came into force
        self.count = 0
        sidecar = machine._sidecar

        def attached(ports: Any) -> Host:
            host = sidecar(ports)
            self._attach(host)
            return host

        machine._sidecar = attached  # type: ignore[method-assign]
        world.after(300_000, self._step)

    def broken(self, text: str) -> None:
        self.world.checker.broken("changes", f"{self.machine.name}: {text}")

    @property
    def room(self) -> ChangesComponent:
        assert self.machine.host is not None
        return _room(self.machine.host)

    # The terms

    def _attach(self, host: Host) -> None:
        room = _room(host)
        m = room.machine
        known = self.seen.setdefault(m.version, m.current)
        if not _same(known, m.current):
            self.broken(f"after a restart version {m.version} is not what it was")
        if m.version < self.version:
            self.broken(f"after a restart version {m.version} is in force, and {self.version} was")
        self.version = m.version
        apply, may_write = room.applier.apply, host.calls.hooks.may_write

        def applied(action: Apply) -> None:
            self._apply(room, action)
            apply(action)

        room.applier.apply = applied  # type: ignore[method-assign]

        def writes(endpoint: int) -> bool:
            may = may_write(endpoint)
            if may:
                self._hold(host, "a write")
                self._written(host, endpoint)
            return may

        host.calls.hooks.may_write = writes
        host.admission.numbered_listeners.append(lambda m: self._hold(host, "an admission"))

    def _apply(self, room: ChangesComponent, action: Apply) -> None:
        """One version follows another, by the rows of changes that were handed in."""
        m, before, after = room.machine, action.before, action.after
        if not _same(before, self.seen[self.version]):
            self.broken(f"version {after.version} is made of another one than was in force")
        changed = _differing(before, after)
        if action.starts_canary and not changed <= {key for t in m.canaries for key in t.change.ops}:
            self.broken(f"version {after.version} has rows that its change does not name")
        now = self.world.now_us
        for section, uid in changed:
            row = after.get((section, uid))
            if section == "endpoint" and (row is None or row.state == DRAINING):
                if row is not None:
                    self.heard.setdefault(uid, now)
            elif section == "endpoint" and now >= self.heard.get(uid, 0) + HOLD_US:
                self.heard.pop(uid, None)
        self.seen[after.version] = after
        self.version = max(self.version, after.version)
        for old in [v for v in self.seen if v < self.version - 200]:
            del self.seen[old]
        self.drawn["applied"] += 1

    def _hold(self, host: Host, where: str) -> None:
        """What the courier goes by is one version."""
        if wrong := _wrong(host, _room(host)):
            self.broken(f"{where}: {wrong}")

    def _written(self, host: Host, endpoint: int) -> None:
        uid = host.registry.names.get(endpoint, "")
        heard = self.heard.get(uid)
        now = self.world.now_us
        if heard is not None and heard < now < heard + HOLD_US:
            self.broken(f"something new goes to {uid}, whose drain came into force at {heard} us")

    # What is drawn

    def _step(self) -> None:
        world = self.world
        if world.now_us >= world.script.seconds * 1e6:
            return
        world.after(int(self.chance.expovariate(1 / EVERY_US)), self._step)
        if self.machine.works:
            if self.chance.random() < KILL:
                self.machine.kill_at = self.machine.operations + self.chance.randrange(1, 40)
            world.scheduler.soon(self._act, loop=self.machine.loop)

    def _act(self) -> None:
        with contextlib.suppress(Killed):
            self._draw()
            self._hold(_host(self.machine), "a change")

    def _draw(self) -> None:
        m, chance = self.room.machine, self.chance
        self.count += 1
        names = [t.id for t in m.canaries] + [o.id for o in m.outcomes.values() if o.result == "kept"]
        names += [s.change.id for s in m.staged]
        if names and chance.random() < UNDO:
            self.drawn["undo"] += 1
            self._call("/changes/undo", {"name": chance.choice(names)})
            return
        waiting = [s.change.id for s in m.staged if not s.is_approved]
        if waiting and chance.random() < 0.5:
            self._call("/changes", {"do": "go", "name": chance.choice(waiting)})
            return
        bad = chance.random() < BAD
        parts = chance.choice(BADS)(self) if bad else self._parts()
        change = {"name": f"c{self.count}-{m.version}", "base": m.current.version, **parts}
        do = "stage" if chance.random() < 0.15 else "apply"
        version = m.version
        status = self._call("/changes", {"do": do, "change": change})
        self.drawn["bad" if bad else "good"] += 1
        self.drawn["taken"] += status < 300
        if bad and (status < 400 or m.version != version):
            self.broken(f"a wrong change was answered {status}: {json.dumps(parts)}")

    def _call(self, path: str, body: dict[str, Any]) -> int:
        answer = _host(self.machine).admin_service.handle("POST", path, json.dumps(body).encode())
        self.world.note(self.machine.name, "change", body=body, status=answer.status, text=answer.text)
        if answer.status >= 500:
            self.broken(f"{path} was answered {answer.status}")
        return answer.status

    def _uids(self, state: str = READY) -> list[str]:
        rows = self.room.machine.current.endpoints
        return sorted(uid for uid, row in rows.items() if row.state == state)

    def _parts(self) -> dict[str, Any]:
        """A change that holds by itself; the courier may object for what is so now."""
        chance = self.chance
        parts: dict[str, Any] = {"accept": ["nothing-ready", "orphans", "little-left"]}
        parts["trial_ms"] = chance.choice((1000, 1500, 3000))
        up, down = self._uids(), self._uids(DRAINING)
        for draw in chance.sample(PARTS, chance.choice((1, 1, 2, 3))):
            draw(self, parts, up, down)
        return parts if len(parts) > 2 else {**parts, "limits": {"attempts": chance.choice((2, 3))}}

    def _fresh(self) -> dict[str, Any]:
        """A new endpoint at one of the destinations."""
        dest = self.chance.choice(self.world.dests)
        ep: Endpoint = self.world._endpoint(dest)
        return self._row(ep)

    @staticmethod
    def _row(ep: Endpoint) -> dict[str, Any]:
        return {
            "uid": ep.uid,
            "dest": ep.dest.number,
            "address": "{}:{}".format(*ep.address),
            "kind": ep.dest.kind,
            "per_s": ep.dest.rate,
        }

    def endpoint(self, uid: str) -> Endpoint:
        return next(ep for ep in self.world.endpoints if ep.uid == uid)


# Parts of changes


def _add(e: Editor, parts: dict[str, Any], up: list[str], down: list[str]) -> None:
    parts["add"] = [e._fresh() for _ in range(e.chance.choice((1, 1, 2)))]


def _drain(e: Editor, parts: dict[str, Any], up: list[str], down: list[str]) -> None:
    if len(up) > 3:
        uid = up.pop(e.chance.randrange(len(up)))
        parts["drain"] = [uid]
        if e.chance.random() < 0.2:  # it shuts, also where the drain is undone
            e.world.after(HOLD_US + 900_000, e.endpoint(uid).vanish)


def _remove(e: Editor, parts: dict[str, Any], up: list[str], down: list[str]) -> None:
    if down:
        parts["remove"] = [down.pop(e.chance.randrange(len(down)))]
    elif len(up) > 5:
        parts["remove"] = [up.pop(e.chance.randrange(len(up)))]


def _move(e: Editor, parts: dict[str, Any], up: list[str], down: list[str]) -> None:
    """It goes to another address under its id; it still answers at the old one."""
    if up:
        uid = up.pop(e.chance.randrange(len(up)))
        e.world.moves += 1
        address = (f"10.3.{e.machine.index}.{e.world.moves}", 6379)
        e.world.services[address] = e.endpoint(uid)
        parts.setdefault("edit", []).append({"uid": uid, "address": "{}:{}".format(*address)})


def _back(e: Editor, parts: dict[str, Any], up: list[str], down: list[str]) -> None:
    """A drain is called off."""
    if down:
        uid = down.pop(e.chance.randrange(len(down)))
        parts.setdefault("edit", []).append({"uid": uid, "state": READY})


def _settings(e: Editor, parts: dict[str, Any], up: list[str], down: list[str]) -> None:
    chance = e.chance
    parts["limits"] = {"max_held": chance.randrange(30, 60), "retry_base_ms": chance.choice((50, 100, 200))}
    parts["tenants"] = {f"ensemble-{chance.randrange(3)}": {"per_s": chance.choice((20, 40))}}
    parts["classes"] = {
        f"extra-{chance.randrange(4)}": {
            "wanted_ms": 100,
            "deadline_ms": chance.randrange(200, 5000),
            "repeat": "safe",
        }
    }


PARTS = (_add, _drain, _remove, _move, _back, _settings)


def _twice(e: Editor) -> dict[str, Any]:
    """An address that another endpoint in service has."""
    row = e._fresh()
    uids = e._uids()
    taken = e.room.machine.current.endpoints.get(uids[0]).address if uids else "nowhere"
    return {"add": [e._fresh(), {**row, "address": taken}, e._fresh()]}


BADS = (
    _twice,
    lambda e: {"drain": [*e._uids()[:1], "nobody"]},
    lambda e: {"add": [e._fresh(), {**e._fresh(), "dest": -4}]},
    lambda e: {"limits": {"max_held": 40, "window": 11}},
    lambda e: {"classes": {"extra-0": {"wanted_ms": 100, "deadline_ms": 50}}},
    lambda e: {"tenants": {"ensemble-0": {"share": 0.9}}},
    lambda e: {"base": 10**6, "limits": {"max_held": 40}},
    lambda e: {"names": {"ghost": 4_000_000}, "limits": {"max_held": 41}},
    lambda e: {"kinds": {"venue-chains": {"routes_apart": True}}},
    lambda e: {"quota": {"form": 1, "couriers": 1, "nodes": [{"name": "x", "tenants": ["ghost"]}]}},
)


# Help


def _host(machine: Machine) -> Host:
    assert machine.host is not None
    return machine.host


def _room(host: Host) -> ChangesComponent:
    return next(room for room in host.components if isinstance(room, ChangesComponent))


def _differing(one: Snapshot, other: Snapshot) -> set[Key]:
    return {
        (s, name)
        for s in one.sections
        if s != "fixed"
        for name in one.sections[s].differing_keys(other.sections[s])
    }


def _same(one: Snapshot, other: Snapshot) -> bool:
    return not _differing(one, other)


def _wrong(host: Host, room: ChangesComponent) -> str:
    """What the parts of a courier go by that is not of the version in force, '' if all is."""
    m, listing = room.machine, host.registry
    entries = {listing.names[number]: entry for number, entry in listing.entries.items()}
    rows = dict(m.current.endpoints.items())
    if entries.keys() != rows.keys():
        return f"listed are {sorted(entries)}, and version {m.version} has {sorted(rows)}"
    for uid, row in rows.items():
        entry = entries[uid]
        place = "{}:{}".format(*host.calls.pools[entry.endpoint].address)
        if (entry.destination, place, entry.rate_per_s) != (row.dest, row.address, row.per_s):
            return f"{uid} is not as version {m.version} has it"
        drains = row.state == DRAINING or uid in m.drains.began_at_us
        if (entry.state is EndpointState.DRAINING) != drains:
            return f"{uid} is {entry.state.value}, against version {m.version}"
    s = host.settings
    present = {name: m.current.get(("class", name))["number"] for name in m.current.active_names("class")}
    one = host.courier.state.settings is s and host.admission.settings is s
    if (
        host.admission.class_indices != present
        or not one
        or s.max_pending != m.current.get(("limit", "max_held"))
    ):
        return f"settings are not those of version {m.version}"
    for name, number in present.items():
        if s.classes[number].deadline_us != m.current.get(("class", name))["deadline_ms"] * 1000:
            return f"class {name} is not as version {m.version} has it"
    return ""


def play(seed: int, seconds: float = 12.0, trace: bool = False) -> tuple[Report, Counter[str]]:
    """One run of two couriers, whose configurations change under steady load, to its end or to the first
    broken rule."""
    script = Script(seed, couriers=2, dests=4, seconds=seconds, sidecar=True, rate_per_s=25.0, tight=2.5)
    world = World(script, trace=trace, audited=False)
    world.changes = BOUNDS
    drawn: Counter[str] = Counter()
    for machine in world.machines:
        Editor(world, machine, drawn)
    return world.play(), drawn
