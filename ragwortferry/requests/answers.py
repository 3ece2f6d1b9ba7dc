"""Writes answers to callers: relayed ones whole or broken, and own errors."""

__all__ = ["Relayed", "error_response", "relay", "stamp"]

import asyncio
from collections.abc import MutableMapping
from dataclasses import dataclass

import aiohttp
import msgspec
from aiohttp import web

from ragwortferry.exceptions import ErrorKind, Outcome, RequestError
from ragwortferry.requests.exchange import Policy, Reply
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

NO_BODY_STATUSES = (204, 304)
MAX_WHOLE_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Relayed:
    """What became of a relayed answer.

    :param complete: whether the last byte was handed to the caller's connection.
    """

    size: int
    complete: bool
    reason: str = ""


def stamp(
    headers: MutableMapping[str, str],
    request_id: str,
    instance: str,
    zone: str,
    policy: Policy | None,
) -> None:
    """Say in the headers of an answer who gave it and what governed it."""
    headers[REQUEST_ID] = request_id
    headers[INSTANCE] = instance
    headers[ZONE] = zone
    if policy:
        headers[VERSION] = str(policy.version)
        headers[DIGEST] = policy.digest
        headers[SECTION] = policy.section


def error_response(error: RequestError) -> web.Response:
    """Return the answer of the table for an error."""
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
) -> tuple[web.StreamResponse, Relayed]:
    """Relay an answer to its last byte, or break the connection.

    A short answer is taken in whole before its first byte goes on. A long one streams;
    if it is cut it is never ended in order: the connection is aborted, so the caller
    cannot take it for a whole one.

    :param headers: headers to add to those of the answer.
    :returns: the response for the server to finish, and what became of it.
    :raises RequestError: if a short answer is cut; it ran.
    """
    reply.headers.update(headers)
    reply.headers.setdefault(OUTCOME, Outcome.RAN)
    if reply.size is not None and reply.size <= MAX_WHOLE_BYTES:
        return await _relay_whole(reply)
    return await _relay_stream(request, reply)


async def _relay_whole(reply: Reply) -> tuple[web.Response, Relayed]:
    complete = False
    try:
        body = b"".join([chunk async for chunk in reply.chunks()])
        complete = True
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        detail = f"the answer was cut: {type(error).__name__}"
        raise RequestError(ErrorKind.UPSTREAM_LOST, detail, Outcome.RAN) from None
    finally:
        reply.close(complete)
    response = web.Response(status=reply.status, headers=reply.headers, body=body)
    return response, Relayed(len(body), True)


async def _relay_stream(
    request: web.BaseRequest, reply: Reply
) -> tuple[web.StreamResponse, Relayed]:
    response = web.StreamResponse(status=reply.status, headers=reply.headers)
    size, complete = 0, False
    try:
        if reply.status not in NO_BODY_STATUSES and request.method != "HEAD":
            _frame(request, response)
        await response.prepare(request)
        async for chunk in reply.chunks():
            size += len(chunk)
            await response.write(chunk)
        await response.write_eof()
        complete = True
        return response, Relayed(size, True)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        _abort(request)
        return response, Relayed(size, False, f"{type(error).__name__}: {error}")
    except asyncio.CancelledError:
        _abort(request)
        raise
    finally:
        reply.close(complete)


def _frame(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Frame a body so that a missing end shows, also towards an HTTP/1.0 caller."""
    if request.version >= aiohttp.HttpVersion11:
        response.enable_chunked_encoding()
    else:
        response.force_close()


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()
