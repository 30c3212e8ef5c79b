"""What a member tells of the tables in force and agreed, of debts and of releases, and what it learns so."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from madderbeam.federation.switchover.inquiry import ConsensusView, pending_of
from madderbeam.federation.switchover.ledger import DEBTS_MOST, HISTORY_MOST
from madderbeam.federation.switchover.messages import RELEASES_MOST, InForceQuery, InForceReply
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.values import Release, Table


def answer(
    now_us: int,
    asked: InForceQuery,
    book: OwnershipRegistry,
    agreed: Mapping[int, Table],
    council: ConsensusView,
    fresh: bool,
) -> InForceReply:
    """`agreed`: tables that are agreed and not in force here yet. `fresh`: nothing is on disk here yet."""
    ledger = book.ledger
    newest = agreed[max(agreed)] if agreed else ledger.table
    known = [*ledger.history, *_following(ledger.number, agreed)]
    back = known[0].number <= asked.number + 1
    whole = None if fresh or (back and not asked.fresh) else book.open()
    above = ledger.number if whole is not None else asked.number
    owed = list(book.all_missing())
    binding = [r for r in _releases(now_us, book) if r.retry_waits or r.draining or r.is_cold]
    return InForceReply(
        asked.ask,
        newest.number,
        newest.digest,
        ledger.number,
        fresh,
        tuple(t for t in known if t.number > above)[:HISTORY_MOST],
        whole,
        pending_of(council, ledger.table),
        tuple(owed[:DEBTS_MOST]),
        not fresh and len(binding) <= RELEASES_MOST and len(owed) <= DEBTS_MOST,
        tuple(sorted(book.words.items())),
        tuple(binding[:RELEASES_MOST]),
    )


def paid_there(message: InForceReply, book: OwnershipRegistry) -> Iterator[Release]:
    """Releases that are missed here and not there: as they were told, else with nothing left to heed."""
    if message.fresh or not message.complete or message.in_force < book.ledger.number:
        return
    owed = {(dest, member) for dest, member, _ in message.debts}
    told = {(r.dest, r.member): r for r in message.releases}
    for dest, member, number in list(book.all_missing()):
        if (dest, member) in owed or member == book.me:
            continue
        release = told.get((dest, member))
        yield (
            release
            if release is not None and release.table_number >= number
            else Release(dest, member, number)
        )


def _following(number: int, agreed: Mapping[int, Table]) -> Iterator[Table]:
    while (number := number + 1) in agreed:
        yield agreed[number]


def _releases(now_us: int, book: OwnershipRegistry) -> Iterator[Release]:
    for facts in book.facts.values():
        for fact in facts.values():
            yield fact.left(now_us)
    for own in book.own.values():
        yield own.left(now_us)
