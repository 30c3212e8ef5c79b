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
from madderbeam.host.federation.calls import Calls, Member
from madderbeam.host.federation.custody import Custody
from madderbeam.host.federation.kept import Kept
from madderbeam.host.federation.publications import Publications
from madderbeam.host.federation.runner import Runner
from madderbeam.host.federation.serving import Serving
from madderbeam.host.federation.shared import Shared
from madderbeam.host.host import Host
from madderbeam.membership import messages as gossip
from madderbeam.membership.incarnations import next_incarnation
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
from madderbeam.relay.custody import Custodian, CustodySettings
from madderbeam.relay.door import Room as Backlog
from madderbeam.relay.grouping import Tables
from madderbeam.relay.origin import Streams, StreamSettings
from madderbeam.relay.subscriptions import Subscriptions
from madderbeam.relay.values import Expand, PublicationEnded, Settled, SiteEnded, Subscribed
from madderbeam.shared import lease_messages
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.leases import Leases
from madderbeam.shared.partner_outages import PartnerOutages
from madderbeam.shared.values import ApplyFinding, FindingExpired, SetAllowance, SetProbing
from madderbeam.transport.mesh import events as mesh_events
from madderbeam.transport.mesh.events import MeshSettings
from madderbeam.transport.mesh.mesh import Mesh

