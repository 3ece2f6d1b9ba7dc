"""Client of the platform's key-value store: reads and watches over HTTP."""

__all__ = ["HistoryLostError", "Item", "Page", "StoreClient", "StoreUnavailableError"]

import asyncio
import binascii
from dataclasses import dataclass
from functools import partial
from typing import Annotated
from urllib.parse import urlencode

import msgspec

from ragwortferry.exceptions import SourceError
from ragwortferry.http1.client import (
    ClientConnection,
    ConnectionBrokenError,
    Pool,
)
from ragwortferry.http1.collector import ResponseCollector
from ragwortferry.http1.messages import encode_request
from ragwortferry.utils.decoding import decode_untrusted
from ragwortferry.utils.sockets import Address

# Timeout until the response starts. The store responds within milliseconds, but may be
# fifty times slower.
CALL_TIMEOUT_S = 1.5
# Timeout between two parts of a response. The whole of it may take much longer: a large
# configuration over a narrow network link.
STALL_TIMEOUT_S = 1.0
# Bounds a response that never ends.
MAX_TRANSFER_S = 30.0
# Time beyond its wait that a watch call may take.
WATCH_MARGIN_S = 1.0
# A call opens a new connection if the pooled ones were idle for longer.
MAX_IDLE_S = 3.0
OK, NOT_FOUND, GONE = 200, 404, 410
# Messages between nodes carry integers of 64 bits.
Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class StoreUnavailableError(SourceError):
    """The store did not respond in time, rejected the call or sent invalid data.

    :param responded: whether a part of the response arrived, so that the store serves
        this node although the transfer failed.
    """

    def __init__(self, message: str, responded: bool = False):
        super().__init__(message)
        self.responded = responded


class HistoryLostError(SourceError):
    """The store no longer keeps the changes since the given revision."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value, or the removal of a key.

    :param revision: revision of the store at which the key last changed.
    :param value: ``None`` if the key was removed or its value cannot be decoded.
    """

    key: str
    revision: int
    value: bytes | None
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Page:
    """Items or changes, and the revision of the store at which they were read."""

    items: list[Item]
    revision: int
    has_more: bool = False


class _WireItem(msgspec.Struct):
    key: str
    # Revision of the last change of the item, not of the store.
    rev: Revision
    value: str | None = None
    removed: bool = False


class _RangeResponse(msgspec.Struct):
    items: list[_WireItem]
    store_revision: Revision
    has_more: bool = False


class _WatchResponse(msgspec.Struct):
    events: list[_WireItem]
    store_revision: Revision


class _KeyResponse(msgspec.Struct):
    key: str
    rev: Revision
    store_revision: Revision
    value: str | None = None


class StoreClient:
    """Client of the store.

    :param address: address of the store.
    :param own_host: local IP address to connect from.
    """

    def __init__(self, address: Address, own_host: str):
        self._host = f"{address.host}:{address.port}"
        self._pool = Pool(address, own_host)
        self.calls = 0

    async def read(self, key: str) -> Page:
        """Return the item of a key, or an empty page if the key does not exist.

        :raises StoreUnavailableError: if the call fails.
        """
        status, body = await self._call("kv-key", CALL_TIMEOUT_S, key=key)
        if status == NOT_FOUND:
            return Page([], 0)
        response = self._decode(body, _KeyResponse)
        item = _WireItem(response.key, response.rev, response.value)
        return Page([_decode_item(item)], response.store_revision)

    async def list(self, prefix: str) -> Page:
        """Return all items under a prefix.

        The items are fetched in several calls and are no consistent snapshot. The
        revision is that of the first call; changes after it have to be applied to the
        items.

        :raises StoreUnavailableError: if a call fails.
        """
        items: list[Item] = []
        revision, after = None, None
        while True:
            extra = {"after": after} if after else {}
            _, body = await self._call(
                "kv-range", CALL_TIMEOUT_S, prefix=prefix, **extra
            )
            page = self._decode(body, _RangeResponse)
            revision = page.store_revision if revision is None else revision
            items += [_decode_item(item) for item in page.items]
            if not page.has_more or not page.items:
                return Page(items, revision)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_s: float) -> Page:
        """Return the changes under a prefix since a revision, as soon as there are any.

        :param wait_s: time after which the store responds without changes.
        :raises HistoryLostError: if the store no longer keeps these changes.
        :raises StoreUnavailableError: if the call fails.
        """
        wait_ms = int(wait_s * 1000)
        status, body = await self._call(
            "kv-watch",
            wait_s + WATCH_MARGIN_S,
            prefix=prefix,
            after=after,
            wait_ms=wait_ms,
        )
        if status == GONE:
            raise HistoryLostError(
                f"store no longer keeps changes since revision {after}"
            )
        page = self._decode(body, _WatchResponse)
        return Page([_decode_item(item) for item in page.events], page.store_revision)

    def close(self) -> None:
        """Close the connections."""
        self._pool.clear()

    async def _call(self, name: str, timeout: float, **query) -> tuple[int, bytes]:
        self.calls += 1
        connection: ClientConnection | None = None
        response: ResponseCollector | None = None
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout + MAX_TRANSFER_S
        try:
            async with asyncio.timeout(timeout) as limit:
                connection = await self._pool.acquire(MAX_IDLE_S)
                response = ResponseCollector(
                    lambda: limit.reschedule(
                        min(loop.time() + STALL_TIMEOUT_S, ends_at)
                    )
                )
                target = f"/-/{name}?{urlencode(query)}"
                headers = [("Host", self._host)]
                connection.send(encode_request("GET", target, headers, b""), response)
                await response.done
        except BaseException as error:
            if connection is not None:
                connection.close()
            if isinstance(error, (TimeoutError, ConnectionBrokenError)):
                received = len(response.body) if response else 0
                reason = str(error) or f"no response in time, {received} bytes received"
                raise StoreUnavailableError(
                    f"store call {name} failed: {reason}", responded=received > 0
                ) from None
            raise
        self._pool.release(connection)
        if response.status not in (OK, NOT_FOUND, GONE):
            raise StoreUnavailableError(
                f"store call {name} returned status {response.status}"
            )
        return response.status, response.body

    def _decode(self, body: bytes, response_type: type):
        result = decode_untrusted(
            partial(msgspec.json.decode, type=response_type), body
        )
        if result.is_error():
            reason = result.swap().ok
            raise StoreUnavailableError(f"store sent an invalid response: {reason}")
        return result.ok


def _decode_item(item: _WireItem) -> Item:
    value = None
    if item.value is not None and not item.removed:
        try:
            value = binascii.a2b_base64(item.value, strict_mode=True)
        except (binascii.Error, ValueError):
            value = None
    return Item(item.key, item.rev, value, item.removed)
