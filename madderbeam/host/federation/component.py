"""The federation's room: mesh, membership, streams, custody and table, joined with the turn."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from madderbeam.config.federation import Federation as Config
from madderbeam.federation.consensus import messages as words
from madderbeam.federation.consensus.agreement import Agreement
from madderbeam.federation.consensus.rounds import AgreementSettings
from madderbeam.federation.federation import Federation
from madderbeam.federation.switchover import ledger, messages
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
from madderbeam.relay import messages as streams
from madderbeam.relay.custody import Custodian, CustodySettings
from madderbeam.relay.door import Room as Backlog
from madderbeam.relay.grouping import Tables
from madderbeam.relay.origin import Streams, StreamSettings
from madderbeam.relay.subscriptions import Subscriptions
from madderbeam.relay.values import Expand, PublicationEnded, Settled, SiteEnded, Subscribed
from madderbeam.shared import lease_messages as lent
from madderbeam.shared.lease_settings import LeaseSettings
from madderbeam.shared.leases import Leases
from madderbeam.shared.partner_outages import PartnerOutages
from madderbeam.shared.values import ApplyFinding, FindingExpired, SetAllowance, SetProbing
from madderbeam.transport.mesh import events as heard
from madderbeam.transport.mesh.events import MeshSettings
from madderbeam.transport.mesh.mesh import Mesh

# Channels: membership, relay, agreement on the table, switch-over, leases on limits.
M, R, T, S, L = "m", "r", "t", "s", "l"
LINKS = 256  # that are kept up; to more members they are made when there is something to say
log = logging.getLogger(__name__)


class FederationComponent(Component):
    """One member. Its machines run from `open` on; what they keep lies beside the journal's folder."""

    def __init__(self, host: Host, ports: Ports, config: Config) -> None:
        """OSError if its folder can't be used."""
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
            self._heard,
            channels=(M, R, T, S, L),
            rng=self.chance,
            settings=MeshSettings(drift_ppm=config.lease_drift_ppm),
        )
        self.subscribed: dict[str, set[int]] | None = None  # not told yet; that there are none is told, too
        self.started = False
        self._membership()
        self._table()
        self._relay()
        self._shared()
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
        self._actions: dict[type, Callable[[Any], None]] = self._acts()

    def _known(self) -> Table:
        """The table that was in force here last; the file's counts only where none ever was."""
        row = self.kept.map.get(("force", ""))
        return self.config.table if row is None else ledger.read_ledger(row).table

    def _run(self, machine: Any) -> Runner:
        return Runner(self.host.loop, self.host.clock, machine, self.kept, self.act)

    def _wall_ms(self, now_us: int) -> int:
        """Wall time of a monotonic one, as the journal has it: it does not step while the process lives."""
        wall = self.host.journal.wall
        return int((wall() - (self.host.clock() - now_us) / 1e6) * 1e3)

    # The parts

    def _membership(self) -> None:
        c, t = self.config, self.config.times
        settings = MembershipSettings(
            probe_period_us=t.probe_period_ms * 1000,
            probe_timeout_us=t.probe_timeout_ms * 1000,
            indirect_probes=t.indirect_probes,
            suspicion_alpha=t.suspicion_alpha,
            suspicion_beta=t.suspicion_beta,
            exchange_period_us=t.exchange_period_ms * 1000,
        )
        seeds = tuple(c.via.get(member, address) for member, address in c.seeds)
        self.membership = Membership(
            settings, self.me, self.life, c.listen, seeds, c.via, self.chance, self.kept.map
        )
        self.members = self._run(self.membership)

    def _table(self) -> None:
        c = self.config
        agreed = AgreementSettings(vote_timeout_us=c.agree_within_ms * 1000)
        self.agreement = Agreement(agreed, self.me, self.life, self.chance, self.kept.map, self.table)
        switched = SwitchoverSettings(lease_us=(c.lease_ms or 0) * 1000, drift_ppm=c.lease_drift_ppm)
        self.switch = Switchover(
            switched,
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
            lambda m: self.publications.passed_on(m),
            c.lease_ms is not None,
        )

    def _may_call(self, dest: int) -> bool:
        """Asked just before each call: also the first after a pause, before any timer has told of it."""
        now = self.host.clock()
        return self.switch.may_call(now, dest) and not self.membership.was_paused(now)

    def _relay(self) -> None:
        c = self.config
        self.subscriptions = Subscriptions(self.me, self.life)
        self.tables = Tables(self.me.site, self.subscriptions.subscribers)
        backlog = Backlog(c.backlog_messages, c.backlog_bytes, away_again_us=c.wait_told_ms * 1000)
        windows = [
            k.key_window_us for k in self.host.settings.classes if k.idempotency is Idempotency.WITH_KEY
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
            lambda m: self.publications.come_home(m),
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
            c.wait_told_ms * 1000,
            self.custody.deliveries.__contains__,
            self.custody.settling.__contains__,
        )

    def _shared(self) -> None:
        """What the couriers of this site share, if they do."""
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
            lambda r: self.shared.more.in_use(r) if self.shared is not None else 0.0,
        )
        self.news, self.leases = self._run(partners), self._run(leases)
        self.shared = Shared(
            self.host, self.me, self.life, self.serving, partners, leases, self.news.tell, self.leases.tell
        )

    @property
    def runners(self) -> tuple[Runner, ...]:
        shared = (self.news, self.leases) if self.news is not None else ()
        return self.members, self.federation, self.topics, self.origin, self.relay, *shared

    # As a room

    def open(self) -> None:
        """The journal is restored: begin. OSError if the mesh's address can't be had."""
        port = self.mesh.listen()
        log.info(
            "federation %s: start %d of %s, others come at port %d",
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
        self._want()

    def listed(self) -> None:
        """The partner list may have other subscriptions."""
        topics: dict[str, set[int]] = {}
        for number, named in self.host.registry.subscribed_topics.items():
            if entry := self.host.registry.entries.get(number):
                for topic in named:
                    topics.setdefault(topic, set()).add(entry.destination)
        # Also where there is none: others wait for this site's word after their start.
        if self.started and (topics != self.subscribed or not self.subscriptions.version):
            self.subscribed = topics
            self.topics.tell(Subscribed(topics, self.subscriptions.version + 1))
        if self.started and self.shared is not None:
            self.shared.listed()

    def reload_files(self) -> None:
        self.calls.offer_file()

    def begin_shutdown(self) -> None:
        for runner in (self.relay, self.members, *((self.leases,) if self.news is not None else ())):
            runner.tell(SetDraining(True))

    def close(self) -> None:
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

    # What is heard

    def _heard(self, channel: str, event: Any) -> None:
        """From the mesh. What can't be read is counted, and does nothing."""
        if self.membership.was_paused(self.host.clock()):
            self.members.tell(TimerDue(""))  # a pause counts before what came meanwhile
        if isinstance(event, (LinkUp, LinkDown)):
            for runner in (self.federation, self.origin, self.relay):
                runner.tell(event)
            return
        if isinstance(event, heard.LaterIncarnationSeen):
            self.federation.tell(RollbackDetected(event.seen, self.life))
            return
        try:
            told = READ[channel, type(event)](event)
            if isinstance(told, MessageReceived):
                told = replace(told, earliest_sent_us=self._said(event))
        except ValueError as error:
            self.mesh.count_invalid_row(f"channel {channel}: {error}")
            return
        except KeyError:
            self.mesh.count_invalid_row(f"channel {channel}: {type(event).__name__}")
            return
        if channel == M:
            self.members.tell(told)
            if self.shared is not None and isinstance(event, heard.ExchangeReplied):
                self.shared.warm()
        elif channel == L:
            if self.news is not None:
                self.leases.tell(told)
        elif channel == R:
            origin = isinstance(told.message, (streams.Ack, streams.Nak, streams.Ends))
            (self.origin if origin else self.relay).tell(told)
        else:
            self.federation.tell(told)

    def _said(self, event: MessageReceived) -> int | None:
        """By the host's clock, read first: a pause between the two makes it earlier."""
        now_us = self.host.clock()
        return (
            None
            if event.earliest_sent_us is None
            else now_us + event.earliest_sent_us - self.mesh.context.now_us()
        )

    # What is to be done

    def act(self, action: Any) -> None:
        """One action of any of the machines."""
        self._actions[type(action)](action)

    def _acts(self) -> dict[type, Callable[[Any], None]]:
        return {
            SendDatagram: lambda a: self.mesh.send_datagram(a.address, M, gossip.to_row(a.message)),
            StartStateExchange: lambda a: self.mesh.exchange(a.address, gossip.to_row(a.message)),
            StateReply: lambda a: self.mesh.reply(a.reply_id, gossip.to_row(a.message)),
            MemberChanged: self._member_changed,
            GossipReceived: self._rumour,
            Disseminate: self.members.tell,
            IncarnationRaised: self._life_raised,
            PauseDetected: self._resumed,
            RollbackDetected: self.federation.tell,
            SendMessage: self._to_link,
            TableInForce: self._in_force,
            CheckTable: self._check,
            BeginServing: self.serving.begin,
            Relinquish: self.serving.relinquish,
            SuspendServing: self._hold,
            ProposalOutcome: self._outcome,
            Expand: self.custody.expand,
            Settled: self.custody.settled,
            SiteEnded: self.publications.site_ended,
            PublicationEnded: self.publications.ended,
            **self._shared_acts(),
        }

    def _shared_acts(self) -> dict[type, Callable[[Any], None]]:
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
            self._reach(view.id)

    def _rumour(self, action: GossipReceived) -> None:
        self.topics.tell(action)
        self.federation.tell(action)
        if self.news is not None:
            self.news.tell(action)

    def _resumed(self, action: PauseDetected) -> None:
        log.warning(
            "federation: this process was paused for %.1f s: it asks what is in force", action.paused_us / 1e6
        )
        self.federation.tell(ServingPaused())
        if self.news is not None:
            self.leases.tell(action)
        self.serving.refresh()  # what was hidden as the pause was noticed

    def _life_raised(self, action: IncarnationRaised) -> None:
        """All that others hear from here on is of this life."""
        if action.incarnation != self.life:
            self.life = action.incarnation
            log.warning("federation: %s goes on as start %d", self.me, self.life.start)
            self.mesh.set_incarnation(self.life)
            shared = (self.news,) if self.news is not None else ()
            for runner in (self.federation, self.topics, *shared):
                runner.tell(action)

    def _to_link(self, action: SendMessage) -> None:
        message = action.message
        kind = type(message).__module__
        if kind == streams.__name__:
            if action.member == self.me:
                self.custody.to_self(message)
                return
            channel, row = R, streams.to_row(message)
        elif kind == words.__name__:
            channel, row = T, words.to_row(message)
        elif kind == lent.__name__:
            channel, row = L, lent.to_row(message)
        else:
            channel, row = S, messages.to_row(message)
        said_us = None
        if isinstance(message, streams.Entry):  # its time left is what it was as the machine said it
            now_us = self.mesh.context.now_us()
            said_us = now_us + self.origin.now_us - self.host.clock()
        if not self.mesh.send(action.member, channel, row, said_us):
            self._reach(action.member)

    def _reach(self, member: MemberId) -> None:
        """Have a link there, by this courier's own file first, else by what was gossiped or the table has."""
        if member == self.me or (len(self.mesh.links) >= LINKS and member not in self.mesh.links):
            return
        view = self.membership.view(member)
        rows = self.table.sites.get(member.site, ())
        known = next((row.address for row in rows if row.name == member.name), None)
        address = self.config.via.get(member) or (view.address if view else known) or known
        if address is not None:
            self.mesh.open_link(member, address)

    def _want(self) -> None:
        """Links to all that the table names, and to no others."""
        named = {m for site in self.table.sites for m in self.table.members(site)} - self.table.decommissioned
        for member in [m for m in self.mesh.links if m not in named]:
            self.mesh.close_link(member)
        for member in sorted(named):
            self._reach(member)

    # The table

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
        self.host.schedule(0, self.publications.sweep)
        if self.shared is not None:
            before = [t for t in self.switch.registry.ledger.history if t.number < action.table.number]
            self.shared.table(action.table, tuple(t.members(self.me.site) for t in before))
        if self.started:
            self._want()

    def _check(self, action: CheckTable) -> None:
        error = self.switch.objection(action.table)
        why = error.line() if error else self.serving.why_not(action.table, self.me.site)
        self.federation.tell(TableChecked(action.table.proposal_id, why))

    def _hold(self, action: SuspendServing) -> None:
        self.serving.keep(action)
        if not action.is_suspended:
            self.host.schedule(0, self.publications.sweep)

    def _released(self, released: DestinationReleased) -> None:
        self.federation.tell(released)

    def _outcome(self, action: ProposalOutcome) -> None:
        self.calls.outcome(action)


def _came(event: heard.DatagramArrived) -> DatagramReceived:
    return DatagramReceived(gossip.from_row(event.row), event.source)


READ: dict[tuple[str, type], Callable[[Any], Any]] = {
    (M, heard.DatagramArrived): _came,
    (M, heard.ExchangeRequested): lambda e: StateReceived(gossip.from_row(e.row), e.reply_id),
    (M, heard.ExchangeReplied): lambda e: StateReceived(gossip.from_row(e.row)),
    (M, heard.ExchangeAborted): lambda e: ExchangeFailed(e.address),
    (R, MessageReceived): lambda e: MessageReceived(e.member, streams.from_row(e.message)),
    (T, MessageReceived): lambda e: MessageReceived(e.member, words.from_row(e.message)),
    (S, MessageReceived): lambda e: MessageReceived(e.member, messages.from_row(e.message)),
    (L, MessageReceived): lambda e: MessageReceived(e.member, lent.from_row(e.message)),
}


def join(host: Host, ports: Ports) -> None:
    """A member of the federation that the configuration has."""
    assert host.config.federation is not None
    room = FederationComponent(host, ports, host.config.federation)
    ended = host.completions.on_completed

    def over(number: int) -> None:
        ended(number)
        room.publications.over(number)

    host.completions.on_completed = over
    host.completions.listeners.append(room.custody.ended)
    host.admission.interceptors.append(room.publications.door)
    host.restore_handlers.append(room.publications.claims)
    host.list_listeners.append(room.listed)
    host.components.append(room)
