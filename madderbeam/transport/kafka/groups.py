"""Consumer groups as far as consumers of finals need them: join, sync, heartbeat, leave, offsets. Pure.

The protocol guide's group membership, and KIP-394 (a member id is given first). Times are seconds of one
clock. The first that joins leads, and computes the assignment itself. Everything is bounded: groups, members,
what they hand in; a member that is silent for its session's time goes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from madderbeam.transport.kafka.schemas import Code

MOST_GROUPS, MOST_MEMBERS = 64, 64
MOST_BYTES = 1 << 16  # of one member's metadata or assignment
MAX_NAME_CHARS = 255  # of a group, a member, a protocol or a topic
MAX_HELD_BYTES = 4_000_000  # of all members' metadata and assignments
SESSION_MS = (1_000, 1_800_000)
SETTLE_S = 0.2  # a group that forms waits so long for further members
Answer = Callable[[dict[str, Any]], None]


@dataclass
class Member:
    """One consumer."""

    id: str
    session_s: float
    protocols: list[tuple[str, bytes]]
    due: float  # when it counts as gone
    join: Answer | None = None  # waits for the group to form
    sync: Answer | None = None  # waits for the leader's assignment
    assignment: bytes = b""


@dataclass
class Group:
    """`forms_at`: from when on a generation is made, once all have joined; 0 if the group stands. Those
    that have not joined by `forms_by` are left out."""

    members: dict[str, Member] = field(default_factory=dict)
    generation: int = 0
    leader: str = ""
    protocol: str = ""
    forms_at: float = 0.0
    forms_by: float = 0.0
    assigned: bool = False


class Groups:
    """All groups of one courier. `offsets` outlast it, by the caller: by group, topic, partition."""

    def __init__(self, new_name: Callable[[], str]) -> None:
        self.new_name = new_name
        self.groups: dict[str, Group] = {}
        self.offsets: dict[str, dict[str, int]] = {}

    def join(self, r: dict[str, Any], version: int, now: float, answer: Answer) -> None:
        """Answers at once with an error, or as the group forms."""
        rows = [(p["name"], p["metadata"]) for p in r["protocols"]]
        group = self.groups.get(r["group_id"])
        if not SESSION_MS[0] <= r["session_timeout_ms"] <= SESSION_MS[1]:
            return answer(_joined(Code.INVALID_SESSION_TIMEOUT, r["member_id"]))
        if not rows or sum(len(m) for _, m in rows) > MOST_BYTES or len(rows) > 16:
            return answer(_joined(Code.INCONSISTENT_GROUP_PROTOCOL, r["member_id"]))
        names = [r["group_id"], r["member_id"], *(name for name, _ in rows)]
        if any(len(name) > MAX_NAME_CHARS for name in names) or self._held_bytes() > MAX_HELD_BYTES:
            return answer(_joined(Code.INVALID_REQUEST, r["member_id"]))
        if not r["member_id"] and version >= 4:
            return answer(_joined(Code.MEMBER_ID_REQUIRED, self.new_name()))
        if group is None:
            if len(self.groups) >= MOST_GROUPS:
                return answer(_joined(Code.INVALID_REQUEST, r["member_id"]))
            group = self.groups[r["group_id"]] = Group()
        ident = r["member_id"] or self.new_name()
        if ident not in group.members and len(group.members) >= MOST_MEMBERS:
            return answer(_joined(Code.INVALID_REQUEST, ident))
        common = self._common(group, ident, rows)
        if not common:
            return answer(_joined(Code.INCONSISTENT_GROUP_PROTOCOL, ident))
        session = r["session_timeout_ms"] / 1e3
        member = group.members.get(ident)
        if member is None:
            member = group.members[ident] = Member(ident, session, rows, now + session)
        member.protocols, member.due, member.join, member.sync = rows, now + session, answer, None
        group.leader = group.leader if group.leader in group.members else ident
        if not group.forms_at:
            self._again(group, now, SETTLE_S)
        return None

    def _held_bytes(self) -> int:
        members = [member for group in self.groups.values() for member in group.members.values()]
        return sum(len(m.assignment) + sum(len(metadata) for _, metadata in m.protocols) for m in members)

    @staticmethod
    def _common(group: Group, ident: str, rows: list[tuple[str, bytes]]) -> list[str]:
        """The protocols that all members have, in this one's order."""
        others = [{name for name, _ in m.protocols} for m in group.members.values() if m.id != ident]
        return [name for name, _ in rows if all(name in each for each in others)]

    def sync(self, r: dict[str, Any], now: float, answer: Answer) -> None:
        group, member, code = self._member(r, now)
        if code or group is None or member is None:
            return answer({"error_code": code, "assignment": b""})
        if group.forms_at:
            return answer({"error_code": Code.REBALANCE_IN_PROGRESS, "assignment": b""})
        if member.id == group.leader and not group.assigned:
            given = {a["member_id"]: a["assignment"][:MOST_BYTES] for a in r["assignments"]}
            assigned_bytes = sum(len(given.get(ident, b"")) for ident in group.members)
            if self._held_bytes() + assigned_bytes > MAX_HELD_BYTES:
                return answer({"error_code": Code.INVALID_REQUEST, "assignment": b""})
            group.assigned = True
            for each in group.members.values():
                each.assignment = given.get(each.id, b"")
                if each.sync is not None:
                    waiting, each.sync = each.sync, None
                    waiting({"error_code": Code.NONE, "assignment": each.assignment})
        if group.assigned:
            return answer({"error_code": Code.NONE, "assignment": member.assignment})
        member.sync = answer
        return None

    def heartbeat(self, r: dict[str, Any], now: float) -> int:
        """An error code."""
        group, _, code = self._member(r, now)
        if not code and group is not None and group.forms_at:
            return Code.REBALANCE_IN_PROGRESS
        return code

    def leave(self, r: dict[str, Any], now: float) -> int:
        group = self.groups.get(r["group_id"])
        if group is None or r["member_id"] not in group.members:
            return Code.UNKNOWN_MEMBER_ID
        self._remove(r["group_id"], group, group.members[r["member_id"]], now)
        return Code.NONE

    def commit(self, r: dict[str, Any], now: float) -> int:
        """Note offsets; an error code. A commit without a group's generation (-1) is that of a plain
        consumer."""
        if r["generation_id"] is not None and r["generation_id"] >= 0:
            _, _, code = self._member(r, now)
            if code:
                return code
        names = [r["group_id"], *(topic["name"] for topic in r["topics"])]
        if any(len(name) > MAX_NAME_CHARS for name in names):
            return Code.INVALID_REQUEST
        if r["group_id"] not in self.offsets and len(self.offsets) >= MOST_GROUPS:
            return Code.INVALID_REQUEST
        mine = self.offsets.setdefault(r["group_id"], {})
        for topic in r["topics"]:
            for part in topic["partitions"]:
                if len(mine) < MOST_GROUPS:
                    mine[f"{topic['name']}/{part['index']}"] = part["offset"]
        return Code.NONE

    def committed(self, group: str, topic: str, partition: int) -> int:
        return self.offsets.get(group, {}).get(f"{topic}/{partition}", -1)

    def due(self, now: float) -> None:
        """What the time has brought: silent members go, groups form."""
        for name, group in list(self.groups.items()):
            for member in [m for m in group.members.values() if m.due <= now and m.join is None]:
                self._remove(name, group, member, now)
            if group.forms_at and now >= group.forms_at:
                if now >= group.forms_by:
                    for member in [m for m in group.members.values() if m.join is None]:
                        del group.members[member.id]
                if group.members and all(m.join is not None for m in group.members.values()):
                    self._form(group, now)
            if not group.members:
                self.groups.pop(name, None)

    def next_at(self) -> float | None:
        times = [m.due for g in self.groups.values() for m in g.members.values() if m.join is None]
        for group in self.groups.values():
            if group.forms_at:
                ready = all(m.join is not None for m in group.members.values())
                times.append(group.forms_at if ready else group.forms_by)
        return min(times, default=None)

    def _member(self, r: dict[str, Any], now: float) -> tuple[Group | None, Member | None, int]:
        group = self.groups.get(r["group_id"])
        member = group.members.get(r["member_id"]) if group else None
        if group is None or member is None:
            return None, None, Code.UNKNOWN_MEMBER_ID
        if r["generation_id"] != group.generation:
            return group, member, Code.ILLEGAL_GENERATION
        member.due = now + member.session_s
        return group, member, Code.NONE

    def _remove(self, name: str, group: Group, member: Member, now: float) -> None:
        del group.members[member.id]
        if member.sync is not None:
            member.sync({"error_code": Code.UNKNOWN_MEMBER_ID, "assignment": b""})
        if not group.members:
            self.groups.pop(name, None)
            return
        if group.leader == member.id:
            group.leader = next(iter(group.members))
        self._again(group, now, 0.0)

    @staticmethod
    def _again(group: Group, now: float, settle: float) -> None:
        """A new generation is due: the others hear of it by their heartbeats and join anew."""
        group.forms_at = group.forms_at or now + settle
        group.forms_by = now + max(m.session_s for m in group.members.values())
        for each in group.members.values():
            if each.sync is not None:
                waiting, each.sync = each.sync, None
                waiting({"error_code": Code.REBALANCE_IN_PROGRESS, "assignment": b""})

    def _form(self, group: Group, now: float) -> None:
        """All have joined: the next generation."""
        if group.leader not in group.members:
            group.leader = next(iter(group.members))
        group.generation += 1
        group.forms_at, group.assigned = 0.0, False
        group.protocol = self._common(group, group.leader, group.members[group.leader].protocols)[0]
        rows = [
            {"member_id": m.id, "metadata": dict(m.protocols)[group.protocol]} for m in group.members.values()
        ]
        for member in group.members.values():
            answer, member.join = member.join, None
            member.due, member.assignment = now + member.session_s, b""
            if answer is not None:
                answer(
                    {
                        "error_code": Code.NONE,
                        "generation_id": group.generation,
                        "protocol_name": group.protocol,
                        "leader": group.leader,
                        "member_id": member.id,
                        "members": rows if member.id == group.leader else [],
                    }
                )


def _joined(code: int, member: str) -> dict[str, Any]:
    return {
        "error_code": code,
        "generation_id": -1,
        "protocol_name": "",
        "leader": "",
        "member_id": member,
        "members": [],
    }
