"""Arbitrary legal events for made-up settings: the rules hold on the actions, whatever the outcomes are."""

import random
from dataclasses import replace

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from madderbeam.policy.actions import Fail, Reject, Send, SetTimer
from madderbeam.policy.engine import DeliveryEngine
from madderbeam.policy.engine_state import WINDOW_SHARE
from madderbeam.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    MessageArrived,
    MessageWithdrawn,
    TimerDue,
)
from madderbeam.policy.settings import DestinationKind, Idempotency, MessageClass, Settings, Tenant

S = 1_000_000
TICK = 5_000
UNRUN = (AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)


def made_up(r):
    keyed = {
        "idempotency": Idempotency.WITH_KEY,
        "key_window_us": 4 * S,
        "key_scope": r.choice(("all", "zone")),
    }
    ordered = r.random() < 0.5
    return Settings(
        classes=(
            MessageClass("s", S, 5 * S, priority_weight=2.0),
            MessageClass("k", S, 8 * S, ordered=ordered, **keyed),
            MessageClass(
                "u",
                2 * S,
                9 * S,
                idempotency=Idempotency.NON_IDEMPOTENT,
                late_value_share=0.4,
                ordered=ordered,
            ),
        ),
        kinds=(DestinationKind("a", r.random() < 0.5, r.choice((1, 4))), DestinationKind("b")),
        max_in_flight=r.randint(1, 12),
        max_pending=30,
        tenants=(Tenant("t", 0.5, 3.0),) if r.random() < 0.5 else (),
        courier_count=r.randint(1, 4),
        max_attempts=r.randint(1, 8),
        rates_listed=r.random() < 0.5,
        zone_costs=(0.1, 0.0),
        max_retry_after_us=S,
        order_key_cooldown_us=S // 2,
        response_slack_us=20_000,
        tick_us=TICK,
        clients_mark_retries=r.random() < 0.5,
    )


