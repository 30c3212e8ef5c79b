"""Every directive has one verdict: the hard cases by name, and for whatever is drawn."""

from collections import Counter
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from madderbeam.cli import main
from madderbeam.config.check import check
from madderbeam.importers.commands import REPORT
from madderbeam.importers.nginx import known
from madderbeam.importers.nginx.meaning import understand
from madderbeam.importers.nginx.tree import MOST_DEPTH, read
from madderbeam.importers.nginx.values import address, milliseconds, proxied
from madderbeam.importers.nginx.verdicts import Verdict

FILES = Path(__file__).parent / "files"
NAMES = sorted(path.stem for path in FILES.glob("*.conf"))
# What each file's import ends with, and lines of its report: line, verdict, a part of the reason.
WANTED = {
    "01-weights": (0, [(7, "changed", "the application's address")]),
    "04-fails": (0, []),
    "06-one-server": (3, [(2, "changed", "lead nowhere"), (2, "not imported", "not rewritten")]),
    "08-consistent-and-ip-hash": (
        0,
        [(1, "changed", "in place of $request_uri"), (2, "changed", "the tenant")],
    ),
    "14-nested-expressions": (
        3,
        [(6, "not imported", "within another location"), (10, "not imported", "in a location by expression")],
    ),
    "15-trailing-slash": (0, [(4, "changed", "not rewritten to '/'"), (5, "changed", "'/other/'")]),
    "16-named-and-try-files": (
        3,
        [
            (4, "not imported", "no condition"),
            (5, "not imported", "named location"),
            (7, "not imported", "not rewritten"),
        ],
    ),
    "17-rewrites-and-scripts": (
        3,
        [
            (1, "not imported", "process"),
            (3, "not imported", "no script"),
            (4, "not imported", "no script"),
            (5, "not imported", "no script"),
            (8, "not imported", "not rewritten"),
            (9, "not imported", "condition"),
            (11, "not imported", "body means nothing"),
            (12, "not imported", "own programs"),
            (13, "not imported", "no script"),
            (16, "not imported", "own headers"),
            (20, "not imported", "no script"),
            (21, "not imported", "not rewritten"),
        ],
    ),
    "18-stream-and-mail": (
        3,
        [
            (2, "not imported", "no HTTP"),
            (4, "not imported", "stands in `stream`"),
            (6, "not imported", "stands in"),
        ],
    ),
    "19-variables": (
        3,
        [
            (2, "not imported", "depends on the request"),
            (4, "not imported", "stands in"),
            (9, "not imported", "depends"),
            (10, "changed", "constant: http://rooms"),
            (11, "not imported", "depend on the request"),
        ],
    ),
    "20-server-names": (0, []),
    "22-direct": (
        3,
        [
            (5, "not imported", "plain TCP"),
            (6, "not imported", "Unix socket"),
            (7, "not imported", "HTTP/1.1"),
        ],
    ),
    "23-shared-servers": (
        3,
        [
            (2, "changed", "same partner as a"),
            (3, "not imported", "belongs to one partner"),
            (4, "changed", "no server of it"),
            (9, "not imported", "no server that was imported"),
        ],
    ),
    "24-next-upstream": (
        3,
        [
            (1, "changed", "non_idempotent"),
            (3, "not imported", "deadline"),
            (8, "changed", "http_502"),
            (9, "changed", "first location"),
            (10, "changed", "as its class allows"),
        ],
    ),
    "26-limits": (3, [(1, "not imported", "no quotas"), (6, "not imported", "no quotas")]),
    "27-addresses": (
        3,
        [
            (3, "changed", "looks the name up"),
            (5, "not imported", "Unix socket"),
            (7, "not imported", "already"),
        ],
    ),
    "28-slow-start-and-drain": (
        3,
        [
            (4, "changed", "terminating"),
            (5, "changed", "each courier"),
            (6, "not imported", "session"),
            (8, "changed", "least_conn"),
        ],
    ),
    "29-quotes-and-escapes": (0, []),
    "30-third-party": (
        3,
        [
            (1, "not imported", "another module's"),
            (9, "not imported", "another module's"),
            (10, "not imported", "stands in `naxsi_rules`"),
        ],
    ),
    "31-not-re2": (3, [(4, "not imported", "RE2"), (5, "not imported", "RE2")]),
    "32-a-whole-site": (
        3,
        [
            (21, "not imported", "plain TCP"),
            (27, "changed", "no proxy_pass"),
            (30, "changed", "its paths lead nowhere"),
            (32, "changed", "an earlier server's"),
        ],
    ),
    "33-conditions-within": (3, [(4, "not imported", "condition"), (8, "not imported", "answers before it")]),
    "34-copies": (3, [(4, "not imported", "once"), (5, "not imported", "depend on the request")]),
}


def run(path, out, *more):
    return main(["import", "nginx", str(path), "--out", str(out), *more])


