"""Credits: room for several messages of one tenant and class, drawn from the tree at once.

So the ordinary message checks a credit instead of four limits of each node. A credit is drawn without
borrowing, if there is plenty, and lasts a second at most; what is not used is returned. Nothing is
rejected while a credit is outstanding, and meanwhile the buckets hold that much less (`Split.lock`): so no
limit is exceeded in any window.
"""

from __future__ import annotations

from madderbeam.quota.tree import Node, Plan, Tree

CREDIT_MAX_MESSAGES = 64  # messages in one credit
CREDIT_LIFETIME_US = 1_000_000
CREDIT_PAUSE_US = 100_000  # pause after there was no room for two messages


class Credit:
    """`demand_messages`, `demand_bytes`: what clients sent since these were last read, rejected or not."""

    __slots__ = (
        "bytes_left",
        "demand_bytes",
        "demand_messages",
        "largest",
        "last_requested_us",
        "message_bytes",
        "messages_left",
        "node",
        "not_before_us",
        "plan",
        "size",
        "size_max",
        "until_us",
    )

    def __init__(self, node: Node) -> None:
        self.node = node
        self.messages_left = self.bytes_left = self.until_us = 0
        self.plan: Plan | None = None
        self.size = 1  # messages of the next credit
        self.size_max = CREDIT_MAX_MESSAGES  # greatest size lately: there was no room for more
        self.not_before_us = 0  # not drawn before this, since there was no room for two
        self.message_bytes = 0  # average bytes of a message
        self.last_requested_us = -CREDIT_LIFETIME_US  # when a credit was last requested
        self.demand_messages = self.demand_bytes = self.largest = 0


class Credits:
    """All credits of a tree."""

    def __init__(self, tree: Tree) -> None:
        self.tree = tree
        self.outstanding: dict[Credit, None] = {}

    def draw(self, credit: Credit, size: int, now_us: int, until_us: int) -> bool:
        """Draw a credit in which a message of `size` bytes is already counted.

        False if there is no room for two messages. The size doubles each time a credit is requested often. No
        credit lasts beyond `until_us`.
        """
        self.return_credit(credit, now_us)
        for other in (
            list(self.outstanding)
            if self.outstanding and next(iter(self.outstanding)).until_us <= now_us
            else ()
        ):
            if other.until_us <= now_us:
                self.return_credit(other, now_us)
        credit.message_bytes = (
            size if not credit.message_bytes else credit.message_bytes + (size - credit.message_bytes) // 8
        )
        is_frequent = now_us - credit.last_requested_us < CREDIT_LIFETIME_US
        credit.last_requested_us = now_us
        credit.size = min(credit.size_max, credit.size * 2) if is_frequent else 1
        credit.size_max = min(CREDIT_MAX_MESSAGES, credit.size_max + 1)
        while credit.size > 1 and now_us >= credit.not_before_us:
            credit_bytes = size + max(credit.message_bytes, 1) * (credit.size - 1)
            plan = self.tree.draw_credit(credit.node, credit.size, credit_bytes, now_us)
            if plan is not None:
                credit.plan, credit.messages_left, credit.bytes_left = (
                    plan,
                    credit.size - 1,
                    credit_bytes - size,
                )
                credit.until_us = min(now_us + CREDIT_LIFETIME_US, until_us)
                self.outstanding[credit] = None
                return True
            credit.size //= 2
            credit.size_max = max(2, credit.size)
            if credit.size == 1:
                credit.not_before_us = now_us + CREDIT_PAUSE_US
        return False

    def return_credit(self, credit: Credit, now_us: int) -> None:
        """End a credit and return what is left of it."""
        if credit.plan is not None:
            self.tree.return_credit(credit.node, credit.plan, credit.messages_left, credit.bytes_left, now_us)
            if credit.messages_left * 2 > credit.size:
                credit.size = max(1, credit.size // 4)
            credit.plan, credit.messages_left, credit.bytes_left, credit.until_us = None, 0, 0, 0
            del self.outstanding[credit]

    def return_all(self, now_us: int) -> bool:
        """End all credits. Returns whether there were any."""
        had_credits = bool(self.outstanding)
        for credit in list(self.outstanding):
            self.return_credit(credit, now_us)
        return had_credits
