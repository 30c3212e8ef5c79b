"""Rewrites imports of names that were moved from one module to others.

Usage: move_names.py OLD_MODULE NEW_MODULE=NAME,NAME ... -- FOLDER ...

Both `from OLD import NAME` and `OLD_ALIAS.NAME` are rewritten; where NAME is bound to something else in a
file, that is told.
"""

from __future__ import annotations

import ast
import sys
from pathlib import Path


def bound_names(tree: ast.Module) -> set[str]:
    names = {n.id for n in ast.walk(tree) if isinstance(n, ast.Name)}
    names |= {n.arg for n in ast.walk(tree) if isinstance(n, ast.arg)}
    names |= {n.name for n in ast.walk(tree) if isinstance(n, (ast.ClassDef, ast.FunctionDef))}
    for node in ast.walk(tree):
        if isinstance(node, (ast.Import, ast.ImportFrom)):
            names |= {a.asname or a.name.partition(".")[0] for a in node.names}
    return names


def convert(path: Path, old: str, home: dict[str, str]) -> bool:
    text = path.read_text()
    package, _, stem = old.rpartition(".")
    if stem not in text:
        return False
    tree = ast.parse(text)
    lines = text.split("\n")
    edits: list[tuple[int, int, int, int, str]] = []
    alias, alias_node = "", None
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        indent = " " * node.col_offset
        if node.module == old and any(a.name in home for a in node.names):
            rest = [
                f"{a.name} as {a.asname}" if a.asname else a.name for a in node.names if a.name not in home
            ]
            rows = [f"from {old} import {', '.join(rest)}"] if rest else []
            for module in sorted({home[a.name] for a in node.names if a.name in home}):
                moved = [a for a in node.names if home.get(a.name) == module]
                shown = ", ".join(f"{a.name} as {a.asname}" if a.asname else a.name for a in moved)
                rows.append(f"from {module} import {shown}")
            edits.append(
                (node.lineno, node.col_offset, node.end_lineno, node.end_col_offset, f"\n{indent}".join(rows))
            )
        elif node.module == package and any(a.name == stem for a in node.names):
            alias = next(a.asname or a.name for a in node.names if a.name == stem)
            alias_node = node
    if alias and alias_node is not None:
        taken = bound_names(tree)
        direct: dict[str, set[str]] = {}
        kept_uses = 0
        for node in ast.walk(tree):
            if (
                isinstance(node, ast.Attribute)
                and isinstance(node.value, ast.Name)
                and node.value.id == alias
            ):
                if node.attr not in home:
                    kept_uses += 1
                    continue
                module = home[node.attr]
                name = node.attr
                if node.attr in taken:
                    print(f"{path}: {node.attr} is bound already")
                direct.setdefault(module, set()).add(node.attr)
                edits.append((node.lineno, node.col_offset, node.end_lineno, node.end_col_offset, name))
        if direct:
            node = alias_node
            indent = " " * node.col_offset
            names = [a for a in node.names if a.name != stem or kept_uses]
            rows = []
            if names:
                shown = ", ".join(f"{a.name} as {a.asname}" if a.asname else a.name for a in names)
                rows.append(f"from {package} import {shown}")
            rows += [f"from {m} import {', '.join(sorted(direct[m]))}" for m in sorted(direct)]
            edits.append(
                (node.lineno, node.col_offset, node.end_lineno, node.end_col_offset, f"\n{indent}".join(rows))
            )
    if not edits:
        return False
    for line, start, end_line, end, new in sorted(edits, reverse=True):
        head = lines[line - 1].encode()[:start].decode()
        tail = lines[end_line - 1].encode()[end:].decode()
        lines[line - 1 : end_line] = [head + new + tail]
    path.write_text("\n".join(lines))
    return True


def main() -> None:
    at = sys.argv.index("--")
    home = {}
    for text in sys.argv[2:at]:
        module, _, names = text.partition("=")
        home |= dict.fromkeys(names.split(","), module)
    roots = sys.argv[at + 1 :]
    changed = [p for root in roots for p in sorted(Path(root).rglob("*.py")) if convert(p, sys.argv[1], home)]
    print(f"{len(changed)} files")


if __name__ == "__main__":
    main()
