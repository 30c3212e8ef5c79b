"""A site's couriers on a simulated network, against a partner that counts calls.

Each courier has the real delivery engine, endpoint registry and shared state, over real membership machines.
Calls, connections, journal and clients are left out.
"""

from __future__ import annotations

import pickle
import sys
from collections import deque
from pathlib import Path
from types import SimpleNamespace

sys.path.append(str(Path(__file__).parents[1] / "membership"))

from swimnet import Net, Node, S

from madderbeam.host.endpoint_registry import EndpointRegistry
from madderbeam.host.federation.site_sharing import SiteSharing
from madderbeam.membership.settings import MembershipSettings as Times
from madderbeam.membership.values import (
    Disseminate,
    GossipReceived,
    Incarnation,
    LogLine,
    MemberChanged,
    MemberId,
    SetTimer,
    TimerDue,
)
from madderbeam.policy import actions as policy_actions
from madderbeam.policy.actions import Fail, Reject, Send
from madderbeam.policy.engine import DeliveryEngine
from madderbeam.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointListUpdate,
    ListUpdateKind,
    MessageArrived,
)
from madderbeam.policy.events import TimerDue as EngineTimerDue
from madderbeam.policy.settings import MessageClass, Settings
from madderbeam.shared.partner_outages import PartnerOutages
from madderbeam.shared.values import ApplyFinding, FindingExpired, SetProbing, SiteMembers
from madderbeam.transport.calls import Item
from madderbeam.transport.response_outcomes import Outcome

LATENCY_US, REFUSED_US = (5_000, 25_000), (500, 3_000)
CLASS = MessageClass("safe", latency_objective_us=S, deadline_us=20 * S)
# The values of `[defaults]` in an estate.
SETTINGS = Settings(
    (CLASS,),
    max_in_flight=16,
    max_pending=400,
    tick_us=5_000,
    cold_capacity_share=0.15,
    warm_up_us=12 * S,
    overload_multiple=2.5,
    overload_window_us=2 * S,
    max_retry_after_us=10 * S,
)


class Caller:
    """Runs the functions that are due."""

    def handle(self, now, event):
        event()
        return []


