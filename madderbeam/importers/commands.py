"""`madderbeam import nginx FILE --out DIR`: writes an estate and a report on every directive."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

REPORT = "import-report.txt"
EXIT_INVALID_INPUT, EXIT_USAGE, EXIT_NOT_ALL_IMPORTED = 1, 2, 3


def add_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add this package's subcommands to `madderbeam`; each imports its module only when it runs."""
    top = commands.add_parser("import", help="take over another program's configuration")
    parts = top.add_subparsers(dest="part", required=True)
    nginx = parts.add_parser(
        "nginx",
        help="upstream and location blocks as an estate; exit 0: all imported, 3: something was not, "
        "1: nginx would not take the file",
    )
    nginx.add_argument("file", nargs="?", type=Path, metavar="FILE", help="nginx.conf, or a part of it")
    nginx.add_argument("--out", type=Path, metavar="DIR", help="where the estate and the report are written")
    nginx.add_argument(
        "--strict", action="store_true", help="write no estate unless all is imported unchanged"
    )
    nginx.add_argument("--name", default="imported", help="the application's name (%(default)s)")
    nginx.add_argument("--listen", default="127.0.0.1:7101", help="where it is handed messages (%(default)s)")
    nginx.add_argument("--table", action="store_true", help="print what becomes of every directive, and end")
    nginx.set_defaults(action=_nginx)


def _nginx(args: argparse.Namespace) -> int:
    from madderbeam.importers.nginx import known

    if args.table:
        print(known.page(), end="")
        return 0
    if args.file is None or args.out is None:
        print("madderbeam import nginx: FILE and --out DIR are needed", file=sys.stderr)
        return EXIT_USAGE
    try:
        return _import(args)
    except ImportError as error:
        print(
            f"madderbeam import nginx: {error.name} lacks: pip install 'madderbeam[nginx]'", file=sys.stderr
        )
    except OSError as error:
        print(f"madderbeam import nginx: {error.filename}: {error.strerror}", file=sys.stderr)
    return EXIT_USAGE


def _import(args: argparse.Namespace) -> int:
    from madderbeam.importers.nginx.estate import estate, partners
    from madderbeam.importers.nginx.meaning import understand
    from madderbeam.importers.nginx.tree import read
    from madderbeam.importers.nginx.verdicts import Verdict

    tree = read(args.file)
    result = understand(tree)
    directives = list(tree.walk())
    count = result.ledger.count()
    lines = result.ledger.lines(directives)
    total = f"{len(directives)} directives: " + ", ".join(f"{count[v]} {v.value}" for v in Verdict)
    args.out.mkdir(parents=True, exist_ok=True)
    problems = sorted(set(map(str, result.wrong)))
    (args.out / REPORT).write_text("\n".join([*problems, *lines, total]) + "\n")
    for line in problems or [line for line in lines if f": {Verdict.IMPORTED.value}: " not in line]:
        print(line)
    print(total)
    if result.wrong:
        return EXIT_INVALID_INPUT
    not_as_written = count[Verdict.LEFT] + (count[Verdict.CHANGED] if args.strict else 0)
    if not result.found.partners:
        print("nothing to import: no upstream and no proxy_pass leads anywhere; no estate is written")
        return EXIT_NOT_ALL_IMPORTED
    if args.strict and not_as_written:
        print("--strict: no estate is written")
        return EXIT_NOT_ALL_IMPORTED
    (args.out / "estate.toml").write_text(estate(result.found, args.name, args.listen))
    (args.out / "partners.toml").write_text(partners(result.found))
    return _checked(args.out) or (EXIT_NOT_ALL_IMPORTED if not_as_written else 0)


def _checked(out: Path) -> int:
    """Check the written estate; a problem is a fault of the importer, or of --name or --listen."""
    from madderbeam.config.check import check

    problems = check(out / "estate.toml").problems
    for problem in problems:
        print(problem)
    return EXIT_INVALID_INPUT if problems else 0
