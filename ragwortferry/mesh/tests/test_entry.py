"""What an entry tells its caller when upstreams vanish between two tries."""

import asyncio
import random

from ragwortferry.exceptions import ErrorKind, Outcome
from ragwortferry.http1.messages import Request
from ragwortferry.mesh.attempt import Failure
from ragwortferry.mesh.entry import Entry
from ragwortferry.mesh.placing import Placer
from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.platform.boot import Bounds
from ragwortferry.platform.config import decode_document
from ragwortferry.tests.mesh_builders import (
    a_document,
    an_outflow,
    an_upstream,
    silent_log,
)
from ragwortferry.utils.sockets import Address


class FailingPeers:
    """Answers each attempt with an error of the upstream."""

    def __init__(self):
        self.sent = []

    def reachable(self, host, now):
        return True

    async def send(self, attempt, reply):
        self.sent.append(attempt.upstream)
        reply.on_reply_head(500, [("X-Response-Signature", "s")], 3)
        reply.on_reply_data(b"bad")
        reply.on_reply_end(None)


class FailingThenRefusingPeers(FailingPeers):
    """Answers the first attempt with an error, and refuses those after it."""

    async def send(self, attempt, reply):
        if not self.sent:
            await super().send(attempt, reply)
            return
        self.sent.append(attempt.upstream)
        failure = Failure(ErrorKind.OVERLOADED, Outcome.NOT_RUN, "full", 0.2)
        reply.on_reply_failed(failure, None)


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


def _entry(knowledge, peers, notes, nodes) -> Entry:
    rng = random.Random(1)
    address = Address("127.0.0.1", 0)
    placer = Placer("a", "10.0.0.1", 1000.0, rng)
    return Entry(
        knowledge,
        placer,
        None,
        peers,
        an_outflow(),
        notes,
        address,
        "s",
        "k",
        Bounds(),
        rng,
        nodes,
    )


def _knowledge(*upstreams) -> MeshState:
    knowledge = MeshState(decode_document, silent_log())
    knowledge.document = a_document()
    knowledge.apply_registry(RegistryChange(0, 3, list(upstreams)), "store")
    return knowledge


def test_request_that_ran_is_not_answered_as_if_it_had_not():
    async def scenario():
        knowledge = _knowledge(*(an_upstream(f"i-{n}") for n in range(4)))
        peers, notes = FailingThenRefusingPeers(), Notes()
        entry = _entry(knowledge, peers, notes, lambda: 1)
        exchange = Answered()
        await entry._handle(exchange)
        assert len(peers.sent) > 1
        assert exchange.answer == (500, b"bad")
        assert notes.ended == [(500, "", "ran")]

    asyncio.run(scenario())


def test_answer_that_has_come_is_passed_on_when_no_other_upstream_is_left():
    async def scenario():
        knowledge = _knowledge(an_upstream("i-1"), an_upstream("i-2"))
        peers, notes = FailingPeers(), Notes()

        def nodes():
            """Take all upstreams away after the first answer was judged."""
            gone = dict.fromkeys(("i-1", "i-2"), 9)
            knowledge.apply_registry(RegistryChange(3, 9, [], gone), "store")
            return 1

        entry = _entry(knowledge, peers, notes, nodes)
        exchange = Answered()
        await entry._handle(exchange)
        assert len(peers.sent) == 1
        assert exchange.answer == (500, b"bad")
        assert notes.ended == [(500, "", "ran")]

    asyncio.run(scenario())
