"""The books of a courier: what it counts and keeps, held against what the same can be reckoned from anew.

The checker judges from outside, only by what crossed the wires. A counter that drifts, an entry that nobody
removes or a timer that was never set shows there late or on another day: here it is seen as it happens. What
is kept has an end, so once all messages' times are up nothing of them may be left.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Iterator
from typing import Any

from madderbeam.host.endpoint_registry import STATES
from madderbeam.host.host import Host
from madderbeam.journal.expiring_set import ENTRY_OVERHEAD_BYTES
from madderbeam.journal.journal import Journal
from madderbeam.journal.records import rounded_to_blocks
from madderbeam.policy.engine import DeliveryEngine
from madderbeam.policy.engine_state import EngineState
from madderbeam.policy.events import EndpointState
from madderbeam.policy.state import Call, CircuitBreaker, Endpoint, RateLimitScope
from madderbeam.simulation import pools
from madderbeam.transport.calls import IDLE_EACH
from madderbeam.transport.discovery import Link
from madderbeam.transport.local import Feed

EVERY_US = 400_000  # between two looks at one courier
RESTARTS = 0.15  # of the looks read the folder as a process would that starts now
REST_US = 1_000_000  # an order may be forgotten so long after its rest is over
ASLEEP_US = 100_000  # a timer of the decision module is late by so much at the most, coarse grids included
TOLD_US = 2_000_000  # a list that has stood for so long is known
NEAR = 1e-6
OWN, WORLD = "madderbeam.", "madderbeam.simulation."
Wrong = Iterator[str]


def wrong(host: Host, now_us: int) -> str:
    """What is wrong with a courier's books between two of its callbacks, in one line; empty if nothing.
    `now_us`: its monotonic clock."""
    for found in (decisions(host.courier, now_us), journal(host.journal), turn(host), calls(host)):
        for line in found:
            return line
    return ""


def left(host: Host) -> str:
    """What is left of messages though the times of all are up and nothing goes on."""
    state, j = host.courier.state, host.journal
    if any(m.deadline_us > state.now_us - REST_US for m in state.messages.values()) or any(
        m.deadline_s > j.wall() - REST_US / 1e6 for m, _ in host.admission.arrived.values()
    ):
        return ""  # one was handed in again late, perhaps so late that its turn is still to come
    kept: dict[str, Any] = {
        "messages": state.messages,
        "calls": state.calls,
        "orders": state.order_queues,
        "slots": state.calls_in_flight,
        "queues": [d.number for d in state.destinations.values() if d.queue],
        "open in the journal": j.open_count,
        "numbers of attempts": host.attempts.next_numbers,
        "guards": host.completions.deadline_timers.keys(),
        "calls out": host.calls.out,
        "arrivals": host.admission.arrived,
        "ids that arrive": host.admission.arriving_ids,
        "keys that arrive": host.admission.arriving_keys,
        "staged records": j.staged,
    }
    for name, value in kept.items():
        if value:
            return f"{name} are left at the end: {str(value)[:80]}"
    if names := sorted(set(j.segments_by_message) - set(j.pending) - set(j.unwritten_completions)):
        return f"places of messages that are over are left at the end: {names[:5]}"
    return ""


def _same(what: str, counted: Any, found: Any) -> Wrong:
    if counted != found:
        yield f"{what}: {str(counted)[:120]} is kept, {str(found)[:120]} is there"


# What is kept over a long service


def kept(host: Host) -> dict[str, int]:
    """How many elements each container of a courier has, summed by the shortest path that leads there.
    Whatever is kept for each request, id, connection, key or endpoint stands in one of them."""
    sizes: Counter[str] = Counter()
    seen: set[int] = set()
    left: deque[tuple[str, Any]] = deque([("host", host)])
    while left:
        path, value = left.popleft()
        if id(value) in seen:
            continue
        seen.add(id(value))
        if isinstance(value, (dict, list, set, deque, tuple)):
            sizes[path] += 0 if isinstance(value, tuple) else len(value)
            inner = value.values() if isinstance(value, dict) else value
            left.extend((f"{path}[]", v) for v in inner)
        elif type(value).__module__.startswith(OWN) and not type(value).__module__.startswith(WORLD):
            fields = {name: getattr(value, name, None) for name in getattr(type(value), "__slots__", ())}
            fields |= getattr(value, "__dict__", {})
            left.extend((f"{path}.{name}", v) for name, v in fields.items())
    return sizes


# The decision module


def decisions(engine: DeliveryEngine, now_us: int) -> Wrong:
    """Calls, queues, orders and rate-limit scopes of the decision module."""
    state = engine.state
    calls = Counter(call for call, _ in state.calls.values())
    attempts = Counter(message.id for _, message in state.calls.values())
    yield from _same("calls in flight", state.calls_in_flight, len(calls))
    for call, count in calls.items():
        yield from _same("messages in a call", call.messages_in_flight, count)
        if call not in call.endpoint.calls:
            yield f"a call to endpoint {call.endpoint.id} is not among its calls"
    yield from _messages(state, attempts)
    yield from _queues(state)
    yield from _scopes(engine, calls)
    yield from _timers(state, now_us)
    yield from pools.wrong(engine)


def _messages(state: EngineState, attempts: Counter[int]) -> Wrong:
    for number, message in state.messages.items():
        yield from _same("a message's number", message.id, number)
        yield from _same(f"calls with message {number}", message.in_flight, attempts[number])
        if message.is_completed and not message.in_flight:
            yield f"message {number} is over and still kept"
        if message.attempts_used > state.attempts_per_message and message.in_flight:
            yield f"message {number} has {message.attempts_used} attempts"
        if message.possibly_executed_at_us > state.now_us:
            yield f"message {number} ran in the future"
    orders: dict[int, list[int]] = {}
    for message in sorted(state.messages.values(), key=lambda message: message.sequence):
        if message.order_key:
            orders.setdefault(message.order_key, []).append(message.id)
    kept = {key: [message.id for message in queue] for key, queue in state.order_queues.items()}
    yield from _same("orders", kept, orders)
    if old := [key for key, until in state.order_cooldowns.items() if until < state.now_us - REST_US]:
        yield f"rests of {len(old)} orders are kept though they are over"


def _queues(state: EngineState) -> Wrong:
    queued = Counter(m.id for destination in state.destinations.values() for m in destination.queue)
    due = {m.id for m in state.messages.values() if not m.in_flight and not m.is_completed}
    yield from _same("messages that wait", queued, Counter(due))
    for number, destination in state.destinations.items():
        yield from _same("a destination's number", destination.number, number)
        if any(m.destination is not destination for m in destination.queue):
            yield f"a message waits at destination {number}, which is not its own"


def _scopes(engine: DeliveryEngine, calls: Counter[Call]) -> Wrong:
    state = engine.state
    scopes: dict[RateLimitScope, None] = {call.endpoint.scope: None for call in calls}
    for destination in state.destinations.values():
        scopes.update(dict.fromkeys(destination.scopes))
        in_flight = sum(call.endpoint.scope.destination is destination for call in calls)
        yield from _same(f"calls to destination {destination.number}", destination.in_flight, in_flight)
    for scope in scopes:
        in_flight = sum(call.endpoint.scope is scope for call in calls)
        yield from _same("calls of a rate-limit scope", scope.in_flight, in_flight)
        if not 1.0 <= scope.window <= max(1, state.destination_window) + NEAR:
            yield f"a window of {scope.window}, of 1 to {state.destination_window}"
        yield from _shares(scope.overload_share)
        if scope.shared_circuit is not None:
            yield from _circuit(scope.shared_circuit)
    for number, endpoint in state.endpoints.items():
        yield from _endpoint(number, endpoint, calls, state.now_us)
    yield from _shares(engine.timeouts.loss_rate, engine.connections.reset_rate)


def _endpoint(number: int, endpoint: Endpoint, calls: Counter[Call], now_us: int) -> Wrong:
    yield from _same("an endpoint's number", endpoint.id, number)
    scope = endpoint.scope
    if scope.endpoints.get(number) is not endpoint or scope not in scope.destination.scopes:
        yield f"endpoint {number} is not in its rate-limit scope"
    if endpoint.state is EndpointState.GONE and not endpoint.calls:
        yield f"endpoint {number} has gone and is still kept"
    own = {call for call in calls if call.endpoint is endpoint}
    yield from _same(f"calls to endpoint {number}", set(endpoint.calls), own)
    yield from _shares(endpoint.failure_rate, endpoint.indeterminate_rate, endpoint.circuit.failure_rate)
    idle = endpoint.idle_since_us
    if sorted(idle) != idle or (idle and idle[-1] > now_us):
        yield f"idle connections of endpoint {number} are out of order"
    probe = endpoint.circuit.half_open_call
    if probe is not None and probe not in calls:
        yield f"endpoint {number} waits for a probe that is over"
    yield from _circuit(endpoint.circuit)


def _shares(*values: float) -> Wrong:
    for value in values:
        if not -NEAR <= value <= 1 + NEAR:
            yield f"a share of {value}"


def _circuit(circuit: CircuitBreaker) -> Wrong:
    if circuit.is_open and circuit.slow_start_since_us >= 0:
        yield "a circuit is open and starts slowly at once"
    if circuit.tokens > 1 + NEAR:
        yield f"{circuit.tokens} calls are saved up for a slow start"


def _timers(state: EngineState, now_us: int) -> Wrong:
    """It is woken when the next message's time is up, and was woken when it asked for it."""
    ends = {number for _, number in state.expiries}
    due = (m for m in state.messages.values() if not m.is_completed and not m.is_streaming)
    if lacks := [m.id for m in due if m.id not in ends]:
        yield f"message {lacks[0]} has no end of its time"
    if state.expiries:
        next_us = max(state.expiries[0][0], state.now_us + state.settings.tick_us)
        if not state.timers or state.timers[0] > next_us:
            yield "nothing wakes the decision module at the end of a message's time"
    if state.timers and now_us - state.timers[0] > ASLEEP_US:
        yield f"the decision module is not woken, {now_us - state.timers[0]} us after it asked to be"


