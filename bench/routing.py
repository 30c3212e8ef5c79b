"""Routing by itself: choices a second by pool size and method, routes, an import, subsets, moved keys.

`python bench/routing.py`; CPU time of one process, the best of three.
"""

import random
import tempfile
import time
from collections import Counter
from pathlib import Path

from madderbeam.importers.nginx.meaning import understand
from madderbeam.importers.nginx.tree import read
from madderbeam.policy.events import AttemptResult
from madderbeam.routing.pool import Method, Policy, Pool, Server
from madderbeam.routing.routes import Match, Route, RouteMatcher
from madderbeam.routing.subset import select_subset

SIZES = (10, 100, 5000)


def best(action):
    taken = []
    for _ in range(3):
        start = time.process_time()
        action()
        taken.append(time.process_time() - start)
    return min(taken)


def servers(count, **more):
    return [
        Server(n, f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:80", 1 + n % 3, **more) for n in range(count)
    ]


def choices(method, count, calls=2000):
    pool = Pool(Policy(method), servers(count, max_fails=3), random.Random(1))

    def play():
        for n in range(calls):
            ident = next(iter(next(iter(pool.tiers(n, f"k{n % 997}", (), n)))[1]))
            pool.call_started(n, ident, n)
            pool.call_ended(ident, AttemptResult.OK, False, n)

    return best(play) / calls


def routes():
    rows = [Route(Match.PREFIX, f"/partner-{n:04}/", f"p{n}") for n in range(970)]
    rows += [Route(Match.REGEX, f"^/x{n}/[0-9]+$", f"r{n}") for n in range(30)]
    table = RouteMatcher(rows)
    names = [f"/partner-{n:04}/orders/{n}" for n in range(0, 970, 7)] + ["/x29/77", "/none"] * 10
    return best(lambda: [table.find(name) for name in names]) / len(names)


def imported(lines=10_000):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "nginx.conf"
        text = []
        for n in range(lines // 8):
            text.append(
                f"upstream u{n} {{\n    server 10.{n // 250}.1.{n % 250}:80 weight=3;\n"
                f"    server 10.{n // 250}.2.{n % 250}:80;\n}}\n"
                f"server {{\n    server_name s{n}.example.org;\n"
                f"    location / {{ proxy_pass http://u{n}; }}\n}}\n"
            )
        path.write_text("".join(text))
        return len("".join(text).splitlines()), best(lambda: understand(read(path)))


def spread(counts, servers_):
    whole = [counts[s] for s in servers_]
    return f"{min(whole)} to {max(whole)}"


def subsets(n=10_000, couriers=1_000, most=30):
    names = [s.name for s in servers(n)]
    even = Counter(name for me in range(couriers) for name in select_subset(names, me, couriers, most))
    chance = random.Random(1)
    drawn = Counter(name for _ in range(couriers) for name in chance.sample(names, most))
    shuffled, whole, rounds = Counter(), [], -1
    each = n // most
    for me in range(couriers):
        if me // each != rounds:
            rounds = me // each
            whole = random.Random(rounds).sample(names, n)
        shuffled.update(whole[me % each * most : (me % each + 1) * most])
    gone = names[1:]
    moved = [
        len(set(select_subset(gone, me, couriers, most)) - set(select_subset(names, me, couriers, most)))
        for me in range(couriers)
    ]
    return (
        spread(even, names),
        spread(shuffled, names),
        spread(drawn, names),
        couriers * most / n,
        sum(moved) / couriers,
        max(moved),
    )


def moved(method, replaced=0.58, count=100):
    old = servers(count)
    keep = int(count * (1 - replaced))
    new = old[:keep] + [Server(n, f"10.9.0.{n}:80", 1 + n % 3) for n in range(keep, count)]
    pools = [Pool(Policy(method), rows, random.Random(1)) for rows in (old, new)]

    def at(pool, key):
        ident = next(iter(next(iter(pool.tiers(1, key, (), 0)))[1]))
        return pool.servers[ident].name

    keys = [f"ensemble-{n}" for n in range(10_000)]
    went = {s.name for s in old[keep:]}
    before = {key: at(pools[0], key) for key in keys}
    ideal = sum(name in went for name in before.values()) / len(keys)
    return sum(at(pools[1], key) != name for key, name in before.items()) / len(keys), ideal


def main():
    print("microseconds of CPU a choice (with its begin and end) " + ", ".join(f"{n:,}" for n in SIZES))
    for method in Method:
        each = [choices(method, n) * 1e6 for n in SIZES]
        print(
            f"  {method.value:16}"
            + "".join(f"{x:9.1f}" for x in each)
            + f"   ratio {each[2] / each[0]:.2f}, {1e6 / each[2]:,.0f} a second at {SIZES[2]:,}"
        )
    print(f"1,000 routes, 30 of them expressions: {routes() * 1e6:.1f} us a match")
    lines, taken = imported()
    print(f"import of {lines:,} lines: {taken:.2f} s, {lines / taken:,.0f} lines a second")
    even, shuffled, drawn, ideal, mean, most = subsets()
    print(
        f"subsets of 30 of 10,000 by 1,000 couriers, couriers a server (ideal {ideal:g}): circle {even}, "
        f"shuffled {shuffled}, drawn {drawn}; one server gone moves {mean:.2f} of a part's 30, {most} at most"
    )
    for method in (Method.HASH, Method.CONSISTENT):
        share, ideal = moved(method)
        print(
            f"58 % of 100 servers replaced, {method.value}: {share:.3f} of the keys move, ideal {ideal:.3f}"
        )


if __name__ == "__main__":
    main()