# Mesh channels: membership, relay, consensus on the table, switchover, leases on limits.
MEMBERSHIP, RELAY, CONSENSUS, S, LEASES = "m", "r", "t", "s", "l"
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
        self.kept = Kept(ports.disk, host.config.state.rstrip("/") + "-federation", sync)
        self.chance = random.Random(f"federation {host.config.seed}")
        self.me = config.id
        self.life = next_incarnation(self.kept.map, self.chance.getrandbits(64))
        self.table = self._known()
        self.mesh = Mesh(
            host.loop,
            ports.network,
            self.me,
            self.life,
            config.name,
            config.listen,
            self._on_mesh_event,
            channels=(MEMBERSHIP, RELAY, CONSENSUS, S, LEASES),
            rng=self.chance,
            settings=MeshSettings(drift_ppm=config.lease_drift_ppm),
        )
        # None: not posted yet; an empty set is posted too
        self.posted_subscriptions: dict[str, set[int]] | None = None
        self.started = False
        self._create_membership()
        self._create_table_machines()
        self._create_relay()
        self._create_sharing()
        self.calls = Calls(
            Member(
                host,
                ports.disk,
                config,
                self.membership,
                self.agreement,
                self.switch,
                self.streams,
                self.custodian,
                self.mesh,
                self.shared,
                lambda: self.table,
                self.federation.tell,
            )
        )
        self._handlers: dict[type, Callable[[Any], None]] = self._action_handlers()

    def _known(self) -> Table:
        """Return the last table in force here, or the configured one if none ever was."""
        row = self.kept.map.get(("force", ""))
        return self.config.table if row is None else ledger.read_ledger(row).table

    def _run(self, machine: Any) -> Runner:
        return Runner(self.host.loop, self.host.clock, machine, self.kept, self.act)

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
            settings, self.me, self.life, config.listen, seeds, config.via, self.chance, self.kept.map
        )
        self.members = self._run(self.membership)

    def _create_table_machines(self) -> None:
        config = self.config
        agreement_settings = AgreementSettings(vote_timeout_us=config.agree_within_ms * 1000)
        self.agreement = Agreement(
            agreement_settings, self.me, self.life, self.chance, self.kept.map, self.table
        )
        switchover_settings = SwitchoverSettings(
            lease_us=(config.lease_ms or 0) * 1000, drift_ppm=config.lease_drift_ppm
        )
        self.switch = Switchover(
            switchover_settings,
            self.me,
            self.life,
            self.kept.map,
            self.table,
            AgreementView(self.agreement),
            self._wall_ms,
        )
        self.machine = Federation(self.agreement, self.switch)
        self.federation = self._run(self.machine)
        self.serving = Serving(
            self.host,
            self.me,
            self._may_call,
            self._released,
            lambda message: self.publications.passed_on(message),
            config.lease_ms is not None,
        )

    def _may_call(self, dest: int) -> bool:
        """Whether a call may start; evaluated before each, so that a pause counts before a timer is due."""
        now = self.host.clock()
        return self.switch.may_call(now, dest) and not self.membership.was_paused(now)

    def _create_relay(self) -> None:
        config = self.config
        self.subscriptions = Subscriptions(self.me, self.life)
        self.tables = Tables(self.me.site, self.subscriptions.subscribers)
        backlog = Backlog(
            config.backlog_messages, config.backlog_bytes, away_again_us=config.wait_told_ms * 1000
        )
        windows = [
            message_class.key_window_us
            for message_class in self.host.settings.classes
            if message_class.idempotency is Idempotency.WITH_KEY
        ]
        settings = StreamSettings(room=backlog, keyed_window_us=min(windows, default=0))
        self.streams = Streams(settings, self.me, self.life, self._wall_ms, self.kept.map)
        self.custodian = Custodian(
            CustodySettings(), self.me, self.life, self.tables.expand, self._wall_ms, self.kept.map
        )
        self.topics, self.origin = self._run(self.subscriptions), self._run(self.streams)
        self.relay = self._run(self.custodian)
        self.custody = Custody(
            self.host,
            self.me,
            self.life,
            self.custodian,
            self.relay.tell,
            self.origin.tell,
            lambda message: self.publications.take_back(message),
            self.kept,
        )
        self.publications = Publications(
            self.host,
            self.me,
            self.serving,
            self.streams,
            self.subscriptions,
            lambda: self.table,
            self.origin.tell,
            self.custody.local,
            config.wait_told_ms * 1000,
            self.custody.deliveries.__contains__,
            self.custody.settling.__contains__,
        )

    def _create_sharing(self) -> None:
        """Create the machines of findings and leases if the couriers of this site share them."""
        self.shared: Shared | None = None
        self.news: Runner | None = None
        if not self.config.share:
            return
        partners = PartnerOutages(self.me, self.life)
        settings = LeaseSettings(drift_ppm=self.config.lease_drift_ppm)
        leases = Leases(
            settings,
            self.me,
            self.life,
            self.chance,
            self.kept.map,
            lambda resource: self.shared.more.in_use(resource) if self.shared is not None else 0.0,
        )
        self.news, self.leases = self._run(partners), self._run(leases)
        self.shared = Shared(
            self.host, self.me, self.life, self.serving, partners, leases, self.news.tell, self.leases.tell
        )

    @property
    def runners(self) -> tuple[Runner, ...]:
        """The runners of all state machines."""
        shared = (self.news, self.leases) if self.news is not None else ()
        return self.members, self.federation, self.topics, self.origin, self.relay, *shared

    # Component interface

    def open(self) -> None:
        """Start the member; the journal is restored. OSError if the mesh can't listen on its address."""
        port = self.mesh.listen()
        log.info(
            "federation %s: start %d of %s, listening on port %d",
            self.config.name,
            self.life.start,
            self.me,
            port,
        )
        self.started = True
        now = self.host.clock()
        if self.kept.damaged:
            self.federation.tell(RollbackDetected(self.life, self.life))
        self.federation.run(self.machine.start(now))
        self.members.run(self.membership.start(now))
        self.listed()
        self.custody.open()
        self.publications.resume()
        if self.shared is not None:
            self.shared.open()
        self._update_links()

    def listed(self) -> None:
        """Post the topic subscriptions of the partner list if they changed."""
        topics: dict[str, set[int]] = {}
        for number, subscribed in self.host.registry.subscribed_topics.items():
            if entry := self.host.registry.entries.get(number):
                for topic in subscribed:
                    topics.setdefault(topic, set()).add(entry.destination)
        # An empty set is posted too: after their start other sites wait for this site's subscriptions.
        if self.started and (topics != self.posted_subscriptions or not self.subscriptions.version):
            self.posted_subscriptions = topics
            self.topics.tell(Subscribed(topics, self.subscriptions.version + 1))
        if self.started and self.shared is not None:
            self.shared.listed()

    def reload_files(self) -> None:
        """Propose the configured table file if it is newer."""
        self.calls.propose_file()

    def begin_shutdown(self) -> None:
        """Announce the shutdown to the other members."""
        for runner in (self.relay, self.members, *((self.leases,) if self.news is not None else ())):
            runner.tell(SetDraining(True))

    def close(self) -> None:
        """Leave the federation, and close all runners, the mesh and the state file."""
        if self.started:
            if self.shared is not None:
                self.leases.tell(Leave())
                self.shared.close()
            self.members.tell(Leave())
        for runner in self.runners:
            runner.close()
        self.custody.close()
        self.mesh.close()
        self.kept.close()

    def metrics(self) -> dict[str, int]:
        """Return the metrics of federation and mesh by name."""
        custody = {f"federation.{name}": count for name, count in self.custodian.figures.items()}
        mesh = {f"mesh.{name}": count for name, count in sorted(self.mesh.metrics().items())}
        return {
            "federation.members": len(self.membership.alive()) + 1,
            "federation.table": self.table.number,
            "federation.publications": self.publications.taken,
            "federation.refused": self.publications.refused,
            "federation.unwritten": sum(r.unwritten for r in self.runners),
            **custody,
            **mesh,
        }

    # Mesh events

    def _on_mesh_event(self, channel: str, event: Any) -> None:
        """Pass a mesh event to its state machine; invalid rows are only counted."""
        if self.membership.was_paused(self.host.clock()):
            # handle a pause before the messages that arrived during it
            self.members.tell(TimerDue(""))
        if isinstance(event, (LinkUp, LinkDown)):
            for runner in (self.federation, self.origin, self.relay):
                runner.tell(event)
            return
        if isinstance(event, mesh_events.LaterIncarnationSeen):
            self.federation.tell(RollbackDetected(event.seen, self.life))
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
            self.members.tell(decoded)
            if self.shared is not None and isinstance(event, mesh_events.ExchangeReplied):
                self.shared.warm()
        elif channel == LEASES:
            if self.news is not None:
                self.leases.tell(decoded)
        elif channel == RELAY:
            is_for_origin = isinstance(
                decoded.message, (relay_messages.Ack, relay_messages.Nak, relay_messages.Ends)
            )
            (self.origin if is_for_origin else self.relay).tell(decoded)
        else:
            self.federation.tell(decoded)

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

    def act(self, action: Any) -> None:
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
            Disseminate: self.members.tell,
            IncarnationRaised: self._incarnation_raised,
            PauseDetected: self._resumed,
            RollbackDetected: self.federation.tell,
            SendMessage: self._send_message,
            TableInForce: self._in_force,
            CheckTable: self._check_table,
            BeginServing: self.serving.begin,
            Relinquish: self.serving.relinquish,
            SuspendServing: self._hold,
            ProposalOutcome: self._proposal_ended,
            Expand: self.custody.expand,
            Settled: self.custody.settled,
            SiteEnded: self.publications.site_ended,
            PublicationEnded: self.publications.ended,
            **self._sharing_handlers(),
        }

    def _sharing_handlers(self) -> dict[type, Callable[[Any], None]]:
        if self.shared is None:
            return {}
        return {
            ApplyFinding: self.shared.heed,
            FindingExpired: self.shared.lapsed,
            SetProbing: self.shared.try_for,
            SetAllowance: self.shared.allot,
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
        shared = (self.news, self.leases) if self.news is not None else ()
        for runner in (self.federation, self.topics, self.origin, *shared):
            runner.tell(action)
        if view.state in (State.ALIVE, State.SUSPECT):
            self._open_link(view.id)

    def _gossip_received(self, action: GossipReceived) -> None:
        self.topics.tell(action)
        self.federation.tell(action)
        if self.news is not None:
            self.news.tell(action)

    def _resumed(self, action: PauseDetected) -> None:
        log.warning(
            "federation: this process was paused for %.1f s; querying which table is in force",
            action.paused_us / 1e6,
        )
        self.federation.tell(ServingPaused())
        if self.news is not None:
            self.leases.tell(action)
        self.serving.refresh()  # lists destinations that the pause check had hidden

    def _incarnation_raised(self, action: IncarnationRaised) -> None:
        """Use a raised incarnation in everything that is sent from now on."""
        if action.incarnation != self.life:
            self.life = action.incarnation
            log.warning("federation: %s continues as start %d", self.me, self.life.start)
            self.mesh.set_incarnation(self.life)
            shared = (self.news,) if self.news is not None else ()
            for runner in (self.federation, self.topics, *shared):
                runner.tell(action)

    def _send_message(self, action: SendMessage) -> None:
        message = action.message
        kind = type(message).__module__
        if kind == relay_messages.__name__:
            if action.member == self.me:
                self.custody.to_self(message)
                return
            channel, row = RELAY, relay_messages.to_row(message)
        elif kind == consensus_messages.__name__:
            channel, row = CONSENSUS, consensus_messages.to_row(message)
        elif kind == lease_messages.__name__:
            channel, row = LEASES, lease_messages.to_row(message)
        else:
            channel, row = S, switchover_messages.to_row(message)
        sent_at_us = None
        if isinstance(message, relay_messages.Entry):
            # the remaining time is as of when the machine returned the entry
            now_us = self.mesh.context.now_us()
            sent_at_us = now_us + self.origin.now_us - self.host.clock()
        if not self.mesh.send(action.member, channel, row, sent_at_us):
            self._open_link(action.member)

    def _open_link(self, member: MemberId) -> None:
        """Open a link to the member: at the configured address, else the gossiped one, else the table's."""
        if member == self.me or (
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

    def _in_force(self, action: TableInForce) -> None:
        self.table = action.table
        self.tables.put(action.table.number, action.table.owners)
        self.serving.changed_us = self.host.clock()
        log.info(
            "federation: table %d (%s) is in force here%s",
            action.table.number,
            action.table.digest,
            f", after {action.previous.number}" if action.previous else "",
        )
        self.host.schedule(0, self.publications.forward_unserved)
        if self.shared is not None:
            earlier = [
                table for table in self.switch.registry.ledger.history if table.number < action.table.number
            ]
            self.shared.table(action.table, tuple(table.members(self.me.site) for table in earlier))
        if self.started:
            self._update_links()

    def _check_table(self, action: CheckTable) -> None:
        error = self.switch.objection(action.table)
        objection = error.line() if error else self.serving.why_not(action.table, self.me.site)
        self.federation.tell(TableChecked(action.table.proposal_id, objection))

    def _hold(self, action: SuspendServing) -> None:
        self.serving.keep(action)
        if not action.is_suspended:
            self.host.schedule(0, self.publications.forward_unserved)

    def _released(self, released: DestinationReleased) -> None:
        self.federation.tell(released)

    def _proposal_ended(self, action: ProposalOutcome) -> None:
        self.calls.outcome(action)


def _came(event: mesh_events.DatagramArrived) -> DatagramReceived:
    return DatagramReceived(gossip.from_row(event.row), event.source)


DECODERS: dict[tuple[str, type], Callable[[Any], Any]] = {
    (MEMBERSHIP, mesh_events.DatagramArrived): _came,
    (MEMBERSHIP, mesh_events.ExchangeRequested): lambda e: StateReceived(gossip.from_row(e.row), e.reply_id),
    (MEMBERSHIP, mesh_events.ExchangeReplied): lambda e: StateReceived(gossip.from_row(e.row)),
    (MEMBERSHIP, mesh_events.ExchangeAborted): lambda e: ExchangeFailed(e.address),
    (RELAY, MessageReceived): lambda e: MessageReceived(e.member, relay_messages.from_row(e.message)),
    (CONSENSUS, MessageReceived): lambda e: MessageReceived(e.member, consensus_messages.from_row(e.message)),
    (S, MessageReceived): lambda e: MessageReceived(e.member, switchover_messages.from_row(e.message)),
    (LEASES, MessageReceived): lambda e: MessageReceived(e.member, lease_messages.from_row(e.message)),
}


def join(host: Host, ports: Ports) -> None:
    """Create the component of the configured federation and register it with the host."""
    assert host.config.federation is not None
    component = FederationComponent(host, ports, host.config.federation)
    previous = host.completions.on_completed

    def on_completed(number: int) -> None:
        previous(number)
        component.publications.over(number)

    host.completions.on_completed = on_completed
    host.completions.listeners.append(component.custody.ended)
    host.admission.interceptors.append(component.publications.door)
    host.restore_handlers.append(component.publications.claim_restored)
    host.list_listeners.append(component.listed)
    host.components.append(component)
