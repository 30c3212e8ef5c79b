"""Judges a run of the soak from outside, by the bounds of the protocol."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from soak_clients import Request
from soak_scenario import DRAIN_GRACE_US, KEY_WINDOW_US, MEMORY_MB, Mood, Scenario
from soak_world import Call, Notes

END_SLACK_S = 0.3  # behind a message's time, until which it is delivered or reported
LONGER_S = 0.05  # each limit is so much longer on sockets
HELD_UP_S = 0.15  # a courier may be held up so long between reading its clock and writing
RESTART_SLACK_S = 1.5  # behind a restart, until which nothing is overdue
ANSWER_SLACK_S = 0.5  # behind a message's time, until which its answer may come
WAIT_GRACE_S = 0.1  # calls within this of a told wait are let through
READY_S = 10.0
REFUSING_S, REFUSED_MIN = 4.0, 15  # it may not turn back all that it gets, so many, for so long
KILL_SEEN_S = 0.5  # within this of a SIGKILL an ended connection is its doing


@dataclass
class Course:
    """What became of the courier's processes."""

    restarts: list[tuple[float, float]] = field(default_factory=list)  # from the signal until it was ready
    kills: list[float] = field(default_factory=list)
    ready_after_s: list[float] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    descriptors_max: int = 0
    memory_mb_max: float = 0.0
    judge_lag_s: float = 0.0  # most that the judge's own event loop was late
    ended_s: float = 0.0


