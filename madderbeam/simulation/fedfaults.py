"""What goes wrong in a federation: each kind is on or off for a seed, then happens several times."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, TypeAlias

Federation: TypeAlias = Any  # of federation.py, which stands above
Member: TypeAlias = Any
S = 1_000_000
FIRST_US, LAST_US = 3 * S, 11 * S  # faults begin between these
WRONG: tuple[dict[str, Any], ...] = (
    {"number": 99},
    {"owners": {"1": "nowhere"}},
    {"owners": {"77": "athens"}},
)


class Faults:
    """Draws what a fault hits as it begins."""

    def __init__(self, world: Federation) -> None:
        self.world, self.chance = world, random.Random(f"faults {world.seed}")

    def member(self) -> Member:
        return self.chance.choice(self.world.members)

    def partner(self, what: str, share: float) -> None:
        partner = self.chance.choice(self.world.partners)
        partner.moods.append((self.world.now_us + self.span(), what, share))

    def span(self) -> int:
        """Microseconds."""
        return int(self.chance.choice((0.1, 0.4, 1.0, 2.0, 4.0)) * S * self.chance.uniform(0.7, 1.3))

    def ways(self) -> list[Any]:
        """One, those of one member, or all."""
        fabric, hosts, a = self.world.fabric, list(self.world.by_host), self.member().host_name
        some = self.chance.choice(("one", "member", "all"))
        if some == "one":
            return [fabric.way(a, self.chance.choice(hosts))]
        if some == "member":
            return [fabric.way(*pair) for h in hosts for pair in ((a, h), (h, a))]
        return [fabric.way(x, y) for x in hosts for y in hosts]

    def impair(self, **values: float) -> None:
        ways = self.ways()
        for way in ways:
            vars(way).update(values)
        self.world.after(self.span(), lambda: [vars(w).update(dict.fromkeys(values, 0)) for w in ways])

    def cut(self, pairs: list[tuple[str, str]]) -> None:
        ways = [self.world.fabric.way(*pair) for pair in pairs]
        for way in ways:
            way.break_off()
        self.world.after(self.span(), lambda: [way.heal() for way in ways])

    def disk(self, **values: Any) -> None:
        member = self.member()
        vars(member.disk.faults).update(values)
        span, disk = min(self.span(), 2 * S), member.disk
        member.sick_us = max(member.sick_us, self.world.now_us + span + S)
        self.world.after(span, lambda: vars(disk.faults).update(full=False, eio=0.0))


def _loss(f: Faults) -> None:
    f.impair(loss=f.chance.choice((0.1, 0.3)))


def _double(f: Faults) -> None:
    f.impair(double=0.3)


def _late(f: Faults) -> None:
    f.impair(late=0.2, late_us=f.chance.choice((20_000, 500_000)))


def _cut_one_way(f: Faults) -> None:
    f.cut([(f.member().host_name, f.member().host_name) for _ in range(f.chance.choice((1, 1, 3)))])


def _deaf(f: Faults) -> None:
    me = f.member().host_name
    f.cut([(h, me) for h in f.world.by_host])


def _partition(f: Faults) -> None:
    sites = list(f.world.sites)
    there = set(f.chance.sample(sites, f.chance.randrange(1, len(sites))))
    sides = {m.host_name: m.site in there for m in f.world.members}
    f.cut([(a, b) for a in sides for b in sides if sides[a] != sides[b]])


def _kill(f: Faults) -> None:
    f.member().die()


def _kill_at(f: Faults) -> None:
    f.member().kill_at = f.chance.randrange(1, 60)


def _kill_all(f: Faults) -> None:
    for member in f.world.members:
        member.die()


def _wipe(f: Faults) -> None:
    if all(m.lost < 0 for m in f.world.members):  # one folder at most
        f.member().wipe()


def _pause(f: Faults) -> None:
    f.member().pause(f.span())


def _terminate(f: Faults) -> None:
    f.member().terminate()


def _propose(f: Faults) -> None:
    f.world.propose(f.member())


def _propose_two(f: Faults) -> None:
    a, b = f.member(), f.member()
    f.world.propose(a)
    f.world.after(f.chance.choice((0, 1_000, 50_000)), f.world.propose, b)


def _propose_wrong(f: Faults) -> None:
    f.world.propose_wrong(f.member(), f.chance.choice(WRONG))


def _back_and_forth(f: Faults) -> None:
    every = f.chance.choice((200_000, 700_000, 1_500_000))
    for n in range(5):
        f.world.after(n * every, lambda: f.world.propose(f.member(), 1))


def _waits(f: Faults) -> None:
    f.partner("waits", f.chance.choice((0.1, 0.5)))


def _fails(f: Faults) -> None:
    f.partner("fails", 0.3)


def _full(f: Faults) -> None:
    f.partner("full", 0.5)


def _resets(f: Faults) -> None:
    f.partner("resets", 0.3)


def _hangs(f: Faults) -> None:
    f.partner("hangs", 0.3)


def _disk_full(f: Faults) -> None:
    f.disk(full=True)


def _disk_errors(f: Faults) -> None:
    f.disk(eio=f.chance.choice((0.1, 0.5)))


KINDS: dict[str, Callable[[Faults], None]] = {
    "loss": _loss,
    "double": _double,
    "late": _late,
    "cut_one_way": _cut_one_way,
    "deaf": _deaf,
    "partition": _partition,
    "kill": _kill,
    "kill_at": _kill_at,
    "kill_all": _kill_all,
    "wipe": _wipe,
    "pause": _pause,
    "terminate": _terminate,
    "propose": _propose,
    "propose_two": _propose_two,
    "propose_wrong": _propose_wrong,
    "back_and_forth": _back_and_forth,
    "waits": _waits,
    "fails": _fails,
    "full": _full,
    "resets": _resets,
    "hangs": _hangs,
    "disk_full": _disk_full,
    "disk_errors": _disk_errors,
}


def draw(world: Federation) -> tuple[str, ...]:
    """Have a seed's faults happen; their kinds."""
    faults = Faults(world)
    chance, kinds = faults.chance, sorted(KINDS)
    share = chance.choice((0.1, 0.2, 0.35))
    on = [kind for kind in kinds if chance.random() < share] or chance.sample(kinds, 2)
    if chance.random() < 0.6:
        on += sorted({"back_and_forth"} - set(on))
    for kind in on:
        for _ in range(chance.choice((1, 2, 3))):
            world.after(chance.randrange(FIRST_US, LAST_US), KINDS[kind], faults)
    return tuple(on)
