"""A fault of the network: a second copy of a response, some time behind the first one."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass


@dataclass(frozen=True)
class Copies:
    """Which responses are repeated: their share, how long behind them a copy comes, and how often."""

    share: float
    delay_s: tuple[float, float]
    times_max: int = 1


class Copier:
    """Writes the copies that are drawn, while their connection stays open."""

    def __init__(self, copies: Copies | None, seed: str) -> None:
        self.copies = copies
        self.rng = random.Random(seed)
        self.count = 0  # of the copies written

    def written(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Repeat these bytes, which have just been written, if it is drawn so."""
        copies = self.copies
        if copies is None or self.rng.random() >= copies.share:
            return
        for _ in range(self.rng.randint(1, copies.times_max)):
            delay_s = self.rng.uniform(*copies.delay_s)
            asyncio.get_running_loop().call_later(delay_s, self._write, writer, data)

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            self.count += 1
            writer.write(data)
