"""Adapter that reads the platform over HTTP."""

__all__ = ["HttpSource"]

import asyncio
from functools import partial

import aiohttp
import msgspec

from ragwortferry.exceptions import SourceError
from ragwortferry.source.port import SOURCES, InstanceChange, Value
from ragwortferry.utils.decoding import decode_untrusted

# Seconds that a call may take in addition to its ``wait``.
RESPONSE_TIMEOUT_S = 3.0
REVISION_HEADER = "X-Revision"


class HttpSource:
    """Reads ``/v1/keys/KEY`` and the instance list ``/v1/instances``.

    Both support long polling: they take the parameters ``after`` (a revision) and
    ``wait`` (in seconds). Status 404 means that the key does not exist, 304 that
    nothing changed.

    :param base_url: URL of the platform.
    :param host: local IP address to connect from.
    """

    def __init__(self, base_url: str, host: str = ""):
        self._base_url = base_url.rstrip("/")
        self._local_address = (host, 0) if host else None
        self._session: aiohttp.ClientSession | None = None

    async def _get(self, path: str, wait: float, **params) -> tuple[int, int, bytes]:
        """Return the status, revision and body of a GET request."""
        if self._session is None:
            connector = aiohttp.TCPConnector(local_addr=self._local_address)
            self._session = aiohttp.ClientSession(
                connector=connector, auto_decompress=False
            )
        timeout = aiohttp.ClientTimeout(total=wait + RESPONSE_TIMEOUT_S)
        params = {**params, "wait": wait} if wait else params
        try:
            async with self._session.get(
                self._base_url + path, params=params, timeout=timeout
            ) as response:
                revision = int(response.headers.get(REVISION_HEADER, 0))
                return response.status, revision, await response.read()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise SourceError(
                f"platform {self._base_url} is unreachable: {reason}"
            ) from error

    async def read(self, key: str) -> Value | None:
        """Return the value of a key."""
        status, revision, data = await self._get(f"/v1/keys/{key}", 0)
        return self._to_value(status, revision, data)

    async def watch(self, key: str, after: int, wait: float) -> Value | None:
        """Return the value once it changes, by long polling."""
        path = f"/v1/keys/{key}"
        status, revision, data = await self._get(path, wait, after=after)
        return self._to_value(status, revision, data)

    def _to_value(self, status: int, revision: int, data: bytes) -> Value | None:
        if status == 200:
            return Value(revision, data)
        if status in (304, 404):
            return None
        raise SourceError(f"platform {self._base_url} returned status {status}")

    async def instances(self, after: int, wait: float) -> InstanceChange | None:
        """Return the next change of the instance list, by long polling."""
        status, _, data = await self._get("/v1/instances", wait, after=after)
        if status == 304:
            return None
        if status != 200:
            raise SourceError(
                f"instance list request to {self._base_url}: status {status}"
            )
        decode = partial(msgspec.json.decode, type=InstanceChange)
        result = decode_untrusted(decode, data)
        if result.is_error():
            reason = result.swap().ok
            raise SourceError(
                f"invalid instance list from platform {self._base_url}: {reason}"
            )
        return result.ok

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            await asyncio.sleep(0)


@SOURCES.register("http")
def _open_http(rest: str, host: str = "") -> HttpSource:
    return HttpSource(f"http:{rest}", host)


@SOURCES.register("https")
def _open_https(rest: str, host: str = "") -> HttpSource:
    return HttpSource(f"https:{rest}", host)
