"""An nginx configuration as a tree of directives, with its includes in their places.

The syntax is read by the package ngxparse (docs/design/nginx-importer.md compares it with others); this
module bounds what is read, puts includes in place, and finds cycles.
"""

from __future__ import annotations

import os
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

MOST_BYTES = 16_000_000  # of all files together
MOST_FILES = 2_000
MOST_DEPTH = 64  # of blocks, includes counted


@dataclass(frozen=True)
class Wrong:
    """Why an input can't be imported: nginx would not start with it, or it is out of bounds."""

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}"


@dataclass(eq=False)
class Directive:
    """One directive and, if it is a block, what stands in it. `inside`: the names of the blocks around it."""

    name: str
    args: tuple[str, ...]
    file: str
    line: int
    inside: tuple[str, ...]
    block: list[Directive] | None = None

    def walk(self) -> Iterator[Directive]:
        """This and all within, in the order of the text."""
        yield self
        for child in self.block or ():
            yield from child.walk()

    def children(self, name: str) -> list[Directive]:
        return [child for child in self.block or () if child.name == name]

    def last(self, name: str) -> Directive | None:
        found = self.children(name)
        return found[-1] if found else None

    @property
    def text(self) -> str:
        """As it is shown in a report."""
        words = " ".join((self.name, *self.args))
        return (words[:77] + "..." if len(words) > 80 else words).replace("\n", " ")


@dataclass
class Tree:
    """All directives of a configuration, or what is wrong with it."""

    top: list[Directive] = field(default_factory=list)
    wrong: list[Wrong] = field(default_factory=list)

    def walk(self) -> Iterator[Directive]:
        for directive in self.top:
            yield from directive.walk()


class OutOfBounds(Exception):
    """The input is larger than what is read."""


def _size(paths: list[str]) -> None:
    if len(paths) > MOST_FILES:
        raise OutOfBounds(f"more than {MOST_FILES} files")
    if sum(os.path.getsize(p) for p in paths if os.path.isfile(p)) > MOST_BYTES:
        raise OutOfBounds(f"more than {MOST_BYTES} bytes")


def read(path: Path) -> Tree:
    """The tree of a file and all that it includes. Never raises for what the files hold."""
    import crossplane

    shown = str(path)
    try:
        if not path.is_file():
            return Tree(wrong=[Wrong(shown, 1, "cannot be read: no such file")])
        _size([shown])
        if bad := _not_text(path):
            return Tree(wrong=[bad])
        payload = crossplane.parse(
            shown, catch_errors=True, comments=False, strict=False, check_ctx=False, check_args=False
        )
        _size([config["file"] for config in payload["config"]])
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
        if config["file"] != shown and (bad := _not_text(Path(config["file"]))):
            tree.wrong.append(bad)
    if not tree.wrong:
        _Builder(payload["config"], tree).build()
    return tree


def _not_text(path: Path) -> Wrong | None:
    """nginx takes any bytes; here a text is needed, since its words go into TOML."""
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
    """Puts each include's directives behind the `include` that names them."""

    def __init__(self, configs: list[dict[str, Any]], tree: Tree) -> None:
        self.configs, self.tree = configs, tree
        self.open: list[int] = []

    def build(self) -> None:
        self.open = [0]
        self.tree.top = list(self._rows(self.configs[0]["parsed"], self.configs[0]["file"], ()))

    def _rows(self, rows: list[dict[str, Any]], file: str, inside: tuple[str, ...]) -> Iterator[Directive]:
        if len(inside) + len(self.open) > MOST_DEPTH:
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
            if number in self.open:
                self.tree.wrong.append(
                    Wrong(at.file, at.line, "includes itself: " + self.configs[number]["file"])
                )
                continue
            self.open.append(number)
            yield from self._rows(self.configs[number]["parsed"], self.configs[number]["file"], at.inside)
            self.open.pop()
