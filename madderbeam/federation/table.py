"""Validates the ownership table's document, and checks whether a table may follow the one in force."""

from __future__ import annotations

import json
import re
from typing import Any

from madderbeam.federation.errors import TableRefused, TableUnfit
from madderbeam.federation.values import MemberRow, Table
from madderbeam.membership.values import MAX_NAME_CHARS, Address, MemberId

MAX_SITES = 40
MAX_MEMBERS = 1_000
MAX_DESTINATIONS = 10_000
MAX_TABLE_NUMBER = 2**31 - 1
MAX_DESTINATION_NUMBER = 2**31 - 1
MAX_TABLE_CHARACTERS = 1_000_000  # characters of a table file
MAX_HOST_CHARACTERS = 253

_NAME = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME_CHARS - 1}}}")
_NUMBER_TEXT = re.compile(r"0|[1-9][0-9]{0,9}")
_KNOWN_FIELDS = {"number", "sites", "owners", "off"}


def parse_table(text: str) -> Table:
    """The table in a file: JSON without duplicate keys. Raises TableUnfit."""
    if len(text) > MAX_TABLE_CHARACTERS:
        raise TableUnfit(f"the file has {len(text)} characters; allowed: at most {MAX_TABLE_CHARACTERS}")
    try:
        return read_table(json.loads(text, object_pairs_hook=_reject_duplicate_keys))
    except (ValueError, RecursionError) as error:
        raise TableUnfit(f"the file is no JSON ({error})") from None


def read_table(document: Any) -> Table:
    """The table of a document in the form of Table.document. Raises TableUnfit with the allowed values."""
    if not isinstance(document, dict):
        raise TableUnfit("the document is no mapping; allowed: number, sites, owners, off")
    unknown = sorted(str(k) for k in document if k not in _KNOWN_FIELDS)
    if unknown:
        raise TableUnfit(f"{unknown[0][:MAX_NAME_CHARS]} is not known; allowed: number, sites, owners, off")
    sites, owners = _read_sites(document.get("sites")), _read_owners(document.get("owners", {}))
    return Table(_read_number(document.get("number")), sites, owners, _read_off(document.get("off", [])))


def parse_member(text: Any, field: str) -> MemberId:
    """The member that the text SITE/NAME identifies. Raises TableUnfit."""
    parts = text.split("/") if isinstance(text, str) else []
    if len(parts) != 2 or not all(_NAME.fullmatch(p) for p in parts):
        raise TableUnfit(f"{field} is {_describe(text)}; allowed: SITE/NAME")
    return MemberId(*parts)


def check_successor(table: Table, in_force: Table) -> TableRefused | None:
    """None if `table` may follow `in_force`, else the reason with the field it concerns."""
    return (
        _check_number(table, in_force)
        or _check_members(table)
        or _check_voters(table, in_force)
        or _check_owners(table, in_force)
        or _check_off(table, in_force)
    )


def voting_sites(table: Table, in_force: Table) -> tuple[str, ...]:
    """The sites whose votes a commit needs, one Paxos instance each: all sites that either table lists,
    except those that the new table drops with all their members off.
    """
    removed = {
        site
        for site in in_force.sites
        if site not in table.sites and set(in_force.members(site)) <= table.decommissioned
    }
    return tuple(sorted((set(in_force.sites) | set(table.sites)) - removed))


def participants(table: Table, in_force: Table, site: str) -> tuple[MemberId, ...]:
    """The members that may vote for a site: its members by the table in force that are not off, or those of
    the new table if none are left.
    """
    remaining = tuple(m for m in in_force.members(site) if m not in table.decommissioned)
    return remaining or table.members(site)


def all_members(*tables: Table) -> tuple[MemberId, ...]:
    """All members of these tables, without duplicates, sorted."""
    return tuple(sorted({m for t in tables for s in t.sites for m in t.members(s)}))


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document: dict[str, Any] = {}
    for key, value in pairs:
        if key in document:
            raise TableUnfit(f"{key[:MAX_NAME_CHARS]} stands twice; allowed: once each")
        document[key] = value
    return document


def _read_sites(document: Any) -> dict[str, tuple[MemberRow, ...]]:
    if not isinstance(document, dict) or not 1 <= len(document) <= MAX_SITES:
        raise TableUnfit(f"sites is {_describe(document)}; allowed: a mapping of 1 to {MAX_SITES} sites")
    sites = {}
    for site, rows in document.items():
        _check_name(site, "the name of a site")
        if not isinstance(rows, dict) or not rows:
            raise TableUnfit(f"sites.{site} is {_describe(rows)}; allowed: a mapping of its members")
        sites[site] = tuple(
            _read_member_row(f"sites.{site}", name, rows[name]) for name in sorted(rows, key=str)
        )
    count = sum(map(len, sites.values()))
    if count > MAX_MEMBERS:
        raise TableUnfit(f"sites has {count} members; allowed: at most {MAX_MEMBERS}")
    return dict(sorted(sites.items()))


