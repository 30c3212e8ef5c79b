"""The decision on a message that may be completed already, as a response says without proof."""

import pytest

from madderbeam.policy.actions import Fail, Reject, Send
from madderbeam.policy.engine import DeliveryEngine
from madderbeam.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    MessageArrived,
)
from madderbeam.policy.settings import Idempotency, MessageClass, Settings

SECOND_US = 1_000_000
KEYED = {"idempotency": Idempotency.WITH_KEY, "key_window_us": 4 * SECOND_US}
CLASSES = (
    MessageClass("safe", SECOND_US, 6 * SECOND_US),
    MessageClass("keyed", SECOND_US, 6 * SECOND_US, key_scope="all", **KEYED),
    MessageClass("zone", SECOND_US, 6 * SECOND_US, key_scope="zone", **KEYED),
    MessageClass("unsafe", SECOND_US, 6 * SECOND_US, idempotency=Idempotency.NON_IDEMPOTENT),
)
MESSAGES = 30


@pytest.mark.parametrize(("number", "outcome"), [(0, Reject), (1, Reject), (2, Fail), (3, Fail)])
@pytest.mark.parametrize("result", [AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT])
def test_it_is_completed_with_a_notice_and_nothing_is_learnt_of_its_client(number, outcome, result):
    settings = Settings(
        classes=CLASSES,
        max_in_flight=4,
        max_pending=16,
        max_retry_after_us=SECOND_US,
        clients_mark_retries=True,
    )
    engine = DeliveryEngine(settings, seed=1)
    now_us = 0
    entry = EndpointEntry(1, 7, EndpointState.READY)
    engine.handle(now_us, [EndpointListUpdate(ListUpdateKind.CACHED, (entry,))])
    for message in range(MESSAGES):
        now_us += SECOND_US
        arrived = MessageArrived(message, number, 7, now_us + 6 * SECOND_US)
        (send,) = [a for a in engine.handle(now_us, [arrived]) if isinstance(a, Send)]
        delivered = AttemptEnded(send.message, 0, 1, AttemptResult.OK, 1000, message_completed=True)
        doubtful = AttemptEnded(send.message, 0, 1, result, 1000, malformed=True, may_be_completed=True)
        actions = engine.handle(now_us + 1000, [doubtful if message % 2 else delivered])
        ends = [a for a in actions if isinstance(a, (Send, Reject, Fail))]
        assert [type(a) for a in ends] == ([outcome] if message % 2 else [])
    assert not engine.completer.clients_do_not_retry and engine.completer.rejections_in_a_row == 0
