"""Sockets by IP number, made without the resolver and its threads."""

__all__ = ["connect", "listen"]

import asyncio
import socket


def listen(host: str, port: int, backlog: int) -> socket.socket:
    """Return a listening socket.

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


async def connect(
    host: str, port: int, own_host: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection from an own address.

    :raises OSError: if it is refused or the address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.bind((own_host, 0))
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
        return await asyncio.open_connection(sock=sock)
    except BaseException:
        sock.close()
        raise
