"""Framed messages between two processes over one TCP connection."""

__all__ = ["Link", "LinkCounters", "LinkError"]

import asyncio
import struct
from collections import Counter

import msgspec

from ragwortferry.exceptions import RagwortferryError
from ragwortferry.spread.messages import (
    Announce,
    Message,
    decode_message,
    encode_message,
)
from ragwortferry.utils.clock import HybridClock

HEADER = struct.Struct(">IQ")
MAX_FRAME_BYTES = 8 * 2**20
MAX_SEND_BUFFER_BYTES = 16 * 2**20


class LinkError(RagwortferryError):
    """The link failed or timed out, or its peer violated the protocol."""


class LinkCounters:
    """Control traffic of the process in bytes, by direction and message type."""

    def __init__(self):
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()


class Link:
    """Sends and receives messages over one TCP connection.

    A frame is the 4-byte length of its body, the 8-byte hybrid timestamp of the sender,
    and the body, a message encoded as msgpack.

    :param timeout_s: seconds without a frame after which the link is considered dead.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        clock: HybridClock,
        counters: LinkCounters,
        timeout_s: float,
    ):
        self._reader = reader
        self._writer = writer
        self._clock = clock
        self._counters = counters
        self._timeout_s = timeout_s

    @property
    def closed(self) -> bool:
        """Return whether the link accepts no more messages."""
        return self._writer.is_closing()

    def send(self, message: Message | Announce) -> None:
        """Queue a message; abort the link if the peer reads too slowly."""
        if self.closed:
            return
        body = encode_message(message)
        frame = HEADER.pack(len(body), self._clock.tick()) + body
        self._counters.sent[type(message).__name__] += len(frame)
        self._writer.write(frame)
        if self._writer.transport.get_write_buffer_size() > MAX_SEND_BUFFER_BYTES:
            self.abort()

    async def receive(self) -> Message | Announce:
        """Return the next message.

        :raises LinkError: if no message arrives in time, the connection is lost, or the
            peer violates the protocol.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._read_frame()
        except TimeoutError:
            raise LinkError(f"no message for {self._timeout_s} s") from None
        except (OSError, asyncio.IncompleteReadError) as error:
            raise LinkError(f"connection lost: {type(error).__name__}") from None
        except msgspec.DecodeError as error:
            raise LinkError(f"protocol error: {error}") from None

    async def _read_frame(self) -> Message | Announce:
        header = await self._reader.readexactly(HEADER.size)
        length, timestamp = HEADER.unpack(header)
        if length > MAX_FRAME_BYTES:
            raise LinkError(f"protocol error: frame of {length} bytes is too long")
        body = await self._reader.readexactly(length)
        message = decode_message(body)
        self._clock.observe(timestamp)
        self._counters.received[type(message).__name__] += HEADER.size + length
        return message

    def close(self) -> None:
        """Close the link once the queued messages are sent."""
        self._writer.close()

    def abort(self) -> None:
        """Close the link at once and discard the queued messages."""
        self._writer.transport.abort()
