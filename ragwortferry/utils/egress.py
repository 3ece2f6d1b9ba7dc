"""Pacing of long responses on the network link of an instance.

Responses of some hundred kilobytes take long on network links of a few Mbit/s. Once the
operating system has such a response, everything sent after it is delayed, also on other
connections: requests miss their deadlines, and peers consider the node dead. Long
responses are therefore queued here in pieces and sent below the bandwidth of the link,
while short messages are sent at once. Responses are sent first in, first out: to
complete one now and one later serves callers better than to send both at half the rate.
"""

__all__ = ["EgressPacer", "Stream", "Writer"]

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

# A piece delays a short message by 22 ms at 3 Mbit/s.
PIECE_BYTES = 8_192
# Responses up to this size are sent at once.
MAX_UNPACED_BYTES = 16_384
# Fraction of the bandwidth that is used; the rest covers packet headers and traffic
# that the node does not account for.
USABLE_FRACTION = 0.9
# No pacing from this bandwidth on: it sends half a megabyte in 0.04 s.
MIN_UNPACED_MBPS = 100.0
# Bytes per second for each Mbit/s.
BYTES_PER_MBIT = 125_000
# Short messages delay queued responses by at most this time.
MAX_DEBT_S = 0.5
# Unused sending time up to this length can be made up for: timers fire late if the
# process has only a small share of a core.
MAX_CREDIT_S = 0.03
# Interval of the checks whether a congested connection accepts data again.
CONGESTION_RETRY_S = 0.02


class Writer(Protocol):
    """A connection that pieces of a response are written to."""

    @property
    def congested(self) -> bool:
        """Return whether the write buffer of the connection is full."""

    def write_piece(self, data: bytes) -> None:
        """Write bytes to the connection at once."""


class Stream:
    """A queue of pieces of one response, or of all responses of a connection.

    :param pacer: releases the pieces.
    :param writer: the connection that they are written to.
    :param urgent: whether its pieces are sent before those of other streams.
    """

    def __init__(self, pacer: "EgressPacer", writer: Writer, urgent: bool = False):
        self._pacer = pacer
        self.urgent = urgent
        self._pieces: deque[bytes] = deque()
        self.writer = writer
        self.queued_bytes = 0
        # Called each time the last queued piece has been written.
        self.on_empty: Callable[[], None] = lambda: None

    def put(self, data: bytes) -> None:
        """Queue one piece, which is written as a whole."""
        self._pieces.append(data)
        self.queued_bytes += len(data)
        self._pacer.enqueue(self, len(data))

    def put_split(self, data: bytes) -> None:
        """Split bytes into pieces and queue them."""
        for start in range(0, len(data), PIECE_BYTES):
            self.put(data[start : start + PIECE_BYTES])

    def pop(self) -> bytes:
        """Remove and return the next piece."""
        data = self._pieces.popleft()
        self.queued_bytes -= len(data)
        return data

    def drop(self) -> None:
        """Discard the queued pieces of a response that is no longer needed."""
        self._pacer.remove(self)
        self._pieces.clear()
        self.queued_bytes = 0


class EgressPacer:
    """Sends queued pieces of responses below the bandwidth of the network link.

    :param mbps: bandwidth of the instance's network link, in Mbit/s.
    :param loop: provides the time and timers.
    """

    def __init__(self, mbps: float, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._bytes_per_s = USABLE_FRACTION * mbps * BYTES_PER_MBIT
        self._streams: dict[Stream, None] = {}
        self._timer: asyncio.TimerHandle | None = None
        # Time at which the link will have transmitted all bytes sent so far.
        self._free_at = 0.0
        self.queued_bytes = 0
        self.mbps = mbps
        # Bytes handed to the pacer so far, by kind of message.
        self.bytes_by_kind: Counter[str] = Counter()

    @property
    def paced(self) -> bool:
        """Return whether long responses are paced on this network link."""
        return self.mbps < MIN_UNPACED_MBPS

    @property
    def idle(self) -> bool:
        """Return whether nothing is queued."""
        return not self._streams

    @property
    def queueing_delay_s(self) -> float:
        """Return the time until all queued bytes are transmitted, in seconds."""
        backlog_s = max(0.0, self._free_at - self._loop.time())
        return backlog_s + self.queued_bytes / self._bytes_per_s

    def transfer_s(self, size: float) -> float:
        """Return the transmission time of ``size`` bytes, in seconds."""
        return size / self._bytes_per_s

    def paces(self, size: float) -> bool:
        """Return whether a response of ``size`` bytes is queued and paced."""
        return self.paced and size > MAX_UNPACED_BYTES

    def record_sent(self, size: int) -> None:
        """Account for bytes that are sent, within the bounds of debt and credit."""
        now = self._loop.time()
        free_at = max(now - MAX_CREDIT_S, self._free_at) + size / self._bytes_per_s
        self._free_at = min(free_at, max(self._free_at, now + MAX_DEBT_S))

    def open_stream(self, writer: Writer, urgent: bool = False) -> Stream:
        """Return a new stream, which is scheduled once it holds a piece.

        :param urgent: whether its pieces are sent before those of other streams.
        """
        return Stream(self, writer, urgent)

    def enqueue(self, stream: Stream, size: int) -> None:
        """Account for bytes that a stream has queued, and schedule the stream."""
        self.queued_bytes += size
        self._streams.setdefault(stream)
        if self._timer is None:
            self._pump()

    def remove(self, stream: Stream) -> None:
        """Stop scheduling a stream; its queued bytes no longer count."""
        if stream in self._streams:
            del self._streams[stream]
            self.queued_bytes -= stream.queued_bytes

    def _pump(self) -> None:
        """Send pieces until the link is busy, then set a timer to continue."""
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
        """Return the stream to send from, ``None`` if all are congested.

        It is the oldest of the urgent ones, else the oldest of all.
        """
        oldest = None
        for stream in self._streams:
            if not stream.writer.congested:
                if stream.urgent:
                    return stream
                oldest = oldest or stream
        return oldest
