"""Replication errors: each has a code, a text and advice for the operator.

This module imports no other. Logs and replies use the same texts; docs/operators/standby.md lists all codes.
"""

from __future__ import annotations


class StandbyError(Exception):
    """Base of all errors here; `code` is stable, `advice` one sentence on what an operator can do."""

    code = "standby"
    advice = ""

    def __init__(self, what: str) -> None:
        super().__init__(what)
        self.what = what

    def line(self) -> str:
        """The line that is logged and sent in replies."""
        return f"{type(self).__name__} ({self.code}): {self.what}; {self.advice}"


class KeyUnfit(StandbyError):
    """The key file cannot be used."""

    code = "key-unfit"
    advice = "write lines of a name and at least 32 hex digits, the key to speak with first"


class NotProven(StandbyError):
    """The other side did not authenticate with a key of this side."""

    code = "not-proven"
    advice = "bring a key that both have into both files of keys"


class Unlike(StandbyError):
    """The two couriers differ in settings that the journal's records depend on."""

    code = "unlike"
    advice = "give both couriers the same classes, tenants and partners, and the standby as much disk_mb"


class OtherOwner(StandbyError):
    """The standby belongs to another primary."""

    code = "other-owner"
    advice = "give `to` the address of this courier's own standby, or set that standby's folders aside"


class Ahead(StandbyError):
    """The standby has records that the primary lacks."""

    code = "ahead"
    advice = (
        "the owner's folder has lost what it wrote: promote the standby, or, to go on from the "
        "owner's, set the standby's folder aside"
    )


class Diverged(StandbyError):
    """The standby's copy is not an earlier state of the primary's journal."""

    code = "diverged"
    advice = "stop the standby, set its state folder aside, and start it: it catches up from nothing"


class Gap(StandbyError):
    """Received records do not continue those that the standby has."""

    code = "gap"
    advice = "nothing, if it does not repeat: the stream begins anew from what the standby has"


class Silent(StandbyError):
    """No message of the standby arrived in time."""

    code = "silent"
    advice = "look whether the standby runs, its disk has room, and the network between the two is whole"


class Fenced(StandbyError):
    """The standby was promoted: this courier must stop all effects."""

    code = "fenced"
    advice = "its messages are the other courier's now: set the state folder aside before it is used again"


class NeverWhole(StandbyError):
    """The standby's copy has never been complete."""

    code = "never-whole"
    advice = "let it catch up with its owner once; what it has by now is not all that was taken on"


class DiskFull(StandbyError):
    """The standby's disk rejects the replicated data."""

    code = "standby-disk"
    advice = "make room on the standby's disk; the owner goes by its setting `silent` until then"


ALL = (KeyUnfit, NotProven, Unlike, OtherOwner, Ahead, Diverged, Gap, Silent, Fenced, NeverWhole, DiskFull)