# The journal


def journal(j: Journal) -> Wrong:
    """Messages, memories, segments and room."""
    open_ = [m for m in j.pending.values() if not m.status]
    yield from _same("open messages", j.open_count, len(open_))
    yield from _same("messages untried", j.unattempted_count, sum(not m.attempts for m in open_))
    yield from _same("bytes of messages", j.pending_bytes, sum(m.size for m in j.pending.values()))
    yield from _same(
        "bytes of names", j.id_and_key_bytes, sum(j._id_and_key_bytes_of(m) for m in j.pending.values())
    )
    yield from _same("ids", j.numbers_by_id, {m.id: n for n, m in j.pending.items()})
    keyed = {m.key: m.number for m in open_ if m.key}
    if set(j.open_keys) != set(keyed):
        yield f"open keys: {sorted(set(j.open_keys) ^ set(keyed))[:3]}"
    for memory in (j.completed_ids, j.keys):
        size = sum(len(text) + ENTRY_OVERHEAD_BYTES for text in memory.entries)
        yield from _same("bytes remembered", memory.size_bytes, size)
    yield from _segments(j)


def _segments(j: Journal) -> Wrong:
    files = j.files
    yield from _same(
        "bytes used", files.used_bytes, sum(rounded_to_blocks(s.size) for s in files.segments.values())
    )
    if files.used_bytes > files.limit_bytes:
        yield f"{files.used_bytes} bytes are used of {files.limit_bytes}"
    for number, segment in files.segments.items():
        if not 0 <= segment.overhead_bytes <= segment.size:
            yield f"segment {number} of {segment.size} bytes has {segment.overhead_bytes} that any one has"
        messages = {n: size for n, (home, size) in j.whole_records.items() if home == number}
        yield from _same(f"messages in segment {number}", segment.messages, set(messages))
        ids = {text for text, entry in j.completed_ids.entries.items() if entry[2] == number}
        yield from _same(f"ids in segment {number}", set(segment.ids), ids)
        keys = {text for text, entry in j.keys.entries.items() if entry[2] == number}
        yield from _same(f"keys in segment {number}", set(segment.keys), keys)
        live = sum(messages.values()) + sum(len(text) + ENTRY_OVERHEAD_BYTES for text in (*ids, *keys))
        yield from _same(f"bytes that live in segment {number}", segment.live_bytes, live)


