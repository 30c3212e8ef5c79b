"""Seeded faults: the random scenarios must find each of them."""

from dataclasses import replace

import pytest
from relaynet import MS, Net, S, judge
from test_relay_streams import SITES, SUBSCRIBERS, drawn

from madderbeam.membership.values import SendMessage
from madderbeam.relay import delivery_ids, receive_stream, site_backlog, stream_sender
from madderbeam.relay.custody import Custodian
from madderbeam.relay.delivery_reporter import DeliveryReporter
from madderbeam.relay.messages import Ack
from madderbeam.relay.origin import OriginStreams
from madderbeam.relay.stream_sender import StreamSender
from madderbeam.relay.values import DeliveryIdempotency, Expand, Result


def ack_before_journal(patch):
    true = Custodian._begin_custody

    def hasty(self, publication, dests, copy):
        true(self, publication, dests, copy)
        member, stream, seq = copy
        if self.inbound[member].settle(stream, seq):
            self.actions.ordered.append(self._ack(self.inbound[member]))

    patch.setattr(Custodian, "_begin_custody", hasty)


def unsafe_moves(patch):
    patch.setattr(StreamSender, "_may_move", lambda self, leg: True)


def unsafe_not_written(patch):
    """A restarted origin doesn't know where a non-idempotent entry was sent."""
    true = StreamSender._send

    def careless(self, site, leg, stream):
        before = len(self.actions.ordered)
        sent = true(self, site, leg, stream)
        self.actions.ordered[before:] = [
            a for a in self.actions.ordered[before:] if isinstance(a, SendMessage)
        ]
        return sent

    patch.setattr(StreamSender, "_send", careless)


def no_record_before_expansion(patch):
    def bare(self, publication, dests, copy):
        true(self, replace(publication, idempotency=DeliveryIdempotency.IDEMPOTENT), dests, copy)
        self.actions.ordered[-1] = Expand(publication, dests)

    true = Custodian._begin_custody
    patch.setattr(Custodian, "_begin_custody", bare)


def key_not_derived(patch):
    seen = iter(range(10**9))
    patch.setattr(delivery_ids, "delivery_key", lambda publication, dest: f"{next(seen)}")


def id_not_derived(patch):
    seen = iter(range(10**9))
    patch.setattr(delivery_ids, "delivery_id", lambda publication, dest: f"{next(seen)}")


def end_told_twice(patch):
    true = OriginStreams._remove

    def lax(self, held):
        true(self, held)
        if not held.delivered and "again" not in held.failures:
            held.failures.append("again")
            self.pending[held.publication.name] = held
            self._complete_if_done(held)

    patch.setattr(OriginStreams, "_remove", lax)


def first_end_is_the_whole(patch):
    true = OriginStreams._on_report
    patch.setattr(
        OriginStreams, "_on_report", lambda self, member, row: true(self, member, replace(row, pending=0))
    )


def time_not_reduced(patch):
    true = stream_sender.Entry
    patch.setattr(stream_sender, "Entry", lambda *row: true(*row[:3], row[3] + 10 * MS))


def copy_expanded_again(patch):
    true = Custodian._entry

    def forgetful(self, member, entry, said_us):
        if entry.seq % 2:
            self.store.records.pop(entry.publication.name, None)
        true(self, member, entry, said_us)

    patch.setattr(Custodian, "_entry", forgetful)


def record_dropped_once_acked(patch):
    true = DeliveryReporter.acknowledged

    def eager(self, member, number):
        names = [name for name, _ in self.batches.get(number, (None, 0, ()))[2]]
        true(self, member, number)
        for name in names:
            if name in self.store.records and self.store.records[name].is_acknowledged:
                self.store.remove(name)

    patch.setattr(DeliveryReporter, "acknowledged", eager)


def nothing_sent_again(patch):
    patch.setattr(StreamSender, "_requeue_out", lambda self, leg: None)


def gaps_not_seen(patch):
    def trusting(self, entry):
        self.number, self.expected = entry.stream, entry.seq + 1
        self.acked = max(self.acked, entry.seq - 1)
        return True

    patch.setattr(receive_stream.ReceiveStream, "accept", trusting)


def ends_not_sent_again(patch):
    patch.setattr(DeliveryReporter, "report_again", lambda self, names: None)


def rest_is_delivered(patch):
    """After a start lost deliveries count as delivered."""

    def hopeful(self, event):
        record = self.store.get(event.name)
        for dest in sorted(record.pending - set(event.dests)) if record else ():
            record.complete(dest, Result.DELIVERED)
            self.reporter.schedule(record)

    patch.setattr(Custodian, "_on_restored_deliveries", hopeful)


def way_not_counted(patch):
    """Time in transit or in the socket buffer is not subtracted from the remaining time."""
    true = Custodian._entry
    patch.setattr(Custodian, "_entry", lambda self, member, entry, said_us: true(self, member, entry, None))


SEEDED_FAULTS = (
    ack_before_journal,
    unsafe_moves,
    unsafe_not_written,
    no_record_before_expansion,
    key_not_derived,
    id_not_derived,
    end_told_twice,
    first_end_is_the_whole,
    time_not_reduced,
    copy_expanded_again,
    record_dropped_once_acked,
    nothing_sent_again,
    gaps_not_seen,
    ends_not_sent_again,
    rest_is_delivered,
    way_not_counted,
)


@pytest.mark.parametrize("plant", SEEDED_FAULTS, ids=lambda p: p.__name__)
def test_a_seeded_fault_is_found(plant, monkeypatch):
    plant(monkeypatch)
    for seed in range(400):
        if judge(drawn(seed, disk=True)):
            return
    raise AssertionError("not found")


def test_ignored_credit_is_found(monkeypatch):
    """Entries in flight exceed the credit that the relay advertised."""
    assert out_beyond_credit() <= 0
    monkeypatch.setattr(site_backlog.SendStream, "has_credit", lambda self, leg: True)
    assert out_beyond_credit() > 0


def out_beyond_credit():
    net = Net(1, SITES, SUBSCRIBERS)
    beyond = -1000
    for node in net.nodes.values():
        node.credit = replace(node.credit, entries=6)
    for n in range(200):
        net.at(S + n * MS, net.node("a").publish, f"p{n}")
    true = net.send

    def watched(sender, member, message):
        nonlocal beyond
        true(sender, member, message)
        stream = net.node("a").streams.sender.links.get(member)
        if stream is not None and not isinstance(message, Ack) and sender.id.name == "a":
            beyond = max(beyond, len(stream.in_flight) - stream.credit_entries)

    net.send = watched
    net.run(10 * S)
    return beyond
