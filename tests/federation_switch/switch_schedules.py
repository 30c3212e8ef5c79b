"""Random schedules from a seed: tables, kills, pauses, cut links and decommissioned members, with
failures.
"""

from __future__ import annotations

import random
from dataclasses import replace

from switch_world import MS, SECOND, InvariantViolated, Node, World, table

from madderbeam.federation import values as fv
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.values import Table
from madderbeam.membership.values import MemberId

STEPS = 14
STEPS_DRAWN = (
    "table",
    "table",
    "table",
    "kill",
    "start",
    "pause",
    "resume",
    "cut",
    "heal",
    "proposal",
    "off",
)
SITES = ("a", "b", "c")


def play(seed: int, lease_us: int | None = None, drawn_from: tuple[str, ...] = STEPS_DRAWN) -> World:
    """Play a schedule and heal the world at its end. Raises InvariantViolated."""
    rng = random.Random(seed)
    sites = {s: rng.choice(("m1", "m1 m2", "m1 -m2")) for s in SITES}
    leased = rng.random() < 0.4
    lease_us = (2 * SECOND if leased else 0) if lease_us is None else lease_us
    off_words = not lease_us and rng.random() < 0.5
    w = World(
        seed,
        table(1, sites, {d: rng.choice(SITES) for d in (7, 8, 9)}),
        SwitchoverSettings(lease_us=lease_us),
        crash_probability=rng.choice((0, 0, 0.001, 0.01)),
        write_failure_probability=rng.choice((0, 0, 0.05)),
        loss=rng.choice((0, 0.2)),
        wait_probability=rng.choice((0, 0.3)),
        check_waits=not lease_us and not off_words,
    )
    w.start()
    for _ in range(STEPS):
        w.run(rng.choice((50 * MS, 500 * MS, 2 * SECOND, 4 * SECOND)))
        step(w, rng, rng.choice(drawn_from), off_words)
    heal(w)
    if not w.run(90 * SECOND, w.settled):
        raise InvariantViolated(
            f"not settled: {[n.switch.status(n.now_us()) for n in w.nodes.values() if n.alive]}"
        )
    return w


def step(w: World, rng: random.Random, what: str, off_words: bool) -> None:
    node = rng.choice(list(w.nodes.values()))
    if what == "table" and w.quorum():
        w.agree(drawn(w, rng))
    elif what == "kill" and node.alive:
        node.kill()
    elif what == "start" and not node.alive:
        node.start()
    elif what == "pause" and node.alive and not node.paused:
        node.pause()
    elif what == "resume" and node.alive and node.paused:
        node.resume()
    elif what == "cut":
        w.split(*(str(m) for m in rng.sample(sorted(w.nodes), rng.randrange(1, len(w.nodes)))))
    elif what == "heal":
        w.cut_links = set()
    elif what == "proposal" and node.member_id in w.tables[-1].voters:
        pending = drawn(w, rng)
        if pending.proposal_id != w.tables[-1].proposal_id:
            node.accepted[pending.proposal_id] = pending
    elif what == "off" and off_words:
        decommission(w, rng, node)
    elif what == "off" and node.alive:
        node.deliver(
            fv.TableAgreed(rng.choice(w.tables))
            if len(node.agreed) == len(w.tables) - 1
            else fv.ServingPaused()
        )


def drawn(w: World, rng: random.Random) -> Table:
    latest = w.tables[-1]
    owners = {d: rng.choice(SITES) if rng.random() < 0.5 else s for d, s in latest.owners.items()}
    new = w.next_table(owners)
    if rng.random() < 0.2:  # a member joins, leaves, or becomes a voter or a non-voter
        site = rng.choice(SITES)
        names = rng.choice(("m1", "m1 m2", "m1 -m2"))
        sites = {
            s: " ".join(("" if r.is_voter else "-") + r.name for r in rs) for s, rs in latest.sites.items()
        }
        new = replace(new, sites=table(0, {**sites, site: names}, {}).sites)
    return new


def decommission(w: World, rng: random.Random, node: Node) -> None:
    """Declare a member gone that is dead, or was paused for long enough to have no call in flight."""
    running = [n for n in w.nodes.values() if n.alive and not n.paused and n is not node]
    has_call = any(c.node is node and c.end_us > w.now_us for c in w.calls)
    if running and not has_call and (not node.alive or node.paused):
        w.decommissioned_ids.add(node.member_id)
        declaring = rng.choice(running)
        declaring.deliver(fv.MemberDecommissioned(node.member_id, declaring.switch.registry.ledger.number))


def heal(w: World) -> None:
    w.cut_links, w.crash_probability, w.write_failure_probability, w.loss = set(), 0, 0, 0
    for node in w.nodes.values():
        if not node.alive:
            node.start()
        elif node.paused:
            node.resume()
    if w.decommissioned_ids:  # a table that lists them lets them serve again
        w.run(5 * SECOND)
        assert w.quorum()
        w.agree(w.next_table(w.tables[-1].owners))


def left_out(w: World, member: MemberId) -> bool:
    return member not in w.tables[-1].members(member.site)
