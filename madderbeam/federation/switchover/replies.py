"""Builds the reply to a query for the table in force, and infers releases from the replies of others."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from madderbeam.federation.switchover.inquiry import ConsensusView, pending_proposals
from madderbeam.federation.switchover.ledger import MAX_HISTORY_TABLES, MAX_OUTSTANDING_RELEASES
from madderbeam.federation.switchover.messages import MAX_RELEASES_PER_REPLY, InForceQuery, InForceReply
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.values import Release, Table


def build_reply(
    now_us: int,
    query: InForceQuery,
    registry: OwnershipRegistry,
    agreed: Mapping[int, Table],
    consensus: ConsensusView,
    has_no_record: bool,
) -> InForceReply:
    """The reply to a query.

    `agreed`: agreed tables that are not in force here yet. `has_no_record`: no table is on disk here yet.
    """
    ledger = registry.ledger
    newest = agreed[max(agreed)] if agreed else ledger.table
    tables = [*ledger.history, *_following_tables(ledger.number, agreed)]
    reaches_back = tables[0].number <= query.number + 1
    full_ledger = (
        None if has_no_record or (reaches_back and not query.has_no_record) else registry.ledger_of_missing()
    )
    after_number = ledger.number if full_ledger is not None else query.number
    missing = list(registry.all_missing_releases())
    with_constraints = [
        release
        for release in _releases(now_us, registry)
        if release.retry_waits or release.draining or release.is_cold
    ]
    return InForceReply(
        query.request_id,
        newest.number,
        newest.digest,
        ledger.number,
        has_no_record,
        tuple(table for table in tables if table.number > after_number)[:MAX_HISTORY_TABLES],
        full_ledger,
        pending_proposals(consensus, ledger.table),
        tuple(missing[:MAX_OUTSTANDING_RELEASES]),
        not has_no_record
        and len(with_constraints) <= MAX_RELEASES_PER_REPLY
        and len(missing) <= MAX_OUTSTANDING_RELEASES,
        tuple(sorted(registry.decommissioned_up_to.items())),
        tuple(with_constraints[:MAX_RELEASES_PER_REPLY]),
    )


def releases_known_there(reply: InForceReply, registry: OwnershipRegistry) -> Iterator[Release]:
    """Releases that are missing here and not at the sender of the reply.

    If the reply does not contain such a release, it has no spans left to observe.
    """
    if reply.has_no_record or not reply.is_complete or reply.in_force_number < registry.ledger.number:
        return
    missing_there = {(dest, member) for dest, member, _ in reply.outstanding}
    named = {(named_release.dest, named_release.member): named_release for named_release in reply.releases}
    for dest, member, number in list(registry.all_missing_releases()):
        if (dest, member) in missing_there or member == registry.local_member:
            continue
        release = named.get((dest, member))
        yield (
            release
            if release is not None and release.table_number >= number
            else Release(dest, member, number)
        )


def _following_tables(number: int, agreed: Mapping[int, Table]) -> Iterator[Table]:
    while (number := number + 1) in agreed:
        yield agreed[number]


def _releases(now_us: int, registry: OwnershipRegistry) -> Iterator[Release]:
    for records in registry.release_records.values():
        for record in records.values():
            yield record.remaining(now_us)
    for own_record in registry.own_releases.values():
        yield own_record.remaining(now_us)
