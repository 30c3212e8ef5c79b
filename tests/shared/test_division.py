"""Division: no more than the total, by need and weight, the floor in any case; and rows and their bounds."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from madderbeam.shared import lease_messages as messages
from madderbeam.shared.division import Claim, damped, divide

number = st.floats(0, 1e6, allow_subnormal=False)
wants = st.lists(st.builds(Claim, st.floats(0, 10), number, st.floats(0.01, 100)), min_size=1, max_size=8)


@given(number, wants)
def test_shares_add_up_to_the_total_and_are_at_least_the_floors(total, wants):
    parts = divide(total, dict(enumerate(wants)))
    floors = sum(w.floor for w in wants)
    assert sum(parts.values()) == pytest.approx(max(total, floors), rel=1e-9, abs=1e-6)
    assert all(parts[n] >= w.floor for n, w in enumerate(wants))


@given(number, wants)
def test_an_unmet_claim_has_at_least_as_much_per_weight_as_any_above_its_floor(total, wants):
    parts = divide(total, dict(enumerate(wants)))
    lacking = [parts[n] / w.weight for n, w in enumerate(wants) if parts[n] < w.need * (1 - 1e-9) - 1e-6]
    above = [parts[n] / w.weight for n, w in enumerate(wants) if parts[n] > w.floor * (1 + 1e-9) + 1e-6]
    if lacking and above:
        assert min(lacking) >= max(above) * (1 - 1e-6) - 1e-6


def test_weights_count():
    parts = divide(90.0, {"a": Claim(1, 100, 1), "b": Claim(1, 100, 2), "c": Claim(1, 5, 9)})
    assert parts == {"a": pytest.approx(85 / 3), "b": pytest.approx(170 / 3), "c": 5}


def test_a_share_falls_in_steps_and_small_changes_are_skipped():
    assert damped(100, 50, 0.5, 0.02) == 75
    assert damped(50, 100, 0.5, 0.02) == 100
    assert damped(100, 101, 0.5, 0.02) == 100


def test_messages_are_read_back_from_their_rows():
    holding = messages.Holding("rate/1", 3.0, 1.5, 2.0, 70)
    for message in (
        messages.TermRequest(1, 2, 3, 4, messages.MemberBitmap(5, b"\x03")),
        messages.TermReply(0, 2, 3, True, 4, 5, messages.MemberBitmap(), (holding,)),
        messages.TermRejected(0, 1, 2, 3),
        messages.Grant(0, 1, 2, 3, 4, (("rate/1", 5.0),)),
        messages.LeaseReturn(0, 1, 2),
        messages.TermEnd(0, 1),
    ):
        assert messages.from_row(messages.to_row(message)) == message


def test_errors_of_malformed_rows_name_the_field():
    bad = {
        "kind": ["other"],
        "lease-end: allowed: 2 fields": ["lease-end", 0],
        "lease-end.slot": ["lease-end", 64, 1],
        "lease-grant.parts: allowed: rows": ["lease-grant", 0, 1, 2, 3, 4, [["rate/1"]]],
        "lease-grant.parts.amount": ["lease-grant", 0, 1, 2, 3, 4, [["rate/1", float("nan")]]],
        "lease-grant.parts.resource": ["lease-grant", 0, 1, 2, 3, 4, [["", 1.0]]],
        "lease-ask.joined": ["lease-ask", 0, 1, 2, 3, [1, "x"]],
        "lease-told.votes": ["lease-told", 0, 1, 2, 1, 0, 0, [0, b""], []],
    }
    for text, row in bad.items():
        with pytest.raises(ValueError, match=text):
            messages.from_row(row)
