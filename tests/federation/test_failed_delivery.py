"""What a relay reports of a delivery that its own admission has failed."""

from types import SimpleNamespace

import pytest

from madderbeam.host.federation.custody import DeliveryReply, Expansion
from madderbeam.membership.values import MemberId
from madderbeam.relay.values import DeliveryIdempotency, Publication

DEST = 7


@pytest.mark.parametrize("is_journaled", [True, False])
def test_a_delivery_is_reported_as_never_executed_only_if_the_journal_does_not_have_it(is_journaled):
    # A dispatch cycle that failed behind the acceptance reported it so, and then it was delivered.
    publication = Publication(
        "m1",
        MemberId("macon", "m1"),
        "",
        DEST,
        "unsafe",
        DeliveryIdempotency.NON_IDEMPOTENT,
        "",
        "",
        "",
        b"",
        0,
        1,
    )
    expansion, rejected, checked = Expansion(publication, {DEST}), [], []
    custody = SimpleNamespace(
        host=SimpleNamespace(journal=SimpleNamespace(numbers_by_id={"m1": 1} if is_journaled else {})),
        reject_delivery=lambda expansion, dest, why: rejected.append(dest),
        check_expansion=checked.append,
    )
    DeliveryReply(custody, expansion, DEST).failed("internal error")
    assert (rejected, expansion.accepted) == (([], {DEST}) if is_journaled else ([DEST], set()))
    assert checked == [expansion] and not expansion.unanswered
