"""TCP sockets for IP addresses, created without the resolver and its threads."""

__all__ = [
    "Address",
    "connect",
    "connected_socket",
    "listen",
    "set_no_linger",
    "was_reset",
]

import asyncio
import contextlib
import socket
import struct

import msgspec

# A connection fails if sent data stays unacknowledged for this long. Links detect
# silence sooner, by their heartbeats.
USER_TIMEOUT_MS = 3_000
NO_LINGER = struct.pack("ii", 1, 0)


class Address(msgspec.Struct, frozen=True, array_like=True):
    """An IP address and a port."""

    host: str
    port: int


def listen(host: str, port: int, backlog: int) -> socket.socket:
    """Return a non-blocking listening socket.

    :raises OSError: if the address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(backlog)
    except OSError as error:
        sock.close()
        raise OSError(
            error.errno, f"cannot listen on {host}:{port}: {error.strerror}"
        ) from None
    sock.setblocking(False)
    return sock


async def connected_socket(address: Address, own_host: str = "") -> socket.socket:
    """Return a non-blocking socket that is connected to an address.

    :param own_host: local IP address to connect from.
    :raises OSError: if the connection fails or the local address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        if own_host:
            sock.bind((own_host, 0))
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (address.host, address.port))
        return sock
    except BaseException:
        sock.close()
        raise


async def connect(
    host: str, port: int, own_host: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection and return its streams.

    :param own_host: local IP address to connect from.
    :raises OSError: if the connection fails or the local address cannot be bound.
    """
    sock = await connected_socket(Address(host, port), own_host)
    try:
        return await asyncio.open_connection(sock=sock)
    except BaseException:
        sock.close()
        raise


def was_reset(transport: asyncio.Transport) -> bool:
    """Return whether the peer has reset a connection whose end was just reported.

    The event loop reports the end of the input for a reset too if it has read all data
    before it.
    """
    sock = transport.get_extra_info("socket")
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def set_no_linger(transport: asyncio.Transport) -> None:
    """Let the connection of a transport end with a reset when it is aborted."""
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):  # The peer has closed the connection.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
