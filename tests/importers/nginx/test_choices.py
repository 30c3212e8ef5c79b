"""The same requests through a plain model of nginx and through a courier that runs on the imported estate."""

import asyncio
import re
import shutil
from pathlib import Path

import oracle
import plain
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from test_pooled_courier import Pooled, named

from madderbeam.cli import main
from madderbeam.config.check import check
from madderbeam.config.render import render, write
from madderbeam.importers.nginx.meaning import understand
from madderbeam.importers.nginx.tree import read
from madderbeam.importers.nginx.verdicts import Verdict

FILES = Path(__file__).parent / "files"
ADDRESS = re.compile(r"\b10\.\d+\.\d+\.\d+(?::\d+)?")
# Their choices differ, as their reports say: servers that two upstreams share, names to be looked up,
# parameters that only nginx's commercial version has.
UNLIKE = {"23-shared-servers", "27-addresses", "28-slow-start-and-drain"}
NAMES = sorted(path.stem for path in FILES.glob("*.conf"))
SPECIAL = {
    "*.example.org": "a.example.org",
    "mail.*": "mail.zz",
    "~^choir\\d+\\.example\\.net$": "choir7.example.net",
    ".ensembles.example.com": "x.ensembles.example.com",
}


class Imported(Pooled):
    """A courier on an imported estate; every address in the file is that of a stand-in endpoint."""

    async def take(self, name):
        """Import the file; the model of it."""
        site = self.folder / "site"
        shutil.copytree(FILES, site)
        for path in [site / f"{name}.conf", *site.glob("inc/**/*.conf")]:
            text = path.read_text()
            for word in sorted(set(ADDRESS.findall(text)), key=len, reverse=True):
                if plain.where(word) not in self.endpoints:
                    await self.endpoint(plain.where(word))
                text = re.sub(re.escape(word) + r"(?![\d:])", self.address(plain.where(word)), text)
            path.write_text(text)
        out = self.folder / "out"
        code = main(["import", "nginx", str(site / f"{name}.conf"), "--out", str(out)])
        assert code in (0, 3)
        return plain.read(site / f"{name}.conf")

    def write(self, _):
        report = check(self.folder / "out" / "estate.toml")
        assert report.loaded, report.problems
        write(render(report.loaded), self.folder / "out")
        (self.folder / "out" / "imported.json").rename(self.folder / "out" / "n.json")


def requests(site):
    """Hosts and paths that meet every server and every location, and some that meet none."""
    hosts = [""] if len(site.servers) == 1 else ["nobody.example.test"]
    for block in site.servers:
        hosts += [SPECIAL.get(name, name) for name in block.names] if len(site.servers) > 1 else []
    paths = ["/", "/nope"]
    for block in site.servers:
        pending = list(block.rows)
        while pending:
            how, text, _, nested, *_ = pending.pop(0)
            pending += nested
            if how in ("~", "~*"):
                paths += [
                    "/org/7.json",
                    "/rooms/42",
                    "/choir",
                    "/x.PDF",
                    "/aa;x",
                    "/x/y",
                    "/abc",
                    "/esc.aped{",
                ]
            else:
                paths += [text, text + "x", text + "x.ics", text.rstrip("/") or "/"]
    return [(host, path) for host in dict.fromkeys(hosts) for path in dict.fromkeys(paths)]


def left_locations(path):
    """Lines of locations that the report says are not imported."""
    made = understand(read(path))
    return {
        row.directive.line
        for row in made.ledger.rows.values()
        if row.directive.name == "location" and row.verdict is Verdict.LEFT
    }


@pytest.mark.parametrize("name", NAMES)
def test_the_courier_chooses_as_the_model(name, tmp_path, capsys):
    async def play():
        made = Imported(tmp_path)
        try:
            site = await made.take(name)
            client = await made.start("")
            ignored = left_locations(FILES / f"{name}.conf")
            addresses = {made.address(endpoint): endpoint for endpoint in made.endpoints}
            router, count = made.host.routing.router, 0
            for n, (host, path) in enumerate(requests(site)):
                target = plain.route(site, host, path, ignored)
                to = path.replace(" ", "%20").replace("{", "%7B")
                found = router.destination(host, to, "message")
                if found is not None or name not in UNLIKE:
                    assert (found is None) == (target is None), (host, path, target)
                if found is None or count == 30:
                    continue
                count += 1
                upstream = site.upstreams[target]
                fields = f"c=message,d=4000,{'to=' + host + ',' if host else ''}path={to}"
                assert await client.send(named(f"m{n}", fields)) == "+OK", path
                await asyncio.wait_for(made.settled(), 10)
                met = made.met()
                if name in UNLIKE or upstream.method == "any":
                    assert len(met) == 1 and met[0] in {
                        addresses[p.name] for p in upstream.peers if not p.down
                    }
                    continue
                wanted = oracle.request(upstream, n, (), key=f"m{n}")
                assert met == [addresses[w] for w in wanted], (host, path)
            assert count or not any(block.rows for block in site.servers)
        finally:
            await made.close()

    if name in ("27-addresses",):
        pytest.skip("its names can't be looked up here; the report's tests have it")
    asyncio.run(play())


