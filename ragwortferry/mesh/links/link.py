"""A connection between two nodes that carries length-prefixed messages."""

__all__ = ["Link", "LinkHandler"]

import asyncio
from typing import Protocol

from ragwortferry.mesh.links.eras import without_era
from ragwortferry.mesh.links.frames import Frame, Part, decode_frame, encode_frame
from ragwortferry.utils.egress import PIECE_BYTES, EgressPacer, Stream

LENGTH_PREFIX_BYTES = 4
# A compressed configuration or a request body must fit.
MAX_FRAME_BYTES = 80 * 2**20


class LinkHandler(Protocol):
    """Receives the events of a link."""

    def link_made(self, link: "Link") -> None:
        """Handle a new connection."""

    def frame_received(self, link: "Link", frame: Frame) -> None:
        """Handle a message."""

    def link_lost(self, link: "Link", reason: str) -> None:
        """Handle the end of the connection, which is reported once."""


class Link(asyncio.Protocol):
    """A TCP connection that sends and receives messages.

    :param handler: receives the messages and the events of the connection.
    :param dialed: whether this node opened the connection.
    :param pacer: accounts for the bytes sent and paces long responses.
    :param host: IP address of the peer; on an accepted connection it is empty until the
        peer's hello.
    """

    def __init__(
        self, handler: LinkHandler, dialed: bool, pacer: EgressPacer, host: str = ""
    ):
        self._handler = handler
        self._pacer = pacer
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        # Parts received of a long message, and queued parts of those to be sent.
        self._parts = bytearray()
        self._state_stream: Stream | None = None
        self._loop = asyncio.get_running_loop()
        self._writable = asyncio.Event()
        self._writable.set()
        self.dialed = dialed
        self.host = host
        self.zone = ""
        # Whether the peer has asked in its hello for changes of state on this link.
        self.subscribed = False
        # The same for this node, as last told to the peer.
        self.own_subscription = False
        # Bandwidth of the peer's instance in Mbit/s, by its hello.
        self.peer_mbps = float("inf")
        self.peer_version = 0
        # -1 until the peer's hello.
        self.peer_revision = -1
        self.peer_store_available = True
        # Whether the peer understands and sends reports of what callers have taken.
        self.peer_reports_taken = False
        # Whether the peer understands evidence about crashes.
        self.peer_shares_evidence = False
        # Newest change of the evacuated zones that the peer knows, -1 until it has said
        # so, or if it is of a build that takes none.
        self.peer_evacuation_revision = -1
        # Whether revisions in messages of the peer and to it have their era.
        self.peer_knows_eras = True
        self.last_received_at = self._loop.time()
        self.closed = False
        self._hello_received = asyncio.Event()

    def mark_hello_received(self) -> None:
        """Record the peer's hello, which shows that it is a running node."""
        self._hello_received.set()

    async def wait_for_hello(self) -> bool:
        """Wait for the peer's hello and return whether the connection is still open."""
        await self._hello_received.wait()
        return not self.closed

    @property
    def congested(self) -> bool:
        """Return whether the transport's write buffer is above its limit."""
        return not self._writable.is_set()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and report the connection."""
        self._transport = transport
        if self._pacer.paced:
            transport.set_write_buffer_limits(high=PIECE_BYTES)
        self._handler.link_made(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self._report_lost(str(exc or "closed by the peer"))

    def pause_writing(self) -> None:
        """Record that the write buffer is above its limit."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Record that the write buffer has drained."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Split the byte stream into messages and handle them."""
        self.last_received_at = self._loop.time()
        self._buffer += data
        buffer, start = self._buffer, 0
        while len(buffer) - start >= LENGTH_PREFIX_BYTES and not self.closed:
            size = int.from_bytes(buffer[start : start + LENGTH_PREFIX_BYTES], "big")
            if size > MAX_FRAME_BYTES:
                self.close(f"message of {size} bytes is too long")
                return
            end = start + LENGTH_PREFIX_BYTES + size
            if len(buffer) < end:
                break
            self._handle_frame(bytes(buffer[start + LENGTH_PREFIX_BYTES : end]))
            start = end
        del buffer[:start]

    def _handle_frame(self, data: bytes) -> None:
        try:
            frame = decode_frame(data)
        except Exception as error:
            # Besides DecodeError, for example RecursionError.
            self.close(f"message cannot be decoded: {error}")
            return
        if not isinstance(frame, Part):
            self._handler.frame_received(self, frame)
            return
        self._parts += frame.data
        if len(self._parts) > MAX_FRAME_BYTES:
            self.close(f"message of over {MAX_FRAME_BYTES} bytes is too long")
        elif frame.last:
            complete, self._parts = bytes(self._parts), bytearray()
            self._handle_frame(complete)

    def send(self, frame: Frame) -> None:
        """Send a message if the connection is open."""
        if not self.peer_knows_eras:
            frame = without_era(frame)
        data = self._encode(frame)
        self._pacer.record_sent(len(data))
        self.write_piece(data)

    def send_in_order(self, frame: Frame) -> None:
        """Send a message after all earlier ones sent by this method.

        A long one is paced in parts ahead of responses, and short messages sent by
        :meth:`send` pass it.
        """
        data = encode_frame(frame)
        stream = self._state_stream
        waiting = stream is not None and stream.queued_bytes > 0
        if not waiting and not self._pacer.paces(len(data)):
            self.send(frame)
            return
        if stream is None:
            stream = self._state_stream = self._pacer.open_stream(self, urgent=True)
        kind = type(frame).__name__.lower()
        self._pacer.bytes_by_kind[kind] += len(data)
        for start in range(0, len(data), PIECE_BYTES):
            end = start + PIECE_BYTES
            part = Part(data[start:end], end >= len(data))
            stream.put(_encode_with_length(part))

    def open_stream(self, size: int) -> Stream | None:
        """Return a stream that paces a response, ``None`` if it may be sent at once.

        :param size: expected size of the response in bytes.
        """
        return self._pacer.open_stream(self) if self._pacer.paces(size) else None

    def enqueue(self, stream: Stream, frame: Frame) -> None:
        """Append a message to a stream of paced messages."""
        stream.put(self._encode(frame))

    def _encode(self, frame: Frame) -> bytes:
        data = _encode_with_length(frame)
        self._pacer.bytes_by_kind[type(frame).__name__.lower()] += len(data)
        return data

    def write_piece(self, data: bytes) -> None:
        """Send an encoded message if the connection is open."""
        if not self.closed and self._transport:
            self._transport.write(data)

    def close(self, reason: str) -> None:
        """Abort the connection and report its end.

        :param reason: clause for the log.
        """
        if self._transport:
            self._transport.abort()
        self._report_lost(reason)

    def _report_lost(self, reason: str) -> None:
        """Report the end of the connection once, and wake a wait for the hello."""
        if self.closed:
            return
        self.closed = True
        if self._state_stream is not None:
            self._state_stream.drop()
        self._writable.set()
        self._hello_received.set()
        self._handler.link_lost(self, reason)


def _encode_with_length(frame: Frame) -> bytes:
    data = encode_frame(frame)
    return len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data
