"""What passes between the hops of a request."""

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
    """What the governing version says about a request, carried from entry to owner.

    :param max_share: share of the slots that the route may hold.
    """

    version: int
    digest: str
    section: str
    route: str
    idempotent: bool
    silence_s: float
    max_share: float


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """What an entry proxy tells the owner of an attempt, in one header.

    :param upstream: instance that is meant, in case its address has a new owner.
    :param left_ms: milliseconds until the first byte of the answer is due.
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
    """The body of a request: all of it, or a start and a stream for the rest.

    :param start: bytes read so far.
    :param rest: stream of the remainder, ``None`` if ``start`` is everything.
    """

    buffered: bytes
    remainder: aiohttp.StreamReader | None
    consumed: bool = False

    @classmethod
    async def read(cls, stream: aiohttp.StreamReader) -> "Body":
        """Read the start of a body, all of it if it is short.

        :raises RequestError: of kind ``BODY_CUT``, not run, if it breaks off.
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
        """Return whether the body can be sent once more."""
        return self.remainder is None or not self.consumed

    def data(self) -> bytes | AsyncIterator[bytes] | None:
        """Return what the HTTP client sends."""
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
    """One try of a request at one upstream.

    :param key: name of the attempt, unique over all entry proxies.
    :param path: path and query as the caller sent them.
    :param deadline: loop time by which the first byte of the answer is due.
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
    """An answer whose first byte has come; ``size`` is ``None`` if it is not known."""

    status: int
    headers: CIMultiDict[str]
    size: int | None

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise an error if it breaks off."""

    def close(self, complete: bool) -> None:
        """Release what the answer holds."""


class TargetReply:
    """An answer relayed from an HTTP response.

    :param on_close: called once with whether the body was relayed to its end.
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
        """Yield the body as it comes."""
        async for chunk in self._pooled.response.content.iter_any():
            yield chunk

    def close(self, complete: bool) -> None:
        """Keep the connection after a whole answer, drop it after a broken one."""
        self._pooled.close(complete)
        if self._on_close:
            on_close, self._on_close = self._on_close, None
            on_close(complete)
