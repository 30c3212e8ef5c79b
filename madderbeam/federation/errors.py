"""Errors between the members of a federation. Each has a stable code, a description and an advice to the
operator.

This module has no dependencies, so membership, relay and federation can all import it. The same text is
logged and sent in replies. The operators' page lists all codes; a test compares it with this file.
"""

from __future__ import annotations


class FederationError(Exception):
    """The text says what happened; `code` is stable; `advice` is one sentence on what an operator can do."""

    code = "federation"
    advice = ""

    def __init__(self, what: str) -> None:
        super().__init__(what)
        self.what = what

    def line(self) -> str:
        """The text that is logged and sent in replies: class, code, description and advice."""
        return f"{type(self).__name__} ({self.code}): {self.what}; {self.advice}"


# Table and agreement


class TableUnfit(FederationError):
    """The document is not a valid table: a field is missing, unknown or out of range."""

    code = "table-unfit"
    advice = "correct the field named here in the table's file and offer it again"


class TableRefused(FederationError):
    """The table cannot follow the one in force, or a site cannot serve by it."""

    code = "table-refused"
    advice = "correct what is named here, at the site or in the table, and offer the table again"

    def __init__(self, what: str, place: str = "") -> None:
        super().__init__(f"{place}: {what}" if place else what)
        self.place = place


class NotAllStaged(FederationError):
    """A site did not vote on a table in time, so the table was rejected."""

    code = "not-all-staged"
    advice = "wait until the site answers, or offer a table without it that names its members as off"


class Superseded(FederationError):
    """Another table was agreed first, or was proposed after this one."""

    code = "superseded"
    advice = "see which table is in force and offer this content again under the next number"


class NoMajority(FederationError):
    """Too few voters of the table in force reply: no table can be agreed from here."""

    code = "no-majority"
    advice = "bring voters back or mend the way to them; tables are agreed where a majority of voters is"


class TablesDiffer(FederationError):
    """Two members have different tables with the same number: they started with different first tables."""

    code = "tables-differ"
    advice = "give all members the same first table and start those that differ with an empty folder"


class FolderOlder(FederationError):
    """This member's state is older than what other members have seen of it: it was restored from a copy."""

    code = "folder-older"
    advice = "give it the newer folder, or say that it is trusted once no other process runs as this member"


class WordUnwritten(FederationError):
    """A member could not write a proposed table to its disk, so its site rejected the table."""

    code = "word-unwritten"
    advice = "make room on the disk of the member named here, or mend it, and offer the table again"


# Membership


class RumourRefused(FederationError):
    """A member's gossip entries are more or larger than other members store for it."""

    code = "rumour-refused"
    advice = "let this member say less (fewer topics or subscriptions), or raise the bound in its settings"


class MembersFull(FederationError):
    """There are more members, or more that are gone, than one member stores."""

    code = "members-full"
    advice = "raise members_most, or look for members that start under ever new names"


# Relay


class NoOwner(FederationError):
    """No table lists the destination."""

    code = "no-owner"
    advice = "name the destination in the table under the site that serves it, or correct the client"


class PublicationTooLarge(FederationError):
    """The body of the publication exceeds the maximum size of an entry."""

    code = "publication-too-large"
    advice = "have the client send a smaller body, or a reference to where it lies"


class SiteAway(FederationError):
    """No member of a site can be reached, and the queue for that site has reached its limit.

    `after_us`: the time after which to retry.
    """

    code = "site-away"
    advice = "see why its members are away; publications for other sites go on"

    def __init__(self, what: str, after_us: int) -> None:
        super().__init__(what)
        self.after_us = after_us


class StreamFull(SiteAway):
    """A site accepts entries more slowly than they arrive, and its queue here has reached its limit."""

    code = "stream-full"
    advice = "see what the site's relay and partners wait for, or give it more couriers"


class DeliveriesLost(FederationError):
    """The outcomes of some deliveries of a publication are unknown: the process that had them was lost, or a
    site cannot be reached.
    """

    code = "deliveries-lost"
    advice = "the log names publication, site and destinations; ask their partners whether it came"


# Switch-over, leases and the inquiry


class ReleaseMissing(FederationError):
    """A member of the previous owner has not released a destination that this site is to serve."""

    code = "release-missing"
    advice = "wait until it is back and lets go, or call it off if it is gone for good"


class LeaseLost(FederationError):
    """No majority of the voters renews this member's lease: it makes no calls."""

    code = "lease-lost"
    advice = "bring back the voters that are silent or mend the way to them; calls go on by themselves then"


class LeftOut(FederationError):
    """The table in force does not list this member, or an operator declared it gone: it serves nothing."""

    code = "left-out"
    advice = "stop it, or propose a table that names it (and not under off)"


class NoWord(FederationError):
    """After a start or a pause, no majority of the voters has reported which table is in force."""

    code = "no-word"
    advice = "start the voters that are silent or mend the way to them; what another site could serve waits"


class NotInForce(FederationError):
    """An agreed table cannot be put in force at this member."""

    code = "not-in-force"
    advice = "see that the disk takes writes and that a voter with all newer tables can be reached"


# Shared


class NewsRefused(FederationError):
    """Another member reported something about a partner that is invalid, or valid for longer than allowed."""

    code = "news-refused"
    advice = "look at the member named here: its clock, its version, or what its partner tells it"


class OutAlone(FederationError):
    """Only this member finds a destination unavailable: others get replies from it, or do not call it."""

    code = "out-alone"
    advice = "see whether the partner refuses this machine's address, and the way from here to it"


# Shared


class LimitsUnshared(FederationError):
    """No majority of the site's members confirms a lease grantor, so each member has only its minimum share
    of the limits.
    """

    code = "limits-unshared"
    advice = "start the site's members that are silent or mend the way to them; more than half are needed"


class LimitsMany(FederationError):
    """More endpoints or quotas are limited than can be shared: couriers get equal parts of the others."""

    code = "limits-many"
    advice = "limit fewer endpoints or quotas, or leave it so: each courier has its equal part of the rest"


class LimitUnfit(FederationError):
    """A limit or a reported need is invalid, or exceeds the number of limits that are stored."""

    code = "limit-unfit"
    advice = "correct the limit named here; until then what was known of it before counts"
