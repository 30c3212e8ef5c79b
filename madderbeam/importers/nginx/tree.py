"""Reads an nginx configuration as a tree of directives, with includes expanded in place.

The package ngxparse parses the syntax (docs/design/nginx-importer.md compares it with others); this
module limits the input size, expands includes in place, and detects include cycles.
"""

from __future__ import annotations

import os
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

MAX_BYTES = 16_000_000  # of all files together
MAX_FILES = 2_000
MOST_DEPTH = 64  # nesting of blocks and includes together


@dataclass(frozen=True)
class Wrong:
    """An error that prevents the import: nginx would not start, or a limit is exceeded."""

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}"


@dataclass(eq=False)
class Directive:
    """One directive and, for a block, its content. `inside` holds the names of the enclosing blocks."""

    name: str
    args: tuple[str, ...]
    file: str
    line: int
    inside: tuple[str, ...]
    block: list[Directive] | None = None

    def walk(self) -> Iterator[Directive]:
        """Yield this directive and all nested ones, in file order."""
        yield self
        for child in self.block or ():
            yield from child.walk()

    def children(self, name: str) -> list[Directive]:
        """Return the direct children of this name."""
        return [child for child in self.block or () if child.name == name]

    def last(self, name: str) -> Directive | None:
        """Return the last direct child of this name, if any."""
        found = self.children(name)
        return found[-1] if found else None

    @property
    def text(self) -> str:
        """The directive as the report shows it, cut to 80 characters."""
        words = " ".join((self.name, *self.args))
        return (words[:77] + "..." if len(words) > 80 else words).replace("\n", " ")


@dataclass
class Tree:
    """All directives of a configuration, or its errors."""

    top: list[Directive] = field(default_factory=list)
    wrong: list[Wrong] = field(default_factory=list)

    def walk(self) -> Iterator[Directive]:
        """Yield all directives, in file order."""
        for directive in self.top:
            yield from directive.walk()


class OutOfBounds(Exception):
    """The input exceeds MAX_BYTES or MAX_FILES."""


def _check_size(paths: list[str]) -> None:
    if len(paths) > MAX_FILES:
        raise OutOfBounds(f"more than {MAX_FILES} files")
    if sum(os.path.getsize(p) for p in paths if os.path.isfile(p)) > MAX_BYTES:
        raise OutOfBounds(f"more than {MAX_BYTES} bytes")


def read(path: Path) -> Tree:
    """Read a file and its includes; errors in their content are returned in `Tree.wrong`, never raised."""
    import crossplane

    shown = str(path)
    try:
        if not path.is_file():
            return Tree(wrong=[Wrong(shown, 1, "cannot be read: no such file")])
        _check_size([shown])
        if encoding_error := _not_text(path):
            return Tree(wrong=[encoding_error])
        payload = crossplane.parse(
            shown, catch_errors=True, comments=False, strict=False, check_ctx=False, check_args=False
        )
        _check_size([config["file"] for config in payload["config"]])
    except OutOfBounds as error:
        return Tree(wrong=[Wrong(shown, 1, f"is too large: {error}")])
    except OSError as error:
        return Tree(wrong=[Wrong(shown, 1, f"cannot be read: {error.strerror}")])
    except RecursionError:
        return Tree(wrong=[Wrong(shown, 1, f"blocks stand in more than {MOST_DEPTH} others")])
    tree = Tree()
    for config in payload["config"]:
        for found in config["errors"]:
            text = str(found["error"]).replace("\n", " ")
            if "recursion" in text:
                text = f"blocks stand in more than {MOST_DEPTH} others"
            tree.wrong.append(Wrong(config["file"], found["line"] or 1, re.sub(r"^\[Errno \d+\] ", "", text)))
        if config["file"] != shown and (encoding_error := _not_text(Path(config["file"]))):
            tree.wrong.append(encoding_error)
    if not tree.wrong:
        _Builder(payload["config"], tree).build()
    return tree


def _not_text(path: Path) -> Wrong | None:
    """Return an error unless the file is UTF-8 without zero bytes, as TOML needs; nginx takes any bytes."""
    try:
        data = path.read_bytes()
    except OSError:
        return None
    try:
        data.decode("utf-8")
    except UnicodeDecodeError as error:
        return Wrong(str(path), data.count(b"\n", 0, error.start) + 1, "is not UTF-8")
    return Wrong(str(path), 1, "holds a zero byte") if b"\0" in data else None


class _Builder:
    """Inserts the directives of each included file after its `include` directive."""

    def __init__(self, configs: list[dict[str, Any]], tree: Tree) -> None:
        self.configs, self.tree = configs, tree
        self.open_files: list[int] = []

    def build(self) -> None:
        self.open_files = [0]
        self.tree.top = list(self._rows(self.configs[0]["parsed"], self.configs[0]["file"], ()))

    def _rows(self, rows: list[dict[str, Any]], file: str, inside: tuple[str, ...]) -> Iterator[Directive]:
        if len(inside) + len(self.open_files) > MOST_DEPTH:
            self.tree.wrong.append(Wrong(file, 1, f"blocks or includes are more than {MOST_DEPTH} deep"))
            return
        for row in rows:
            made = Directive(row["directive"], tuple(row["args"]), file, row["line"], inside)
            if "block" in row:
                made.block = list(self._rows(row["block"], file, (*inside, made.name)))
            yield made
            if made.name == "include" and "includes" in row:
                yield from self._included(row["includes"], made)

    def _included(self, numbers: list[int], at: Directive) -> Iterator[Directive]:
        for number in numbers:
            if number in self.open_files:
                self.tree.wrong.append(
                    Wrong(at.file, at.line, "includes itself: " + self.configs[number]["file"])
                )
                continue
            self.open_files.append(number)
            yield from self._rows(self.configs[number]["parsed"], self.configs[number]["file"], at.inside)
            self.open_files.pop()
