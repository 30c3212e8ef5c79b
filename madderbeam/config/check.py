"""Every mistake of an estate in one run: each file by itself, then what they say of one another."""

from __future__ import annotations

import copy
import difflib
import ipaddress
import math
import os
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError
from pydantic_core import ErrorDetails

from madderbeam.config import model as m
from madderbeam.config.source import Key, Problem, Source, read

WINDOW_SHARE = 0.75  # DESIGN: calls to one destination stay under this share of the slots
HELD_BYTES = 700  # of disk that one held message takes at least: its record twice, and what becomes of it
LOCAL = ("localhost", "127.0.0.1", "::1")
Model = TypeVar("Model", bound=m.Table)


@dataclass(frozen=True)
class Loaded:
    """An estate that holds, with where each application's settings stand."""

    folder: Path
    estate: m.Estate
    partners: m.Partners
    applications: tuple[m.Application, ...]  # with the defaults filled in

    def state(self, app: m.Application) -> Path:
        return self.folder / app.state

    def finals(self, app: m.Application) -> str:
        """The feed's path, or http://HOST:PORT."""
        if app.finals is not None and app.finals.startswith("http://"):
            return app.finals
        if app.finals is not None:
            return str(self.folder / app.finals)
        return str(self.state(app).with_name(self.state(app).name + "-finals.jsonl"))


@dataclass
class Report:
    """What a check found."""

    problems: list[Problem] = field(default_factory=list)
    loaded: Loaded | None = None

    def add(self, source: Source, path: Key, wrong: str, allowed: str, hint: str = "") -> None:
        text = f"{wrong}; allowed: {allowed}" + (f"; did you mean {hint}?" if hint else "")
        self.problems.append(source.problem(path, text))


def like(word: str, known: Iterable[str]) -> str:
    """The known word that was probably meant, or nothing."""
    return next(iter(difflib.get_close_matches(word, list(known), 1, 0.6)), "")


def some(words: Iterable[str], most: int = 8) -> str:
    """A short list of words."""
    words = sorted(words)
    return ", ".join(words[:most]) + (f" and {len(words) - most} more" if len(words) > most else "") or "none"


# One file against the model


def _allowed(error: ErrorDetails, model: type[m.Table]) -> str:
    """What is allowed where pydantic found something wrong."""
    schema: dict[str, Any] = model.model_json_schema()
    node: dict[str, Any] = schema
    for part in error["loc"]:
        node = _resolve(schema, node)
        if isinstance(part, int):
            node = node.get("items", {})
        elif part in node.get("properties", {}):
            node = node["properties"][part]
        else:
            node = _named_table(node)
    return describe(schema, _resolve(schema, node))


def _named_table(node: dict[str, Any]) -> dict[str, Any]:
    """What stands under any name of a table whose keys are names."""
    return (
        next(iter(node.get("patternProperties", {}).values()), {}) or node.get("additionalProperties") or {}
    )


def _resolve(schema: dict[str, Any], node: dict[str, Any]) -> dict[str, Any]:
    while True:
        if "$ref" in node:
            node = schema["$defs"][node["$ref"].rpartition("/")[2]]
        elif "anyOf" in node and any(x.get("type") == "null" for x in node["anyOf"]):
            node = next(x for x in node["anyOf"] if x.get("type") != "null")
        else:
            return node


def describe(schema: dict[str, Any], node: dict[str, Any]) -> str:
    """A JSON Schema's node in words: 'a whole number from 1 to 12'."""
    node = _resolve(schema, node)
    if "anyOf" in node:
        return " or ".join(describe(schema, x) for x in node["anyOf"])
    if "enum" in node:
        return ", ".join(node["enum"])
    if "const" in node:
        return str(node["const"])
    kind = node.get("type")
    if kind in ("integer", "number"):
        least, most = node.get("minimum"), node.get("maximum")
        word = "a whole number" if kind == "integer" else "a number"
        if "exclusiveMinimum" in node:
            return f"{word} above {node['exclusiveMinimum']:g}" + (f", at most {most:g}" if most else "")
        return word + (f" from {least:,} to {most:,}" if most is not None else "").replace(",", "")
    if kind == "string":
        return (
            "a name of letters, digits, '.', '_', '-' with at most 64 characters"
            if "pattern" in node
            else "text"
        )
    if kind == "boolean":
        return "true or false"
    if kind == "array":
        least = node.get("minItems", 0)
        return f"a list of {'at least one ' if least else ''}{describe(schema, node.get('items', {}))}"
    if kind == "object":
        return "a table of " + some(node.get("properties", {}) or ("named tables",), 40)
    return "a value of its type"


