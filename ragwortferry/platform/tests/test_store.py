"""The client of the store against servers that are slow or stop responding."""

import asyncio
import base64
import json

import pytest

from ragwortferry.platform.store import StoreClient, StoreUnavailableError
from ragwortferry.tests.invalid_entries import nested_json
from ragwortferry.utils.sockets import Address

CHUNKS, CHUNK_INTERVAL_S = 8, 0.3


class SlowStore:
    """Responds in chunks, and stops after some of them."""

    def __init__(self, value: bytes, chunks_sent: int = CHUNKS):
        self._chunks_sent = chunks_sent
        item = {
            "key": "op/config",
            "rev": 7,
            "value": base64.b64encode(value).decode(),
            "store_revision": 9,
        }
        self._body = json.dumps(item).encode()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self._body)}\r\n\r\n"
        writer.write(head.encode())
        size = -(-len(self._body) // CHUNKS)
        for number in range(self._chunks_sent):
            writer.write(self._body[number * size : (number + 1) * size])
            await writer.drain()
            await asyncio.sleep(CHUNK_INTERVAL_S)
        if self._chunks_sent < CHUNKS:
            await asyncio.Event().wait()


async def _read(store: SlowStore):
    server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = StoreClient(Address(host, port), "127.0.0.1")
    try:
        async with asyncio.timeout(10):
            return await client.read("op/config")
    finally:
        client.close()
        server.close()


def test_large_configuration_is_read_over_a_slow_network_link():
    value = b"a" * 750_000
    page = asyncio.run(_read(SlowStore(value)))
    assert page.items[0].value == value


@pytest.mark.parametrize("chunks_sent", [0, 1])
def test_read_of_a_store_that_stops_sending_fails_within_two_seconds(chunks_sent):
    async def scenario():
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(StoreUnavailableError):
            await _read(SlowStore(b"a" * 1000, chunks_sent))
        assert loop.time() - started_at < 2.0

    asyncio.run(scenario())


class AnsweringStore:
    """Responds to each call with the same body."""

    def __init__(self, body: bytes):
        self._body = body

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self._body)}\r\n\r\n"
        writer.write(head.encode() + self._body)


def _response(rev: str = "9", store_revision: str = "9", key: str = "a") -> str:
    return f'{{"key": "{key}", "rev": {rev}, "store_revision": {store_revision}}}'


@pytest.mark.parametrize(
    "body",
    [
        "?",
        _response(rev="-1"),
        _response(rev="9" * 30),
        _response(rev="9" * 5_000),
        _response(store_revision="9" * 30),
        _response(store_revision="1e400"),
        _response(key="\\ud800"),
        f'{{"other": {nested_json(20_000)}}}',
    ],
    ids=lambda body: body[:60],
)
def test_invalid_response_of_the_store_is_reported_as_unavailable(body):
    with pytest.raises(StoreUnavailableError, match="invalid response"):
        asyncio.run(_read(AnsweringStore(body.encode())))
