"""The destinations that this member serves, those that it relinquishes, and those that it may begin to serve.

Both sets are of this process only: at its start nothing is served and no call is in flight.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import ActionBuffer
from madderbeam.federation.switchover.release_records import ReleaseRecord, gossip_body
from madderbeam.federation.values import BeginServing, Release, Relinquish
from madderbeam.membership.values import Disseminate, Incarnation


class DestinationMoves:
    """Directs the host to serve and to relinquish destinations.

    `served`: BeginServing was sent for these. `relinquishing`: Relinquish was sent for these and the host has
    not released them yet, with the number of the table that requires it. `reconcile` may be called at any
    time.
    """

    def __init__(
        self,
        registry: OwnershipRegistry,
        actions: ActionBuffer,
        incarnation: Incarnation,
        wall_ms: Callable[[int], int],
        keep_us: int,
    ) -> None:
        self.registry, self.actions, self.incarnation, self.wall_ms, self.keep_us = (
            registry,
            actions,
            incarnation,
            wall_ms,
            keep_us,
        )
        self.served: set[int] = set()
        self.relinquishing: dict[int, int] = {}  # by destination, the number of the table that requires it

    def reconcile(self, dests: Iterable[int]) -> None:
        """Bring each destination to the state that the registry requires."""
        for dest in sorted(set(dests)):
            self._reconcile(dest)

    def relinquish(self, dests: Iterable[int]) -> None:
        """Relinquish the destinations whatever the table says, because a skipped table may have moved
        them.
        """
        for dest in sorted(dests):
            self._relinquish(dest)

    def on_released(self, release: Release) -> None:
        """The host has no call in flight at the destination any more. The release is written before it is
        announced.
        """
        dest = release.dest
        if dest not in self.relinquishing or self.actions.writes.is_pending("release", str(dest)):
            return
        table_number = max(self.relinquishing[dest], self.registry.table_owed_by(dest))
        self._write(replace(release, member=self.registry.local_member, table_number=table_number))

    def on_release_written(self, record: ReleaseRecord) -> None:
        """A release of this member is on disk."""
        dest = record.release.dest
        self.relinquishing.pop(dest, None)
        self.registry.own_releases[dest] = record
        self.announce(dest)
        self._reconcile(dest)

    def announce(self, dest: int) -> None:
        """Disseminate this member's release of the destination, with the spans that remain now."""
        release = self.registry.own_releases[dest].remaining(self.actions.now_us)
        self.actions.add(
            Disseminate(
                f"release/{dest}",
                gossip_version(release.table_number, self.incarnation, revision=0),
                gossip_body(release),
                self.keep_us,
            )
        )

    def retract(self, dest: int) -> None:
        """Every member knows the release: remove it and its gossip entry."""
        number = self.registry.own_releases.pop(dest).release.table_number
        self.actions.add(
            Disseminate(f"release/{dest}", gossip_version(number, self.incarnation, revision=1), b"")
        )
        self.actions.remove_record("release", str(dest))

    def _reconcile(self, dest: int) -> None:
        registry = self.registry
        required_number, is_owner = (
            registry.table_owed_by(dest),
            registry.ledger.gives_to(registry.local_member, dest),
        )
        if dest in self.served:
            if required_number or not is_owner:
                self._relinquish(dest)
        elif dest in self.relinquishing:
            self.relinquishing[dest] = max(self.relinquishing[dest], required_number)
        elif required_number:
            if not self.actions.writes.is_pending("release", str(dest)):
                self._write(registry.release_of_unserved(dest, required_number, self.actions.now_us))
        elif is_owner and not registry.missing_releases(dest):
            self.served.add(dest)
            self.actions.add(BeginServing(dest, registry.inherited_releases(dest, self.actions.now_us)))

    def _relinquish(self, dest: int) -> None:
        self.served.discard(dest)
        self.relinquishing[dest] = self.registry.table_owed_by(dest) or self.registry.ledger.number
        self.actions.add(Relinquish(dest, self.relinquishing[dest]))

    def _write(self, release: Release) -> None:
        now_us = self.actions.now_us
        self.actions.write(
            "release", str(release.dest), ReleaseRecord(release, now_us, self.wall_ms(now_us)).row()
        )


def gossip_version(number: int, incarnation: Incarnation, revision: int) -> int:
    """The version of a gossip entry, ordered by the table number, the owner's start, and `revision`.

    `revision`: 0, or 1 for the entry that replaces it: a retraction, or that the table has settled. Only the
    low 24 bits of the start are used, so that a version takes 56 bits at most.
    """
    return number << 25 | (incarnation.start & 0xFFFFFF) << 1 | revision