SERVERS = st.lists(
    st.tuples(st.integers(1, 4), st.sampled_from(["", "", " backup", " down"]), st.integers(0, 2)),
    min_size=1,
    max_size=4,
)
TEXT = st.sampled_from(["/", "/a", "/a/", "/a/b", "/b/", "/ab/c/"])
LOCATIONS = st.lists(
    st.tuples(st.sampled_from(["", "=", "^~"]), TEXT, st.integers(0, 2)),
    max_size=6,
    unique_by=lambda row: (row[0] == "=", row[1]),
)
EXPRESSIONS = st.lists(
    st.tuples(st.sampled_from(["~", "~*"]), st.sampled_from(["^/a", "B", "c/$", "b"]), st.integers(0, 2)),
    max_size=3,
)
PATHS = st.lists(
    st.sampled_from(["/", "/a", "/a/", "/a/b", "/a/bx", "/b", "/b/c/", "/ab/c/", "/AB", "/z"]),
    min_size=1,
    max_size=10,
)


@settings(max_examples=150, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.lists(SERVERS, min_size=3, max_size=3),
    LOCATIONS,
    EXPRESSIONS,
    PATHS,
    st.sampled_from(["", "least_conn;"]),
)
def test_drawn_upstreams_and_locations(tmp_path_factory, upstreams, prefixes, expressions, paths, method):
    """Without sockets: the router and the pools of the imported estate against the model."""
    folder = tmp_path_factory.mktemp("drawn")
    text = ""
    for n, rows in enumerate(upstreams):
        servers = "".join(
            f"server 10.0.{n}.{k}:80 weight={w}{more} max_fails={fails}; "
            for k, (w, more, fails) in enumerate(rows, 1)
        )
        text += f"upstream u{n} {{ {method} {servers}}}\n"
    places = "".join(
        f"  location {how} {where} {{ proxy_pass http://u{to}; }}\n"
        for how, where, to in [*prefixes, *expressions]
    )
    (folder / "site.conf").write_text(f"{text}server {{\n{places}}}\n")
    site = plain.read(folder / "site.conf")
    code = main(["import", "nginx", str(folder / "site.conf"), "--out", str(folder / "out")])
    usable = {f"u{n}" for n, rows in enumerate(upstreams) if any(more != " down" for _, more, _ in rows)}
    if not usable:
        assert code == 3
        return
    report = check(folder / "out" / "estate.toml")
    assert report.loaded, report.problems
    router = _router(report.loaded)
    for n, path in enumerate(paths):
        target = plain.route(site, "", path)
        found = router.destination("", path, "message")
        names = {number: name for name, number in router.numbers.items()}
        assert names.get(found) == (target if target in usable else None), path
        if found is None:
            continue
        model, pool = site.upstreams[target], router.pools[found]
        now = n * 1_000_000
        peer = model.choose(n)
        got = next((i for _, ids in pool.tiers(n, "", (), now) for i in ids), None)
        assert (pool.servers[got].name if got is not None else None) == (peer.name if peer else None), path
        if peer:
            model.begin(peer, n)
            pool.call_started(n, got, now)
            model.end(peer, False, n)
            pool.call_ended(got, oracle_result(), False, now)


def oracle_result():
    from madderbeam.policy.events import AttemptResult

    return AttemptResult.OK


def _router(loaded):
    from madderbeam.config.render import _routing, _targets
    from madderbeam.routing.router import Router

    app = loaded.applications[0]
    router = Router(1)
    router.configure(_routing(loaded, app))
    rows = [(n, t["pod_group"], t["endpoint"], "") for n, t in enumerate(_targets(loaded, app))]
    router.set_endpoints(rows, 0)
    return router
