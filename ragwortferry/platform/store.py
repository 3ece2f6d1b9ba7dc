"""Client of the platform's key-value store: reads and watches over HTTP."""

__all__ = ["HistoryLostError", "Item", "Page", "StoreClient", "StoreUnavailableError"]

import asyncio
import binascii
import re
from collections.abc import Callable
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
from ragwortferry.http1.messages import encode_request, get_header
from ragwortferry.mesh.revisions import (
    MAX_ERA,
    MAX_REVISION,
    era_of,
    revision_in,
    store_revision,
)
from ragwortferry.platform.names import STORE_ERA_HEADER
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
# Bounds the memory that a response takes. A page has about 1 MB, and the configuration
# is one item.
MAX_RESPONSE_BYTES = 32 * 2**20
# Time beyond its wait that a watch call may take.
WATCH_MARGIN_S = 1.0
# A call opens a new connection if the pooled ones were idle for longer.
MAX_IDLE_S = 3.0
OK, NOT_FOUND, GONE = 200, 404, 410
ERA_PATTERN = re.compile(r"[0-9]{1,9}")
Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class StoreUnavailableError(SourceError):
    """The store did not respond in time, rejected the call or sent invalid data.

    :param responded: whether a part of the response arrived, so that the store serves
        this node although the transfer failed.
    :param interrupted: whether the connection of a waiting watch has broken or is
        silent, which does not show that the store is unavailable.
    """

    def __init__(
        self, message: str, responded: bool = False, interrupted: bool = False
    ):
        super().__init__(message)
        self.responded = responded
        self.interrupted = interrupted


class HistoryLostError(SourceError):
    """The store no longer keeps the changes since the given revision.

    Either its history is shorter, or it has come back from a copy.
    """


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value, or the removal of a key.

    :param revision: revision at which the key last changed, with its era as in
        :mod:`ragwortferry.mesh.revisions`.
    :param value: ``None`` if the key was removed or its value cannot be decoded.
    """

    key: str
    revision: int
    value: bytes | None
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Page:
    """Items or changes, and the revision at which they were read, with its era."""

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
        self._invalid_era = ""
        # Highest era that the store has named, 0 until it names one.
        self.era = 0
        # Era that the mesh knows, for a store that names none.
        self.assumed_era = 0
        self.calls = 0
        # Called with a value of the header that names no era, once for each value.
        self.on_invalid_era: Callable[[str], None] = lambda value: None

    async def read(self, key: str) -> Page:
        """Return the item of a key, or an empty page if the key does not exist.

        :raises StoreUnavailableError: if the call fails.
        """
        status, era, body = await self._call("kv-key", CALL_TIMEOUT_S, key=key)
        if status == NOT_FOUND:
            return Page([], 0)
        response = self._decode(body, _KeyResponse)
        item = _WireItem(response.key, response.rev, response.value)
        revision = revision_in(era, response.store_revision)
        return Page([_decode_item(item, era)], revision)

    async def list(self, prefix: str) -> Page:
        """Return all items under a prefix.

        The items are fetched in several calls and are no consistent snapshot. The
        revision is that of the first call; changes after it have to be applied to the
        items.

        :raises HistoryLostError: if the store comes back from a copy in between.
        :raises StoreUnavailableError: if a call fails.
        """
        items: list[Item] = []
        revision, after = None, None
        while True:
            extra = {"after": after} if after else {}
            _, era, body = await self._call(
                "kv-range", CALL_TIMEOUT_S, prefix=prefix, **extra
            )
            page = self._decode(body, _RangeResponse)
            if revision is None:
                revision = revision_in(era, page.store_revision)
            _check_era(revision, era)
            items += [_decode_item(item, era) for item in page.items]
            if not page.has_more or not page.items:
                return Page(items, revision)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_s: float) -> Page:
        """Return the changes under a prefix since a revision, as soon as there are any.

        :param after: revision with its era, as in an earlier page.
        :param wait_s: time after which the store responds without changes.
        :raises HistoryLostError: if the store no longer keeps these changes, or is in
            another era than that of the revision.
        :raises StoreUnavailableError: if the call fails.
        """
        _check_era(after, self.era)
        wait_ms = int(wait_s * 1000)
        status, era, body = await self._call(
            "kv-watch",
            wait_s + WATCH_MARGIN_S,
            prefix=prefix,
            after=store_revision(after),
            wait_ms=wait_ms,
        )
        _check_era(after, era)
        if status == GONE:
            raise HistoryLostError(
                f"store no longer keeps changes since revision {store_revision(after)}"
            )
        page = self._decode(body, _WatchResponse)
        items = [_decode_item(item, era) for item in page.events]
        return Page(items, revision_in(era, page.store_revision))

    def close(self) -> None:
        """Close the connections."""
        self._pool.clear()

    def _read_era(self, value: str) -> int:
        """Return the era that a response names, or the last one if it names none."""
        if ERA_PATTERN.fullmatch(value) and int(value) <= MAX_ERA:
            self.era = max(self.era, int(value))
            return int(value)
        if value and value != self._invalid_era:
            self._invalid_era = value
            self.on_invalid_era(value)
        return max(self.era, self.assumed_era)

    async def _call(self, name: str, timeout: float, **query) -> tuple[int, int, bytes]:
        """Return status, era and body of the response to a call."""
        self.calls += 1
        connection: ClientConnection | None = None
        response: ResponseCollector | None = None
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout + MAX_TRANSFER_S
        try:
            async with asyncio.timeout(timeout) as limit:
                connection = await self._pool.acquire(MAX_IDLE_S)
                response = ResponseCollector(
                    MAX_RESPONSE_BYTES,
                    lambda: limit.reschedule(
                        min(loop.time() + STALL_TIMEOUT_S, ends_at)
                    ),
                )
                target = f"/-/{name}?{urlencode(query)}"
                headers = [("Host", self._host)]
                connection.send(encode_request("GET", target, headers, b""), response)
                await response.done
        except BaseException as error:
            if connection is not None:
                connection.close()
                # What has broken or silenced it has probably done so to the others.
                self._pool.clear()
            if isinstance(error, (TimeoutError, ConnectionBrokenError)):
                received = len(response.body) if response else 0
                reason = str(error) or f"no response in time, {received} bytes received"
                raise StoreUnavailableError(
                    f"store call {name} failed: {reason}",
                    responded=received > 0,
                    interrupted=connection is not None and query.get("wait_ms", 0) > 0,
                ) from None
            raise
        self._pool.release(connection)
        if response.status not in (OK, NOT_FOUND, GONE):
            raise StoreUnavailableError(
                f"store call {name} returned status {response.status}"
            )
        era = self._read_era(get_header(response.headers, STORE_ERA_HEADER))
        return response.status, era, response.body

    def _decode(self, body: bytes, response_type: type):
        result = decode_untrusted(
            partial(msgspec.json.decode, type=response_type), body
        )
        if result.is_error():
            reason = result.swap().ok
            raise StoreUnavailableError(f"store sent an invalid response: {reason}")
        return result.ok


def _check_era(revision: int, era: int) -> None:
    """Check that a revision is of the store's era.

    :raises HistoryLostError: if it is not.
    """
    if era != era_of(revision):
        raise HistoryLostError(
            f"store is in era {era}, not in era {era_of(revision)} as before"
        )


def _decode_item(item: _WireItem, era: int) -> Item:
    value = None
    if item.value is not None and not item.removed:
        try:
            value = binascii.a2b_base64(item.value, strict_mode=True)
        except (binascii.Error, ValueError):
            value = None
    return Item(item.key, revision_in(era, item.rev), value, item.removed)