class Judge:
    """One run's judgment."""

    def __init__(self, scenario: Scenario, notes: Notes, requests: list[Request], course: Course) -> None:
        self.scenario, self.notes, self.requests, self.course = scenario, notes, requests, course
        self.slack_s = LONGER_S + course.judge_lag_s
        self.calls: dict[str, list[Call]] = defaultdict(list)
        for call in notes.calls:
            self.calls[call.ident].append(call)
        self.notices = defaultdict(list)
        for notice in notes.notices:
            self.notices[notice.ident].append(notice)

    def violations(self) -> list[str]:
        """A line for each broken rule."""
        found = [*self.course.crashes, *self._limits(), *self._drains(), *self._waits(), *self._order()]
        found += self._service()
        found += self._in_flight()
        for request in self.requests:
            found += self._request(request)
        found += self._notices()
        return found

    def _request(self, request: Request) -> Iterator[str]:
        name = f"{request.ident} ({request.kind})"
        calls = self.calls[request.ident]
        ran = [call for call in calls if call.mood.may_have_run]
        if not request.answer:
            yield from self._unanswered(request, name)
        if request.answer.startswith("+"):
            yield from self._accepted(request, name)
        yield from self._withdrawn(calls, name)
        if request.kind == "unsafe":
            if len(ran) > 1:
                yield f"effects: {name} may have run {len(ran)} times"
            refused = request.answer.startswith("-BUSY") or any(
                notice.status == "deferred" for notice in self.notices[request.ident]
            )
            if ran and refused:
                yield f"refused: {name} was refused and may have run"
        if request.kind == "keyed" and ran:
            late_s = max(call.at_s for call in calls) - ran[0].at_s - KEY_WINDOW_US / 1e6
            if late_s > self.slack_s:
                yield f"window: {name} is called {late_s:.3f} s behind its key's window"

    def _unanswered(self, request: Request, name: str) -> Iterator[str]:
        if not request.is_written:
            return
        if request.unanswered_ends:
            by_kill = all(self._is_of_a_kill(ended_s) for ended_s in request.unanswered_ends)
            if not by_kill and (self.calls[request.ident] or self.notices[request.ident]):
                yield f"lost: {name} was taken on, and its connection ended without an answer"
            return
        due_s = request.due_s + ANSWER_SLACK_S + self.slack_s
        if due_s < self.course.ended_s and not self._is_in_restart(request.sent_s, due_s):
            yield f"lost: {name} got no answer, and its connection stays open"

    def _is_of_a_kill(self, at_s: float) -> bool:
        return any(0 <= at_s - kill_s < KILL_SEEN_S for kill_s in self.course.kills)

    def _is_in_restart(self, begin_s: float, end_s: float) -> bool:
        return any(begin_s < ready_s and since_s < end_s for since_s, ready_s in self.course.restarts)

    def _accepted(self, request: Request, name: str) -> Iterator[str]:
        due_s = request.due_s + END_SLACK_S + self.slack_s
        for since_s, ready_s in self.course.restarts:
            if since_s <= due_s <= ready_s + RESTART_SLACK_S:
                due_s = ready_s + RESTART_SLACK_S + self.slack_s
        ends = [call.ended_s for call in self.calls[request.ident] if call.is_answered]
        ends += [notice.at_s for notice in self.notices[request.ident]]
        if not ends and request.withdrawn_s <= due_s:
            return  # nothing more is owed
        if not ends and due_s < self.course.ended_s:
            yield f"lost: {name} was accepted, and is neither delivered nor reported"
        elif ends and min(ends) > due_s:
            yield f"lost: {name} ends {min(ends) - due_s:.3f} s too late"

    def _withdrawn(self, calls: list[Call], name: str) -> Iterator[str]:
        """A message is called no more by a process that has been told that it is over."""
        told = [call for call in calls if call.mood is Mood.GONE]
        for earlier in told:
            for later in calls:
                if later.life == earlier.life and later.at_s > earlier.at_s:
                    behind_s = later.at_s - earlier.at_s
                    yield f"over: {name} is called {behind_s:.3f} s behind its 410"

    def _notices(self) -> Iterator[str]:
        """A notice is repeated only while the courier has read no answer to it."""
        seen = Counter((n.ident, n.life) for n in self.notes.notices if not n.is_answer_lost)
        for (ident, life), count in seen.items():
            if count > 1:
                yield f"notices: {ident} is reported {count} times in life {life}"

    def _service(self) -> Iterator[str]:
        """It does not turn back all that it gets for long, outside of restarts."""
        refused: list[float] = []
        for request in sorted(self.requests, key=lambda request: request.answered_s):
            at_s = request.answered_s
            if not request.answer or self._is_in_restart(at_s, at_s):
                continue
            if request.answer.startswith("+") or (refused and self._is_in_restart(refused[0], at_s)):
                refused = []
            if not request.answer.startswith("+"):
                refused.append(at_s)
            if len(refused) >= REFUSED_MIN and at_s - refused[0] >= REFUSING_S:
                yield f"service: it turns back all {len(refused)} that it gets for {at_s - refused[0]:.1f} s"
                return

    def _limits(self) -> Iterator[str]:
        for seconds in self.course.ready_after_s:
            if seconds > READY_S:
                yield f"limits: ready after {seconds:.1f} s"
        if self.course.descriptors_max > self.scenario.sockets:
            yield f"limits: {self.course.descriptors_max} descriptors"
        if self.course.memory_mb_max > MEMORY_MB:
            yield f"limits: {self.course.memory_mb_max:.0f} MB"

    def _in_flight(self) -> Iterator[str]:
        """At most one attempt of a message is out on an open connection."""
        for ident, calls in self.calls.items():
            for earlier, later in itertools.pairwise(sorted(calls, key=lambda call: call.at_s)):
                ended_s = earlier.ended_s or self.course.ended_s
                if later.life == earlier.life and later.at_s < ended_s - self.slack_s:
                    yield f"twice: {ident} is called while an earlier call of it is out"

    def _drains(self) -> Iterator[str]:
        grace_s = DRAIN_GRACE_US / 1e6 + HELD_UP_S + self.slack_s
        for call in self.notes.calls:
            since_s = self.notes.draining_since_s.get(call.endpoint)
            if since_s is not None and call.at_s > since_s + grace_s:
                yield f"drain: {call.endpoint} is called {call.at_s - since_s:.3f} s after its drain was told"

    def _waits(self) -> Iterator[str]:
        told: dict[str, Call] = {}  # by destination: the call whose answer told the wait that ends last
        for call in sorted(self.notes.calls, key=lambda call: call.at_s):
            dest = call.endpoint.partition("-")[0]
            wait = told.get(dest)
            if wait is not None and wait.life == call.life and wait.ended_s:
                begin_s = wait.ended_s + WAIT_GRACE_S + HELD_UP_S + self.slack_s
                if begin_s < call.at_s < wait.ended_s + wait.wait_s - self.slack_s:
                    behind_s = call.at_s - wait.ended_s
                    yield f"waits: {call.endpoint} is called {behind_s:.3f} s behind a wait's answer"
            if call.wait_s and (
                wait is None
                or call.ended_s + call.wait_s > wait.ended_s + wait.wait_s
                or wait.life != call.life
            ):
                told[dest] = call

    def _order(self) -> Iterator[str]:
        orders = {request.ident: request.order for request in self.requests if request.kind == "ordered"}
        out: dict[str, Call] = {}
        for call in sorted(self.notes.calls, key=lambda call: call.at_s):
            order = orders.get(call.ident)
            if order is None:
                continue
            other = out.get(order)
            if other is not None and other.life == call.life and other.ident != call.ident:
                ended_s = other.ended_s or self.course.ended_s
                if call.at_s < ended_s - self.slack_s:
                    yield f"order: {call.ident} is called while {other.ident} of the same order is out"
            if other is None or call.ended_s > other.ended_s:
                out[order] = call
