"""Normalizes a request path as nginx does before it matches locations.

ngx_http_core_module, `location`: "The matching is performed against a normalized URI, after decoding the text
encoded in the %XX form, resolving references to relative path components . and .., and possible compression
of two or more adjacent slashes into a single slash."
"""

from __future__ import annotations

import re

ENCODED = re.compile(rb"%([0-9A-Fa-f]{2})")
MAX_PATH_CHARS = 4096  # of a path as received


class PathError(ValueError):
    """An invalid path; the message is one line."""


def normalized(text: str) -> str:
    """Return the path without its query: percent-decoded, . and .. resolved, adjacent slashes merged.

    Raises PathError if the path does not begin with a slash, is too long, leads above the root, or once
    decoded is not UTF-8 or contains a zero byte.
    """
    if not text.startswith("/"):
        raise PathError("must begin with /")
    if len(text) > MAX_PATH_CHARS:
        raise PathError(f"must be {MAX_PATH_CHARS} characters at most")
    data = re.split("[?#]", text, maxsplit=1)[0].encode()
    if re.search(rb"%(?![0-9A-Fa-f]{2})", data):
        raise PathError("holds a % that two hex digits must follow")
    try:
        decoded = ENCODED.sub(lambda match: bytes([int(match[1], 16)]), data).decode()
    except UnicodeDecodeError:
        raise PathError("must be UTF-8 once it is decoded") from None
    if "\0" in decoded:
        raise PathError("must not hold a zero byte")
    resolved: list[str] = []
    segments = decoded.split("/")[1:]
    for segment in segments:
        if segment == "..":
            if not resolved:
                raise PathError("leads above the root")
            resolved.pop()
        elif segment not in ("", "."):
            resolved.append(segment)
    ends_with_slash = segments[-1] in ("", ".", "..")
    return "/" + "/".join(resolved) + ("/" if ends_with_slash and resolved else "")
