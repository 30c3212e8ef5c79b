"""Bugs planted in the pure machines and the journal's waits: each must be found by drawn schedules."""

import contextlib

from madderbeam.host.standby import journal as waits
from madderbeam.replication import cursor, owner, standby, values
from madderbeam.replication.values import Go, Say, Sort, TakeOver


@contextlib.contextmanager
def put(place, name, value):
    before = getattr(place, name)
    setattr(place, name, value)
    try:
        yield
    finally:
        setattr(place, name, before)


@contextlib.contextmanager
def no_fence():
    """The standby that took over goes on confirming what its old owner sends."""

    def hello(self, now, link, row):
        if self.over is None:
            return real(self, now, link, row)
        self.link = link
        return [Say("welcome", [[[n, s, self.digests.get(n, 0)] for n, s in self.sizes.items()], True], link)]

    def got(self, now, e):
        if self.over is None:
            return heard(self, now, e)
        at = {"block": 4, "drop": 1, "whole": 0}.get(e.channel)
        told = [self.position, self.got, e.row[0]] if at is None else e.row[at : at + 3]
        self.position, self.got = told[:2]
        return [Say("ack", told, self.link)]

    real, heard = standby.Standby._hello, standby.Standby._got
    with put(standby.Standby, "_hello", hello), put(standby.Standby, "_got", got):
        yield


def early_lease():
    return put(values.Settings, "standby_lease_us", lambda self, lease_us: lease_us // 5)


def lease_by_answer():
    """The owner counts its lease from when the answer came, not from when it asked."""

    def ack(self, now, position, acked, stamp):
        return real(self, now, position, acked, now if stamp <= now else stamp)

    real = owner.Owner._ack
    return put(owner.Owner, "_ack", ack)


def lease_forgotten():
    """What the standby has confirmed goes, however long ago."""
    return put(owner.Owner, "leased", lambda self, now: True)


def lost_tail():
    """The copy is said to be whole with its last part not sent."""

    def lacking(self):
        part = real(self)
        return None if part is not None and part[0] == max(self.sizes) and part[1] else part

    real = cursor.Cursor.lacking
    return put(cursor.Cursor, "lacking", lacking)


def confirmed_unwritten():
    """What the standby's disk did not take is confirmed."""
    return put(standby.Standby, "_wrote", lambda self, now, e: self._done(now))


def _passes(sort):
    def passes(self, asked):
        return asked is sort or real(self, asked)

    real = owner.Owner.passes
    return put(owner.Owner, "passes", passes)


def wait_forgotten_take():
    return _passes(Sort.TAKE)


def wait_forgotten_attempt():
    return _passes(Sort.ATTEMPT)


def wait_forgotten_final():
    return _passes(Sort.FINAL)


def final_goes_when_due():
    """A notice whose time to wait is over says what it said."""

    def overdue(self, now):
        due = [w for w in self.waiting.all.values() if w.due_us <= now and w.sort is Sort.FINAL]
        for w in due:
            del self.waiting.all[w.token]
        return [*(Go(w.token) for w in due), *real(self, now)]

    real = owner.Owner._overdue
    return put(owner.Owner, "_overdue", overdue)


def doubt_forgotten():
    """What an owner that goes on alone may have done is not thought of."""

    def take_over(self):
        return [TakeOver(a.fence, False, a.exact) if isinstance(a, TakeOver) else a for a in real(self)]

    real = standby.Standby._take_over
    return put(standby.Standby, "_take_over", take_over)


def sure_too_soon():
    """A copy counts as sure as its owner says that it is strict, before it is whole again."""

    def followed(self, link, fence, strict, lease_us, name):
        self.sure = self.strict = strict
        return real(self, link, fence, strict, lease_us, name)

    real = standby.Standby._followed
    return put(standby.Standby, "_followed", followed)


def grant_forgotten():
    """The standby does not note that it has granted a lease anew."""

    def confirm(self, now):
        was = self.granted_at
        found = real(self, now)
        self.granted_at = was
        return found

    real = standby.Standby._confirm
    return put(standby.Standby, "_confirm", confirm)


def weaker_at_once():
    """An owner that may go on alone by its new settings does, before the standby has heard of them."""

    def owned(self, settings, name, sizes, kept):
        real(self, settings, name, sizes, kept)
        self.agreed_strict = False

    real = owner.Owner.__init__
    return put(owner.Owner, "__init__", owned)


def attempt_waits_for_nothing():
    """The journal calls each attempt one that may be repeated."""

    def attach(self, room, safe, windows):
        real(self, room, frozenset(range(9)), windows)

    real = waits.ReplicatedJournal.attach
    return put(waits.ReplicatedJournal, "attach", attach)


def window_forgotten():
    """A key's window is not looked at once the word is there."""

    def attach(self, room, safe, windows):
        real(self, room, safe, {})

    real = waits.ReplicatedJournal.attach
    return put(waits.ReplicatedJournal, "attach", attach)


ALL = {
    f.__name__: f
    for f in (
        no_fence,
        early_lease,
        lease_by_answer,
        lease_forgotten,
        grant_forgotten,
        lost_tail,
        confirmed_unwritten,
        wait_forgotten_take,
        wait_forgotten_attempt,
        wait_forgotten_final,
        final_goes_when_due,
        doubt_forgotten,
        sure_too_soon,
        weaker_at_once,
        attempt_waits_for_nothing,
        window_forgotten,
    )
}