# The host


def turn(host: Host) -> Wrong:
    """What the host's rooms keep of messages, and the list."""
    yield from _rooms(host)
    yield from _list(host)
    yield from _owed(host)


def _rooms(host: Host) -> Wrong:
    state, j = host.courier.state, host.journal
    open_ = {n for n, m in j.pending.items() if not m.status}
    known = {n for n, m in state.messages.items() if not m.is_completed}
    if not host.events and not host.admission.arrived:
        yield from _same("messages of the decision module", known, open_)
    if guarded := open_ ^ set(host.completions.deadline_timers):
        yield f"guards and open messages differ by {sorted(guarded)[:5]}"
    out = {item.number for call in host.calls.out for item in call.items}
    if lost := set(host.attempts.next_numbers) - set(j.pending) - set(state.messages) - out:
        yield f"numbers of attempts are kept of messages that are over: {sorted(lost)[:5]}"
    if host.admission.arriving_ids.keys() - {m.id for m, _ in host.admission.arrived.values()}:
        yield "ids arrive of messages that are answered"
    if host.admission.arriving_keys != {m.key: n for n, (m, _) in host.admission.arrived.items() if m.key}:
        yield "keys that arrive are not those of the messages that are not answered"


def _list(host: Host) -> Wrong:
    """The list as the rooms, the decision module and those who run it see it."""
    listing, state = host.registry, host.courier.state
    if not host.events:
        kept = {
            n: (ep.scope.destination.number, ep.state)
            for n, ep in state.endpoints.items()
            if ep.state is not EndpointState.GONE
        }
        wanted = {n: (entry.destination, entry.state) for n, entry in listing.entries.items()}
        yield from _same("endpoints of the decision module", kept, wanted)
    for number, entry in listing.entries.items():
        by_hand = listing.names[number] in host.disabled_endpoints
        if by_hand is not (number in listing.told):
            yield f"whether endpoint {number} is out by hand: {by_hand}, and the list has it otherwise"
        if by_hand and entry.state is EndpointState.READY:
            yield f"endpoint {number} is out by hand and listed as ready"
    yield from _same("names of endpoints", listing.names, {n: uid for uid, n in listing.uids.items()})
    if set(listing.entries) != set(listing.names):
        yield f"endpoints that are named and not listed: {sorted(set(listing.names) ^ set(listing.entries))}"
    if gone := [key for key in listing.waits if key[1] >= 0 and key[1] not in listing.entries]:
        yield f"waits of endpoints that have gone: {gone[:3]}"
    if not set(listing.told) <= set(listing.entries):
        yield "what discovery tells is kept of endpoints that have gone"


