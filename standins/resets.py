"""Resets of connections: the peer sees an error, not the end of the data."""

__all__ = ["reset"]

import asyncio
import contextlib
import socket
import struct

# Linger for no time: closing the socket sends a reset.
LINGER = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Reset the connection of a transport.

    ``abort`` alone closes the socket, which the peer may see as an orderly end.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    transport.abort()