def _wrong(error: ErrorDetails) -> str:
    kind, value = error["type"], error["input"]
    if kind == "missing":
        return "lacks"
    if kind == "extra_forbidden":
        return "no such setting"
    shown = repr(value) if not isinstance(value, (dict, list)) else type(value).__name__
    if isinstance(value, float) and not math.isfinite(value):
        return f"is {value}"
    return f"can't be {shown[:80]}"


def _validate(model: type[Model], source: Source, report: Report) -> Model | None:
    """The file as its model. What is wrong is told and left out, so that the rest can be checked further;
    None if nothing useful remains."""
    raw, first = copy.deepcopy(source.raw), True
    while True:
        try:
            return TypeAdapter(model).validate_python(raw)
        except ValidationError as errors:
            found = errors.errors(include_url=False, include_context=False)
        for error in found:
            if first:
                _tell(error, model, source, report)
        first = False
        # A list's elements go from the end, so that the numbers of those before them hold.
        paths = sorted({_without(e) for e in found}, key=_depth, reverse=True)
        if not all(_drop(raw, path) for path in paths):
            return None
        source.kept = {
            key: [n for n, x in enumerate(source.raw[key]) if x in raw[key]]
            for key in ("application", "partner", "route", "quota")
            if isinstance(raw.get(key), list)
        }


def _without(error: ErrorDetails) -> Key:
    """What is to be left out so that this mistake is gone."""
    loc = _real(error)
    return loc[:-1] if error["type"] == "missing" else loc


def _depth(path: Key) -> tuple[Any, ...]:
    return tuple((1, part, "") if isinstance(part, int) else (0, 0, part) for part in path)


def _drop(raw: Any, path: Key) -> bool:
    """Leave a value out; whether there is still something to check. One that is gone already is no matter."""
    if not path:
        return False
    for part in path[:-1]:
        try:
            raw = raw[part]
        except (KeyError, IndexError, TypeError):
            return True
    if isinstance(raw, dict):
        raw.pop(path[-1], None)
    elif isinstance(raw, list) and isinstance(path[-1], int) and path[-1] < len(raw):
        del raw[path[-1]]
    return True


def _real(error: ErrorDetails) -> Key:
    """Where a mistake stands in the file: a union's branches and a table's key are no parts of that."""
    return tuple(p for p in error["loc"] if p not in ("str", "Endpoint", "[key]"))


def _tell(error: ErrorDetails, model: type[m.Table], source: Source, report: Report, path: Key = ()) -> None:
    loc = _real(error)
    if error["type"] == "extra_forbidden":
        schema = model.model_json_schema()
        node: dict[str, Any] = schema
        for part in error["loc"][:-1]:
            node = _resolve(schema, node)
            node = (
                node.get("items", {})
                if isinstance(part, int)
                else node.get("properties", {}).get(part) or _named_table(node)
            )
        known = list(_resolve(schema, node).get("properties", {}))
        report.add(source, (*path, *loc), "no such setting", some(known, 40), like(str(loc[-1]), known))
        return
    report.add(source, (*path, *loc), _wrong(error), _allowed(error, model))


# Across tables and files


def _merged(estate: m.Estate, source: Source) -> list[tuple[m.Application, Key]]:
    """The applications with the defaults filled in."""
    defaults = estate.defaults.model_dump(exclude_unset=True)
    numbers = source.kept.get("application", range(len(estate.application)))
    return [
        (
            m.Application.model_validate({**defaults, **app.model_dump(exclude_unset=True)}),
            ("application", number),
        )
        for number, app in zip(numbers, estate.application, strict=False)
    ]


def _where(source: Source, app: Key, name: str) -> Key:
    """Where an application's setting was written."""
    if (*app, name) in source.lines:
        return (*app, name)
    if ("defaults", name) in source.lines:
        return ("defaults", name)
    return app


