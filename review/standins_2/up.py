"""Runs `madderbeam up` behind its checks: they need pydantic, which the platform's build does not install.

The argument is a folder of rendered files with their manifest. What runs is madderbeam/sidecar/up.py as it
is; the modules that check and render an estate have stand-ins for the few names that it imports.
"""

from __future__ import annotations

import asyncio
import hashlib
import pathlib
import sys
import types

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))


def file_digest(path: pathlib.Path) -> str:
    """Return what the manifest has of a file."""
    return hashlib.sha256(path.read_bytes()).hexdigest()


NAMES = {
    "check": {"check": None},
    "diff": {"differences": None},
    "render": {
        "MANIFEST": "manifest.json",
        "File": None,
        "file_digest": file_digest,
        "render": None,
        "write": None,
    },
    "sites": {"first_line": None},
}
for _name, _values in NAMES.items():
    _module = types.ModuleType(f"madderbeam.config.{_name}")
    vars(_module).update(_values)
    sys.modules[_module.__name__] = _module

if __name__ == "__main__":
    from madderbeam.sidecar.up import _run_estate, lock_folder

    folder = pathlib.Path(sys.argv[1])
    lock = lock_folder(folder)
    asyncio.run(_run_estate(folder))
