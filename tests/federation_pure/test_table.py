"""The table's document is parsed strictly; a table that may not follow is rejected by field."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from madderbeam.federation.errors import TableUnfit
from madderbeam.federation.table import check_successor, parse_table, participants, read_table, voting_sites
from madderbeam.federation.values import MemberRow, Table
from madderbeam.membership.values import MemberId


def first_document() -> dict:
    return {
        "number": 1,
        "sites": {
            "macon": {"m1": {"address": "10.0.0.1:7000", "votes": True}, "m2": {"address": "10.0.0.2:7000"}},
            "savannah": {"m1": {"address": "10.0.1.1:7000"}},
        },
        "owners": {"1": "macon", "2": "savannah"},
    }


def second_table(**changed) -> Table:
    return read_table({**first_document(), "number": 2, **changed})


def test_a_document_is_read_back_as_written():
    table = read_table({**first_document(), "off": ["x/y"]})
    assert read_table(table.document()) == table
    assert parse_table(json.dumps(table.document())) == table
    assert table.voters == (MemberId("macon", "m1"), MemberId("macon", "m2"), MemberId("savannah", "m1"))


def sites(**macon) -> dict:
    return {"sites": {"macon": {"m1": {"address": "10.0.0.1:7000", **macon}}}}


MALFORMED = [
    ({"number": 0}, "number is 0; allowed: whole numbers"),
    ({"number": True}, "number is True"),
    ({"number": None}, "number is not given"),
    ({"colour": "red"}, "colour is not known; allowed: number, sites, owners, off"),
    ({"sites": {}}, "sites is a mapping of 0; allowed: a mapping of 1 to 40"),
    ({"sites": {f"s{i}": {"m": {"address": f"h:{i + 1}"}} for i in range(41)}}, "sites is a mapping of 41"),
    ({"sites": {"s": {f"m{i}": {"address": f"h:{i + 1}"} for i in range(1001)}}}, "1001 members"),
    ({"sites": {"ma con": {}}}, "the name of a site is 'ma con'"),
    ({"sites": {"s" * 65: {}}}, "the name of a site"),
    ({"sites": {"macon": {}}}, "sites.macon is a mapping of 0"),
    (sites(address="10.0.0.1"), "sites.macon.m1.address is '10.0.0.1'; allowed: HOST:PORT"),
    (sites(address="h:70000"), "port from 1 to 65535"),
    (sites(votes="yes"), "sites.macon.m1.votes is 'yes'; allowed: true, false"),
    (sites(colour=1), "sites.macon.m1 is a mapping of 2; allowed"),
    ({"owners": {"x": "macon"}}, "owners has 'x'"),
    ({"owners": {1: "macon"}}, "owners has 1"),
    ({"owners": {"1": 7}}, "owners.1 is 7"),
    ({"owners": {str(i): "macon" for i in range(10_001)}}, "at most 10000 destinations"),
    ({"off": ["macon"]}, "off is 'macon'; allowed: SITE/NAME"),
    ({"off": "macon/m1"}, "off is 'macon/m1'; allowed: a list"),
]


@pytest.mark.parametrize(("changed", "message"), MALFORMED, ids=[t for _, t in MALFORMED])
def test_malformed_documents_are_rejected_with_field_and_allowed_values(changed, message):
    with pytest.raises(TableUnfit) as caught:
        read_table({**first_document(), **changed})
    assert message in str(caught.value) and "\n" not in str(caught.value)


def test_a_destination_with_two_owners_in_a_file_is_rejected():
    text = json.dumps(first_document()).replace('"2": "savannah"', '"1": "savannah"')
    with pytest.raises(TableUnfit, match="1 stands twice"):
        parse_table(text)
    with pytest.raises(TableUnfit, match="no JSON"):
        parse_table("{")


def sites_without(document: dict, site: str) -> dict:
    return {s: rows for s, rows in document["sites"].items() if s != site}


SAVANNAH = {"m1": {"address": "10.0.0.2:7000"}}
REJECTED = [
    ({"number": 3}, "number", "the next one is 2"),
    ({"owners": {"1": "macon", "2": "atlanta"}}, "owners.2", "atlanta is not a site"),
    ({"owners": {"1": "macon"}}, "owners.2", "no owner; savannah was it"),
    (
        {"sites": {**first_document()["sites"], "savannah": SAVANNAH}},
        "sites.savannah.m1",
        "address of macon/m2",
    ),
    (
        {
            "sites": {
                **first_document()["sites"],
                "savannah": {"m1": {"address": "10.0.1.1:7000", "votes": False}},
            }
        },
        "sites.savannah",
        "loses its last voter",
    ),
    ({"off": ["macon/m9"]}, "off.macon/m9", "not a member of table 1"),
    ({"off": ["macon/m2"]}, "off.macon/m2", "still stands"),
]


@pytest.mark.parametrize(("changed", "place", "message"), REJECTED, ids=[p + " " + t for _, p, t in REJECTED])
def test_a_table_that_may_not_follow_is_rejected_with_the_place(changed, place, message):
    refused = check_successor(second_table(**changed), read_table(first_document()))
    assert refused is not None and refused.place == place and message in str(refused)


def test_no_voter_and_a_duplicated_member_are_rejected():
    previous = read_table(first_document())
    non_voting = {s: tuple(replace(r, is_voter=False) for r in rows) for s, rows in previous.sites.items()}
    assert "no member votes" in str(check_successor(replace(previous, number=2, sites=non_voting), previous))
    duplicated = {**previous.sites, "macon": (*previous.sites["macon"], MemberRow("m1", ("10.0.0.9", 1)))}
    assert check_successor(replace(previous, number=2, sites=duplicated), previous).place == "sites.macon.m1"


def test_a_site_all_of_whose_members_are_off_has_no_vote():
    previous = read_table(first_document())
    table = second_table(
        sites=sites_without(first_document(), "savannah"), owners={"1": "macon", "2": "macon"}
    )
    assert voting_sites(table, previous) == ("macon", "savannah")
    off = replace(table, decommissioned=frozenset({MemberId("savannah", "m1")}))
    assert check_successor(off, previous) is None and voting_sites(off, previous) == ("macon",)
    assert participants(
        replace(second_table(), decommissioned=frozenset({MemberId("macon", "m1")})), previous, "macon"
    ) == (MemberId("macon", "m2"),)
    moved = second_table(sites={"macon": {"m3": {"address": "10.0.0.3:7000"}}}, off=["macon/m1", "macon/m2"])
    assert participants(moved, previous, "macon") == (MemberId("macon", "m3"),)
