"""Tests of routes against a reference model of nginx's documented precedence."""

import time

import oracle
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from madderbeam.routing.routes import REGEXES, Match, Route, RouteError, RouteMatcher


def routes(*rows):
    return RouteMatcher(Route(Match(how), text, pool) for how, text, pool in rows)


def pool(table, name):
    found = table.find(name)
    return found.pool if found else None


# The documentation's own example (ngx_http_core_module, `location`): configurations A to E.
DOCUMENTED = routes(
    ("=", "/", "A"),
    ("", "/", "B"),
    ("", "/documents/", "C"),
    ("^~", "/images/", "D"),
    ("~*", r"\.(gif|jpg|jpeg)$", "E"),
)


@pytest.mark.parametrize(
    "name, expected",
    [
        ("/", "A"),
        ("/index.html", "B"),
        ("/documents/document.html", "C"),
        ("/images/1.gif", "D"),
        ("/documents/1.jpg", "E"),
        ("/documents/1.JPG", "E"),
    ],
)
def test_the_example_of_the_documentation(name, expected):
    assert pool(DOCUMENTED, name) == expected


def test_a_preferential_prefix_is_used_only_if_it_is_the_longest():
    table = routes(("^~", "/rooms/", "near"), ("", "/rooms/late/", "late"), ("~", r"\.json$", "regex"))
    assert pool(table, "/rooms/a.json") == "near"
    assert pool(table, "/rooms/late/a.json") == "regex"


def test_the_first_matching_expression_is_used_not_the_longest():
    table = routes(("~", "room", "first"), ("~", "rooms/late", "second"))
    assert pool(table, "/rooms/late") == "first"


def test_exact_comes_before_preferential():
    assert pool(routes(("^~", "/a", "prefix"), ("=", "/a", "exact")), "/a") == "exact"


def test_a_name_without_a_match_has_no_route():
    assert routes(("=", "/a", "p"), ("", "/b", "q"), ("~", "^c", "r")).find("/z") is None


@pytest.mark.parametrize(
    "rows, field",
    [
        ([("~", "(a", "p")], "text"),
        ([("~", "(?=a)b", "p")], "text"),
        ([("~", r"(a)\1", "p")], "text"),
        ([("", "/a", "p"), ("^~", "/a", "q")], "text"),
        ([("=", "/a", "p"), ("=", "/a", "q")], "text"),
        ([("=", "", "p")], "text"),
        ([("", "/a", "")], "pool"),
        ([("~", "a" * 1001, "p")], "text"),
        ([("~", "((a{100}){100}){100}", "p")], "text"),
    ],
)
def test_an_invalid_route_raises_a_one_line_error(rows, field):
    with pytest.raises(RouteError) as error:
        routes(*rows)
    assert f"{field}:" in str(error.value) and "\n" not in str(error.value)


def test_no_pattern_can_stall_the_event_loop():
    table = routes(("~", "^(a+)+$", "p"), ("~", "(x*)*(y*)*z$", "q"))
    start = time.process_time()
    assert table.find("a" * 20_000 + "!") is None
    assert time.process_time() - start < 1.0  # a backtracking engine needs 2**20000 steps


TEXTS = st.text("ab/", max_size=4)
PATTERNS = st.sampled_from(["a", "^/a", "b$", "/+", "a.b", "(a|b)/", "^$", "AB"])
PLAIN = st.tuples(st.sampled_from(["=", "", "^~"]), TEXTS)
ROWS = st.lists(st.one_of(PLAIN, st.tuples(st.sampled_from(["~", "~*"]), PATTERNS)), max_size=12)


def usable(rows):
    """Drop the empty texts that aren't allowed, and duplicates."""
    found, seen = [], set()
    for n, (how, text) in enumerate(rows):
        same = (how == "=", text)
        if how not in ("~", "~*"):
            if same in seen or (not text and how):
                continue
            seen.add(same)
        found.append((how, text, f"p{n}"))
    return found


@settings(max_examples=400, deadline=None)
@given(ROWS, TEXTS)
def test_the_order_is_that_of_the_documentation(rows, name):
    rows = usable(rows)
    assert pool(routes(*rows), name) == oracle.location(rows, name)


def test_lookup_cost_does_not_grow_with_the_routes():
    def seconds_per_lookup(count):
        table = routes(*(("", f"/partner-{n:05}/", f"p{n}") for n in range(count)))
        assert len(table.lengths) == 1 and not any(r.match in REGEXES for r in table.prefixes.values())
        best = 1e9
        for _ in range(5):
            start = time.perf_counter()
            for n in range(0, count, max(1, count // 500)):
                table.find(f"/partner-{n:05}/orders")
            best = min(best, (time.perf_counter() - start) / 500)
        return best

    assert seconds_per_lookup(20_000) < 8 * seconds_per_lookup(500)
