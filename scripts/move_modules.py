"""Moves modules and rewrites every reference to them: imports, dotted names in texts, paths in pages.

Usage: move_modules.py TABLE. A line of the table is `old.dotted.name new.dotted.name`, below the package. A
module that is imported by its name (`from madderbeam.host import graph`) keeps that name only where the new
name is the same; else each use of it in the importing module is renamed too.
"""

from __future__ import annotations

import ast
import re
import subprocess
import sys
from pathlib import Path

PACKAGE = "madderbeam"
SUFFIXES = {".py", ".md", ".toml", ".txt", ".sh", ".json"}


def tracked() -> list[Path]:
    names = subprocess.run(["git", "ls-files"], capture_output=True, text=True, check=True).stdout.split("\n")
    return [
        Path(n) for n in names if Path(n).suffix in SUFFIXES and not n.startswith(("journal/", "CHANGELOG"))
    ]


def rename_imported(path: Path, moves: dict[str, str]) -> None:
    """`from package import module` with its uses."""
    text = path.read_text()
    tree = ast.parse(text)
    edits: list[tuple[int, int, int, str]] = []
    renames: dict[str, str] = {}
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom) or not (node.module or "").startswith(PACKAGE):
            continue
        targets = {a: f"{node.module}.{a.name}" for a in node.names}
        hits = [a for a in node.names if targets[a] in moves]
        if not hits:
            continue
        indent = " " * node.col_offset
        rows = []
        rest = [a for a in node.names if a not in hits]
        if rest:
            shown = ", ".join(f"{a.name} as {a.asname}" if a.asname else a.name for a in rest)
            rows.append(f"from {node.module} import {shown}")
        for a in hits:
            new_package, _, new_name = moves[targets[a]].rpartition(".")
            rows.append(f"from {new_package} import {new_name}" + (f" as {a.asname}" if a.asname else ""))
            if not a.asname and a.name != new_name:
                renames[a.name] = new_name
        edits.append((node.lineno, node.end_lineno, node.col_offset, f"\n{indent}".join(rows)))
    if not edits:
        return
    lines = text.split("\n")
    uses = [
        (n.lineno, n.col_offset, n.id) for n in ast.walk(tree) if isinstance(n, ast.Name) and n.id in renames
    ]
    for line, column, name in sorted(uses, reverse=True):
        row = lines[line - 1].encode()
        lines[line - 1] = (row[:column] + renames[name].encode() + row[column + len(name) :]).decode()
    for start, end, column, new in sorted(edits, reverse=True):
        lines[start - 1 : end] = [lines[start - 1][:column] + new]
    path.write_text("\n".join(lines))


def main() -> None:
    moves = {}
    for row in Path(sys.argv[1]).read_text().splitlines():
        if row.strip() and not row.startswith("#"):
            old, new = row.split()
            moves[f"{PACKAGE}.{old}"] = f"{PACKAGE}.{new}"
    files = tracked()
    for path in files:
        if path.suffix == ".py":
            rename_imported(path, moves)
    patterns = []
    for old in sorted(moves, key=len, reverse=True):
        patterns.append((re.compile(rf"(?<![\w.]){re.escape(old)}(?!\w)"), moves[old]))
        paths = re.escape(old.replace(".", "/"))
        patterns.append((re.compile(rf"(?<!\w){paths}(?=\.py|/)"), moves[old].replace(".", "/")))
        short = old.removeprefix(f"{PACKAGE}.").replace(".", "/")
        new_short = moves[old].removeprefix(f"{PACKAGE}.").replace(".", "/")
        patterns.append((re.compile(rf"(?<![\w/]){re.escape(short)}(?=\.py)"), new_short))
    for path in files:
        text = path.read_text()
        new = text
        for pattern, replacement in patterns:
            new = pattern.sub(replacement, new)
        if new != text:
            path.write_text(new)
    for old, new in moves.items():
        source, target = Path(old.replace(".", "/")), Path(new.replace(".", "/"))
        if not source.is_dir():
            source, target = source.with_suffix(".py"), target.with_suffix(".py")
        if not source.exists():
            print(f"no module {old}")
            continue
        target.parent.mkdir(parents=True, exist_ok=True)
        subprocess.run(["git", "mv", str(source), str(target)], check=True)


if __name__ == "__main__":
    main()
