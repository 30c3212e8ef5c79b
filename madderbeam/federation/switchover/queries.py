"""Sends queries about the table in force, processes the replies and replies to queries of others."""

from __future__ import annotations

from madderbeam.federation.errors import TablesDiffer
from madderbeam.federation.switchover import messages
from madderbeam.federation.switchover.activation import TableActivation
from madderbeam.federation.switchover.inquiry import ConsensusView, InForceInquiry
from madderbeam.federation.switchover.ledger import active_members
from madderbeam.federation.switchover.ownership_registry import OwnershipRegistry
from madderbeam.federation.switchover.pending_writes import ActionBuffer
from madderbeam.federation.switchover.release_learning import ReleaseLearning
from madderbeam.federation.switchover.replies import build_reply, releases_known_there
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.values import FinishProposal
from madderbeam.membership import values

CATCH_UP_REQUEST_ID = 0  # of queries outside the inquiry; their replies only add releases and tables


class InForceQueries:
    """Connects the inquiry with what replies contain: tables, releases, decommissioned members."""

    def __init__(
        self,
        settings: SwitchoverSettings,
        registry: OwnershipRegistry,
        actions: ActionBuffer,
        activation: TableActivation,
        release_learning: ReleaseLearning,
        inquiry: InForceInquiry,
        consensus: ConsensusView,
    ) -> None:
        self.settings, self.local_member, self.registry, self.actions = (
            settings,
            registry.local_member,
            registry,
            actions,
        )
        self.activation, self.release_learning, self.inquiry, self.consensus = (
            activation,
            release_learning,
            inquiry,
            consensus,
        )
        self._last_catch_up_us = 0

    def has_other_sites(self) -> bool:
        """Whether another site could serve a destination."""
        return len(self.registry.table.sites) > 1

    def on_newer_table(self) -> None:
        """A newer table is in force somewhere. It is queried for unless the agreement part delivers it
        first.
        """
        if not self.inquiry.is_active:
            self.inquiry.begin(self.actions.now_us, False)
            self.inquiry.next_query_us = self.actions.now_us + self.settings.query_retry_us
            self.actions.set_timer(self.inquiry.next_query_us, "turn")

    def advance(self) -> None:
        """Write the next agreed table, or query for it if it is not known."""
        if not self.activation.advance():
            self.on_newer_table()

    def reply_to(self, query: messages.InForceQuery) -> messages.InForceReply:
        """The reply to a member's query."""
        activation = self.activation
        return build_reply(
            self.actions.now_us,
            query,
            self.registry,
            activation.agreed,
            self.consensus,
            activation.has_no_record,
        )

    def on_reply(self, member: values.MemberId, reply: messages.InForceReply) -> None:
        """Process the reply of a member of the table."""
        if member not in active_members(self.registry.table) and member not in self.registry.table.voters:
            return
        for decommissioned, number in reply.decommissioned:
            self.release_learning.decommission(decommissioned, number, is_declared_here=False)
        self.activation.on_reply(reply)
        for release in reply.releases:
            self.release_learning.add_release(release, "told")
        for release in releases_known_there(reply, self.registry):
            self.release_learning.add_release(release, "told")
        self.advance()
        self.inquiry.on_reply(member, reply, self.registry.table)

    def send_query(self, members: list[values.MemberId]) -> None:
        """Send the inquiry's query to these members; this member replies to itself directly."""
        query = self.inquiry.query(self.registry.ledger.number, self.activation.has_no_record)
        for member in members:
            if member == self.local_member:
                if self.consensus.may_vote():
                    self.on_reply(self.local_member, self.reply_to(query))
            else:
                self.actions.add(values.SendMessage(member, query))

    def conclude(self) -> None:
        """End the inquiry once a majority has replied and no table is being written or pending."""
        inquiry, table = self.inquiry, self.registry.table
        if not inquiry.is_active or self.activation.candidate is not None or not inquiry.has_majority(table):
            return
        disagreeing = inquiry.members_with_other_table(self.registry)
        if disagreeing:
            for member in disagreeing:
                del inquiry.replies[member]
            text = (
                f"{', '.join(map(str, disagreeing))} have a different table {table.number} from the one here"
            )
            self.actions.add(values.LogLine(text, TablesDiffer(text)))
            return
        if self.activation.has_no_record:
            self.activation.write(self.registry.ledger, False)
            return
        proposals, is_newer_known = inquiry.proposals(), inquiry.newest_number > table.number
        if not is_newer_known:
            inquiry.suspended_destinations, inquiry.suspends_all = (
                inquiry.destinations_at_risk(proposals, table),
                False,
            )
            if not inquiry.suspended_destinations:
                inquiry.finish()
                return
        for pending in proposals:
            self.actions.add(FinishProposal(pending.proposal))
        # Repeats until the newer table is in force or no proposal is pending.
        inquiry.restart(self.actions.now_us)
        inquiry.next_query_us += self.settings.query_retry_us

    def catch_up(self) -> None:
        """Query the voters and the members whose releases are missing, in case gossip did not deliver
        them.
        """
        now_us = self.actions.now_us
        if now_us - self._last_catch_up_us < self.settings.catch_up_interval_us:
            return
        self._last_catch_up_us = now_us
        owing = {owing_member for _, owing_member, _ in self.registry.all_missing_releases()}
        for member in sorted(owing | set(self.registry.table.voters)):
            if member != self.local_member:
                self.actions.add(
                    values.SendMessage(
                        member, messages.InForceQuery(CATCH_UP_REQUEST_ID, self.registry.ledger.number)
                    )
                )
