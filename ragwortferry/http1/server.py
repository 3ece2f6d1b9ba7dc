"""An HTTP/1.1 server that handles the pipelined requests of a connection concurrently.

Responses are sent in the order of the requests. If the caller disconnects, the handlers
of its requests are cancelled.
"""

__all__ = ["CallerConnection", "Exchange", "Server", "ServerLimits"]

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import httptools

from ragwortferry.http1.backlog import Backlog, Holding
from ragwortferry.http1.messages import (
    Headers,
    Request,
    encode_response_head,
    get_header,
)
from ragwortferry.utils.egress import EgressPacer, Stream
from ragwortferry.utils.sockets import listen, set_no_linger

# Reading pauses while this many requests of a connection are pending; bounds memory.
MAX_PIPELINED_REQUESTS = 64
# Large enough for all callers to reconnect at once.
LISTEN_BACKLOG = 1024
# Period of the check for idle connections and slow headers.
SWEEP_INTERVAL_S = 0.5
# A half-closed connection is closed after this time. Closing it at once could reset the
# connection and lose the last response.
LINGER_S = 1.0
# Bytes of a streamed response that may wait for the network link.
MAX_QUEUED_BYTES = 2**20
# Interval of the checks of a streamed response that waits for the network link or for
# earlier responses.
DRAIN_CHECK_INTERVAL_S = 0.02
HTTP_1_0 = "1.0"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

# Bytes by which the framing of chunks and trailers may exceed the body.
MAX_FRAMING_BYTES = 65_536

BAD_REQUEST, REQUEST_TIMEOUT, BODY_TOO_LARGE, HEADER_TOO_LARGE = 400, 408, 413, 431
UNAVAILABLE = 503
# Retry-After time of a request whose body does not fit into memory.
BODY_RETRY_AFTER_S = 1


