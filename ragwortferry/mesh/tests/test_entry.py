"""What an entry tells its caller when upstreams vanish between two tries."""

import asyncio
import random

from ragwortferry.http1.messages import Request
from ragwortferry.mesh.entry import Entry
from ragwortferry.mesh.knowledge import Knowledge, RegistryChange
from ragwortferry.mesh.placing import Placer
from ragwortferry.platform.boot import Bounds
from ragwortferry.platform.config import decode_document
from ragwortferry.tests.mesh_builders import (
    a_document,
    an_upstream,
    silent_log,
)
from ragwortferry.utils.sockets import Address


class FailingPeers:
    """Answers each attempt with an error of the upstream."""

    def __init__(self):
        self.sent = []

    def reachable(self, host):
        return True

    async def send(self, attempt, reply):
        self.sent.append(attempt.upstream)
        reply.on_reply_head(500, [("X-Response-Signature", "s")], 3)
        reply.on_reply_data(b"bad")
        reply.on_reply_end(None)


class Notes:
    """Keeps what is recorded."""

    def __init__(self):
        self.ended = []

    def request(self, course, status, error, outcome, whole):
        self.ended.append((status, error, str(outcome)))


class Answered:
    """Stands for the connection of a caller."""

    def __init__(self):
        headers = [("Host", "boards.example"), ("X-Request-Id", "r1")]
        now = asyncio.get_running_loop().time()
        self.request = Request("GET", "/panels/1", headers, b"", True, now)
        self.started = False
        self.answer = None

    def respond(self, status, headers, body=b""):
        self.answer = (status, body)


def test_answer_that_has_come_is_passed_on_when_no_other_upstream_is_left():
    async def scenario():
        knowledge = Knowledge(decode_document, silent_log())
        knowledge.document = a_document()
        upstreams = [an_upstream("i-1"), an_upstream("i-2")]
        knowledge.learn_registry(RegistryChange(0, 3, upstreams), "store")
        peers, notes = FailingPeers(), Notes()

        def nodes():
            """Take all upstreams away after the first answer was judged."""
            gone = dict.fromkeys(("i-1", "i-2"), 9)
            knowledge.learn_registry(RegistryChange(3, 9, [], gone), "store")
            return 1

        rng = random.Random(1)
        address = Address("127.0.0.1", 0)
        entry = Entry(
            knowledge,
            Placer("a", rng),
            None,
            peers,
            notes,
            address,
            "s",
            "k",
            Bounds(),
            rng,
            nodes,
        )
        exchange = Answered()
        await entry._handle(exchange)
        assert len(peers.sent) == 1
        assert exchange.answer == (500, b"bad")
        assert notes.ended == [(500, "", "ran")]

    asyncio.run(scenario())
