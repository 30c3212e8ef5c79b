"""TOML files as they stand on the disk: bounded, decoded, parsed, and each value's line known."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

MAX_BYTES = 4_000_000  # a configuration that is larger is a mistake, and is not read
Key = tuple[str | int, ...]
BARE = re.compile(r"[A-Za-z0-9_-]+")
AT = re.compile(r" \(at line (\d+), column \d+\)$")


@dataclass(frozen=True, order=True)
class Problem:
    """One mistake, in the form in which it is told."""

    file: str
    line: int
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.path + ': ' if self.path else ''}{self.text}"


def dotted(path: Key) -> str:
    """('application', 0, 'slots') as application[0].slots."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else str(part)
    return text


@dataclass
class Source:
    """A parsed file and the lines of its values."""

    file: str
    raw: dict[str, Any]
    lines: dict[Key, int]
    kept: dict[Key, list[int]] = field(default_factory=dict)  # of lists: the elements that could be used

    def line(self, path: Key) -> int:
        """The line of a value, or of the nearest table around one that lacks."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def numbers(self, path: Key, count: int) -> Sequence[int]:
        """Where the usable elements of a list of tables stand in the file, which may hold others as well."""
        return self.kept.get(path, range(count))

    def problem(self, path: Key, text: str) -> Problem:
        return Problem(self.file, self.line(path), dotted(path), text)


def read(path: Path, shown: str = "") -> Source | Problem:
    """The file, or the one mistake for which it can't be parsed."""
    shown = shown or str(path)
    try:
        with path.open("rb") as file:
            data = file.read(MAX_BYTES + 1)
    except OSError as error:
        return Problem(shown, 1, "", f"cannot be read: {error.strerror}; allowed: a readable TOML file")
    if len(data) > MAX_BYTES:
        return Problem(shown, 1, "", f"is too large; allowed: at most {MAX_BYTES} bytes")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        return Problem(shown, line, "", "is not UTF-8; allowed: UTF-8 text")
    try:
        raw = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, ValueError, RecursionError) as error:
        said = str(error)
        found = AT.search(said)
        line = int(found[1]) if found else max(1, len(text.splitlines()))
        what = AT.sub("", said).removesuffix(" (at end of document)")
        return Problem(shown, line, "", f"is not TOML: {what}; allowed: TOML 1.0")
    return Source(shown, raw, lines(text))


class _Scanner:
    """Walks over the text of a valid file and notes where each value's key stands."""

    def __init__(self, text: str) -> None:
        self.text, self.at, self.line = text, 0, 1
        self.found: dict[Key, int] = {(): 1}
        self.counts: dict[Key, int] = {}

    def skip(self, many: int = 1) -> None:
        self.line += self.text.count("\n", self.at, self.at + many)
        self.at += many

    def space(self, newlines: bool) -> None:
        while self.at < len(self.text):
            c = self.text[self.at]
            if c == "#":
                end = self.text.find("\n", self.at)
                self.at = len(self.text) if end < 0 else end
            elif c in " \t\r" or (newlines and c == "\n"):
                self.skip()
            else:
                return

    def string(self) -> str:
        """A string of any of the four kinds, without its quotes."""
        quote = self.text[self.at]
        mark = quote * 3 if self.text.startswith(quote * 3, self.at) else quote
        end = self.at + len(mark)
        while not self.text.startswith(mark, end):
            end += 2 if quote == '"' and self.text[end] == "\\" else 1
        while len(mark) == 3 and self.text.startswith(quote, end + 3):
            end += 1  # quotes right before the closing ones belong to the string
        inner = self.text[self.at + len(mark) : end]
        self.skip(end + len(mark) - self.at)
        return inner

    def key(self) -> list[str]:
        parts = []
        while True:
            self.space(False)
            if self.text[self.at] in "\"'":
                parts.append(self.string())
            else:
                word = BARE.match(self.text, self.at)
                parts.append(word[0] if word else "")
                self.at += len(parts[-1])
            self.space(False)
            if self.text[self.at] != ".":
                return parts
            self.at += 1

    def value(self, path: Key) -> None:
        c = self.text[self.at]
        if c in "\"'":
            self.string()
        elif c == "[":
            self.at += 1
            index = 0
            while True:
                self.space(True)
                if self.text[self.at] == "]":
                    break
                self.found.setdefault((*path, index), self.line)
                self.value((*path, index))
                index += 1
                self.space(True)
                if self.text[self.at] == ",":
                    self.at += 1
            self.at += 1
        elif c == "{":
            self.at += 1
            while True:
                self.space(True)
                if self.text[self.at] == "}":
                    break
                self.pair(path)
                self.space(True)
                if self.text[self.at] == ",":
                    self.at += 1
            self.at += 1
        else:
            while self.at < len(self.text) and self.text[self.at] not in ",]}#\n":
                self.at += 1

    def pair(self, table: Key) -> None:
        line = self.line
        path = self.down(table, self.key(), line)
        self.at += 1  # =
        self.space(False)
        self.value(path)

    def down(self, table: Key, keys: list[str], line: int) -> Key:
        """The path of a dotted key, through the newest element of each array of tables on the way."""
        for part in keys:
            table = (*table, part)
            self.found.setdefault(table, line)
            if table in self.counts and part is not keys[-1]:
                table = (*table, self.counts[table] - 1)
        return table

    def scan(self) -> None:
        table: Key = ()
        while True:
            self.space(True)
            if self.at >= len(self.text):
                return
            if self.text[self.at] != "[":
                self.pair(table)
                continue
            many = self.text.startswith("[[", self.at)
            self.at += 2 if many else 1
            line = self.line
            table = self.down((), self.key(), line)
            self.at += 2 if many else 1
            if many:
                self.counts[table] = self.counts.get(table, 0) + 1
                table = (*table, self.counts[table] - 1)
                self.found[table] = line
            elif table in self.counts:
                table = (*table, self.counts[table] - 1)


def lines(text: str) -> dict[Key, int]:
    """The line of each key of a valid TOML text, by its path."""
    scanner = _Scanner(text)
    scanner.scan()
    return scanner.found