def _settings(app: m.Application, at: Key, source: Source, report: Report) -> None:
    if app.retry_cap_ms < app.retry_base_ms:
        report.add(
            source,
            _where(source, at, "retry_cap_ms"),
            f"retry_cap_ms {app.retry_cap_ms} is under retry_base_ms {app.retry_base_ms}",
            "at least retry_base_ms",
        )
    most = max(1, int(WINDOW_SHARE * app.slots))
    if app.window is not None and app.window > most:
        report.add(
            source,
            _where(source, at, "window"),
            f"window {app.window} is over three quarters of {app.slots} slots",
            f"a whole number from 1 to {most}",
        )
    if app.clients > app.sockets // 2:
        report.add(
            source,
            _where(source, at, "clients"),
            f"clients {app.clients} is over half of {app.sockets} sockets",
            f"at most {app.sockets // 2}: the rest is for calls",
        )
    need = app.max_held * HELD_BYTES / 1e6
    if app.disk_mb < need:
        report.add(
            source,
            _where(source, at, "disk_mb"),
            f"disk_mb {app.disk_mb:g} is under what max_held {app.max_held} needs",
            f"at least {need:.2f}, with bodies of no size; more for larger ones",
        )


def _classes(estate: m.Estate, source: Source, report: Report) -> None:
    for name, cls in estate.classes.items():
        at: Key = ("classes", name)
        if cls.deadline_ms < cls.wanted_ms:
            report.add(
                source,
                (*at, "deadline_ms"),
                f"deadline_ms {cls.deadline_ms} is under wanted_ms {cls.wanted_ms}",
                "at least wanted_ms",
            )
        if cls.repeat == "keyed" and not cls.key_window_ms:
            report.add(
                source,
                (*at, "key_window_ms"),
                "lacks, and the class is keyed",
                "a whole number from 1 to 86400000",
            )
        if cls.repeat != "keyed" and cls.key_window_ms:
            report.add(
                source,
                (*at, "key_window_ms"),
                f"the class is {cls.repeat}, not keyed",
                "only where repeat is keyed",
            )
    whole = sum(t.share for t in estate.tenants.values())
    if whole > 1 + 1e-9:
        report.add(source, ("tenants",), f"shares add up to {whole:.1%}", "at most 100%")


def _named(
    words: Sequence[str], known: Iterable[str], what: str, at: Key, source: Source, report: Report
) -> None:
    known = list(known)
    seen: set[str] = set()
    for number, word in enumerate(words):
        if word not in known:
            report.add(source, (*at, number), f"no {what} {word!r}", some(known), like(word, known))
        elif word in seen:
            report.add(source, (*at, number), f"{word!r} stands twice", "each once")
        seen.add(word)


def split_address(text: str) -> tuple[str, int] | None:
    """HOST:PORT or [HOST]:PORT; None if it is neither."""
    host, colon, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return None
    ascii_port = port.isascii() and port.isdigit() and len(port) <= 5
    if not colon or not host or not ascii_port or not 1 <= int(port) <= 65_535:
        return None
    if any(c.isspace() or c in "/@" for c in host):
        return None
    return host, int(port)


def places(host: str) -> set[str]:
    """What a listening host takes, in one form: 'any4', 'any6' or addresses."""
    if host == "localhost":
        return {"127.0.0.1", "::1"}
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return {host}
    if isinstance(address, ipaddress.IPv6Address) and address.ipv4_mapped:
        address = address.ipv4_mapped
    if address.is_unspecified:  # [::] takes IPv4 connections too where the system has it so
        return {"any4"} if address.version == 4 else {"any6", "any4"}
    return {str(address)}


def clash(one: set[str], other: set[str]) -> bool:
    """Whether two listeners on the same port can't both be had."""
    if one & other:
        return True
    for mine, theirs in ((one, other), (other, one)):
        for text in mine:
            if "any4" in theirs and ":" not in text or "any6" in theirs and ":" in text:
                return True
    return False


Ports = dict[int, list[tuple[set[str], m.Application, str]]]  # by port: the places taken, whose, as written


