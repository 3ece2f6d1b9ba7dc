"""Pacing of long responses beside short messages, on a simulated network link."""

import random

import pytest

from ragwortferry.tests.mesh_builders import ManualLoop
from ragwortferry.utils.egress import BYTES_PER_MBIT, PIECE_BYTES, EgressPacer

SLOW_MBPS = 6.0
EXPORT_BYTES = 90_000
CALL_BYTES = 1_500
# Latency objective of a call minus its service time, on the slowest link.
MAX_CALL_S = 0.4
# The same for an export.
MAX_EXPORT_S = 1.25


class NetworkLink:
    """Simulated link that transmits bytes in order, at its bandwidth."""

    def __init__(self, loop: ManualLoop, mbps: float):
        self._loop = loop
        self._rate = mbps * BYTES_PER_MBIT
        self.free_at = 0.0
        self.congested = False
        self.written = []

    def write_piece(self, data: bytes) -> None:
        """Transmit bytes after those written before."""
        self.free_at = max(self.free_at, self._loop.time()) + len(data) / self._rate
        self.written.append((self._loop.time(), data))

    @property
    def queueing_delay_s(self) -> float:
        """Return the queueing delay of the next byte."""
        return max(0.0, self.free_at - self._loop.time())


def _simulate(paced: bool) -> tuple[list[float], list[float]]:
    """Return the sorted times until calls and exports are transmitted, in seconds.

    The load is that of an owner of exports: long responses at random times take three
    fifths of the link, short messages a tenth.
    """
    loop = ManualLoop()
    pacer = EgressPacer(SLOW_MBPS, loop)
    network = NetworkLink(loop, SLOW_MBPS)
    rng = random.Random(4)
    calls, exports = [], []

    def export() -> None:
        loop.call_later(rng.expovariate(5.0), export)
        started = loop.time()
        size = int(rng.lognormvariate(0, 0.6) * EXPORT_BYTES * 0.83)
        if not paced:
            network.write_piece(bytes(size))
            exports.append(network.queueing_delay_s)
            return
        stream = pacer.open_stream(network)
        stream.put_split(bytes(size))
        stream.on_empty = lambda: exports.append(
            loop.time() - started + network.queueing_delay_s
        )

    def call() -> None:
        loop.call_later(rng.expovariate(40.0), call)
        pacer.record_sent(CALL_BYTES)
        network.write_piece(bytes(CALL_BYTES))
        calls.append(network.queueing_delay_s)

    export()
    call()
    loop.run_until(120.0)
    return sorted(calls), sorted(exports)


def test_calls_do_not_wait_for_paced_exports():
    calls, exports = _simulate(paced=True)
    assert calls[int(0.99 * len(calls))] < MAX_CALL_S / 4
    assert exports[int(0.9 * len(exports))] < MAX_EXPORT_S


def test_calls_wait_for_exports_without_pacing():
    calls, _ = _simulate(paced=False)
    assert calls[int(0.99 * len(calls))] > MAX_CALL_S


def test_responses_are_sent_first_in_first_out():
    loop = ManualLoop()
    pacer, network = EgressPacer(SLOW_MBPS, loop), NetworkLink(loop, SLOW_MBPS)
    for name in (b"a", b"b"):
        stream = pacer.open_stream(network)
        for _ in range(3):
            stream.put(name * PIECE_BYTES)
    loop.run_until(1.0)
    assert [data[:1] for _, data in network.written] == [b"a"] * 3 + [b"b"] * 3
    assert pacer.idle
    assert pacer.queued_bytes == 0


def test_dropped_response_uses_no_bandwidth():
    loop = ManualLoop()
    pacer, network = EgressPacer(SLOW_MBPS, loop), NetworkLink(loop, SLOW_MBPS)
    first, second = pacer.open_stream(network), pacer.open_stream(network)
    for _ in range(4):
        first.put(b"a" * PIECE_BYTES)
    second.put(b"b" * PIECE_BYTES)
    first.drop()
    loop.run_until(1.0)
    assert [data[:1] for _, data in network.written] == [b"a", b"b"]
    assert pacer.queued_bytes == 0


def test_congested_connection_does_not_block_others():
    loop = ManualLoop()
    pacer = EgressPacer(SLOW_MBPS, loop)
    slow, quick = NetworkLink(loop, SLOW_MBPS), NetworkLink(loop, SLOW_MBPS)
    slow.congested = True
    pacer.open_stream(slow).put(b"a" * PIECE_BYTES)
    pacer.open_stream(quick).put(b"b" * PIECE_BYTES)
    loop.run_until(0.1)
    assert not slow.written
    assert quick.written
    slow.congested = False
    loop.run_until(0.2)
    assert slow.written


@pytest.mark.parametrize("mbps, paced", [(3.0, True), (50.0, True), (1000.0, False)])
def test_only_slow_links_are_paced(mbps, paced):
    pacer = EgressPacer(mbps, ManualLoop())
    assert pacer.paced is paced
    assert pacer.paces(EXPORT_BYTES) is paced
    assert not pacer.paces(CALL_BYTES)
