"""Shares the bandwidth of an instance between short messages and long answers.

The load it answers: answers of some hundred kilobytes over network links of a few
Mbit/s. Once such an answer is handed to the operating system, all that is sent after
it waits until it has left, also on other connections: calls miss their deadlines and
peers take the node for silent. So long answers are kept here in pieces and leave at
less than the rate of the network link; short messages never wait for them. Answers
leave in the order in which they came, since one whole answer now and one later serve
their callers better than two halves.
"""

__all__ = ["EgressPacer", "Stream", "Writer"]

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

# Bytes of one piece; at 3 Mbit/s a short message waits 22 ms for it.
PIECE_BYTES = 8_192
# Answers up to this size are sent at once.
MAX_UNPACED_BYTES = 16_384
# Share of the network link that is handed out; the rest covers the headers of packets
# and what the node does not account for.
USABLE_FRACTION = 0.9
# Bandwidth from which on nothing is kept back, in Mbit/s: half a megabyte leaves in
# 0.04 s.
MIN_UNPACED_MBPS = 100.0
# Bytes per second in one Mbit/s.
BYTES_PER_MBIT = 125_000
# Longest time for which short messages may hold long answers up, in seconds.
MAX_DEBT_S = 0.5
# Time in which nothing was sent that is made up for later, in seconds: timers are late
# on a small share of a core.
MAX_CREDIT_S = 0.03
# Seconds until a peer that reads too slowly is tried again.
CONGESTION_RETRY_S = 0.02


class Writer(Protocol):
    """Takes the pieces of an answer."""

    @property
    def congested(self) -> bool:
        """Return whether much that was written has not left yet."""

    def write_piece(self, data: bytes) -> None:
        """Send bytes now."""


class Stream:
    """The pieces of one answer that have not left yet.

    :param writer: takes them in turn.
    """

    def __init__(self, pacer: "EgressPacer", writer: Writer):
        self._pacer = pacer
        self._pieces: deque[bytes] = deque()
        self.writer = writer
        self.queued_bytes = 0
        # Called whenever nothing of the answer waits any more.
        self.on_empty: Callable[[], None] = lambda: None

    def put(self, data: bytes) -> None:
        """Add a piece."""
        self._pieces.append(data)
        self.queued_bytes += len(data)
        self._pacer.enqueue(self, len(data))

    def put_split(self, data: bytes) -> None:
        """Add bytes that may be cut anywhere."""
        for start in range(0, len(data), PIECE_BYTES):
            self.put(data[start : start + PIECE_BYTES])

    def pop(self) -> bytes:
        """Return the next piece."""
        data = self._pieces.popleft()
        self.queued_bytes -= len(data)
        return data

    def drop(self) -> None:
        """Forget what has not left: nobody waits for it."""
        self._pacer.remove(self)
        self._pieces.clear()
        self.queued_bytes = 0


class EgressPacer:
    """Lets the pieces of long answers out one after the other.

    :param mbps: bandwidth of the instance's network link, in Mbit/s.
    :param loop: gives the time and calls back.
    """

    def __init__(self, mbps: float, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._bytes_per_s = USABLE_FRACTION * mbps * BYTES_PER_MBIT
        self._streams: dict[Stream, None] = {}
        self._timer: asyncio.TimerHandle | None = None
        # When what was sent so far has left the instance.
        self._free_at = 0.0
        self.queued_bytes = 0
        self.mbps = mbps

    @property
    def paced(self) -> bool:
        """Return whether long answers have to wait their turn."""
        return self.mbps < MIN_UNPACED_MBPS

    @property
    def idle(self) -> bool:
        """Return whether nothing waits."""
        return not self._streams

    @property
    def queueing_delay_s(self) -> float:
        """Return the time until what waits now has left, in seconds."""
        backlog_s = max(0.0, self._free_at - self._loop.time())
        return backlog_s + self.queued_bytes / self._bytes_per_s

    def transfer_s(self, size: float) -> float:
        """Return how long ``size`` bytes take to leave, in seconds."""
        return size / self._bytes_per_s

    def paces(self, size: float) -> bool:
        """Return whether an answer of ``size`` bytes waits its turn."""
        return self.paced and size > MAX_UNPACED_BYTES

    def record_sent(self, size: int) -> None:
        """Account for bytes that are sent at once."""
        now = self._loop.time()
        free_at = max(now - MAX_CREDIT_S, self._free_at) + size / self._bytes_per_s
        self._free_at = min(free_at, max(self._free_at, now + MAX_DEBT_S))

    def open_stream(self, writer: Writer) -> Stream:
        """Return a new stream at the end of the line."""
        return Stream(self, writer)

    def enqueue(self, stream: Stream, size: int) -> None:
        """Take note of bytes that were put into a stream."""
        self.queued_bytes += size
        self._streams.setdefault(stream)
        if self._timer is None:
            self._pump()

    def remove(self, stream: Stream) -> None:
        """Take a stream out of the line."""
        if stream in self._streams:
            del self._streams[stream]
            self.queued_bytes -= stream.queued_bytes

    def _pump(self) -> None:
        """Let pieces out until the network link is taken, then come back."""
        self._timer = None
        while self._streams:
            now = self._loop.time()
            if self._free_at > now:
                self._timer = self._loop.call_at(self._free_at, self._pump)
                return
            stream = self._next_stream()
            if stream is None:
                self._timer = self._loop.call_later(CONGESTION_RETRY_S, self._pump)
                return
            self._send_piece(stream)

    def _send_piece(self, stream: Stream) -> None:
        data = stream.pop()
        self.queued_bytes -= len(data)
        self.record_sent(len(data))
        stream.writer.write_piece(data)
        if not stream.queued_bytes:
            del self._streams[stream]
            stream.on_empty()

    def _next_stream(self) -> Stream | None:
        """Return the oldest stream whose peer reads, ``None`` if there is none."""
        for stream in self._streams:
            if not stream.writer.congested:
                return stream
        return None