def _listeners(apps: list[tuple[m.Application, Key]], folder: Path, source: Source, report: Report) -> None:
    ports: Ports = {}
    paths: dict[str, m.Application] = {}
    for app, at in apps:
        if app.control is not None:
            _port(app, (*at, "control"), app.control, "HOST:PORT with a port from 1 to 65535", ports, source,
                  report)
        if app.kafka is not None:
            _kafka(app.kafka, (*at, "kafka"), app, ports, source, report)
        here = (*at, "listen")
        if app.listen.startswith("unix:"):
            path = os.path.realpath(folder / app.listen[5:])
            if len(os.fsencode(path)) > 100:
                report.add(source, here, "the path of the socket is too long", "at most 100 bytes")
            if other := paths.get(path):
                report.add(source, here, f"{other.name} has the same socket {path}", "a path of its own")
            paths.setdefault(path, app)
            continue
        _port(app, here, app.listen, "HOST:PORT with a port from 1 to 65535, or unix:PATH", ports, source,
              report)


def _kafka(kafka: m.Kafka, at: Key, app: m.Application, ports: Ports, source: Source, report: Report) -> None:
    _port(app, (*at, "listen"), kafka.listen, "HOST:PORT with a port from 1 to 65535", ports, source, report)
    if kafka.advertised is not None and split_address(kafka.advertised) is None:
        report.add(source, (*at, "advertised"), f"can't be {kafka.advertised!r}", "HOST:PORT")
    if kafka.finals in (*app.classes, "any"):
        report.add(source, (*at, "finals"), f"{kafka.finals!r} is a topic of messages", "a name of its own")
    if app.finals is not None and app.finals.startswith("http://"):
        report.add(source, at, "finals go to http://, so there is none to read", "finals in a file")
    if "any" in app.classes:
        report.add(source, at, "a class is named 'any', as the topic whose class stands in a header",
                   "another name")


def _port(app: m.Application, here: Key, text: str, allowed: str,
          ports: Ports, source: Source, report: Report) -> None:
    """An address at which a courier is to listen: in its form, and nobody else's."""
    address = split_address(text)
    if address is None:
        report.add(source, here, f"can't be {text!r}", allowed)
        return
    mine = places(address[0])
    for theirs, other, whose in ports.get(address[1], ()):
        if clash(mine, theirs):
            report.add(source, here, f"{other.name} has the port with {whose}",
                       "an address that no other listener has")
            break
    ports.setdefault(address[1], []).append((mine, app, text))


def _folders(apps: list[tuple[m.Application, Key]], loaded: Loaded, source: Source, report: Report) -> None:
    seen: dict[str, str] = {}
    feeds: dict[str, str] = {}
    for app, at in apps:
        here = os.path.realpath(loaded.state(app))
        same = here in seen
        for other, name in seen.items():
            if here == other:
                report.add(source, (*at, "state"), f"{name} has the same folder", "a folder of its own")
            elif here.startswith(other + os.sep) or other.startswith(here + os.sep):
                report.add(
                    source, (*at, "state"), f"is nested with the folder of {name}", "a folder of its own"
                )
        seen[here] = app.name
        owner = owner_of(here)
        if owner and owner != app.name:
            report.add(source, (*at, "state"), f"holds the journal of {owner}", "a folder of its own")
        finals = loaded.finals(app)
        if finals.startswith("http://"):
            if split_address(finals[7:].rstrip("/")) is None:
                report.add(
                    source, (*at, "finals"), f"can't be {finals!r}", "http://HOST:PORT or a file's path"
                )
            continue
        feed = os.path.realpath(finals)
        if feed in feeds and not same:  # where the folder is another's, that was told already
            report.add(
                source, _where(source, at, "finals"), f"{feeds[feed]} has the same feed", "a feed of its own"
            )
        feeds[feed] = app.name
        if feed.startswith(here + os.sep):
            report.add(
                source,
                _where(source, at, "finals"),
                "lies in the state folder, which has a limit",
                "a path outside of it",
            )


def owner_of(folder: str) -> str:
    """The courier whose state a folder holds, '' if none is written there."""
    try:
        return (Path(folder) / "owner").read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError):
        return ""


