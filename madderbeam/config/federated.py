"""What an estate and its partner list say of the federation, held against one another."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from pathlib import Path

from madderbeam.config import model as m
from madderbeam.config.addresses import split_address
from madderbeam.config.report import Report, like, some
from madderbeam.config.sites import first_table, member, site
from madderbeam.config.source import Key, Source

ADDRESS = "HOST:PORT, HOST an IP address that others can reach, PORT from 1 to 65535"
Apps = list[tuple[m.Application, Key]]


@dataclass(frozen=True)
class Row:
    """One member as the estate has it, and where it stands there."""

    site: str
    name: str
    address: str
    at: Key

    def __str__(self) -> str:
        return f"{self.site}/{self.name}"


def rows(estate: m.Estate, source: Source) -> list[Row]:
    """All members of all sites."""
    found = []
    for n, here in zip(source.numbers(("site",), len(estate.site)), estate.site, strict=False):
        at: Key = ("site", n, "member")
        numbered = zip(source.numbers(at, len(here.member)), here.member, strict=False)
        found += [Row(here.name, row.name, row.address, (*at, k)) for k, row in numbered]
    return found


def federated(
    estate: m.Estate,
    apps: Apps,
    partners: m.Partners | None,
    folder: Path,
    source: Source,
    listed: Source | None,
    report: Report,
) -> None:
    """Tell all mistakes; `listed` is the partner list's file, where it could be read."""
    told = estate.federation
    if told is None:
        if "federation" not in source.raw:  # one that can't be used was told already
            _off(estate, apps, source, report)
        return
    known = rows(estate, source)
    _sites(estate, known, source, report)
    _figures(told, apps, source, report)
    _members(told, apps, known, source, report)
    _alike(apps, source, report)
    if partners is not None and listed is not None:
        _partners(estate, partners, listed, report)
        _reached(estate, apps, partners, source, report)
        if told.table_file is not None:
            _table_file(folder / told.table_file, source, report)
        if not report.problems:
            _first(estate, partners, source, report)


def mesh_listeners(estate: m.Estate, apps: Apps, source: Source) -> list[tuple[m.Application, Key, str]]:
    """Where other members' datagrams and streams come in: the application, the address and its place."""
    if estate.federation is None:
        return []
    own = {r.name: r for r in rows(estate, source) if r.site == estate.federation.site}
    found = []
    for app, at in apps:
        row = own.pop(member(app), None)  # one that two claim was told there
        if app.mesh_listen is not None and split_address(app.mesh_listen) is not None:
            found.append((app, (*at, "mesh_listen"), app.mesh_listen))
        elif app.mesh_listen is None and row is not None and split_address(row.address) is not None:
            found.append((app, (*row.at, "address"), row.address))
    return found


def _off(estate: m.Estate, apps: Apps, source: Source, report: Report) -> None:
    """What would do nothing."""
    allowed = "with [federation], its name and site"
    if estate.site:
        report.add(source, ("site", source.numbers(("site",), 1)[0]), "a site without a federation", allowed)
    for app, at in apps:
        for name in ("member", "mesh_listen", "via"):
            if getattr(app, name) and (*at, name) in source.lines:
                report.add(source, (*at, name), f"{name} without a federation", allowed)
    if ("defaults", "via") in source.lines:
        report.add(source, ("defaults", "via"), "via without a federation", allowed)


def _sites(estate: m.Estate, known: list[Row], source: Source, report: Report) -> None:
    assert estate.federation is not None
    names: list[str] = []
    for n, here in zip(source.numbers(("site",), len(estate.site)), estate.site, strict=False):
        if here.name in names:
            report.add(source, ("site", n, "name"), f"{here.name!r} stands twice", "each once")
        names.append(here.name)
    if estate.federation.site not in names:
        report.add(
            source,
            ("federation", "site"),
            f"no site {estate.federation.site!r}",
            some(names),
            like(estate.federation.site, names),
        )
    seen: dict[tuple[str, str], Row] = {}
    taken: dict[tuple[str, int], Row] = {}
    for row in known:
        if (row.site, row.name) in seen:
            report.add(source, (*row.at, "name"), f"{row.site} has {row.name!r} twice", "each once")
        seen.setdefault((row.site, row.name), row)
        address = _address(row.address)
        if address is None:
            report.add(source, (*row.at, "address"), f"can't be {row.address!r}", ADDRESS)
        elif address in taken:
            report.add(
                source,
                (*row.at, "address"),
                f"{taken[address]} has the address {row.address}",
                "an address that no other member has",
            )
        else:
            taken[address] = row
    _voters(estate, source, report)