def _owed(host: Host) -> Wrong:
    """Each notice that is owed is about to be told, and no other."""
    if host.is_handed_over or host.closed.done():
        return
    notices = host.notices
    telling = {
        *notices.waiting,
        *(notices.begun if isinstance(notices, Feed) else ()),
        *host.completions.unrecorded,
    }
    staged = {row.record[1] for row in host.journal.staged if row.record[0] == "final"}
    owed = {n for n, m in host.journal.pending.items() if m.status}
    if lost := owed - telling - staged:
        yield f"notices are owed that nobody tells: {sorted(lost)[:5]}"


def sockets(host: Host, open_: Iterable[Any]) -> Wrong:
    """Each open socket is somebody's."""
    h = host
    links = [h.watch, h.notices]
    lines = [link.connection for link in links if isinstance(link, Link)]
    lines += [call.connection for call in h.calls.out]
    lines += [line for pool in h.calls.pools.values() for line in pool.idle]
    owned = {id(line.sock) for line in lines if line is not None}
    owned |= {id(link.sock) for line in lines for link in getattr(line, "links", {}).values()}
    owned |= {id(client.sock) for front in h.listeners for client in (*front.clients, *front.leaving)}
    owned |= {id(x.sock) for x in h.control.callers}
    if lost := [sock for sock in open_ if id(sock) not in owned]:
        yield f"{len(lost)} sockets are nobody's, the first to {lost[0].address}"