def settled(members, seed=1, settle_s=15):
    """Membership machines that know each other, pickled: each scene starts with a copy."""
    net = Net(seed, Times(probe_period_us=S, probe_timeout_us=S // 2))
    net.grow(members, sites=1, settle_s=settle_s)
    for node in net.nodes.values():
        node.log.clear()
    return pickle.dumps(net)


class SiteNetwork:
    """`share`: whether couriers share findings. `rates`: messages per second of each courier."""

    def __init__(self, base, seed, share, rates, partner, settings=SETTINGS):
        self.net: Net = pickle.loads(base)
        self.net.chance.seed(seed)
        self.chance, self.share, self.partner = self.net.chance, share, partner
        self.caller = Node(MemberId("", ""), ("", 0))
        self.caller.machine = Caller()
        nodes = list(self.net.nodes.values())
        self.couriers = {n.id: ModelCourier(self, n, settings) for n in nodes}
        self.net._changed = lambda node, view: None
        inner = self.net._do

        def do(node, actions):
            inner(node, actions)
            for action in actions:
                if share and isinstance(action, (GossipReceived, MemberChanged)):
                    self.couriers[node.id].tell_news(action)
            node.log.clear()

        self.net._do = do
        for courier in self.couriers.values():
            courier.begin(tuple(self.couriers))
        for courier, rate in zip(self.couriers.values(), rates, strict=True):
            courier.feed(rate)

    @property
    def now(self):
        return self.net.now

    def later(self, after_us, act):
        self.net._push(self.now + max(0, int(after_us)), self.caller, act)

    def run(self, span_us):
        self.net.until(self.now + span_us)


class ModelCourier:
    """The host's part, for Shared and the delivery engine."""

    def __init__(self, network, node, settings):
        self.network, self.node, self.settings = network, node, settings
        self.clock = lambda: network.now
        self.registry = EndpointRegistry(settings, (), self.clock)
        self.courier = DeliveryEngine(settings, network.chance.getrandbits(32))
        hooks = SimpleNamespace(told_wait=self.registry.apply_retry_after, ended=self._ended)
        self.calls = SimpleNamespace(hooks=hooks)
        self.events, self.queue, self.attempts = [], deque(), {}
        self.busy = self.due = False
        self.last, self.number, self.timers = -S, 0, {}
        self.heeds = []  # (when, news)
        self.shared = None
        self.config = SimpleNamespace(quota=None)  # without leases on places and quotas
        self.routing = SimpleNamespace(router=None)
        if network.share:
            self.partners = PartnerOutages(node.id, Incarnation(1, 1))
            serving = SimpleNamespace(may_start_call=None, repost_list=lambda: None)
            leases = SimpleNamespace(status=lambda now: {}, amount=lambda name, now: 0.0)
            self.shared = SiteSharing(
                self,
                node.id,
                Incarnation(1, 1),
                serving,
                self.partners,
                leases,
                self.tell_news,
                lambda event: None,
            )
            self.registry.is_served = self.shared.may_start_call

    def begin(self, members):
        target = {"uid": "p-1", "endpoint": "10.0.0.1:80", "pod_group": 1, "state": "in_service"}
        entries = [e for e, _ in self.registry.apply({"targets": [target]})]
        self.post_list_update(ListUpdateKind.CACHED, entries)
        if self.shared is not None:
            self.tell_news(SiteMembers(members))
            self.shared.stop_waiting()
            self.schedule(self.network.chance.random() / 4, self.shared._check_all)
            self.post_list_update(ListUpdateKind.DELTA, entries)

    # Parts of the host

    def schedule(self, seconds, act):
        self.network.later(seconds * S, act)

    def post_list_update(self, form, entries):
        self.post_event(EndpointListUpdate(form, tuple(map(self.registry.as_shown_to_engine, entries))))

    def post_event(self, event):
        self.events.append(event)
        if not self.due:
            self.due = True
            self.network.later(max(0, self.last + self.settings.tick_us - self.network.now), self._turn)

    def _turn(self):
        self.due, self.last = False, self.network.now
        events, self.events = self.events, []
        for a in self.courier.handle(self.network.now, events):
            if isinstance(a, Send):
                self._send(a)
            elif isinstance(a, policy_actions.SetTimer):
                self.network.later(
                    a.delay_us + 50, lambda token=a.token: self.post_event(EngineTimerDue(token))
                )
            elif isinstance(a, (Reject, Fail)):
                self.attempts.pop(a.message, None)
                self.network.partner.unserved += 1

    def _send(self, a):
        attempt = self.attempts.get(a.message, 0)
        self.attempts[a.message] = attempt + 1
        if not self.registry.may_write(a.endpoint):
            self.post_event(AttemptEnded(a.message, attempt, a.endpoint, AttemptResult.NOT_SENT, 1))
            return
        result, latency, wait = self.network.partner.call(
            self.network.now, self.network.chance, self.node.id, a
        )
        item, begun = Item(a.message, attempt, "", "", b"", a.timeout_us), self.network.now

        def end():
            if wait:
                self.calls.hooks.told_wait(a.endpoint, wait)
            outcome = Outcome(result, result is AttemptResult.OK, wait)
            self.calls.hooks.ended(item, a.endpoint, outcome, self.network.now - begun)

        self.network.later(latency, end)

    def _ended(self, item, endpoint, outcome, latency):
        if outcome.over:
            self.attempts.pop(item.number, None)
        self.post_event(
            AttemptEnded(
                item.number, item.attempt, endpoint, outcome.result, latency, outcome.over, outcome.wait_us
            )
        )

    def feed(self, rate):
        if rate > 0:
            self.schedule(self.network.chance.expovariate(rate), lambda: self._arrives(rate))

    def _arrives(self, rate):
        self.number += 1
        self.post_event(MessageArrived(self.number, 0, 1, self.network.now + CLASS.deadline_us))
        self.feed(rate)

    # The state machine of the findings

    def tell_news(self, event):
        self.queue.append(event)
        if self.busy:
            return
        self.busy = True
        while self.queue:
            for action in self.partners.handle(self.network.now, self.queue.popleft()):
                self._act(action)
        self.busy = False

    def _act(self, action):
        if isinstance(action, Disseminate):
            self.network.net.give(self.node, action)
        elif isinstance(action, SetTimer):
            self.timers[action.token] = action.at_us
            self.network.later(action.at_us - self.network.now, lambda: self._timer(action))
        elif isinstance(action, ApplyFinding):
            self.heeds.append((self.network.now, action.finding))
            self.shared.apply_finding(action)
        elif isinstance(action, FindingExpired):
            self.shared.finding_expired(action)
        elif isinstance(action, SetProbing):
            self.shared.set_probing(action)
        else:
            assert isinstance(action, LogLine), action

    def _timer(self, action):
        if self.timers.get(action.token) == action.at_us:
            self.tell_news(TimerDue(action.token))


class ModelPartner:
    """Answers, resets connections, hangs or sends Retry-After.

    After its return it is cold, and goes down if it gets more than `overload_multiple` times its capacity of
    that moment for `overload_window_us`.
    """

    def __init__(self, capacity, settings=SETTINGS):
        self.capacity, self.s = capacity, settings
        self.mode, self.wait_us, self.back_us, self.fell_us = "ok", 0, -1, -1
        self.calls, self.answers, self.unserved = [], [], 0  # calls: time and member; answers: time
        self.pushes: deque = deque()

    def warmth(self, now):
        if self.back_us < 0:
            return 1.0
        c = self.s.cold_capacity_share
        return min(1.0, c + (1 - c) * (now - self.back_us) / self.s.warm_up_us)

    def returns(self, now):
        self.mode, self.back_us = "ok", now
        self.pushes.clear()

    def call(self, now, chance, member, a):
        """The result of a call, its latency, and its Retry-After."""
        self.calls.append((now, member))
        if self.mode == "out":
            return AttemptResult.RESET, chance.randrange(*REFUSED_US), 0
        if self.mode == "hang":
            return AttemptResult.TIMEOUT, a.timeout_us, 0
        if self.mode == "wait":
            left = self.wait_us - now
            return (
                (AttemptResult.OVERLOADED, chance.randrange(*REFUSED_US), left)
                if left > 0
                else self._ok(now, chance)
            )
        if self.fell_us >= 0:
            return AttemptResult.RESET, chance.randrange(*REFUSED_US), 0
        if self.back_us >= 0 and self.warmth(now) < 1:
            self._push(now)
        return self._ok(now, chance)

    def _ok(self, now, chance):
        self.answers.append(now)
        return AttemptResult.OK, chance.randrange(*LATENCY_US), 0

    def _push(self, now):
        """Count the call, and go down under overload.

        That is when the last window's calls exceed what the partner bears, with some slack for chance.
        """
        self.pushes.append(now)
        while self.pushes[0] <= now - self.s.overload_window_us:
            self.pushes.popleft()
        bears = self.s.overload_multiple * self.capacity * self.warmth(now) * self.s.overload_window_us / S
        if len(self.pushes) > bears + 2 * bears**0.5 + 1:
            self.fell_us = now
