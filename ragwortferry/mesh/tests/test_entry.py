"""Final responses of an entry whose retries fail or find no other upstream."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from ragwortferry.exceptions import ErrorKind, Outcome
from ragwortferry.http1.messages import Request
from ragwortferry.mesh.attempt import Failure
from ragwortferry.mesh.crashes import kind_of
from ragwortferry.mesh.entry import MAX_CALLER_TIMEOUT_S, Entry, _caller_timeout_s
from ragwortferry.mesh.links.frames import CrashReport, Evidence
from ragwortferry.mesh.placement.aperture import Aperture
from ragwortferry.mesh.placement.balance import Balancer
from ragwortferry.mesh.quarantine import Quarantine
from ragwortferry.mesh.state import MeshState, RegistryChange
from ragwortferry.platform.config import decode_document
from ragwortferry.platform.settings import Bounds
from ragwortferry.tests.mesh_builders import (
    a_document,
    a_pacer,
    a_route,
    an_upstream,
    null_log,
)
from ragwortferry.utils.sockets import Address


class FailingPeers:
    """Replies to each attempt with a server error."""

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
    """Replies to the first attempt with a server error and refuses the others."""

    async def send(self, attempt, reply):
        if not self.sent:
            await super().send(attempt, reply)
            return
        self.sent.append(attempt.upstream)
        failure = Failure(ErrorKind.OVERLOADED, Outcome.NOT_RUN, "full", 0.2)
        reply.on_reply_failed(failure, None)


class FakeRecorder:
    """Stores the recorded requests."""

    def __init__(self):
        self.ended = []

    def request(self, context, status, error, outcome, complete):
        self.ended.append((status, error, str(outcome)))


class FakeExchange:
    """Exchange with a caller that stores the response."""

    def __init__(self):
        headers = [("Host", "boards.example"), ("X-Request-Id", "r1")]
        now = asyncio.get_running_loop().time()
        self.request = Request("GET", "/panels/1", headers, b"", True, now)
        self.started = False
        self.response = None

    def respond(self, status, headers, body=b""):
        self.response = (status, body)


def _entry(state, peers, recorder, node_count, quarantine=None) -> Entry:
    rng = random.Random(1)
    address = Address("127.0.0.1", 0)
    balancer = Balancer("a", "10.0.0.1", 1000.0, rng)
    return Entry(
        state,
        Aperture("10.0.0.1", "a"),
        balancer,
        SimpleNamespace(running=0),
        peers,
        a_pacer(),
        quarantine or Quarantine("10.0.0.1"),
        recorder,
        address,
        "s",
        "k",
        Bounds(),
        rng,
        node_count,
    )


def _state(*upstreams) -> MeshState:
    state = MeshState(decode_document, null_log())
    state.document = a_document()
    state.apply_registry(RegistryChange(0, 3, list(upstreams)), "store")
    return state


def test_refusals_after_a_response_do_not_hide_that_the_request_ran():
    """The caller must not get a not-run error once an upstream has responded."""

    async def scenario():
        state = _state(*(an_upstream(f"i-{n}") for n in range(4)))
        peers, recorder = FailingThenRefusingPeers(), FakeRecorder()
        entry = _entry(state, peers, recorder, lambda: 1)
        exchange = FakeExchange()
        await entry._handle(exchange)
        assert len(peers.sent) > 1
        assert exchange.response == (500, b"bad")
        assert recorder.ended == [(500, "", "ran")]

    asyncio.run(scenario())


def test_error_response_is_forwarded_when_no_other_upstream_is_left():
    """The registry may lose all upstreams between a response and its retry."""

    async def scenario():
        state = _state(an_upstream("i-1"), an_upstream("i-2"))
        peers, recorder = FailingPeers(), FakeRecorder()

        def node_count():
            """Remove all upstreams; called for the retry after the first response."""
            removed = dict.fromkeys(("i-1", "i-2"), 9)
            state.apply_registry(RegistryChange(3, 9, [], removed), "store")
            return 1

        entry = _entry(state, peers, recorder, node_count)
        exchange = FakeExchange()
        await entry._handle(exchange)
        assert len(peers.sent) == 1
        assert exchange.response == (500, b"bad")
        assert recorder.ended == [(500, "", "ran")]

    asyncio.run(scenario())


class SheddingPeers(FailingPeers):
    """Reports of each attempt that its upstream has refused it."""

    async def send(self, attempt, reply):
        self.sent.append(attempt.upstream)
        failure = Failure(ErrorKind.SHED, Outcome.NOT_RUN, "full", sent=True)
        reply.on_reply_failed(failure, None)


def test_refused_request_is_never_sent_to_the_same_upstream_again():
    """Guards against a repeated refusal that bears the id of the next attempt."""

    async def scenario():
        state = _state(*(an_upstream(f"i-{n}") for n in range(4)))
        state.document = a_document(1, a_route(max_attempts=10))
        peers = SheddingPeers()
        entry = _entry(state, peers, FakeRecorder(), lambda: 1)
        await entry._handle(FakeExchange())
        assert len(peers.sent) > 1
        assert len(set(peers.sent)) == len(peers.sent)

    asyncio.run(scenario())


class CrashingPeers:
    """Loses each attempt in a crash, of which all nodes know at once."""

    def __init__(self, quarantine, crashes):
        self.sent = []
        self._quarantine = quarantine
        self._crashes = crashes

    def reachable(self, host, now):
        return True

    async def send(self, attempt, reply):
        self.sent.append(attempt)
        for _ in range(self._crashes):
            self.record_crash(attempt)
        failure = Failure(ErrorKind.UPSTREAM_LOST, Outcome.UNKNOWN, "lost", sent=True)
        reply.on_reply_failed(failure, None)

    def record_crash(self, attempt):
        now = asyncio.get_running_loop().time()
        name = f"c{len(self._quarantine.evidence(now).crashes)}"
        report = CrashReport(name, 0.0, [kind_of(attempt)])
        self._quarantine.record(Evidence([report], []), now)


@pytest.mark.parametrize("crashes, attempts", [(1, 2), (3, 1)])
def test_convicted_request_is_not_retried_and_then_refused(crashes, attempts):
    async def scenario():
        state = _state(*(an_upstream(f"i-{n}") for n in range(4)))
        quarantine = Quarantine("10.0.0.1")
        peers, recorder = CrashingPeers(quarantine, crashes), FakeRecorder()
        entry = _entry(state, peers, recorder, lambda: 1, quarantine)
        exchange = FakeExchange()
        await entry._handle(exchange)
        # It may have run, so its caller gets no promise.
        assert exchange.response[0] == 502
        assert len(peers.sent) == attempts
        if crashes >= 3:
            again = FakeExchange()
            await entry._handle(again)
            assert again.response[0] == 503
            assert len(peers.sent) == attempts
            assert recorder.ended[-1] == (503, "quarantined", "not-run")

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "text, expected",
    [
        ("250", 0.25),
        ("", 1.5),
        ("soon", 1.5),
        ("nan", 1.5),
        ("-3", 0.0),
        ("inf", MAX_CALLER_TIMEOUT_S),
        ("1e400", MAX_CALLER_TIMEOUT_S),
        ("9" * 5_000, MAX_CALLER_TIMEOUT_S),
    ],
)
def test_invalid_timeout_of_a_caller_is_bounded_or_ignored(text, expected):
    headers = [("X-Deadline-Ms", text)]
    request = Request("GET", "/", headers, b"", True, 0.0)
    assert _caller_timeout_s(request, 1.5) == expected
