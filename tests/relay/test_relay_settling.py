"""A completed delivery is not forwarded, although it stays pending until its outcome is on disk."""

from types import SimpleNamespace

from madderbeam.host.federation.publications import Publications
from madderbeam.journal.pending_message import PendingMessage
from madderbeam.membership.values import MemberId
from madderbeam.policy.settings import Idempotency
from madderbeam.relay.values import Published

ME = MemberId("savannah", "m2")
MESSAGE = PendingMessage(151, "deposit", 0, 0, 1, "", 100.0, False, b"body", is_relayed=True)


def passed_on(settling):
    """The sites that a relayed deposit is published to when another site takes over its destination."""
    told = []
    unsafe = SimpleNamespace(name="unsafe", idempotency=Idempotency.NON_IDEMPOTENT)
    host = SimpleNamespace(
        settings=SimpleNamespace(classes=[unsafe], tenants=[]),
        post_event=lambda event: None,
        journal=SimpleNamespace(wall=SimpleNamespace(monotonic_us_at=lambda wall: int(wall * 1e6))),
    )
    streams = SimpleNamespace(sent=SimpleNamespace(sites=dict))
    table = SimpleNamespace(number=4, owners={1: "macon"})
    publications = Publications(
        host, ME, None, streams, None, lambda: table, told.append, None, 0, is_settling=settling.__contains__
    )
    publications.forward_message(MESSAGE)
    return [event.sites for event in told if isinstance(event, Published)]


def test_a_completed_deposit_is_not_forwarded_to_the_next_site():
    assert passed_on({151}) == [] and passed_on(set()) == [("macon",)]
