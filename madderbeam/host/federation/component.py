"""The federation component: connects mesh, membership, streams, custody and table to the host."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from madderbeam.config.federation import Federation as Config
from madderbeam.federation.consensus import messages as consensus_messages
from madderbeam.federation.consensus.agreement import Agreement
from madderbeam.federation.consensus.rounds import AgreementSettings
from madderbeam.federation.federation import Federation
from madderbeam.federation.switchover import ledger
from madderbeam.federation.switchover import messages as switchover_messages
from madderbeam.federation.switchover.consensus_view import AgreementView
from madderbeam.federation.switchover.settings import SwitchoverSettings
from madderbeam.federation.switchover.switchover import Switchover
from madderbeam.federation.values import (
    BeginServing,
    CheckTable,
    DestinationReleased,
    ProposalOutcome,
    Relinquish,
    ServingPaused,
    SuspendServing,
    Table,
    TableChecked,
    TableInForce,
)
from madderbeam.host.components import Component
from madderbeam.host.federation.admin_calls import AdminCalls, CallContext
from madderbeam.host.federation.custody import Custody
from madderbeam.host.federation.durable_map import DurableMap
from madderbeam.host.federation.publications import Publications
from madderbeam.host.federation.runner import Runner
from madderbeam.host.federation.serving import Serving
from madderbeam.host.federation.site_sharing import SiteSharing
from madderbeam.host.host import Host
from madderbeam.membership import messages as gossip
from madderbeam.membership.incarnations import OWN_KEY, RECORD_KIND, next_incarnation
from madderbeam.membership.membership import Membership
from madderbeam.membership.settings import MembershipSettings as MembershipSettings
from madderbeam.membership.values import (
    DatagramReceived,
    Disseminate,
    ExchangeFailed,
    GossipReceived,
    IncarnationRaised,
    Leave,
    LinkDown,
    LinkUp,
    MemberChanged,
    MemberId,
    MessageReceived,
    PauseDetected,
    RollbackDetected,
    SendDatagram,
    SendMessage,
    SetDraining,
    StartStateExchange,
    State,
    StateReceived,
    StateReply,
    TimerDue,
)
from madderbeam.policy.settings import Idempotency
from madderbeam.ports import Ports
from madderbeam.relay import messages as relay_messages
from madderbeam.relay.backlog import BacklogLimits as Backlog
from madderbeam.relay.custody import Custodian, CustodySettings
from madderbeam.relay.grouping import Tables
from madderbeam.relay.origin import OriginStreams, StreamSettings
from madderbeam.relay.subscriptions import Subscriptions
from madderbeam.relay.values import (
    Expand,
    OutcomesPersisted,
    PublicationCompleted,
    SiteCompleted,
    SubscriptionsChanged,
)
from madderbeam.shared import lease_messages
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.leases import Leases
from madderbeam.shared.partner_outages import PartnerOutages
from madderbeam.shared.values import ApplyFinding, FindingExpired, SetAllowance, SetProbing
from madderbeam.transport.mesh import events as mesh_events
from madderbeam.transport.mesh.events import MeshSettings
from madderbeam.transport.mesh.mesh import Mesh

# Mesh channels: membership, relay, consensus on the table, switchover, leases on limits.
MEMBERSHIP, RELAY, CONSENSUS, SWITCHOVER, LEASES = "m", "r", "t", "s", "l"
MAX_PERMANENT_LINKS = 256  # permanent links; links to further members are opened on demand
log = logging.getLogger(__name__)


class FederationComponent(Component):
    """One member of the federation.

    Its state machines run from `open` on and store their state in a folder beside the journal's.
    """

    def __init__(self, host: Host, ports: Ports, config: Config) -> None:
        """Create the state machines. OSError if the state folder can't be used."""
        self.host, self.config = host, config
        sync = bool(host.config.sidecar and host.config.sidecar.sync)
        self.store = DurableMap(ports.disk, host.config.state.rstrip("/") + "-federation", sync)
        self.rng = random.Random(f"federation {host.config.seed}")
        self.member_id = config.id
        self.incarnation = next_incarnation(self.store.map, self.rng.getrandbits(64))
        self.table = self._last_table()
        self.mesh = Mesh(
            host.loop,
            ports.network,
            self.member_id,
            self.incarnation,
            config.name,
            config.listen,
            self._on_mesh_event,
            channels=(MEMBERSHIP, RELAY, CONSENSUS, SWITCHOVER, LEASES),
            rng=self.rng,
            settings=MeshSettings(drift_ppm=config.lease_drift_ppm),
        )
        # None: not posted yet; an empty set is posted too
        self.posted_subscriptions: dict[str, set[int]] | None = None
        self.is_started = False
        self.is_start_durable = True  # False from a failed write of the start count until it is written
        self._create_membership()
        self._create_table_machines()
        self._create_relay()
        self._create_sharing()
        self.admin_calls = AdminCalls(
            CallContext(
                host,
                ports.disk,
                config,
                self.membership,
                self.agreement,
                self.switchover,
                self.streams,
                self.custodian,
                self.mesh,
                self.shared,
                lambda: self.table,
                self.federation_runner.post_event,
            )
        )
        self._handlers: dict[type, Callable[[Any], None]] = self._action_handlers()

    def _last_table(self) -> Table:
        """Return the last table in force here, or the configured one if none ever was."""
        row = self.store.map.get(("force", ""))
        return self.config.table if row is None else ledger.read_ledger(row).table

    def _make_runner(self, machine: Any) -> Runner:
        return Runner(self.host.loop, self.host.clock, machine, self.store, self.perform)

    def _wall_ms(self, now_us: int) -> int:
        """Convert monotonic to wall time by the journal's clock, which does not step in a running process."""
        wall = self.host.journal.wall
        return int((wall() - (self.host.clock() - now_us) / 1e6) * 1e3)

    # State machines

    def _create_membership(self) -> None:
        config, times = self.config, self.config.times
        settings = MembershipSettings(
            probe_period_us=times.probe_period_ms * 1000,
            probe_timeout_us=times.probe_timeout_ms * 1000,
            indirect_probes=times.indirect_probes,
            suspicion_alpha=times.suspicion_alpha,
            suspicion_beta=times.suspicion_beta,
            exchange_period_us=times.exchange_period_ms * 1000,
        )
        seeds = tuple(config.via.get(member, address) for member, address in config.seeds)
        self.membership = Membership(
            settings,
            self.member_id,
            self.incarnation,
            config.listen,
            seeds,
            config.via,
            self.rng,
            self.store.map,
        )
        self.membership_runner = self._make_runner(self.membership)

    def _create_table_machines(self) -> None:
        config = self.config
        agreement_settings = AgreementSettings(vote_timeout_us=config.agree_within_ms * 1000)
        self.agreement = Agreement(
            agreement_settings, self.member_id, self.incarnation, self.rng, self.store.map, self.table
        )
        switchover_settings = SwitchoverSettings(
            lease_us=(config.lease_ms or 0) * 1000, drift_ppm=config.lease_drift_ppm
        )
        self.switchover = Switchover(
            switchover_settings,
            self.member_id,
            self.incarnation,
            self.store.map,
            self.table,
            AgreementView(self.agreement),
            self._wall_ms,
        )
        self.federation_machine = Federation(self.agreement, self.switchover)
        self.federation_runner = self._make_runner(self.federation_machine)
        self.serving = Serving(
            self.host,
            self.member_id,
            self._may_call,
            self._released,
            lambda message: self.publications.forward_message(message),
            config.lease_ms is not None,
        )

    def _may_call(self, dest: int) -> bool:
        """Whether a call may start; evaluated before each, so that a pause counts before a timer is due."""
        now = self.host.clock()
        return self.switchover.may_call(now, dest) and not self.membership.was_paused(now)

    def _create_relay(self) -> None:
        config = self.config
        self.subscriptions = Subscriptions(self.member_id, self.incarnation)
        self.tables = Tables(self.member_id.site, self.subscriptions.subscribers)
        backlog = Backlog(
            config.backlog_messages,
            config.backlog_bytes,
            unreachable_retry_after_us=config.wait_told_ms * 1000,
        )
        windows = [
            message_class.key_window_us
            for message_class in self.host.settings.classes
            if message_class.idempotency is Idempotency.WITH_KEY
        ]
        settings = StreamSettings(limits=backlog, keyed_window_us=min(windows, default=0))
        self.streams = OriginStreams(
            settings, self.member_id, self.incarnation, self._wall_ms, self.store.map
        )
        self.custodian = Custodian(
            CustodySettings(),
            self.member_id,
            self.incarnation,
            self.tables.expand,
            self._wall_ms,
            self.store.map,
        )
        self.subscriptions_runner, self.streams_runner = (
            self._make_runner(self.subscriptions),
            self._make_runner(self.streams),
        )
        self.custodian_runner = self._make_runner(self.custodian)
        self.custody = Custody(
            self.host,
            self.member_id,
            self.incarnation,
            self.custodian,
            self.custodian_runner.post_event,
            self.streams_runner.post_event,
            lambda message: self.publications.take_back(message),
            self.store,
        )
        self.publications = Publications(
            self.host,
            self.member_id,
            self.serving,
            self.streams,
            self.subscriptions,
            lambda: self.table,
            self.streams_runner.post_event,
            self.custody.deliver_locally,
            config.wait_told_ms * 1000,
            self.custody.deliveries.__contains__,
            self.custody.settling.__contains__,
        )

    def _create_sharing(self) -> None:
        """Create the machines of findings and leases if the couriers of this site share them."""
        self.shared: SiteSharing | None = None
        self.findings_runner: Runner | None = None
        if not self.config.share:
            return
        partners = PartnerOutages(self.member_id, self.incarnation)
        settings = LeaseSettings(drift_ppm=self.config.lease_drift_ppm)
        leases = Leases(
            settings,
            self.member_id,
            self.incarnation,
            self.rng,
            self.store.map,
            lambda resource: self.shared.limit_leases.in_use(resource) if self.shared is not None else 0.0,
        )
        self.findings_runner, self.leases_runner = self._make_runner(partners), self._make_runner(leases)
        self.shared = SiteSharing(
            self.host,
            self.member_id,
            self.incarnation,
            self.serving,
            partners,
            leases,
            self.findings_runner.post_event,
            self.leases_runner.post_event,
        )

    @property
    def runners(self) -> tuple[Runner, ...]:
        """The runners of all state machines."""
        shared = (self.findings_runner, self.leases_runner) if self.findings_runner is not None else ()
        return (
            self.membership_runner,
            self.federation_runner,
            self.subscriptions_runner,
            self.streams_runner,
            self.custodian_runner,
            *shared,
        )

    # Component interface

    def open(self) -> None:
        """Start the member; the journal is restored. OSError if the mesh can't listen on its address."""
        port = self.mesh.listen()
        log.info(
            "federation %s: start %d of %s, listening on port %d",
            self.config.name,
            self.incarnation.start,
            self.member_id,
            port,
        )
        self.is_started = True
        now = self.host.clock()
        if self.store.damaged:
            self._rollback_detected(RollbackDetected(self.incarnation, self.incarnation))
        self.federation_runner.run(self.federation_machine.start(now))
        self.membership_runner.run(self.membership.start(now))
        self.on_list_changed()
        self.custody.open()
        self.publications.resume_restored()
        if self.shared is not None:
            self.shared.open()
        self._update_links()
        if self.store.map.get((RECORD_KIND, OWN_KEY)) != self.incarnation.start:
            self._hide_incarnation()

    def on_list_changed(self) -> None:
        """Called when the endpoint list has changed: post its topic subscriptions if they changed."""
        topics: dict[str, set[int]] = {}
        for number, subscribed in self.host.registry.subscribed_topics.items():
            if entry := self.host.registry.entries.get(number):
                for topic in subscribed:
                    topics.setdefault(topic, set()).add(entry.destination)
        # An empty set is posted too: after their start other sites wait for this site's subscriptions.
        if self.is_started and (topics != self.posted_subscriptions or not self.subscriptions.version):
            self.posted_subscriptions = topics
            self.subscriptions_runner.post_event(SubscriptionsChanged(topics, self.subscriptions.version + 1))
        if self.is_started and self.shared is not None:
            self.shared.on_list_changed()

    def reload_files(self) -> None:
        """Propose the configured table file if it is newer."""
        self.admin_calls.propose_file()

    def begin_shutdown(self) -> None:
        """Announce the shutdown to the other members."""
        for runner in (
            self.custodian_runner,
            self.membership_runner,
            *((self.leases_runner,) if self.findings_runner is not None else ()),
        ):
            runner.post_event(SetDraining(True))

    def close(self) -> None:
        """Leave the federation, and close all runners, the mesh and the state file."""
        if self.is_started:
            if self.shared is not None:
                self.leases_runner.post_event(Leave())
                self.shared.close()
            self.membership_runner.post_event(Leave())
        for runner in self.runners:
            runner.close()
        self.custody.close()
        self.mesh.close()
        self.store.close()

    def metrics(self) -> dict[str, int]:
        """Return the metrics of federation and mesh by name."""
        custody = {f"federation.{name}": count for name, count in self.custodian.metrics.items()}
        mesh = {f"mesh.{name}": count for name, count in sorted(self.mesh.metrics().items())}
        return {
            "federation.members": len(self.membership.alive()) + 1,
            "federation.table": self.table.number,
            "federation.publications": self.publications.accepted,
            "federation.refused": self.publications.rejected,
            "federation.unwritten": sum(r.unwritten_records for r in self.runners),
            **custody,
            **mesh,
        }

    # Mesh events

    def _on_mesh_event(self, channel: str, event: Any) -> None:
        """Pass a mesh event to its state machine; invalid rows are only counted."""
        if self.membership.was_paused(self.host.clock()):
            # handle a pause before the messages that arrived during it
            self.membership_runner.post_event(TimerDue(""))
        if isinstance(event, (LinkUp, LinkDown)):
            for runner in (self.federation_runner, self.streams_runner, self.custodian_runner):
                runner.post_event(event)
            return
        if isinstance(event, mesh_events.LaterIncarnationSeen):
            self._rollback_detected(RollbackDetected(event.seen, self.incarnation))
            return
        try:
            decoded = DECODERS[channel, type(event)](event)
            if isinstance(decoded, MessageReceived):
                decoded = replace(decoded, earliest_sent_us=self._sent_at_us(event))
        except ValueError as error:
            self.mesh.count_invalid_row(f"channel {channel}: {error}")
            return
        except KeyError:
            self.mesh.count_invalid_row(f"channel {channel}: {type(event).__name__}")
            return
        if channel == MEMBERSHIP:
            self.membership_runner.post_event(decoded)
            if self.shared is not None and isinstance(event, mesh_events.ExchangeReplied):
                self.shared.stop_waiting()
        elif channel == LEASES:
            if self.findings_runner is not None:
                self.leases_runner.post_event(decoded)
        elif channel == RELAY:
            is_for_origin = isinstance(
                decoded.message, (relay_messages.Ack, relay_messages.Nak, relay_messages.ReportBatch)
            )
            (self.streams_runner if is_for_origin else self.custodian_runner).post_event(decoded)
        else:
            self.federation_runner.post_event(decoded)

    def _sent_at_us(self, event: MessageReceived) -> int | None:
        """Return `earliest_sent_us` on the host's clock.

        That clock is read first: a pause between the two readings makes the result earlier, not later.
        """
        now_us = self.host.clock()
        return (
            None
            if event.earliest_sent_us is None
            else now_us + event.earliest_sent_us - self.mesh.context.now_us()
        )

    # Actions

    def perform(self, action: Any) -> None:
        """Perform one action of any state machine."""
        self._handlers[type(action)](action)

    def _action_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            SendDatagram: lambda action: self.mesh.send_datagram(
                action.address, MEMBERSHIP, gossip.to_row(action.message)
            ),
            StartStateExchange: lambda action: self.mesh.exchange(
                action.address, gossip.to_row(action.message)
            ),
            StateReply: lambda action: self.mesh.reply(action.reply_id, gossip.to_row(action.message)),
            MemberChanged: self._member_changed,
            GossipReceived: self._gossip_received,
            Disseminate: self.membership_runner.post_event,
            IncarnationRaised: self._incarnation_raised,
            PauseDetected: self._pause_detected,
            RollbackDetected: self._rollback_detected,
            SendMessage: self._send_message,
            TableInForce: self._table_in_force,
            CheckTable: self._check_table,
            BeginServing: self.serving.begin_serving,
            Relinquish: self.serving.relinquish,
            SuspendServing: self._serving_suspended,
            ProposalOutcome: self._proposal_ended,
            Expand: self.custody.expand,
            OutcomesPersisted: self.custody.outcomes_stored,
            SiteCompleted: self.publications.site_ended,
            PublicationCompleted: self.publications.publication_ended,
            **self._sharing_handlers(),
        }

    def _sharing_handlers(self) -> dict[type, Callable[[Any], None]]:
        if self.shared is None:
            return {}
        return {
            ApplyFinding: self.shared.apply_finding,
            FindingExpired: self.shared.finding_expired,
            SetProbing: self.shared.set_probing,
            SetAllowance: self.shared.apply_allowance,
        }

    def _member_changed(self, action: MemberChanged) -> None:
        view = action.view
        log.info(
            "federation: %s is %s (start %d)%s",
            view.id,
            view.state.name.lower(),
            view.incarnation.start,
            ", draining" if view.draining else "",
        )
        self.mesh.record_incarnation(view.id, view.incarnation)
        shared = (self.findings_runner, self.leases_runner) if self.findings_runner is not None else ()
        for runner in (self.federation_runner, self.subscriptions_runner, self.streams_runner, *shared):
            runner.post_event(action)
        if view.state in (State.ALIVE, State.SUSPECT):
            self._open_link(view.id)

    def _gossip_received(self, action: GossipReceived) -> None:
        self.subscriptions_runner.post_event(action)
        self.federation_runner.post_event(action)
        if self.findings_runner is not None:
            self.findings_runner.post_event(action)

    def _pause_detected(self, action: PauseDetected) -> None:
        log.warning(
            "federation: this process was paused for %.1f s; querying which table is in force",
            action.paused_us / 1e6,
        )
        self.federation_runner.post_event(ServingPaused())
        if self.findings_runner is not None:
            self.leases_runner.post_event(action)
        self.serving.repost_list()  # lists destinations that the pause check had hidden

    def _rollback_detected(self, event: RollbackDetected) -> None:
        """This member's state is older than what others have seen of it."""
        self.custody.history_lost()
        self.federation_runner.post_event(event)

    def _incarnation_raised(self, action: IncarnationRaised) -> None:
        """The incarnation's start count is on disk: use it in everything that is sent from now on."""
        if action.incarnation != self.incarnation:
            self.incarnation = action.incarnation
            log.warning("federation: %s continues as start %d", self.member_id, self.incarnation.start)
            self.mesh.set_incarnation(self.incarnation)
            shared = (self.findings_runner,) if self.findings_runner is not None else ()
            for runner in (self.federation_runner, self.subscriptions_runner, *shared):
                runner.post_event(action)
        if not self.is_start_durable:
            self.is_start_durable = self.mesh.may_be_seen = True
            self._update_links()

    def _hide_incarnation(self) -> None:
        """Have no member see this incarnation until its start count is on disk; no link has been dialed yet.

        The next process would use the count again, and be taken for one whose state was rolled back.
        """
        self.is_start_durable = self.mesh.may_be_seen = False
        for member in list(self.mesh.links):
            self.mesh.close_link(member)

    def _send_message(self, action: SendMessage) -> None:
        message = action.message
        kind = type(message).__module__
        if kind == relay_messages.__name__:
            if action.member == self.member_id:
                self.custody.receive_own_message(message)
                return
            channel, row = RELAY, relay_messages.to_row(message)
        elif kind == consensus_messages.__name__:
            channel, row = CONSENSUS, consensus_messages.to_row(message)
        elif kind == lease_messages.__name__:
            channel, row = LEASES, lease_messages.to_row(message)
        else:
            channel, row = SWITCHOVER, switchover_messages.to_row(message)
        sent_at_us = None
        if isinstance(message, relay_messages.Entry):
            # the remaining time is as of when the machine returned the entry
            now_us = self.mesh.context.now_us()
            sent_at_us = now_us + self.streams_runner.now_us - self.host.clock()
        if not self.mesh.send(action.member, channel, row, sent_at_us):
            self._open_link(action.member)

    def _open_link(self, member: MemberId) -> None:
        """Open a link to the member: at the configured address, else the gossiped one, else the table's."""
        if not self.is_start_durable:
            return
        if member == self.member_id or (
            len(self.mesh.links) >= MAX_PERMANENT_LINKS and member not in self.mesh.links
        ):
            return
        view = self.membership.view(member)
        rows = self.table.sites.get(member.site, ())
        table_address = next((row.address for row in rows if row.name == member.name), None)
        address = self.config.via.get(member) or (view.address if view else table_address) or table_address
        if address is not None:
            self.mesh.open_link(member, address)

    def _update_links(self) -> None:
        """Open links to all members in the table and close all others."""
        wanted = {
            m for site in self.table.sites for m in self.table.members(site)
        } - self.table.decommissioned
        for member in [m for m in self.mesh.links if m not in wanted]:
            self.mesh.close_link(member)
        for member in sorted(wanted):
            self._open_link(member)

    # Table

    def _table_in_force(self, action: TableInForce) -> None:
        self.table = action.table
        self.tables.put(action.table.number, action.table.owners)
        self.serving.changed_at_us = self.host.clock()
        log.info(
            "federation: table %d (%s) is in force here%s",
            action.table.number,
            action.table.digest,
            f", after {action.previous.number}" if action.previous else "",
        )
        self.host.schedule(0, self.publications.forward_unserved)
        if self.shared is not None:
            earlier = [
                table
                for table in self.switchover.registry.ledger.history
                if table.number < action.table.number
            ]
            self.shared.apply_table(
                action.table, tuple(table.members(self.member_id.site) for table in earlier)
            )
        if self.is_started:
            self._update_links()

    def _check_table(self, action: CheckTable) -> None:
        error = self.switchover.objection(action.table)
        objection = error.line() if error else self.serving.objection(action.table, self.member_id.site)
        self.federation_runner.post_event(TableChecked(action.table.proposal_id, objection))

    def _serving_suspended(self, action: SuspendServing) -> None:
        self.serving.set_suspension(action)
        if not action.is_suspended:
            self.host.schedule(0, self.publications.forward_unserved)

    def _released(self, released: DestinationReleased) -> None:
        self.federation_runner.post_event(released)

    def _proposal_ended(self, action: ProposalOutcome) -> None:
        self.admin_calls.record_outcome(action)


