"""One member probes a partner that is out, on behalf of all that have messages for it.

A member whose call fails, with none answered since, reports a suspicion; once its own calls establish the
outage it reports that. When two suspect it, the others begin no new calls for a moment while those two
continue. When two report an outage, one of them probes, and the others wait for as long as the reports are
renewed. The member with the highest rendezvous score becomes the prober and stays it; after a turn without an
answer the next takes over, so that a partner which refuses only that member is found to answer others. Its
first answer is disseminated, and all members resume with a slow start.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from madderbeam.federation.errors import OutAlone
from madderbeam.membership.values import Incarnation, LogLine, MemberId, SetTimer
from madderbeam.relay.selection import rendezvous_score
from madderbeam.shared.findings import REPORTERS_REQUIRED, WEIGHED_KINDS, FindingRecord, FindingsBoard
from madderbeam.shared.values import (
    ApplyFinding,
    CallAnswered,
    CallFailed,
    Finding,
    FindingExpired,
    FindingKind,
    LocalFinding,
    SetProbing,
)

TIMER = "returning"
SUSPICION_US = 1_000_000  # duration of a suspicion, renewed by the next failure
HOLD_OFF_MAX_US = 2_000_000  # longest hold-off for suspicions that no outage confirms
# afterwards suspicions are ignored: first, then doubling up to the most
COOL_DOWN_US, COOL_DOWN_MAX_US = 10_000_000, 60_000_000
PROBER_FRACTION = 0.5  # fraction in an outage's value: the reporter probes for all
PROBING_TURN_US = 10_000_000  # after this long without an answer the next member probes
RECENT_ANSWER_US = 1_000_000  # a partner that answered this courier within this was not out


@dataclass
class HoldOff:
    """Whether this member holds off from a destination because of suspicions alone."""

    since_us: int = -1  # since when two members suspect it; -1: not now
    cool_down_until_us: int = 0
    cool_down_us: int = COOL_DOWN_US  # duration of the next cool-down

    def is_active(self, now_us: int, is_suspected: bool) -> bool:
        """Whether to hold off for suspicions alone; called at each change of the reports."""
        if is_suspected and self.since_us < 0 and now_us >= self.cool_down_until_us:
            self.since_us = now_us
        has_ended = self.since_us >= 0 and (not is_suspected or now_us - self.since_us >= HOLD_OFF_MAX_US)
        if has_ended:
            self.since_us, self.cool_down_until_us = -1, now_us + self.cool_down_us
            self.cool_down_us = min(COOL_DOWN_MAX_US, 2 * self.cool_down_us)
        return self.since_us >= 0

    def confirmed(self) -> None:
        """The outage is confirmed, so the suspicions were right: no cool-down is needed."""
        self.since_us, self.cool_down_until_us, self.cool_down_us = -1, 0, COOL_DOWN_US


class PartnerOutages:
    """Which partners are out, and which member probes each.

    Takes the events of the findings board, and CallFailed and CallAnswered; returns its actions, and
    SetProbing. Only members that do not probe are made to hold off for an outage or, briefly, for a
    suspicion.
    """

    def __init__(self, own_id: MemberId, life: Incarnation) -> None:
        self.own_id, self.board = own_id, FindingsBoard(own_id, life)
        self.probing: dict[int, int] = {}  # destinations that this member probes for all: since when
        self.unanswered_turns: dict[
            int, int
        ] = {}  # by destination: probing turns of this member without an answer
        self.held_off: dict[int, FindingKind] = {}  # destinations that it holds off from, and why
        self.hold_offs: dict[int, HoldOff] = {}
        self.logged_as_only_reporter: set[int] = (
            set()
        )  # destinations already logged as out for this member alone

    def handle(self, now_us: int, event: Any) -> list[Any]:
        """The actions that the event leads to."""
        if isinstance(event, LocalFinding) and event.finding.kind is FindingKind.OUTAGE:
            event = LocalFinding(replace(event.finding, value=self._value(event.finding.dest)))
        actions = self._report_suspicion(now_us, event)
        actions += [
            action
            for action in self.board.handle(now_us, event)
            if not self._is_void_recovery(now_us, action)
        ]
        reported = self.board.reported_destinations(WEIGHED_KINDS)
        for dest in sorted(
            reported
            | self.held_off.keys()
            | self.probing.keys()
            | self.hold_offs.keys()
            | self.logged_as_only_reporter
        ):
            actions += self._settle(now_us, dest, dest in reported)
        ends = [
            hold_off.since_us + HOLD_OFF_MAX_US
            for hold_off in self.hold_offs.values()
            if hold_off.since_us >= 0
        ]
        return [*actions, SetTimer(min(ends), TIMER)] if ends else actions

    def answered(self, now_us: int, dest: int) -> bool:
        """The destination answered a call; True if CallAnswered is to be handled here."""
        self.board.answered(now_us, dest)
        self.unanswered_turns.pop(dest, None)
        return any((kind, dest, "") in self.board.owners[self.own_id].records for kind in WEIGHED_KINDS)

    def status(self, now_us: int) -> dict[str, Any]:
        """For GET /federation."""
        return {
            "news": self.board.status(now_us),
            "tries": sorted(self.probing),
            "doubted": [
                {
                    "dest": dest,
                    "holds": hold_off.since_us >= 0,
                    "rest_ms": max(0, hold_off.cool_down_until_us - now_us) // 1000,
                }
                for dest, hold_off in sorted(self.hold_offs.items())
            ],
        }

    def prober(self, now_us: int, dest: int) -> MemberId | None:
        """The member that probes now; None if no member reports an outage."""
        reports = self.board.valid_reports(FindingKind.OUTAGE, dest, now_us)
        return next(iter(_in_probing_order(dest, reports)), None)

    def _report_suspicion(self, now_us: int, event: Any) -> list[Any]:
        """What this member's own calls show."""
        if isinstance(event, CallFailed):
            hold_off = self.hold_offs.get(event.dest)
            if hold_off is None or now_us >= hold_off.cool_down_until_us:
                return self.board.handle(
                    now_us, LocalFinding(Finding(FindingKind.SUSPICION, event.dest, "", SUSPICION_US))
                )
        elif (
            isinstance(event, CallAnswered)
            and (FindingKind.SUSPICION, event.dest, "") in self.board.owners[self.own_id].records
        ):
            # The suspicion was wrong: the next is reported later, also if no other member suspected.
            self.hold_offs.setdefault(event.dest, HoldOff()).cool_down_until_us = now_us + SUSPICION_US
            return self.board.handle(now_us, LocalFinding(Finding(FindingKind.SUSPICION, event.dest, "", 0)))
        return []

    def _is_void_recovery(self, now_us: int, action: Any) -> bool:
        """Whether a recovery is to be ignored because the destination was not out for this courier.

        A recovery that counts voids what was reported of the outage before.
        """
        if not isinstance(action, ApplyFinding) or action.finding.kind is not FindingKind.RECOVERY:
            return False
        dest = action.finding.dest
        if (
            dest not in self.held_off
            and now_us - self.board.answered_us.get(dest, -RECENT_ANSWER_US) < RECENT_ANSWER_US
        ):
            return True
        self.answered(now_us, dest)
        return False

    def _settle(self, now_us: int, dest: int, is_reported: bool) -> list[Any]:
        """Update probing and the hold-off of one destination by the current reports."""
        outage_reports = self.board.valid_reports(FindingKind.OUTAGE, dest, now_us) if is_reported else {}
        reports = (
            {**self.board.valid_reports(FindingKind.SUSPICION, dest, now_us), **outage_reports}
            if is_reported
            else {}
        )
        is_confirmed, is_suspected = (
            len(outage_reports) >= REPORTERS_REQUIRED,
            len(outage_reports) < REPORTERS_REQUIRED <= len(reports),
        )
        order = _in_probing_order(dest, outage_reports if is_confirmed else reports)
        is_prober = self.own_id in order[: 1 if is_confirmed else REPORTERS_REQUIRED]
        actions = self._set_probing(now_us, dest, is_prober and is_confirmed)
        actions += self._log_if_only_reporter(now_us, dest, reports)
        hold_off = self.hold_offs.setdefault(dest, HoldOff()) if is_suspected else self.hold_offs.get(dest)
        holds_for_now = hold_off is not None and hold_off.is_active(now_us, is_suspected)
        if hold_off is not None and is_confirmed:
            hold_off.confirmed()
        elif hold_off is not None and now_us > hold_off.cool_down_until_us + COOL_DOWN_MAX_US:
            del self.hold_offs[dest]
        reason = (
            (FindingKind.OUTAGE if is_confirmed else FindingKind.SUSPICION)
            if not is_prober and (is_confirmed or holds_for_now)
            else None
        )
        previous_reason = self.held_off.get(dest)
        if reason is not None and previous_reason is not reason and previous_reason is not FindingKind.OUTAGE:
            self.held_off[dest] = reason
            left_us = max(report.until_us for report in reports.values()) - now_us
            actions.append(ApplyFinding(Finding(reason, dest, "", left_us), order[0]))
        elif reason is None and previous_reason is not None:
            del self.held_off[dest]
            actions.append(FindingExpired(previous_reason, dest, ""))
        return actions

    def _log_if_only_reporter(
        self, now_us: int, dest: int, reports: dict[MemberId, FindingRecord]
    ) -> list[Any]:
        """Logs once that a destination has long been out for this member alone."""
        own_report = reports.get(self.own_id)
        if own_report is None:
            self.logged_as_only_reporter.discard(dest)
        elif (
            len(reports) == 1
            and dest not in self.logged_as_only_reporter
            and now_us - own_report.since_us >= PROBING_TURN_US
        ):
            self.logged_as_only_reporter.add(dest)
            problem = (
                f"destination {dest} answers no call of {self.own_id}, for {PROBING_TURN_US // 1_000_000} s"
            )
            return (
                [LogLine("destination is out for this courier only", OutAlone(problem))]
                if self.board.live_member_count > 1
                else []
            )
        return []

    def _set_probing(self, now_us: int, dest: int, is_prober: bool) -> list[Any]:
        """Start or stop probing; a turn that has lasted PROBING_TURN_US is counted and ended."""
        since_us = self.probing.get(dest)
        if is_prober and since_us is not None and now_us - since_us >= PROBING_TURN_US:
            self.unanswered_turns[dest], is_prober = self.unanswered_turns.get(dest, 0) + 1, False
        if is_prober == (since_us is not None):
            return []
        if is_prober:
            self.probing[dest] = now_us
        else:
            del self.probing[dest]
        updates = self.board.change_value(now_us, FindingKind.OUTAGE, dest, self._value(dest))
        return [SetProbing(dest, is_prober), *updates]

    def _value(self, dest: int) -> float:
        """The value of this member's outage report: its turns so far, and whether it probes."""
        return self.unanswered_turns.get(dest, 0) + (PROBER_FRACTION if dest in self.probing else 0.0)


def _in_probing_order(dest: int, reports: dict[MemberId, FindingRecord]) -> list[MemberId]:
    """The reporters in probing order: the current prober, then those with the fewest turns."""
    hash_origin = MemberId("partner", str(dest))

    def rank(member: MemberId) -> tuple[bool, float, int, MemberId]:
        value = reports[member].value
        return value % 1 != PROBER_FRACTION, value // 1, -rendezvous_score(hash_origin, member), member

    return sorted(reports, key=rank)
