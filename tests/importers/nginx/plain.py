"""What an nginx file means for a request, read plainly for the tests: nothing of the importer is used.

Upstreams and locations become those of tests/routing/oracle.py. What a file says beside these (rewrites and
the like) is not for choices; the tests of the report have it.
"""

import re
from dataclasses import dataclass, field

import crossplane
import oracle

TIMES = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "": 1.0}


@dataclass
class Block:
    names: list
    default: bool
    rows: list  # (modifier, text, target, nested rows, line, whether it passes requests on)


@dataclass
class Site:
    upstreams: dict = field(default_factory=dict)
    servers: list = field(default_factory=list)
    constants: dict = field(default_factory=dict)


def seconds(text):
    return sum(float(n) * TIMES[unit] for n, unit in re.findall(r"(\d+)(ms|s|m|h|)", text) if n)


def where(text):
    return text if re.search(r":\d+$", text) else text + ":80"


def read(path):
    configs = crossplane.parse(str(path), check_ctx=False, check_args=False)["config"]
    site = Site()

    def rows(parsed):
        for row in parsed:
            yield row
            for number in row.get("includes", ()):
                yield from rows(configs[number]["parsed"])

    def walk(parsed):
        for row in rows(parsed):
            if row["directive"] == "http":
                yield from walk(row["block"])
            else:
                yield row

    whole = list(walk(configs[0]["parsed"]))
    for row in whole:
        if row["directive"] == "upstream":
            site.upstreams[row["args"][0]] = upstream(list(rows(row["block"])))
        elif row["directive"] in ("map", "split_clients"):
            entries = row["block"]
            if len(entries) == 1 and entries[0]["directive"] in ("default", "*"):
                site.constants[row["args"][1][1:]] = entries[0]["args"][0]
    for row in whole:
        if row["directive"] == "server":
            site.servers.append(server(list(rows(row["block"])), site, configs, rows))
    return site


def upstream(block):
    method, peers = "round_robin", []
    for row in block:
        args = row["args"]
        if row["directive"] == "server":
            given = dict(word.partition("=")[::2] for word in args[1:])
            peers.append(
                oracle.Peer(
                    where(args[0]),
                    int(given.get("weight", 1)),
                    "backup" in given,
                    "down" in given,
                    int(given.get("max_conns", 0)),
                    int(given.get("max_fails", 1)),
                    seconds(given.get("fail_timeout", "10s")),
                )
            )
        elif row["directive"] == "least_conn":
            method = "least_conn"
        elif row["directive"] == "hash" and args == ["$request_id"]:
            method = "hash"
        elif row["directive"] in ("hash", "ip_hash", "random"):
            method = "any"  # which one is not documented, or depends on the sender's address
    return oracle.Upstream(peers, method)


def server(block, site, configs, rows):
    constants = dict(site.constants)
    for row in block:
        if row["directive"] == "set" and "$" not in row["args"][1]:
            constants[row["args"][0][1:]] = row["args"][1]
    names = [n for row in block if row["directive"] == "server_name" for n in row["args"]]
    default = any("default_server" in row["args"] for row in block if row["directive"] == "listen")
    returns = any(row["directive"] == "return" for row in block)
    return Block(names, default, [] if returns else locations(block, site, constants, rows))


def locations(block, site, constants, rows):
    found = []
    for row in block:
        if row["directive"] == "location" and not row["args"][0].startswith("@"):
            glued = re.fullmatch(r"(=|\^~|~\*|~)?(.*)", row["args"][0], re.S)
            how, text = row["args"] if len(row["args"]) == 2 else (glued[1] or "", glued[2])
            inner = list(rows(row["block"]))
            found.append(
                (
                    how,
                    text,
                    target(inner, site, constants),
                    locations(inner, site, constants, rows),
                    row["line"],
                    any(r["directive"].endswith("_pass") for r in inner),
                )
            )
    return found


def target(block, site, constants):
    """An upstream, None where nothing is passed on by plain HTTP."""
    if any(row["directive"] == "return" for row in block):
        return None
    for row in block:
        if row["directive"] == "proxy_pass":
            url = re.sub(r"\$\{?(\w+)\}?", lambda m: constants.get(m[1], "$"), row["args"][0])
            parts = re.fullmatch(r"http://([^/]+)(/.*)?", url)
            if not parts or "$" in url or parts[1].startswith("unix:"):
                return None
            name = parts[1]
            if name not in site.upstreams:
                site.upstreams.setdefault(where(name), oracle.Upstream([oracle.Peer(where(name))]))
                name = where(name)
            return name
    return None


def route(site, host, path, ignored=()):
    """The upstream that a request goes to, None if none. `ignored`: lines of locations that are left."""
    groups = [block.names for block in site.servers]
    n = oracle.virtual_server(groups, host)
    if n == 0 and not any(host in names for names in groups) and host not in ("",):
        known = oracle.virtual_server([["\0"], *groups], host) - 1
        n = known if known >= 0 else next((k for k, b in enumerate(site.servers) if b.default), 0)
    return _search(site.servers[n].rows, path, ignored)


def _search(rows, path, ignored):
    rows = [row for row in rows if row[4] not in ignored]
    for how, text, where_to, *_ in rows:
        if how == "=" and text == path:
            return where_to
    for how, text, _, _, _, passes in rows:
        # [co] "defined by a prefix string that ends with the slash character, and requests are processed by
        # of proxy_pass, ...": the same without the slash is answered with a redirect
        if how in ("", "^~") and passes and len(text) > 1 and text == path + "/":
            return None
    best = max(
        (row for row in rows if row[0] in ("", "^~") and path.startswith(row[1])),
        key=lambda row: len(row[1]),
        default=None,
    )
    if best:
        plain_rows = [row for row in best[3] if row[0] not in ("~", "~*")]
        inner = [row for row in plain_rows if row[1] == path or (row[0] != "=" and path.startswith(row[1]))]
        if any(row[0] == "=" for row in inner):
            return next(row[2] for row in inner if row[0] == "=")
        if any(row[0] != "=" and row[5] and row[1] == path + "/" for row in plain_rows):
            return None
        if best[0] == "^~":
            return _search(inner, path, ignored) if inner else best[2]
    for how, text, where_to, *_ in rows:
        if how in ("~", "~*") and re.search(text, path, re.I if how == "~*" else 0):
            return where_to
    if best:
        return _search(inner, path, ignored) if inner else best[2]
    return None