def _decode_datagram(event: mesh_events.DatagramArrived) -> DatagramReceived:
    return DatagramReceived(gossip.from_row(event.row), event.source)


DECODERS: dict[tuple[str, type], Callable[[Any], Any]] = {
    (MEMBERSHIP, mesh_events.DatagramArrived): _decode_datagram,
    (MEMBERSHIP, mesh_events.ExchangeRequested): lambda e: StateReceived(gossip.from_row(e.row), e.reply_id),
    (MEMBERSHIP, mesh_events.ExchangeReplied): lambda e: StateReceived(gossip.from_row(e.row)),
    (MEMBERSHIP, mesh_events.ExchangeAborted): lambda e: ExchangeFailed(e.address),
    (RELAY, MessageReceived): lambda e: MessageReceived(e.member, relay_messages.from_row(e.message)),
    (CONSENSUS, MessageReceived): lambda e: MessageReceived(e.member, consensus_messages.from_row(e.message)),
    (SWITCHOVER, MessageReceived): lambda e: MessageReceived(
        e.member, switchover_messages.from_row(e.message)
    ),
    (LEASES, MessageReceived): lambda e: MessageReceived(e.member, lease_messages.from_row(e.message)),
}


def join(host: Host, ports: Ports) -> None:
    """Create the component of the configured federation and register it with the host."""
    assert host.config.federation is not None
    component = FederationComponent(host, ports, host.config.federation)
    previous = host.completions.on_completed

    def on_completed(number: int) -> None:
        previous(number)
        component.publications.message_completed(number)

    host.completions.on_completed = on_completed
    host.completions.listeners.append(component.custody.report_outcome)
    host.admission.interceptors.append(component.publications.intercept)
    host.restore_handlers.append(component.publications.claim_restored)
    host.list_listeners.append(component.on_list_changed)
    host.components.append(component)
