"""Credits: room for several messages of one tenant and class, drawn from the tree at once.

So that the ordinary message asks a credit and not four limits of each node. Drawn without borrowing, of what
is there in plenty, for a second at most; what is not used goes back. Nothing is refused while a credit is
out, and while one is out the buckets hold so much less (`Split.lock`): no limit is passed in any window.
"""

from __future__ import annotations

from madderbeam.quota.tree import Node, Plan, Tree

MOST = 64  # messages in one
LASTS_US = 1_000_000
AGAIN_US = 100_000  # after there was no room for two


class Credit:
    """`asked`, `asked_bytes`: what was handed in since they were read last, refused or not."""

    __slots__ = (
        "again",
        "asked",
        "asked_bytes",
        "bytes",
        "largest",
        "last",
        "left",
        "mean",
        "most",
        "node",
        "plan",
        "size",
        "until",
    )

    def __init__(self, node: Node) -> None:
        self.node = node
        self.left = self.bytes = self.until = 0
        self.plan: Plan | None = None
        self.size = 1  # messages of the next one
        self.most = MOST  # as it was found lately: there was no room for more
        self.again = 0  # there was none for two: it is not tried sooner
        self.mean = 0  # bytes of a message, about
        self.last = -LASTS_US  # when the tree was asked last
        self.asked = self.asked_bytes = self.largest = 0


class Credits:
    """All credits of a tree."""

    def __init__(self, tree: Tree) -> None:
        self.tree = tree
        self.out: dict[Credit, None] = {}

    def draw(self, credit: Credit, size: int, now: int, until: int) -> bool:
        """A credit in which a message of so many bytes is counted already. One that is asked for often gets
        twice as much each time. `until`: none lasts longer."""
        self.settle(credit, now)
        for other in list(self.out) if self.out and next(iter(self.out)).until <= now else ():
            if other.until <= now:
                self.settle(other, now)
        credit.mean = size if not credit.mean else credit.mean + (size - credit.mean) // 8
        often = now - credit.last < LASTS_US
        credit.last = now
        credit.size = min(credit.most, credit.size * 2) if often else 1
        credit.most = min(MOST, credit.most + 1)
        while credit.size > 1 and now >= credit.again:
            room = size + max(credit.mean, 1) * (credit.size - 1)
            plan = self.tree.draw(credit.node, credit.size, room, now)
            if plan is not None:
                credit.plan, credit.left, credit.bytes = plan, credit.size - 1, room - size
                credit.until = min(now + LASTS_US, until)
                self.out[credit] = None
                return True
            credit.size //= 2
            credit.most = max(2, credit.size)
            if credit.size == 1:
                credit.again = now + AGAIN_US
        return False

    def settle(self, credit: Credit, now: int) -> None:
        """It is over: what it has left goes back."""
        if credit.plan is not None:
            self.tree.settle(credit.node, credit.plan, credit.left, credit.bytes, now)
            if credit.left * 2 > credit.size:
                credit.size = max(1, credit.size // 4)
            credit.plan, credit.left, credit.bytes, credit.until = None, 0, 0, 0
            del self.out[credit]

    def recall(self, now: int) -> bool:
        """All are over; whether there was one."""
        found = bool(self.out)
        for credit in list(self.out):
            self.settle(credit, now)
        return found
