"""Rates that answers tell in load reports count as listed ones, where the list has none.

A courier that learnt each limit by refusals alone refused a third to a half of a calm day at customers that
list no rates, though the answers told the limit.
"""

import json

import pytest
from loopback import answer, courier, settings

from madderbeam import simhost, wire
from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.host.rate_limits import ReportedRates, reported_rate
from madderbeam.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
)
from madderbeam.policy.settings import DestinationKind, MessageClass, Settings
from madderbeam.transport.response_outcomes import load_report

FIELDS = ("x0", "x1")
REPORTS = {"how": "piggyback", "fields": list(FIELDS)}


def unlisted(**more):
    return {**settings(), "weightSource": "none", "report": REPORTS, **more}


def loaded(rate, status=200, **headers):
    return answer(status, X_Server_Load=f"x0=0.5,x1={rate}", **headers)


async def report_comes(fleet, step, kind="plain", raw=None):
    """A courier whose first call is answered so: its lane at the destination."""
    fleet.raw = raw or unlisted()
    endpoint = await fleet.endpoint("a", step, kind=kind, rate=1.0)  # the list's figure means nothing
    client = await fleet.inside()
    lane = fleet.host.courier.state.endpoints[1].scope
    assert lane.listed_rate_per_s == 0
    await client.put("m1")
    await endpoint.call()
    await client.put("m2")  # behind the answer, on the same connection
    await endpoint.call()
    return lane


@courier
async def test_a_rate_in_an_answer_is_this_couriers_part_of_it(fleet):
    assert (await report_comes(fleet, loaded(40))).listed_rate_per_s == 20


@courier
async def test_a_rate_comes_with_a_refusal_too(fleet):
    assert (await report_comes(fleet, loaded(40, 503))).listed_rate_per_s == 20


@courier
async def test_without_such_a_field_in_the_settings_a_header_means_nothing(fleet):
    raw = unlisted(report={"how": "silent", "fields": []})
    assert (await report_comes(fleet, loaded(40), raw=raw)).listed_rate_per_s == 0


@courier
async def test_a_listed_rate_stays_whatever_answers_tell(fleet):
    raw = {**settings(), "report": REPORTS}
    fleet.raw = raw
    endpoint = await fleet.endpoint("a", loaded(40), rate=8.0)
    client = await fleet.inside()
    await client.put("m1")
    await endpoint.call()
    await client.put("m2")
    await endpoint.call()
    assert fleet.host.courier.state.endpoints[1].scope.listed_rate_per_s == 4


@courier
async def test_a_rate_of_next_to_nothing_leaves_calls_that_tell_of_another(fleet):
    # An answer may be garbled, or tell of a moment: with no further call nothing would correct it.
    lane = await report_comes(fleet, loaded("1e-9"), raw=unlisted(groupSize=1))
    assert lane.listed_rate_per_s == 1e-9 and lane.pace_per_s >= 0.2


@courier
async def test_a_rate_that_was_told_outlasts_changes_of_the_list(fleet):
    lane = await report_comes(fleet, loaded(40))
    told_of = fleet.host.registry.apply({"targets": [fleet.discovery.target("b", 1, 7)]})
    assert [entry.rate_per_s for entry, _ in told_of] == [40] and lane.listed_rate_per_s == 20


@pytest.mark.parametrize(
    "text", ["", "x1", "x1=", "x1=many", "x1=nan", "x1=inf", "=", "x0=0.5;x1=4", "x1=-3", "x1=0"]
)
def test_a_report_that_tells_of_no_rate_changes_nothing(text):
    listing = EndpointRegistry(
        Settings((MessageClass("c", 1, 1),), 1, 1, rates_listed=True, load_report_fields=FIELDS),
        ("here",),
        lambda: 0,
    )
    listing.apply(
        {
            "targets": [
                {
                    "uid": "a",
                    "endpoint": "127.0.0.1:1",
                    "az": "here",
                    "model": "any",
                    "pod_group": 7,
                    "state": "in_service",
                }
            ]
        }
    )
    assert listing.apply_load_report(1, load_report({"x-server-load": text})) == []
    assert listing.apply_load_report(99, {"x1": 5.0}) == []  # one that has left the list


def test_a_noisy_report_is_no_news_and_a_lowered_limit_is():
    limits = ReportedRates()
    assert limits.update(7, 10.0)
    assert not any(limits.update(7, rate) for rate in (8.0, 9.0, 11.0, 12.9, 0.0, -1.0)) and limits[7] == 10
    assert limits.update(7, 5.0) and limits[7] == 5 and limits[8] == 0


def test_each_route_apart_has_a_rate_of_its_own():
    kinds = (DestinationKind("apart", limits_per_endpoint=True),)
    s = Settings((MessageClass("c", 1, 1),), 1, 1, kinds=kinds, rates_listed=True, load_report_fields=FIELDS)
    listing = EndpointRegistry(s, ("here",), lambda: 0)
    listing.apply(
        {
            "targets": [
                {
                    "uid": uid,
                    "endpoint": "127.0.0.1:1",
                    "az": "here",
                    "model": "apart",
                    "pod_group": 7,
                    "state": "in_service",
                }
                for uid in "ab"
            ]
        }
    )
    assert [e.endpoint for e in listing.apply_load_report(2, {"x0": 1.0, "x1": 6.0})] == [2]
    listing.forget(2)
    assert not listing.reported_rates.rates


def test_the_simulators_reports_are_heard_alike():
    s = wire.read_settings(json.dumps(unlisted()))
    assert (
        s.rates_listed
        and s.load_report_fields == FIELDS
        and reported_rate(FIELDS, (0.5, 9.0)) == 9
        and reported_rate((), (9.0,)) == 0
    )
    heard = simhost.EndpointList(s)
    entry = EndpointEntry(1, 7, EndpointState.READY, rate_per_s=1.0)
    [listed] = heard.update(EndpointListUpdate(ListUpdateKind.CACHED, (entry,)))
    assert listed.entries[0].rate_per_s == 0
    [news] = heard.update(wire.LoadReport(1, (0.5, 40.0)))
    assert news.kind is ListUpdateKind.DELTA and news.entries[0].rate_per_s == 40
    assert heard.update(wire.LoadReport(1, (0.5, 41.0))) == []


def test_an_answer_on_the_wire_carries_its_report():
    record = bytearray(wire.EVENT_SIZE)
    record[0] = wire.ANSWER
    wire._ANSWER.pack_into(record, 0, 5, 0, 9, 80, 200, 1000, 1, 0, 2, 0.5, 40.0, 0, 0)
    record[0] = wire.ANSWER
    batch = bytes([1]) + b"\0\0\0\1" + bytes(wire.EVENT_SIZE - 5) + bytes(record)
    events = [event for _, event in wire.read_events(batch, 2, {})]
    assert events[0] == wire.LoadReport(wire.endpoint_id(9, 80), (0.5, 40.0))
    assert isinstance(events[1], AttemptEnded)