def _voters(estate: m.Estate, source: Source, report: Report) -> None:
    votes = sum(row.votes for s in estate.site for row in s.member)
    if not votes:
        report.add(
            source,
            ("site",) if estate.site else ("federation",),
            "no member votes",
            "a [[site]] with a member that does, at least",
        )
    elif votes < 3:
        report.warn(
            source,
            ("site",),
            f"{votes} member{'s' * (votes > 1)} with a vote: if one of them is "
            "lost no further table can be agreed on; three outlast the loss of one",
        )


def _address(text: str, everywhere: bool = False) -> tuple[str, int] | None:
    """An address in digits, in one form; `everywhere`: also one that stands for all of a machine's."""
    split = split_address(text)
    try:
        host = ipaddress.ip_address(split[0]) if split else None
    except ValueError:
        return None
    if split is None or host is None or (host.is_unspecified and not everywhere) or host.is_multicast:
        return None
    return str(host), split[1]


def _figures(told: m.Federation, apps: Apps, source: Source, report: Report) -> None:
    at: Key = ("federation",)
    if told.probe_timeout_ms >= told.probe_period_ms:
        report.add(
            source,
            (*at, "probe_timeout_ms"),
            f"probe_timeout_ms {told.probe_timeout_ms} is not under probe_period_ms {told.probe_period_ms}",
            f"a whole number from 10 to {told.probe_period_ms - 1}",
        )
    least, name = min((app.max_wait_ms, app.name) for app, _ in apps)
    if told.wait_told_ms > least:
        report.add(
            source,
            (*at, "wait_told_ms"),
            f"wait_told_ms {told.wait_told_ms} is over max_wait_ms {least} of {name}",
            f"a whole number from 10 to {least}" if least >= 10 else "with max_wait_ms from 10",
        )
    for name, most, theirs in (
        ("backlog_messages", min(a.max_held for a, _ in apps), "max_held"),
        ("backlog_mb", min(a.disk_mb for a, _ in apps), "disk_mb"),
    ):
        given = getattr(told, name)
        if given is not None and given > most:
            report.add(
                source,
                (*at, name),
                f"{name} {given:g} is over {theirs} {most:g}",
                f"at most {most:g}: it is a part of that",
            )


def _members(told: m.Federation, apps: Apps, known: list[Row], source: Source, report: Report) -> None:
    own = [r.name for r in known if r.site == told.site]
    everyone = [str(r) for r in known]
    whose: dict[str, str] = {}
    for app, at in apps:
        me = member(app)
        place = (*at, "member" if app.member else "name")
        if me not in own:
            report.add(source, place, f"no member {me!r} of {told.site}", some(own), like(me, own))
        elif me in whose:
            report.add(source, place, f"{whose[me]} is the member {me!r}", "one member an application")
        whose.setdefault(me, app.name)
        if app.mesh_listen is not None and _address(app.mesh_listen, True) is None:
            report.add(
                source,
                (*at, "mesh_listen"),
                f"can't be {app.mesh_listen!r}",
                "HOST:PORT, HOST an IP address, PORT from 1 to 65535",
            )
        if app.control is None:
            report.warn(
                source,
                at,
                f"{app.name} has no second address (control): its view of the federation "
                "can't be read, and no table be offered there",
            )
        _via(
            app,
            (*at, "via") if (*at, "via") in source.lines else ("defaults", "via"),
            f"{told.site}/{me}",
            everyone,
            source,
            report,
        )


