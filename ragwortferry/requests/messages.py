"""Requests, attempts and replies as passed between the hops."""

__all__ = ["Attempt", "Body", "Envelope", "Policy", "Reply", "TargetReply"]

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Protocol

import aiohttp
import msgspec
from multidict import CIMultiDict

from ragwortferry.exceptions import ErrorKind, RequestError
from ragwortferry.requests.headers import end_to_end
from ragwortferry.requests.pool import PooledResponse

MAX_REPLAY_BYTES = 65_536
CHUNK_BYTES = 65_536


class Policy(msgspec.Struct, array_like=True, frozen=True):
    """Settings of a request from its governing version, sent from entry to owner.

    :param silence_s: maximum seconds without a byte from the upstream.
    :param max_share: fraction of the slots that the route may hold.
    """

    version: int
    digest: str
    section: str
    route: str
    idempotent: bool
    silence_s: float
    max_share: float


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Metadata of an attempt that an entry proxy sends to the owner in one header.

    :param upstream: intended instance; another one may have taken over its address.
    :param left_ms: milliseconds until the first byte of the response is due.
    :param clock: hybrid timestamp of the entry proxy.
    """

    key: str
    request_id: str
    upstream: str
    left_ms: int
    clock: int
    policy: Policy


@dataclass(slots=True, eq=False)
class Body:
    """Body of a request, buffered completely or in part.

    :param buffered: bytes read so far.
    :param remainder: stream of the remaining bytes, ``None`` if all are buffered.
    :param consumed: whether reading of ``remainder`` has started.
    """

    buffered: bytes
    remainder: aiohttp.StreamReader | None
    consumed: bool = False

    @classmethod
    async def read(cls, stream: aiohttp.StreamReader) -> "Body":
        """Buffer a body, completely if it is at most ``MAX_REPLAY_BYTES`` long.

        :raises RequestError: of kind ``BODY_CUT`` if the body is truncated.
        """
        parts, size = [], 0
        try:
            while size <= MAX_REPLAY_BYTES:
                chunk = await stream.readany()
                if not chunk:
                    return cls(b"".join(parts), None)
                parts.append(chunk)
                size += len(chunk)
        except (aiohttp.ClientError, aiohttp.http.HttpProcessingError) as error:
            raise RequestError(ErrorKind.BODY_CUT, str(error)) from None
        return cls(b"".join(parts), stream)

    @property
    def replayable(self) -> bool:
        """Return whether the body can be sent again in a retry."""
        return self.remainder is None or not self.consumed

    def data(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body as an argument for the HTTP client."""
        if self.remainder is None:
            return self.buffered or None
        return self._chunks()

    async def _chunks(self) -> AsyncIterator[bytes]:
        self.consumed = True
        yield self.buffered
        async for chunk in self.remainder.iter_chunked(CHUNK_BYTES):
            yield chunk


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request at one upstream.

    :param key: id of the attempt, unique over all entry proxies.
    :param path: path and query as the caller sent them.
    :param deadline: loop time by which the first byte of the response is due.
    """

    key: str
    request_id: str
    method: str
    path: str
    headers: CIMultiDict[str]
    body: Body
    policy: Policy
    deadline: float


class Reply(Protocol):
    """Response to an attempt, of which the headers have arrived.

    :param size: length of the body in bytes, ``None`` if unknown.
    """

    status: int
    headers: CIMultiDict[str]
    size: int | None

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise an error if it is truncated."""

    def close(self, complete: bool) -> None:
        """Release the connection and the slot.

        :param complete: whether the body was relayed completely.
        """


class TargetReply:
    """Reply backed by a response of the HTTP client.

    :param on_close: called once with whether the body was relayed completely.
    """

    def __init__(
        self,
        pooled: PooledResponse,
        on_close: Callable[[bool], None] | None = None,
    ):
        self._pooled = pooled
        self._on_close = on_close
        self.status = pooled.response.status
        self.size = pooled.response.content_length
        self.headers = end_to_end(pooled.response.headers)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        async for chunk in self._pooled.response.content.iter_any():
            yield chunk

    def close(self, complete: bool) -> None:
        """Keep the connection after a complete response, close it otherwise."""
        self._pooled.close(complete)
        if self._on_close:
            on_close, self._on_close = self._on_close, None
            on_close(complete)
