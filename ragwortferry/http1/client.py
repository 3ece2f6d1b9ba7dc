"""HTTP/1.1 client connections with strict matching of responses to requests.

Every byte that is received belongs to the request in flight or is rejected, so a late
or surplus response never reaches another request.
"""

__all__ = [
    "ClientConnection",
    "ConnectionBrokenError",
    "Pool",
    "ResponseHead",
    "Sink",
    "open_connection",
]

import asyncio
import re
import weakref
from dataclasses import dataclass
from typing import Protocol

import httptools

from ragwortferry.http1.messages import BODYLESS_STATUSES, Headers, get_header
from ragwortferry.utils.sockets import Address, connected_socket, was_reset

# How long an idle connection is kept if the server sends no Keep-Alive timeout.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Idle connections are dropped this long before the timeout that the server announces,
# so that no request is sent while the server closes the connection.
IDLE_MARGIN_S = 1.0
# The peer runs on the same instance or is a few milliseconds away.
CONNECT_TIMEOUT_S = 1.0
# Time for which a new connection must stay open to show that the server accepts it.
PROBE_S = 0.03
# Valid value of the Keep-Alive timeout.
SECONDS = re.compile(r"[0-9]{1,9}")
# Maximum number of bytes between two parts of a body or before the first, and of those
# by which heads, trailers and the framing of chunks exceed the body.
MAX_HEAD_BYTES = 65_536
# Maximum number of header lines of a response; each takes far more memory than bytes.
MAX_HEADERS = 512
# Maximum number and size of responses that are discarded while one is expected.
MAX_DISCARDED, MAX_DISCARDED_BYTES = 16, 4 * 2**20


class ConnectionBrokenError(Exception):
    """The connection failed, closed early or carried an invalid response.

    :param sent: whether any part of the request may have reached the server.
    :param refused: whether the server's host rejected a new connection, so that no
        server listens there.
    """

    def __init__(self, reason: str, sent: bool, refused: bool = False):
        super().__init__(reason)
        self.sent = sent
        self.refused = refused


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response.

    :param length: value of the Content-Length header, ``None`` without one.
    """

    status: int
    headers: Headers
    length: int | None


class Sink(Protocol):
    """Receives the response to one request."""

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether the response belongs to this request.

        A response that is not accepted is discarded.
        """

    def on_head(self, head: ResponseHead) -> None:
        """Receive the status and the headers."""

    def on_data(self, data: bytes) -> None:
        """Receive a part of the body."""

    def on_end(self) -> None:
        """Handle the end of a complete response."""

    def on_error(self, error: ConnectionBrokenError) -> None:
        """Handle a connection that failed before the response was complete."""


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    :param address: address of the server.
    """

    def __init__(self, address: Address):
        self.address = address
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._sink: Sink | None = None
        self._no_body = False
        self._discarding = False
        self._until_eof = False
        self._headers: Headers = []
        self._in_body = False
        # Parts of the body that were parsed and not passed on yet.
        self._parts: list[bytes] = []
        # Bytes received since the last part of a body, and what was discarded.
        self._head_bytes = 0
        # Bytes received for the request in flight, beyond twice those of bodies.
        self._overhead_bytes = 0
        self._discarded = self._discarded_bytes = 0
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.idle_since = self._loop.time()
        self.reusable = True
        self.requests_sent = 0

    @property
    def usable(self) -> bool:
        """Return whether the connection is open, idle and reusable."""
        return (
            self.reusable
            and self._sink is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open, idle or not."""
        return self._transport is not None and not self._transport.is_closing()

    def idle_time(self) -> float:
        """Return the seconds since the last response or, before it, since the start."""
        return self._loop.time() - self.idle_since

    @property
    def expired(self) -> bool:
        """Return whether the idle timeout has passed: the server may close it soon."""
        return self.idle_time() > self._idle_timeout_s

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport of the new connection."""
        self._transport = transport

    def send(self, data: bytes, sink: Sink, no_body: bool = False) -> None:
        """Send a request.

        :param data: the encoded request.
        :param sink: receives the response.
        :param no_body: whether the response has no body whatever its headers say, as
            after HEAD.
        """
        self.requests_sent += 1
        self._sink, self._no_body = sink, no_body
        self._head_bytes = self._discarded = self._discarded_bytes = 0
        self._overhead_bytes = 0
        self._transport.write(data)

    def close(self) -> None:
        """Abort the connection; the server cancels a request that is still running."""
        self.reusable = False
        self._sink = None
        if self._transport:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Pause reading, so that the server slows down."""
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse response data; abort the connection if no request is in flight."""
        if self._sink is None:
            self._abort()
            return
        self._head_bytes += len(data)
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"invalid response: {error}")
            return
        self._pass_parts()
        if self._sink is None:
            return
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(f"invalid response: over {MAX_HEAD_BYTES} bytes without a body")
        elif self._overhead_bytes > MAX_HEAD_BYTES:
            self._fail("invalid response: more framing than body")
        elif (
            self._discarded > MAX_DISCARDED
            or self._discarded_bytes > MAX_DISCARDED_BYTES
        ):
            self._fail("invalid response: too much that belongs to no request")

    def eof_received(self) -> bool:
        """Complete a response whose body is delimited by the end of the connection."""
        if self._until_eof and self._sink is not None:
            if not was_reset(self._transport):
                self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the response in flight."""
        self.reusable = False
        self._fail(f"connection lost: {exc or 'closed'}")
        # Frees the memory of this connection at once: the parser refers back to it.
        self._parser, self._headers = None, []

    def on_message_begin(self) -> None:
        """Start a response; a surplus one makes the connection unusable."""
        self._headers = []
        self._in_body = self._discarding = self._until_eof = False
        if self._sink is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are left out.

        :raises ValueError: if there are too many.
        """
        if self._in_body:
            return
        if len(self._headers) >= MAX_HEADERS:
            raise ValueError(f"more than {MAX_HEADERS} headers")
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink, or discard a response to another request.

        Informational (1xx) responses are discarded as well.
        """
        self._in_body = True
        status = self._parser.get_status_code()
        if self._sink is None or status < 200:
            self._discard()
            return
        length = get_header(self._headers, "content-length")
        chunked = "chunked" in get_header(self._headers, "transfer-encoding").lower()
        head = ResponseHead(status, self._headers, int(length) if length else None)
        if not self._sink.accepts(head):
            self._until_eof = False
            self._discard()
            return
        self._until_eof = not length and not chunked and status not in BODYLESS_STATUSES
        self._read_keep_alive()
        self._sink.on_head(head)
        if self._no_body:
            self._complete()

    def _discard(self) -> None:
        """Discard the response that has begun."""
        self._discarding = True
        self._discarded += 1

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body, of which there may be one a byte."""
        self._head_bytes = 0
        self._overhead_bytes -= 2 * len(data)
        if self._discarding:
            self._discarded_bytes += len(data)
        elif self._sink is not None:
            self._parts.append(data)

    def _pass_parts(self) -> None:
        """Pass the parts of the body that one read has brought to the sink as one."""
        parts, self._parts = self._parts, []
        if parts and self._sink is not None:
            self._sink.on_data(parts[0] if len(parts) == 1 else b"".join(parts))

    def on_message_complete(self) -> None:
        """Complete the response."""
        self._pass_parts()
        if not self._discarding and self._sink is not None:
            if not self._parser.should_keep_alive():
                self.reusable = False
            self._complete()

    def _read_keep_alive(self) -> None:
        for part in get_header(self._headers, "keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and SECONDS.fullmatch(value):
                self._idle_timeout_s = max(0.0, int(value) - IDLE_MARGIN_S)
        if get_header(self._headers, "connection").lower() == "close":
            self.reusable = False

    def _complete(self) -> None:
        sink, self._sink = self._sink, None
        self.idle_since = self._loop.time()
        if self._until_eof or self._no_body:
            self.reusable = False
        sink.on_end()
        if not self.reusable and self._transport:
            self._transport.close()

    def _fail(self, reason: str) -> None:
        sink, self._sink = self._sink, None
        self.reusable = False
        self._parts = []
        if self._transport:
            self._transport.abort()
        if sink is not None:
            sink.on_error(ConnectionBrokenError(reason, sent=True))

    def _abort(self) -> None:
        self.reusable = False
        if self._transport:
            self._transport.abort()


async def open_connection(address: Address, own_host: str = "") -> ClientConnection:
    """Open a connection.

    :param own_host: local IP address to connect from.
    :raises ConnectionBrokenError: if it is not established within the timeout.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            sock = await connected_socket(address, own_host)
            _, connection = await loop.create_connection(
                lambda: ClientConnection(address), sock=sock
            )
        return connection
    except (OSError, TimeoutError) as error:
        reason = f"cannot connect to {address.host}:{address.port}: {error!r}"
        refused = isinstance(error, ConnectionError)
        raise ConnectionBrokenError(reason, sent=False, refused=refused) from None


