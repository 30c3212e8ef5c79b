"""Planted bugs: each takes one of the rules out that keep the sums."""

import contextlib
from unittest import mock

from madderbeam.shared import granter, granting, regime, site
from madderbeam.shared.granter import Pot
from madderbeam.shared.holder import Holder
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.regime import Regime, Voter
from madderbeam.shared.site import Seating

_take, _told, _start, _turn = Holder.take, Regime.told, Voter.start, Pot.due


def _lease_from_the_grant(self, now_us, granter, grant):
    key = grant.slot, grant.ask
    if key in self._sent:
        self._sent[key] = now_us
    return _take(self, now_us, granter, grant)


def _ready_at_once(self, now_us):
    _start(self, now_us)
    self.ready_us = self.answers_us = now_us


def _told_of_nothing_before(self, now_us, member, ask, earlier_us, sets):
    return _told(self, now_us, member, ask, 0, sets)


def _no_floor_kept(self, now_us, limit, member):
    return 0.0


def _last_grant_alone(self, now_us, member):
    base = self.seating.base(now_us, self.limit, member)
    return max([base, *(g.amount for g in self.given.get(member, ())[-1:])])


def _dead_have_nothing(self, now_us):
    _turn(self, now_us)
    for member, share in self.shares.items():
        if share.told_us < now_us - self.settings.turn_us * 3 // 2:
            self.given.pop(member, None)


def _used_after_its_end(self, resource, now_us):
    lot = self.lots.get(resource)
    return max(lot.amount, lot.after) if lot else 0.0


def _this_table_alone(self, now_us, event):
    self._site = (tuple(sorted(event.members)),)
    self.first, self.current = event.first, self._site[0]
    self.settled_us = now_us
    self.due(now_us)


def _no_drift(patches):
    for where in (regime, granter, granting, site):
        for name in ("longer", "shorter"):
            if hasattr(where, name):
                patches.enter_context(mock.patch.object(where, name, lambda span_us, drift_ppm: span_us))
    patches.enter_context(mock.patch.object(LeaseSettings, "over_us", property(lambda s: s.lease_us)))


BUGS = {
    "a lease counted from its grant": (Holder, "take", _lease_from_the_grant),
    "a restarted member confirms at once": (Voter, "start", _ready_at_once),
    "silent ones' old grants forgotten": (Regime, "told", _told_of_nothing_before),
    "no floor kept": (Seating, "base", _no_floor_kept),
    "drift ignored": _no_drift,
    "a regime of a minority": (regime, "all_carried", lambda slot, sets, of: len(of) >= 1),
    "one member confirms two": (Voter, "allows", lambda self, now_us, member, regime: True),
    "a lower grant counts before it was taken": (Pot, "charge", _last_grant_alone),
    "the dead have nothing": (Pot, "due", _dead_have_nothing),
    "a lease used after its end": (Holder, "amount", _used_after_its_end),
    "older tables forgotten": (Seating, "change", _this_table_alone),
}


@contextlib.contextmanager
def planted(name):
    with contextlib.ExitStack() as patches:
        bug = BUGS[name]
        if callable(bug):
            bug(patches)
        else:
            patches.enter_context(mock.patch.object(*bug))
        yield