def _via(app: m.Application, at: Key, me: str, everyone: list[str], source: Source, report: Report) -> None:
    taken: dict[tuple[str, int], str] = {}
    for name, text in app.via.items():
        here = (*at, name)
        if name not in everyone:
            report.add(source, here, f"no member {name!r}", some(everyone), like(name, everyone))
        if name == me and at[0] != "defaults":
            report.add(source, here, f"{name} is {app.name} itself", "other members")
        address = _address(text)
        if address is None:
            report.add(source, here, f"can't be {text!r}", ADDRESS)
        elif address in taken:
            report.add(source, here, f"{taken[address]} has the address {text}", "one member an address")
        else:
            taken[address] = name


def _alike(apps: Apps, source: Source, report: Report) -> None:
    """A site's members take each other's streams over, so each must take on what the others do."""
    first = apps[0][0]
    for app, at in apps[1:]:
        for name in ("classes", "tenants", "partners"):
            if set(getattr(app, name)) != set(getattr(first, name)):
                report.add(
                    source,
                    (*at, name) if (*at, name) in source.lines else at,
                    f"{name} are not those of {first.name}, whose streams it may have to take over",
                    f"the same {name} for all members of a site",
                )


def _partners(estate: m.Estate, partners: m.Partners, listed: Source, report: Report) -> None:
    from madderbeam.federation.table import MAX_DESTINATION_NUMBER

    names = [s.name for s in estate.site]
    numbers = listed.numbers(("partner",), len(partners.partner))
    for n, partner in zip(numbers, partners.partner, strict=False):
        at: Key = ("partner", n)
        if partner.site is None and len(names) > 1:
            report.add(
                listed,
                (*at, "site"),
                "lacks: with several sites it is to be said, the same at all",
                some(names),
            )
        elif partner.site is not None and partner.site not in names:
            report.add(
                listed, (*at, "site"), f"no site {partner.site!r}", some(names), like(partner.site, names)
            )
        if partner.number > MAX_DESTINATION_NUMBER:
            report.add(
                listed,
                (*at, "number"),
                f"{partner.number} is over what a table takes",
                f"a whole number from 0 to {MAX_DESTINATION_NUMBER}",
            )
        for k, topic in enumerate(partner.topics):
            if topic in partner.topics[:k]:
                report.add(listed, (*at, "topics", k), f"{topic!r} stands twice", "each once")


def _reached(estate: m.Estate, apps: Apps, partners: m.Partners, source: Source, report: Report) -> None:
    """Each member serves all partners of its site."""
    assert estate.federation is not None
    served = [p.name for p in partners.partner if site(p, estate) == estate.federation.site]
    for app, at in apps:
        lacking = [name for name in served if app.partners and name not in app.partners]
        if lacking:
            report.add(
                source,
                (*at, "partners"),
                f"{estate.federation.site} serves {some(lacking)} as well",
                "all partners that the site serves, or none named, which stands for all",
            )


def _table_file(path: Path, source: Source, report: Report) -> None:
    """One that is there already is a table."""
    from madderbeam.federation.errors import TableUnfit
    from madderbeam.federation.table import MAX_TABLE_CHARACTERS, parse_table

    try:
        with path.open(encoding="utf-8") as file:
            parse_table(file.read(MAX_TABLE_CHARACTERS + 1))
    except FileNotFoundError:
        return  # it may come later
    except (OSError, UnicodeDecodeError) as error:
        report.add(source, ("federation", "table_file"), f"{path} cannot be read: {error}", "a table as JSON")
    except TableUnfit as error:
        text = error.what if "; allowed: " in error.what else f"{error.what}; allowed: a table as JSON"
        wrong, _, allowed = text.rpartition("; allowed: ")
        report.add(source, ("federation", "table_file"), f"{path}: {wrong}", allowed)


def _first(estate: m.Estate, partners: m.Partners, source: Source, report: Report) -> None:
    """The first table is one that members can read: its bounds are the table's own."""
    from madderbeam.federation.errors import TableUnfit
    from madderbeam.federation.table import read_table

    try:
        read_table(first_table(estate, partners).document())
    except TableUnfit as error:
        wrong, _, allowed = error.what.rpartition("; allowed: ")
        report.add(source, ("site",), f"the first table: {wrong}", allowed)
