"""Renames symbols over the whole tree by their types, with the language server of basedpyright.

Usage: rename_symbols.py TABLE [--server COMMAND] [--jobs N]

A line of the table is `path symbol new_name`, such as `madderbeam/policy/state.py Lane.rate pace_per_s`. The
symbol is a class, a function, a module's constant, or an attribute or method behind its class and a dot;
`function(parameter)` names a parameter. All renames are computed on the tree as it is, then applied together.
"""

from __future__ import annotations

import argparse
import ast
import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from urllib.parse import unquote, urlparse

ROOT = Path.cwd()
Edit = tuple[int, int, int, int, str]


class LanguageServer:
    """One language server process, spoken to by JSON-RPC on its standard streams."""

    def __init__(self, command: str) -> None:
        self.process = subprocess.Popen(
            [command, "--stdio"], stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        self.next_id = 0
        uri = ROOT.as_uri()
        self.request(
            "initialize",
            {
                "processId": os.getpid(),
                "rootUri": uri,
                "workspaceFolders": [{"uri": uri, "name": "root"}],
                "capabilities": {
                    "workspace": {
                        "configuration": True,
                        "workspaceFolders": True,
                        "workspaceEdit": {"documentChanges": True},
                    },
                    "textDocument": {"rename": {"prepareSupport": True}},
                },
            },
        )
        self.notify("initialized", {})

    def _send(self, message: dict) -> None:
        data = json.dumps({"jsonrpc": "2.0", **message}).encode()
        self.process.stdin.write(b"Content-Length: %d\r\n\r\n" % len(data) + data)
        self.process.stdin.flush()

    def _receive(self) -> dict:
        length = 0
        while line := self.process.stdout.readline().strip():
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        return json.loads(self.process.stdout.read(length))

    def notify(self, method: str, params: dict) -> None:
        self._send({"method": method, "params": params})

    def request(self, method: str, params: dict) -> object:
        """The result of a call; what the server asks for meanwhile is answered."""
        self.next_id += 1
        ident = self.next_id
        self._send({"id": ident, "method": method, "params": params})
        while True:
            message = self._receive()
            if "method" in message and "id" in message:
                self._send({"id": message["id"], "result": self._answer(message)})
            elif message.get("id") == ident and "method" not in message:
                if "error" in message:
                    raise RuntimeError(message["error"])
                return message["result"]

    def _answer(self, message: dict) -> object:
        if message["method"] == "workspace/configuration":
            analysis = {
                "diagnosticMode": "openFilesOnly",
                "extraPaths": [str(ROOT), *sorted(str(p) for p in (ROOT / "tests").iterdir() if p.is_dir())],
                "include": ["madderbeam", "tests", "bench"],
                "useLibraryCodeForTypes": True,
            }
            python = {"pythonPath": str(ROOT / ".venv/bin/python"), "analysis": analysis}
            values = {"python": python, "basedpyright": {"analysis": analysis}}
            values |= {"python.analysis": analysis, "basedpyright.analysis": analysis}
            return [values.get(item.get("section"), {}) for item in message["params"]["items"]]
        return None

    def rename(self, path: Path, line: int, column: int, name: str) -> dict[Path, list[Edit]]:
        result = self.request(
            "textDocument/rename",
            {
                "textDocument": {"uri": path.as_uri()},
                "position": {"line": line, "character": column},
                "newName": name,
            },
        )
        edits: dict[Path, list[Edit]] = {}
        for change in (result or {}).get("documentChanges", []):
            file = Path(unquote(urlparse(change["textDocument"]["uri"]).path))
            for edit in change["edits"]:
                start, end = edit["range"]["start"], edit["range"]["end"]
                row = (start["line"], start["character"], end["line"], end["character"], edit["newText"])
                edits.setdefault(file, []).append(row)
        for uri, changes in ((result or {}).get("changes") or {}).items():
            file = Path(unquote(urlparse(uri).path))
            for edit in changes:
                start, end = edit["range"]["start"], edit["range"]["end"]
                row = (start["line"], start["character"], end["line"], end["character"], edit["newText"])
                edits.setdefault(file, []).append(row)
        return edits

    def close(self) -> None:
        self.process.kill()
        self.process.wait()


def name_position(lines: list[str], node: ast.AST, name: str) -> tuple[int, int]:
    """Where a definition's name stands: the first time at or behind the node's start."""
    line, column = node.lineno - 1, node.col_offset
    while True:
        at = lines[line].find(name, column)
        while at >= 0:
            before, after = lines[line][at - 1 : at], lines[line][at + len(name) : at + len(name) + 1]
            if not (before.isalnum() or before == "_" or after.isalnum() or after == "_"):
                return line, at
            at = lines[line].find(name, at + 1)
        line, column = line + 1, 0


def find(tree: ast.AST, lines: list[str], symbol: str) -> tuple[int, int]:
    """The line and column of a symbol's definition, from 0."""
    head, _, parameter = symbol.rstrip(")").partition("(")
    scope: ast.AST = tree
    node: ast.AST = tree
    for part in head.split("."):
        scope = node
        node = _member(scope, part)
    if parameter:
        arguments = node.args  # type: ignore[attr-defined]
        every = [*arguments.posonlyargs, *arguments.args, *arguments.kwonlyargs]
        argument = next(a for a in every if a.arg == parameter)
        return argument.lineno - 1, argument.col_offset
    name = head.rpartition(".")[2]
    if isinstance(node, ast.Attribute):
        return node.end_lineno - 1, node.end_col_offset - len(name)
    return name_position(lines, node, name)


def _member(scope: ast.AST, name: str) -> ast.AST:
    for node in scope.body:  # type: ignore[attr-defined]
        if isinstance(node, (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)) and node.name == name:
            return node
        if isinstance(node, (ast.Assign, ast.AnnAssign)):
            targets = node.targets if isinstance(node, ast.Assign) else [node.target]
            for target in targets:
                for inner in ast.walk(target):
                    if isinstance(inner, ast.Name) and inner.id == name:
                        return inner
    for node in ast.walk(scope):
        stored = isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store)
        if stored and node.attr == name and isinstance(node.value, ast.Name) and node.value.id == "self":
            return node
    raise LookupError(f"no {name}")