def _partners(partners: m.Partners, source: Source, report: Report) -> None:
    numbers: dict[int, str] = {}
    names: set[str] = set()
    owners: dict[tuple[str, int], str] = {}
    numbered = source.kept.get("partner", range(len(partners.partner)))
    for index, partner in zip(numbered, partners.partner, strict=False):
        at: Key = ("partner", index)
        if partner.name in names:
            report.add(source, (*at, "name"), f"{partner.name!r} stands twice", "each once")
        names.add(partner.name)
        if partner.number in numbers:
            report.add(
                source,
                (*at, "number"),
                f"{numbers[partner.number]} has number {partner.number}",
                "a number of its own",
            )
        numbers.setdefault(partner.number, partner.name)
        if partner.kind not in partners.kinds:
            report.add(
                source,
                (*at, "kind"),
                f"no kind {partner.kind!r}",
                some(partners.kinds),
                like(partner.kind, partners.kinds),
            )
        for n, endpoint in enumerate(partner.endpoints):
            text = endpoint if isinstance(endpoint, str) else endpoint.address
            address = split_address(text)
            here = (*at, "endpoints", n)
            if address is None:
                report.add(source, here, f"can't be {text!r}", "HOST:PORT with a port from 1 to 65535")
            elif owner := owners.get(address):
                mine = "this partner" if owner == partner.name else owner
                report.add(source, here, f"{mine} has the endpoint {text} already", "one partner an endpoint")
            else:
                owners[address] = partner.name


def _listed(partners: m.Partners, source: Source, report: Report) -> None:
    """All that a partner list says of itself."""
    _partners(partners, source, report)
    _pools(partners, source, report)
    if partners.route:
        _routes(partners, source, report)


def _pools(partners: m.Partners, source: Source, report: Report) -> None:
    """What can't be together in a pool."""
    numbered = source.kept.get("partner", range(len(partners.partner)))
    for index, partner in zip(numbered, partners.partner, strict=False):
        at: Key = ("partner", index)
        tables = [(n, e) for n, e in enumerate(partner.endpoints) if isinstance(e, m.Endpoint)]
        method = partner.pool.method if partner.pool else "round_robin"
        for n, e in tables:
            here = (*at, "endpoints", n)
            if method not in ("round_robin", "least_conn"):
                for name in ("backup", "slow_start_ms"):
                    if getattr(e, name):
                        report.add(source, here, f"{name} does not go with the method {method}",
                                   "with round_robin and least_conn only")
            if e.backup and e.down:
                report.add(source, here, "backup and down", "one of them")
            if (e.fail_timeout_ms or e.slow_start_ms) and not e.max_fails:
                report.add(source, here, "fail_timeout_ms or slow_start_ms without max_fails",
                           "max_fails from 1 to 1000 beside them")
        if len(tables) == len(partner.endpoints) and all(e.down for _, e in tables):
            report.add(source, at, "all of its endpoints are down", "one that is not, at least")


def _routes(partners: m.Partners, source: Source, report: Report) -> None:
    """Routes lead somewhere, stand once, and their expressions can be run."""
    numbered = source.kept.get("route", range(len(partners.route)))
    names = [p.name for p in partners.partner]
    seen: dict[tuple[object, ...], int] = {}
    for index, route in zip(numbered, partners.route, strict=False):
        at: Key = ("route", index)
        if route.partner and route.partner not in names:
            report.add(source, (*at, "partner"), f"no partner {route.partner!r}", some(names),
                       like(route.partner, names))
        try:
            text = _compiles(route)
        except ImportError:
            report.add(source, at, "routes need the extra `routing`", "pip install 'madderbeam[routing]'")
            return
        if text:
            report.add(source, (*at, "text"), text, "as nginx's locations; expressions of RE2")
        if route.match not in ("~", "~*"):
            key = (route.on, tuple(route.host), route.match == "=", route.text)
            if key in seen:
                report.add(source, at, f"matches as route[{seen[key]}] does", "each once")
            seen.setdefault(key, index)
        if route.host and route.on != "path":
            report.add(source, (*at, "host"), f"a route on {route.on} has no host", "with on = \"path\" only")
        if route.on == "path" and route.match not in ("~", "~*") and not route.text.startswith("/"):
            report.add(source, (*at, "text"), f"{route.text!r} is no path", "text that begins with /")