class Pool:
    """A pool of idle connections to one address, reused last in, first out.

    :param own_host: local IP address to connect from.
    """

    def __init__(self, address: Address, own_host: str = ""):
        self._address = address
        self._own_host = own_host
        self._idle: list[ClientConnection] = []
        # All connections that may still be open.
        self._opened: weakref.WeakSet[ClientConnection] = weakref.WeakSet()
        self.connections_opened = 0

    @property
    def has_open(self) -> bool:
        """Return whether a connection is open, idle or not."""
        return any(connection.is_open for connection in self._opened)

    async def acquire(self, max_idle_s: float) -> ClientConnection:
        """Return a connection that was idle for at most ``max_idle_s``, or a new one.

        :raises ConnectionBrokenError: if a new connection cannot be established.
        """
        while self._idle:
            connection = self._idle.pop()
            if not connection.usable or connection.expired:
                connection.close()
                continue
            if connection.idle_time() > max_idle_s:
                self._idle.append(connection)
                break
            return connection
        return await self._open()

    async def _open(self) -> ClientConnection:
        self.connections_opened += 1
        connection = await open_connection(self._address, self._own_host)
        self._opened.add(connection)
        return connection

    async def is_rejected(self) -> bool:
        """Return whether a new connection is refused, or closed at once.

        A proxy before the server may accept the connection and then close it.
        """
        try:
            connection = await self._open()
        except ConnectionBrokenError as error:
            return error.refused
        await asyncio.sleep(PROBE_S)
        if not connection.is_open:
            return True
        self.release(connection)
        return False

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if connection.usable:
            self._idle.append(connection)
        else:
            connection.close()

    def prune(self) -> None:
        """Close the idle connections whose idle timeout has passed."""
        kept = []
        for connection in self._idle:
            if connection.usable and not connection.expired:
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    def clear(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
