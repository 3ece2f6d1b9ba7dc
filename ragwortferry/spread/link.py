"""A stream of framed messages between two processes."""

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
    """The link is closed, silent, or its peer breaks the protocol."""


class LinkCounters:
    """Control bytes of the process by direction and kind of message."""

    def __init__(self):
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()


class Link:
    """Sends and receives messages over one TCP connection.

    A frame is a 4-byte length, the 8-byte hybrid timestamp of the sender, and msgpack.

    :param silence_s: seconds without any frame after which the link counts as dead.
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
        """Return whether the link takes no more messages."""
        return self._writer.is_closing()

    def send(self, message: Message | Announce) -> None:
        """Queue a message; a peer that lets too much pile up is dropped."""
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

        :raises LinkError: if the peer is silent past the bound, gone, or sends garbage.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._read_frame()
        except TimeoutError:
            raise LinkError(f"silent for {self._timeout_s} s") from None
        except (OSError, asyncio.IncompleteReadError) as error:
            raise LinkError(f"closed: {type(error).__name__}") from None
        except msgspec.DecodeError as error:
            raise LinkError(f"protocol error: {error}") from None

    async def _read_frame(self) -> Message | Announce:
        header = await self._reader.readexactly(HEADER.size)
        length, timestamp = HEADER.unpack(header)
        if length > MAX_FRAME_BYTES:
            raise LinkError(f"protocol error: frame of {length} bytes")
        body = await self._reader.readexactly(length)
        message = decode_message(body)
        self._clock.observe(timestamp)
        self._counters.received[type(message).__name__] += HEADER.size + length
        return message

    def close(self) -> None:
        """Close the link after the queued messages are sent."""
        self._writer.close()

    def abort(self) -> None:
        """Drop the link and what is queued on it."""
        self._writer.transport.abort()
