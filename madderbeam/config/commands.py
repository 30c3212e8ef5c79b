"""`madderbeam config`: check, render, diff, explain, schema and page."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path


def add_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add this package's subcommands to the `madderbeam` command. What they need is imported as they run."""
    top = commands.add_parser("config", help="write and check the configuration of an estate's couriers")
    parts = top.add_subparsers(dest="part", required=True)
    check = parts.add_parser("check", help="tell every mistake, a line each; exit 1 if there is one")
    check.add_argument("files", nargs="+", type=Path, metavar="FILE", help="estate files, or rendered ones")
    check.set_defaults(action=_check)
    render = parts.add_parser("render", help="write one file a courier")
    render.add_argument("estate", type=Path, metavar="ESTATE")
    render.add_argument("--out", type=Path, required=True, metavar="DIR")
    render.add_argument(
        "--discovery",
        metavar="HOST:PORT",
        help="write the platform's LB_CONFIG form instead, for couriers with this discovery",
    )
    render.set_defaults(action=_render)
    diff = parts.add_parser("diff", help="what changes in meaning, and whether it needs a restart")
    diff.add_argument("old", type=Path, metavar="OLD", help="an estate file, or a folder of rendered files")
    diff.add_argument("new", type=Path, metavar="NEW")
    diff.set_defaults(action=_diff)
    explain = parts.add_parser("explain", help="what a setting means, its default and what is allowed")
    explain.add_argument("path", metavar="PATH", help="for example application.slots")
    explain.set_defaults(action=_explain)
    schema = parts.add_parser("schema", help="JSON Schema, for editors")
    schema.add_argument("file", nargs="?", choices=("estate", "partners"), default="estate")
    schema.set_defaults(action=_schema)
    page = parts.add_parser("page", help="the page of all settings (docs/operators/configuration.md)")
    page.add_argument(
        "--fill",
        type=Path,
        metavar="FILE",
        help="instead, renew the tables of settings and errors in docs/operators/federation.md",
    )
    page.set_defaults(action=_page)


def _check(args: argparse.Namespace) -> int:
    from madderbeam.config.between import between
    from madderbeam.config.check import check
    from madderbeam.config.rendered import Unfit, read

    wrong, estates = 0, []
    for path in args.files:
        if path.suffix == ".json":
            try:
                read(path)
            except Unfit as error:
                print(error)
                wrong += 1
            continue
        report = check(path)
        wrong += len(report.problems)
        for line in (*report.problems, *report.warnings):
            print(line)
        if report.loaded is not None:
            estates.append((str(path), report.loaded))
    apart = between(estates)
    for problem in apart:
        print(problem)
    wrong += len(apart)
    if wrong:
        print(f"{wrong} mistake{'s' * (wrong > 1)}", file=sys.stderr)
    return 1 if wrong else 0


def _render(args: argparse.Namespace) -> int:
    from madderbeam.config.addresses import split_address
    from madderbeam.config.check import check
    from madderbeam.config.render import platform, render, write

    report = check(args.estate)
    for line in (*report.problems, *report.warnings):
        print(line)
    if report.loaded is None:
        return 1
    if args.discovery is not None and split_address(args.discovery) is None:
        print(
            f"madderbeam config render: --discovery: must be HOST:PORT, not {args.discovery!r}",
            file=sys.stderr,
        )
        return 2
    if args.discovery and report.loaded.estate.federation is not None:
        print(
            "madderbeam config render: the platform's form has no federation: leave --discovery out",
            file=sys.stderr,
        )
        return 2
    files = platform(report.loaded, args.discovery) if args.discovery else render(report.loaded)
    try:
        written = write(files, args.out)
    except OSError as error:
        print(f"madderbeam config render: {error}", file=sys.stderr)
        return 2
    for file in files:
        print(f"{args.out / file.name}: {'written' if file.name in written else 'as it was'}")
    if report.loaded.estate.federation is not None:
        from madderbeam.config.sites import first_line

        print(first_line(report.loaded))
    return 0


def _rendered(path: Path) -> dict[str, dict[str, object]] | None:
    """The rendered files of an estate file or of a folder, by name; None if something is wrong with it."""
    from madderbeam.config.check import check
    from madderbeam.config.render import render
    from madderbeam.config.rendered import Unfit, read

    if not path.is_dir():
        report = check(path)
        for problem in report.problems:
            print(problem)
        return None if report.loaded is None else {f.name: json.loads(f.text) for f in render(report.loaded)}
    try:
        return {p.name: read(p) for p in sorted(path.glob("*.json"))}
    except Unfit as error:
        print(error)
        return None


def _diff(args: argparse.Namespace) -> int:
    from madderbeam.config.diff import differences

    old, new = _rendered(args.old), _rendered(args.new)
    if old is None or new is None:
        return 2
    changes = differences(old, new)
    for change in changes:
        print(change)
    return 1 if changes else 0


def _explain(args: argparse.Namespace) -> int:
    from madderbeam.config.reference import explain

    try:
        print(explain(args.path))
    except KeyError as error:
        print(f"madderbeam config explain: {error.args[0]}", file=sys.stderr)
        return 2
    return 0


def _schema(args: argparse.Namespace) -> int:
    from madderbeam.config.reference import schema

    print(json.dumps(schema(args.file), indent=1))
    return 0


def _page(args: argparse.Namespace) -> int:
    from madderbeam.config.reference import fill, page

    if args.fill is not None:
        try:
            args.fill.write_text(fill(args.fill.read_text("utf-8")), "utf-8")
        except OSError as error:
            print(f"madderbeam config page: {error}", file=sys.stderr)
            return 2
        return 0
    print(page(), end="")
    return 0