@dataclass(slots=True)
class ServerLimits:
    """Size limits and timeouts of requests, updated when the configuration changes.

    :param header_bytes: maximum size of the header section of a request.
    :param body_bytes: maximum size of a request body.
    :param header_timeout_s: maximum time until the headers are complete.
    :param idle_timeout_s: time after which an idle connection is closed.
    """

    header_bytes: int = 65_536
    body_bytes: int = 64 * 2**20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class Exchange:
    """A request and the means to send its response.

    The response is buffered until the responses to earlier requests are complete. Only
    then is it known whether it is the last one on a connection that is to be closed.
    """

    def __init__(self, connection: "CallerConnection", request: Request):
        self._connection = connection
        # Status, headers and length of the body, until the head is sent.
        self._head: tuple[int, Headers, int | None] | None = None
        self._buffered: list[bytes] = []
        self._chunked = False
        self.request = request
        self.started = False
        self.finished = False
        self.close_after = not request.keep_alive
        self.task: asyncio.Task | None = None

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes that wait for the responses to earlier requests."""
        return sum(len(data) for data in self._buffered)

    @property
    def is_first(self) -> bool:
        """Return whether the responses to all earlier requests are complete."""
        return self._connection.first is self

    def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete response."""
        if self.request.method != "HEAD":
            self._buffered.append(body)
        self.start(status, headers, len(body))
        self.finish()

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Send the head of a streamed response.

        :param length: length of the body, ``None`` if it is unknown. The body is then
            sent in chunks or, for an HTTP/1.0 caller, ends with the connection.
        """
        self.started = True
        if length is None:
            self._chunked = self.request.accepts_chunks
            self.close_after |= not self._chunked
        self._head = status, headers, length
        if self.is_first:
            self.flush()

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if data:
            self._write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """Complete a streamed response."""
        if self._chunked:
            self._write(b"0\r\n\r\n")
        self.finished = True
        self._connection.send_finished()

    def abort(self) -> None:
        """Abort the connection, so that a truncated response never looks complete.

        An orderly end would complete a response to an HTTP/1.0 caller. A reset may lose
        earlier responses that the caller has not read yet, so others get none.
        """
        self._connection.abort(reset=not self.request.accepts_chunks)

    async def drain(self) -> None:
        """Wait until the caller has taken most of what was written.

        That is not before the responses to all earlier requests are complete.
        """
        await self._connection.drain(self)

    def flush(self) -> None:
        """Send the head and the buffered part of the body, if there is a response."""
        if self._head is None:
            return
        self._update_close_after()
        head = encode_response_head(*self._head, self.close_after, self._chunked)
        self._head = None
        buffered, self._buffered = self._buffered, []
        self._connection.send(b"".join([head, *buffered]))

    def _update_close_after(self) -> None:
        connection = self._connection
        if connection.wants_close and connection.last is self:
            self.close_after |= not connection.reading

    def _write(self, data: bytes) -> None:
        if self.is_first:
            self._connection.send(data)
        else:
            self._buffered.append(data)


Handler = Callable[[Exchange], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """A connection from a caller."""

    def __init__(self, server: "Server"):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: deque[Exchange] = deque()
        self._closing = False
        self._writable = asyncio.Event()
        self._writable.set()
        # Output that is queued for the network link.
        self._stream: Stream | None = None
        # Bytes handed to the transport so far.
        self._written_bytes = 0
        # Bytes of request bodies that are held, part of the server's count.
        self._request_bytes = 0
        self._reset_request()
        self.last_active_at = self._loop.time()

    @property
    def first(self) -> Exchange | None:
        """Return the oldest pending exchange."""
        return self._pending[0] if self._pending else None

    @property
    def last(self) -> Exchange | None:
        """Return the newest pending exchange."""
        return self._pending[-1] if self._pending else None

    @property
    def wants_close(self) -> bool:
        """Return whether the server is draining and asks callers to close."""
        return self._server.draining

    @property
    def idle(self) -> bool:
        """Return whether no request is being read and all responses are taken."""
        return not self.held_bytes and (self._closing or not self.busy)

    @property
    def reading(self) -> bool:
        """Return whether a part of a request has been read."""
        return self._request_started_at is not None

    @property
    def busy(self) -> bool:
        """Return whether a request is being read or awaits its response."""
        return bool(self._pending) or self.reading

    @property
    def body_bytes(self) -> int:
        """Return the bytes of the request body that is being read."""
        return len(self._body)

    @property
    def _announces_body(self) -> bool:
        """Return whether the headers announce a body."""
        length = get_header(self._headers, "content-length", "0")
        coding = get_header(self._headers, "transfer-encoding")
        return bool(coding) or length != "0"

    @property
    def _ends_after_last(self) -> bool:
        """Return whether the response to the last request closes the connection."""
        return self.last is not None and self.last.close_after

    @property
    def congested(self) -> bool:
        """Return whether the write buffer is above its high-water mark."""
        return not self._writable.is_set()

    @property
    def held_bytes(self) -> int:
        """Return the bytes of responses that the caller has not taken yet."""
        return self.holding.size

    @property
    def holding(self) -> Holding:
        """Return which bytes are held, and how many have left this process."""
        unsent = self._transport.get_write_buffer_size() if self._transport else 0
        waiting = sum(exchange.buffered_bytes for exchange in self._pending)
        size = unsent + waiting + self._queued_bytes
        return Holding(size, self._written_bytes - unsent, unsent)

    @property
    def _queued_bytes(self) -> int:
        return self._stream.queued_bytes if self._stream else 0

    def _reset_request(self) -> None:
        self._request_started_at: float | None = None
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        # Bytes received after the head, beyond twice those of the body.
        self._overhead_bytes = 0
        self._body = bytearray()
        self._in_body = False
        # Whether the caller sends the body only after an interim response.
        self._awaits_continue = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the new connection with the server."""
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a disconnected caller."""
        self._server.connections.discard(self)
        self._closing = True
        self._writable.set()
        if self._stream:
            self._stream.drop()
        self._hold(-self._request_bytes)
        for exchange in self._pending:
            if exchange.task:
                exchange.task.cancel()
        # Frees the memory of this connection at once: the parser refers back to it.
        self._parser = None
        self._reset_request()

    def eof_received(self) -> bool:
        """Close a connection that the caller half-closed, as if it had disconnected."""
        return False

    def pause_writing(self) -> None:
        """Block writers: the write buffer is above its high-water mark."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock writers: the write buffer has drained."""
        self._writable.set()

    async def drain(self, exchange: Exchange) -> None:
        """Wait until an exchange may write more."""
        await self._writable.wait()
        while not self._closing and (
            not exchange.is_first or self._queued_bytes > MAX_QUEUED_BYTES
        ):
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
            await self._writable.wait()

    def data_received(self, data: bytes) -> None:
        """Parse request data; the parser calls the ``on_`` methods below."""
        if self._closing or self._ends_after_last:
            return
        if self._server.closed and self._request_started_at is None:
            return
        self.last_active_at = self._loop.time()
        if not self._in_body:
            self._header_bytes += len(data)
        else:
            self._overhead_bytes += len(data)
        try:
            self._feed(data)
        except httptools.HttpParserError:
            self._reject(BAD_REQUEST)
        if self._request_started_at is not None and not self._in_body:
            if self._header_bytes > self._server.limits.header_bytes:
                self._reject(HEADER_TOO_LARGE)
        elif self._overhead_bytes > MAX_FRAMING_BYTES:
            self._reject(BAD_REQUEST)

    def _feed(self, data: bytes) -> None:
        """Parse data. An offer of another protocol is ignored (RFC 9110, 7.8)."""
        while data:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset_request()
        self._request_started_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are left out."""
        if not self._in_body:
            self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check the headers and answer ``Expect: 100-continue``."""
        self._in_body = True
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size > self._server.limits.header_bytes:
            self._reject(HEADER_TOO_LARGE)
        elif self._parser.should_upgrade() and self._announces_body:
            # The parser takes such a body for the next request.
            self._reject(BAD_REQUEST)
        else:
            expected = get_header(self._headers, "expect").lower()
            self._awaits_continue = (
                expected == "100-continue"
                and self._parser.get_http_version() != HTTP_1_0
            )
            self._send_continue()

    def _send_continue(self) -> None:
        """Ask for the body that a caller holds back, after all earlier responses."""
        if self._awaits_continue and not self._pending and not self._closing:
            self._awaits_continue = False
            self.send(CONTINUE_RESPONSE)

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body, up to the limits of a body and of all bodies."""
        if self._closing or self._ends_after_last:
            return
        self._awaits_continue = False
        self._overhead_bytes -= 2 * len(data)
        self._body += data
        self._hold(len(data))
        server = self._server
        if len(self._body) > server.limits.body_bytes:
            self._reject(BODY_TOO_LARGE)
        elif server.request_bytes > server.request_limit_bytes:
            server.refuse_largest_request()

    def refuse_request(self) -> None:
        """Refuse the request whose body is being read: memory is short."""
        self._reject(UNAVAILABLE, [("Retry-After", str(BODY_RETRY_AFTER_S))])

    def _hold(self, size: int) -> None:
        """Count bytes of request bodies that are held, or no longer if negative."""
        size = max(size, -self._request_bytes)
        self._request_bytes += size
        self._server.request_bytes += size

    def on_message_complete(self) -> None:
        """Start the handler of the complete request."""
        if self._closing or self._ends_after_last:
            # Requests behind an announced close are not processed (RFC 9112, 9.6).
            return
        request = Request(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
            self._request_started_at or self._loop.time(),
            self._parser.get_http_version() != HTTP_1_0,
        )
        self._reset_request()
        exchange = Exchange(self, request)
        self._pending.append(exchange)
        if len(self._pending) >= MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()
        exchange.task = self._loop.create_task(self._server.handle(exchange))

    def send(self, data: bytes) -> None:
        """Send bytes, after those that are queued for the network link.

        Large amounts are queued and paced; small ones are written at once.
        """
        pacer = self._server.pacer
        if pacer is None:
            self.write_piece(data)
        elif self._queued_bytes or pacer.paces(len(data)):
            self._stream = self._stream or pacer.open_stream(self)
            self._stream.put_split(data)
        else:
            pacer.record_sent(len(data))
            self.write_piece(data)

    def write_piece(self, data: bytes) -> None:
        """Write bytes to the transport if it is still open."""
        if self._transport and not self._transport.is_closing():
            self._written_bytes += len(data)
            self._transport.write(data)

    def send_finished(self) -> None:
        """Remove finished exchanges and send what the next response has buffered."""
        self.last_active_at = self._loop.time()
        while self._pending and self._pending[0].finished:
            done = self._pending.popleft()
            self._hold(-len(done.request.body))
            if done.close_after:
                self._close_gracefully()
                return
            if self._pending:
                self._pending[0].flush()
        self._send_continue()
        if len(self._pending) < MAX_PIPELINED_REQUESTS and not self._closing:
            self._transport.resume_reading()

    def sweep(self, now: float) -> None:
        """Close an idle connection, or reject a request whose headers are too slow.

        Once the server is closed, a connection without a request closes at once.
        """
        limits = self._server.limits
        if self._closing or self._pending or self._queued_bytes:
            return
        if self._request_started_at is None:
            if now - self.last_active_at > limits.idle_timeout_s or self._server.closed:
                self._close_gracefully()
        elif (
            not self._in_body
            and now - self._request_started_at > limits.header_timeout_s
        ):
            self._reject(REQUEST_TIMEOUT)

    def abort(self, reset: bool = False) -> None:
        """Abort the connection.

        :param reset: whether it ends with a reset, and what is not sent yet is lost.
        """
        self._closing = True
        if self._stream:
            self._stream.drop()
        if self._transport:
            if reset:
                set_no_linger(self._transport)
            self._transport.abort()

    def _reject(self, status: int, headers: Headers | None = None) -> None:
        """Respond with an error after the earlier responses, then close.

        The rest of the input is ignored, since the end of the request is unknown.
        """
        if self._closing or self._ends_after_last:
            return
        request = Request("", "", [], b"", False, self._loop.time())
        exchange = Exchange(self, request)
        self._hold(-len(self._body))
        self._reset_request()
        self._pending.append(exchange)
        exchange.respond(status, headers or [])
        self._closing = True

    def _close_gracefully(self) -> None:
        """Cancel the other requests, send what is queued and close the connection."""
        if self._transport is None or self._transport.is_closing():
            return
        self._closing = True
        for exchange in self._pending:
            if exchange.task:
                exchange.task.cancel()
        if self._queued_bytes:
            self._stream.on_empty = self._half_close
        else:
            self._half_close()

    def _half_close(self) -> None:
        if self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._transport.close)


class Server:
    """A server on one listening port.

    While ``draining`` is set, the last response on a connection announces its close.

    :param handler: sends the response of each exchange; it must not raise.
    :param pacer: paces long responses on a slow network link, ``None`` for no pacing.
    :param held_limit_bytes: most bytes of responses to hold for all callers together.
    :param request_limit_bytes: most bytes of request bodies to hold beside the largest.
        Beyond it, the request with the largest one is refused before it has run.
    :param limits: limits of requests, by default those of :class:`ServerLimits`.
    """

    def __init__(
        self,
        handler: Handler,
        host: str,
        port: int,
        pacer: EgressPacer | None = None,
        held_limit_bytes: float = float("inf"),
        request_limit_bytes: float = float("inf"),
        limits: ServerLimits | None = None,
    ):
        self._handler = handler
        self.pacer = pacer
        self._host = host
        self._port = port
        self._listener: asyncio.Server | None = None
        self._sweeper: asyncio.Task | None = None
        self._backlog = Backlog(held_limit_bytes)
        self.limits = limits or ServerLimits()
        self.request_limit_bytes = request_limit_bytes
        # Bytes of request bodies that are read or whose responses are not complete.
        self.request_bytes = 0
        self.refused_bodies = 0
        # Connections closed because their callers did not read.
        self.stalled = 0
        self.connections: set[CallerConnection] = set()
        self.draining = False
        self.closed = False

    @property
    def held_bytes(self) -> int:
        """Return the bytes of responses that callers had not taken when last looked."""
        return self._backlog.size

    @property
    def idle(self) -> bool:
        """Return whether no request is being read and all responses are taken."""
        return all(connection.idle for connection in self.connections)

    async def start(self) -> None:
        """Start to listen.

        :raises OSError: if the port is in use.
        """
        loop = asyncio.get_running_loop()
        sock = listen(self._host, self._port, LISTEN_BACKLOG)
        self._listener = await loop.create_server(
            lambda: CallerConnection(self), sock=sock
        )
        self._sweeper = loop.create_task(self._sweep())

    def close(self) -> None:
        """Close the port and read no more requests; running requests continue."""
        if self.closed:
            return
        self.draining = self.closed = True
        if self._listener:
            self._listener.close()
        for connection in list(self.connections):
            connection.sweep(asyncio.get_running_loop().time())

    async def stop(self) -> None:
        """Close the port and the idle connections, and stop the periodic check."""
        self.close()
        if self._sweeper:
            self._sweeper.cancel()

    async def handle(self, exchange: Exchange) -> None:
        """Run the handler of an exchange."""
        await self._handler(exchange)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for connection in list(self.connections):
                connection.sweep(loop.time())
            self._close_stalled(loop.time())

    def refuse_largest_request(self) -> None:
        """Refuse the request with the largest unfinished body if memory is short.

        The largest body does not count: alone, it may have up to the limit of a body.
        """
        reading = [c for c in self.connections if c.body_bytes]
        largest = max(reading, key=lambda c: c.body_bytes)
        if self.request_bytes - largest.body_bytes > self.request_limit_bytes:
            self.refused_bodies += 1
            largest.refuse_request()

    def _close_stalled(self, now: float) -> None:
        """Close the connections of callers that hold too much memory."""
        held = {c: c.holding for c in self.connections}
        for connection in self._backlog.observe(held, now):
            self.stalled += 1
            connection.abort()