@pytest.mark.parametrize("name", NAMES)
def test_a_real_looking_file(name, tmp_path, capsys):
    path = FILES / f"{name}.conf"
    code = run(path, tmp_path)
    lines = (tmp_path / REPORT).read_text().splitlines()
    whole = list(read(path).walk())
    assert len(lines) == len(whole) + 1 and lines[-1].startswith(f"{len(whole)} directives: ")
    counts = Counter(line.split(": ")[1] for line in lines[:-1])
    assert lines[-1].endswith(", ".join(f"{counts[v.value]} {v.value}" for v in Verdict))
    assert code == (3 if counts["not imported"] else 0)
    assert not check(tmp_path / "estate.toml").problems
    if name in WANTED:
        assert code == WANTED[name][0]
        for line, verdict, why in WANTED[name][1]:
            fitting = [x for x in lines if x.startswith(f"{path}:{line}: {verdict}: ") and why in x]
            assert fitting, (line, verdict, why, [x for x in lines if x.startswith(f"{path}:{line}: ")])
    for line in lines[:-1]:  # why it is not so, for each that is not simply imported
        assert ": imported: " in line or line.count(": ") >= 3, line


def test_the_same_input_gives_the_same_estate(tmp_path, capsys):
    for out in "ab":
        run(FILES / "32-a-whole-site.conf", tmp_path / out)
    for name in ("estate.toml", "partners.toml", REPORT):
        assert (tmp_path / "a" / name).read_bytes() == (tmp_path / "b" / name).read_bytes()


def conf(tmp_path, text, **more):
    path = tmp_path / "nginx.conf"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    for name, content in more.items():
        (tmp_path / f"{name}.conf").write_text(content)
    return path


SITE = "upstream a { server 10.0.0.1:80; } server { location / { proxy_pass http://a; } }"


@pytest.mark.parametrize(
    "text, more, told",
    [
        ("include a.conf;", {"a": "include b.conf;", "b": "include a.conf;"}, "includes itself"),
        ("include nginx.conf;", {}, "includes itself"),
        ("include missing.conf;", {}, "No such file"),
        ("http {", {}, "expecting"),
        ("http { } }", {}, "unexpected"),
        ('user "x;', {}, "expecting"),
        (b"http { # caf\xe9\n }", {}, "UTF-8"),
        (b"user a\0b;", {}, "zero byte"),
        ("a {" * (MOST_DEPTH + 5) + "}" * (MOST_DEPTH + 5), {}, "deep"),
        ("a {" * 5000, {}, "blocks stand in"),
        ("upstream { server a; }", {}, "needs one name"),
        ("upstream a { } upstream a { }", {}, "stands twice"),
        ("upstream a { server 10.0.0.1 weight=x; }", {}, "whole number"),
        ("upstream a { server 10.0.0.1 fail_timeout=soon; }", {}, "no time"),
        ("upstream a { server 10.0.0.1 wait=1; }", {}, "no such parameter"),
        ("upstream a { server 10.0.0.1:99999; }", {}, "no such port"),
        ("upstream a { server a..b/c; }", {}, "no address"),
        ("upstream a { random; server 10.0.0.1; server 10.0.0.2 backup; }", {}, "can't be used with random"),
        ("server { location / { } location / { } }", {}, "stands twice"),
        ("server { location /a { location /b { } } }", {}, "outside of"),
        ("server { location / { proxy_pass ftp://x; } }", {}, "http://"),
        ("server { location / { proxy_pass http://a; proxy_pass http://b; } }", {}, "stands twice"),
        ("proxy_next_upstream sometimes; server { }", {}, "no such case"),
        ("proxy_connect_timeout never; server { }", {}, "no time"),
    ],
)
def test_what_nginx_would_not_take_is_wrong_and_nothing_is_written(text, more, told, tmp_path, capsys):
    assert run(conf(tmp_path, text, **more), tmp_path / "out") == 1
    shown = capsys.readouterr().out
    assert told in shown and ".conf:" in shown
    assert not (tmp_path / "out" / "estate.toml").exists() and (tmp_path / "out" / REPORT).exists()


def test_a_folder_of_300_files_in_order(tmp_path, capsys):
    (tmp_path / "many").mkdir()
    for n in range(300):
        (tmp_path / "many" / f"{n:03}.conf").write_text(
            f"upstream u{n} {{ server 10.0.{n // 250}.{n % 250}:80; }}\n"
            f"server {{ server_name s{n}.example.org; location / {{ proxy_pass http://u{n}; }} }}\n"
        )
    assert run(conf(tmp_path, "http { include many/*.conf; }"), tmp_path / "out") == 0
    assert "1802 directives: 1802 imported" in capsys.readouterr().out
    assert (tmp_path / "out" / "partners.toml").read_text().count("[[partner]]") == 300


def test_nothing_that_leads_anywhere(tmp_path, capsys):
    assert run(conf(tmp_path, "server { location / { root /srv; } }"), tmp_path / "out") == 3
    assert (
        "no estate is written" in capsys.readouterr().out and not (tmp_path / "out" / "estate.toml").exists()
    )


