"""What can go wrong between members: each error has a code, what happened, and what an operator can do.

A leaf: membership, relay and federation import it, it imports nothing. Logged and answered in the same words;
the operators' page lists all codes, held to this file by a test.
"""

from __future__ import annotations


class FederationError(Exception):
    """What happened is the text; `code` is stable, `advice` one sentence on what an operator can do."""

    code = "federation"
    advice = ""

    def __init__(self, what: str) -> None:
        super().__init__(what)
        self.what = what

    def line(self) -> str:
        """As it is logged and answered."""
        return f"{type(self).__name__} ({self.code}): {self.what}; {self.advice}"


# Table and agreement


class TableUnfit(FederationError):
    """A document that is no table: a field is missing, unknown or out of bounds."""

    code = "table-unfit"
    advice = "correct the field named here in the table's file and offer it again"


class TableRefused(FederationError):
    """A table that may not follow the one in force, or that a site cannot serve by."""

    code = "table-refused"
    advice = "correct what is named here, at the site or in the table, and offer the table again"

    def __init__(self, what: str, place: str = "") -> None:
        super().__init__(f"{place}: {what}" if place else what)
        self.place = place


class NotAllStaged(FederationError):
    """A site gave no word on a table in time, so that it was turned down."""

    code = "not-all-staged"
    advice = "wait until the site answers, or offer a table without it that names its members as off"


class Superseded(FederationError):
    """Another table came first, or was offered after this one."""

    code = "superseded"
    advice = "see which table is in force and offer this content again under the next number"


class NoMajority(FederationError):
    """Too few voters of the table in force answer: nothing can be agreed here."""

    code = "no-majority"
    advice = "bring voters back or mend the way to them; tables are agreed where a majority of voters is"


class TablesDiffer(FederationError):
    """Two members hold different tables under one number: their first tables were not the same."""

    code = "tables-differ"
    advice = "give all members the same first table and start those that differ with an empty folder"


class FolderOlder(FederationError):
    """This member has said more than its folder knows: the folder was restored from a copy."""

    code = "folder-older"
    advice = "give it the newer folder, or say that it is trusted once no other process runs as this member"


class WordUnwritten(FederationError):
    """A site's disk did not take a table, so that the site turned it down."""

    code = "word-unwritten"
    advice = "make room on the disk of the member named here, or mend it, and offer the table again"


# Membership


class RumourRefused(FederationError):
    """A member says more, or in larger pieces, than others keep for it."""

    code = "rumour-refused"
    advice = "let this member say less (fewer topics or subscriptions), or raise the bound in its settings"


class MembersFull(FederationError):
    """There are more members, or more that are gone, than one member remembers."""

    code = "members-full"
    advice = "raise members_most, or look for members that start under ever new names"


# Relay


class NoOwner(FederationError):
    """The destination stands in no table."""

    code = "no-owner"
    advice = "name the destination in the table under the site that serves it, or correct the client"


class PublicationTooLarge(FederationError):
    """Its body is beyond what an entry may hold."""

    code = "publication-too-large"
    advice = "have the client send a smaller body, or a reference to where it lies"


class SiteAway(FederationError):
    """A site has no member that can be reached, and has its share of what may wait for it. `after_us`: come
    again."""

    code = "site-away"
    advice = "see why its members are away; publications for other sites go on"

    def __init__(self, what: str, after_us: int) -> None:
        super().__init__(what)
        self.after_us = after_us


class StreamFull(SiteAway):
    """A site takes entries on more slowly than they come, and has its share of what may wait for it."""

    code = "stream-full"
    advice = "see what the site's relay and partners wait for, or give it more couriers"


class DeliveriesLost(FederationError):
    """Ends of a publication's deliveries are not known: a process was lost with them, or a site is away."""

    code = "deliveries-lost"
    advice = "the log names publication, site and destinations; ask their partners whether it came"


# Switch-over, leases and the inquiry


class ReleaseMissing(FederationError):
    """A member of the old owner has not released a destination that this site is to serve."""

    code = "release-missing"
    advice = "wait until it is back and lets go, or call it off if it is gone for good"


class LeaseLost(FederationError):
    """No majority of the voters renews this member's lease: it makes no calls."""

    code = "lease-lost"
    advice = "bring back the voters that are silent or mend the way to them; calls go on by themselves then"


class LeftOut(FederationError):
    """The table in force does not name this member, or it was called off: it serves nothing."""

    code = "left-out"
    advice = "stop it, or propose a table that names it (and not under off)"


class NoWord(FederationError):
    """After a start or a pause no majority of the voters has told what is in force."""

    code = "no-word"
    advice = "start the voters that are silent or mend the way to them; what another site could serve waits"


class NotInForce(FederationError):
    """An agreed table can't be put in force here."""

    code = "not-in-force"
    advice = "see that the disk takes writes and that a voter with all newer tables can be reached"


# Shared


class NewsRefused(FederationError):
    """Another member told something of a partner that can't be, or that holds longer than anything may."""

    code = "news-refused"
    advice = "look at the member named here: its clock, its version, or what its partner tells it"


class OutAlone(FederationError):
    """This member alone finds a destination out: others are answered there, or do not call it."""

    code = "out-alone"
    advice = "see whether the partner refuses this machine's address, and the way from here to it"


# Shared


class LimitsUnshared(FederationError):
    """No majority of the site's members confirms a granter, so that each has a floor of the limits only."""

    code = "limits-unshared"
    advice = "start the site's members that are silent or mend the way to them; more than half are needed"


class LimitsMany(FederationError):
    """More endpoints or quotas are limited than are shared: those left out keep equal parts."""

    code = "limits-many"
    advice = "limit fewer endpoints or quotas, or leave it so: each courier has its equal part of the rest"


class LimitUnfit(FederationError):
    """A limit or a need that is no such, or one limit more than are kept."""

    code = "limit-unfit"
    advice = "correct the limit named here; until then what was known of it before counts"
