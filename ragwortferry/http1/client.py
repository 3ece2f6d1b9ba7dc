"""Client connections that attribute every byte to one request or to none."""

__all__ = [
    "ResponseHead",
    "ClientConnection",
    "ConnectionBrokenError",
    "Pool",
    "Sink",
    "open_connection",
]

import asyncio
from dataclasses import dataclass
from typing import Protocol

import httptools

from ragwortferry.http1.messages import BODYLESS_STATUSES, Headers, get_header
from ragwortferry.utils.sockets import Address, connected_socket

# Seconds for which an idle connection is kept if the server does not say.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Seconds before the end that the server announces at which a connection is given up.
IDLE_MARGIN_S = 1.0
# Seconds until a connection must be established: the peer is on the same instance or
# a few milliseconds away.
CONNECT_TIMEOUT_S = 1.0


class ConnectionBrokenError(Exception):
    """The connection ended, or carried what is no answer.

    :param sent: whether a part of the request may have reached the server.
    """

    def __init__(self, reason: str, sent: bool):
        super().__init__(reason)
        self.sent = sent


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of an answer.

    :param length: length of the body, ``None`` if it is not announced.
    """

    status: int
    headers: Headers
    length: int | None


class Sink(Protocol):
    """Receives one answer."""

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether the answer belongs to this request."""

    def on_head(self, head: ResponseHead) -> None:
        """Receive the head."""

    def on_data(self, data: bytes) -> None:
        """Receive a part of the body."""

    def on_end(self) -> None:
        """Note that the answer is complete."""

    def on_error(self, error: ConnectionBrokenError) -> None:
        """Note that the answer is not coming, or not whole."""


class ClientConnection(asyncio.Protocol):
    """One connection that carries one request at a time.

    :param address: where it leads to.
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
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.idle_since = self._loop.time()
        self.reusable = True
        self.requests_sent = 0

    @property
    def usable(self) -> bool:
        """Return whether another request may be sent now."""
        return (
            self.reusable
            and self._sink is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def idle_time(self) -> float:
        """Return the seconds since the last answer."""
        return self._loop.time() - self.idle_since

    @property
    def expired(self) -> bool:
        """Return whether the server may close the connection soon."""
        return self.idle_time() > self._idle_timeout_s

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the connection in."""
        self._transport = transport

    def send(self, data: bytes, sink: Sink, no_body: bool = False) -> None:
        """Send a request.

        :param no_body: whether its answer has no body whatever its headers say.
        """
        self.requests_sent += 1
        self._sink, self._no_body = sink, no_body
        self._transport.write(data)

    def close(self) -> None:
        """Close the connection; the server drops the request that it runs."""
        self.reusable = False
        self._sink = None
        if self._transport:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Read no more for now."""
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that belong to no request end the connection."""
        if self._sink is None:
            self._abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"not an answer: {error}")

    def eof_received(self) -> bool:
        """End an answer that lasts as long as the connection."""
        if self._until_eof and self._sink is not None:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report an answer that is not whole."""
        self.reusable = False
        self._fail(f"connection lost: {exc or 'closed'}")

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._headers = []
        self._discarding = self._until_eof = False
        if self._sink is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Find out whose answer this is."""
        status = self._parser.get_status_code()
        if self._sink is None or status < 200:
            self._discarding = True
            return
        length = get_header(self._headers, "content-length")
        chunked = "chunked" in get_header(self._headers, "transfer-encoding").lower()
        head = ResponseHead(status, self._headers, int(length) if length else None)
        if not self._sink.accepts(head):
            self._discarding = True
            self._until_eof = False
            return
        self._until_eof = not length and not chunked and status not in BODYLESS_STATUSES
        self._read_keep_alive()
        self._sink.on_head(head)
        if self._no_body:
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if self._sink is not None and not self._discarding:
            self._sink.on_data(data)

    def on_message_complete(self) -> None:
        """End the answer."""
        if not self._discarding and self._sink is not None:
            if not self._parser.should_keep_alive():
                self.reusable = False
            self._complete()

    def _read_keep_alive(self) -> None:
        for part in get_header(self._headers, "keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
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
        if self._transport:
            self._transport.abort()
        if sink is not None:
            sink.on_error(ConnectionBrokenError(reason, sent=True))

    def _abort(self) -> None:
        self.reusable = False
        if self._transport:
            self._transport.abort()


async def open_connection(address: Address, own_host: str = "") -> ClientConnection:
    """Open a connection to an IP number.

    :raises ConnectionBrokenError: if it cannot be established in time.
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
        raise ConnectionBrokenError(reason, sent=False) from None


class Pool:
    """Idle connections to one address, the most recently used first.

    :param own_host: IP number from which connections are made.
    """

    def __init__(self, address: Address, own_host: str = ""):
        self._address = address
        self._own_host = own_host
        self._idle: list[ClientConnection] = []
        self.connections_opened = 0

    async def acquire(self, max_idle_s: float) -> ClientConnection:
        """Return a connection that was used within ``max_idle_s``, or a new one.

        :raises ConnectionBrokenError: if none can be opened.
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
        self.connections_opened += 1
        return await open_connection(self._address, self._own_host)

    def release(self, connection: ClientConnection) -> None:
        """Take back a connection whose answer is complete."""
        if connection.usable:
            self._idle.append(connection)
        else:
            connection.close()

    def prune(self) -> None:
        """Close the connections that were idle for too long."""
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
