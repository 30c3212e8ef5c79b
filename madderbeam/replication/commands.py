"""`madderbeam standby`: run one, see how far it is, promote it, set an old owner's folder aside."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from madderbeam.config.platform import Config

CALL_S = 10.0


def add_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add this package's subcommands to the `madderbeam` command. What they need is imported as they run."""
    top = commands.add_parser("standby", help="keep another courier's journal, and take over")
    parts = top.add_subparsers(dest="part", required=True)
    for name, text, action in (
        ("run", "be a standby until it is promoted, then the courier", _run),
        ("status", "who is owner, how far the copy is, who is fenced; of either side", _status),
        ("promote", "the standby takes over: its owner ends in order, or its lease is waited for", _promote),
        (
            "set-aside",
            "put the folders of a courier that was taken over aside, so that it can be a "
            "standby; it must not run",
            _set_aside,
        ),
    ):
        part = parts.add_parser(name, help=text)
        part.add_argument("--config", metavar="FILE", required=True, help="its rendered file")
        part.set_defaults(action=action)


def _config(path: str) -> Config | None:
    """The courier's configuration; None, with one line told, if it has no standby."""
    from madderbeam.config.platform import ConfigError, load_sidecar
    from madderbeam.ports.real import RealDisk

    try:
        config = load_sidecar(path, RealDisk())
    except ConfigError as error:
        print(f"madderbeam standby: {error}", file=sys.stderr)
        return None
    if config.standby is None:
        print(
            f"madderbeam standby: {path}: standby: lacks; write [application.standby] and render it",
            file=sys.stderr,
        )
        return None
    return config


def _run(args: argparse.Namespace) -> int:
    config = _config(args.config)
    if config is None:
        return 2
    if config.standby is None or config.standby.listen is None:
        print(
            f"madderbeam standby: {args.config}: standby.listen: lacks: this courier is no standby",
            file=sys.stderr,
        )
        return 2
    from madderbeam.host.standalone import main

    return main(args.config)


def _call(args: argparse.Namespace, method: str, path: str) -> tuple[int, str]:
    """Status and text of a call at its second address; (0, line) where there is none."""
    config = _config(args.config)
    if config is None:
        return 0, ""
    if config.control is None:
        return 0, f"{args.config}: control: lacks: it has no second address"
    import http.client

    host, port = config.control
    try:
        connection = http.client.HTTPConnection(host, port, timeout=CALL_S)
        connection.request(method, path)
        answer = connection.getresponse()
        return answer.status, answer.read().decode("utf-8", "replace").strip()
    except OSError as error:
        return 0, f"{host}:{port}: nobody answers: {error}"


def _status(args: argparse.Namespace) -> int:
    status, text = _call(args, "GET", "/standby")
    if status != 200:
        print(f"madderbeam standby: {text}", file=sys.stderr)
        return 2
    for name, value in json.loads(text).items():
        print(f"{name}: {value}")
    return 0


def _promote(args: argparse.Namespace) -> int:
    status, text = _call(args, "PUT", "/standby/promote")
    print(
        text if status == 200 else f"madderbeam standby: {text}",
        file=sys.stdout if status == 200 else sys.stderr,
    )
    return 0 if status == 200 else 1 if status else 2


def _set_aside(args: argparse.Namespace) -> int:
    config = _config(args.config)
    if config is None:
        return 2
    from madderbeam.ports.real import RealDisk

    state = Path(config.state)
    if not state.is_dir():
        print(f"{state}: is not there: nothing to set aside")
        return 0
    try:
        lock = RealDisk.lock(str(state / "lock"))
    except BlockingIOError:
        print(f"madderbeam standby: {state}: is held by a courier that runs", file=sys.stderr)
        return 2
    number = 1
    while Path(f"{state}.aside-{number}").exists():
        number += 1
    for folder in (state, Path(f"{state}-standby")):
        if folder.is_dir():
            aside = Path(f"{state}.aside-{number}{folder.name.removeprefix(state.name)}")
            folder.rename(aside)
            print(f"{folder} is {aside} now")
    lock.close()
    return 0