def _read_member_row(field: str, name: Any, row: Any) -> MemberRow:
    _check_name(name, f"the name of a member in {field}")
    if not isinstance(row, dict) or not set(row) <= {"address", "votes"}:
        raise TableUnfit(f"{field}.{name} is {_describe(row)}; allowed: a mapping with address and votes")
    votes = row.get("votes", True)
    if not isinstance(votes, bool):
        raise TableUnfit(f"{field}.{name}.votes is {_describe(votes)}; allowed: true, false")
    return MemberRow(name, _read_address(f"{field}.{name}.address", row.get("address")), votes)


def _read_address(field: str, text: Any) -> Address:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    is_valid_host = 0 < len(host) <= MAX_HOST_CHARACTERS and host.isprintable() and " " not in host
    if not colon or not is_valid_host or not _NUMBER_TEXT.fullmatch(port) or not 1 <= int(port) <= 65_535:
        raise TableUnfit(f"{field} is {_describe(text)}; allowed: HOST:PORT with a port from 1 to 65535")
    return host, int(port)


def _read_owners(document: Any) -> dict[int, str]:
    if not isinstance(document, dict) or len(document) > MAX_DESTINATIONS:
        raise TableUnfit(
            f"owners is {_describe(document)}; allowed: a mapping of at most {MAX_DESTINATIONS} destinations"
        )
    owners = {}
    for dest, site in document.items():
        if (
            not isinstance(dest, str)
            or not _NUMBER_TEXT.fullmatch(dest)
            or int(dest) > MAX_DESTINATION_NUMBER
        ):
            raise TableUnfit(
                f"owners has {_describe(dest)}; allowed: numbers as text, 0 to {MAX_DESTINATION_NUMBER}"
            )
        _check_name(site, f"owners.{dest}")
        owners[int(dest)] = site
    return dict(sorted(owners.items()))


def _read_off(document: Any) -> frozenset[MemberId]:
    if not isinstance(document, list) or len(document) > MAX_MEMBERS:
        raise TableUnfit(f"off is {_describe(document)}; allowed: a list of at most {MAX_MEMBERS} members")
    return frozenset(parse_member(m, "off") for m in document)


def _check_name(name: Any, field: str) -> None:
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        allowed = f"1 to {MAX_NAME_CHARS} letters, digits, . _ and -, the first a letter or digit"
        raise TableUnfit(f"{field} is {_describe(name)}; allowed: {allowed}")


def _read_number(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 1 <= value <= MAX_TABLE_NUMBER:
        raise TableUnfit(f"number is {_describe(value)}; allowed: whole numbers from 1 to {MAX_TABLE_NUMBER}")
    return value


def _describe(value: Any) -> str:
    if isinstance(value, (dict, list)):
        return f"a {'mapping' if isinstance(value, dict) else 'list'} of {len(value)}"
    return "not given" if value is None else repr(value)[:80]


def _check_number(table: Table, in_force: Table) -> TableRefused | None:
    if table.number == in_force.number + 1:
        return None
    return TableRefused(f"it is {table.number}, the next one is {in_force.number + 1}", "number")


def _check_members(table: Table) -> TableRefused | None:
    member_by_address: dict[Address, MemberId] = {}
    for site, rows in sorted(table.sites.items()):
        names = [member_row.name for member_row in rows]
        duplicates = (
            sorted({name for name in names if names.count(name) > 1}) if len(set(names)) < len(names) else []
        )
        if duplicates:
            return TableRefused("the member is named twice", f"sites.{site}.{duplicates[0]}")
        for row in rows:
            member_id = MemberId(site, row.name)
            other = member_by_address.setdefault(row.address, member_id)
            if other != member_id:
                address = f"{row.address[0]}:{row.address[1]}"
                return TableRefused(
                    f"{address} is the address of {other} as well", f"sites.{site}.{row.name}"
                )
    return None


def _check_voters(table: Table, in_force: Table) -> TableRefused | None:
    if not table.voters:
        return TableRefused("no member votes: no further table could be agreed", "sites")
    for site, rows in sorted(table.sites.items()):
        previous = in_force.sites.get(site, ())
        if any(r.is_voter for r in previous) and not any(r.is_voter for r in rows):
            return TableRefused("the site loses its last voter", f"sites.{site}")
    return None


def _check_owners(table: Table, in_force: Table) -> TableRefused | None:
    for dest, site in sorted(table.owners.items()):
        if site not in table.sites:
            return TableRefused(f"{site} is not a site of this table", f"owners.{dest}")
    for dest in sorted(in_force.owners):
        if dest not in table.owners:
            return TableRefused(f"it has no owner; {in_force.owners[dest]} was it", f"owners.{dest}")
    return None


def _check_off(table: Table, in_force: Table) -> TableRefused | None:
    previous, current = set(all_members(in_force)), set(all_members(table))
    for removed in sorted(table.decommissioned):
        if removed not in previous:
            return TableRefused(f"it is not a member of table {in_force.number}", f"off.{removed}")
        if removed in current:
            return TableRefused("it still stands under sites", f"off.{removed}")
    return None
