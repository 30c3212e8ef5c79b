"""The model check of agreement, as deep as wished: python bench/agreement_model.py [DEPTH DEPTH DEPTH]."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests" / "federation_pure"))

from agreement_model import beginnings, explore_all

BUDGETS = ((1, 1, 2), (1, 1, 2), (1, 0, 2))  # crashes, doubles, timers that are due
DEPTHS = (6, 3, 6)


def main() -> None:
    depths = [int(d) for d in sys.argv[1:4]] or list(DEPTHS)
    names = list(beginnings(0, 0, 0))
    for name, budget, depth in zip(names, BUDGETS, depths, strict=True):
        visited = explore_all(beginnings(*budget)[name], depth)
        print(f"{name}, {budget} crashes, doubles, timers: {visited}", flush=True)


if __name__ == "__main__":
    main()