@examples(max_examples=40, derandomize=True, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_the_rules_hold_for_arbitrary_events(seed):
    r = random.Random(seed)
    s = made_up(r)
    courier = DeliveryEngine(s, seed)
    places = {100 + n: (n % 3, n % 2) for n in range(6)}  # endpoint: destination, zone
    state = dict.fromkeys(places, EndpointState.READY)
    apart = [s.kinds[d % 2].limits_per_endpoint for d in range(3)]
    batch = [s.kinds[d % 2].max_batch for d in range(3)]
    now, ident, waits, timers = 10 * S, 0, {}, []
    live, history, out, ended, order, rest = {}, {}, {}, {}, [], {}
    doubts, doubted = random.Random(f"doubts {seed}"), set()  # of an endpoint's word that a message is over
    mood = r.choice(((9, 1, 1, 1, 1, 1, 1), (1, 3, 3, 3, 3, 1, 1), (5, 0, 4, 0, 4, 0, 0)))

    def lane(endpoint):
        return endpoint if apart[places[endpoint][0]] else places[endpoint][0] - 10

    def entry(e):
        return EndpointEntry(e, places[e][0], state[e], 4.0, places[e][0] % 2, places[e][1])

    inbox = [EndpointListUpdate(ListUpdateKind.CACHED, tuple(entry(e) for e in places))]
    for _ in range(4000):
        now += TICK
        while timers and min(timers) <= now:
            timers.remove(min(timers))
            inbox.append(TimerDue(0))
        for key in [k for k in out if out[k][1] <= now]:
            endpoint, _, forced, sent = out.pop(key)
            result = forced or r.choices(list(AttemptResult)[:7], mood)[0]
            if result in (AttemptResult.NOT_SENT, AttemptResult.CANCELLED):
                result = AttemptResult.ERROR
            told = r.choice((0, 300_000, 3 * S)) if result is AttemptResult.OVERLOADED else 0
            if told:
                waits[lane(endpoint)] = max(waits.get(lane(endpoint), 0), now + told)
            history[key[0]].append((result, endpoint, sent))
            msg = ended.get(key[0]) or live[key[0]]
            if result in (AttemptResult.TIMEOUT, AttemptResult.RESET) and msg.order_key:
                rest[msg.order_key] = now + s.order_key_cooldown_us
            done = result is AttemptResult.OK or key[0] in ended
            if done and key[0] in live:
                ended[key[0]] = live.pop(key[0])
            attempt_ended = AttemptEnded(key[0], key[1], endpoint, result, now - sent, done, told)
            if result not in (AttemptResult.OK, *UNRUN) and not done and doubts.random() < 0.1:
                attempt_ended = replace(attempt_ended, may_be_completed=True)
                doubted.add(key[0])
            inbox.append(attempt_ended)
        if r.random() < 0.08 and len(live) < s.max_pending:
            ident += 1
            c = r.randrange(3)
            key = r.randint(1, 3) if s.classes[c].ordered and r.random() < 0.7 else 0
            live[ident] = MessageArrived(ident, c, r.randrange(3), now + s.classes[c].deadline_us, 0, key)
            history[ident] = []
            order.append(ident)
            inbox.append(live[ident])
        if r.random() < 0.003:
            e = r.choice(list(places))
            state[e] = r.choice((EndpointState.READY, EndpointState.DRAINING))
            inbox.append(EndpointListUpdate(ListUpdateKind.DELTA, (entry(e),)))
        if live and r.random() < 0.002:
            gone = r.choice(list(live))
            ended[gone] = live.pop(gone)
            inbox.append(MessageWithdrawn(gone))
        if not inbox:
            continue
        calls = {}
        for a in courier.handle(now, inbox):
            if isinstance(a, SetTimer):
                timers.append(now + a.delay_us)
            elif isinstance(a, Send):
                assert a.message in live, "sent after its end"
                m, c = live[a.message], s.classes[live[a.message].message_class]
                assert places[a.endpoint][0] == m.destination and state[a.endpoint] is EndpointState.READY
                assert now >= waits.get(lane(a.endpoint), 0), "sent before a told wait ended"
                assert not [k for k in out if k[0] == a.message], "two attempts out"
                ran = [h for h in history[a.message] if h[0] not in UNRUN]
                assert len(history[a.message]) < s.max_attempts
                if ran:
                    assert c.idempotency is not Idempotency.NON_IDEMPOTENT
                    if c.idempotency is Idempotency.WITH_KEY:
                        assert now < ran[0][2] + c.key_window_us
                        assert c.key_scope == "all" or places[a.endpoint][1] == places[ran[0][1]][1]
                if m.order_key:
                    before = [
                        x
                        for x in order[: order.index(a.message)]
                        if (live.get(x) or ended[x]).order_key == m.order_key
                    ]
                    assert not [x for x in before if x in live or [k for k in out if k[0] == x]]
                    assert history[a.message] or now >= rest.get(m.order_key, 0)
                end = now + min(a.timeout_us, m.deadline_us - now)
                due = now + r.choice((20_000, 100_000, 400_000, 20 * S))
                forced = AttemptResult.TIMEOUT if due >= end else None
                out[(a.message, len(history[a.message]))] = (a.endpoint, min(due, end), forced, now)
                calls[a.endpoint] = calls.get(a.endpoint, 0) + 1
            elif isinstance(a, (Reject, Fail)):
                if MessageWithdrawn(a.message) in inbox:
                    continue  # its end was told in this very turn
                m = live.pop(a.message)
                ended[a.message] = m
                assert now <= m.deadline_us + s.response_slack_us
                c, ran = s.classes[m.message_class], [h for h in history[a.message] if h[0] not in UNRUN]
                if isinstance(a, Reject) and c.idempotency is not Idempotency.IDEMPOTENT:
                    assert not ran or (c.idempotency is Idempotency.WITH_KEY and c.key_scope == "all")
                    assert not [k for k in out if k[0] == a.message]
        for e, n in calls.items():
            assert n <= batch[places[e][0]] or batch[places[e][0]] == 1
        if batch == [1, 1, 1]:
            assert len(out) <= s.max_in_flight
            for d in range(3):
                busy = len([1 for e, *_ in out.values() if places[e][0] == d])
                assert busy <= max(1, int(WINDOW_SHARE * s.max_in_flight))
        inbox = []
        assert not doubted.intersection(live), "no notice for a message that may be completed"
        assert all(now <= m.deadline_us + s.response_slack_us for m in live.values()), "no final answer"
    assert ident > 20  # the day was not empty
