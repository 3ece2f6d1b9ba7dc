import asyncio
import random
import struct

import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ragwortferry.spread.link import (
    HEADER,
    MAX_FRAME_BYTES,
    Link,
    LinkCounters,
    LinkError,
)
from ragwortferry.spread.messages import (
    Announce,
    Bye,
    Pull,
    VersionId,
    decode_message,
    encode_message,
)
from ragwortferry.tests.builders import run
from ragwortferry.utils.clock import HybridClock


class LinkPair:
    """Both ends of a link over a real loopback connection."""

    async def __aenter__(self):
        accepted = asyncio.get_running_loop().create_future()
        self._server = await asyncio.start_server(
            lambda *streams: accepted.set_result(streams), "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.streams = await asyncio.open_connection("127.0.0.1", port)
        self.local = Link(*self.streams, HybridClock(), LinkCounters(), 0.2)
        self.clock = HybridClock()
        self.remote = Link(*await accepted, self.clock, LinkCounters(), 0.2)
        return self

    async def __aexit__(self, *_exc):
        self.local.abort()
        self.remote.abort()
        self._server.close()


def test_receiving_a_message_advances_the_clock():
    async def scenario():
        async with LinkPair() as pair:
            pair.local._clock.observe((HybridClock().tick()) + (5000 << 16))
            pair.local.send(Pull(VersionId(3, "d"), 4))
            assert await pair.remote.receive() == Pull(VersionId(3, "d"), 4)
            assert pair.clock.tick() > HybridClock().tick() + (4000 << 16)

    run(scenario())


def test_receive_times_out_without_messages():
    async def scenario():
        async with LinkPair() as pair:
            with pytest.raises(LinkError, match="no message for 0.2 s"):
                await pair.remote.receive()

    run(scenario())


@pytest.mark.parametrize(
    "data",
    [
        HEADER.pack(MAX_FRAME_BYTES + 1, 0),
        HEADER.pack(3, 0) + b"\xc1\xc1\xc1",
        HEADER.pack(0, 0),
        HEADER.pack(2, 0) + b"\x80\x80",
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
)
def test_malformed_frames_raise_link_error(data):
    async def scenario():
        async with LinkPair() as pair:
            pair.streams[1].write(data)
            pair.streams[1].write_eof()
            with pytest.raises(LinkError):
                await pair.remote.receive()

    run(scenario())


@seed(20261203)
@settings(max_examples=500, deadline=None, database=None)
@given(st.binary(max_size=64))
def test_random_bytes_decode_or_raise_decode_error(data):
    try:
        decode_message(data)
    except msgspec.DecodeError:
        pass


def test_corrupted_messages_decode_or_raise_decode_error():
    rng = random.Random(3)
    messages = [
        Bye("x"),
        Pull(VersionId(1, "d"), 2),
        Announce(VersionId(), VersionId(1, "e"), 3),
    ]
    for _ in range(2000):
        data = bytearray(encode_message(rng.choice(messages)))
        data[rng.randrange(len(data))] = rng.randrange(256)
        try:
            decode_message(bytes(data))
        except msgspec.DecodeError:
            pass


def test_header_format_is_stable():
    assert HEADER.format == ">IQ" and struct.calcsize(">IQ") == 12
