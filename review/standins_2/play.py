"""Plays the case whose number is given: a case that can't even be loaded exits with 2, not with 1."""

from __future__ import annotations

import pathlib
import runpy
import sys
import traceback

COULD_NOT_RUN = 2
HERE = pathlib.Path(__file__).resolve().parent

if __name__ == "__main__":
    folder = HERE.parent / sys.argv[1]
    sys.path.insert(0, str(HERE.parents[1]))
    try:
        runpy.run_path(str(folder / "case.py"), run_name="__main__")
    except Exception:
        (folder / "record.txt").write_text(f"the case could not run:\n{traceback.format_exc()}")
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
