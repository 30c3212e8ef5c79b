"""The soak's judgment of a run, on made-up notes."""

import asyncio
import socket

import pytest
from loopback import bounded
from soak_clients import Request
from soak_judge import Course, Judge
from soak_scenario import draw
from soak_world import Notes, Notice, NotingDiscovery


def answered(at_s, answer, number=1):
    return Request(f"{number:016x}", "safe", "", "0" * 16, 1000, at_s, answer, at_s, is_written=True)


def service(requests, **course):
    found = Judge(draw(1), Notes(), requests, Course(ended_s=100.0, **course)).violations()
    return [violation for violation in found if violation.startswith("service")]


REFUSED = [answered(10 + n * 0.3, "-BUSY 500") for n in range(15)]


def test_a_courier_that_turns_back_all_for_four_seconds_is_found():
    assert service(REFUSED)


def test_one_message_taken_on_between_is_service():
    assert not service([*REFUSED[:8], answered(12.2, "+OK"), *REFUSED[8:]])


def test_what_is_turned_back_around_a_restart_is_not_counted():
    assert not service(REFUSED, restarts=[(11.0, 12.5)])


@pytest.mark.parametrize("is_answer_lost", [False, True])
def test_a_notice_is_repeated_only_while_its_answer_has_not_been_read(is_answer_lost):
    first = Notice("m", "deferred", 1.0, 1, is_answer_lost)
    notes = Notes(notices=[first, Notice("m", "deferred", 1.2, 1)])
    found = list(Judge(draw(1), notes, [], Course(ended_s=100.0)).violations())
    assert bool(found) != is_answer_lost


@pytest.mark.parametrize("reads_answer", [False, True])
def test_the_agent_notes_whether_the_answer_to_a_notice_was_read(reads_answer):
    line = b'{"id":"m","status":"deferred"}\n'
    request = b"POST /v2/finals HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(line), line)

    async def run():
        agent = await NotingDiscovery(Notes()).start()
        client = socket.create_connection(("127.0.0.1", agent.port))
        client.sendall(request)
        if reads_answer:
            await bounded(asyncio.to_thread(client.recv, 1000))
        client.close()
        while agent.writers or not agent.notes.notices:
            await asyncio.sleep(0.01)
        await agent.stop()
        assert [notice.is_answer_lost for notice in agent.notes.notices] == [not reads_answer]

    asyncio.run(asyncio.wait_for(run(), 10))
