"""What can go wrong between an owner and its standby: each has a code, what happened, what to do about it.

A leaf. Logged and answered in the same words; docs/operators/standby.md lists all codes.
"""

from __future__ import annotations


class StandbyError(Exception):
    """What happened is the text; `code` is stable, `advice` one sentence on what an operator can do."""

    code = "standby"
    advice = ""

    def __init__(self, what: str) -> None:
        super().__init__(what)
        self.what = what

    def line(self) -> str:
        """As it is logged and answered."""
        return f"{type(self).__name__} ({self.code}): {self.what}; {self.advice}"


class KeyUnfit(StandbyError):
    """The file of keys can't be used."""

    code = "key-unfit"
    advice = "write lines of a name and at least 32 hex digits, the key to speak with first"


class NotProven(StandbyError):
    """The other side does not know a key that this side has."""

    code = "not-proven"
    advice = "bring a key that both have into both files of keys"


class Unlike(StandbyError):
    """The two couriers' settings differ where a message's record depends on them."""

    code = "unlike"
    advice = "give both couriers the same classes, tenants and partners, and the standby as much disk_mb"


class Ahead(StandbyError):
    """The standby holds records that the owner lacks."""

    code = "ahead"
    advice = (
        "the owner's folder has lost what it wrote: promote the standby, or, to go on from the "
        "owner's, set the standby's folder aside"
    )


class Diverged(StandbyError):
    """The standby's folder is no earlier state of the owner's."""

    code = "diverged"
    advice = "stop the standby, set its state folder aside, and start it: it catches up from nothing"


class Gap(StandbyError):
    """Records that the standby was sent do not follow on those that it has."""

    code = "gap"
    advice = "nothing, if it does not repeat: the stream begins anew from what the standby has"


class Silent(StandbyError):
    """No word of the standby came in time."""

    code = "silent"
    advice = "look whether the standby runs, its disk has room, and the network between the two is whole"


class Fenced(StandbyError):
    """The standby was promoted: this courier may do nothing more."""

    code = "fenced"
    advice = "its messages are the other courier's now: set the state folder aside before it is used again"


class NeverWhole(StandbyError):
    """The standby has not yet had all that its owner held."""

    code = "never-whole"
    advice = "let it catch up with its owner once; what it has by now is not all that was taken on"


class DiskFull(StandbyError):
    """The standby's disk does not take what it is sent."""

    code = "standby-disk"
    advice = "make room on the standby's disk; the owner goes by its setting `silent` until then"


ALL = (KeyUnfit, NotProven, Unlike, Ahead, Diverged, Gap, Silent, Fenced, NeverWhole, DiskFull)
