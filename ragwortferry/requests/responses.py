"""Responses to callers: relayed from an upstream, or generated for an error."""

__all__ = ["RelayResult", "error_response", "relay", "set_proxy_headers"]

import asyncio
from collections.abc import MutableMapping
from dataclasses import dataclass

import aiohttp
import msgspec
from aiohttp import web

from ragwortferry.exceptions import ErrorKind, Outcome, RequestError
from ragwortferry.requests.headers import (
    DIGEST,
    ERROR,
    INSTANCE,
    OUTCOME,
    REQUEST_ID,
    SECTION,
    VERSION,
    ZONE,
)
from ragwortferry.requests.messages import Policy, Reply
from ragwortferry.utils.sockets import set_no_linger

NO_BODY_STATUSES = (204, 304)
MAX_BUFFERED_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class RelayResult:
    """Result of relaying a response.

    :param size: bytes of the body that were relayed.
    :param complete: whether the last byte was written to the caller's connection.
    :param reason: error that ended an incomplete relay.
    """

    size: int
    complete: bool
    reason: str = ""


def set_proxy_headers(
    headers: MutableMapping[str, str],
    request_id: str,
    instance: str,
    zone: str,
    policy: Policy | None,
) -> None:
    """Set the headers that name the responding instance and the governing version."""
    headers[REQUEST_ID] = request_id
    headers[INSTANCE] = instance
    headers[ZONE] = zone
    if policy:
        headers[VERSION] = str(policy.version)
        headers[DIGEST] = policy.digest
        headers[SECTION] = policy.section


def error_response(error: RequestError) -> web.Response:
    """Return the HTTP response for an error."""
    content = {
        "error": error.kind,
        "outcome": error.outcome,
        "detail": error.detail,
        "retry_after_s": error.retry_after,
    }
    headers = {ERROR: error.kind, OUTCOME: error.outcome}
    if error.retry_after:
        headers["Retry-After"] = str(error.retry_after)
    return web.Response(
        status=error.response.status,
        body=msgspec.json.encode(content),
        content_type="application/json",
        headers=headers,
    )


async def relay(
    request: web.BaseRequest, reply: Reply, headers: MutableMapping[str, str]
) -> tuple[web.StreamResponse, RelayResult]:
    """Relay a response completely, or abort the caller's connection.

    A response of at most ``MAX_BUFFERED_BYTES`` is buffered before its first byte is
    relayed, so that a truncated one becomes an error response. A longer one is
    streamed. If it is truncated, the connection is aborted instead of closed in order,
    so that the caller cannot mistake it for a complete response.

    :param headers: headers to add to those of the response.
    :returns: the response for the server to finish, and the result of the relay.
    :raises RequestError: if a buffered response is truncated; the request ran.
    """
    reply.headers.update(headers)
    reply.headers.setdefault(OUTCOME, Outcome.RAN)
    if reply.size is not None and reply.size <= MAX_BUFFERED_BYTES:
        return await _relay_buffered(reply)
    return await _relay_streamed(request, reply)


async def _relay_buffered(reply: Reply) -> tuple[web.Response, RelayResult]:
    complete = False
    try:
        body = b"".join([chunk async for chunk in reply.chunks()])
        complete = True
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        detail = f"the response was truncated: {type(error).__name__}"
        raise RequestError(ErrorKind.UPSTREAM_LOST, detail, Outcome.RAN) from None
    finally:
        reply.close(complete)
    response = web.Response(status=reply.status, headers=reply.headers, body=body)
    return response, RelayResult(len(body), True)


async def _relay_streamed(
    request: web.BaseRequest, reply: Reply
) -> tuple[web.StreamResponse, RelayResult]:
    response = web.StreamResponse(status=reply.status, headers=reply.headers)
    size, complete = 0, False
    try:
        if reply.status not in NO_BODY_STATUSES and request.method != "HEAD":
            _set_framing(request, response)
        await response.prepare(request)
        async for chunk in reply.chunks():
            size += len(chunk)
            await response.write(chunk)
        await response.write_eof()
        complete = True
        return response, RelayResult(size, True)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        _abort(request)
        return response, RelayResult(size, False, f"{type(error).__name__}: {error}")
    except asyncio.CancelledError:
        _abort(request)
        raise
    finally:
        reply.close(complete)


def _set_framing(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Choose a framing in which the caller can detect truncation.

    HTTP/1.0 has no chunked encoding: the end of the body is the end of the connection.
    """
    if request.version >= aiohttp.HttpVersion11:
        response.enable_chunked_encoding()
    else:
        response.force_close()


def _abort(request: web.BaseRequest) -> None:
    """Abort the caller's connection.

    An HTTP/1.0 caller gets a reset, as it would see an orderly end as that of the body.
    """
    if request.transport is not None:
        if request.version < aiohttp.HttpVersion11:
            set_no_linger(request.transport)
        request.transport.abort()