def test_strict_writes_only_what_is_wholly_the_same(tmp_path, capsys):
    assert run(conf(tmp_path, SITE), tmp_path / "a", "--strict") == 0
    assert (tmp_path / "a" / "estate.toml").exists()
    changed = SITE.replace("server {", "server { listen 80;")
    assert run(conf(tmp_path, changed), tmp_path / "b", "--strict") == 3
    assert not (tmp_path / "b" / "estate.toml").exists() and (tmp_path / "b" / REPORT).exists()
    assert run(conf(tmp_path, changed), tmp_path / "c") == 0


def test_an_output_that_cannot_be_written_is_one_line(tmp_path, capsys):
    (tmp_path / "file").write_text("")
    assert run(conf(tmp_path, SITE), tmp_path / "file") == 2
    assert len(capsys.readouterr().err.splitlines()) == 1
    assert main(["import", "nginx"]) == 2
    assert run(conf(tmp_path, SITE), tmp_path / "out", "--listen", "moon") == 1  # config check says so
    assert "listen" in capsys.readouterr().out


def test_a_host_with_no_way_in_leads_nowhere_and_returns_come_first(tmp_path, capsys):
    text = (
        "upstream a { server 10.0.0.1; } server { server_name x.org; return 301 /y; location / { proxy_pass "
        "http://a; } } server { location / { proxy_pass http://a; } }"
    )
    assert run(conf(tmp_path, text), tmp_path / "out") == 3
    partners = (tmp_path / "out" / "partners.toml").read_text()
    assert (
        partners.count("[[route]]") == 1
        and 'host = ["x.org", "*"]' in partners
        and 'partner = ""' in partners
    )


WORDS = st.sampled_from(
    [
        "http",
        "server",
        "upstream",
        "location",
        "map",
        "include",
        "proxy_pass",
        "return",
        "if",
        "types",
        "weird",
        "stream",
        "server_name",
        "listen",
        "hash",
        "random",
        "keepalive",
    ]
)
ARGS = st.lists(
    st.sampled_from(
        [
            "/",
            "=",
            "~",
            "a",
            "$x",
            "10.0.0.1",
            "http://a",
            "http://$x/",
            "backup",
            "80",
            "default",
            "*",
            "^~",
            "@n",
            "{",
            '"',
            ";",
            "é",
        ]
    ),
    max_size=3,
)


@st.composite
def blocks(draw, depth=0):
    name, args = draw(WORDS), [a for a in draw(ARGS) if a not in ("{", ";", '"')]
    if name == "include":
        args = ["none/*.conf"]
    if depth < 4 and draw(st.booleans()):
        return f"{name} {' '.join(args)} {{ " + " ".join(draw(st.lists(blocks(depth + 1), max_size=4))) + " }"
    return f"{name} {' '.join(args)};"


@settings(max_examples=250, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(blocks(), max_size=6))
def test_every_directive_has_one_verdict_whatever_is_drawn(tmp_path_factory, rows):
    tree = read(conf(tmp_path_factory.mktemp("drawn"), "\n".join(rows)))
    made = understand(tree)
    whole = list(tree.walk())
    assert all(made.ledger.judged(d) for d in whole) and len(made.ledger.rows) == len(whole)
    assert sum(made.ledger.count().values()) == len(whole)
    assert all(row.why for row in made.ledger.rows.values() if row.verdict is not Verdict.IMPORTED)


@settings(max_examples=200, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(st.binary(max_size=200))
def test_no_bytes_make_it_raise(tmp_path_factory, data):
    tree = read(conf(tmp_path_factory.mktemp("bytes"), data))
    understand(tree)


@pytest.mark.parametrize(
    "text, value",
    [("10", 10_000), ("1m 30s", 90_000), ("500ms", 500), ("1h", 3_600_000), ("2d", 172_800_000)],
)
def test_times(text, value):
    assert milliseconds(text) == value


def test_addresses_and_urls():
    assert address("[::1]:81") == ("::1", 81) and address("a.b") == ("a.b", 80)
    assert proxied("http://a") == ("http", "a", None, None)
    assert proxied("http://a:81/") == ("http", "a", 81, "/")
    assert proxied("http://unix:/run/x:/y/")[0] == "unix"
    for bad in ("a:b", "a:0", "[::1", "a b", ""):
        with pytest.raises(ValueError):
            address(bad)


def test_no_directive_stands_in_two_subjects():
    names = Counter(name for subject in known.SUBJECTS for name in subject.names)
    assert [n for n, count in names.items() if count > 1] == []


def test_the_operators_page_has_the_table(capsys):
    assert main(["import", "nginx", "--table"]) == 0
    table = capsys.readouterr().out
    page = (Path(__file__).parents[3] / "docs" / "operators" / "nginx-import.md").read_text()
    assert table in page, "madderbeam import nginx --table has the newer one"