def restarted(host: Host, read: Journal) -> Wrong:
    """What a process would find that started now, against what this one knows. Not while records wait to be
    written, nor for ends that the disk did not take yet."""
    live = host.journal
    if live.damage_count or read.damage_count:  # SIGKILL at any byte of normal work is none
        yield f"the journal is damaged in {live.damage_count or read.damage_count} places"
    if live.staged or live.unwritten or live.unwritten_completions:
        return

    def rows(j: Journal) -> dict[str, Any]:
        return {
            m.id: (n, m.status, m.attempts, m.possibly_executed_at, m.deadline_s, m.key, len(m.body))
            for n, m in j.pending.items()
            if n not in host.completions.unrecorded
        }

    found, known = rows(read), rows(live)
    differ = sorted(ident for ident in {*found, *known} if found.get(ident) != known.get(ident))
    if differ:
        yield f"{differ[0]} is {known.get(differ[0])}, after a restart {found.get(differ[0])}"
    now = live.wall()
    for name, mine, its in (("ids", live.completed_ids, read.completed_ids), ("keys", live.keys, read.keys)):
        due = {text for text, entry in mine.entries.items() if entry[1] > now + 1 and entry[2]}
        if lost := due - set(its.entries):
            yield f"{name} that a restart forgets: {sorted(lost)[:3]}"


def listed(host: Host, told: dict[str, dict[str, Any]]) -> str:
    """What is wrong with the list, held against what discovery has told for a while; empty if nothing."""
    listing, names = host.registry, {state: name for name, state in STATES.items()}
    kept = {}
    for number, entry in listing.entries.items():
        address = "{}:{}".format(*host.calls.pools[number].address)
        state = names[listing.told.get(number, entry.state)]
        kept[listing.names[number]] = (entry.destination, state, address)
    wanted = {uid: (t["pod_group"], t["state"], t["endpoint"]) for uid, t in told.items()}
    differ = sorted(uid for uid in {*kept, *wanted} if kept.get(uid) != wanted.get(uid))
    if differ:
        return f"endpoint {differ[0]} is listed as {kept.get(differ[0])}, told was {wanted.get(differ[0])}"
    return ""


def calls(host: Host) -> Wrong:
    """Calls out, pools and clients."""
    pools = host.calls.pools
    yield from _same("pools", set(pools), set(host.registry.entries))
    yield from _same("idle connections", host.calls.idle, sum(len(p.idle) for p in pools.values()))
    for number, pool in pools.items():
        if set(pool.idle) != set(pool.timers):
            yield f"idle connections to endpoint {number} with no time to end"
        if len(pool.idle) > IDLE_EACH:
            yield f"{len(pool.idle)} idle connections to endpoint {number}"
        if any(connection.closed for connection in pool.idle):
            yield f"an idle connection to endpoint {number} is closed"
    if host.calls.idle > host.calls.max_idle:
        yield f"{host.calls.idle} idle connections, of {host.calls.max_idle}"
    for call in host.calls.out:
        if not any(not timer.cancelled() for timer in call.timers):
            yield "a call has no time-out"
    clients = host.clients
    if strange := [client for client in clients.idle if client not in clients.clients or client.pending]:
        yield f"{len(strange)} clients are taken for idle and are not"
    for client in clients.clients:
        if client.closed:
            yield "a client is kept whose connection is closed"