def compute(server: str, rows: list[tuple[str, str, str]]) -> dict[Path, set[Edit]]:
    """All edits of some rows of the table."""
    client = LanguageServer(server)
    found: dict[Path, set[Edit]] = {}
    opened: set[str] = set()
    try:
        # The server answers its first request before the workspace is read: that one is repeated.
        for path, symbol, name in [rows[0], *rows]:
            file = ROOT / path
            text = file.read_text()
            try:
                line, column = find(ast.parse(text), text.split("\n"), symbol)
            except (LookupError, StopIteration) as error:
                print(f"{path} {symbol}: not found: {error!r}", flush=True)
                continue
            if path not in opened:
                opened.add(path)
                document = {"uri": file.as_uri(), "languageId": "python", "version": 1, "text": text}
                client.notify("textDocument/didOpen", {"textDocument": document})
            edits = client.rename(file, line, column, name)
            if not edits:
                print(f"{path} {symbol}: no edit", flush=True)
            for changed, changes in edits.items():
                if ROOT in changed.parents and ".venv" not in changed.parts:
                    found.setdefault(changed, set()).update(changes)
    finally:
        client.close()
    return found


def apply(path: Path, edits: set[Edit]) -> None:
    lines = path.read_text().split("\n")
    done: dict[tuple[int, int], str] = {}
    for line, start, end_line, end, name in sorted(edits, reverse=True):
        if (line, start) in done:
            print(f"{path}:{line + 1}:{start}: both {done[line, start]} and {name}", flush=True)
            continue
        done[line, start] = name
        assert line == end_line, (path, line)
        lines[line] = lines[line][:start] + name + lines[line][end:]
    path.write_text("\n".join(lines))


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("table", type=Path)
    parser.add_argument("--server", default="basedpyright-langserver")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    rows = []
    for text in options.table.read_text().splitlines():
        if text.strip() and not text.startswith("#"):
            path, symbol, name = text.split()
            rows.append((path, symbol, name))
    parts = [rows[n :: options.jobs] for n in range(options.jobs) if rows[n :: options.jobs]]
    with ThreadPoolExecutor(len(parts)) as pool:
        results = list(pool.map(lambda part: compute(options.server, part), parts))
    merged: dict[Path, set[Edit]] = {}
    for result in results:
        for path, edits in result.items():
            merged.setdefault(path, set()).update(edits)
    for path, edits in merged.items():
        apply(path, edits)
    print(f"{len(rows)} symbols, {sum(map(len, merged.values()))} places in {len(merged)} files")
    return 0


if __name__ == "__main__":
    sys.exit(main())
