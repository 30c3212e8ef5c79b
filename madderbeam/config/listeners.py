"""Where couriers listen: each address in its form, and nobody else's."""

from __future__ import annotations

import os
from pathlib import Path

from madderbeam.config import model as m
from madderbeam.config.addresses import clash, places, split_address
from madderbeam.config.report import Report
from madderbeam.config.source import Key, Source

Ports = dict[int, list[tuple[set[str], m.Application, str]]]  # by port: the places taken, whose, as written


def listeners(
    apps: list[tuple[m.Application, Key]],
    mesh: list[tuple[m.Application, Key, str]],
    folder: Path,
    source: Source,
    report: Report,
) -> None:
    """`mesh`: where members of the federation listen for each other."""
    ports: Ports = {}
    paths: dict[str, m.Application] = {}
    for app, at in apps:
        if app.control is not None:
            _port(
                app,
                (*at, "control"),
                app.control,
                "HOST:PORT with a port from 1 to 65535",
                ports,
                source,
                report,
            )
        if app.kafka is not None:
            _kafka(app.kafka, (*at, "kafka"), app, ports, source, report)
        if app.standby is not None and app.standby.listen is not None:
            _port(
                app,
                (*at, "standby", "listen"),
                app.standby.listen,
                "HOST:PORT with a port from 1 to 65535",
                ports,
                source,
                report,
            )
        here = (*at, "listen")
        if app.listen.startswith("unix:"):
            path = os.path.realpath(folder / app.listen[5:])
            if len(os.fsencode(path)) > 100:
                report.add(source, here, "the path of the socket is too long", "at most 100 bytes")
            if other := paths.get(path):
                report.add(source, here, f"{other.name} has the same socket {path}", "a path of its own")
            paths.setdefault(path, app)
            continue
        _port(
            app,
            here,
            app.listen,
            "HOST:PORT with a port from 1 to 65535, or unix:PATH",
            ports,
            source,
            report,
        )
    for app, here, text in mesh:
        _port(app, here, text, "HOST:PORT with a port from 1 to 65535", ports, source, report)


def _kafka(kafka: m.Kafka, at: Key, app: m.Application, ports: Ports, source: Source, report: Report) -> None:
    _port(app, (*at, "listen"), kafka.listen, "HOST:PORT with a port from 1 to 65535", ports, source, report)
    if kafka.advertised is not None and split_address(kafka.advertised) is None:
        report.add(source, (*at, "advertised"), f"can't be {kafka.advertised!r}", "HOST:PORT")
    if kafka.finals in (*app.classes, "any"):
        report.add(source, (*at, "finals"), f"{kafka.finals!r} is a topic of messages", "a name of its own")
    if app.finals is not None and app.finals.startswith("http://"):
        report.add(source, at, "finals go to http://, so there is none to read", "finals in a file")
    if "any" in app.classes:
        report.add(
            source, at, "a class is named 'any', as the topic whose class stands in a header", "another name"
        )


def _port(
    app: m.Application, here: Key, text: str, allowed: str, ports: Ports, source: Source, report: Report
) -> None:
    """An address at which a courier is to listen: in its form, and nobody else's."""
    address = split_address(text)
    if address is None:
        report.add(source, here, f"can't be {text!r}", allowed)
        return
    mine = places(address[0])
    for theirs, other, whose in ports.get(address[1], ()):
        if clash(mine, theirs):
            report.add(
                source,
                here,
                f"{other.name} has the port with {whose}",
                "an address that no other listener has",
            )
            break
    ports.setdefault(address[1], []).append((mine, app, text))