def _compiles(route: m.Route) -> str:
    """What is wrong with a route by itself, '' if nothing is."""
    from madderbeam.routing.hosts import HostError, Hosts
    from madderbeam.routing.routes import Match, Route, RouteError, Routes
    try:
        Hosts([route.host])
        Routes([Route(Match(route.match), route.text, "p")])
    except HostError as error:
        return str(error)
    except RouteError as error:
        return str(error).partition(": text: ")[2] or str(error)
    return ""


def check(path: Path, shown: str = "") -> Report:
    """Check an estate file and the partner list that it names, or a partner list alone.

    `loaded` is set if nothing is wrong with an estate.
    """
    report = Report()
    source = read(path, shown)
    if isinstance(source, Problem):
        report.problems.append(source)
        return report
    if "partner" in source.raw and "application" not in source.raw:  # a partner list by itself
        if (alone := _validate(m.Partners, source, report)) is not None:
            _listed(alone, source, report)
        report.problems = sorted(set(report.problems))
        return report
    estate = _validate(m.Estate, source, report)
    named = source.raw.get("partner_list", "partners.toml")
    listed = (
        read(path.parent / named, str(Path(shown or path).parent / named)) if isinstance(named, str) else None
    )
    partners = None
    if isinstance(listed, Source):
        partners = _validate(m.Partners, listed, report)
        if partners is not None:
            _listed(partners, listed, report)
    elif listed is not None:
        report.problems.append(listed)
    if estate is not None:
        _across(estate, partners, path.parent, source, report)
        if partners is not None and not report.problems:
            apps = tuple(app for app, _ in _merged(estate, source))
            report.loaded = Loaded(path.parent, estate, partners, apps)
    report.problems = sorted(set(report.problems))
    return report


def _quota(estate: m.Estate, source: Source, report: Report) -> None:
    """The tree of quotas stands, and each tenant and class counts at one node."""
    numbered = source.kept.get("quota", range(len(estate.quota)))
    seen: dict[str, int] = {}
    owners: dict[tuple[str, str], str] = {}
    right = True
    for index, node in zip(numbered, estate.quota, strict=False):
        at: Key = ("quota", index)
        if node.name in seen:
            report.add(source, (*at, "name"), f"{node.name!r} stands twice", "each once")
            right = False
        if node.parent and node.parent not in seen:
            report.add(source, (*at, "parent"), f"no node {node.parent!r} ahead of it", some(seen),
                       like(node.parent, seen))
            right = False
        if not node.parent and node.share != m.Rates():
            report.add(source, (*at, "share"), "there is no parent of whose limit it has a part", "limit")
        seen[node.name] = index
        _named(node.tenants, estate.tenants, "tenant", (*at, "tenants"), source, report)
        _named(node.classes, estate.classes, "class", (*at, "classes"), source, report)
        for key in ((t, c) for t in node.tenants or [""] for c in node.classes or [""]):
            if key != ("", "") and key in owners:
                report.add(source, at, f"{owners[key]} counts the same messages", "one node for each")
            owners.setdefault(key, node.name)
    if right and estate.quota:
        from madderbeam.config.quotas import quota
        from madderbeam.quota.gate import Gate, QuotaError
        try:
            Gate(quota(estate, 1) or {}, 0, random.Random(0), 1)
        except QuotaError as error:
            report.add(source, ("quota", 0), str(error).removeprefix("quota: "), "a tree that adds up")


def _across(
    estate: m.Estate, partners: m.Partners | None, folder: Path, source: Source, report: Report
) -> None:
    """What tables say of one another."""
    _classes(estate, source, report)
    apps = _merged(estate, source)
    names: set[str] = set()
    for app, at in apps:
        if app.name in names:
            report.add(source, (*at, "name"), f"{app.name!r} stands twice", "each once")
        names.add(app.name)
        _settings(app, at, source, report)
        _named(app.classes, estate.classes, "class", (*at, "classes"), source, report)
        _named(app.tenants, estate.tenants, "tenant", (*at, "tenants"), source, report)
        if partners is not None:
            _named(
                app.partners, [p.name for p in partners.partner], "partner", (*at, "partners"), source, report
            )
    _quota(estate, source, report)
    _listeners(apps, folder, source, report)
    blank = m.Partners.model_construct(kinds={}, partner=[])
    _folders(apps, Loaded(folder, estate, partners or blank, ()), source, report)
